//! Decides which instances read the store, and when.
//!
//! The scheduler polls the store and sends changes to the other instances. This bounds the
//! load on the store when hundreds of instances start together, or lose the store or the
//! scheduler together. If each of them read the store, calls would grow with the instances
//! and bytes with instances times servers. Both are expensive: with 295 instances, a day
//! with an outage of 8 s and a loss of all power cost 46 calls each.
//!
//! So an instance that receives updates relies on them for as long as the platform's bounds
//! allow. A few instances in each availability zone, the reserves, read earlier than the
//! others would and then update them. When the store fails, only the scheduler and the
//! reserves retry it often.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use super::RoutingConfig;
use crate::ids::{InstanceName, ZoneName};

/// Reserves in each availability zone; one remains if the other fails.
const RESERVES_PER_ZONE: usize = 2;
/// Percentage of the bound after which a follower without updates reads the store; a read
/// and a retry fit into the rest.
const FOLLOWER_PERCENT: u64 = 75;
/// The same for a reserve, which reads and sends updates before the followers read. Without
/// faults, updates are up to 1.1 s old, 55 per cent of the shortest bound in use; at 50 per
/// cent, the reserves of nine instances made 400 calls to the store in 34 s.
const RESERVE_PERCENT: u64 = 60;
/// The same for a member of a cell that does not read the store, and does not schedule.
const CELL_MEMBER_PERCENT: u64 = 200;
/// First and longest retry pause of the scheduler and the reserves, in ms; they notice within
/// a second that the store has recovered.
const EAGER_PAUSES_MS: [u64; 2] = [100, 800];
/// First and longest retry pause of followers, in ms. They receive updates and retry only in
/// case no instance that reaches the store reaches them. An outage of 8 s costs each of them
/// three calls.
const PATIENT_PAUSES_MS: [u64; 2] = [2_000, 8_000];

/// Time in which the scheduler's link carries a configuration to all instances that it
/// schedules for, at most, in ms. Each of them reads a larger one from the store, since the
/// scheduler calls no server while its link is saturated.
const RELAY_MS: u64 = 500;
/// Largest configuration that one instance sends to the others, in bytes: it fits into a
/// message together with a listing of the servers of a cell.
const MAX_RELAYED_BYTES: usize = 256 << 10;
/// Encoded size of a route without its names, in bytes.
const ROUTE_BYTES: usize = 60;

/// Tells whether `config` is sent to `receivers` instances that reach the store themselves, over
/// a link of `link_bytes_per_s`.
pub fn is_relayed_to_peers(
    config: &RoutingConfig,
    receivers: usize,
    link_bytes_per_s: u64,
) -> bool {
    let routes = config.routes.iter();
    let routes = routes.map(|route| {
        let names = [&route.name, &route.host, &route.path_prefix];
        ROUTE_BYTES + names.map(String::len).into_iter().sum::<usize>()
    });
    let workspaces = config.workspaces.iter().flatten();
    let keys = workspaces.flat_map(|workspace| &workspace.keys);
    let bytes = routes.sum::<usize>() + keys.map(String::len).sum::<usize>();
    let budget_bytes = link_bytes_per_s * RELAY_MS / 1_000;
    bytes <= MAX_RELAYED_BYTES && (bytes * receivers) as u64 <= budget_bytes
}

/// Share of its link that an instance uses for full listings, in per cent, which leaves room
/// for its other traffic. Without this bound, hundreds of instances that start together and
/// can't read the store request a listing each from the same instance, and again until it
/// arrives.
const LISTING_PERCENT: u64 = 40;
/// Most servers of one listing, which has to fit into a message.
const MAX_LISTED_SERVERS: usize = 4_096;
/// Encoded size of a server, in bytes.
const SERVER_BYTES: u64 = 140;

/// Limits the rate at which an instance sends full listings to instances without any state.
#[derive(Clone, Copy, Debug)]
pub struct ListingBudget {
    bytes_per_s: u64,
    /// Time at which the listings sent so far are paid for, in ms.
    busy_until_ms: u64,
}

impl ListingBudget {
    /// Returns the budget of an instance with a link of `link_bytes_per_s`.
    pub fn new(link_bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s: (link_bytes_per_s * LISTING_PERCENT / 100).max(1),
            busy_until_ms: 0,
        }
    }

    /// Takes a listing of `servers` out of the budget; returns false if it is used up, or if the
    /// listing does not fit into a message.
    pub fn try_take(&mut self, now_ms: u64, servers: usize) -> bool {
        if self.busy_until_ms > now_ms + 1_000 || servers > MAX_LISTED_SERVERS {
            return false;
        }
        let bytes = servers as u64 * SERVER_BYTES;
        let duration_ms = bytes * 1_000 / self.bytes_per_s;
        self.busy_until_ms = self.busy_until_ms.max(now_ms) + duration_ms;
        true
    }
}

/// Time bounds within which changes by the platform must be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PropagationBounds {
    /// Bound for a configuration, in ms.
    pub configuration_ms: u64,
    /// Bound after which a leaving server gets no new requests, in ms.
    pub leaving_ms: u64,
}

impl PropagationBounds {
    /// Returns the shorter bound, in ms.
    pub fn shortest_ms(self) -> u64 {
        self.configuration_ms.min(self.leaving_ms)
    }
}

/// Role of an instance in reading the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRole {
    /// It schedules, and reads the store for all instances.
    Scheduler,
    /// It reads the store when the scheduler sends no updates.
    Reserve,
    /// It reads the store when neither the scheduler nor a reserve sends updates.
    Follower,
    /// It belongs to a cell whose scheduler gets updates for all its members. It reads the store
    /// only when that fails as well: if all members did, a large fleet would exceed the calls
    /// that the store serves.
    CellMember,
}

impl StoreRole {
    /// Returns the role of `instance`.
    pub fn of(
        instance: &InstanceName,
        scheduler: Option<&InstanceName>,
        reserves: &[InstanceName],
    ) -> Self {
        if scheduler == Some(instance) {
            Self::Scheduler
        } else if reserves.contains(instance) {
            Self::Reserve
        } else {
            Self::Follower
        }
    }

    /// Returns the age of the last update after which the instance reads the store, in ms.
    /// `has_store` says whether the scheduler reaches the store; if it does not, reserves poll
    /// the store in its place.
    pub fn store_read_age_ms(self, in_force: PropagationBounds, has_store: bool) -> u64 {
        let percent = match self {
            Self::Scheduler => 0,
            Self::Reserve if !has_store => 0,
            Self::Reserve => RESERVE_PERCENT,
            Self::Follower => FOLLOWER_PERCENT,
            Self::CellMember => CELL_MEMBER_PERCENT,
        };
        in_force.shortest_ms() * percent / 100
    }

    /// Returns the age of the last update after which the instance queries the reserves, in
    /// ms. `has_store` says whether this instance reaches the store: a scheduler that does not
    /// polls the reserves, since all others wait for its updates.
    pub fn reserve_query_age_ms(self, in_force: PropagationBounds, has_store: bool) -> u64 {
        match self {
            Self::Scheduler if !has_store => 0,
            Self::Scheduler | Self::Reserve | Self::Follower => {
                in_force.shortest_ms() * RESERVE_PERCENT / 100
            }
            Self::CellMember => in_force.shortest_ms() * CELL_MEMBER_PERCENT / 100,
        }
    }

    /// Returns the pause after a failed call that follows `failures` failed ones, in ms.
    fn pause_ms(self, failures: u32) -> u64 {
        let [first_ms, longest_ms] = match self {
            Self::Scheduler | Self::Reserve => EAGER_PAUSES_MS,
            Self::Follower | Self::CellMember => PATIENT_PAUSES_MS,
        };
        let doubled_ms = first_ms.checked_shl(failures).unwrap_or(longest_ms);
        doubled_ms.min(longest_ms)
    }
}

/// Returns the reserves among the listed instances: the first ones of each availability zone
/// by a hash of their names, which restarts do not change.
pub fn reserves<'a>(
    listed: impl IntoIterator<Item = (&'a InstanceName, &'a ZoneName)>,
) -> Vec<InstanceName> {
    let mut reserves = Vec::new();
    for ranked in ranked_by_zone(listed).values() {
        let first = ranked.iter().take(RESERVES_PER_ZONE);
        reserves.extend(first.map(|(_, instance)| (*instance).clone()));
    }
    reserves
}

/// Returns the instances of each availability zone in the order of a hash of their names.
pub(super) fn ranked_by_zone<'a>(
    listed: impl IntoIterator<Item = (&'a InstanceName, &'a ZoneName)>,
) -> BTreeMap<&'a ZoneName, Vec<(u64, &'a InstanceName)>> {
    let mut zones: BTreeMap<&ZoneName, Vec<(u64, &InstanceName)>> = BTreeMap::new();
    for (instance, zone) in listed {
        let rank = xxh3_64(instance.as_str().as_bytes());
        zones.entry(zone).or_default().push((rank, instance));
    }
    for ranked in zones.values_mut() {
        ranked.sort_unstable();
    }
    zones
}

/// Schedules retries of store calls after a failure: one call at a time, of any kind, until
/// one succeeds.
///
/// The pause is that of the instance's role at the time of the check: an instance that becomes the
/// scheduler during a pause must not finish the longer one of a follower.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreRetry {
    failures: u32,
    failed_at_ms: u64,
    /// Where in the range of its pause this instance retries, from 0 to 1.
    jitter: f64,
    is_trying: bool,
}

impl StoreRetry {
    /// Begins a call of an instance with this role, or returns the time until its next attempt, in
    /// ms.
    pub fn begin(&mut self, now_ms: u64, role: StoreRole) -> Option<u64> {
        let earlier_failures = self.failures.checked_sub(1)?;
        if self.is_trying {
            return Some(EAGER_PAUSES_MS[0]);
        }
        let pause_ms = role.pause_ms(earlier_failures);
        let jitter_ms = (pause_ms as f64 * self.jitter) as u64;
        let retry_at_ms = self.failed_at_ms + pause_ms / 2 + jitter_ms;
        if now_ms < retry_at_ms {
            return Some(retry_at_ms - now_ms);
        }
        self.is_trying = true;
        None
    }

    /// Tells whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Records a successful call.
    pub fn on_answered(&mut self) {
        *self = Self::default();
    }

    /// Records a failed call; `jitter`, from 0 to 1, differs between instances, so that they
    /// do not retry at the same time.
    pub fn on_failed(&mut self, now_ms: u64, jitter: f64) {
        if self.failures > 0 && !self.is_trying {
            // The call began before the first failure was known.
            return;
        }
        self.failures += 1;
        self.is_trying = false;
        self.failed_at_ms = now_ms;
        self.jitter = jitter;
    }
}
