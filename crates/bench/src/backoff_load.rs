//! Plays requests of many instances to servers some of which reject what they get and ask for
//! backoff, with the core's own book of backoffs at each instance.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_core::{forwarding::ServerBackoffs, ids::BackendName};

/// Requests a second that come to each server while all take them.
pub const PER_SERVER_S: f64 = 8.0;
/// Part of that which a server takes that is short of capacity.
const SHORT_CAPACITY: f64 = 0.5;
/// Time until the other instances have learnt of a backoff, in ms.
const GOSSIP_MS: u64 = 400;
/// Servers that one request is sent to at most.
const MAX_SENDS: u32 = 2;

/// Whose requests a backoff keeps from a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// None: `Retry-After` is not read.
    Ignored,
    /// Those of the instance that was asked.
    Asked,
    /// Those of all instances, as soon as they have learnt of it.
    Shared,
    /// Those of the instance that was asked; the others pass the server over where another
    /// one takes a request.
    PassedOver,
}

/// Why servers reject requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shedding {
    /// They reject everything.
    Everything,
    /// They take half of their usual requests, and reject what is beyond.
    Excess,
}

/// One load.
#[derive(Clone, Copy, Debug)]
pub struct BackoffLoad {
    /// Instances.
    pub instances: usize,
    /// Servers, each the home of as many sessions.
    pub servers: usize,
    /// Those of them that reject requests.
    pub shedding: usize,
    /// What they reject.
    pub kind: Shedding,
    /// Backoff that they ask for, in ms.
    pub backoff_ms: u64,
    /// Length of the play, in ms.
    pub length_ms: u64,
    /// Seed of the play.
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Part of the requests that a server took.
    pub served: f64,
    /// Sends that were rejected, a second and shedding server.
    pub rejected_per_s: f64,
    /// Part of the requests that were sent again.
    pub repeated: f64,
    /// Part of what shedding servers would take that they got.
    pub used: f64,
}

/// A server that takes some requests a second.
#[derive(Clone, Copy, Debug)]
struct Capacity {
    per_ms: f64,
    tokens: f64,
    at_ms: u64,
}

impl Capacity {
    /// Tells whether it takes a request now.
    fn take(&mut self, now_ms: u64) -> bool {
        let most = 1.0 + self.per_ms * 100.0;
        let elapsed_ms = (now_ms - self.at_ms) as f64;
        self.tokens = (self.tokens + elapsed_ms * self.per_ms).min(most);
        self.at_ms = now_ms;
        let is_taken = self.tokens >= 1.0;
        if is_taken {
            self.tokens -= 1.0;
        }
        is_taken
    }
}

struct Play {
    load: BackoffLoad,
    way: Way,
    names: Vec<BackendName>,
    views: Vec<ServerBackoffs>,
    /// Backoffs that each instance has received from the others.
    received: Vec<ServerBackoffs>,
    capacities: Vec<Capacity>,
    /// Backoffs in flight to the other instances: arrival, server and end.
    in_flight: Vec<(u64, usize, u64)>,
    rng: Pcg64Mcg,
}

/// Plays a load one way.
pub fn play(load: BackoffLoad, way: Way) -> Outcome {
    let per_ms = match load.kind {
        Shedding::Everything => 0.0,
        Shedding::Excess => PER_SERVER_S * SHORT_CAPACITY / 1_000.0,
    };
    let mut play = Play {
        load,
        way,
        names: (0..load.servers)
            .map(|number| BackendName::new(format!("i-{number}")))
            .collect(),
        views: empty_views(load.instances),
        received: empty_views(load.instances),
        capacities: vec![
            Capacity {
                per_ms,
                tokens: 0.0,
                at_ms: 0,
            };
            load.shedding
        ],
        in_flight: Vec::new(),
        rng: Pcg64Mcg::seed_from_u64(load.seed),
    };
    play.run()
}

fn empty_views(instances: usize) -> Vec<ServerBackoffs> {
    let views = (0..instances).map(|_| ServerBackoffs::default());
    views.collect()
}

impl Play {
    fn run(&mut self) -> Outcome {
        let per_s = PER_SERVER_S * self.load.servers as f64;
        let length_s = self.load.length_ms as f64 / 1_000.0;
        let requests = (per_s * length_s) as u64;
        let (mut served, mut rejected, mut repeated, mut used) = (0, 0, 0, 0);
        for number in 0..requests {
            let now_ms = (number as f64 / per_s * 1_000.0) as u64;
            self.deliver(now_ms);
            let instance = self.rng.random_range(0..self.load.instances);
            let home = self.rng.random_range(0..self.load.servers);
            let mut tried = None;
            for send in 0..MAX_SENDS {
                let Some(server) = self.choose(now_ms, instance, home, tried) else {
                    break;
                };
                repeated += u64::from(send > 0);
                if self.is_taken(now_ms, server) {
                    served += 1;
                    used += u64::from(server < self.load.shedding);
                    break;
                }
                rejected += 1;
                self.on_rejected(now_ms, instance, server);
                tried = Some(server);
            }
        }
        let shedding = self.load.shedding as f64 * length_s;
        Outcome {
            served: served as f64 / requests as f64,
            rejected_per_s: rejected as f64 / shedding,
            repeated: repeated as f64 / requests as f64,
            used: used as f64 / (shedding * PER_SERVER_S * SHORT_CAPACITY),
        }
    }

    /// Chooses the home of a request, or another server at random.
    fn choose(
        &mut self,
        now_ms: u64,
        instance: usize,
        home: usize,
        tried: Option<usize>,
    ) -> Option<usize> {
        let (view, received) = (&self.views[instance], &self.received[instance]);
        let names = &self.names;
        let is_open = |at: &usize| Some(*at) != tried && view.allows(now_ms, &names[*at]);
        let is_better = |at: &usize| is_open(at) && received.allows(now_ms, &names[*at]);
        let first = self.rng.random_range(0..names.len());
        let others = (0..names.len()).map(|turn| (first + turn) % names.len());
        let mut in_order = std::iter::once(home).chain(others);
        let better = in_order.clone().find(is_better);
        better.or_else(|| in_order.find(is_open))
    }

    fn is_taken(&mut self, now_ms: u64, server: usize) -> bool {
        let capacity = self.capacities.get_mut(server);
        capacity.is_none_or(|capacity| capacity.take(now_ms))
    }

    fn on_rejected(&mut self, now_ms: u64, instance: usize, server: usize) {
        if self.way == Way::Ignored {
            return;
        }
        let backoff_ms = self.load.backoff_ms;
        let is_new = self.views[instance].on_request(now_ms, &self.names[server], backoff_ms);
        if is_new && matches!(self.way, Way::Shared | Way::PassedOver) {
            self.in_flight
                .push((now_ms + GOSSIP_MS, server, now_ms + backoff_ms));
        }
    }

    /// Delivers the backoffs that are due to all instances.
    fn deliver(&mut self, now_ms: u64) {
        let names = &self.names;
        let views = match self.way {
            Way::PassedOver => &mut self.received,
            Way::Ignored | Way::Asked | Way::Shared => &mut self.views,
        };
        self.in_flight.retain(|(at_ms, server, until_ms)| {
            let is_due = *at_ms <= now_ms;
            if is_due {
                for view in views.iter_mut() {
                    let left_ms = until_ms.saturating_sub(now_ms);
                    view.on_request(now_ms, &names[*server], left_ms);
                }
            }
            !is_due
        });
    }
}
