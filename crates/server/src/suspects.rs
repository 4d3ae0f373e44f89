//! Logs and counts server crashes and the refusals that follow, for pipeline requests and
//! forwarded requests alike.

use savoryvane_core::{
    ids::RequestId,
    poison::{Evidence, RequestDigest},
};
use slog::{Logger, warn};

/// Source of the crash count that a refusal is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CountedBy {
    /// The crash records of this instance.
    Own,
    /// The response of the scheduler.
    Scheduler,
}

impl CountedBy {
    /// Returns the name used in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Scheduler => "scheduler",
        }
    }
}

/// Why a request under which servers crashed was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalReason {
    /// The request is quarantined.
    Quarantined,
    /// Another copy of the suspect is running.
    CopyRuns,
}

impl RefusalReason {
    /// Returns the name used in metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::Quarantined => "quarantined",
            Self::CopyRuns => "copy_runs",
        }
    }
}

/// Counts a server crash.
pub(crate) fn count_crash(evidence: Evidence) {
    metrics::counter!("savoryvane_server_ends_total", "evidence" => evidence.as_str()).increment(1);
}

/// Counts a refusal.
pub(crate) fn count_refusal(reason: RefusalReason) {
    metrics::counter!("savoryvane_quarantine_refusals_total", "reason" => reason.as_str())
        .increment(1);
}

/// Logs and counts the refusal of a quarantined request, under which `ends` servers have
/// crashed.
pub(crate) fn log_refusal(
    log: &Logger,
    request: &RequestId,
    digest: &RequestDigest,
    ends: u32,
    counted_by: CountedBy,
    retry_after_ms: Option<u64>,
) {
    warn!(log, "quarantined request refused"; "request" => %request,
        "digest" => %digest, "ends" => ends, "ends_from" => counted_by.as_str(),
        "retry_after_ms" => retry_after_ms);
    count_refusal(RefusalReason::Quarantined);
}
