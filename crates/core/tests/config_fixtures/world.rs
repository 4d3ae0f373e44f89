//! A log, links and many followers on one simulated clock.

use std::{cmp::Reverse, collections::BinaryHeap};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_core::{
    config::{
        Action, ConfigRecord, Content, Duties, Event, Follower, FollowerSettings, Progress,
        READ_WAIT_MS, Received, Snapshot, TICK_MS,
    },
    ids::Offset,
};

const LINK_MS: u64 = 2;
const PEER_REPORT_MS: u64 = 1_000;
const READ_TIMEOUT_MS: u64 = 1_000;
const TAILERS: usize = 2;

/// Faults of the log.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    pub outage: bool,
    pub slow_ms: u64,
    /// Records from this offset on are not delivered, though the head shows them.
    pub hidden_from: Option<u64>,
    /// The record at this offset is left out of deliveries.
    pub missing: Option<u64>,
}

pub struct Log {
    pub records: Vec<(u64, ConfigRecord)>,
    pub first: u64,
    pub faults: Faults,
    pub reads: u64,
}

#[derive(Clone)]
enum Task {
    Tick,
    Report,
    Event(Event),
    ServeRead,
    AppendParts(Vec<ConfigRecord>),
}

pub struct Node {
    pub follower: Follower,
    /// Neither log nor peers are reached.
    pub is_cut: bool,
    /// Only the log is not reached.
    pub is_off_log: bool,
    /// It takes no event at all.
    is_frozen: bool,
    pub actions: Vec<Action>,
    /// Start of its clock.
    born_ms: u64,
    next_seen: Offset,
    /// The read that the log has open: its first offset and its end.
    reading: Option<(u64, u64)>,
    /// What arrived while it was frozen.
    backlog: Vec<Task>,
}

impl Node {
    pub fn is_frozen(&self) -> bool {
        self.is_frozen
    }
}

pub struct World {
    pub now_ms: u64,
    pub log: Log,
    pub nodes: Vec<Node>,
    pub retention_ms: u64,
    /// Whole states that were passed between nodes.
    pub snapshots: u64,
    tasks: BinaryHeap<Reverse<(u64, u64, usize)>>,
    payloads: Vec<Option<Task>>,
    rng: Pcg64Mcg,
}

impl World {
    pub fn new(nodes: usize, retention_ms: u64, seed: u64) -> Self {
        let mut world = Self {
            now_ms: 0,
            log: Log {
                records: Vec::new(),
                first: 0,
                faults: Faults::default(),
                reads: 0,
            },
            nodes: Vec::new(),
            retention_ms,
            snapshots: 0,
            tasks: BinaryHeap::new(),
            payloads: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        for _ in 0..nodes {
            world.add_node();
        }
        world
    }

    pub fn add_node(&mut self) -> usize {
        let index = self.nodes.len();
        let seed = self.rng.random();
        self.nodes.push(Node {
            follower: Follower::new(FollowerSettings {
                retention_ms: self.retention_ms,
                seed,
            }),
            is_cut: false,
            is_off_log: false,
            is_frozen: false,
            actions: Vec::new(),
            born_ms: self.now_ms,
            next_seen: Offset::default(),
            reading: None,
            backlog: Vec::new(),
        });
        self.assign_duties();
        let phase_ms = self.rng.random_range(0..TICK_MS);
        self.after(phase_ms, index, Task::Tick);
        self.after(phase_ms, index, Task::Report);
        index
    }

    /// Freezes a process, or thaws it to find what arrived meanwhile.
    pub fn set_frozen(&mut self, node: usize, is_frozen: bool) {
        self.nodes[node].is_frozen = is_frozen;
        if !is_frozen {
            for task in std::mem::take(&mut self.nodes[node].backlog) {
                self.after(0, node, task);
            }
        }
    }

    /// Ranks the nodes that are not frozen.
    pub fn assign_duties(&mut self) {
        let live: Vec<_> = (0..self.nodes.len())
            .filter(|node| !self.nodes[*node].is_frozen)
            .collect();
        for (rank, node) in live.into_iter().enumerate() {
            let duties = Duties {
                follows_log: rank < TAILERS,
                checkpoint_rank: rank as u64,
            };
            self.after(0, node, Task::Event(Event::Duties(duties)));
        }
    }

    pub fn append(&mut self, record: ConfigRecord) {
        self.log.records.push((self.now_ms, record));
        for node in 0..self.nodes.len() {
            if self.nodes[node].reading.is_some() {
                self.after(0, node, Task::ServeRead);
            }
        }
    }

    pub fn run_for(&mut self, span_ms: u64) {
        let end_ms = self.now_ms + span_ms;
        while let Some(Reverse((at_ms, id, node))) = self.tasks.peek().copied()
            && at_ms <= end_ms
        {
            self.tasks.pop();
            self.now_ms = at_ms;
            self.trim();
            if let Some(task) = self.payloads[id as usize].take() {
                self.run(node, task);
            }
        }
        self.now_ms = end_ms;
    }

    /// Runs until every node that `counts` has `next`, and returns how long
    /// that took; `None` when it took longer than `limit_ms`.
    pub fn run_until_in_force(
        &mut self,
        next: u64,
        limit_ms: u64,
        counts: impl Fn(&Node) -> bool,
    ) -> Option<u64> {
        let start_ms = self.now_ms;
        while self.now_ms - start_ms <= limit_ms {
            let mut counted = self.nodes.iter().filter(|node| counts(node));
            if counted.all(|node| node.follower.state().next().0 >= next) {
                return Some(self.now_ms - start_ms);
            }
            self.run_for(1);
        }
        None
    }

    pub fn progress(&self, node: usize) -> Progress {
        let node = &self.nodes[node];
        node.follower.progress(self.now_ms - node.born_ms)
    }

    pub fn next_of(&self, node: usize) -> u64 {
        self.nodes[node].follower.state().next().0
    }

    fn trim(&mut self) {
        let kept_since_ms = self.now_ms.saturating_sub(self.retention_ms);
        let records = &self.log.records;
        while (records.get(self.log.first as usize)).is_some_and(|x| x.0 < kept_since_ms) {
            self.log.first += 1;
        }
    }

    fn after(&mut self, delay_ms: u64, node: usize, task: Task) {
        let id = self.payloads.len();
        self.payloads.push(Some(task));
        self.tasks
            .push(Reverse((self.now_ms + delay_ms, id as u64, node)));
    }

    fn run(&mut self, node: usize, task: Task) {
        if self.nodes[node].is_frozen {
            return self.nodes[node].backlog.push(task);
        }
        match task {
            Task::Tick => {
                self.after(TICK_MS, node, Task::Tick);
                self.event(node, Event::Tick);
            }
            Task::Report => {
                self.after(PEER_REPORT_MS, node, Task::Report);
                let next = self.nodes[node].follower.state().next();
                self.send_neighbours(node, &Event::PeerOffset(next));
            }
            Task::Event(event) => self.event(node, event),
            Task::ServeRead => self.serve_read(node),
            Task::AppendParts(parts) => {
                if !self.log.faults.outage && !self.nodes[node].is_cut {
                    for part in parts {
                        self.append(part);
                    }
                }
                self.event(node, Event::CheckpointWritten);
            }
        }
    }

    fn event(&mut self, node: usize, event: Event) {
        let state = &mut self.nodes[node];
        let actions = (state.follower).on_event(self.now_ms - state.born_ms, event);
        let next = self.nodes[node].follower.state().next();
        assert!(next >= self.nodes[node].next_seen, "the state went back");
        self.nodes[node].next_seen = next;
        for action in actions {
            self.nodes[node].actions.push(action.clone());
            self.act(node, action);
        }
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::Read { from, wait_ms } => {
                assert_eq!(wait_ms, READ_WAIT_MS);
                let delay_ms = LINK_MS + self.log.faults.slow_ms;
                let until_ms = self.now_ms + delay_ms + wait_ms;
                self.nodes[node].reading = Some((from.0, until_ms));
                self.log.reads += 1;
                self.after(delay_ms, node, Task::ServeRead);
                self.after(delay_ms + wait_ms, node, Task::ServeRead);
            }
            Action::Relay { head, records } => {
                self.send_neighbours(node, &Event::Relayed { head, records });
            }
            Action::QueryPeer { from } => self.ask_peer(node, from),
            Action::WriteCheckpoint(parts) => {
                let parts = parts.into_iter().map(ConfigRecord::Checkpoint).collect();
                self.after(LINK_MS, node, Task::AppendParts(parts));
            }
            Action::Decided { .. } | Action::Adopted { .. } => {}
        }
    }

    fn serve_read(&mut self, node: usize) {
        let state = &self.nodes[node];
        let Some((from, until_ms)) = state.reading else {
            return;
        };
        if self.now_ms + READ_WAIT_MS < until_ms {
            return; // It is still on its way to the log.
        }
        let Log {
            faults,
            first,
            records,
            ..
        } = &self.log;
        let is_lost = state.is_cut || state.is_off_log || faults.slow_ms > READ_TIMEOUT_MS;
        if is_lost {
            let failed = Task::Event(Event::ReadFailed);
            self.nodes[node].reading = None;
            return self.after(READ_TIMEOUT_MS, node, failed);
        }
        let next = records.len() as u64;
        let visible = faults.hidden_from.unwrap_or(next).min(next);
        let event = if faults.outage {
            Event::ReadFailed
        } else if from < *first {
            let first = Offset(*first);
            Event::Trimmed { first }
        } else if from < visible || self.now_ms >= until_ms {
            let offsets = (from..visible).filter(|offset| Some(*offset) != faults.missing);
            Event::Read {
                first: Offset(*first),
                next: Offset(next),
                records: offsets.map(|offset| self.received(offset)).collect(),
            }
        } else {
            return;
        };
        self.nodes[node].reading = None;
        self.after(LINK_MS, node, Task::Event(event));
    }

    fn received(&self, offset: u64) -> Received {
        let (at_ms, record) = &self.log.records[offset as usize];
        Received {
            offset: Offset(offset),
            age_ms: self.now_ms - at_ms,
            content: Content::Record(record.clone()),
        }
    }

    fn send_neighbours(&mut self, node: usize, event: &Event) {
        let count = self.nodes.len();
        let mut neighbours: Vec<_> = [1, count / 3, count / 2]
            .into_iter()
            .flat_map(|step| [(node + step) % count, (node + count - step) % count])
            .filter(|other| *other != node)
            .collect();
        neighbours.sort_unstable();
        neighbours.dedup();
        for other in neighbours {
            if !self.nodes[node].is_cut && !self.nodes[other].is_cut {
                self.after(LINK_MS, other, Task::Event(event.clone()));
            }
        }
    }

    fn ask_peer(&mut self, node: usize, from: Option<Offset>) {
        let mut snapshot = None;
        if let Some(peer) = self.peer_of(node) {
            let asked = &self.nodes[peer];
            let now_ms = self.now_ms - asked.born_ms;
            let recent = |from| asked.follower.recent(now_ms, from);
            let records = from.map(recent).unwrap_or_default();
            match asked.follower.head(now_ms) {
                Some(head) if !records.is_empty() => {
                    let relayed = Event::Relayed { head, records };
                    self.after(2 * LINK_MS, node, Task::Event(relayed));
                }
                _ => {
                    self.snapshots += 1;
                    snapshot = Some(Box::new(Snapshot {
                        state: asked.follower.state().clone(),
                        age_ms: self.progress(peer).age_ms,
                    }));
                }
            }
        }
        self.after(2 * LINK_MS, node, Task::Event(Event::Snapshot(snapshot)));
    }

    fn peer_of(&self, node: usize) -> Option<usize> {
        let is_reached = |other: &usize| {
            let peer = &self.nodes[*other];
            let is_up = !peer.is_cut && !peer.is_frozen && !self.nodes[node].is_cut;
            *other != node && is_up && self.progress(*other).has_started
        };
        let reached = (0..self.nodes.len()).filter(is_reached);
        reached.max_by_key(|other| self.next_of(*other))
    }
}
