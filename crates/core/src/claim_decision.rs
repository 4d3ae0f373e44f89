//! Requests for claims and the decisions on them.

use crate::{
    claim::{ClaimId, Completion, Fingerprint, KeyHash},
    claim_index::Holder,
    ids::InstanceName,
    outcome::Outcome,
};

/// ID of one attempt to run a request, local to the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt(pub u64);

/// Request for a claim.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest {
    /// Key to claim.
    pub key: KeyHash,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Time at which the attempt ends if it is not decided, in ms.
    pub deadline_ms: u64,
}

/// Reason why an attempt ended or a call may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimReason {
    /// The index lacks records that the decision depends on.
    IndexIncomplete,
    /// The log does not accept appends.
    LogUnavailable,
    /// Too many entries wait to be appended.
    Busy,
    /// The deadline passed.
    Deadline,
    /// The caller closed its connection.
    CallerGone,
    /// The claim is too old to send calls under it.
    ClaimTooOld,
    /// The instance that holds the key does not respond.
    HolderUnreachable,
    /// The call was already sent.
    AlreadySent,
    /// The attempt does not hold its key.
    NotHolder,
    /// The run ended before its first non-idempotent call.
    NothingSent,
}

impl ClaimReason {
    /// Returns the name used in responses, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::IndexIncomplete => "claims_incomplete",
            Self::LogUnavailable => "log_away",
            Self::Busy => "claims_busy",
            Self::Deadline => "claim_timeout",
            Self::CallerGone => "caller_gone",
            Self::ClaimTooOld => "claim_too_old",
            Self::HolderUnreachable => "first_run_unreachable",
            Self::AlreadySent => "already_sent",
            Self::NotHolder => "not_holder",
            Self::NothingSent => "nothing_sent",
        }
    }
}

/// End of an attempt that has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ending {
    /// Outcome returned to the caller.
    pub outcome: Outcome,
    /// Reason for the end.
    pub reason: ClaimReason,
}

/// The run that other attempts under the same key wait for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FirstRun {
    /// Instance that runs it.
    pub instance: InstanceName,
    /// ID of its claim.
    pub id: ClaimId,
}

impl FirstRun {
    pub(crate) fn of(holder: &Holder) -> Self {
        Self {
            instance: holder.instance.clone(),
            id: holder.id,
        }
    }
}

/// Decision on an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The attempt holds the key and may run; each call needs a [`Permit`].
    Won,
    /// Another claim holds the key. The caller requests the response from the
    /// instance of that claim. Another decision may follow.
    Join(FirstRun),
    /// The first run ended with this result.
    Recorded(Completion),
    /// The key was used for a different request.
    Misuse,
    /// The attempt ended.
    Ended(Ending),
}

/// An attempt that was started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedAttempt {
    /// ID of the attempt.
    pub attempt: Attempt,
    /// Decision, if one could be made immediately.
    pub decision: Option<Decision>,
}

/// A decision on one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptDecision {
    /// ID of the attempt.
    pub attempt: Attempt,
    /// Decision on it.
    pub decision: Decision,
}

/// Whether a call may be written to a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The call may be sent once, now.
    Send,
    /// The call may not be sent.
    Refused(ClaimReason),
}
