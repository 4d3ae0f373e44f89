//! Rates, and the messages by which a workspace's quota is divided.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    ids::{WorkspaceName, ZoneName},
    topology::Shard,
};

/// A rate in millionths of a request a second.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rate(pub u64);

impl Rate {
    /// Returns the rate of `per_s` requests a second.
    pub fn per_s(per_s: u32) -> Self {
        Self(u64::from(per_s) * 1_000_000)
    }

    /// Returns `part` of `whole` equal parts, rounded down.
    #[must_use]
    pub fn fraction(self, part: u32, whole: u32) -> Self {
        let product = u128::from(self.0) * u128::from(part);
        Self((product / u128::from(whole.max(1))) as u64)
    }

    /// Returns what is left after taking `other`, or none.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the sum, at most the highest rate there is.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

/// Time for which a grant may be used, counted from the report that it answers,
/// in ms. A home counts what its claimants hold for as long after the last report.
pub const GRANT_VALIDITY_MS: u64 = 3_000;
/// Time after the last grant for which a claimant keeps to the lower of what it
/// was granted and its safe share, in ms. It is long enough for a home to take
/// back what it had lent of that share: by a zone's home to the lead it is
/// noticed after twice [`GRANT_VALIDITY_MS`], since the zone's instances hold on for one,
/// and what others were granted meanwhile lapses after another two.
pub const GRANT_HOLD_MS: u64 = 4 * GRANT_VALIDITY_MS;
/// Part of its safe share that a claimant always keeps.
const FLOOR_PARTS: u32 = 10;

/// Least floor of a zone. Lending what is less would cost more messages than it
/// is worth: most workspaces of a large deployment are that small.
pub const MIN_ZONE_FLOOR: Rate = Rate(1_000_000);

/// A claimant's part of a quota, as instances of all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimantSize {
    /// Instances of the claimant.
    pub members: u32,
    /// Those of them that its home does not hear, which go by their safe share.
    pub unreachable_members: u32,
    /// Instances of the whole deployment.
    pub total_members: u32,
    /// What the claimant is.
    pub level: Level,
}

/// What a claimant of a quota is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// An instance, of its zone's home.
    Instance,
    /// A zone, of the lead.
    Zone,
}

impl ClaimantSize {
    /// Returns the safe share of `quota`, which needs no word from anyone.
    pub fn safe_share(self, quota: Rate) -> Rate {
        quota.fraction(self.members, self.total_members)
    }

    /// Returns what the claimant keeps even of a quota that it does not use.
    pub fn floor(self, quota: Rate) -> Rate {
        let heard = self.members.saturating_sub(self.unreachable_members);
        let floor = quota
            .fraction(heard, self.total_members)
            .fraction(1, FLOOR_PARTS);
        let floor = floor.saturating_add(quota.fraction(
            self.unreachable_members.min(self.members),
            self.total_members,
        ));
        match self.level {
            Level::Instance => floor,
            Level::Zone => floor.max(self.safe_share(quota).min(MIN_ZONE_FLOOR)),
        }
    }
}

/// A workspace in messages between instances: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkspaceKey(pub u64);

impl WorkspaceKey {
    /// Returns the key of a workspace.
    pub fn of(workspace: &WorkspaceName) -> Self {
        Self(xxh3_64_with_seed(workspace.as_str().as_bytes(), 0))
    }

    /// Returns the shard that the workspace belongs to.
    pub fn shard(self) -> Shard {
        Shard::of_hash(self.0)
    }
}

/// Demand for one active workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Workspace.
    pub key: WorkspaceKey,
    /// Rate that is asked for.
    pub wanted: Rate,
    /// Highest rate that may still be in use.
    pub held: Rate,
    /// Requests that are to be made up for at once, in thousandths; asked for
    /// when requests are too few to speak of a rate.
    pub missing: u32,
}

/// Who asks for a part of a shard's quotas.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum QuotaClaimant {
    /// The sending instance, of its zone's home.
    Instance,
    /// The home of a zone, of the lead zone's home.
    Zone(ZoneName),
}

/// Demand for the active workspaces of one shard. Every workspace that is not
/// named is idle: its claimant keeps to the floor of its share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Shard.
    pub shard: Shard,
    /// Who asks.
    pub claimant: QuotaClaimant,
    /// Sender's clock, which the answer returns.
    pub stamp_ms: u64,
    /// Instances of a claiming zone that its home does not hear.
    pub cut: u32,
    /// Active workspaces.
    pub demands: Vec<Demand>,
    /// Term of the home that granted last; by another one the home knows that
    /// the claimant has just turned to it.
    pub term: Option<u64>,
}

/// Rate granted for one workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Workspace.
    pub key: WorkspaceKey,
    /// Rate that may be used.
    pub rate: Rate,
    /// Requests made up for, in thousandths.
    pub made_up: u32,
}

/// Answer to a [`UsageReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageGrant {
    /// Shard.
    pub shard: Shard,
    /// Clock of the report.
    pub stamp_ms: u64,
    /// Term of the home that grants. A home that lost its table, or that became
    /// home again, has another term.
    pub term: u64,
    /// Age of what the home knows of the other zones, in ms.
    pub age_ms: u32,
    /// A rate for each workspace of the report.
    pub grants: Vec<Grant>,
    /// Whether the home knows what every claimant holds, so that what an earlier
    /// home granted does not matter any more.
    pub is_settled: bool,
}
