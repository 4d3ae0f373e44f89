//! Neighbours, shard homes and ranks, which every instance computes identically
//! from names alone.
//!
//! Neighbours are the successor and predecessor on each of [`RINGS`] rings. A
//! ring orders the instances of a zone by a hash of ring and name, so an instance
//! that leaves changes only the neighbours of its two adjacent instances on each
//! ring. Homes and ranks use rendezvous hashing.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{InstanceName, WorkspaceName, ZoneName};

/// Number of rings on which an instance has a successor and a predecessor.
pub const RINGS: u64 = 3;
/// Number of shards into which workspaces and claims are divided.
pub const SHARDS: u8 = 16;

const RING_SEED: u64 = 0x0100;
const SHARD_SEED: u64 = 0x0200;
const ZONE_SEED: u64 = 0x0300;

/// Shard of the workspaces, with one home in each zone.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Shard(pub u8);

impl Shard {
    /// Returns the shard of a hash.
    pub fn of_hash(hash: u64) -> Self {
        Self((hash % u64::from(SHARDS)) as u8)
    }

    /// Returns the shard of a workspace.
    pub fn of(workspace: &WorkspaceName) -> Self {
        Self::of_hash(xxh3_64_with_seed(workspace.as_str().as_bytes(), 0))
    }

    /// Iterates over every shard.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARDS).map(Self)
    }
}

/// Duty for which the instances of a zone are ranked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty<'a> {
    /// Being the home of a shard.
    Home(Shard),
    /// Following the configuration stream.
    ConfigTail,
    /// Writing checkpoints of the configuration.
    Checkpoint,
    /// Placing models.
    Placer,
    /// Persisting requests that crash backend servers on the log.
    Quarantine,
    /// Sending the zone's digest to another zone.
    ZoneLink(&'a ZoneName),
}

impl Duty<'_> {
    fn seed(self) -> u64 {
        match self {
            Self::Home(shard) => SHARD_SEED + u64::from(shard.0),
            Self::ConfigTail => 1,
            Self::Checkpoint => 2,
            Self::Placer => 3,
            Self::Quarantine => 4,
            Self::ZoneLink(zone) => xxh3_64_with_seed(zone.as_str().as_bytes(), ZONE_SEED),
        }
    }
}

fn rank_weight(seed: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), seed)
}

/// Returns the neighbours of `own_name` among the members of its zone, sorted by name.
/// The relation is symmetric: each is a neighbour of the other.
pub fn neighbours<'a>(
    own_name: &InstanceName,
    members: impl Iterator<Item = &'a InstanceName> + Clone,
) -> Vec<&'a InstanceName> {
    let mut found = Vec::with_capacity(2 * RINGS as usize);
    for ring in 0..RINGS {
        let seed = RING_SEED + ring;
        let own_weight = rank_weight(seed, own_name.as_str());
        let others = members.clone().filter(|name| *name != own_name);
        let ring_distance =
            |name: &&InstanceName| rank_weight(seed, name.as_str()).wrapping_sub(own_weight);
        found.extend(
            others
                .clone()
                .min_by_key(|name| (ring_distance(name), *name)),
        );
        found.extend(others.max_by_key(|name| (ring_distance(name), *name)));
    }
    found.sort_unstable();
    found.dedup();
    found
}

/// Returns the member with the highest rank for a duty.
pub fn highest_ranked<'a>(
    duty: Duty<'_>,
    members: impl Iterator<Item = &'a InstanceName>,
) -> Option<&'a InstanceName> {
    let seed = duty.seed();
    members.max_by_key(|name| (rank_weight(seed, name.as_str()), Reverse(*name)))
}

/// Returns the members in descending order of rank for a duty.
pub fn ranked<'a>(
    duty: Duty<'_>,
    members: impl Iterator<Item = &'a InstanceName>,
) -> Vec<&'a InstanceName> {
    let seed = duty.seed();
    let mut order: Vec<_> = members.collect();
    order.sort_by_cached_key(|name| (Reverse(rank_weight(seed, name.as_str())), *name));
    order
}

/// Returns the zone whose home divides a shard's quotas among the zones.
pub fn lead_zone<'a>(
    shard: Shard,
    zones: impl Iterator<Item = &'a ZoneName>,
) -> Option<&'a ZoneName> {
    let seed = SHARD_SEED + u64::from(shard.0);
    zones.max_by_key(|zone| (rank_weight(seed, zone.as_str()), Reverse(*zone)))
}
