//! Shares with the other instances which requests crash backend servers, and lets one
//! copy of a suspect run at a time.
//!
//! The scheduler has the authoritative crash tracker and grants permits. The other
//! instances report crashes to it at once, query it for updates every half second, and
//! request a permit before they send a suspect. An instance that reaches no scheduler
//! uses its own tracker.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use savoryvane_core::{
    ids::{BackendName, Incarnation, InstanceName},
    poison::{
        CRASHES_TO_QUARANTINE, CrashReport, CrashTracker, Permit, PermitState, Permits,
        QuarantineSettings, QuarantineStatus, RequestDigest,
    },
};
use savoryvane_wire::peer::{
    CrashQuery, CrashState, KnownCrashes, Message, PermitQuery, PermitReturn,
};
use slog::{Logger, info, warn};
use tokio::{
    sync::{Notify, watch},
    time::{self, Instant},
};

use super::members::Members;
use crate::{clock::Clock, lock::lock, suspects::CountedBy};

/// Interval between two queries for updates. Only the first copies of a request can be
/// sent by instances that do not know of its crashes yet; later ones need a permit.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a query: a round trip takes a few ms.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Margin added to the time left for a request, after which its permit expires.
const LEASE_MARGIN: Duration = Duration::from_millis(500);
/// Maximum number of crash reports that are kept while no scheduler is reachable.
const MAX_UNREPORTED: usize = 1_024;

/// The requests that crash servers, as far as this instance knows.
#[derive(Debug)]
pub(super) struct Quarantine {
    log: Logger,
    clock: Clock,
    incarnation: Incarnation,
    members: Arc<Members>,
    tracker: Mutex<CrashTracker>,
    permits: Mutex<Permits>,
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

/// Permit to run one copy of a suspect; returned when dropped.
#[derive(Debug)]
pub(super) struct PermitGuard {
    quarantine: Arc<Quarantine>,
    /// Instance that granted it; `None` if this one did.
    grantor: Option<InstanceName>,
    digest: RequestDigest,
    permit: Permit,
}

impl PermitGuard {
    /// Returns its place among the requests that run on separate servers, if it has one.
    pub(super) fn place(&self) -> Option<u32> {
        self.permit.place
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        let (quarantine, digest, permit) = (&self.quarantine, self.digest, self.permit);
        let Some(grantor) = self.grantor.take() else {
            return quarantine.permits().release(&digest, permit);
        };
        let quarantine = Arc::clone(quarantine);
        let message = Message::PermitReturn(PermitReturn { digest, permit });
        tokio::spawn(async move {
            let peers = quarantine.members.peers();
            let response = peers
                .request(&grantor, None, &message, RESPONSE_TIMEOUT)
                .await;
            if let Err(err) = response {
                // The permit expires by itself.
                info!(quarantine.log, "permit not returned"; "digest" => %digest,
                    "to" => %grantor, "error" => %err);
            }
        });
    }
}

/// Outcome of a request for a permit.
#[derive(Debug)]
pub(super) enum PermitOutcome {
    /// The request may be sent.
    Granted(PermitGuard),
    /// Another copy is running; its permit expires after this time.
    CopyRunning(Duration),
    /// The request is quarantined; with the instance whose count decided that.
    Quarantined(CountedBy),
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
            source: Mutex::default(),
            unreported: Mutex::default(),
            is_loaded: watch::Sender::new(false),
            changed: Notify::new(),
        }
    }

    /// Returns the quarantine status of a request.
    pub(super) fn standing(&self, digest: &RequestDigest) -> QuarantineStatus {
        self.tracker().status(self.clock.now_ms(), digest)
    }

    /// Returns the number of servers that crashed under a request; capped below the
    /// quarantine threshold unless the request is quarantined.
    pub(super) fn crash_count(&self, digest: &RequestDigest) -> u32 {
        match self.standing(digest) {
            QuarantineStatus::Suspect { ends } => ends.min(CRASHES_TO_QUARANTINE - 1),
            standing => standing.ends(),
        }
    }

    /// Records that a server crashed under a request. Returns the request's crash count,
    /// 0 if the request was answered recently and is not to blame.
    pub(super) fn on_crash(&self, record: CrashReport) -> u32 {
        let now_ms = self.clock.now_ms();
        let digest = record.digest;
        let is_counted = self.tracker().on_crash(now_ms, record.clone());
        if !is_counted {
            return 0;
        }
        self.queue_reports(vec![record]);
        self.changed.notify_one();
        self.crash_count(&digest)
    }

    /// Records a complete response of a server to a request, which clears it of
    /// suspicion.
    pub(super) fn on_answered(self: &Arc<Self>, digest: RequestDigest) {
        let now_ms = self.clock.now_ms();
        let was_suspect = self.tracker().on_answered(now_ms, digest);
        if was_suspect {
            info!(self.log, "suspect cleared"; "digest" => %digest, "reason" => "answered");
            self.report_change(&digest);
        }
    }

    /// Records that a server is running that was judged crashed.
    pub(super) fn on_running(self: &Arc<Self>, digest: RequestDigest, server: &BackendName) {
        let was_ended = self.tracker().on_still_running(digest, server);
        if was_ended {
            info!(self.log, "suspect cleared"; "digest" => %digest, "server" => %server,
                "reason" => "server is still running");
            self.report_change(&digest);
        }
    }

    fn report_change(self: &Arc<Self>, digest: &RequestDigest) {
        let records = self.tracker().records(self.clock.now_ms(), digest);
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

    /// Requests a permit to send a suspect.
    pub(super) async fn request_permit(
        self: &Arc<Self>,
        digest: RequestDigest,
        left: Duration,
    ) -> PermitOutcome {
        let lease_ms = (left + LEASE_MARGIN).as_millis() as u64;
        let scheduler = self.members.scheduler();
        let scheduler = scheduler.filter(|name| !self.members.is_self(name));
        let response = match &scheduler {
            Some(scheduler) => self.query_scheduler(scheduler, digest, lease_ms).await,
            None => None,
        };
        let grantor = scheduler.filter(|_| response.is_some());
        let counted_by = match grantor {
            Some(_) => CountedBy::Scheduler,
            None => CountedBy::Own,
        };
        match response.unwrap_or_else(|| self.grant(PermitQuery { digest, lease_ms })) {
            PermitState::Granted(permit) => PermitOutcome::Granted(PermitGuard {
                quarantine: Arc::clone(self),
                grantor,
                digest,
                permit,
            }),
            PermitState::Out { lapses_in_ms } => {
                PermitOutcome::CopyRunning(Duration::from_millis(lapses_in_ms))
            }
            PermitState::Quarantined(records) => {
                self.merge_reports(records, "permit");
                PermitOutcome::Quarantined(counted_by)
            }
        }
    }

    async fn query_scheduler(
        &self,
        scheduler: &InstanceName,
        digest: RequestDigest,
        lease_ms: u64,
    ) -> Option<PermitState> {
        let query = Message::PermitQuery(PermitQuery { digest, lease_ms });
        let peers = self.members.peers();
        let response = peers
            .request(scheduler, None, &query, RESPONSE_TIMEOUT)
            .await;
        match response {
            Ok(Message::PermitState(state)) => Some(state),
            Ok(_) => None,
            Err(err) => {
                // Without the scheduler, this instance decides itself: a zone that is cut
                // off still serves what it can.
                info!(self.log, "permit query failed"; "digest" => %digest, "of" => %scheduler,
                    "error" => %err);
                None
            }
        }
    }

    /// Decides on a permit by this instance's own tracker.
    pub(super) fn grant(&self, query: PermitQuery) -> PermitState {
        let PermitQuery { digest, lease_ms } = query;
        let now_ms = self.clock.now_ms();
        self.permits()
            .grant(now_ms, &self.tracker(), digest, lease_ms)
    }

    /// Takes back a permit that this instance granted.
    pub(super) fn on_returned(&self, returned: PermitReturn) {
        self.permits().release(&returned.digest, returned.permit);
    }

    /// Reports the crashes that this instance detected to the scheduler.
    pub(super) async fn report(&self) {
        let scheduler = self.members.scheduler();
        match scheduler.filter(|name| !self.members.is_self(name)) {
            Some(scheduler) => self.exchange(&scheduler, None).await,
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

    fn merge_reports(&self, records: Vec<CrashReport>, source: &'static str) {
        if records.is_empty() {
            return;
        }
        let count = records.len();
        let now_ms = self.clock.now_ms();
        let has_changed = self.tracker().on_reports(now_ms, records);
        if has_changed {
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

    fn permits(&self) -> MutexGuard<'_, Permits> {
        lock(&self.permits)
    }

    fn source(&self) -> MutexGuard<'_, Option<(KnownCrashes, Instant)>> {
        lock(&self.source)
    }

    fn unreported(&self) -> MutexGuard<'_, Vec<CrashReport>> {
        lock(&self.unreported)
    }
}
