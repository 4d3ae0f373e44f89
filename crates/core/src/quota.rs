//! Rates, and the messages that divide the quota of a workspace.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    ids::{WorkspaceName, ZoneName},
    topology::Shard,
};

/// A rate in millionths of a request per second.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rate(pub u64);

impl Rate {
    /// Returns the rate of `per_s` requests per second.
    pub fn per_s(per_s: u32) -> Self {
        Self(u64::from(per_s) * 1_000_000)
    }

    /// Returns this rate multiplied by `numerator / denominator`, rounded down.
    #[must_use]
    pub fn fraction(self, numerator: u32, denominator: u32) -> Self {
        let product = u128::from(self.0) * u128::from(numerator);
        Self((product / u128::from(denominator.max(1))) as u64)
    }

    /// Returns the difference, or zero if `other` is larger.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the sum, limited to the highest representable rate.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

/// Time for which a grant is valid, counted from the report that it responds to,
/// in ms. A home counts the rates held by a claimant for the same time after the
/// claimant's last report.
pub const GRANT_VALIDITY_MS: u64 = 3_000;
/// Time after the last grant for which a claimant uses at most the lower of its
/// granted rate and its safe share, in ms. A home needs this time to reclaim the
/// part of the share that it lent to others. A lead counts a zone as silent after
/// twice [`GRANT_VALIDITY_MS`], because grants within the zone are valid for one
/// period more than its own, and the grants to others expire after two more.
pub const GRANT_HOLD_MS: u64 = 4 * GRANT_VALIDITY_MS;
/// Divisor of the safe share that gives the floor of a claimant.
const FLOOR_DIVISOR: u32 = 10;

/// Minimum floor of a zone. Lending smaller rates would cost more messages than it
/// gains, since most workspaces of a large deployment are that small.
pub const MIN_ZONE_FLOOR: Rate = Rate(1_000_000);

/// Size of a claimant as a number of instances out of all instances. It determines
/// the claimant's safe share and floor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimantSize {
    /// Number of instances of the claimant.
    pub members: u32,
    /// Number of these instances that do not reach their home and use their safe
    /// share.
    pub unreachable_members: u32,
    /// Number of instances of the whole deployment.
    pub total_members: u32,
    /// Kind of the claimant.
    pub level: Level,
}

/// Kind of a claimant of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// An instance that reports to its zone's home.
    Instance,
    /// A zone whose home reports to the lead.
    Zone,
}

impl ClaimantSize {
    /// Returns the safe share of `quota`, which may be used without any grant.
    pub fn safe_share(self, quota: Rate) -> Rate {
        quota.fraction(self.members, self.total_members)
    }

    /// Returns the rate that the claimant keeps even without demand.
    pub fn floor(self, quota: Rate) -> Rate {
        let reachable = self.members.saturating_sub(self.unreachable_members);
        let floor = quota
            .fraction(reachable, self.total_members)
            .fraction(1, FLOOR_DIVISOR);
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

/// Identifies a workspace in messages between instances by a hash of its name.
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

/// Demand of a claimant for one active workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Workspace.
    pub key: WorkspaceKey,
    /// Requested rate.
    pub wanted: Rate,
    /// Highest rate that may still be in use.
    pub held: Rate,
    /// Requested tokens in thousandths of a request. They are requested instead
    /// of a rate when requests are too few to measure one.
    pub missing: u32,
}

/// Sender of a demand for a part of a shard's quotas.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum QuotaClaimant {
    /// The sending instance, to its zone's home.
    Instance,
    /// The home of a zone, to the lead zone's home.
    Zone(ZoneName),
}

/// Demand for the active workspaces of one shard. Workspaces that are not named
/// are idle, and the claimant uses at most its floor for them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Shard.
    pub shard: Shard,
    /// Sender of the demand.
    pub claimant: QuotaClaimant,
    /// Time by the sender's clock, in ms, which the response returns.
    pub stamp_ms: u64,
    /// Number of instances of a zone that do not reach its home.
    pub cut: u32,
    /// Active workspaces.
    pub demands: Vec<Demand>,
    /// Term of the home that sent the last grant. If it differs from the receiving
    /// home's term, the claimant has just switched to that home.
    pub term: Option<u64>,
}

/// Rate granted for one workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Workspace.
    pub key: WorkspaceKey,
    /// Granted rate.
    pub rate: Rate,
    /// Granted tokens, in thousandths of a request.
    pub made_up: u32,
}

/// Response to a [`UsageReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageGrant {
    /// Shard.
    pub shard: Shard,
    /// Time of the report by the claimant's clock, in ms.
    pub stamp_ms: u64,
    /// Term of the granting home. A home that lost its state or became home again
    /// has a new term.
    pub term: u64,
    /// Age of the home's information on the other zones, in ms.
    pub age_ms: u32,
    /// One grant for each workspace of the report.
    pub grants: Vec<Grant>,
    /// Whether the home knows the rates held by every claimant, so that the grants
    /// of an earlier home need not be considered any more.
    pub is_settled: bool,
}
