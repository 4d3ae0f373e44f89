//! Settings of an entry instance, loaded from a YAML file.

use std::{fs, net::SocketAddr, ops::RangeInclusive, path::Path, time::Duration};

use savoryvane_check::{self as check, Fields, Problems};
use savoryvane_core::{
    caller_memory::MemoryLimits,
    ids::{InstanceName, RegionName, ZoneName, is_sha256},
    poison::QuarantineSettings,
};

use crate::{
    error::{Error, Result},
    placement_settings::{self, Placement},
};

/// Maximum size of a settings file, in bytes.
const MAX_FILE_BYTES: usize = 16 * 1024;
const LOG_FORMS: [(&str, LogForm); 2] = [("json", LogForm::Json), ("terminal", LogForm::Terminal)];
const LOG_LEVELS: [(&str, LogLevel); 4] = [
    ("error", LogLevel::Error),
    ("warn", LogLevel::Warn),
    ("info", LogLevel::Info),
    ("debug", LogLevel::Debug),
];
/// Maximum of the settings that are durations, in ms.
const MAX_DURATION_MS: u64 = 3_600_000;
/// Maximum retention of an idempotency key, in ms.
const MAX_CLAIM_WINDOW_MS: u64 = 86_400_000;
/// Default retention of an idempotency key, in ms.
const DEFAULT_CLAIM_WINDOW_MS: u64 = 600_000;

/// Range of the memory of a machine, in MB.
pub(crate) const MEMORY_MB: RangeInclusive<u64> = 1..=1_048_576;
/// Default of the memory of a machine, in MB: that of the smallest in use.
pub(crate) const DEFAULT_MEMORY_MB: u64 = 160;
/// Bytes in one MB.
const BYTES_PER_MB: u64 = 1_000_000;
/// Part of the memory that is held for callers at most, in percent. The rest is for the state of
/// the instance, for what the allocator does not return, and for the buffers of connections to
/// backend servers.
const CALLER_SHARE_PERCENT: u64 = 35;

/// Minimum time for which a request that crashes servers is quarantined, in ms. With a
/// shorter time, its trial runs would crash servers about as often as they start.
const MIN_QUARANTINE_MS: u64 = 10_000;
/// Maximum quarantine time, in ms: one day, after which servers are repaired or replaced.
const MAX_QUARANTINE_MS: u64 = 86_400_000;
/// Upper bound of `max_requests`; so many quarantined requests take about 30 MB.
const MAX_QUARANTINED_REQUESTS: u64 = 100_000;
/// Upper bound of `told_at_once`, the crashes reported in one message; so many fit in a
/// message.
const MAX_TOLD_AT_ONCE: u64 = 4_096;

/// Settings of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Region of the availability zone.
    pub region: RegionName,
    /// Addresses that the instance listens on.
    pub listen: Listen,
    /// Connection to the platform's services.
    pub platform: Platform,
    /// SHA-256 of the operators' credential, in lower-case hex.
    pub admin_credential_sha256: String,
    /// Logging.
    pub log: Log,
    /// Limits on requests and connections.
    pub limits: Limits,
    /// Connections to backend servers.
    pub backends: Backends,
    /// Idempotency keys and tickets of non-idempotent requests.
    pub claims: Claims,
    /// Quarantine of requests that crash servers.
    pub quarantine: QuarantineSettings,
    /// Graceful shutdown.
    pub drain: Drain,
    /// Placement of models on backend servers.
    pub placement: Placement,
}

/// Addresses that an instance listens on; port 0 selects any free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Address for operators, and for metrics at `/metrics`.
    pub admin: SocketAddr,
}

/// Connection to the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Address of the append-only log.
    pub log: SocketAddr,
    /// Address of the instance list.
    pub list: SocketAddr,
    /// Retention time of records in the log, in ms.
    pub retention_ms: u64,
    /// Time for which a read of the log waits for a record, in ms.
    pub wait_ms: u64,
    /// Timeout of an append or a read, in ms.
    pub timeout_ms: u64,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogForm {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    Terminal,
}

/// Minimum severity of the log lines that are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Only errors.
    Error,
    /// Also warnings that an operator should investigate.
    Warn,
    /// Also each decision.
    Info,
    /// Also details for debugging.
    Debug,
}

/// Logging of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// Format of the lines.
    pub form: LogForm,
    /// Minimum severity.
    pub level: LogLevel,
    /// Maximum number of buffered lines; further lines are dropped.
    pub buffer_lines: usize,
}

/// Limits on requests and connections of callers and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Timeout for receiving a request head, in ms.
    pub header_timeout_ms: u64,
    /// Timeout for receiving a request body, in ms.
    pub body_timeout_ms: u64,
    /// Maximum number of requests in flight.
    pub max_in_flight: u64,
    /// Maximum number of open connections per listener.
    pub max_connections: u64,
    /// Maximum deadline of a request, relative to its arrival, in ms.
    pub max_deadline_ms: u64,
    /// Time after which a connection is closed whose caller takes no byte of a response, in ms.
    pub write_timeout_ms: u64,
    /// Memory of the machine, in MB; a part of it is held for callers at most.
    pub memory_mb: u64,
}

/// Connections to backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backends {
    /// Connect timeout, in ms.
    pub connect_timeout_ms: u64,
    /// Maximum number of idle connections per backend server.
    pub idle_connections: u64,
    /// Idle time after which a connection is closed, in ms.
    pub idle_timeout_ms: u64,
    /// Time without received bytes after which a connection counts as silent, in ms.
    pub silence_ms: u64,
    /// Maximum length of a line in a response, in bytes.
    pub line_bytes: u64,
    /// Interval between reads of a backend server's load, in ms.
    pub load_interval_ms: u64,
}

/// Idempotency keys and tickets of non-idempotent requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claims {
    /// Retention time of an idempotency key after its last use, in ms.
    pub window_ms: u64,
    /// Maximum rate of appends to the claim stream, of all instances together.
    pub appends_per_s: u64,
    /// Validity of a ticket, in ms.
    pub ticket_valid_ms: u64,
}

/// Graceful shutdown of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Time for which the instance still accepts connections after it reports itself
    /// as not ready, in ms.
    pub grace_ms: u64,
    /// Time limit for finishing the requests in flight, in ms.
    pub timeout_ms: u64,
}

impl Settings {
    /// Loads and validates the settings in the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreadable`] if the file can't be read, and
    /// [`Error::Settings`] with every problem if the settings are not valid.
    pub fn load(path: &Path) -> Result<Self> {
        load(path, read)
    }

    /// Parses and validates the settings in `text`.
    ///
    /// # Errors
    ///
    /// Returns every problem if the settings are not valid.
    pub fn parse(text: &str) -> std::result::Result<Self, Problems> {
        check::read("settings", text.as_bytes(), &file_limits(), read)
    }
}

impl Limits {
    /// Returns the timeout for receiving a request head.
    pub(crate) fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }

    /// Returns the timeout for a caller to take bytes of a response.
    pub(crate) fn write_timeout(&self) -> Duration {
        Duration::from_millis(self.write_timeout_ms)
    }

    /// Returns the limits on what is held for callers.
    pub(crate) fn caller_memory(&self) -> MemoryLimits {
        let to_usize = |count| usize::try_from(count).unwrap_or(usize::MAX);
        MemoryLimits {
            max_bytes: caller_bytes(self.memory_mb),
            max_connections: to_usize(self.max_connections),
            max_requests: to_usize(self.max_in_flight),
        }
    }

    /// Returns the timeout for receiving a request body.
    pub(crate) fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_timeout_ms)
    }
}

/// Returns the part of a machine's memory that may be held for callers, in bytes.
pub(crate) fn caller_bytes(memory_mb: u64) -> u64 {
    memory_mb * BYTES_PER_MB * CALLER_SHARE_PERCENT / 100
}

/// Loads and validates the file at `path` with the section reader `read`.
///
/// # Errors
///
/// Returns [`Error::Unreadable`] if the file can't be read, and
/// [`Error::Settings`] with every problem if the settings are not valid.
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
    let credential_sha256 = fields.section("admin", read_admin);
    let log = fields.section("log", read_log);
    let limits = fields.section("limits", read_limits);
    let backends = fields.section("backends", read_backends);
    let max_window_ms = max_claim_window_ms(platform.as_ref(), limits.as_ref());
    let claims = fields.section("claims", |f| read_claims(f, max_window_ms));
    let quarantine = fields.section("quarantine", read_quarantine);
    let drain = fields.section("drain", read_drain);
    let placement = fields.section("placement", placement_settings::read);
    Some(Settings {
        instance: instance?,
        zone: zone?,
        region: region?,
        listen: listen?,
        platform: platform?,
        admin_credential_sha256: credential_sha256?,
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
        fields.parsed(at, allowed, read_digest_file)
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

fn read_digest_file(path: &str) -> Option<String> {
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
        write_timeout_ms: fields.number("write_timeout_ms", 1_000..=MAX_DURATION_MS, 30_000),
        memory_mb: fields.number("memory_mb", MEMORY_MB, DEFAULT_MEMORY_MB),
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

/// Returns the maximum retention of an idempotency key: the key must expire before the
/// log drops the first record of its claim.
fn max_claim_window_ms(platform: Option<&Platform>, limits: Option<&Limits>) -> u64 {
    let retention_ms = platform.map_or(MAX_DURATION_MS, |platform| platform.retention_ms);
    let margin_ms = limits.map_or(0, |limits| 2 * limits.max_deadline_ms);
    retention_ms
        .saturating_sub(margin_ms)
        .clamp(1, MAX_CLAIM_WINDOW_MS)
}

fn read_claims(fields: &mut Fields<'_>, max_window_ms: u64) -> Option<Claims> {
    let default_window_ms = DEFAULT_CLAIM_WINDOW_MS.min(max_window_ms);
    Some(Claims {
        window_ms: fields.number("window_ms", 1..=max_window_ms, default_window_ms),
        appends_per_s: fields.number("appends_per_s", 1..=10_000, 200),
        ticket_valid_ms: fields.number("ticket_valid_ms", 1_000..=MAX_DURATION_MS, 60_000),
    })
}

/// Reads the section on the quarantine of requests that crash servers.
pub(crate) fn read_quarantine(fields: &mut Fields<'_>) -> Option<QuarantineSettings> {
    let default = QuarantineSettings::default();
    let to_u64 = |count: usize| count as u64;
    let quarantine_ms = fields.number(
        "quarantine_ms",
        MIN_QUARANTINE_MS..=MAX_QUARANTINE_MS,
        default.quarantine_ms,
    );
    let max_requests = fields.number(
        "max_requests",
        1..=MAX_QUARANTINED_REQUESTS,
        to_u64(default.max_requests),
    );
    let told_at_once = fields.number(
        "told_at_once",
        1..=MAX_TOLD_AT_ONCE,
        to_u64(default.told_at_once),
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
