//! Who gives orders to engines: one placer at a time, elected on the log.
//!
//! The stream `placer` carries claims, renewals and resignations. A claim names
//! the offset that it expects to get and is valid only there, so that of several
//! claims made after the same record one wins, and every reader can tell which
//! from the record alone. The holder is the newest valid claim; its offset is
//! the fencing number of every order.
//!
//! Any instance may claim when the holder has been silent for
//! [`PlacerSettings::silence_ms`]. A holder that was paused may wake and find
//! itself replaced: it checks before each order that its last renewal that was
//! read back is recent by its own clock, which narrows the window between check
//! and order and does not close it. Engines that check the number refuse what
//! comes through; for the others see `docs/PLACEMENT.md`.

use std::collections::VecDeque;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::ids::{Incarnation, InstanceName, Offset};

mod election;
mod event;
mod record;
mod settings;

pub use self::{
    election::{Election, Heard, Holder},
    event::{Action, Event, Permit, Received, Standing},
    record::PlacerRecord,
    settings::PlacerSettings,
};

/// Time between two ticks, in ms.
pub const TICK_MS: u64 = 100;
/// Time for which a read of the stream waits for a record, in ms.
pub const READ_WAIT_MS: u64 = 1_000;
/// Age from which the last read no longer shows where the stream's head is, in ms.
const HEAD_FRESH_MS: u64 = 3_000;
/// Records before the head from which on a new reader starts.
const START_BEFORE_HEAD: u64 = 64;
/// Rank from which on all wait equally long.
const LAST_RANK: u64 = 8;
/// Own appends whose start is remembered until they are read back.
const REMEMBERED_APPENDS: usize = 8;

/// Part of one instance in the election of the placer.
#[derive(Debug)]
pub struct Placer {
    instance: InstanceName,
    incarnation: Incarnation,
    settings: PlacerSettings,
    rng: Pcg64Mcg,
    standing: Standing,
    election: Election,
    /// Next offset to read.
    next: Offset,
    /// Whether a read was answered yet.
    has_read: bool,
    is_reading: bool,
    is_leaving: bool,
    last_read_ms: Option<u64>,
    /// Since when nothing valid was read, while reads were answered.
    silent_since_ms: u64,
    jitter_ms: u64,
    is_appending: bool,
    seq: u64,
    /// Own appends: number and time before the append was handed over.
    appends: VecDeque<(u64, u64)>,
    last_append_ms: Option<u64>,
    /// Start of the newest own append that was read back as valid.
    confirmed_at_ms: Option<u64>,
    unfenced_from_ms: u64,
}

impl Placer {
    /// Creates the part of a run of an instance; `seed` drives its jitter.
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
            standing: Standing::Bystander,
            election: Election::default(),
            next: Offset::default(),
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
            confirmed_at_ms: None,
            unfenced_from_ms: 0,
        };
        placer.draw_jitter();
        placer
    }

    /// Returns the holder as far as the stream was read.
    pub fn holder(&self) -> Option<&Holder> {
        self.election.holder()
    }

    /// Returns the own term while this instance is the placer by what it read.
    pub fn own_term(&self) -> Option<Offset> {
        let holder = self.election.holder()?;
        (holder.incarnation == self.incarnation).then_some(holder.term)
    }

    /// Returns the leave to give orders, if this instance has it now. To be
    /// asked directly before each order.
    pub fn permit(&self, now_ms: u64) -> Option<Permit> {
        let term = self.own_term().filter(|_| !self.is_leaving)?;
        let expires_at_ms = self.confirmed_at_ms? + self.settings.order_window_ms();
        (now_ms < expires_at_ms).then_some(Permit {
            fence: term.0,
            expires_at_ms,
            unfenced_from_ms: self.unfenced_from_ms,
        })
    }

    /// Takes an event and returns what has to be done.
    pub fn on_event(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => {}
            Event::Standing(standing) => self.set_standing(now_ms, standing),
            Event::Read { next, records } => {
                actions.extend(self.take_read(now_ms, next, &records));
            }
            Event::Trimmed { first } => {
                self.is_reading = false;
                self.next = self.next.max(first);
            }
            Event::ReadFailed => {
                self.is_reading = false;
                self.last_read_ms = None;
            }
            Event::AppendEnded => self.is_appending = false,
            Event::Fenced { highest } => self.take_fenced(highest),
            Event::Leave => self.is_leaving = true,
        }
        actions.extend(self.next_read());
        actions.extend(self.next_append(now_ms));
        actions
    }

    fn set_standing(&mut self, now_ms: u64, standing: Standing) {
        if self.standing == Standing::Bystander && standing != Standing::Bystander {
            self.silent_since_ms = now_ms;
            self.last_read_ms = None;
        }
        self.standing = standing;
    }

    fn follows(&self) -> bool {
        self.standing != Standing::Bystander || self.own_term().is_some()
    }

    fn next_read(&mut self) -> Option<Action> {
        if self.is_reading || !self.follows() {
            return None;
        }
        self.is_reading = true;
        let wait_ms = if self.has_read { READ_WAIT_MS } else { 0 };
        Some(Action::Read {
            from: self.next,
            wait_ms,
        })
    }

    fn take_read(&mut self, now_ms: u64, head: Offset, records: &[Received]) -> Vec<Action> {
        self.is_reading = false;
        let mut from = self.next;
        if !self.has_read {
            self.has_read = true;
            from = from.max(start_offset(head));
        }
        let before = self.election.holder().cloned();
        for received in records {
            if received.offset < from {
                continue;
            }
            from = received.offset.next();
            self.take_record(now_ms, received);
        }
        let was_away = self.last_read_ms.is_none();
        self.next = from;
        if from >= head {
            self.last_read_ms = Some(now_ms);
            if was_away {
                // The holder could not renew either while the log was away.
                self.silent_since_ms = now_ms;
            }
        }
        let after = self.election.holder();
        if before.as_ref().map(|holder| holder.term) == after.map(|holder| holder.term) {
            return Vec::new();
        }
        vec![Action::Changed(after.cloned())]
    }

    fn take_record(&mut self, now_ms: u64, received: &Received) {
        let Some(record) = &received.record else {
            return;
        };
        let heard = self.election.take(received.offset, record);
        if heard == Heard::Void {
            return;
        }
        self.silent_since_ms = now_ms;
        self.draw_jitter();
        if record.incarnation() == self.incarnation {
            self.take_own(now_ms, heard, record.seq());
        } else if heard == Heard::Claim {
            self.confirmed_at_ms = None;
        }
    }

    fn take_own(&mut self, now_ms: u64, heard: Heard, seq: u64) {
        match heard {
            Heard::Claim => {
                self.confirmed_at_ms = self.started_at_ms(seq);
                self.unfenced_from_ms = now_ms + self.settings.wait_out_ms();
            }
            Heard::Renewal => {
                self.confirmed_at_ms = self.confirmed_at_ms.max(self.started_at_ms(seq));
            }
            Heard::Resignation | Heard::Void => self.confirmed_at_ms = None,
        }
    }

    fn started_at_ms(&self, seq: u64) -> Option<u64> {
        let append = self.appends.iter().find(|(own, _)| *own == seq);
        append.map(|(_, started_at_ms)| *started_at_ms)
    }

    fn take_fenced(&mut self, highest: u64) {
        if self.own_term().is_some_and(|term| term.0 < highest) {
            self.confirmed_at_ms = None;
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
                expected: self.next,
                instance: self.instance.clone(),
                incarnation: self.incarnation,
                seq: self.seq,
            },
            Some(_) | None => return None,
        };
        self.note_append(now_ms);
        Some(Action::Append(record))
    }

    fn renewal_is_due(&self, now_ms: u64) -> bool {
        let age_ms = self.last_append_ms.map(|at| now_ms.saturating_sub(at));
        age_ms.is_none_or(|age_ms| age_ms >= self.settings.renewal_ms)
    }

    fn claim_is_due(&self, now_ms: u64) -> bool {
        let Standing::Candidate { rank } = self.standing else {
            return false;
        };
        if self.is_leaving {
            return false;
        }
        let sees_head = self
            .last_read_ms
            .is_some_and(|at| now_ms.saturating_sub(at) <= HEAD_FRESH_MS);
        let silence_ms = match self.election.holder() {
            Some(_) => self.settings.silence_ms(),
            None => 0,
        };
        let turn_ms = rank.min(LAST_RANK) * self.settings.rank_step_ms() + self.jitter_ms;
        let own_pause = self
            .last_append_ms
            .is_none_or(|at| now_ms.saturating_sub(at) >= self.settings.rank_step_ms());
        sees_head && own_pause && now_ms >= self.silent_since_ms + silence_ms + turn_ms
    }

    fn note_append(&mut self, now_ms: u64) {
        self.is_appending = true;
        self.last_append_ms = Some(now_ms);
        self.appends.push_back((self.seq, now_ms));
        self.seq += 1;
        if self.appends.len() > REMEMBERED_APPENDS {
            self.appends.pop_front();
        }
    }

    fn draw_jitter(&mut self) {
        let most_ms = self.settings.rank_step_ms() / 2;
        self.jitter_ms = self.rng.random_range(0..=most_ms);
    }
}

/// A claim can be judged by itself, so a reader needs no more than the newest
/// records.
fn start_offset(head: Offset) -> Offset {
    Offset(head.0.saturating_sub(START_BEFORE_HEAD))
}
