//! What simulated instances know of servers that ended under requests, by the books and
//! permits of the core and the messages that they would send.

use savoryvane_core::{
    ids::{BackendName, Incarnation},
    poison::{
        AdvertisedCrashes, CrashReport, CrashSubject, CrashTracker, Evidence, Permit, PermitState,
        Permits, QuarantineSettings, RequestStatus, RequestSubjects,
    },
};
use savoryvane_wire::peer::{self, CrashQuery, CrashState, KnownCrashes, Message};

/// Bytes of a request and its answer between instances beside their messages.
const OVERHEAD_BYTES: u64 = 90;
/// The instance that schedules.
const SCHEDULER: usize = 0;

/// What crashes are counted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counting {
    /// Nothing.
    Off,
    /// Whole requests.
    Requests,
    /// Whole requests and the parts of their prompts; three crashes quarantine a part however its
    /// requests ran.
    PartsAnyRun,
    /// Whole requests and the parts of their prompts.
    Parts,
}

impl Counting {
    fn has_parts(self) -> bool {
        matches!(self, Self::PartsAnyRun | Self::Parts)
    }
}

/// What became of the question whether a request may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Admitted {
    Freely,
    WithPermit(HeldPermit),
    CopyRuns,
    Quarantined,
}

/// A permit and what it covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct HeldPermit {
    pub(super) permit: Permit,
    covered: Vec<CrashSubject>,
}

/// A run that was lost with its server.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostRun<'a> {
    pub(super) server: &'a BackendName,
    pub(super) held: Option<&'a HeldPermit>,
    /// Whether the response had gone on after it had begun.
    pub(super) is_alive: bool,
}

/// The books of all instances.
#[derive(Debug)]
pub(super) struct Sharing {
    counting: Counting,
    books: Vec<CrashTracker>,
    known: Vec<u64>,
    /// Withdrawals of each instance that the scheduler has not received yet.
    untold: Vec<Vec<CrashReport>>,
    permits: Permits,
    /// Bytes that each instance sent and got.
    pub(super) bytes: Vec<u64>,
}

impl Sharing {
    pub(super) fn new(counting: Counting, instances: usize) -> Self {
        let settings = QuarantineSettings::default();
        Self {
            counting,
            books: (0..instances)
                .map(|_| CrashTracker::new(settings))
                .collect(),
            known: vec![0; instances],
            untold: vec![Vec::new(); instances],
            permits: Permits::default(),
            bytes: vec![0; instances],
        }
    }

    /// Returns what crashes under a request are counted for.
    fn counted(&self, subjects: &RequestSubjects) -> RequestSubjects {
        match self.counting {
            Counting::PartsAnyRun | Counting::Parts => subjects.clone(),
            Counting::Off | Counting::Requests => RequestSubjects::new(subjects.digest(), []),
        }
    }

    pub(super) fn admit(
        &mut self,
        now_ms: u64,
        instance: usize,
        subjects: &RequestSubjects,
        lease_ms: u64,
    ) -> Admitted {
        if self.counting == Counting::Off {
            return Admitted::Freely;
        }
        let subjects = self.counted(subjects);
        match self.books[instance].request_status(now_ms, &subjects) {
            RequestStatus::Clear => return Admitted::Freely,
            RequestStatus::Quarantined { .. } => return Admitted::Quarantined,
            RequestStatus::Suspect { .. } => {}
        }
        let book = &mut self.books[SCHEDULER];
        match self.permits.grant(now_ms, book, &subjects, None, lease_ms) {
            PermitState::Granted { permit, covered } => {
                Admitted::WithPermit(HeldPermit { permit, covered })
            }
            PermitState::Out { .. } => Admitted::CopyRuns,
            PermitState::Quarantined(records) => {
                self.merge(now_ms, instance, records);
                Admitted::Quarantined
            }
        }
    }

    pub(super) fn give_back(&mut self, held: Option<&HeldPermit>) {
        if let Some(held) = held {
            self.permits.release(&held.covered, held.permit);
        }
    }

    /// A response goes on after it has begun.
    pub(super) fn on_alive(
        &mut self,
        now_ms: u64,
        instance: usize,
        subjects: &RequestSubjects,
        held: Option<&mut HeldPermit>,
    ) {
        if !self.counting.has_parts() {
            return;
        }
        for part in subjects.parts() {
            self.clear(now_ms, instance, part);
        }
        if let Some(held) = held {
            let parts = held.covered.extract_if(.., |subject| subject.is_part());
            let parts: Vec<CrashSubject> = parts.collect();
            self.permits.release(&parts, held.permit);
        }
    }

    /// An instance sees that a server has ended under a request, and tells the one that
    /// schedules.
    pub(super) fn on_end(
        &mut self,
        now_ms: u64,
        instance: usize,
        subjects: &RequestSubjects,
        run: LostRun<'_>,
    ) {
        if self.counting == Counting::Off {
            return;
        }
        let covered = run.held.map_or(&[][..], |held| &held.covered);
        let mut records = Vec::new();
        for subject in self.counted(subjects).iter() {
            if run.is_alive && subject.is_part() {
                continue;
            }
            let record = CrashReport {
                subject,
                server: run.server.clone(),
                evidence: Evidence::Refused,
                age_ms: 0,
                is_withdrawn: false,
                is_isolated: self.counting == Counting::PartsAnyRun || covered.contains(&subject),
            };
            if self.books[instance].on_crash(now_ms, record.clone()) {
                records.push(record);
            }
        }
        if !records.is_empty() {
            self.tell(now_ms, instance, records);
        }
    }

    pub(super) fn on_answered(&mut self, now_ms: u64, instance: usize, subjects: &RequestSubjects) {
        if self.counting == Counting::Off {
            return;
        }
        for subject in self.counted(subjects).iter() {
            self.clear(now_ms, instance, subject);
        }
    }

    fn clear(&mut self, now_ms: u64, instance: usize, subject: CrashSubject) {
        if self.books[instance].on_answered(now_ms, subject) {
            let records = self.books[instance].records(now_ms, &subject);
            self.tell(now_ms, instance, records);
        }
    }

    /// An instance asks the one that schedules for what is new, and tells it `records`.
    pub(super) fn tell(&mut self, now_ms: u64, instance: usize, mut records: Vec<CrashReport>) {
        if self.counting == Counting::Off || instance == SCHEDULER {
            return;
        }
        records.append(&mut self.untold[instance]);
        self.books[SCHEDULER].on_reports(now_ms, records.clone());
        let AdvertisedCrashes {
            records: told,
            revision,
        } = self.books[SCHEDULER].reports_since(now_ms, self.known[instance]);
        let known = |revision| KnownCrashes {
            incarnation: Incarnation(1),
            revision,
        };
        let query = CrashQuery {
            known: Some(known(self.known[instance])),
            records,
        };
        let state = CrashState {
            known: known(revision),
            records: told.clone(),
        };
        let bytes = OVERHEAD_BYTES
            + length(&Message::CrashQuery(query))
            + length(&Message::CrashState(state));
        self.bytes[instance] += bytes;
        self.bytes[SCHEDULER] += bytes;
        self.merge(now_ms, instance, told);
        self.known[instance] = revision;
    }

    /// Merges reports at an instance, whose next query reports what it withdraws.
    fn merge(&mut self, now_ms: u64, instance: usize, records: Vec<CrashReport>) {
        let merged = self.books[instance].on_reports(now_ms, records);
        for part in merged.withdrawn {
            let records = self.books[instance].records(now_ms, &part);
            self.untold[instance].extend(records);
        }
    }
}

fn length(message: &Message) -> u64 {
    peer::encode(message).map_or(0, |frame| frame.len() as u64)
}
