//! Settings of an entry instance, read from one YAML file.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use savoryvane_check::{self as check, Fields, Problems};
use savoryvane_core::{
    ids::{InstanceName, RegionName, ZoneName, is_sha256},
    poison::QuarantineSettings,
};

use crate::{
    error::{Error, Result},
    placement_settings::{self, Placement},
};

/// Largest settings file that is read, in bytes.
const MAX_FILE_BYTES: usize = 16 * 1024;
const LOG_FORMS: [(&str, LogForm); 2] = [("json", LogForm::Json), ("terminal", LogForm::Terminal)];
const LOG_LEVELS: [(&str, LogLevel); 4] = [
    ("error", LogLevel::Error),
    ("warn", LogLevel::Warn),
    ("info", LogLevel::Info),
    ("debug", LogLevel::Debug),
];
/// Longest duration that a setting takes, in ms.
const MAX_DURATION_MS: u64 = 3_600_000;
/// Longest time that an idempotency key can be remembered, in ms.
const MAX_WINDOW_MS: u64 = 86_400_000;
/// Time that an idempotency key is remembered when nothing is set, in ms.
const DEFAULT_WINDOW_MS: u64 = 600_000;

/// Shortest time for which a request that ends servers is refused, in ms: with less, its
/// trials would end servers about as often as they start.
const MIN_QUARANTINE_MS: u64 = 10_000;
/// Longest such time, in ms: a day, by which servers have been mended or replaced.
const MAX_QUARANTINE_MS: u64 = 86_400_000;
/// Most requests that may be remembered: some 30 MB.
const MOST_QUARANTINED: u64 = 100_000;
/// Most ends that may be told in one message, which fit it.
const MOST_TOLD_AT_ONCE: u64 = 4_096;

/// Everything that an entry instance is told from outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Availability zone that it stands in.
    pub zone: ZoneName,
    /// Region of that zone.
    pub region: RegionName,
    /// Addresses that it listens on.
    pub listen: Listen,
    /// The platform's services.
    pub platform: Platform,
    /// SHA-256 of the operators' credential, in lower-case hex.
    pub admin_credential_sha256: String,
    /// How it logs.
    pub log: Log,
    /// What it takes from callers.
    pub limits: Limits,
    /// How it treats backend servers.
    pub backends: Backends,
    /// How it runs what may not be run twice.
    pub claims: Claims,
    /// How long requests that end servers are refused, and how many are remembered.
    pub quarantine: QuarantineSettings,
    /// How it stops.
    pub drain: Drain,
    /// How models are placed.
    pub placement: Placement,
}

/// Addresses that an instance listens on; port 0 takes any free one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub caller: SocketAddr,
    /// For other instances.
    pub peer: SocketAddr,
    /// For operators, and for metrics at `/metrics`.
    pub admin: SocketAddr,
}

/// Where the platform's services are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Address of the append-only log.
    pub log: SocketAddr,
    /// Address of the list of instances.
    pub list: SocketAddr,
    /// Time for which the log keeps a record, in ms.
    pub retention_ms: u64,
    /// Time for which one read of the log waits for a record, in ms.
    pub wait_ms: u64,
    /// Time for an append or a read to be answered, in ms.
    pub timeout_ms: u64,
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogForm {
    /// One JSON object a line.
    Json,
    /// Text for people.
    Terminal,
}

/// Least severe log line that is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Also what an operator should look at.
    Warn,
    /// Also every decision.
    Info,
    /// Also what helps to find a fault.
    Debug,
}

/// How an instance logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// Form of a line.
    pub form: LogForm,
    /// Least severe line that is written.
    pub level: LogLevel,
    /// Lines that wait to be written before further ones are dropped.
    pub buffer_lines: usize,
}

/// What an instance takes from callers and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub header_bytes: u64,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Time for a request's head to arrive, in ms.
    pub header_timeout_ms: u64,
    /// Time for a request's body to arrive, in ms.
    pub body_timeout_ms: u64,
    /// Requests in flight at the same time.
    pub max_in_flight: u64,
    /// Connections of callers open at the same time.
    pub max_connections: u64,
    /// Longest deadline that a caller may ask for, in ms.
    pub max_deadline_ms: u64,
}

/// How an instance treats backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backends {
    /// Time for a connection to be made, in ms.
    pub connect_timeout_ms: u64,
    /// Idle connections that are kept to one backend server.
    pub idle_connections: u64,
    /// Time after which an idle connection is closed, in ms.
    pub idle_timeout_ms: u64,
    /// Time without a byte after which a connection counts as silent, in ms.
    pub silence_ms: u64,
    /// Longest line of an answer, in bytes.
    pub line_bytes: u64,
    /// Time between two reads of a backend server's load, in ms.
    pub load_interval_ms: u64,
}

/// How an instance runs what may not be run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claims {
    /// Time that an idempotency key is remembered after its last use, in ms.
    pub window_ms: u64,
    /// Appends to the claim stream a second, of all instances together.
    pub appends_per_s: u64,
    /// Time that a ticket can be used, in ms.
    pub ticket_valid_ms: u64,
}

/// How an instance stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Time for which it still accepts connections after it has said that it is
    /// not ready, in ms.
    pub grace_ms: u64,
    /// Time for requests in flight to finish, in ms.
    pub timeout_ms: u64,
}

impl Settings {
    /// Reads and checks the settings in the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreadable`] when there is no such file, and
    /// [`Error::Settings`] with every problem when something in it is not allowed.
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

impl Limits {
    /// Returns the time for a request's head to arrive.
    pub(crate) fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }

    /// Returns the time for a request's body to arrive.
    pub(crate) fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_timeout_ms)
    }
}

/// Reads and checks settings of some kind in the file at `path`.
///
/// # Errors
///
/// Returns [`Error::Unreadable`] when there is no such file, and
/// [`Error::Settings`] with every problem when something in it is not allowed.
pub(crate) fn load<T>(path: &Path, read: impl FnOnce(&mut Fields<'_>) -> Option<T>) -> Result<T> {
    let text = file_limits()
        .read_file(path)
        .map_err(|err| Error::Unreadable(path.to_owned(), err))?;
    let name = path.display().to_string();
    check::read(&name, &text, &file_limits(), read).map_err(Error::Settings)
}

pub(crate) fn file_limits() -> check::Limits {
    check::Limits {
        file_bytes: MAX_FILE_BYTES,
        ..check::Limits::default()
    }
}

fn read(fields: &mut Fields<'_>) -> Option<Settings> {
    let instance = fields.name("instance").map(InstanceName::new);
    let zone = fields.name("zone").map(ZoneName::new);
    let region = fields.name("region").map(RegionName::new);
    let listen = fields.section("listen", read_listen);
    let platform = fields.section("platform", read_platform);
    let credential = fields.section("admin", read_admin);
    let log = fields.section("log", read_log);
    let limits = fields.section("limits", read_limits);
    let backends = fields.section("backends", read_backends);
    let longest_window_ms = longest_window_ms(platform.as_ref(), limits.as_ref());
    let claims = fields.section("claims", |f| read_claims(f, longest_window_ms));
    let quarantine = fields.section("quarantine", read_quarantine);
    let drain = fields.section("drain", read_drain);
    let placement = fields.section("placement", placement_settings::read);
    Some(Settings {
        instance: instance?,
        zone: zone?,
        region: region?,
        listen: listen?,
        platform: platform?,
        admin_credential_sha256: credential?,
        log: log?,
        limits: limits?,
        backends: backends?,
        claims: claims?,
        quarantine: quarantine?,
        drain: drain?,
        placement: placement?,
    })
}

fn read_listen(fields: &mut Fields<'_>) -> Option<Listen> {
    let caller = fields.addr("caller");
    let peer = fields.addr("peer");
    let admin = fields.addr("admin");
    Some(Listen {
        caller: caller?,
        peer: peer?,
        admin: admin?,
    })
}

fn read_platform(fields: &mut Fields<'_>) -> Option<Platform> {
    let log = fields.addr("log");
    let list = fields.addr("list");
    let retention_ms = fields.number("retention_ms", 1_000..=31_536_000_000, 86_400_000);
    let wait_ms = fields.number("wait_ms", 10..=60_000, 1_000);
    let timeout_ms = fields.number("timeout_ms", 10..=60_000, 1_000);
    Some(Platform {
        log: log?,
        list: list?,
        retention_ms,
        wait_ms,
        timeout_ms,
    })
}

fn read_admin(fields: &mut Fields<'_>) -> Option<String> {
    let inline = fields.optional("credential_sha256", Fields::sha256);
    let file = fields.optional("credential_sha256_file", |fields, at| {
        let allowed = "a readable file with 64 lower-case hex digits";
        fields.parsed(at, allowed, digest_in_file)
    });
    match (inline?, file?) {
        (Some(digest), None) | (None, Some(digest)) => Some(digest),
        (Some(_), Some(_)) => {
            fields.problem(
                "credential_sha256_file",
                "both ways to give the credential",
                "either credential_sha256 or credential_sha256_file",
            );
            None
        }
        (None, None) => fields.sha256("credential_sha256"),
    }
}

fn digest_in_file(path: &str) -> Option<String> {
    let text = fs::read_to_string(path).ok()?;
    let digest = text.trim();
    is_sha256(digest).then(|| digest.to_owned())
}

pub(crate) fn read_log(fields: &mut Fields<'_>) -> Option<Log> {
    let form = fields.or("form", LogForm::Json, |f, at| f.choice(at, &LOG_FORMS));
    let level = fields.or("level", LogLevel::Info, |f, at| f.choice(at, &LOG_LEVELS));
    let buffer_lines = fields.number("buffer_lines", 16..=1_000_000, 8_192);
    Some(Log {
        form: form?,
        level: level?,
        buffer_lines: usize::try_from(buffer_lines).unwrap_or(usize::MAX),
    })
}

fn read_limits(fields: &mut Fields<'_>) -> Option<Limits> {
    Some(Limits {
        header_bytes: fields.number("header_bytes", 8_192..=1_048_576, 16_384),
        body_bytes: fields.number("body_bytes", 1_024..=67_108_864, 1_048_576),
        header_timeout_ms: fields.number("header_timeout_ms", 10..=60_000, 5_000),
        body_timeout_ms: fields.number("body_timeout_ms", 10..=60_000, 10_000),
        max_in_flight: fields.number("max_in_flight", 1..=1_000_000, 2_048),
        max_connections: fields.number("max_connections", 1..=1_000_000, 8_192),
        max_deadline_ms: fields.number("max_deadline_ms", 1..=MAX_DURATION_MS, 120_000),
    })
}

fn read_backends(fields: &mut Fields<'_>) -> Option<Backends> {
    Some(Backends {
        connect_timeout_ms: fields.number("connect_timeout_ms", 1..=60_000, 250),
        idle_connections: fields.number("idle_connections", 0..=1_024, 8),
        idle_timeout_ms: fields.number("idle_timeout_ms", 10..=MAX_DURATION_MS, 10_000),
        silence_ms: fields.number("silence_ms", 10..=60_000, 1_500),
        line_bytes: fields.number("line_bytes", 1_024..=67_108_864, 1_048_576),
        load_interval_ms: fields.number("load_interval_ms", 10..=60_000, 250),
    })
}

/// A key has to be forgotten before the log forgets its first record.
fn longest_window_ms(platform: Option<&Platform>, limits: Option<&Limits>) -> u64 {
    let retention_ms = platform.map_or(MAX_DURATION_MS, |platform| platform.retention_ms);
    let spare_ms = limits.map_or(0, |limits| 2 * limits.max_deadline_ms);
    retention_ms
        .saturating_sub(spare_ms)
        .clamp(1, MAX_WINDOW_MS)
}

fn read_claims(fields: &mut Fields<'_>, longest_window_ms: u64) -> Option<Claims> {
    let window_ms = DEFAULT_WINDOW_MS.min(longest_window_ms);
    Some(Claims {
        window_ms: fields.number("window_ms", 1..=longest_window_ms, window_ms),
        appends_per_s: fields.number("appends_per_s", 1..=10_000, 200),
        ticket_valid_ms: fields.number("ticket_valid_ms", 1_000..=MAX_DURATION_MS, 60_000),
    })
}

/// Reads how requests that end servers are refused.
pub(crate) fn read_quarantine(fields: &mut Fields<'_>) -> Option<QuarantineSettings> {
    let default = QuarantineSettings::default();
    let number = |count: usize| count as u64;
    let quarantine_ms = fields.number(
        "quarantine_ms",
        MIN_QUARANTINE_MS..=MAX_QUARANTINE_MS,
        default.quarantine_ms,
    );
    let max_requests = fields.number(
        "max_requests",
        1..=MOST_QUARANTINED,
        number(default.max_requests),
    );
    let told_at_once = fields.number(
        "told_at_once",
        1..=MOST_TOLD_AT_ONCE,
        number(default.told_at_once),
    );
    Some(QuarantineSettings {
        quarantine_ms,
        max_requests: max_requests as usize,
        told_at_once: told_at_once as usize,
    })
}

fn read_drain(fields: &mut Fields<'_>) -> Option<Drain> {
    Some(Drain {
        grace_ms: fields.number("grace_ms", 0..=MAX_DURATION_MS, 2_000),
        timeout_ms: fields.number("timeout_ms", 0..=MAX_DURATION_MS, 130_000),
    })
}
