//! Load at a steady rate, with every answer checked.

use std::{sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::json;
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

use crate::{
    caller::{Ask, Asked, Caller, CallerSettings, Warrant},
    clock::elapsed_us,
    report::Report,
};

/// What keeps each request of a load from running twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Warrants {
    /// Nothing; they are safe to repeat.
    #[default]
    None,
    /// An idempotency key of its own.
    Keys,
    /// A ticket.
    Tickets,
}

/// What load to put on.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Whom to ask for what.
    pub caller: CallerSettings,
    /// Requests a second.
    pub rate_per_s: u32,
    /// Time for which requests are sent, in ms.
    pub duration_ms: u64,
    /// Share of requests whose answer is streamed, per mille.
    pub streamed_per_mille: u32,
    /// Connections to share out the requests over HTTP/2.
    pub connections: usize,
    /// What keeps each request from running twice.
    pub warrants: Warrants,
    /// Seed of the inputs; it also tells two runs' request ids apart.
    pub seed: u64,
}

/// Sends requests at the rate for the time, whether or not earlier ones have
/// been answered, and reports on all of them.
///
/// # Panics
///
/// Panics when the task of a request panicked.
pub async fn run_load(settings: LoadSettings) -> Report {
    let callers: Vec<_> = (0..settings.connections.max(1))
        .map(|_| Arc::new(Caller::new(settings.caller.clone())))
        .collect();
    let started = Instant::now();
    let count = u64::from(settings.rate_per_s) * settings.duration_ms / 1000;
    let mut rng = Pcg64::seed_from_u64(settings.seed);
    let mut asking = JoinSet::new();
    let mut report = Report::new(settings.caller.deadline_ms);
    for number in 0..count {
        let due = started + due_after(number, settings.rate_per_s);
        time::sleep_until(due).await;
        let ask = make_ask(&settings, number, &mut rng);
        let index = usize::try_from(number).unwrap_or_default() % callers.len();
        let caller = Arc::clone(&callers[index]);
        asking.spawn(async move { ask_due(&caller, &ask, due).await });
        while let Some(asked) = asking.try_join_next() {
            report.add(&asked.expect("asking does not panic"));
        }
    }
    while let Some(asked) = asking.join_next().await {
        report.add(&asked.expect("asking does not panic"));
    }
    report
}

/// Asks, and counts the time from when the request was due, so that a late
/// start of this tool does not flatter the figures.
async fn ask_due(caller: &Caller, ask: &Ask, due: Instant) -> Asked {
    let late_us = elapsed_us(due);
    let mut asked = caller.ask(ask).await;
    asked.latency_us += late_us;
    asked
}

fn due_after(number: u64, rate_per_s: u32) -> Duration {
    Duration::from_micros(number * 1_000_000 / u64::from(rate_per_s.max(1)))
}

fn make_ask(settings: &LoadSettings, number: u64, rng: &mut Pcg64) -> Ask {
    let request_id = format!("load-{}-{number}", settings.seed);
    Ask {
        input: json!({ "text": request_id, "draw": rng.random::<u32>() }),
        streamed: rng.random_range(0..1000) < settings.streamed_per_mille,
        warrant: match settings.warrants {
            Warrants::None => Warrant::None,
            Warrants::Keys => Warrant::Key(format!("key-{request_id}")),
            Warrants::Tickets => Warrant::Ticket,
        },
        request_id,
    }
}
