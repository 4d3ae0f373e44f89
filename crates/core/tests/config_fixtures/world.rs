//! Simulation of a log, links and many followers on one clock.

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
    /// Records from this offset on are not delivered, although the head includes them.
    pub hidden_from: Option<u64>,
    /// The record at this offset is omitted from deliveries.
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
    /// Neither the log nor peers are reachable.
    pub is_cut: bool,
    /// The log is unreachable, but peers are reachable.
    pub is_off_log: bool,
    /// The node processes no events.
    is_frozen: bool,
    pub actions: Vec<Action>,
    /// Start of the node's clock, in ms.
    clock_start_ms: u64,
    highest_next: Offset,
    /// First offset and end time, in ms, of the open read of the log.
    open_read: Option<(u64, u64)>,
    /// Tasks that arrived while the node was frozen.
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
    /// Number of complete states sent between nodes.
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
            clock_start_ms: self.now_ms,
            highest_next: Offset::default(),
            open_read: None,
            backlog: Vec::new(),
        });
        self.assign_duties();
        let phase_ms = self.rng.random_range(0..TICK_MS);
        self.schedule(phase_ms, index, Task::Tick);
        self.schedule(phase_ms, index, Task::Report);
        index
    }

    /// Freezes a node, or thaws it and delivers the tasks that arrived meanwhile.
    pub fn set_frozen(&mut self, node: usize, is_frozen: bool) {
        self.nodes[node].is_frozen = is_frozen;
        if !is_frozen {
            for task in std::mem::take(&mut self.nodes[node].backlog) {
                self.schedule(0, node, task);
            }
        }
    }

    /// Assigns duties to the nodes that are not frozen, by rank.
    pub fn assign_duties(&mut self) {
        let live: Vec<_> = (0..self.nodes.len())
            .filter(|node| !self.nodes[*node].is_frozen)
            .collect();
        for (rank, node) in live.into_iter().enumerate() {
            let duties = Duties {
                follows_log: rank < TAILERS,
                checkpoint_rank: rank as u64,
            };
            self.schedule(0, node, Task::Event(Event::Duties(duties)));
        }
    }

    pub fn append(&mut self, record: ConfigRecord) {
        self.log.records.push((self.now_ms, record));
        for node in 0..self.nodes.len() {
            if self.nodes[node].open_read.is_some() {
                self.schedule(0, node, Task::ServeRead);
            }
        }
    }

    pub fn run_for(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
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

    /// Runs until every node selected by `is_counted` has reached `next`. Returns the elapsed
    /// time in ms, or `None` if it exceeded `limit_ms`.
    pub fn run_until_in_force(
        &mut self,
        next: u64,
        limit_ms: u64,
        is_counted: impl Fn(&Node) -> bool,
    ) -> Option<u64> {
        let start_ms = self.now_ms;
        while self.now_ms - start_ms <= limit_ms {
            let mut counted = self.nodes.iter().filter(|node| is_counted(node));
            if counted.all(|node| node.follower.state().next().0 >= next) {
                return Some(self.now_ms - start_ms);
            }
            self.run_for(1);
        }
        None
    }

    pub fn progress(&self, node: usize) -> Progress {
        let node = &self.nodes[node];
        node.follower.progress(self.now_ms - node.clock_start_ms)
    }

    pub fn next_of(&self, node: usize) -> u64 {
        self.nodes[node].follower.state().next().0
    }

    fn trim(&mut self) {
        let retained_since_ms = self.now_ms.saturating_sub(self.retention_ms);
        let records = &self.log.records;
        while (records.get(self.log.first as usize)).is_some_and(|x| x.0 < retained_since_ms) {
            self.log.first += 1;
        }
    }

    fn schedule(&mut self, delay_ms: u64, node: usize, task: Task) {
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
                self.schedule(TICK_MS, node, Task::Tick);
                self.event(node, Event::Tick);
            }
            Task::Report => {
                self.schedule(PEER_REPORT_MS, node, Task::Report);
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
        let actions = (state.follower).on_event(self.now_ms - state.clock_start_ms, event);
        let next = self.nodes[node].follower.state().next();
        assert!(next >= self.nodes[node].highest_next, "the state went back");
        self.nodes[node].highest_next = next;
        for action in actions {
            self.nodes[node].actions.push(action.clone());
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        match action {
            Action::Read { from, wait_ms } => {
                assert_eq!(wait_ms, READ_WAIT_MS);
                let delay_ms = LINK_MS + self.log.faults.slow_ms;
                let until_ms = self.now_ms + delay_ms + wait_ms;
                self.nodes[node].open_read = Some((from.0, until_ms));
                self.log.reads += 1;
                self.schedule(delay_ms, node, Task::ServeRead);
                self.schedule(delay_ms + wait_ms, node, Task::ServeRead);
            }
            Action::Relay { head, records } => {
                self.send_neighbours(node, &Event::Relayed { head, records });
            }
            Action::QueryPeer { from } => self.ask_peer(node, from),
            Action::WriteCheckpoint(parts) => {
                let parts = parts.into_iter().map(ConfigRecord::Checkpoint).collect();
                self.schedule(LINK_MS, node, Task::AppendParts(parts));
            }
            Action::Decided { .. } | Action::Adopted { .. } => {}
        }
    }

    fn serve_read(&mut self, node: usize) {
        let state = &self.nodes[node];
        let Some((from, until_ms)) = state.open_read else {
            return;
        };
        if self.now_ms + READ_WAIT_MS < until_ms {
            return; // The read has not reached the log yet.
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
            self.nodes[node].open_read = None;
            return self.schedule(READ_TIMEOUT_MS, node, failed);
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
        self.nodes[node].open_read = None;
        self.schedule(LINK_MS, node, Task::Event(event));
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
                self.schedule(LINK_MS, other, Task::Event(event.clone()));
            }
        }
    }

    fn ask_peer(&mut self, node: usize, from: Option<Offset>) {
        let mut snapshot = None;
        if let Some(peer) = self.best_peer(node) {
            let peer_node = &self.nodes[peer];
            let now_ms = self.now_ms - peer_node.clock_start_ms;
            let recent = |from| peer_node.follower.recent(now_ms, from);
            let records = from.map(recent).unwrap_or_default();
            match peer_node.follower.head(now_ms) {
                Some(head) if !records.is_empty() => {
                    let relayed = Event::Relayed { head, records };
                    self.schedule(2 * LINK_MS, node, Task::Event(relayed));
                }
                _ => {
                    self.snapshots += 1;
                    snapshot = Some(Box::new(Snapshot {
                        state: peer_node.follower.state().clone(),
                        age_ms: self.progress(peer).age_ms,
                    }));
                }
            }
        }
        self.schedule(2 * LINK_MS, node, Task::Event(Event::Snapshot(snapshot)));
    }

    fn best_peer(&self, node: usize) -> Option<usize> {
        let is_reachable = |other: &usize| {
            let peer = &self.nodes[*other];
            let is_up = !peer.is_cut && !peer.is_frozen && !self.nodes[node].is_cut;
            *other != node && is_up && self.progress(*other).has_started
        };
        let reachable = (0..self.nodes.len()).filter(is_reachable);
        reachable.max_by_key(|other| self.next_of(*other))
    }
}
