//! Confirms a plan: appends its change and answers from the record as it was
//! read back, so that an append whose answer was lost leaves no doubt.

use std::time::Duration;

use bytes::Bytes;
use quick_error::quick_error;
use savoryvane_core::{
    change::{Change, Plan},
    config::{ConfigRecord, HistoryEntry, Verdict, change_id},
    ids::Offset,
};
use savoryvane_wire::{config, platform::CONFIG_STREAM};
use slog::{info, warn};
use tokio::time::{self, Instant};

use crate::{instance::Shared, platform::PlatformError};

/// Time for a confirm to be answered.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Time for a record to be read back before it is appended again; harmless,
/// since a change is applied once.
const READ_BACK: Duration = Duration::from_millis(1_500);
/// Time between two appends that the log refused.
const PAUSE: Duration = Duration::from_millis(100);

quick_error! {
    /// Why a plan is not in force.
    #[derive(Debug)]
    pub enum ConfirmError {
        /// It was altered, or does not fit a record.
        NotAPlan(reason: String) {
            display("not a plan of this system: {reason}")
        }
        /// Something that it touches has changed, or it is too old.
        Conflict(verdict: Verdict) {
            display("{verdict}")
        }
        /// Its result would not be valid.
        Invalid(verdict: Verdict) {
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
    let payload = payload(&change)?;
    info!(shared.log, "plan confirmed"; "change" => %change.id, "operator" => %change.operator);
    let deadline = Instant::now() + TIMEOUT;
    let mut may_be_appended = false;
    loop {
        if let Some(entry) = decision(shared, &change) {
            return verdict(entry);
        }
        match shared.platform.append(CONFIG_STREAM, payload.clone()).await {
            Ok(offset) => {
                may_be_appended = true;
                read_back(shared, offset, deadline).await;
            }
            Err(PlatformError::Unanswered(reason) | PlatformError::Malformed(reason)) => {
                may_be_appended = true;
                warn!(shared.log, "append not answered"; "change" => %change.id,
                    "error" => reason);
                wait_for_decision(shared, &change).await;
            }
            Err(err) if Instant::now() + PAUSE >= deadline && !may_be_appended => {
                return Err(ConfirmError::NotAppended(err.to_string()));
            }
            Err(_) => time::sleep(PAUSE).await,
        }
        if let Some(entry) = decision(shared, &change) {
            return verdict(entry);
        }
        if Instant::now() >= deadline {
            return Err(ConfirmError::Unknown);
        }
    }
}

fn payload(change: &Change) -> Result<Bytes, ConfirmError> {
    let expected = change_id(change.base, &change.operator, &change.ops);
    if change.id != expected {
        let reason = "its identifier does not match its content".to_owned();
        return Err(ConfirmError::NotAPlan(reason));
    }
    config::encode(&ConfigRecord::Change(change.clone()))
        .map(Bytes::from)
        .map_err(|err| ConfirmError::NotAPlan(err.to_string()))
}

fn decision(shared: &Shared, change: &Change) -> Option<HistoryEntry> {
    shared.configuration.state().decision(&change.id).cloned()
}

fn verdict(entry: HistoryEntry) -> Result<Offset, ConfirmError> {
    match entry.verdict {
        Verdict::InForce => Ok(entry.offset),
        Verdict::Conflict { .. } | Verdict::TooOld => Err(ConfirmError::Conflict(entry.verdict)),
        Verdict::Invalid { .. } => Err(ConfirmError::Invalid(entry.verdict)),
    }
}

async fn read_back(shared: &Shared, offset: Offset, deadline: Instant) {
    let mut next = shared.configuration.watch();
    let _ = time::timeout_at(deadline, next.wait_for(|next| *next > offset)).await;
}

async fn wait_for_decision(shared: &Shared, change: &Change) {
    let mut next = shared.configuration.watch();
    let waiting = async {
        while decision(shared, change).is_none() {
            if next.changed().await.is_err() {
                return;
            }
        }
    };
    let _ = time::timeout(READ_BACK, waiting).await;
}
