//! What simulated instances know of servers that ended under requests, by the books and
//! permits of the core and the messages that they would send.

use savoryvane_core::{
    ids::{BackendName, Incarnation},
    poison::{
        AdvertisedCrashes, CrashReport, CrashTracker, Evidence, Permit, PermitState, Permits,
        QuarantineSettings, QuarantineStatus, RequestDigest,
    },
};
use savoryvane_wire::peer::{self, CrashQuery, CrashState, KnownCrashes, Message};

/// Bytes of a request and its answer between instances beside their messages.
const OVERHEAD_BYTES: u64 = 90;
/// The instance that schedules.
const SCHEDULER: usize = 0;

/// Whether ends are counted by request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counting {
    /// They are not, as before.
    Off,
    /// They are, and shared.
    Shared,
}

/// What became of the question whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admitted {
    Freely,
    WithPermit(Permit),
    CopyRuns,
    Quarantined,
}

/// The books of all instances.
#[derive(Debug)]
pub(super) struct Sharing {
    counting: Counting,
    books: Vec<CrashTracker>,
    known: Vec<u64>,
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
            permits: Permits::default(),
            bytes: vec![0; instances],
        }
    }

    pub(super) fn admit(
        &mut self,
        now_ms: u64,
        instance: usize,
        digest: RequestDigest,
        lease_ms: u64,
    ) -> Admitted {
        if self.counting == Counting::Off {
            return Admitted::Freely;
        }
        match self.books[instance].status(now_ms, &digest) {
            QuarantineStatus::Clear => return Admitted::Freely,
            QuarantineStatus::Quarantined { .. } => return Admitted::Quarantined,
            QuarantineStatus::Suspect { .. } => {}
        }
        let book = &self.books[SCHEDULER];
        match self.permits.grant(now_ms, book, digest, lease_ms) {
            PermitState::Granted(permit) => Admitted::WithPermit(permit),
            PermitState::Out { .. } => Admitted::CopyRuns,
            PermitState::Quarantined(records) => {
                self.books[instance].on_reports(now_ms, records);
                Admitted::Quarantined
            }
        }
    }

    pub(super) fn give_back(&mut self, digest: &RequestDigest, permit: Option<Permit>) {
        if let Some(permit) = permit {
            self.permits.release(digest, permit);
        }
    }

    /// An instance sees that a server has ended under a request, and tells the one that
    /// schedules.
    pub(super) fn on_end(
        &mut self,
        now_ms: u64,
        instance: usize,
        digest: RequestDigest,
        server: &BackendName,
    ) {
        let record = CrashReport {
            digest,
            server: server.clone(),
            evidence: Evidence::Refused,
            age_ms: 0,
            is_withdrawn: false,
        };
        if self.counting == Counting::Shared
            && self.books[instance].on_crash(now_ms, record.clone())
        {
            self.tell(now_ms, instance, vec![record]);
        }
    }

    pub(super) fn on_answered(&mut self, now_ms: u64, instance: usize, digest: RequestDigest) {
        if self.counting == Counting::Shared && self.books[instance].on_answered(now_ms, digest) {
            let records = self.books[instance].records(now_ms, &digest);
            self.tell(now_ms, instance, records);
        }
    }

    /// An instance asks the one that schedules for what is new, and tells it `records`.
    pub(super) fn tell(&mut self, now_ms: u64, instance: usize, records: Vec<CrashReport>) {
        if self.counting == Counting::Off || instance == SCHEDULER {
            return;
        }
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
        self.books[instance].on_reports(now_ms, told);
        self.known[instance] = revision;
    }
}

fn length(message: &Message) -> u64 {
    peer::encode(message).map_or(0, |frame| frame.len() as u64)
}
