//! Elects the placer: the one instance that gives orders to engines, by records
//! on the log.
//!
//! The stream `placer` carries claims, renewals and resignations. A claim
//! states the offset that it expects to get and is valid only at that offset.
//! Of several claims made after the same record at most one is therefore valid,
//! and every reader can tell which one from the record alone. The holder is the
//! writer of the newest valid claim; the offset of that claim is the fencing
//! number of every order.
//!
//! Any candidate may claim when the holder has been silent for
//! [`PlacerSettings::silence_ms`]. A holder that was paused may resume after it
//! has been replaced. Before each order it checks by its own clock that its
//! last renewal that was read back is recent; this narrows the window between
//! check and order but does not close it. Engines that check the fencing number
//! refuse late orders; for the others see `docs/PLACEMENT.md`.

use std::collections::VecDeque;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::ids::{Incarnation, InstanceName, Offset};

mod election;
mod event;
mod record;
mod settings;

pub use self::{
    election::{Election, Holder, RecordEffect},
    event::{Action, ElectionRole, Event, Permit, Received},
    record::PlacerRecord,
    settings::PlacerSettings,
};

/// Time between two ticks, in ms.
pub const TICK_MS: u64 = 100;
/// Time for which a read of the stream waits for a record, in ms.
pub const READ_WAIT_MS: u64 = 1_000;
/// Age beyond which the last read no longer shows the head of the stream, in
/// ms.
const HEAD_MAX_AGE_MS: u64 = 3_000;
/// Number of records before the head at which a new reader starts.
const START_RECORDS_BEFORE_HEAD: u64 = 64;
/// Highest rank with a longer delay than the one before.
const MAX_DELAY_RANK: u64 = 8;
/// Maximum own appends whose start time is stored until they are read back.
const MAX_PENDING_APPENDS: usize = 8;

/// The state machine of one instance in the election of the placer.
#[derive(Debug)]
pub struct Placer {
    instance: InstanceName,
    incarnation: Incarnation,
    settings: PlacerSettings,
    rng: Pcg64Mcg,
    role: ElectionRole,
    election: Election,
    /// Next offset to read.
    next_offset: Offset,
    /// Whether a read has completed.
    has_read: bool,
    is_reading: bool,
    is_leaving: bool,
    last_read_ms: Option<u64>,
    /// Start of the current period of successful reads without a valid record,
    /// in ms.
    silent_since_ms: u64,
    jitter_ms: u64,
    is_appending: bool,
    seq: u64,
    /// Own appends: sequence number and start time in ms.
    appends: VecDeque<(u64, u64)>,
    last_append_ms: Option<u64>,
    /// Start time of the newest own append that was read back as valid, in ms.
    confirmed_start_ms: Option<u64>,
    unfenced_from_ms: u64,
}

impl Placer {
    /// Creates the state of a run of an instance; `seed` drives its jitter.
    pub fn new(
        instance: InstanceName,
        incarnation: Incarnation,
        settings: PlacerSettings,
        seed: u64,
    ) -> Self {
        let mut placer = Self {
            instance,
            incarnation,
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            role: ElectionRole::Observer,
            election: Election::default(),
            next_offset: Offset::default(),
            has_read: false,
            is_reading: false,
            is_leaving: false,
            last_read_ms: None,
            silent_since_ms: 0,
            jitter_ms: 0,
            is_appending: false,
            seq: 0,
            appends: VecDeque::new(),
            last_append_ms: None,
            confirmed_start_ms: None,
            unfenced_from_ms: 0,
        };
        placer.draw_jitter();
        placer
    }

    /// Returns the holder by the records read so far.
    pub fn holder(&self) -> Option<&Holder> {
        self.election.holder()
    }

    /// Returns the own term if this instance is the placer by the records read
    /// so far.
    pub fn own_term(&self) -> Option<Offset> {
        let holder = self.election.holder()?;
        (holder.incarnation == self.incarnation).then_some(holder.term)
    }

    /// Returns the permit to give orders, if this instance has one now. Must be
    /// checked directly before each order.
    pub fn permit(&self, now_ms: u64) -> Option<Permit> {
        let term = self.own_term().filter(|_| !self.is_leaving)?;
        let expires_at_ms = self.confirmed_start_ms? + self.settings.order_window_ms();
        (now_ms < expires_at_ms).then_some(Permit {
            fence: term.0,
            expires_at_ms,
            unfenced_from_ms: self.unfenced_from_ms,
        })
    }

    /// Handles an event and returns the resulting actions.
    pub fn on_event(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => {}
            Event::RoleChanged(role) => self.set_role(now_ms, role),
            Event::Read { next, records } => {
                actions.extend(self.on_read(now_ms, next, &records));
            }
            Event::Trimmed { first } => {
                self.is_reading = false;
                self.next_offset = self.next_offset.max(first);
            }
            Event::ReadFailed => {
                self.is_reading = false;
                self.last_read_ms = None;
            }
            Event::AppendEnded => self.is_appending = false,
            Event::Fenced { highest } => self.on_fenced(highest),
            Event::Leave => self.is_leaving = true,
        }
        actions.extend(self.next_read());
        actions.extend(self.next_append(now_ms));
        actions
    }

    fn set_role(&mut self, now_ms: u64, role: ElectionRole) {
        if self.role == ElectionRole::Observer && role != ElectionRole::Observer {
            self.silent_since_ms = now_ms;
            self.last_read_ms = None;
        }
        self.role = role;
    }

    fn reads_stream(&self) -> bool {
        self.role != ElectionRole::Observer || self.own_term().is_some()
    }

    fn next_read(&mut self) -> Option<Action> {
        if self.is_reading || !self.reads_stream() {
            return None;
        }
        self.is_reading = true;
        let wait_ms = if self.has_read { READ_WAIT_MS } else { 0 };
        Some(Action::Read {
            from: self.next_offset,
            wait_ms,
        })
    }

    fn on_read(
        &mut self,
        now_ms: u64,
        next_append_offset: Offset,
        records: &[Received],
    ) -> Vec<Action> {
        self.is_reading = false;
        let mut from = self.next_offset;
        if !self.has_read {
            self.has_read = true;
            from = from.max(start_offset(next_append_offset));
        }
        let before = self.election.holder().cloned();
        for received in records {
            if received.offset < from {
                continue;
            }
            from = received.offset.next();
            self.on_record(now_ms, received);
        }
        let was_disconnected = self.last_read_ms.is_none();
        self.next_offset = from;
        if from >= next_append_offset {
            self.last_read_ms = Some(now_ms);
            if was_disconnected {
                // The holder could not renew either while the log was
                // unavailable.
                self.silent_since_ms = now_ms;
            }
        }
        let after = self.election.holder();
        if before.as_ref().map(|holder| holder.term) == after.map(|holder| holder.term) {
            return Vec::new();
        }
        vec![Action::Changed(after.cloned())]
    }

    fn on_record(&mut self, now_ms: u64, received: &Received) {
        let Some(record) = &received.record else {
            return;
        };
        let effect = self.election.apply(received.offset, record);
        if effect == RecordEffect::NoEffect {
            return;
        }
        self.silent_since_ms = now_ms;
        self.draw_jitter();
        if record.incarnation() == self.incarnation {
            self.on_own_record(now_ms, effect, record.seq());
        } else if effect == RecordEffect::Claim {
            self.confirmed_start_ms = None;
        }
    }

    fn on_own_record(&mut self, now_ms: u64, effect: RecordEffect, seq: u64) {
        match effect {
            RecordEffect::Claim => {
                self.confirmed_start_ms = self.append_started_ms(seq);
                self.unfenced_from_ms = now_ms + self.settings.predecessor_timeout_ms();
            }
            RecordEffect::Renewal => {
                self.confirmed_start_ms = self.confirmed_start_ms.max(self.append_started_ms(seq));
            }
            RecordEffect::Resignation | RecordEffect::NoEffect => self.confirmed_start_ms = None,
        }
    }

    fn append_started_ms(&self, seq: u64) -> Option<u64> {
        let append = self.appends.iter().find(|(own, _)| *own == seq);
        append.map(|(_, append_started_ms)| *append_started_ms)
    }

    fn on_fenced(&mut self, highest: u64) {
        if self.own_term().is_some_and(|term| term.0 < highest) {
            self.confirmed_start_ms = None;
        }
    }

    fn next_append(&mut self, now_ms: u64) -> Option<Action> {
        if self.is_appending {
            return None;
        }
        let record = match self.own_term() {
            Some(term) if self.is_leaving => {
                self.election.vacate();
                PlacerRecord::Resignation {
                    term,
                    incarnation: self.incarnation,
                }
            }
            Some(term) if self.renewal_is_due(now_ms) => PlacerRecord::Renewal {
                term,
                instance: self.instance.clone(),
                incarnation: self.incarnation,
                seq: self.seq,
            },
            None if self.claim_is_due(now_ms) => PlacerRecord::Claim {
                expected: self.next_offset,
                instance: self.instance.clone(),
                incarnation: self.incarnation,
                seq: self.seq,
            },
            Some(_) | None => return None,
        };
        self.record_append(now_ms);
        Some(Action::Append(record))
    }

    fn renewal_is_due(&self, now_ms: u64) -> bool {
        let age_ms = self.last_append_ms.map(|at| now_ms.saturating_sub(at));
        age_ms.is_none_or(|age_ms| age_ms >= self.settings.renewal_ms)
    }

    fn claim_is_due(&self, now_ms: u64) -> bool {
        let ElectionRole::Candidate { rank } = self.role else {
            return false;
        };
        if self.is_leaving {
            return false;
        }
        let knows_head = self
            .last_read_ms
            .is_some_and(|at| now_ms.saturating_sub(at) <= HEAD_MAX_AGE_MS);
        let silence_ms = match self.election.holder() {
            Some(_) => self.settings.silence_ms(),
            None => 0,
        };
        let claim_delay_ms =
            rank.min(MAX_DELAY_RANK) * self.settings.rank_step_ms() + self.jitter_ms;
        let may_append_again = self
            .last_append_ms
            .is_none_or(|at| now_ms.saturating_sub(at) >= self.settings.rank_step_ms());
        knows_head
            && may_append_again
            && now_ms >= self.silent_since_ms + silence_ms + claim_delay_ms
    }

    fn record_append(&mut self, now_ms: u64) {
        self.is_appending = true;
        self.last_append_ms = Some(now_ms);
        self.appends.push_back((self.seq, now_ms));
        self.seq += 1;
        if self.appends.len() > MAX_PENDING_APPENDS {
            self.appends.pop_front();
        }
    }

    fn draw_jitter(&mut self) {
        let max_jitter_ms = self.settings.rank_step_ms() / 2;
        self.jitter_ms = self.rng.random_range(0..=max_jitter_ms);
    }
}

/// Returns the offset at which a new reader starts. Each claim can be validated
/// on its own, so the newest records suffice.
fn start_offset(next_append_offset: Offset) -> Offset {
    Offset(
        next_append_offset
            .0
            .saturating_sub(START_RECORDS_BEFORE_HEAD),
    )
}
