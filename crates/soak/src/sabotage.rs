//! Breaks promises on purpose, from outside the instances, to verify that the soak detects
//! each of them.

use crate::error::{Error, Result};

/// A way to break a promise on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sabotage {
    /// Sends requests that may run at most once twice.
    Twice,
    /// Reports failures as refusals.
    FalseRefusal,
    /// Truncates streams to half of their length.
    CutShort,
    /// Makes responses look as if they belonged to another caller's request.
    Mixed,
    /// Sends servers a request that no caller has sent.
    Unasked,
    /// Reports known routes as unknown.
    Regress,
    /// Withholds the last configuration version from the store.
    LateConfig,
    /// Sends requests to a server that is draining.
    LateDrain,
    /// Kills the process in a planned stop.
    CutOnStop,
    /// Sends a server the same request many times, beyond the retry budget.
    Overspent,
    /// Crashes servers with requests that no instance counts.
    Uncounted,
    /// Crashes servers with requests that share a prompt part, which no instance counts.
    UncountedPart,
    /// Sends a server more requests than the limit that it announces.
    OverLimit,
    /// Marks responses as if their servers announced that they leave.
    UnseenLeaving,
    /// Sends requests to a server during the backoff that it requested.
    OverBackoff,
    /// Takes streams up at a server of another software version.
    Joined,
    /// Names a request that never began a stream when a stream is taken up.
    ForgottenStreams,
    /// Kills an instance and does not restart it.
    NotBack,
    /// Sends requests of a crowd that were not read to no other instance.
    Unretried,
    /// Sets the memory of instances to far more than their machines have.
    UnboundedMemory,
}

impl Sabotage {
    /// Parses the name of a sabotage.
    ///
    /// # Errors
    ///
    /// Returns [`Error::InvalidFlag`] for an unknown name.
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
            "uncounted-part" => Self::UncountedPart,
            "over-limit" => Self::OverLimit,
            "unseen-leaving" => Self::UnseenLeaving,
            "over-backoff" => Self::OverBackoff,
            "joined" => Self::Joined,
            "forgotten-streams" => Self::ForgottenStreams,
            "not-back" => Self::NotBack,
            "unretried" => Self::Unretried,
            "unbounded-memory" => Self::UnboundedMemory,
            other => return Err(Error::InvalidFlag(format!("unknown sabotage: {other}"))),
        })
    }
}
