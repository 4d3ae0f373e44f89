//! Many membership cores in one process, joined by a network of queues with
//! seeded delays, cuts and freezes, on a clock of its own.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_core::{
    ids::{Incarnation, InstanceName, RegionName, ZoneName},
    membership::{Action, Event, Gossip, Identity, Membership, OwnState, TICK_MS},
    roster::ListedInstance,
};
use savoryvane_wire::peer::{Message, encode};

/// Time until a closed gossip stream is opened again, in ms.
const REOPEN_MS: u64 = 300;
/// Time for which bytes to a frozen instance wait before their connection is
/// given up, in ms.
const QUIET_MS: u64 = 2_000;
/// One-way delay within a zone, in ms.
const ZONE_DELAY_MS: u64 = 1;
/// One-way delay between zones, in ms.
const FAR_DELAY_MS: u64 = 3;

/// Messages and bytes that left or reached an instance, and the time that its
/// handlers took.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Messages sent.
    pub sent: u64,
    /// Bytes sent, as frames.
    pub sent_bytes: u64,
    /// Messages received.
    pub received: u64,
    /// Bytes received, as frames.
    pub received_bytes: u64,
    /// Time spent in handlers.
    pub busy: Duration,
}

/// Whether an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Running {
    /// It runs.
    Yes,
    /// It is frozen since a time, in ms.
    Frozen(u64),
    /// It is gone.
    No,
}

/// One instance of the net.
#[derive(Debug)]
pub struct Node {
    /// Its core.
    pub core: Membership,
    /// Whether it runs.
    pub running: Running,
    /// Its traffic.
    pub traffic: Traffic,
    /// What it was told to do besides sending.
    pub told: Vec<Action>,
    identity: Identity,
    own: OwnState,
    kept: BTreeSet<InstanceName>,
    linked: BTreeSet<InstanceName>,
    waiting: Vec<(u64, usize, Gossip)>,
}

#[derive(Debug)]
enum Due {
    Tick(usize),
    Reopen(usize),
    Deliver(usize, usize, Gossip),
}

/// Says which messages from one instance to another get lost.
pub type Cut = Box<dyn Fn(&Identity, &Identity) -> bool>;

/// The instances and the network between them.
pub struct PeerNet {
    /// Time, in ms.
    pub now_ms: u64,
    /// The instances.
    pub nodes: Vec<Node>,
    index: HashMap<InstanceName, usize>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    due: HashMap<u64, Due>,
    scheduled: u64,
    cut: Cut,
    rng: Pcg64Mcg,
    counts_bytes: bool,
}

impl PeerNet {
    /// Creates `per_zone` instances in each of `zones` zones, none started yet.
    pub fn new(seed: u64, zones: usize, per_zone: usize) -> Self {
        let mut net = Self {
            now_ms: 0,
            nodes: Vec::new(),
            index: HashMap::new(),
            queue: BinaryHeap::new(),
            due: HashMap::new(),
            scheduled: 0,
            cut: Box::new(|_, _| false),
            rng: Pcg64Mcg::seed_from_u64(seed),
            counts_bytes: false,
        };
        for index in 0..zones * per_zone {
            net.add(identity(index, index % zones, zones));
        }
        net
    }

    /// Counts bytes with the real codec from now on.
    pub fn count_bytes(&mut self) {
        self.counts_bytes = true;
    }

    /// Tells every instance the list of those in `listed`.
    pub fn list(&mut self, listed: &[usize]) {
        let list: Vec<_> = listed.iter().map(|i| self.listed(*i)).collect();
        for index in 0..self.nodes.len() {
            self.apply(index, Event::Listed(list.clone()));
        }
    }

    /// Tells one instance the list of those in `listed`.
    pub fn list_to(&mut self, index: usize, listed: &[usize]) {
        let list = listed.iter().map(|i| self.listed(*i)).collect();
        self.apply(index, Event::Listed(list));
    }

    /// Replaces the rule by which messages get lost.
    pub fn set_cut(&mut self, cut: impl Fn(&Identity, &Identity) -> bool + 'static) {
        self.cut = Box::new(cut);
    }

    /// Sets what an instance says of itself.
    pub fn set_own(&mut self, index: usize, own: OwnState) {
        self.nodes[index].own = own;
        self.apply(index, Event::OwnStateChanged(own));
    }

    /// Gives an instance an event.
    pub fn apply(&mut self, index: usize, event: Event) {
        if self.nodes[index].running != Running::Yes {
            return;
        }
        let start = Instant::now();
        let actions = self.nodes[index].core.on_event(self.now_ms, event);
        self.nodes[index].traffic.busy += start.elapsed();
        for action in actions {
            self.act(index, action);
        }
    }

    /// Ends an instance without a word.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].running = Running::No;
        self.nodes[index].linked.clear();
        self.nodes[index].waiting.clear();
        self.unlink(index);
    }

    /// Starts another run of an instance at the same address, its clock off by
    /// `clock_skew_s`.
    pub fn restart(&mut self, index: usize, clock_skew_s: i64) {
        self.kill(index);
        let mut identity = self.nodes[index].identity.clone();
        identity.incarnation = Incarnation(identity.incarnation.0.wrapping_mul(31) + 7);
        identity.started_at_s = identity
            .started_at_s
            .saturating_add_signed((self.now_ms / 1_000) as i32 + clock_skew_s as i32);
        let node = &mut self.nodes[index];
        node.core = Membership::new(self.now_ms, identity.clone());
        node.identity = identity;
        node.running = Running::Yes;
        node.kept.clear();
        node.told.clear();
        let own = node.own;
        self.apply(index, Event::OwnStateChanged(own));
    }

    /// Stops an instance where it stands.
    pub fn freeze(&mut self, index: usize) {
        self.nodes[index].running = Running::Frozen(self.now_ms);
    }

    /// Lets a frozen instance go on.
    pub fn thaw(&mut self, index: usize) {
        let Running::Frozen(since_ms) = self.nodes[index].running else {
            return;
        };
        self.nodes[index].running = Running::Yes;
        let waiting = std::mem::take(&mut self.nodes[index].waiting);
        if self.now_ms - since_ms > QUIET_MS {
            self.nodes[index].linked.clear();
            self.unlink(index);
        }
        for (at_ms, from, gossip) in waiting {
            if at_ms <= since_ms + QUIET_MS {
                self.receive(from, index, gossip);
            }
        }
    }

    /// Runs for `duration_ms`.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while let Some(Reverse((at_ms, number))) = self.queue.peek().copied() {
            if at_ms > end_ms {
                break;
            }
            self.queue.pop();
            self.now_ms = self.now_ms.max(at_ms);
            if let Some(due) = self.due.remove(&number) {
                self.handle(due);
            }
        }
        self.now_ms = end_ms;
    }

    /// Runs until `holds`, at most for `limit_ms`; returns the time it took.
    pub fn run_until(&mut self, limit_ms: u64, holds: impl Fn(&Self) -> bool) -> Option<u64> {
        let start_ms = self.now_ms;
        while !holds(self) {
            if self.now_ms - start_ms >= limit_ms {
                return None;
            }
            self.run(50);
        }
        Some(self.now_ms - start_ms)
    }

    /// Returns the indices of the instances that run.
    pub fn running(&self) -> Vec<usize> {
        let is_running = |i: &usize| self.nodes[*i].running == Running::Yes;
        (0..self.nodes.len()).filter(is_running).collect()
    }

    /// Returns the identity of an instance.
    pub fn identity(&self, index: usize) -> &Identity {
        &self.nodes[index].identity
    }

    fn add(&mut self, identity: Identity) {
        let index = self.nodes.len();
        self.index.insert(identity.instance.clone(), index);
        self.nodes.push(Node {
            core: Membership::new(0, identity.clone()),
            running: Running::Yes,
            traffic: Traffic::default(),
            told: Vec::new(),
            identity,
            own: OwnState::default(),
            kept: BTreeSet::new(),
            linked: BTreeSet::new(),
            waiting: Vec::new(),
        });
        let phase_ms = self.rng.random_range(0..TICK_MS);
        self.schedule(phase_ms, Due::Tick(index));
        self.schedule(phase_ms, Due::Reopen(index));
    }

    fn listed(&self, index: usize) -> ListedInstance {
        let identity = &self.nodes[index].identity;
        ListedInstance {
            instance: identity.instance.clone(),
            zone: identity.zone.clone(),
            addr: identity.addr,
            is_leaving: false,
        }
    }

    fn schedule(&mut self, at_ms: u64, due: Due) {
        self.scheduled += 1;
        self.queue.push(Reverse((at_ms, self.scheduled)));
        self.due.insert(self.scheduled, due);
    }

    fn handle(&mut self, due: Due) {
        match due {
            Due::Tick(index) => {
                self.schedule(self.now_ms + TICK_MS, Due::Tick(index));
                self.apply(index, Event::Tick);
            }
            Due::Reopen(index) => {
                self.schedule(self.now_ms + REOPEN_MS, Due::Reopen(index));
                self.reopen(index);
            }
            Due::Deliver(from, to, gossip) => self.receive(from, to, gossip),
        }
    }

    fn reopen(&mut self, index: usize) {
        if self.nodes[index].running != Running::Yes {
            return;
        }
        let closed: Vec<_> = {
            let node = &self.nodes[index];
            node.kept.difference(&node.linked).cloned().collect()
        };
        for peer in closed {
            let Some(&to) = self.index.get(&peer) else {
                continue;
            };
            if self.nodes[to].running == Running::Yes && !self.is_cut(index, to) {
                self.nodes[index].linked.insert(peer.clone());
                self.apply(index, Event::PeerConnected(peer));
            }
        }
    }

    fn act(&mut self, index: usize, action: Action) {
        match action {
            Action::ConnectTo(peers) => {
                let node = &mut self.nodes[index];
                node.kept = peers.into_iter().map(|peer| peer.instance).collect();
                node.linked = node.linked.intersection(&node.kept).cloned().collect();
            }
            Action::Send { to, gossip } => self.send(index, &to, gossip),
            other => self.nodes[index].told.push(other),
        }
    }

    fn send(&mut self, from: usize, to: &InstanceName, gossip: Gossip) {
        let Some(&index) = self.index.get(to) else {
            return;
        };
        if !self.nodes[from].linked.contains(to) {
            return;
        }
        let bytes = if self.counts_bytes {
            frame_bytes(&gossip)
        } else {
            0
        };
        let traffic = &mut self.nodes[from].traffic;
        traffic.sent += 1;
        traffic.sent_bytes += bytes;
        if self.is_cut(from, index) || self.nodes[index].running == Running::No {
            self.nodes[from].linked.remove(to);
            return;
        }
        let is_near = self.nodes[from].identity.zone == self.nodes[index].identity.zone;
        let delay_ms = if is_near { ZONE_DELAY_MS } else { FAR_DELAY_MS };
        let jitter_ms = self.rng.random_range(0..=delay_ms);
        let at_ms = self.now_ms + delay_ms + jitter_ms;
        self.schedule(at_ms, Due::Deliver(from, index, gossip));
    }

    fn receive(&mut self, from: usize, to: usize, gossip: Gossip) {
        match self.nodes[to].running {
            Running::Yes => {}
            Running::Frozen(_) => {
                let now_ms = self.now_ms;
                return self.nodes[to].waiting.push((now_ms, from, gossip));
            }
            Running::No => return,
        }
        let traffic = &mut self.nodes[to].traffic;
        traffic.received += 1;
        if self.counts_bytes {
            traffic.received_bytes += frame_bytes(&gossip);
        }
        let from = self.nodes[from].identity.instance.clone();
        let event = match gossip {
            Gossip::Digests(batch) => Event::Digests { from, batch },
            Gossip::Zones(zones) => Event::Zones { from, zones },
            Gossip::Leaving(notice) => Event::Leaving {
                from: Some(from),
                notice,
            },
        };
        self.apply(to, event);
    }

    fn unlink(&mut self, index: usize) {
        let name = self.nodes[index].identity.instance.clone();
        for node in &mut self.nodes {
            node.linked.remove(&name);
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        (self.cut)(&self.nodes[from].identity, &self.nodes[to].identity)
    }
}

/// Turns gossip into the message that carries it.
pub fn message(gossip: Gossip) -> Message {
    match gossip {
        Gossip::Digests(batch) => Message::Digests(batch),
        Gossip::Leaving(notice) => Message::Leaving(notice),
        Gossip::Zones(zones) => Message::Zones(zones),
    }
}

fn frame_bytes(gossip: &Gossip) -> u64 {
    encode(&message(gossip.clone())).map_or(0, |frame| frame.len() as u64)
}

fn identity(index: usize, zone: usize, zones: usize) -> Identity {
    let host = [10, 0, (index / 250) as u8, (index % 250) as u8 + 1];
    Identity {
        instance: InstanceName::new(format!("entry-{index:03}")),
        incarnation: Incarnation((index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        zone: ZoneName::new(format!("zone-{zone}")),
        region: RegionName::new(format!("region-{}", zone * 2 / zones.max(1))),
        addr: SocketAddr::from((host, 7_000)),
        started_at_s: 1_000_000,
    }
}

/// Counts the instances that each instance takes for live, itself included.
pub fn live_counts(net: &PeerNet) -> BTreeMap<usize, usize> {
    let count = |i: usize| (i, net.nodes[i].core.live().len());
    net.running().into_iter().map(count).collect()
}
