//! Logs and counts server crashes and the refusals that follow, for pipeline requests and
//! forwarded requests alike.

use savoryvane_core::{
    ids::RequestId,
    poison::{CrashSubject, Evidence, RequestDigest},
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

/// Why a request was refused since servers crashed under it or a part of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalReason {
    /// The request is quarantined.
    Quarantined,
    /// A part of its prompt is quarantined.
    PartQuarantined,
    /// Another copy of the suspect is running.
    CopyRuns,
}

impl RefusalReason {
    /// Returns the name used in metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::Quarantined => "quarantined",
            Self::PartQuarantined => "part_quarantined",
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

/// The refusal of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuarantineRefusal<'a> {
    pub(crate) digest: &'a RequestDigest,
    /// What is quarantined: the request, or a part of its prompt.
    pub(crate) subject: CrashSubject,
    /// Number of servers that crashed under the subject.
    pub(crate) ends: u32,
    pub(crate) counted_by: CountedBy,
    pub(crate) retry_after_ms: Option<u64>,
}

/// Logs and counts the refusal of a request.
pub(crate) fn log_refusal(log: &Logger, request: &RequestId, refusal: &QuarantineRefusal<'_>) {
    warn!(log, "quarantined request refused"; "request" => %request,
        "digest" => %refusal.digest, "subject" => %refusal.subject, "ends" => refusal.ends,
        "ends_from" => refusal.counted_by.as_str(), "retry_after_ms" => refusal.retry_after_ms);
    count_refusal(match refusal.subject {
        CrashSubject::Request(_) => RefusalReason::Quarantined,
        CrashSubject::PromptPart(_) => RefusalReason::PartQuarantined,
    });
}
