//! Puts a plan in force and waits until every listed instance has it.

use std::{net::SocketAddr, time::Duration};

use http::StatusCode;
use savoryvane_wire::admin::{Confirmation, Plan, Reach};
use tokio::time::{self, Instant};

use crate::{
    admin::Admin,
    client::ExchangeError,
    error::{Error, Result},
    settings::Settings,
};

/// Maximum number of times that each address is tried.
const MAX_ROUNDS: u32 = 3;
/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two polls of where a change is in force.
const REACH_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Sends `plan` until an instance reports the result. A retry is safe, since the
/// change has the same identifier and takes effect once.
///
/// # Errors
///
/// Returns [`Error::Unknown`] when an instance may have accepted the plan and none
/// reported the result.
pub(crate) async fn confirm(settings: &Settings, plan: &Plan) -> Result<Confirmation> {
    let mut unknown_reason = None;
    let mut failures = Vec::new();
    for round in 0..MAX_ROUNDS {
        if round > 0 {
            time::sleep(ROUND_INTERVAL).await;
        }
        failures.clear();
        for &addr in &settings.admins {
            match attempt(settings, addr, plan).await {
                Attempt::Decided(result) if unknown_reason.is_none() || is_decisive(&result) => {
                    return result;
                }
                // This response does not settle the earlier attempt with an unknown result.
                Attempt::Decided(_) => {}
                Attempt::NotSent(reason) => failures.push((addr, reason)),
                Attempt::ResultUnknown(reason) => {
                    unknown_reason = Some(format!("{addr}: {reason}"))
                }
            }
        }
    }
    Err(match unknown_reason {
        Some(reason) => Error::Unknown(plan.change.id.clone(), reason),
        None => Error::Unreachable(failures),
    })
}

/// Returns whether `result` settles the change itself, whichever attempt it answers.
fn is_decisive(result: &Result<Confirmation>) -> bool {
    match result {
        Ok(_) => true,
        Err(Error::Refused(_, status, _)) => matches!(
            *status,
            StatusCode::CONFLICT | StatusCode::UNPROCESSABLE_ENTITY
        ),
        Err(_) => false,
    }
}

/// Result of one attempt.
enum Attempt {
    Decided(Result<Confirmation>),
    NotSent(String),
    ResultUnknown(String),
}

async fn attempt(settings: &Settings, addr: SocketAddr, plan: &Plan) -> Attempt {
    match Admin::new(settings).confirm_at(addr, plan).await {
        Ok(Err(Error::Refused(_, status, body))) if status.is_server_error() => {
            Attempt::ResultUnknown(body.error)
        }
        Ok(Err(Error::BadAnswer(_, status, reason))) if !status.is_client_error() => {
            Attempt::ResultUnknown(reason)
        }
        Ok(result) => Attempt::Decided(result),
        Err(ExchangeError::NotSent(reason)) => Attempt::NotSent(reason),
        Err(ExchangeError::Unanswered(reason)) => Attempt::ResultUnknown(reason),
    }
}

/// Waits until every listed instance has the change in force, for at most
/// `wait_ms`; returns the last known reach.
pub(crate) async fn await_reach(
    settings: &Settings,
    confirmation: &Confirmation,
    wait_ms: u64,
) -> Reach {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let mut reach = confirmation.reach.clone();
    while !is_in_force_everywhere(&reach) && Instant::now() + REACH_POLL_INTERVAL <= deadline {
        time::sleep(REACH_POLL_INTERVAL).await;
        let query = Admin::new(settings).reach(confirmation.offset);
        // An instance that fails to respond now may respond to the next poll.
        if let Ok(Ok(current)) = time::timeout_at(deadline, query).await {
            reach = current;
        }
    }
    reach
}

/// Returns whether every listed instance has the change in force.
pub(crate) fn is_in_force_everywhere(reach: &Reach) -> bool {
    reach.listed > 0 && reach.in_force >= reach.listed && reach.missing.is_empty()
}
