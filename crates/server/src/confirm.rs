//! Confirms a plan: appends its change, and takes the result from the record that is read
//! back, so that the result is known even if the response to the append was lost.

use bytes::Bytes;
use http::StatusCode;
use quick_error::quick_error;
use savoryvane_core::{
    change::Plan,
    config::{AppendResult, ConfigRecord, Confirm, ConfirmOutcome, ConfirmStep, Verdict},
    ids::Offset,
};
use savoryvane_wire::{config, platform::CONFIG_STREAM};
use slog::{info, warn};
use tokio::time;

use crate::{instance::Shared, platform::PlatformError};

/// Maximum time to confirm a plan.
const CONFIRM_TIMEOUT_MS: u64 = 5_000;

quick_error! {
    /// Why a plan was not put in force.
    #[derive(Debug)]
    pub enum ConfirmError {
        /// The plan was altered, is too large for a record or is invalid.
        Invalid(verdict: Verdict) {
            display("{verdict}")
        }
        /// An object that the plan touches has changed, or the plan is too old.
        Conflict(verdict: Verdict) {
            display("{verdict}")
        }
        /// The log was unreachable; nothing was appended.
        NotAppended(reason: String) {
            display("the log could not be reached, nothing was appended: {reason}")
        }
        /// The change may be on the log, but was not read back in time.
        Unknown {
            display("the change may be on the log, but was not read back in time")
        }
    }
}

/// Puts a plan in force and returns the offset of its record.
///
/// # Errors
///
/// Returns why the plan is not in force. After [`ConfirmError::Unknown`], it may be.
pub(crate) async fn confirm(shared: &Shared, plan: Plan) -> Result<Offset, ConfirmError> {
    let change = plan.change;
    info!(shared.log, "plan confirmed"; "change" => %change.id, "operator" => %change.operator);
    let record = ConfigRecord::Change(change.clone());
    let mut confirm = Confirm::new(change, shared.clock.now_ms() + CONFIRM_TIMEOUT_MS);
    let mut next = shared.configuration.watch();
    let mut last_error = String::new();
    loop {
        next.mark_unchanged();
        let now_ms = shared.clock.now_ms();
        match confirm.poll(now_ms, &shared.configuration.state()) {
            ConfirmStep::Done(outcome) => return confirm_result(outcome, last_error),
            ConfirmStep::WaitUntil(at_ms) => {
                let _ = time::timeout_at(shared.clock.instant(at_ms), next.changed()).await;
            }
            ConfirmStep::Append => {
                let result = append(shared, &record, &mut last_error).await;
                confirm.on_append(shared.clock.now_ms(), result);
            }
        }
    }
}

async fn append(shared: &Shared, record: &ConfigRecord, last_error: &mut String) -> AppendResult {
    let payload = match config::encode(record) {
        Ok(payload) => Bytes::from(payload),
        Err(err) => {
            *last_error = err.to_string();
            return AppendResult::Refused;
        }
    };
    match shared.platform.append(CONFIG_STREAM, payload).await {
        Ok(_) => AppendResult::Appended,
        Err(err) => {
            warn!(shared.log, "failed to append change"; "error" => %err);
            *last_error = err.to_string();
            append_result(&err)
        }
    }
}

fn append_result(err: &PlatformError) -> AppendResult {
    match err {
        PlatformError::NotSent(_) | PlatformError::Trimmed(_) => AppendResult::Refused,
        PlatformError::Refused(status) if is_rejected_by_log(*status) => AppendResult::Refused,
        PlatformError::Refused(_) | PlatformError::Unanswered(_) | PlatformError::Malformed(_) => {
            AppendResult::Unanswered
        }
    }
}

/// Returns whether the log itself rejected the append. A status such as 502 or 504 comes
/// from an intermediary, and the record may be on the log.
fn is_rejected_by_log(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}

fn confirm_result(outcome: ConfirmOutcome, last_error: String) -> Result<Offset, ConfirmError> {
    Err(match outcome {
        ConfirmOutcome::InForce { offset } => return Ok(offset),
        ConfirmOutcome::Conflict { touched, .. } => {
            ConfirmError::Conflict(Verdict::Conflict { touched })
        }
        ConfirmOutcome::TooOld => ConfirmError::Conflict(Verdict::TooOld),
        ConfirmOutcome::Invalid { reasons } => ConfirmError::Invalid(Verdict::Invalid { reasons }),
        ConfirmOutcome::NotAppended => ConfirmError::NotAppended(last_error),
        ConfirmOutcome::Undecided => ConfirmError::Unknown,
    })
}
