//! What instances tell each other about themselves, their zones and what leaves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendName, Incarnation, InstanceName, Offset, RegionName, ZoneName};

/// Whether an instance takes requests, by its own account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Readiness {
    /// It does not take requests yet.
    #[default]
    Starting,
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    Leaving,
}

/// Load of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests admitted in the last second.
    pub admitted: u32,
    /// Requests refused in the last second.
    pub refused: u32,
}

/// Tells which of two accounts of an instance is the newer one.
///
/// The generation starts as the time of the start in seconds, and a run that
/// finds an older run's account ahead of its own raises it above that. So a
/// restart wins also when its clock was set back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Order among runs of the instance.
    pub generation: u32,
    /// The run.
    pub incarnation: Incarnation,
    /// Order among the accounts of one run.
    pub seq: u32,
}

/// An instance's account of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Order of this account.
    pub version: Version,
    /// Address for peers.
    pub addr: SocketAddr,
    /// Whether it takes requests.
    pub readiness: Readiness,
    /// Next configuration offset that it expects.
    pub config_next: Offset,
    /// Next offset of the claim stream that it expects.
    pub claims_next: Offset,
    /// Its load.
    pub load: LoadSummary,
}

/// A digest with the time since its instance made it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedDigest {
    /// The account.
    pub digest: Digest,
    /// Time since it was made, in ms.
    pub age_ms: u32,
}

/// Digests of instances of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestBatch {
    /// Zone that all of them stand in.
    pub zone: ZoneName,
    /// The digests.
    pub entries: Vec<AgedDigest>,
}

/// Account of a whole zone, which is all that other zones get.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDigest {
    /// Zone that it describes.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Time since it was made, in ms.
    pub age_ms: u32,
    /// Instances that are live and not leaving.
    pub live: u32,
    /// Listed instances that nothing was heard of for too long.
    pub silent: u32,
    /// Lowest next configuration offset among the live ones.
    pub config_min: Offset,
    /// Highest next configuration offset among the live ones.
    pub config_max: Offset,
    /// Live instances that are at the highest.
    pub at_max: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Backend servers known to be leaving, newest first.
    pub leaving: Vec<LeavingBackend>,
}

/// A backend server that is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingBackend {
    /// Name of the backend server.
    pub backend: BackendName,
    /// Time since it was first known to leave, in ms.
    pub age_ms: u32,
}

/// What a leaving notice is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Leaver {
    /// One run of an entry instance.
    Instance {
        /// Name of the instance.
        instance: InstanceName,
        /// The run that leaves.
        incarnation: Incarnation,
    },
    /// A backend server.
    Backend(BackendName),
}

/// Says that something is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// What is leaving.
    pub leaver: Leaver,
    /// Time since that was first known, in ms.
    pub age_ms: u32,
}
