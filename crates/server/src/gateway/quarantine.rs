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
        QuarantineSettings, RequestDigest, Standing,
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
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a query: a round trip takes a few ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Margin added to the time left for a request, after which its permit expires.
const LEASE_SPARE: Duration = Duration::from_millis(500);
/// Maximum number of crash reports that are kept while no scheduler is reachable.
const MOST_UNREPORTED: usize = 1_024;

/// The requests that crash servers, as far as this instance knows.
#[derive(Debug)]
pub(super) struct Quarantine {
    log: Logger,
    clock: Clock,
    incarnation: Incarnation,
    members: Arc<Members>,
    book: Mutex<CrashTracker>,
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
pub(super) struct HeldPermit {
    quarantine: Arc<Quarantine>,
    /// Instance that granted it; `None` if this one did.
    giver: Option<InstanceName>,
    digest: RequestDigest,
    permit: Permit,
}

impl HeldPermit {
    /// Returns its place among the requests that run on separate servers, if it has one.
    pub(super) fn place(&self) -> Option<u32> {
        self.permit.place
    }
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        let (quarantine, digest, permit) = (&self.quarantine, self.digest, self.permit);
        let Some(giver) = self.giver.take() else {
            return quarantine.permits().give_back(&digest, permit);
        };
        let quarantine = Arc::clone(quarantine);
        let message = Message::PermitReturn(PermitReturn { digest, permit });
        tokio::spawn(async move {
            let peers = quarantine.members.peers();
            let told = peers.request(&giver, None, &message, ANSWER_TIMEOUT).await;
            if let Err(err) = told {
                // The permit expires by itself.
                info!(quarantine.log, "permit not given back"; "digest" => %digest,
                    "to" => %giver, "error" => %err);
            }
        });
    }
}

/// Outcome of a request for a permit.
#[derive(Debug)]
pub(super) enum Asked {
    /// The request may be sent.
    Granted(HeldPermit),
    /// Another copy is running; its permit expires after this time.
    Out(Duration),
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
            book: Mutex::new(CrashTracker::new(settings)),
            permits: Mutex::default(),
            source: Mutex::default(),
            unreported: Mutex::default(),
            is_loaded: watch::Sender::new(false),
            changed: Notify::new(),
        }
    }

    /// Returns the quarantine status of a request.
    pub(super) fn standing(&self, digest: &RequestDigest) -> Standing {
        self.book().standing(self.clock.now_ms(), digest)
    }

    /// Returns the number of servers that crashed under a request; capped below the
    /// quarantine threshold unless the request is quarantined.
    pub(super) fn ends(&self, digest: &RequestDigest) -> u32 {
        match self.standing(digest) {
            Standing::Suspect { ends } => ends.min(CRASHES_TO_QUARANTINE - 1),
            standing => standing.ends(),
        }
    }

    /// Records that a server crashed under a request. Returns the request's crash count,
    /// 0 if the request was answered recently and is not to blame.
    pub(super) fn on_end(&self, record: CrashReport) -> u32 {
        let now_ms = self.clock.now_ms();
        let digest = record.digest;
        let counts = self.book().on_end(now_ms, record.clone());
        if !counts {
            return 0;
        }
        self.to_report(vec![record]);
        self.changed.notify_one();
        self.ends(&digest)
    }

    /// Records a complete response of a server to a request, which clears it of
    /// suspicion.
    pub(super) fn on_answered(self: &Arc<Self>, digest: RequestDigest) {
        let now_ms = self.clock.now_ms();
        let was_suspect = self.book().on_answered(now_ms, digest);
        if was_suspect {
            info!(self.log, "suspect cleared"; "digest" => %digest, "reason" => "answered");
            self.report_change(&digest);
        }
    }

    /// Records that a server is running that was judged crashed.
    pub(super) fn on_running(self: &Arc<Self>, digest: RequestDigest, server: &BackendName) {
        let was_ended = self.book().on_running(digest, server);
        if was_ended {
            info!(self.log, "suspect cleared"; "digest" => %digest, "server" => %server,
                "reason" => "server runs on");
            self.report_change(&digest);
        }
    }

    fn report_change(self: &Arc<Self>, digest: &RequestDigest) {
        let records = self.book().records(self.clock.now_ms(), digest);
        self.to_report(records);
        self.changed.notify_one();
        let quarantine = Arc::clone(self);
        tokio::spawn(async move { quarantine.report().await });
    }

    fn to_report(&self, records: Vec<CrashReport>) {
        let mut unreported = self.unreported();
        unreported.extend(records);
        let excess = unreported.len().saturating_sub(MOST_UNREPORTED);
        unreported.drain(..excess);
    }

    /// Requests a permit to send a suspect.
    pub(super) async fn ask(self: &Arc<Self>, digest: RequestDigest, left: Duration) -> Asked {
        let lease_ms = (left + LEASE_SPARE).as_millis() as u64;
        let scheduler = self.members.scheduler();
        let scheduler = scheduler.filter(|name| !self.members.is_me(name));
        let told = match &scheduler {
            Some(scheduler) => self.ask_at(scheduler, digest, lease_ms).await,
            None => None,
        };
        let giver = scheduler.filter(|_| told.is_some());
        let counted_by = match giver {
            Some(_) => CountedBy::Scheduler,
            None => CountedBy::Own,
        };
        match told.unwrap_or_else(|| self.grant(PermitQuery { digest, lease_ms })) {
            PermitState::Granted(permit) => Asked::Granted(HeldPermit {
                quarantine: Arc::clone(self),
                giver,
                digest,
                permit,
            }),
            PermitState::Out { lapses_in_ms } => Asked::Out(Duration::from_millis(lapses_in_ms)),
            PermitState::Quarantined(records) => {
                self.on_told(records, "permit");
                Asked::Quarantined(counted_by)
            }
        }
    }

    async fn ask_at(
        &self,
        scheduler: &InstanceName,
        digest: RequestDigest,
        lease_ms: u64,
    ) -> Option<PermitState> {
        let question = Message::PermitQuery(PermitQuery { digest, lease_ms });
        let peers = self.members.peers();
        let answer = peers
            .request(scheduler, None, &question, ANSWER_TIMEOUT)
            .await;
        match answer {
            Ok(Message::PermitState(state)) => Some(state),
            Ok(_) => None,
            Err(err) => {
                // Without the scheduler, this instance decides itself: a zone that is cut
                // off still serves what it can.
                info!(self.log, "permit not asked"; "digest" => %digest, "of" => %scheduler,
                    "error" => %err);
                None
            }
        }
    }

    /// Decides on a permit by this instance's own tracker.
    pub(super) fn grant(&self, question: PermitQuery) -> PermitState {
        let PermitQuery { digest, lease_ms } = question;
        let now_ms = self.clock.now_ms();
        self.permits().grant(now_ms, &self.book(), digest, lease_ms)
    }

    /// Takes back a permit that this instance granted.
    pub(super) fn on_returned(&self, returned: PermitReturn) {
        self.permits().give_back(&returned.digest, returned.permit);
    }

    /// Reports the crashes that this instance detected to the scheduler.
    pub(super) async fn report(&self) {
        let scheduler = self.members.scheduler();
        match scheduler.filter(|name| !self.members.is_me(name)) {
            Some(scheduler) => self.exchange(&scheduler, None).await,
            // This instance is the scheduler or knows none; its own tracker counts.
            None => self.unreported().clear(),
        }
    }

    /// Queries the run `incarnation` of the scheduler for updates, unless the last query
    /// is recent and there is nothing to report.
    pub(super) async fn follow(&self, scheduler: &InstanceName, incarnation: Incarnation) {
        let source = *self.source();
        let is_known = source.is_some_and(|(known, at)| {
            known.incarnation == incarnation && at.elapsed() < FOLLOW_INTERVAL
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
        let untold = std::mem::take(&mut *self.unreported());
        let records = match known {
            Some(_) => untold.clone(),
            None => self.book().own(self.clock.now_ms()),
        };
        let question = Message::CrashQuery(CrashQuery { known, records });
        let peers = self.members.peers();
        let answer = peers
            .request(scheduler, incarnation, &question, ANSWER_TIMEOUT)
            .await;
        match answer {
            Ok(Message::CrashState(CrashState { known, records })) => {
                *self.source() = Some((known, Instant::now()));
                self.on_told(records, "peer");
                self.on_loaded();
            }
            Ok(_) => self.to_report(untold),
            Err(err) => {
                if !untold.is_empty() {
                    warn!(self.log, "ends not told"; "to" => %scheduler, "ends" => untold.len(),
                        "error" => %err);
                }
                self.to_report(untold);
            }
        }
    }

    /// Merges a peer's crash reports, and returns those that it lacks; `None` before the
    /// crashes known before this instance's start are loaded.
    pub(super) fn on_query(&self, question: CrashQuery) -> Option<CrashState> {
        self.on_told(question.records, "peer");
        if !*self.is_loaded.borrow() {
            return None;
        }
        let known = question.known;
        let known = known.filter(|known| known.incarnation == self.incarnation);
        let revision = known.map_or(0, |known| known.revision);
        let told = self.book().told_since(self.clock.now_ms(), revision);
        let known = KnownCrashes {
            incarnation: self.incarnation,
            revision: told.revision,
        };
        let records = told.records;
        Some(CrashState { known, records })
    }

    fn on_told(&self, records: Vec<CrashReport>, source: &'static str) {
        if records.is_empty() {
            return;
        }
        let count = records.len();
        let now_ms = self.clock.now_ms();
        let has_changed = self.book().on_told(now_ms, records);
        if has_changed {
            info!(self.log, "crashes advertised"; "ends" => count, "source" => source,
                "revision" => self.book().revision());
            self.changed.notify_one();
        }
    }

    /// Records that the crashes known before this instance's start are loaded.
    pub(super) fn on_loaded(&self) {
        self.is_loaded
            .send_if_modified(|is_loaded| !std::mem::replace(is_loaded, true));
    }

    /// Waits up to `timeout` until those crashes are loaded; returns whether they are.
    pub(super) async fn loaded(&self, longest: Duration) -> bool {
        if *self.is_loaded.borrow() {
            return true;
        }
        let mut is_loaded = self.is_loaded.subscribe();
        let loaded = is_loaded.wait_for(|is_loaded| *is_loaded);
        time::timeout(longest, loaded).await.is_ok()
    }

    /// Locks the crash tracker. Must not be held across an await.
    pub(super) fn book(&self) -> MutexGuard<'_, CrashTracker> {
        lock(&self.book)
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
