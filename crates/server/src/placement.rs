//! Places models while this instance is the placer: reads the models loaded by engines,
//! orders loads and unloads, and previews the moves of a plan for operators.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use savoryvane_core::{
    change::Plan,
    config::{ConfigRecord, State},
    ids::{BackendName, ModelName},
    placement::{
        Layout, Order, OrderResult, PlacementDecision, PlacementSettings, Reconciler, Round,
        preview,
    },
};
use slog::info;
use tokio::{
    task::JoinSet,
    time::{self, MissedTickBehavior},
};

use crate::{instance::Shared, lock::lock, orders::OrderClient, placer, settings::Settings};

/// Interval between two placement rounds over all engines.
const ROUND_INTERVAL_MS: u64 = 1_000;
/// Maximum number of concurrent reads of reports.
const MAX_CONCURRENT_READS: usize = 64;

/// Placement state shared by the tasks of an instance.
#[derive(Debug)]
pub(crate) struct Placement {
    settings: PlacementSettings,
    orders: OrderClient,
    /// Calls sent since the last round, by model.
    calls: Mutex<BTreeMap<ModelName, u64>>,
}

impl Placement {
    /// Creates the state before the first round.
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            settings: settings.placement.policy(),
            orders: OrderClient::new(&settings.backends, settings.placement.order_timeout_ms),
            calls: Mutex::default(),
        }
    }

    /// Counts a call that needs a model.
    pub(crate) fn count_call(&self, model: &ModelName) {
        let mut calls = self.calls();
        if let Some(count) = calls.get_mut(model) {
            *count += 1;
        } else {
            calls.insert(model.clone(), 1);
        }
    }

    fn calls(&self) -> MutexGuard<'_, BTreeMap<ModelName, u64>> {
        lock(&self.calls)
    }
}

/// Places models whenever this instance is the placer, until it stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut ticks = time::interval(Duration::from_millis(ROUND_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reconciler = Reconciler::new(shared.placement.settings);
    loop {
        ticks.tick().await;
        for (model, calls) in std::mem::take(&mut *shared.placement.calls()) {
            reconciler.record_calls(&model, calls);
        }
        let now_ms = shared.clock.now_ms();
        let has_started = shared.configuration.progress(now_ms).has_started;
        if has_started && shared.candidacy.permit(now_ms).is_some() {
            reconcile(&shared, &mut reconciler).await;
        }
    }
}

async fn reconcile(shared: &Arc<Shared>, reconciler: &mut Reconciler) {
    let state = shared.configuration.state();
    let layout = Layout::of(&state);
    read_reports(shared, &state, &layout, reconciler).await;
    let now_ms = shared.clock.now_ms();
    let Some(permit) = shared.candidacy.permit(now_ms) else {
        return;
    };
    let round = reconciler.round(now_ms, &layout, &permit);
    record_round(shared, &round);
    let mut pending_orders = JoinSet::new();
    for order in round.orders {
        let addr = state.backend(order.backend.as_str()).map(|x| x.addr);
        let shared = Arc::clone(shared);
        pending_orders.spawn(async move {
            let result = send(&shared, addr, &order).await;
            (order, result)
        });
    }
    while let Some(sent) = pending_orders.join_next().await {
        let Ok((order, result)) = sent else { continue };
        if let OrderResult::Fenced { highest_fence } = result {
            placer::on_fenced(shared, highest_fence);
        }
        reconciler.on_result(shared.clock.now_ms(), &order, &result);
    }
}

/// Sends an order after checking the permit again. Fencing numbers cover a change of the
/// placer between this check and the arrival at the engine.
async fn send(shared: &Shared, addr: Option<SocketAddr>, order: &Order) -> OrderResult {
    let now_ms = shared.clock.now_ms();
    let permit = shared
        .candidacy
        .permit(now_ms)
        .filter(|permit| permit.fence == order.fence && permit.allows(now_ms, order.fencing));
    let (Some(addr), Some(permit)) = (addr, permit) else {
        return OrderResult::NotSent;
    };
    let not_after = shared.clock.instant(permit.expires_at_ms);
    let result = shared.placement.orders.send(addr, order, not_after).await;
    metrics::counter!("savoryvane_placement_orders_total", "kind" => order.kind.as_str(),
        "result" => result.as_str())
    .increment(1);
    info!(shared.log, "order"; "backend" => %order.backend, "kind" => order.kind.as_str(),
        "model" => %order.model, "fence" => order.fence, "result" => result.as_str());
    result
}

async fn read_reports(
    shared: &Arc<Shared>,
    state: &State,
    layout: &Layout<'_>,
    reconciler: &mut Reconciler,
) {
    let mut reads = JoinSet::new();
    let mut reports = Vec::new();
    let names: Vec<BackendName> = layout.engines().cloned().collect();
    for name in names {
        if reads.len() >= MAX_CONCURRENT_READS {
            reports.extend(reads.join_next().await);
        }
        let Some(addr) = state.backend(name.as_str()).map(|x| x.addr) else {
            continue;
        };
        let shared = Arc::clone(shared);
        reads.spawn(async move {
            // A report counts from the start of its request, so that it never appears
            // newer than it is.
            let requested_at_ms = shared.clock.now_ms();
            let report = shared.backends.load(addr).await?;
            (report.server == name).then_some((requested_at_ms, report))
        });
    }
    while let Some(read) = reads.join_next().await {
        reports.push(read);
    }
    for (requested_at_ms, report) in reports.into_iter().flatten().flatten() {
        reconciler.on_report(requested_at_ms, &report);
    }
}

fn record_round(shared: &Shared, round: &Round) {
    metrics::gauge!("savoryvane_placement_waiting").set(round.waiting as f64);
    for decision in &round.decisions {
        record_decision(shared, decision);
    }
}

fn record_decision(shared: &Shared, decision: &PlacementDecision) {
    let (kind, reason) = (decision.kind.as_str(), decision.reason.as_str());
    metrics::counter!("savoryvane_placement_decisions_total", "kind" => kind, "reason" => reason)
        .increment(1);
    let backend = decision.backend.as_ref().map_or("", BackendName::as_str);
    info!(shared.log, "placement decision"; "kind" => kind, "reason" => reason,
        "model" => %decision.model, "backend" => backend, "zone" => %decision.zone,
        "pool" => %decision.pool, "held" => decision.held, "wanted" => decision.wanted,
        "demand_milli_slots" => decision.demand_milli_slots, "cost_ms" => decision.cost_ms);
}

/// Adds the moves that a plan would cause, based on the engine reports that this instance
/// has.
pub(crate) fn add_moves(shared: &Shared, state: &State, plan: &mut Plan) {
    let mut after = state.clone();
    after.apply(after.next(), &ConfigRecord::Change(plan.change.clone()));
    let reports = shared.fleet().engine_reports();
    let (before, after) = (Layout::of(state), Layout::of(&after));
    let moves = preview(&before, &after, &reports, &shared.placement.settings);
    plan.moves.extend(moves.iter().map(ToString::to_string));
}
