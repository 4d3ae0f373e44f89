//! Which servers a stream may be sent to, by the version of their software.
//!
//! Events that two versions wrote do not fit together, and servers do not check this. So a stream
//! is bound to a version with the first event that may have reached its caller.

use crate::ids::SoftwareVersion;

/// Servers that a request may be sent to, by the version of their software.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum SoftwareBinding {
    /// All: its caller has received no event.
    #[default]
    Free,
    /// Those with the version that wrote the events that its caller has received.
    Version(SoftwareVersion),
    /// None, since that version is unknown.
    Unknown,
}

impl SoftwareBinding {
    /// Returns the binding of a stream that began at a server with this version.
    pub fn to(software: Option<SoftwareVersion>) -> Self {
        software.map_or(Self::Unknown, Self::Version)
    }

    /// Returns whether the request may be sent to a server with the version `software`.
    pub fn allows(&self, software: Option<&SoftwareVersion>) -> bool {
        match self {
            Self::Free => true,
            Self::Version(version) => software == Some(version),
            Self::Unknown => false,
        }
    }

    /// Returns the version, if it is known.
    pub fn version(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Version(version) => Some(version),
            Self::Free | Self::Unknown => None,
        }
    }
}
