//! Grants requests to rate-limited backend servers.
//!
//! An overloaded server may announce a limit as low as one request a second for all instances
//! together. Because of session affinity, up to hundreds of instances send to it, each of which
//! sees only its own requests. With a fixed share for each instance, most of the limit would
//! stay unused, as few of the instances have a request for that server.
//!
//! So the scheduler grants each send. During a partition there are several schedulers: each
//! grants the fraction of the limit that corresponds to the fraction of live instances that it
//! has seen lately. A scheduler starts with an empty bucket, since another one may just have
//! granted the same requests.
//!
//! Where all servers of a service are limited, requests are admitted before their stages, at
//! the rate of all limits together and the most urgent first. Other requests are rejected
//! immediately with `Retry-After`.

use std::{collections::HashMap, hash::Hash};

use serde::{Deserialize, Serialize};

use crate::{
    bucket::{BucketRates, TokenBucket},
    ids::{BackendName, InstanceName, PoolName},
    quota::Rate,
};

/// Floor for rate limits, in requests per second; keeps servers with a limit of zero probed.
pub(crate) const MIN_LIMIT_PER_S: f64 = 0.25;
/// Ceiling for rate limits, in requests per second.
const MAX_LIMIT_PER_S: f64 = 1e6;
/// A request a second, as a [`Rate`].
const REQUEST_PER_S: f64 = 1e6;
/// Time since the last query of an instance within which it counts as reached, in ms; six
/// queries.
const SEEN_WITHIN_MS: u64 = 1_500;
/// Time since the last query of an instance after which it counts as gone, in ms; partitions
/// heal and instances restart sooner.
const LEFT_MS: u64 = 60_000;
/// Time for which capacity is reserved for requests of a priority after the last one, in ms.
const URGENT_MS: u64 = 10_000;
/// Lower bound of the time until the next grant query, in ms.
const MIN_RETRY_IN_MS: u64 = 50;
/// Upper bound of that time, in ms; the share grows as soon as more instances are seen.
const MAX_RETRY_IN_MS: u64 = 1_000;
/// Lower bound of `Retry-After`, in ms.
const MIN_RETRY_AFTER_MS: u64 = 200;
/// Upper bound of `Retry-After`, in ms.
const MAX_RETRY_AFTER_MS: u64 = 10_000;
/// Time after which the bucket of an idle server is evicted, in ms.
const IDLE_MS: u64 = 60_000;
/// Most buckets of servers, and of services; grants for further ones are refused.
const MAX_BUCKETS: usize = 4_096;

/// One request, in thousandths of a request.
const ONE_MILLI: u64 = 1_000;
/// Burst allowance shared by all instances, in thousandths of a request.
const SPARE_MILLI: f64 = 2_000.0;
/// Burst allowance as the time in which a limit refills it, in ms.
const SPARE_MS: f64 = 500.0;

/// Purpose of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantPurpose {
    /// To begin a request's stages; all servers of its service have a limit.
    Admission,
    /// To send a request.
    Send,
    /// Only to learn the `Retry-After`; nothing is granted.
    ReturnTime,
}

impl GrantPurpose {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Admission => "admission",
            Self::Send => "send",
            Self::ReturnTime => "return_time",
        }
    }
}

/// Requests a grant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantQuery {
    /// Service of the servers.
    pub service: PoolName,
    /// Purpose of the grant.
    pub purpose: GrantPurpose,
    /// Candidates in order of preference, with the limits that the sender knows, in requests
    /// per second.
    pub servers: Vec<(BackendName, f64)>,
    /// Rank of the request, 0 being the most urgent.
    pub priority: u8,
}

/// Response to a [`GrantQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantState {
    /// The request may be sent to this server; for an admission, to any server.
    Granted(BackendName),
    /// The request may not be sent now.
    Closed {
        /// Time until a grant for one of the servers may be requested again, in ms.
        retry_in_ms: u64,
        /// `Retry-After` of the caller if no other server takes the request, in ms.
        retry_after_ms: u64,
    },
}

/// When an instance was listed and when it sent its last query.
#[derive(Clone, Copy, Debug)]
struct LastSeen {
    /// Time at which it was listed, in ms.
    listed_at_ms: u64,
    /// Time of its last query, in ms.
    seen_at_ms: Option<u64>,
}

/// The share of one limit, or of the sum of several, that an instance grants.
#[derive(Clone, Copy, Debug)]
struct LimitShare {
    flow: BucketRates,
    /// Largest burst, in thousandths of a request.
    depth_milli: u64,
}

/// Token bucket of one limit.
#[derive(Clone, Copy, Debug)]
struct GrantBucket {
    bucket: TokenBucket,
    last_query_ms: u64,
}

/// Admission state of one service.
#[derive(Clone, Copy, Debug)]
struct Admission {
    issued: GrantBucket,
    /// Return time of the last rejected caller, in ms.
    returns_at_ms: u64,
    /// Most urgent recent rank, and the time of its last query, in ms.
    most_urgent: (u8, u64),
}

/// Issues the grants of one instance.
#[derive(Debug)]
pub struct LimitGrants {
    instance: InstanceName,
    last_seen: HashMap<InstanceName, LastSeen>,
    servers: HashMap<BackendName, GrantBucket>,
    services: HashMap<PoolName, Admission>,
}

impl LimitGrants {
    /// Creates the grants of `instance`, which has seen no other instance.
    pub fn new(instance: InstanceName) -> Self {
        Self {
            instance,
            last_seen: HashMap::new(),
            servers: HashMap::new(),
            services: HashMap::new(),
        }
    }

    /// Replaces the list of instances.
    pub fn set_listed(&mut self, now_ms: u64, instances: &[InstanceName]) {
        let mut before = std::mem::take(&mut self.last_seen);
        let others = instances.iter().filter(|name| **name != self.instance);
        let seen = others.map(|name| {
            let new = LastSeen {
                listed_at_ms: now_ms,
                seen_at_ms: None,
            };
            (name.clone(), before.remove(name).unwrap_or(new))
        });
        self.last_seen = seen.collect();
    }

    /// Records a query of an instance.
    pub fn on_seen(&mut self, now_ms: u64, instance: &InstanceName) {
        if let Some(seen) = self.last_seen.get_mut(instance) {
            seen.seen_at_ms = Some(now_ms);
        }
    }

    /// Returns the share of all limits that this instance grants.
    pub fn share(&self, now_ms: u64) -> f64 {
        let is_within = |at_ms: u64, within_ms| at_ms + within_ms > now_ms;
        let others = self.last_seen.values();
        let living = others
            .clone()
            .filter(|seen| is_within(seen.seen_at_ms.unwrap_or(seen.listed_at_ms), LEFT_MS));
        let seen = others.filter(|seen| {
            seen.seen_at_ms
                .is_some_and(|at| is_within(at, SEEN_WITHIN_MS))
        });
        (seen.count() + 1) as f64 / (living.count() + 1) as f64
    }

    /// Returns a grant, or when to retry and the `Retry-After` of the caller. `limit_per_s`
    /// returns the current limit of a server, given the reported one; none if it has no limit.
    pub fn grant(
        &mut self,
        now_ms: u64,
        query: &GrantQuery,
        limit_per_s: impl Fn(&BackendName, f64) -> Option<f64>,
    ) -> GrantState {
        let share = self.share(now_ms);
        let mut limit_shares = Vec::with_capacity(query.servers.len());
        for (server, reported_per_s) in &query.servers {
            match limit_per_s(server, *reported_per_s) {
                Some(limit_per_s) => {
                    limit_shares.push((server, LimitShare::of(limit_per_s, share)))
                }
                None => return GrantState::Granted(server.clone()),
            }
        }
        let total = LimitShare::sum(limit_shares.iter().map(|(_, limit_share)| *limit_share));
        match (query.purpose, query.servers.first()) {
            (GrantPurpose::Send, _) => self.grant_send(now_ms, query, &limit_shares, total),
            (GrantPurpose::Admission, Some((best, _))) if self.admit(now_ms, query, total) => {
                GrantState::Granted(best.clone())
            }
            (GrantPurpose::Admission | GrantPurpose::ReturnTime, _) => {
                self.reject(now_ms, query, total, MIN_RETRY_IN_MS)
            }
        }
    }

    fn grant_send(
        &mut self,
        now_ms: u64,
        query: &GrantQuery,
        limit_shares: &[(&BackendName, LimitShare)],
        total: LimitShare,
    ) -> GrantState {
        let mut retry_in_ms = MAX_RETRY_IN_MS;
        for (server, limit_share) in limit_shares {
            let Some(issued) = self.issued(now_ms, server) else {
                continue;
            };
            issued
                .bucket
                .refill_up_to(now_ms, limit_share.flow, limit_share.depth_milli);
            if issued.bucket.try_take() {
                return GrantState::Granted((*server).clone());
            }
            retry_in_ms = retry_in_ms.min(issued.bucket.wait_ms(limit_share.flow));
        }
        self.reject(now_ms, query, total, retry_in_ms.max(MIN_RETRY_IN_MS))
    }

    /// Admits a request to a service all of whose servers have limits; a less urgent request
    /// leaves capacity for one more urgent request.
    fn admit(&mut self, now_ms: u64, query: &GrantQuery, total: LimitShare) -> bool {
        let Some(admission) = self.admission(now_ms, &query.service) else {
            return false;
        };
        let (most_urgent, seen_ms) = admission.most_urgent;
        let is_most_urgent = query.priority <= most_urgent || seen_ms + URGENT_MS <= now_ms;
        if is_most_urgent {
            admission.most_urgent = (query.priority, now_ms);
        }
        let bucket = &mut admission.issued.bucket;
        bucket.refill_up_to(now_ms, total.flow, total.depth_milli + ONE_MILLI);
        if is_most_urgent {
            return bucket.try_take();
        }
        let mut after = *bucket;
        let leaves_capacity = after.try_take() && after.clone().try_take();
        if leaves_capacity {
            *bucket = after;
        }
        leaves_capacity
    }

    /// Rejects a query; spaces the `Retry-After` of callers at the rate at which the servers
    /// take requests.
    fn reject(
        &mut self,
        now_ms: u64,
        query: &GrantQuery,
        total: LimitShare,
        retry_in_ms: u64,
    ) -> GrantState {
        let step_ms = (REQUEST_PER_S * 1_000.0 / total.flow.rate.0.max(1) as f64) as u64;
        let (earliest_ms, latest_ms) = (now_ms + MIN_RETRY_AFTER_MS, now_ms + MAX_RETRY_AFTER_MS);
        let returns_at_ms = match self.admission(now_ms, &query.service) {
            None => latest_ms,
            Some(admission) => {
                let next_ms = admission.returns_at_ms.max(now_ms).saturating_add(step_ms);
                admission.returns_at_ms = next_ms.clamp(earliest_ms, latest_ms);
                admission.returns_at_ms
            }
        };
        GrantState::Closed {
            retry_in_ms,
            retry_after_ms: returns_at_ms - now_ms,
        }
    }

    fn admission(&mut self, now_ms: u64, service: &PoolName) -> Option<&mut Admission> {
        let new = Admission {
            issued: GrantBucket::new(now_ms),
            returns_at_ms: now_ms,
            most_urgent: (u8::MAX, now_ms),
        };
        let last_query_ms = |admission: &Admission| admission.issued.last_query_ms;
        let admission = entry_or_insert(&mut self.services, now_ms, service, new, last_query_ms)?;
        admission.issued.last_query_ms = now_ms;
        Some(admission)
    }

    fn issued(&mut self, now_ms: u64, server: &BackendName) -> Option<&mut GrantBucket> {
        let new = GrantBucket::new(now_ms);
        let last_query_ms = |issued: &GrantBucket| issued.last_query_ms;
        let issued = entry_or_insert(&mut self.servers, now_ms, server, new, last_query_ms)?;
        issued.last_query_ms = now_ms;
        Some(issued)
    }
}

impl GrantBucket {
    fn new(now_ms: u64) -> Self {
        Self {
            bucket: TokenBucket::empty(now_ms),
            last_query_ms: now_ms,
        }
    }
}

/// Returns the entry of `key`, or inserts `new`; evicts idle entries if the map is full.
fn entry_or_insert<'a, K: Clone + Eq + Hash, V>(
    entries: &'a mut HashMap<K, V>,
    now_ms: u64,
    key: &K,
    new: V,
    last_query_ms: impl Fn(&V) -> u64,
) -> Option<&'a mut V> {
    if !entries.contains_key(key) {
        if entries.len() >= MAX_BUCKETS {
            entries.retain(|_, entry| last_query_ms(entry) + IDLE_MS > now_ms);
        }
        if entries.len() >= MAX_BUCKETS {
            return None;
        }
        entries.insert(key.clone(), new);
    }
    entries.get_mut(key)
}

impl LimitShare {
    fn of(limit_per_s: f64, share: f64) -> Self {
        let limit_per_s = limit_per_s.clamp(MIN_LIMIT_PER_S, MAX_LIMIT_PER_S);
        let share_per_s = limit_per_s * share;
        let spare_milli = SPARE_MILLI * share + share_per_s * SPARE_MS;
        Self {
            flow: BucketRates {
                rate: Rate((share_per_s * REQUEST_PER_S) as u64),
                safe: Rate(0),
            },
            depth_milli: ONE_MILLI + spare_milli as u64,
        }
    }

    fn sum(limit_shares: impl Iterator<Item = Self>) -> Self {
        let none = BucketRates {
            rate: Rate(0),
            safe: Rate(0),
        };
        let mut sum = Self {
            flow: none,
            depth_milli: 0,
        };
        for limit_share in limit_shares {
            sum.flow.rate = sum.flow.rate.saturating_add(limit_share.flow.rate);
            sum.depth_milli = sum.depth_milli.saturating_add(limit_share.depth_milli);
        }
        sum
    }
}
