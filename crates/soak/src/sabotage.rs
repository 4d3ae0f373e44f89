//! Ways to break a promise on purpose, each by a party outside the instances, so
//! that the soak is seen to find it.

use crate::error::{Error, Result};

/// A promise that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sabotage {
    /// Requests that may run once are sent through two instances.
    Twice,
    /// Failures are passed on as refusals.
    FalseRefusal,
    /// Streams lose their last event.
    CutShort,
    /// Answers are given to other callers.
    Mixed,
    /// Servers are sent requests that nobody asked for.
    Unasked,
    /// Routes that were there are answered as unknown.
    Regress,
    /// The operator's last version does not reach the store.
    LateConfig,
    /// A server that is leaving is sent requests.
    LateDrain,
    /// A planned stop kills the process.
    CutOnStop,
    /// Servers are sent many requests again.
    Overspent,
    /// Servers are ended by requests that no instance counts.
    Uncounted,
    /// A server that names a limit is sent many requests.
    OverLimit,
    /// Answers seem to say that their servers leave.
    UnseenLeaving,
    /// A server that asks for backoff is sent requests.
    OverBackoff,
    /// An instance that was killed is not started again.
    NotBack,
}

impl Sabotage {
    /// Reads the name of one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Flag`] for any other name.
    pub(crate) fn parse(name: &str) -> Result<Self> {
        Ok(match name {
            "twice" => Self::Twice,
            "false-refusal" => Self::FalseRefusal,
            "cut-short" => Self::CutShort,
            "mixed" => Self::Mixed,
            "unasked" => Self::Unasked,
            "regress" => Self::Regress,
            "late-config" => Self::LateConfig,
            "late-drain" => Self::LateDrain,
            "cut-on-stop" => Self::CutOnStop,
            "overspent" => Self::Overspent,
            "uncounted" => Self::Uncounted,
            "over-limit" => Self::OverLimit,
            "unseen-leaving" => Self::UnseenLeaving,
            "over-backoff" => Self::OverBackoff,
            "not-back" => Self::NotBack,
            other => return Err(Error::InvalidFlag(format!("no such sabotage: {other}"))),
        })
    }
}
