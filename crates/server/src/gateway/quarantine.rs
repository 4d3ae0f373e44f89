//! Shares with the other instances which requests end backend servers, and lets one copy
//! of a suspect run at a time.
//!
//! The instance that schedules has the book that counts and gives out permits. Others
//! tell it at once what they see, ask it for what is new every half second, and for a
//! permit before they send a suspect. Who reaches nobody goes by its own book.

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

/// Time between two questions for what is new. Only the first copies of a request can be
/// sent by those that do not know of it yet; later ones need a permit.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);
/// Time for a question to be answered: a way there and back takes a few ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time on top of a request's own after which its permit lapses.
const LEASE_SPARE: Duration = Duration::from_millis(500);
/// Ends that are kept to be told while nobody is reached who takes them.
const MOST_UNREPORTED: usize = 1_024;

/// Which requests end servers, as far as this instance knows.
#[derive(Debug)]
pub(super) struct Quarantine {
    log: Logger,
    clock: Clock,
    incarnation: Incarnation,
    members: Arc<Members>,
    book: Mutex<CrashTracker>,
    permits: Mutex<Permits>,
    /// How far the book of the instance that schedules is known, and since when.
    source: Mutex<Option<(KnownCrashes, Instant)>>,
    /// What this instance saw and has not told.
    unreported: Mutex<Vec<CrashReport>>,
    /// Whether what others knew before this instance started is known.
    is_loaded: watch::Sender<bool>,
    /// Told after every change of the book.
    pub(super) changed: Notify,
}

/// Right to run one copy of a suspect; given back when dropped.
#[derive(Debug)]
pub(super) struct HeldPermit {
    quarantine: Arc<Quarantine>,
    /// Instance that gave it, unless it is this one.
    giver: Option<InstanceName>,
    digest: RequestDigest,
    permit: Permit,
}

impl HeldPermit {
    /// Returns its place among requests that go apart, where it is one.
    pub(super) fn place(&self) -> Option<u32> {
        self.permit.place
    }
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        let (quarantine, digest, permit) = (&self.quarantine, self.digest, self.permit);
        let Some(giver) = self.giver.take() else {
            return quarantine.permits().release(&digest, permit);
        };
        let quarantine = Arc::clone(quarantine);
        let message = Message::PermitReturn(PermitReturn { digest, permit });
        tokio::spawn(async move {
            let peers = quarantine.members.peers();
            let told = peers.request(&giver, None, &message, ANSWER_TIMEOUT).await;
            if let Err(err) = told {
                // It lapses by itself.
                info!(quarantine.log, "permit not given back"; "digest" => %digest,
                    "to" => %giver, "error" => %err);
            }
        });
    }
}

/// What came of asking for a permit.
#[derive(Debug)]
pub(super) enum Asked {
    /// The request may be sent.
    Granted(HeldPermit),
    /// Another copy runs; its permit lapses after this time.
    Out(Duration),
    /// The request is quarantined; who has counted.
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

    /// Tells where a request stands.
    pub(super) fn standing(&self, digest: &RequestDigest) -> QuarantineStatus {
        self.book().status(self.clock.now_ms(), digest)
    }

    /// Returns how many servers have ended under a request; fewer than are too many for
    /// one that is not quarantined.
    pub(super) fn ends(&self, digest: &RequestDigest) -> u32 {
        match self.standing(digest) {
            QuarantineStatus::Suspect { ends } => ends.min(CRASHES_TO_QUARANTINE - 1),
            standing => standing.ends(),
        }
    }

    /// Notes a server that ended under a request. Returns how many have, 0 where the
    /// request was answered lately and is not to blame.
    pub(super) fn on_end(&self, record: CrashReport) -> u32 {
        let now_ms = self.clock.now_ms();
        let digest = record.digest;
        let counts = self.book().on_crash(now_ms, record.clone());
        if !counts {
            return 0;
        }
        self.to_report(vec![record]);
        self.changed.notify_one();
        self.ends(&digest)
    }

    /// Notes a whole answer of a server to a request, which speaks for it.
    pub(super) fn on_answered(self: &Arc<Self>, digest: RequestDigest) {
        let now_ms = self.clock.now_ms();
        let was_suspect = self.book().on_answered(now_ms, digest);
        if was_suspect {
            info!(self.log, "suspect cleared"; "digest" => %digest, "reason" => "answered");
            self.report_change(&digest);
        }
    }

    /// Notes that a server runs on that had been taken for ended.
    pub(super) fn on_running(self: &Arc<Self>, digest: RequestDigest, server: &BackendName) {
        let was_ended = self.book().on_still_running(digest, server);
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

    /// Asks for the permit to send a suspect.
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
                // A zone that is cut off serves what it can.
                info!(self.log, "permit not asked"; "digest" => %digest, "of" => %scheduler,
                    "error" => %err);
                None
            }
        }
    }

    /// Answers the question for a permit by what this instance knows.
    pub(super) fn grant(&self, question: PermitQuery) -> PermitState {
        let PermitQuery { digest, lease_ms } = question;
        let now_ms = self.clock.now_ms();
        self.permits().grant(now_ms, &self.book(), digest, lease_ms)
    }

    /// Takes a permit back that this instance gave out.
    pub(super) fn on_returned(&self, returned: PermitReturn) {
        self.permits().release(&returned.digest, returned.permit);
    }

    /// Tells the instance that schedules what this one saw and has not told.
    pub(super) async fn report(&self) {
        let scheduler = self.members.scheduler();
        match scheduler.filter(|name| !self.members.is_me(name)) {
            Some(scheduler) => self.exchange(&scheduler, None).await,
            // Its own book counts.
            None => self.unreported().clear(),
        }
    }

    /// Asks the run `incarnation` of the instance that schedules for what is new, where
    /// it is time.
    pub(super) async fn follow(&self, scheduler: &InstanceName, incarnation: Incarnation) {
        let source = *self.source();
        let is_known = source.is_some_and(|(known, at)| {
            known.incarnation == incarnation && at.elapsed() < FOLLOW_INTERVAL
        });
        if !is_known || !self.unreported().is_empty() {
            self.exchange(scheduler, Some(incarnation)).await;
        }
    }

    /// Tells an instance what this one saw, all of it if the instance was not told
    /// before, and takes over what it knows.
    async fn exchange(&self, scheduler: &InstanceName, incarnation: Option<Incarnation>) {
        let source = self.source().map(|(known, _)| known);
        let known = match incarnation {
            Some(incarnation) => source.filter(|known| known.incarnation == incarnation),
            None => source,
        };
        let untold = std::mem::take(&mut *self.unreported());
        let records = match known {
            Some(_) => untold.clone(),
            None => self.book().own_reports(self.clock.now_ms()),
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

    /// Takes over what a peer tells, and tells it what it does not know; none before
    /// this instance knows what was known before its start.
    pub(super) fn on_query(&self, question: CrashQuery) -> Option<CrashState> {
        self.on_told(question.records, "peer");
        if !*self.is_loaded.borrow() {
            return None;
        }
        let known = question.known;
        let known = known.filter(|known| known.incarnation == self.incarnation);
        let revision = known.map_or(0, |known| known.revision);
        let told = self.book().reports_since(self.clock.now_ms(), revision);
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
        let has_changed = self.book().on_reports(now_ms, records);
        if has_changed {
            info!(self.log, "crashes advertised"; "ends" => count, "source" => source,
                "revision" => self.book().revision());
            self.changed.notify_one();
        }
    }

    /// Notes that what others knew before this instance started is known.
    pub(super) fn on_loaded(&self) {
        self.is_loaded
            .send_if_modified(|is_loaded| !std::mem::replace(is_loaded, true));
    }

    /// Waits until that is known, for `longest` at most; tells whether it is.
    pub(super) async fn loaded(&self, longest: Duration) -> bool {
        if *self.is_loaded.borrow() {
            return true;
        }
        let mut is_loaded = self.is_loaded.subscribe();
        let loaded = is_loaded.wait_for(|is_loaded| *is_loaded);
        time::timeout(longest, loaded).await.is_ok()
    }

    /// Locks what is known of requests, for a few steps without waiting.
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
