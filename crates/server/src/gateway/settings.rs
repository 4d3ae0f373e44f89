//! Settings of an instance that forwards requests, read from one YAML file.

use std::{net::SocketAddr, path::Path};

use savoryvane_check::{self as check, Fields, Problems};
use savoryvane_core::{
    forwarding::{BudgetSettings, PropagationBounds},
    ids::{InstanceName, RegionName, ZoneName},
    poison::QuarantineSettings,
};

use crate::{
    error::Result,
    settings::{Log, file_limits, load, read_log, read_quarantine},
};

/// Most instances that are named as first contacts.
const MOST_SEEDS: usize = 64;
/// Longest duration that a setting takes, in ms.
const MAX_DURATION_MS: u64 = 600_000;
/// Longest duration that a setting takes, in s.
const MAX_DURATION_S: f64 = 600.0;
/// Time by which a process ends before it would be killed, in ms: one that is
/// slow or short of processor time still has it for its last lines.
const KILL_SPARE_MS: u64 = 500;

/// Times within which what the platform says has to be in force where the settings do
/// not say: the shortest that any platform has asked for.
const DEFAULT_IN_FORCE: PropagationBounds = PropagationBounds {
    configuration_ms: 2_000,
    leaving_ms: 2_000,
};
/// Shortest such time, in ms: it takes two reads of the store and a question to the one
/// that reads it.
const MIN_IN_FORCE_MS: u64 = 1_000;

/// Everything that a forwarding instance is told from outside.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Availability zone that it stands in.
    pub zone: ZoneName,
    /// Region of that zone.
    pub region: RegionName,
    /// Addresses that it listens on.
    pub listen: GatewayListen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Instances to ask for their state while the store is away.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time, so that the store has
    /// nothing to read yet.
    pub is_first_start: bool,
    /// Part of a core that it has.
    pub cores: f64,
    /// What all instances together may send again.
    pub repeats: BudgetSettings,
    /// Times within which what the platform says has to be in force.
    pub in_force: PropagationBounds,
    /// How long requests that end servers are refused, and how many are remembered.
    pub quarantine: QuarantineSettings,
    /// How it logs.
    pub log: Log,
    /// How it stops.
    pub drain: GatewayDrain,
}

/// Addresses that a forwarding instance listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayListen {
    /// For callers.
    pub caller: SocketAddr,
    /// For the platform's question whether it takes requests.
    pub ready: SocketAddr,
    /// For other instances.
    pub peer: SocketAddr,
    /// For metrics.
    pub admin: SocketAddr,
}

/// How a forwarding instance stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayDrain {
    /// Time for which it still takes connections after it has said that it is
    /// not ready, in ms.
    pub grace_ms: u64,
    /// Time after the signal to stop at which the platform kills the process, in ms.
    pub kill_after_ms: u64,
}

impl GatewayDrain {
    /// Returns the time from the signal to stop to the end of the process, in ms.
    pub(crate) fn stop_after_ms(&self) -> u64 {
        self.kill_after_ms.saturating_sub(KILL_SPARE_MS)
    }

    /// Returns the time for which connections are still taken, in ms: what is set,
    /// but most of what is left of the process is for the requests that it has.
    pub(crate) fn accept_for_ms(&self) -> u64 {
        self.grace_ms.min(self.stop_after_ms() / 3)
    }
}

impl GatewaySettings {
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
    let seeds = fields.list("seeds", 0..=MOST_SEEDS, |item| item.addr());
    let is_first_start = fields.or("first_start", false, |fields, at| fields.bool(at));
    let cores = fields.f64("cores", 0.01..=1_024.0);
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
    Some(BudgetSettings {
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
