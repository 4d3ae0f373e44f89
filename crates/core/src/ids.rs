//! Types of names and numbers that identify entities.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Length of a SHA-256 digest in hex.
const SHA256_HEX_DIGITS: usize = 64;

macro_rules! define_names {
    ($($(#[$doc:meta])* $name:ident;)+) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `name` without checking it.
            pub fn new(name: impl AsRef<str>) -> Self {
                Self(Arc::from(name.as_ref()))
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )+};
}

define_names! {
    /// Name of a workspace.
    WorkspaceName;
    /// Name of a pipeline.
    PipelineName;
    /// Name of a stage within its pipeline.
    StageName;
    /// Name of a pool of backend servers that do the same work.
    PoolName;
    /// Name of a backend server.
    BackendName;
    /// Name of an entry instance.
    InstanceName;
    /// Name of an availability zone.
    ZoneName;
    /// Name of a region.
    RegionName;
    /// Name of a model.
    ModelName;
    /// Version of a backend server's software, not of its weights. Versions have no order.
    SoftwareVersion;
    /// Identifier of a request, unique within its workspace.
    RequestId;
    /// Idempotency key of a caller, scoped to its workspace.
    IdempotencyKey;
    /// Identifier of a proposed change of the configuration.
    ChangeId;
    /// Name of the operator who proposed a change.
    OperatorName;
}

/// Returns whether `name` consists of 1 to 63 lower-case letters, digits, `-` or `.`,
/// starting and ending with a letter or digit.
pub fn is_valid_name(name: &str) -> bool {
    let bytes = name.as_bytes();
    let is_edge = |b: &u8| b.is_ascii_lowercase() || b.is_ascii_digit();
    let is_inner = |b: &u8| is_edge(b) || matches!(b, b'-' | b'.');
    bytes.len() <= MAX_NAME_BYTES
        && bytes.first().is_some_and(is_edge)
        && bytes.last().is_some_and(is_edge)
        && bytes.iter().all(is_inner)
}

/// Returns whether `text` is a SHA-256 digest in lower-case hex.
pub fn is_sha256(text: &str) -> bool {
    let is_digit = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
    text.len() == SHA256_HEX_DIGITS && text.bytes().all(is_digit)
}

/// Position of a record in a stream of the platform's log.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the next offset. The last offset follows itself, so that no record moves a
    /// reader back to the beginning.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Random number that identifies one run of an instance, also among runs with the same
/// name and address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
