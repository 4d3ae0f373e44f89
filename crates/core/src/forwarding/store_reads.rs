//! Decides which instances read the store, and when.
//!
//! One instance, that which schedules, reads it all the time and tells the others what
//! has changed. The load that this answers: hundreds of instances start together, lose
//! the store together, or lose the one that tells them. If each then asks the store for
//! itself, calls grow with the instances and bytes with instances times servers, and
//! both are dear: with 295 instances a day with an outage of 8 s and a loss of all power
//! cost 46 calls each.
//!
//! So who is told goes by that for as long as the platform's bounds allow. A few in
//! each availability zone, the reserves, read before the others would, so that the
//! others can be told again; and where the store fails, only the reserves and the one
//! that schedules try it often.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use super::RoutingConfig;
use crate::ids::{InstanceName, ZoneName};

/// Reserves of an availability zone: two, so that the loss of one leaves one.
const RESERVES_PER_ZONE: usize = 2;
/// Part of the bound from which one that is not told any more reads itself, in per
/// cent: a read and another try fit into the rest.
const FOLLOWER_PERCENT: u64 = 75;
/// The same for a reserve: it has been read and told on before the others read. What is
/// told is up to 1.1 s old on a calm day, 55 per cent of the shortest bound that there is;
/// with 50 per cent the reserves of nine instances made 400 calls of the store in 34 s.
const RESERVE_PERCENT: u64 = 60;
/// Pauses after a call that failed of those that others rely on, in ms: a store that is
/// back is noticed within a second.
const EAGER_PAUSES_MS: [u64; 2] = [100, 800];
/// The same of all others, in ms: they are told, and try for the case that nobody who
/// reaches the store reaches them. An outage of 8 s costs three calls of each.
const PATIENT_PAUSES_MS: [u64; 2] = [2_000, 8_000];

/// Largest configuration that one instance tells the others, in bytes: 300 of them take
/// it from a link of 200 Mbit/s in less than half a second. A larger one is read from
/// the store by each: with 1,550 routes the link of the one that schedules was full for
/// three seconds, in which it called no server.
const MOST_TOLD_BYTES: usize = 32 << 10;
/// Bytes of a route between instances, without its names.
const ROUTE_BYTES: usize = 60;

/// Tells whether one instance tells `config` to others who reach the store.
pub fn is_relayed_to_peers(config: &RoutingConfig) -> bool {
    let routes = config.routes.iter();
    let routes = routes.map(|route| {
        let names = [&route.name, &route.host, &route.path_prefix];
        ROUTE_BYTES + names.map(String::len).into_iter().sum::<usize>()
    });
    let keys = config
        .workspaces
        .iter()
        .flat_map(|workspace| &workspace.keys);
    routes.sum::<usize>() + keys.map(String::len).sum::<usize>() <= MOST_TOLD_BYTES
}

/// Bytes that one instance tells in a second to those that know nothing: less than half
/// of the smallest link, so that what it does for others goes on. Hundreds that start
/// together and can't read the store would ask the same one for half a megabyte each, and
/// again as long as that does not come; with 3,000 servers none had it after 30 s.
const TOLD_BYTES_PER_S: u64 = 1_000_000;
/// Bytes of a server between instances.
const SERVER_BYTES: u64 = 140;

/// Bounds what an instance tells to those that know nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListingBudget {
    /// Time until which what was told takes the budget, in ms.
    busy_until_ms: u64,
}

impl ListingBudget {
    /// Takes a listing of `servers` out of the budget, if that is not used up.
    pub fn try_take(&mut self, now_ms: u64, servers: usize) -> bool {
        if self.busy_until_ms > now_ms + 1_000 {
            return false;
        }
        let bytes = servers as u64 * SERVER_BYTES;
        let takes_ms = bytes * 1_000 / TOLD_BYTES_PER_S;
        self.busy_until_ms = self.busy_until_ms.max(now_ms) + takes_ms;
        true
    }
}

/// Times within which what the platform says has to be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PropagationBounds {
    /// Time within which a configuration has to be, in ms.
    pub configuration_ms: u64,
    /// Time within which a server that is leaving gets nothing new, in ms.
    pub leaving_ms: u64,
}

impl PropagationBounds {
    /// Returns the shorter of both, in ms.
    pub fn shortest_ms(self) -> u64 {
        self.configuration_ms.min(self.leaving_ms)
    }
}

/// What an instance has to do with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRole {
    /// It schedules, and reads the store for all.
    Scheduler,
    /// It reads it when the one that schedules does not tell what is new.
    Reserve,
    /// It reads it when nobody tells what is new.
    Follower,
}

impl StoreRole {
    /// Returns what `me` is.
    pub fn of(
        me: &InstanceName,
        scheduler: Option<&InstanceName>,
        reserves: &[InstanceName],
    ) -> Self {
        if scheduler == Some(me) {
            Self::Scheduler
        } else if reserves.contains(me) {
            Self::Reserve
        } else {
            Self::Follower
        }
    }

    /// Returns the age of what it was told last from which it reads the store itself,
    /// in ms. `has_store` says whether the one that schedules reaches the store: where
    /// it does not, reserves read it all the time, as that one does otherwise.
    pub fn store_read_age_ms(self, in_force: PropagationBounds, has_store: bool) -> u64 {
        let percent = match self {
            Self::Scheduler => 0,
            Self::Reserve if !has_store => 0,
            Self::Reserve => RESERVE_PERCENT,
            Self::Follower => FOLLOWER_PERCENT,
        };
        in_force.shortest_ms() * percent / 100
    }

    /// Returns the age of what it knows from which it queries the reserves, in ms.
    /// `has_store` says whether this instance reaches the store: a scheduler that does not
    /// queries them all the time, as all others wait for what it tells them.
    pub fn reserve_query_age_ms(self, in_force: PropagationBounds, has_store: bool) -> u64 {
        match self {
            Self::Scheduler if !has_store => 0,
            Self::Scheduler | Self::Reserve | Self::Follower => {
                in_force.shortest_ms() * RESERVE_PERCENT / 100
            }
        }
    }

    /// Returns the pause after a call that failed after `failures` others, in ms.
    fn pause_ms(self, failures: u32) -> u64 {
        let [first_ms, longest_ms] = match self {
            Self::Scheduler | Self::Reserve => EAGER_PAUSES_MS,
            Self::Follower => PATIENT_PAUSES_MS,
        };
        let doubled_ms = first_ms.checked_shl(failures).unwrap_or(longest_ms);
        doubled_ms.min(longest_ms)
    }
}

/// Returns the reserves among the instances that are listed: the first of each
/// availability zone by a hash of their names, which restarts do not change.
pub fn reserves<'a>(
    listed: impl IntoIterator<Item = (&'a InstanceName, &'a ZoneName)>,
) -> Vec<InstanceName> {
    let mut zones: BTreeMap<&ZoneName, Vec<(u64, &InstanceName)>> = BTreeMap::new();
    for (instance, zone) in listed {
        let rank = xxh3_64(instance.as_str().as_bytes());
        zones.entry(zone).or_default().push((rank, instance));
    }
    let mut reserves = Vec::new();
    for ranked in zones.values_mut() {
        ranked.sort_unstable();
        let first = ranked.iter().take(RESERVES_PER_ZONE);
        reserves.extend(first.map(|(_, instance)| (*instance).clone()));
    }
    reserves
}

/// When the store is tried again after calls that failed: one call at a time, whatever
/// it is for, until one is answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreRetry {
    failures: u32,
    retry_at_ms: u64,
    is_trying: bool,
}

impl StoreRetry {
    /// Begins a call, or returns how long to wait for the next try, in ms.
    pub fn begin(&mut self, now_ms: u64) -> Option<u64> {
        if self.failures == 0 {
            return None;
        }
        if self.is_trying {
            return Some(EAGER_PAUSES_MS[0]);
        }
        if now_ms < self.retry_at_ms {
            return Some(self.retry_at_ms - now_ms);
        }
        self.is_trying = true;
        None
    }

    /// Tells whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Notes a call that was answered.
    pub fn on_answered(&mut self) {
        *self = Self::default();
    }

    /// Notes a call that failed; `spread`, from 0 to 1, differs from instance to
    /// instance, so that they do not try together.
    pub fn on_failed(&mut self, now_ms: u64, reader: StoreRole, spread: f64) {
        if self.failures > 0 && !self.is_trying {
            // It was begun together with the first that failed.
            return;
        }
        let pause_ms = reader.pause_ms(self.failures);
        self.failures += 1;
        self.is_trying = false;
        self.retry_at_ms = now_ms + pause_ms / 2 + (pause_ms as f64 * spread) as u64;
    }
}
