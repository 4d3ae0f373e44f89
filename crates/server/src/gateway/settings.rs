//! Settings of a gateway instance, read from one YAML file.

use std::{net::SocketAddr, ops::RangeInclusive, path::Path};

use savoryvane_check::{self as check, Fields, Problems};
use savoryvane_core::{
    caller_memory::MemoryLimits,
    forwarding::{BudgetSettings, PropagationBounds},
    ids::{InstanceName, RegionName, ZoneName},
    poison::QuarantineSettings,
};

use crate::{
    error::Result,
    settings::{
        DEFAULT_MEMORY_MB, Log, MEMORY_MB, caller_bytes, file_limits, load, read_log,
        read_quarantine,
    },
};

/// Maximum number of seeds.
const MAX_SEEDS: usize = 64;
/// Longest allowed duration, in ms.
const MAX_DURATION_MS: u64 = 600_000;
/// Longest allowed duration, in s.
const MAX_DURATION_S: f64 = 600.0;
/// Time before the platform kills a process at which it exits itself, in ms: a process
/// that is slow or short of CPU time can still write its last log lines.
const KILL_MARGIN_MS: u64 = 500;

/// Default for the times within which changes from the platform have to be in force: the
/// shortest that any platform has required.
const DEFAULT_IN_FORCE: PropagationBounds = PropagationBounds {
    configuration_ms: 2_000,
    leaving_ms: 2_000,
};
/// Shortest such time, in ms: it takes two reads of the store and a query to the instance
/// that reads it.
const MIN_IN_FORCE_MS: u64 = 1_000;

/// Default for the maximum size of a response, in bytes: that of a request's body.
const DEFAULT_RESPONSE_BYTES: u64 = 8 << 20;
/// Smallest such size, in bytes: a head and a small body.
const MIN_RESPONSE_BYTES: u64 = 128 << 10;

/// Range of the number of descriptors.
const DESCRIPTORS: RangeInclusive<u64> = 64..=1_048_576;
/// Default of the number of descriptors: that of the smallest machines in use.
const DEFAULT_DESCRIPTORS: u64 = 4_100;
/// Descriptors that callers can't take: those for files, and for connections to other instances,
/// the store, the platform's readiness checks, and idle ones to servers.
const RESERVED_DESCRIPTORS: u64 = 500;

/// Default length of the window of the retry budget, in s.
const DEFAULT_WINDOW_S: f64 = 10.0;
/// Bandwidth of a network link that is assumed where none is set, in Mbit/s: that of the smallest
/// machines in use.
const DEFAULT_LINK_MBPS: f64 = 20.0;
/// Bytes per second in one Mbit/s.
const BYTES_PER_S_PER_MBPS: f64 = 1_000_000.0 / 8.0;

/// Settings of a gateway instance.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Availability zone that it runs in.
    pub zone: ZoneName,
    /// Region of that zone.
    pub region: RegionName,
    /// Addresses that it listens on.
    pub listen: GatewayListen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Addresses of instances to query for their state while the store is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time, so that the store is still
    /// empty.
    pub is_first_start: bool,
    /// Number of CPU cores that it has; may be a fraction.
    pub cores: f64,
    /// Bandwidth of its network link in each direction, in Mbit/s. If it is not set, new
    /// connections are not bounded by it.
    pub link_mbps: Option<f64>,
    /// Memory of its machine, in MB; a part of it is held for callers at most.
    pub memory_mb: u64,
    /// Number of descriptors that it may open, which bounds the connections and requests of
    /// callers.
    pub max_descriptors: u64,
    /// Maximum size of a backend server's response, in bytes.
    pub max_response_bytes: u64,
    /// Retry budget of all instances together.
    pub repeats: BudgetSettings,
    /// Times within which changes from the platform have to be in force.
    pub in_force: PropagationBounds,
    /// How long requests that crash servers are refused, and how many are remembered.
    pub quarantine: QuarantineSettings,
    /// Logging settings.
    pub log: Log,
    /// Shutdown settings.
    pub drain: GatewayDrain,
}

/// Addresses that a gateway instance listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayListen {
    /// For callers.
    pub caller: SocketAddr,
    /// For the platform's readiness checks.
    pub ready: SocketAddr,
    /// For other instances.
    pub peer: SocketAddr,
    /// For metrics.
    pub admin: SocketAddr,
}

/// Shutdown settings of a gateway instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayDrain {
    /// Time for which it still accepts connections after it has reported that it is not
    /// ready, in ms.
    pub grace_ms: u64,
    /// Time after the stop signal at which the platform kills the process, in ms.
    pub kill_after_ms: u64,
}

impl GatewayDrain {
    /// Returns the time from the stop signal to the exit of the process, in ms.
    pub(crate) fn stop_after_ms(&self) -> u64 {
        self.kill_after_ms.saturating_sub(KILL_MARGIN_MS)
    }

    /// Returns the time for which connections are still accepted, in ms: as set, but at
    /// most a third of the time to the exit, as the rest is for requests in flight.
    pub(crate) fn accept_for_ms(&self) -> u64 {
        self.grace_ms.min(self.stop_after_ms() / 3)
    }
}

impl GatewaySettings {
    /// Returns the limits on what is held for callers. A request takes a descriptor for its
    /// caller's connection and one for that to a server.
    pub(crate) fn caller_memory(&self) -> MemoryLimits {
        let reserved = RESERVED_DESCRIPTORS.min(self.max_descriptors / 2);
        let half = ((self.max_descriptors - reserved) / 2) as usize;
        MemoryLimits {
            max_bytes: caller_bytes(self.memory_mb),
            max_connections: half,
            max_requests: half,
        }
    }

    /// Returns the bandwidth of the instance's network link as set, in bytes per second.
    pub(crate) fn link_bytes_per_s(&self) -> Option<u64> {
        let link_mbps = self.link_mbps?;
        Some((link_mbps * BYTES_PER_S_PER_MBPS) as u64)
    }

    /// Returns the bandwidth of the instance's network link, or a low one where none is set, in
    /// bytes per second.
    pub(crate) fn assumed_link_bytes_per_s(&self) -> u64 {
        let default = (DEFAULT_LINK_MBPS * BYTES_PER_S_PER_MBPS) as u64;
        self.link_bytes_per_s().unwrap_or(default)
    }

    /// Reads and checks the settings in the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Unreadable`] when there is no such file, and
    /// [`crate::Error::Settings`] with every problem when something in it is not allowed.
    pub fn load(path: &Path) -> Result<Self> {
        load(path, read)
    }

    /// Checks the settings in `text`.
    ///
    /// # Errors
    ///
    /// Returns every problem when something in it is not allowed.
    pub fn parse(text: &str) -> std::result::Result<Self, Problems> {
        check::read("settings", text.as_bytes(), &file_limits(), read)
    }
}

fn read(fields: &mut Fields<'_>) -> Option<GatewaySettings> {
    let instance = fields.name("instance").map(InstanceName::new);
    let zone = fields.name("zone").map(ZoneName::new);
    let region = fields.name("region").map(RegionName::new);
    let listen = fields.section("listen", read_listen);
    let store = fields.addr("store");
    let seeds = fields.list("seeds", 0..=MAX_SEEDS, |item| item.addr());
    let is_first_start = fields.or("first_start", false, |fields, at| fields.bool(at));
    let cores = fields.f64("cores", 0.01..=1_024.0);
    let link_mbps = fields.or("link_mbps", None, |fields, at| {
        fields.f64(at, 0.01..=1_000_000.0).map(Some)
    });
    let memory_mb = fields.or("memory_mb", DEFAULT_MEMORY_MB, |fields, at| {
        // The platform may state a fraction.
        let range = *MEMORY_MB.start() as f64..=*MEMORY_MB.end() as f64;
        fields.f64(at, range).map(|memory_mb| memory_mb as u64)
    });
    let max_descriptors = fields.number("max_descriptors", DESCRIPTORS, DEFAULT_DESCRIPTORS);
    let max_response_bytes = fields.number(
        "max_response_bytes",
        MIN_RESPONSE_BYTES..=u64::MAX,
        DEFAULT_RESPONSE_BYTES,
    );
    let repeats = fields.section("repeats", read_repeats);
    let in_force = fields.section("in_force", read_in_force);
    let quarantine = fields.section("quarantine", read_quarantine);
    let log = fields.section("log", read_log);
    let drain = fields.section("drain", read_drain);
    Some(GatewaySettings {
        instance: instance?,
        zone: zone?,
        region: region?,
        listen: listen?,
        store: store?,
        seeds: seeds?,
        is_first_start: is_first_start?,
        cores: cores?,
        link_mbps: link_mbps?,
        memory_mb: memory_mb?,
        max_descriptors,
        max_response_bytes,
        repeats: repeats?,
        in_force: in_force?,
        quarantine: quarantine?,
        log: log?,
        drain: drain?,
    })
}

fn read_listen(fields: &mut Fields<'_>) -> Option<GatewayListen> {
    let caller = fields.addr("caller");
    let ready = fields.addr("ready");
    let peer = fields.addr("peer");
    let admin = fields.addr("admin");
    Some(GatewayListen {
        caller: caller?,
        ready: ready?,
        peer: peer?,
        admin: admin?,
    })
}

fn read_repeats(fields: &mut Fields<'_>) -> Option<BudgetSettings> {
    let ratio = fields.f64("ratio", 0.0..=1.0);
    let slack = fields.f64("slack", 0.0..=1_000_000.0);
    let instances = fields.u32("instances", 1..=100_000);
    let window_s = fields.or("window_s", DEFAULT_WINDOW_S, |fields, at| {
        fields.f64(at, 0.1..=MAX_DURATION_S)
    });
    Some(BudgetSettings {
        window_ms: (window_s? * 1_000.0) as u64,
        ratio: ratio?,
        slack: slack?,
        instances: instances?,
    })
}

fn read_in_force(fields: &mut Fields<'_>) -> Option<PropagationBounds> {
    let times_ms = MIN_IN_FORCE_MS..=MAX_DURATION_MS;
    let default = DEFAULT_IN_FORCE;
    Some(PropagationBounds {
        configuration_ms: fields.number(
            "configuration_ms",
            times_ms.clone(),
            default.configuration_ms,
        ),
        leaving_ms: fields.number("leaving_ms", times_ms, default.leaving_ms),
    })
}

fn read_drain(fields: &mut Fields<'_>) -> Option<GatewayDrain> {
    let grace_ms = fields.number("grace_ms", 0..=MAX_DURATION_MS, 2_500);
    let kill_after_s = fields.f64("kill_after_s", 0.1..=MAX_DURATION_S)?;
    Some(GatewayDrain {
        grace_ms,
        kill_after_ms: (kill_after_s * 1_000.0) as u64,
    })
}
