//! Settings of an entry instance, read from one YAML file.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use savoryvane_core::ids::{InstanceName, RegionName, ZoneName, is_valid_name};
use serde_yaml_ng::Value;

pub use crate::fields::Fault;
use crate::{
    error::{Error, Result},
    fields::Fields,
};

/// Largest settings file that is read, in bytes; the time that the YAML parser
/// takes for deep nesting grows with the square of the size.
const MAX_FILE_BYTES: u64 = 16 * 1024;
/// What a name may look like.
const NAME: &str = "1 to 63 of a-z, 0-9, '-' and '.', beginning and ending with a letter or digit";
/// What a digest may look like.
const SHA256: &str = "64 lower-case hex digits";
/// Longest duration that a setting takes, in ms.
const MAX_DURATION_MS: u64 = 3_600_000;
/// Longest time that an idempotency key can be remembered, in ms.
const MAX_WINDOW_MS: u64 = 86_400_000;
/// Time that an idempotency key is remembered when nothing is set, in ms.
const DEFAULT_WINDOW_MS: u64 = 600_000;

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
    /// How it stops.
    pub drain: Drain,
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
    /// [`Error::Settings`] with every fault when something in it is not allowed.
    pub fn load(path: &Path) -> Result<Self> {
        let unreadable = |err| Error::Unreadable(path.to_owned(), err);
        let size_bytes = fs::metadata(path).map_err(unreadable)?.len();
        if size_bytes > MAX_FILE_BYTES {
            let fault = file_fault(format!("{size_bytes} bytes"), "at most 16 KiB");
            return Err(Error::Settings(path.to_owned(), vec![fault]));
        }
        let text = fs::read_to_string(path).map_err(unreadable)?;
        Self::parse(&text).map_err(|faults| Error::Settings(path.to_owned(), faults))
    }

    /// Checks the settings in `text`.
    ///
    /// # Errors
    ///
    /// Returns every fault when something in it is not allowed.
    pub fn parse(text: &str) -> std::result::Result<Self, Vec<Fault>> {
        let document: Value = serde_yaml_ng::from_str(text)
            .map_err(|err| vec![file_fault(err.to_string(), "a YAML mapping of fields")])?;
        let mut faults = Vec::new();
        let settings = read(Fields::root(document, &mut faults));
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(faults),
        }
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

fn file_fault(found: String, allowed: &str) -> Fault {
    Fault {
        path: "settings".to_owned(),
        found,
        allowed: allowed.to_owned(),
    }
}

fn read(mut fields: Fields<'_>) -> Option<Settings> {
    let instance = fields.required("instance", NAME, |text| name(text).map(InstanceName::new));
    let zone = fields.required("zone", NAME, |text| name(text).map(ZoneName::new));
    let region = fields.required("region", NAME, |text| name(text).map(RegionName::new));
    let listen = read_listen(fields.section("listen"));
    let platform = read_platform(fields.section("platform"));
    let credential = read_admin(fields.section("admin"));
    let log = read_log(fields.section("log"));
    let limits = read_limits(fields.section("limits"));
    let backends = read_backends(fields.section("backends"));
    let longest_window_ms = longest_window_ms(platform.as_ref(), limits);
    let claims = read_claims(fields.section("claims"), longest_window_ms);
    let drain = read_drain(fields.section("drain"));
    fields.finish();
    Some(Settings {
        instance: instance?,
        zone: zone?,
        region: region?,
        listen: listen?,
        platform: platform?,
        admin_credential_sha256: credential?,
        log,
        limits,
        backends,
        claims,
        drain,
    })
}

fn read_listen(mut fields: Fields<'_>) -> Option<Listen> {
    let caller = fields.addr("caller");
    let peer = fields.addr("peer");
    let admin = fields.addr("admin");
    fields.finish();
    Some(Listen {
        caller: caller?,
        peer: peer?,
        admin: admin?,
    })
}

fn read_platform(mut fields: Fields<'_>) -> Option<Platform> {
    let log = fields.addr("log");
    let list = fields.addr("list");
    let retention_ms = fields.number("retention_ms", 1_000..=31_536_000_000, 86_400_000);
    let wait_ms = fields.number("wait_ms", 10..=60_000, 1_000);
    let timeout_ms = fields.number("timeout_ms", 10..=60_000, 1_000);
    fields.finish();
    Some(Platform {
        log: log?,
        list: list?,
        retention_ms,
        wait_ms,
        timeout_ms,
    })
}

fn read_admin(mut fields: Fields<'_>) -> Option<String> {
    let inline = fields.optional("credential_sha256", SHA256, digest);
    let file = fields.optional(
        "credential_sha256_file",
        "a readable file with 64 lower-case hex digits",
        |path| digest(fs::read_to_string(path).ok()?.trim()),
    );
    if inline.is_some() && file.is_some() {
        fields.fault(
            "credential_sha256_file",
            "both ways to give the credential".to_owned(),
            "either credential_sha256 or credential_sha256_file",
        );
    }
    let missing = inline.is_none() && file.is_none() && !fields.has_fault();
    if missing {
        fields.fault("credential_sha256", "nothing".to_owned(), SHA256);
    }
    fields.finish();
    inline.or(file)
}

fn read_log(mut fields: Fields<'_>) -> Log {
    let form = fields.optional("form", "json or terminal", |text| match text {
        "json" => Some(LogForm::Json),
        "terminal" => Some(LogForm::Terminal),
        _ => None,
    });
    let level = fields.optional("level", "error, warn, info or debug", |text| match text {
        "error" => Some(LogLevel::Error),
        "warn" => Some(LogLevel::Warn),
        "info" => Some(LogLevel::Info),
        "debug" => Some(LogLevel::Debug),
        _ => None,
    });
    let buffer_lines = fields.number("buffer_lines", 16..=1_000_000, 8_192);
    fields.finish();
    Log {
        form: form.unwrap_or(LogForm::Json),
        level: level.unwrap_or(LogLevel::Info),
        buffer_lines: usize::try_from(buffer_lines).unwrap_or(usize::MAX),
    }
}

fn read_limits(mut fields: Fields<'_>) -> Limits {
    let limits = Limits {
        header_bytes: fields.number("header_bytes", 8_192..=1_048_576, 16_384),
        body_bytes: fields.number("body_bytes", 1_024..=67_108_864, 1_048_576),
        header_timeout_ms: fields.number("header_timeout_ms", 10..=60_000, 5_000),
        body_timeout_ms: fields.number("body_timeout_ms", 10..=60_000, 10_000),
        max_in_flight: fields.number("max_in_flight", 1..=1_000_000, 2_048),
        max_connections: fields.number("max_connections", 1..=1_000_000, 8_192),
        max_deadline_ms: fields.number("max_deadline_ms", 1..=MAX_DURATION_MS, 120_000),
    };
    fields.finish();
    limits
}

fn read_backends(mut fields: Fields<'_>) -> Backends {
    let backends = Backends {
        connect_timeout_ms: fields.number("connect_timeout_ms", 1..=60_000, 250),
        idle_connections: fields.number("idle_connections", 0..=1_024, 8),
        idle_timeout_ms: fields.number("idle_timeout_ms", 10..=MAX_DURATION_MS, 10_000),
        silence_ms: fields.number("silence_ms", 10..=60_000, 1_500),
        line_bytes: fields.number("line_bytes", 1_024..=67_108_864, 1_048_576),
        load_interval_ms: fields.number("load_interval_ms", 10..=60_000, 250),
    };
    fields.finish();
    backends
}

/// A key has to be forgotten before the log forgets its first record.
fn longest_window_ms(platform: Option<&Platform>, limits: Limits) -> u64 {
    let retention_ms = platform.map_or(MAX_DURATION_MS, |platform| platform.retention_ms);
    let spare_ms = 2 * limits.max_deadline_ms;
    retention_ms
        .saturating_sub(spare_ms)
        .clamp(1, MAX_WINDOW_MS)
}

fn read_claims(mut fields: Fields<'_>, longest_window_ms: u64) -> Claims {
    let window_ms = DEFAULT_WINDOW_MS.min(longest_window_ms);
    let claims = Claims {
        window_ms: fields.number("window_ms", 1..=longest_window_ms, window_ms),
        appends_per_s: fields.number("appends_per_s", 1..=10_000, 200),
        ticket_valid_ms: fields.number("ticket_valid_ms", 1_000..=MAX_DURATION_MS, 60_000),
    };
    fields.finish();
    claims
}

fn read_drain(mut fields: Fields<'_>) -> Drain {
    let drain = Drain {
        grace_ms: fields.number("grace_ms", 0..=MAX_DURATION_MS, 2_000),
        timeout_ms: fields.number("timeout_ms", 0..=MAX_DURATION_MS, 130_000),
    };
    fields.finish();
    drain
}

fn name(text: &str) -> Option<&str> {
    is_valid_name(text).then_some(text)
}

fn digest(text: &str) -> Option<String> {
    let is_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    (text.len() == 64 && text.bytes().all(is_hex)).then(|| text.to_owned())
}
