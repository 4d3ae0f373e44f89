//! Confirms a plan: appends its change and answers from the record as it was
//! read back, so that an append whose answer was lost leaves no doubt.

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

/// Time for a confirm to be answered, in ms.
const TIMEOUT_MS: u64 = 5_000;

quick_error! {
    /// Why a plan is not in force.
    #[derive(Debug)]
    pub enum ConfirmError {
        /// It was altered, does not fit a record or is not valid.
        Invalid(verdict: Verdict) {
            display("{verdict}")
        }
        /// Something that it touches has changed, or it is too old.
        Conflict(verdict: Verdict) {
            display("{verdict}")
        }
        /// The log could not be reached; nothing was appended.
        NotAppended(reason: String) {
            display("the log could not be reached, nothing was appended: {reason}")
        }
        /// It may be on the log, but was not read back in time.
        Unknown {
            display("the change may be on the log, but was not read back in time")
        }
    }
}

/// Puts a plan in force and returns the offset of its record.
///
/// # Errors
///
/// Returns why it is not in force; only [`ConfirmError::Unknown`] leaves that
/// open.
pub(crate) async fn confirm(shared: &Shared, plan: Plan) -> Result<Offset, ConfirmError> {
    let change = plan.change;
    info!(shared.log, "plan confirmed"; "change" => %change.id, "operator" => %change.operator);
    let record = ConfigRecord::Change(change.clone());
    let mut confirm = Confirm::new(change, shared.clock.now_ms() + TIMEOUT_MS);
    let mut next = shared.configuration.watch();
    let mut refusal = String::new();
    loop {
        next.mark_unchanged();
        let now_ms = shared.clock.now_ms();
        match confirm.poll(now_ms, &shared.configuration.state()) {
            ConfirmStep::Done(outcome) => return answer(outcome, refusal),
            ConfirmStep::WaitUntil(at_ms) => {
                let _ = time::timeout_at(shared.clock.instant(at_ms), next.changed()).await;
            }
            ConfirmStep::Append => {
                let result = append(shared, &record, &mut refusal).await;
                confirm.on_append(shared.clock.now_ms(), result);
            }
        }
    }
}

async fn append(shared: &Shared, record: &ConfigRecord, refusal: &mut String) -> AppendResult {
    let payload = match config::encode(record) {
        Ok(payload) => Bytes::from(payload),
        Err(err) => {
            *refusal = err.to_string();
            return AppendResult::Refused;
        }
    };
    match shared.platform.append(CONFIG_STREAM, payload).await {
        Ok(_) => AppendResult::Appended,
        Err(err) => {
            warn!(shared.log, "change not appended"; "error" => %err);
            *refusal = err.to_string();
            append_result(&err)
        }
    }
}

fn append_result(err: &PlatformError) -> AppendResult {
    match err {
        PlatformError::NotSent(_) | PlatformError::Trimmed(_) => AppendResult::Refused,
        PlatformError::Refused(status) if is_certain(*status) => AppendResult::Refused,
        PlatformError::Refused(_) | PlatformError::Unanswered(_) | PlatformError::Malformed(_) => {
            AppendResult::Unanswered
        }
    }
}

/// Tells whether the log itself refused: an answer such as 502 or 504 comes from
/// something on the way, and the record may be on the log.
fn is_certain(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}

fn answer(outcome: ConfirmOutcome, refusal: String) -> Result<Offset, ConfirmError> {
    Err(match outcome {
        ConfirmOutcome::InForce { offset } => return Ok(offset),
        ConfirmOutcome::Conflict { touched, .. } => {
            ConfirmError::Conflict(Verdict::Conflict { touched })
        }
        ConfirmOutcome::TooOld => ConfirmError::Conflict(Verdict::TooOld),
        ConfirmOutcome::Invalid { reasons } => ConfirmError::Invalid(Verdict::Invalid { reasons }),
        ConfirmOutcome::NotAppended => ConfirmError::NotAppended(refusal),
        ConfirmOutcome::Undecided => ConfirmError::Unknown,
    })
}
