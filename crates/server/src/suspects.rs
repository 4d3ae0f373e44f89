//! Logs and counts what becomes of requests that end servers, alike for pipelines and for
//! what is forwarded.

use savoryvane_core::{
    ids::RequestId,
    poison::{Evidence, RequestDigest},
};
use slog::{Logger, warn};

/// Whose count of ends a refusal goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CountedBy {
    /// What this instance knew.
    Own,
    /// What the instance that schedules told when it was asked.
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

/// Why a request was refused since servers ended under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// It is quarantined.
    Quarantined,
    /// Another copy of it runs.
    CopyRuns,
}

impl Reason {
    /// Returns the name used in metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::Quarantined => "quarantined",
            Self::CopyRuns => "copy_runs",
        }
    }
}

/// Counts a server that has ended.
pub(crate) fn count_end(evidence: Evidence) {
    metrics::counter!("savoryvane_server_ends_total", "evidence" => evidence.as_str()).increment(1);
}

/// Counts a refusal.
pub(crate) fn count_refusal(reason: Reason) {
    metrics::counter!("savoryvane_quarantine_refusals_total", "reason" => reason.as_str())
        .increment(1);
}

/// Logs and counts the refusal of a request that is quarantined, under which `ends` servers
/// have ended.
pub(crate) fn refused(
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
    count_refusal(Reason::Quarantined);
}
