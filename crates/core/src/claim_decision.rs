//! What is asked and decided about claims.

use crate::{
    claim::{ClaimId, Completion, Fingerprint, KeyHash},
    claim_index::Holder,
    ids::InstanceName,
    outcome::Outcome,
};

/// One attempt of a caller at one instance; the number is local.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt(pub u64);

/// What an attempt asks for.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest {
    /// Key that it claims.
    pub key: KeyHash,
    /// What the request asks for.
    pub fingerprint: Fingerprint,
    /// Time by which it has to be decided, in ms.
    pub deadline_ms: u64,
}

/// Why an attempt ended, or a call may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimReason {
    /// Records that the decision depends on are missing here.
    IndexIncomplete,
    /// The log takes no appends.
    LogUnavailable,
    /// Too many claims wait to be appended.
    Busy,
    /// The claim was not read back in time.
    Deadline,
    /// The caller has closed its connection.
    CallerGone,
    /// The claim is too old to be acted on.
    ClaimTooOld,
    /// The instance that holds the key gives no answer.
    HolderUnreachable,
    /// The call was handed out before.
    AlreadySent,
    /// The attempt does not hold its key.
    NotHolder,
    /// The run ended before its first non-idempotent call.
    NothingSent,
}

impl ClaimReason {
    /// Returns the name used in answers, logs and metrics.
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

/// How an attempt ended that has no answer of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ending {
    /// What its caller is told.
    pub outcome: Outcome,
    /// Why.
    pub reason: ClaimReason,
}

/// The run that others under the same key wait for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FirstRun {
    /// Instance that has it.
    pub instance: InstanceName,
    /// Its claim.
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

/// What was decided about an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It holds the key and may run, with a permit for each call.
    Won,
    /// Another claim holds the key: the answer is to be asked for from its
    /// claimant. Another decision may follow.
    Join(FirstRun),
    /// The first run ended like this.
    Recorded(Completion),
    /// The key was used for another request.
    Misuse,
    /// The attempt ended.
    Ended(Ending),
}

/// An attempt that has begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedAttempt {
    /// The attempt.
    pub attempt: Attempt,
    /// What is decided about it already.
    pub decision: Option<Decision>,
}

/// A decision and the attempt that it is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptDecision {
    /// Attempt that was decided.
    pub attempt: Attempt,
    /// What was decided.
    pub decision: Decision,
}

/// Whether a call may be handed to a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// It may, now and once.
    Send,
    /// It may not.
    Refused(ClaimReason),
}
