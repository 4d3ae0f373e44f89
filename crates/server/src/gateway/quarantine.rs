//! Shares with the other instances which requests and prompt parts crash backend servers, and
//! lets one run of a suspect take place at a time.
//!
//! The scheduler has the authoritative crash tracker and grants permits. The other
//! instances report crashes to it at once, query it for updates every half second, and
//! request a permit before they send a suspect. An instance that reaches no scheduler
//! uses its own tracker. In a fleet of several cells, the scheduler of the cell that reads the
//! store grants the permits of all.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use savoryvane_core::{
    ids::{BackendName, Incarnation, InstanceName},
    poison::{
        CRASHES_TO_QUARANTINE, CrashReport, CrashSubject, CrashTracker, Permits,
        QuarantineSettings, QuarantineStatus, RequestDigest, RequestStatus, RequestSubjects,
    },
};
use savoryvane_wire::peer::{CrashQuery, CrashState, KnownCrashes, Message};
use slog::{Logger, info, warn};
use tokio::{
    sync::{Notify, watch},
    time::{self, Instant},
};

use super::{members::Members, permits::RelayedPermits};
use crate::{clock::Clock, lock::lock};

/// Interval between two queries for updates. Only the first copies of a request can be
/// sent by instances that do not know of its crashes yet; later ones need a permit.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a query: a round trip takes a few ms.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of crash reports that are kept while no scheduler is reachable.
const MAX_UNREPORTED: usize = 1_024;

/// The requests and prompt parts that crash servers, as far as this instance knows.
#[derive(Debug)]
pub(super) struct Quarantine {
    pub(super) log: Logger,
    pub(super) clock: Clock,
    incarnation: Incarnation,
    pub(super) members: Arc<Members>,
    tracker: Mutex<CrashTracker>,
    permits: Mutex<Permits>,
    /// Permits of the scheduler of another cell that instances of this cell hold.
    relayed: Mutex<RelayedPermits>,
    /// Run of the scheduler whose tracker was merged last, its revision, and when that
    /// was.
    source: Mutex<Option<(KnownCrashes, Instant)>>,
    /// Crashes that this instance detected and has not reported.
    unreported: Mutex<Vec<CrashReport>>,
    /// Whether the crashes known to others before this instance started are loaded.
    is_loaded: watch::Sender<bool>,
    /// Notified after every change of the tracker.
    pub(super) changed: Notify,
}

impl Quarantine {
    pub(super) fn new(
        settings: QuarantineSettings,
        incarnation: Incarnation,
        clock: Clock,
        members: Arc<Members>,
        log: Logger,
    ) -> Self {
        Self {
            log,
            clock,
            incarnation,
            members,
            tracker: Mutex::new(CrashTracker::new(settings)),
            permits: Mutex::default(),
            relayed: Mutex::default(),
            source: Mutex::default(),
            unreported: Mutex::default(),
            is_loaded: watch::Sender::new(false),
            changed: Notify::new(),
        }
    }

    /// Returns the quarantine status of a request by its content, apart from its prompt.
    pub(super) fn standing(&self, digest: &RequestDigest) -> QuarantineStatus {
        self.subject_status(&(*digest).into())
    }

    /// Returns the quarantine status of one subject.
    pub(super) fn subject_status(&self, subject: &CrashSubject) -> QuarantineStatus {
        self.tracker().status(self.clock.now_ms(), subject)
    }

    /// Returns the quarantine status of a request by its content and the parts of its prompt.
    pub(super) fn request_status(&self, subjects: &RequestSubjects) -> RequestStatus {
        let now_ms = self.clock.now_ms();
        self.tracker().request_status(now_ms, subjects)
    }

    /// Returns the number of servers that crashed under a request; capped below the
    /// quarantine threshold unless the request is quarantined.
    pub(super) fn crash_count(&self, digest: &RequestDigest) -> u32 {
        match self.standing(digest) {
            QuarantineStatus::Suspect { ends } => ends.min(CRASHES_TO_QUARANTINE - 1),
            standing => standing.ends(),
        }
    }

    /// Records that a server crashed under a request or prompt part. Returns its crash count,
    /// 0 if the request was answered recently and is not to blame.
    pub(super) fn on_crash(&self, record: CrashReport) -> u32 {
        let now_ms = self.clock.now_ms();
        let subject = record.subject;
        let is_counted = self.tracker().on_crash(now_ms, record.clone());
        if !is_counted {
            return 0;
        }
        self.queue_reports(vec![record]);
        self.changed.notify_one();
        self.subject_status(&subject).ends()
    }

    /// Records a complete response of a server to a request, which clears it of
    /// suspicion.
    pub(super) fn on_answered(self: &Arc<Self>, digest: RequestDigest) {
        self.clear(digest.into(), "answered");
    }

    /// Records that a server went on with a response after it had begun, to a request with these
    /// prompt parts, which clears them of suspicion.
    pub(super) fn on_alive(self: &Arc<Self>, parts: impl Iterator<Item = CrashSubject>) {
        for part in parts {
            self.clear(part, "response has begun");
        }
    }

    fn clear(self: &Arc<Self>, subject: CrashSubject, reason: &'static str) {
        let now_ms = self.clock.now_ms();
        let was_suspect = self.tracker().on_answered(now_ms, subject);
        if was_suspect {
            info!(self.log, "suspect cleared"; "subject" => %subject, "reason" => reason);
            self.report_change(&subject);
        }
    }

    /// Records that a server is running that was judged crashed under a request.
    pub(super) fn on_running(self: &Arc<Self>, subjects: &RequestSubjects, server: &BackendName) {
        for subject in subjects.iter() {
            let was_ended = self.tracker().on_still_running(subject, server);
            if was_ended {
                info!(self.log, "suspect cleared"; "subject" => %subject, "server" => %server,
                    "reason" => "server is still running");
                self.report_change(&subject);
            }
        }
    }

    fn report_change(self: &Arc<Self>, subject: &CrashSubject) {
        let records = self.tracker().records(self.clock.now_ms(), subject);
        self.queue_reports(records);
        self.changed.notify_one();
        let quarantine = Arc::clone(self);
        tokio::spawn(async move { quarantine.report().await });
    }

    fn queue_reports(&self, records: Vec<CrashReport>) {
        let mut unreported = self.unreported();
        unreported.extend(records);
        let excess = unreported.len().saturating_sub(MAX_UNREPORTED);
        unreported.drain(..excess);
    }

    /// Reports the crashes that this instance detected, or that were reported to it as the
    /// scheduler of its cell, to the instance that issues its permits: by the time that a permit
    /// is returned, the issuer knows of a crash under it.
    pub(super) async fn report(&self) {
        match self.permit_issuer() {
            Some(issuer) => self.exchange(&issuer, None).await,
            // The next query to the scheduler of the reading cell reports them.
            None if self.members.needs_upstream() => {}
            // This instance is the scheduler or knows none; its own tracker counts.
            None => self.unreported().clear(),
        }
    }

    /// Queries the run `incarnation` of the scheduler for updates, unless the last query
    /// is recent and there is nothing to report.
    pub(super) async fn sync(&self, scheduler: &InstanceName, incarnation: Incarnation) {
        let source = *self.source();
        let is_known = source.is_some_and(|(known, at)| {
            known.incarnation == incarnation && at.elapsed() < SYNC_INTERVAL
        });
        if !is_known || !self.unreported().is_empty() {
            self.exchange(scheduler, Some(incarnation)).await;
        }
    }

    /// Sends an instance the crashes that this one detected, all of them if it is a new
    /// run, and merges its reports.
    async fn exchange(&self, scheduler: &InstanceName, incarnation: Option<Incarnation>) {
        let source = self.source().map(|(known, _)| known);
        let known = match incarnation {
            Some(incarnation) => source.filter(|known| known.incarnation == incarnation),
            None => source,
        };
        let unreported = std::mem::take(&mut *self.unreported());
        let records = match known {
            Some(_) => unreported.clone(),
            None => self.tracker().own_reports(self.clock.now_ms()),
        };
        let query = Message::CrashQuery(CrashQuery { known, records });
        let peers = self.members.peers();
        let response = peers
            .request(scheduler, incarnation, &query, RESPONSE_TIMEOUT)
            .await;
        match response {
            Ok(Message::CrashState(CrashState { known, records })) => {
                *self.source() = Some((known, Instant::now()));
                self.merge_reports(records, "peer");
                self.on_loaded();
            }
            Ok(_) => self.queue_reports(unreported),
            Err(err) => {
                if !unreported.is_empty() {
                    warn!(self.log, "crash reports not sent"; "to" => %scheduler,
                        "ends" => unreported.len(), "error" => %err);
                }
                self.queue_reports(unreported);
            }
        }
    }

    /// Merges a peer's crash reports, and returns those that it lacks; `None` before the
    /// crashes known before this instance's start are loaded.
    pub(super) fn on_query(&self, query: CrashQuery) -> Option<CrashState> {
        if self.members.needs_upstream() {
            self.queue_reports(query.records.clone());
        }
        self.merge_reports(query.records, "peer");
        if !*self.is_loaded.borrow() {
            return None;
        }
        let known = query.known;
        let known = known.filter(|known| known.incarnation == self.incarnation);
        let revision = known.map_or(0, |known| known.revision);
        let update = self.tracker().reports_since(self.clock.now_ms(), revision);
        let known = KnownCrashes {
            incarnation: self.incarnation,
            revision: update.revision,
        };
        let records = update.records;
        Some(CrashState { known, records })
    }

    pub(super) fn merge_reports(&self, records: Vec<CrashReport>, source: &'static str) {
        if records.is_empty() {
            return;
        }
        let count = records.len();
        let now_ms = self.clock.now_ms();
        let merged = self.tracker().on_reports(now_ms, records);
        // The issuer of permits may not have answered a request with these parts itself.
        if self.permit_issuer().is_some() {
            for part in &merged.withdrawn {
                let records = self.tracker().records(now_ms, part);
                self.queue_reports(records);
            }
        }
        if merged.has_changed {
            info!(self.log, "crashes advertised"; "ends" => count, "source" => source,
                "revision" => self.tracker().revision());
            self.changed.notify_one();
        }
    }

    /// Records that the crashes known before this instance's start are loaded.
    pub(super) fn on_loaded(&self) {
        self.is_loaded
            .send_if_modified(|is_loaded| !std::mem::replace(is_loaded, true));
    }

    /// Waits up to `timeout` until those crashes are loaded; returns whether they are.
    pub(super) async fn wait_loaded(&self, timeout: Duration) -> bool {
        if *self.is_loaded.borrow() {
            return true;
        }
        let mut is_loaded = self.is_loaded.subscribe();
        let loaded = is_loaded.wait_for(|is_loaded| *is_loaded);
        time::timeout(timeout, loaded).await.is_ok()
    }

    /// Locks the crash tracker. Must not be held across an await.
    pub(super) fn tracker(&self) -> MutexGuard<'_, CrashTracker> {
        lock(&self.tracker)
    }

    /// Locks the permits that this instance issued. Must not be held across an await.
    pub(super) fn permits(&self) -> MutexGuard<'_, Permits> {
        lock(&self.permits)
    }

    /// Locks the permits of another scheduler that this one passed on. Must not be held across an
    /// await.
    pub(super) fn relayed(&self) -> MutexGuard<'_, RelayedPermits> {
        lock(&self.relayed)
    }

    fn source(&self) -> MutexGuard<'_, Option<(KnownCrashes, Instant)>> {
        lock(&self.source)
    }

    fn unreported(&self) -> MutexGuard<'_, Vec<CrashReport>> {
        lock(&self.unreported)
    }
}
