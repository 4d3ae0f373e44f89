//! Follows the configuration stream by reading the log, by relays of peers and by
//! snapshots of peers. The state never goes back to a lower offset.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    config::{
        Action, Applied, Assembler, Assembly, ConfigRecord, Content, Duties, Event, Head,
        IgnoredCounts, Progress, Received, Snapshot, Source, State,
        head::{HeadWatch, before},
        reader::{ExchangeSlot, READ_RETRY_MS, Reader},
        recent::{RecentRecords, without_items},
        schedule::Schedule,
    },
    ids::Offset,
};

/// Time between two [`Event::Tick`] events, in ms.
pub const TICK_MS: u64 = 100;
/// Time for which a read of the log waits for a record, in ms.
pub const READ_WAIT_MS: u64 = 500;
/// Time without an update of the stream's head after which an instance reads the log
/// itself, in ms.
const HEAD_TIMEOUT_MS: u64 = 1_500;

/// Maximum jitter added to [`HEAD_TIMEOUT_MS`], in ms, so that instances do not all
/// read at once.
const HEAD_TIMEOUT_JITTER_MS: u64 = 300;
/// Minimum time by which a head must be newer to be relayed, in ms.
const MIN_HEAD_ADVANCE_MS: i64 = 200;
/// Time for which a new instance tries to start from the log before it queries a peer,
/// in ms.
const START_TIMEOUT_MS: u64 = 500;
/// Time known to be behind after which a peer is queried, in ms.
const BEHIND_QUERY_MS: u64 = 600;
/// Time known to be behind after which the log is read, in ms. Records in transit
/// through peers can still arrive before.
const BEHIND_READ_MS: u64 = 200;
/// Minimum time between two queries to peers, in ms.
const PEER_QUERY_INTERVAL_MS: u64 = 500;

/// Settings of a follower.
#[derive(Clone, Copy, Debug)]
pub struct FollowerSettings {
    /// Time for which the log retains a record, in ms.
    pub retention_ms: u64,
    /// Seed of the jitter.
    pub seed: u64,
}

/// Follows the configuration stream.
#[derive(Clone, Debug)]
pub struct Follower {
    state: State,
    has_started: bool,
    created_ms: Option<u64>,
    duties: Duties,
    reader: Reader,
    assembler: Assembler,
    heads: HeadWatch,
    peer_query: ExchangeSlot,
    schedule: Schedule,
    recent: RecentRecords,
    ignored: IgnoredCounts,
    head_timeout_ms: u64,
    rng: Pcg64Mcg,
}

impl Follower {
    /// Creates a follower with an empty state.
    pub fn new(settings: FollowerSettings) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
        let head_timeout_ms = HEAD_TIMEOUT_MS + rng.random_range(0..=HEAD_TIMEOUT_JITTER_MS);
        Self {
            state: State::new(),
            has_started: false,
            created_ms: None,
            duties: Duties {
                follows_log: true,
                checkpoint_rank: u64::MAX,
            },
            reader: Reader::default(),
            assembler: Assembler::new(),
            heads: HeadWatch::default(),
            peer_query: ExchangeSlot::default(),
            schedule: Schedule::new(settings.retention_ms, &mut rng),
            recent: RecentRecords::default(),
            ignored: IgnoredCounts::default(),
            head_timeout_ms,
            rng,
        }
    }

    /// Returns the configuration in force.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the progress of the follower.
    pub fn progress(&self, now_ms: u64) -> Progress {
        Progress {
            next: self.state.next(),
            known_next: self.heads.known_next(),
            age_ms: self.heads.age_ms(now_ms),
            has_started: self.has_started,
            is_cut_off: self.reader.is_stuck,
        }
    }

    /// Returns the records from `from` on for a peer that missed them, or none if not all
    /// of them are retained.
    pub fn recent(&self, now_ms: u64, from: Offset) -> Vec<Received> {
        self.recent.copy_from(now_ms, from)
    }

    /// Returns the latest head of the stream.
    pub fn head(&self, now_ms: u64) -> Option<Head> {
        self.heads.head(now_ms)
    }

    /// Returns the counts of ignored or missing data.
    pub fn ignored(&self) -> IgnoredCounts {
        IgnoredCounts {
            checkpoints: self.assembler.ignored(),
            ..self.ignored
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn on_event(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        let created_ms = *self.created_ms.get_or_insert(now_ms);
        let mut actions = Vec::new();
        match event {
            Event::Tick => {}
            Event::Duties(duties) => self.set_duties(duties),
            Event::Read {
                first,
                next,
                records,
            } => self.on_read(now_ms, first, next, records, &mut actions),
            Event::Trimmed { first } => self.on_trimmed(now_ms, first),
            Event::ReadFailed => self.reader.on_failure(now_ms, &mut self.rng),
            Event::Relayed { head, records } => {
                self.heads.on_peer_head(now_ms, head);
                self.on_relayed(now_ms, records, &mut actions);
            }
            Event::PeerOffset(next) => self.heads.note_peer_offset(next),
            Event::Snapshot(snapshot) => self.on_snapshot(now_ms, snapshot, &mut actions),
            Event::CheckpointWritten => self.schedule.finish_write(now_ms),
        }
        self.heads.update_lag(now_ms, self.state.next());
        self.relay_head(now_ms, &mut actions);
        self.read_log(now_ms, &mut actions);
        self.query_peer(now_ms, created_ms, &mut actions);
        self.write_checkpoint(now_ms, &mut actions);
        actions
    }

    fn set_duties(&mut self, duties: Duties) {
        self.duties = duties;
        self.schedule.set_rank(duties.checkpoint_rank);
    }

    fn on_read(
        &mut self,
        now_ms: u64,
        first: Offset,
        next: Offset,
        records: Vec<Received>,
        actions: &mut Vec<Action>,
    ) {
        self.reader.on_response(now_ms, first);
        let mut applied = Vec::new();
        for record in records {
            if record.offset <= self.state.next() {
                self.verify_part(now_ms, &record);
                self.apply(now_ms, record, &mut applied, actions);
            } else if self.state.next() >= self.reader.first_retained {
                self.ignored.gaps += 1;
                self.reader.slot.finish(now_ms + READ_RETRY_MS.0);
                break;
            } else if self.scan(now_ms, record, actions) {
                break;
            }
        }
        self.heads.on_log_head(now_ms, next);
        self.has_started |= self.reader.finish(now_ms, self.state.next(), next);
        self.relay(now_ms, applied, actions);
    }

    /// Scans a record that does not continue the state for a checkpoint. Returns whether
    /// a checkpoint was adopted.
    fn scan(&mut self, now_ms: u64, record: Received, actions: &mut Vec<Action>) -> bool {
        self.reader.cursor = record.offset.next();
        let Content::Record(ConfigRecord::Checkpoint(part)) = record.content else {
            return false;
        };
        let Assembly::Complete(state) = self.assembler.add(record.offset, part) else {
            return false;
        };
        if state.next() < self.reader.first_retained || state.next() <= self.state.next() {
            return false;
        }
        let at_ms = before(now_ms, record.age_ms);
        self.schedule.note_content(at_ms);
        self.schedule
            .note_complete(state.next(), at_ms, &mut self.rng);
        self.adopt(*state, Source::Checkpoint, actions);
        true
    }

    fn on_trimmed(&mut self, now_ms: u64, first: Offset) {
        self.reader.on_response(now_ms, first);
        self.reader.cursor = self.reader.first_retained.max(self.state.next());
    }

    fn on_relayed(&mut self, now_ms: u64, records: Vec<Received>, actions: &mut Vec<Action>) {
        let mut applied = Vec::new();
        for record in records {
            if record.offset > self.state.next() {
                self.ignored.gaps += 1;
                break;
            }
            if record.offset == self.state.next() {
                self.count_part(now_ms, &record);
            }
            self.apply(now_ms, record, &mut applied, actions);
        }
        self.relay(now_ms, applied, actions);
    }

    fn on_snapshot(
        &mut self,
        now_ms: u64,
        snapshot: Option<Box<Snapshot>>,
        actions: &mut Vec<Action>,
    ) {
        self.peer_query.finish(now_ms + PEER_QUERY_INTERVAL_MS);
        let Some(snapshot) = snapshot else { return };
        let Snapshot { state, age_ms } = *snapshot;
        if !self.is_adoptable(now_ms, state.next()) {
            self.ignored.snapshots += 1;
            return;
        }
        self.has_started = true;
        if let Some(age_ms) = age_ms {
            self.heads.adopt_age(now_ms, age_ms);
        }
        self.schedule.note_content(before(now_ms, 0));
        self.adopt(state, Source::Peer, actions);
    }

    /// Returns whether a peer's state may be adopted. A state that goes back is never
    /// adopted. A new instance also waits for the log instead of starting with a state
    /// that is known to be old.
    fn is_adoptable(&self, now_ms: u64, offered: Offset) -> bool {
        if self.has_started {
            return offered > self.state.next();
        }
        let can_wait_for_log = !self.is_log_silent(now_ms) && !self.reader.is_stuck;
        offered >= self.state.next() && (!can_wait_for_log || offered >= self.heads.known_next())
    }

    fn adopt(&mut self, state: State, source: Source, actions: &mut Vec<Action>) {
        self.state = state;
        self.recent.clear();
        self.reader.cursor = self.state.next();
        self.reader.is_stuck &= self.state.next() < self.reader.first_retained;
        actions.push(Action::Adopted {
            source,
            next: self.state.next(),
        });
    }

    fn apply(
        &mut self,
        now_ms: u64,
        record: Received,
        applied: &mut Vec<Received>,
        actions: &mut Vec<Action>,
    ) {
        let offset = record.offset;
        let result = match &record.content {
            Content::Record(content) => self.state.apply(offset, content),
            Content::Undecodable => self.state.apply_undecodable(offset),
        };
        if matches!(result, Applied::Old | Applied::Gap { .. }) {
            return;
        }
        let at_ms = before(now_ms, record.age_ms);
        self.schedule.note_content(at_ms);
        match &record.content {
            Content::Record(ConfigRecord::Change(change)) => actions.push(Action::Decided {
                offset,
                id: change.id.clone(),
                operator: change.operator.clone(),
                applied: result,
            }),
            Content::Record(ConfigRecord::Checkpoint(_)) => {}
            Content::Undecodable => self.ignored.undecodable += 1,
        }
        self.recent.push(now_ms, &record);
        applied.push(record);
    }

    /// Verifies a checkpoint part that was read from the log.
    fn verify_part(&mut self, now_ms: u64, record: &Received) {
        let Content::Record(ConfigRecord::Checkpoint(part)) = &record.content else {
            return;
        };
        if record.offset < self.state.next() {
            return;
        }
        let at_ms = self.written_at_ms(now_ms, record);
        if let Assembly::Complete(state) = self.assembler.add(record.offset, part.clone()) {
            self.schedule
                .note_complete(state.next(), at_ms, &mut self.rng);
        }
    }

    fn count_part(&mut self, now_ms: u64, record: &Received) {
        if let Content::Record(ConfigRecord::Checkpoint(part)) = &record.content {
            let at_ms = self.written_at_ms(now_ms, record);
            self.schedule.count_part(part, at_ms, &mut self.rng);
        }
    }

    /// Returns the time at which a record was written. Once the follower has started, a
    /// record counts as written on arrival, so that clock skew cannot make every
    /// checkpoint look old.
    fn written_at_ms(&self, now_ms: u64, record: &Received) -> i64 {
        let age_ms = if self.has_started { 0 } else { record.age_ms };
        before(now_ms, age_ms)
    }

    fn relay(&mut self, now_ms: u64, applied: Vec<Received>, actions: &mut Vec<Action>) {
        if applied.is_empty() || !self.has_started {
            return;
        }
        let records = applied.into_iter().map(without_items).collect();
        let head = self.heads.head(now_ms).unwrap_or(Head {
            next: self.state.next(),
            age_ms: 0,
        });
        self.heads.mark_relayed();
        actions.push(Action::Relay { head, records });
    }

    fn relay_head(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if !self.heads.should_relay(MIN_HEAD_ADVANCE_MS) {
            return;
        }
        if let Some(head) = self.heads.head(now_ms) {
            self.heads.mark_relayed();
            actions.push(Action::Relay {
                head,
                records: Vec::new(),
            });
        }
    }

    fn read_log(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let is_silent = self.is_log_silent(now_ms);
        let behind_ms = self.heads.behind_ms(now_ms);
        let is_behind = behind_ms.is_some_and(|ms| ms >= BEHIND_READ_MS);
        let should_read = self.duties.follows_log || !self.has_started || is_behind || is_silent;
        if should_read && self.reader.slot.try_start(now_ms) {
            self.reader.cursor = self.reader.cursor.max(self.state.next());
            actions.push(Action::Read {
                from: self.reader.cursor,
                wait_ms: READ_WAIT_MS,
            });
        }
    }

    fn is_log_silent(&self, now_ms: u64) -> bool {
        self.heads
            .silent_ms(now_ms)
            .is_none_or(|silent_ms| silent_ms > self.head_timeout_ms)
    }

    fn query_peer(&mut self, now_ms: u64, created_ms: u64, actions: &mut Vec<Action>) {
        let is_overdue = now_ms.saturating_sub(created_ms) >= START_TIMEOUT_MS;
        let needs_start = !self.has_started && (is_overdue || self.reader.failures > 0);
        let behind_ms = self.heads.behind_ms(now_ms);
        let is_behind = behind_ms.is_some_and(|ms| ms >= BEHIND_QUERY_MS);
        let is_needed = needs_start || is_behind || self.reader.is_stuck;
        if is_needed && self.peer_query.try_start(now_ms) {
            let from = self.has_started.then_some(self.state.next());
            actions.push(Action::QueryPeer { from });
        }
    }

    fn write_checkpoint(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let first_retained = self.reader.first_retained;
        let can_write = self.has_started
            && self.state.next() > Offset::default()
            && self.state.next() >= first_retained;
        if can_write && self.schedule.try_start_write(now_ms, first_retained) {
            actions.push(Action::WriteCheckpoint(self.state.checkpoint()));
        }
    }
}
