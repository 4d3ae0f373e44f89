//! Puts a plan in force and waits until every listed instance has it.

use std::{net::SocketAddr, time::Duration};

use http::StatusCode;
use savoryvane_wire::admin::{Confirmation, Plan, Reach};
use tokio::time::{self, Instant};

use crate::{
    admin::Admin,
    client::Fault,
    error::{Error, Result},
    settings::Settings,
};

/// Times that the list of addresses is gone through.
const ROUNDS: u32 = 3;
/// Time between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(300);
/// Time between two questions about where a change is in force.
const REACH_PAUSE: Duration = Duration::from_millis(100);

/// Sends `plan` until an instance has answered. A repeat is safe, since the
/// change keeps its identifier and takes effect once.
///
/// # Errors
///
/// Fails with [`Error::Unknown`] when an instance may have taken the plan and
/// none said what became of it.
pub(crate) async fn confirm(settings: &Settings, plan: &Plan) -> Result<Confirmation> {
    let mut doubt = None;
    let mut failures = Vec::new();
    for round in 0..ROUNDS {
        if round > 0 {
            time::sleep(ROUND_PAUSE).await;
        }
        failures.clear();
        for &addr in &settings.admins {
            match attempt(settings, addr, plan).await {
                Attempt::Decided(result) if doubt.is_none() || is_verdict(&result) => {
                    return result;
                }
                // It says nothing about the attempt that is in doubt.
                Attempt::Decided(_) => {}
                Attempt::NotSent(reason) => failures.push((addr, reason)),
                Attempt::InDoubt(reason) => doubt = Some(format!("{addr}: {reason}")),
            }
        }
    }
    Err(match doubt {
        Some(reason) => Error::Unknown(plan.change.id.clone(), reason),
        None => Error::Unreachable(failures),
    })
}

/// Tells whether `result` says what became of the change itself.
fn is_verdict(result: &Result<Confirmation>) -> bool {
    match result {
        Ok(_) => true,
        Err(Error::Refused(_, status, _)) => matches!(
            *status,
            StatusCode::CONFLICT | StatusCode::UNPROCESSABLE_ENTITY
        ),
        Err(_) => false,
    }
}

/// What became of one attempt.
enum Attempt {
    Decided(Result<Confirmation>),
    NotSent(String),
    InDoubt(String),
}

async fn attempt(settings: &Settings, addr: SocketAddr, plan: &Plan) -> Attempt {
    match Admin::new(settings).confirm_at(addr, plan).await {
        Ok(Err(Error::Refused(_, status, body))) if status.is_server_error() => {
            Attempt::InDoubt(body.error)
        }
        Ok(Err(Error::BadAnswer(_, status, reason))) if !status.is_client_error() => {
            Attempt::InDoubt(reason)
        }
        Ok(result) => Attempt::Decided(result),
        Err(Fault::NotSent(reason)) => Attempt::NotSent(reason),
        Err(Fault::Unanswered(reason)) => Attempt::InDoubt(reason),
    }
}

/// Waits until every listed instance has the change in force, for at most
/// `wait_ms`; returns how far it has come.
pub(crate) async fn await_reach(
    settings: &Settings,
    confirmation: &Confirmation,
    wait_ms: u64,
) -> Reach {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let mut reach = confirmation.reach.clone();
    while !is_everywhere(&reach) && Instant::now() + REACH_PAUSE <= deadline {
        time::sleep(REACH_PAUSE).await;
        let asked = Admin::new(settings).reach(confirmation.offset);
        // An instance that does not answer now may answer later.
        if let Ok(Ok(newer)) = time::timeout_at(deadline, asked).await {
            reach = newer;
        }
    }
    reach
}

/// Tells whether every listed instance has the change in force.
pub(crate) fn is_everywhere(reach: &Reach) -> bool {
    reach.listed > 0 && reach.in_force >= reach.listed && reach.missing.is_empty()
}
