//! Gossip messages about instances, zones and leaving notices.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendName, Incarnation, InstanceName, Offset, RegionName, ZoneName};

/// Readiness of an instance, as published by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Readiness {
    /// The instance does not accept requests yet.
    #[default]
    Starting,
    /// The instance accepts requests.
    Ready,
    /// The instance only finishes its requests in flight.
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

/// Version of a digest, which orders the digests of an instance.
///
/// The generation is initially the start time in seconds. An incarnation that sees a
/// newer version of an older incarnation raises its generation above it, so a
/// restarted instance wins even if its clock was set back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Order among incarnations of the instance.
    pub generation: u32,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Order among the digests of one incarnation.
    pub seq: u32,
}

/// State of an instance, published by itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Version of this digest.
    pub version: Version,
    /// Address for peers.
    pub addr: SocketAddr,
    /// Whether the instance accepts requests.
    pub readiness: Readiness,
    /// Next configuration offset to apply.
    pub config_next: Offset,
    /// Next offset of the claim stream to apply.
    pub claims_next: Offset,
    /// Load of the instance.
    pub load: LoadSummary,
}

/// A digest and its age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedDigest {
    /// The digest.
    pub digest: Digest,
    /// Time since it was made, in ms.
    pub age_ms: u32,
}

/// Digests of instances of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestBatch {
    /// Zone of all the instances.
    pub zone: ZoneName,
    /// The digests.
    pub entries: Vec<AgedDigest>,
}

/// Summary of a zone. Other zones receive no digests of its instances.
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
    /// Listed instances that are silent or have not sent a digest yet.
    pub silent: u32,
    /// Lowest next configuration offset among the live ones.
    pub config_min: Offset,
    /// Highest next configuration offset among the live ones.
    pub config_max: Offset,
    /// Live instances at `config_max`.
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

/// Subject of a leaving notice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Leaver {
    /// One incarnation of an entry instance.
    Instance {
        /// Name of the instance.
        instance: InstanceName,
        /// Incarnation that leaves.
        incarnation: Incarnation,
    },
    /// A backend server.
    Backend(BackendName),
}

/// Notice that an instance or backend server is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// Instance or backend server that is leaving.
    pub leaver: Leaver,
    /// Time since this was first known, in ms.
    pub age_ms: u32,
}
