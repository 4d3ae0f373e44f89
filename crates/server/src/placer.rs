//! Takes part in the election of the placer: follows its stream, claims the term when it
//! is this instance's turn and renews the term while holding it.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use savoryvane_core::{
    ids::{Incarnation, InstanceName, Offset},
    placer::{
        Action, ElectionRole, Event, Holder, Permit, Placer, PlacerRecord, PlacerSettings,
        Received, TICK_MS,
    },
    topology::Duty,
};
use savoryvane_wire::{
    placer::{self, PlacerView},
    platform::{LogRecord, PLACER_STREAM},
};
use slog::{Logger, debug, info, warn};
use tokio::{
    task::JoinSet,
    time::{self, MissedTickBehavior},
};

use crate::{instance::Shared, lock::lock, members, phase::Phase, platform::PlatformError};

/// Maximum number of candidates, which bounds the readers of the stream.
const MAX_CANDIDATES: u64 = 4;
/// Ticks between two evaluations of the role of this instance.
const ROLE_CHECK_TICKS: u64 = 10;
/// Delay after a failed read.
const READ_RETRY_DELAY_MS: u64 = 500;

/// State of this instance in the election.
#[derive(Debug)]
pub(crate) struct Candidacy {
    placer: Mutex<Placer>,
}

impl Candidacy {
    /// Creates the state of one incarnation of an instance.
    pub(crate) fn new(
        instance: InstanceName,
        incarnation: Incarnation,
        settings: PlacerSettings,
    ) -> Self {
        let placer = Placer::new(instance, incarnation, settings, rand::random());
        Self {
            placer: Mutex::new(placer),
        }
    }

    /// Returns the permit to send orders. It must be checked directly before each order.
    pub(crate) fn permit(&self, now_ms: u64) -> Option<Permit> {
        self.lock().permit(now_ms)
    }

    /// Returns the view of the election for operators.
    pub(crate) fn view(&self, now_ms: u64) -> PlacerView {
        let placer = self.lock();
        let holder = placer.holder();
        PlacerView {
            instance: holder.map(|holder| holder.instance.clone()),
            term: holder.map(|holder| holder.term),
            gives_orders: placer.permit(now_ms).is_some(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Placer> {
        lock(&self.placer)
    }
}

/// Takes part in the election until the instance stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut ticks = time::interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut jobs = JoinSet::new();
    let mut tick_count = 0_u64;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                if tick_count.is_multiple_of(ROLE_CHECK_TICKS) {
                    apply(&shared, &mut jobs, Event::RoleChanged(election_role(&shared)));
                }
                tick_count += 1;
                let event = match shared.phases.current() >= Phase::Leaving {
                    true => Event::Leave,
                    false => Event::Tick,
                };
                apply(&shared, &mut jobs, event);
            }
            Some(Ok(event)) = jobs.join_next() => apply(&shared, &mut jobs, event),
        }
    }
}

/// Handles an order that an engine rejected because it has seen a higher fencing number.
pub(crate) fn on_fenced(shared: &Shared, highest: u64) {
    warn!(shared.log, "order rejected: the engine has seen an order of a newer placer"; "highest_fence" => highest);
    let now_ms = shared.clock.now_ms();
    let fenced = Event::Fenced { highest };
    // The next tick returns the resulting actions again.
    let _ = shared.candidacy.lock().on_event(now_ms, fenced);
}

fn apply(shared: &Arc<Shared>, jobs: &mut JoinSet<Event>, event: Event) {
    let now_ms = shared.clock.now_ms();
    let actions = shared.candidacy.lock().on_event(now_ms, event);
    for action in actions {
        match action {
            Action::Read { from, wait_ms } => {
                let shared = Arc::clone(shared);
                jobs.spawn(async move { read(&shared, from, wait_ms).await });
            }
            Action::Append(record) => {
                let shared = Arc::clone(shared);
                jobs.spawn(async move { append(&shared, &record).await });
            }
            Action::Changed(holder) => on_holder_changed(shared, holder),
        }
    }
}

fn on_holder_changed(shared: &Shared, holder: Option<Holder>) {
    let is_here = holder
        .as_ref()
        .is_some_and(|holder| holder.incarnation == shared.incarnation);
    metrics::gauge!("savoryvane_placer_is_here").set(f64::from(u8::from(is_here)));
    match holder {
        Some(holder) => {
            metrics::gauge!("savoryvane_placer_term").set(holder.term.0 as f64);
            info!(shared.log, "placer elected"; "placer" => %holder.instance,
                "incarnation" => %holder.incarnation, "fence" => holder.term.0);
        }
        None => info!(shared.log, "placer has left"),
    }
}

async fn read(shared: &Shared, from: Offset, wait_ms: u64) -> Event {
    let wait_ms = wait_ms.min(shared.platform.wait_ms());
    match shared.platform.read(PLACER_STREAM, from, wait_ms).await {
        Ok(page) => Event::Read {
            next: page.next,
            records: page
                .records
                .iter()
                .map(|record| to_received(&shared.log, record))
                .collect(),
        },
        Err(PlatformError::Trimmed(first)) => Event::Trimmed { first },
        Err(err) => {
            debug!(shared.log, "failed to read the placer stream"; "error" => %err);
            time::sleep(Duration::from_millis(READ_RETRY_DELAY_MS)).await;
            Event::ReadFailed
        }
    }
}

fn to_received(log: &Logger, record: &LogRecord) -> Received {
    let decoded = placer::decode_record(record);
    if let Err(err) = &decoded {
        warn!(log, "placer record can't be decoded"; "offset" => record.offset.0,
            "error" => %err);
    }
    Received {
        offset: record.offset,
        record: decoded.ok(),
    }
}

async fn append(shared: &Shared, record: &PlacerRecord) -> Event {
    if let Ok(payload) = placer::encode(record) {
        let payload = Bytes::from(payload);
        if let Err(err) = shared.platform.append(PLACER_STREAM, payload).await {
            // Reading the stream shows whether the append took effect.
            debug!(shared.log, "append of placer record not confirmed"; "error" => %err);
        }
    }
    Event::AppendEnded
}

/// Returns the role of this instance. There is one placer for all zones.
fn election_role(shared: &Shared) -> ElectionRole {
    match members::rank_of_all(shared, Duty::Placer) {
        rank if rank < MAX_CANDIDATES => ElectionRole::Candidate { rank },
        _ => ElectionRole::Observer,
    }
}
