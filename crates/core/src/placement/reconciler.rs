//! Compares the models on engines with the desired state and orders the
//! difference.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    call::LoadReport,
    ids::{BackendName, ModelName, PoolName},
    objects::{Backend, Fencing},
    placement::{
        MoveKind, OrderResult, PlacementDecision, PlacementReason, PlacementSettings,
        assign::{Assignment, Step},
        demand::Demand,
        engine::Engine,
        layout::{Layout, Site},
        replicas::{DemandPeriods, Need},
        tracker::{EngineAvailability, EngineTracker},
    },
    placer::Permit,
};

/// The kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Load a model.
    Load,
    /// Unload a model.
    Unload,
}

impl OrderKind {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
        }
    }
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Fencing number.
    pub fence: u64,
    /// Engine that receives the order.
    pub backend: BackendName,
    /// Whether the engine checks the fencing number.
    pub fencing: Fencing,
    /// Kind of the order.
    pub kind: OrderKind,
    /// Model to load or unload.
    pub model: ModelName,
}

/// The result of one reconciliation round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Round {
    /// Orders to send now; the result of each must be passed to
    /// [`Reconciler::on_result`].
    pub orders: Vec<Order>,
    /// New decisions, one for each order and for each replica that no engine
    /// can take.
    pub decisions: Vec<PlacementDecision>,
    /// Number of moves that wait for the weight store.
    pub waiting: usize,
}

/// The placement state machine of the instance that is the placer.
#[derive(Clone, Debug)]
pub struct Reconciler {
    settings: PlacementSettings,
    fence: Option<u64>,
    last_round_ms: u64,
    engines: BTreeMap<BackendName, EngineTracker>,
    demand: Demand,
    demand_periods: DemandPeriods,
    unplaced: BTreeSet<(Site, ModelName)>,
    /// Models that have been configured for a pool. Models that never were are
    /// not unloaded, because no operator has confirmed their removal.
    configured: BTreeSet<(PoolName, ModelName)>,
}

impl Reconciler {
    /// Creates the state before the first report.
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            fence: None,
            last_round_ms: 0,
            engines: BTreeMap::new(),
            demand: Demand::default(),
            demand_periods: DemandPeriods::default(),
            unplaced: BTreeSet::new(),
            configured: BTreeSet::new(),
        }
    }

    /// Records calls that this instance sent for a model.
    pub fn record_calls(&mut self, model: &ModelName, calls: u64) {
        self.demand.record_calls(model, calls);
    }

    /// Applies a load report.
    pub fn on_report(&mut self, now_ms: u64, report: &LoadReport) {
        if let Some(tracker) = self.engines.get_mut(&report.server) {
            tracker.on_report(now_ms, report);
        }
    }

    /// Applies the result of an order.
    pub fn on_result(&mut self, now_ms: u64, order: &Order, result: &OrderResult) {
        if self.fence != Some(order.fence) {
            return;
        }
        let Some(tracker) = self.engines.get_mut(&order.backend) else {
            return;
        };
        tracker.on_result(now_ms, order.kind, &order.model, result);
        if matches!(result, OrderResult::Applied { .. }) {
            tracker.fence = Some(order.fence);
        }
    }

    /// Decides which orders to give now.
    pub fn round(&mut self, now_ms: u64, layout: &Layout<'_>, permit: &Permit) -> Round {
        self.apply_layout(now_ms, layout, permit);
        let sites = self.sites(now_ms, layout, permit);
        let serving_engines = sites
            .iter()
            .flat_map(|(site, engines)| engines.iter().map(move |engine| (&site.zone, engine)));
        self.demand
            .update(now_ms, self.settings.smoothing_ms, serving_engines);
        let mut round = Round::default();
        self.order_fences(now_ms, layout, permit, &mut round);
        let mut steps = Vec::new();
        for (site, engines) in &sites {
            let has_unknown_engine = self.has_unknown_engine(now_ms, site, layout);
            let needs = self.demand_periods.needs(
                now_ms,
                site,
                engines,
                layout,
                &self.demand,
                &self.settings,
            );
            if has_unknown_engine || !self.may_order(now_ms, site, layout, permit) {
                continue;
            }
            let site_steps = Assignment::new(engines, &needs, layout, &self.settings).steps();
            self.record_unplaced(site, &site_steps, &mut round);
            steps.extend(site_steps.into_iter().map(|step| (site.clone(), step)));
            steps.extend(self.removals(now_ms, site, engines, layout));
        }
        self.issue_orders(now_ms, steps, layout, permit, &mut round);
        round
    }

    fn apply_layout(&mut self, now_ms: u64, layout: &Layout<'_>, permit: &Permit) {
        self.engines
            .retain(|name, _| layout.backend(name).is_some());
        let models = layout.models();
        self.configured
            .extend(models.map(|model| (model.pool.clone(), model.name.clone())));
        for backend in layout.backends() {
            let entry = self.engines.entry(backend.name.clone());
            entry.or_insert_with(|| EngineTracker::new(now_ms));
        }
        if self.fence != Some(permit.fence) {
            self.fence = Some(permit.fence);
            self.unplaced.clear();
            for tracker in self.engines.values_mut() {
                tracker.begin_term(now_ms);
            }
        }
        let since_last_round_ms = now_ms.saturating_sub(self.last_round_ms);
        self.last_round_ms = now_ms;
        for tracker in self.engines.values_mut() {
            if since_last_round_ms > self.settings.report_max_age_ms {
                tracker.restart_lost_timer(now_ms);
            }
            tracker.expire(now_ms, self.settings.avoid_ms);
        }
    }

    /// Returns the engines of each site that take new work.
    fn sites(
        &self,
        now_ms: u64,
        layout: &Layout<'_>,
        permit: &Permit,
    ) -> BTreeMap<Site, Vec<Engine>> {
        let mut sites: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for site in layout.sites() {
            sites.insert(site, Vec::new());
        }
        for backend in layout.backends() {
            let tracker = &self.engines[&backend.name];
            if tracker.availability(now_ms, &self.settings) == EngineAvailability::Serving {
                let is_orderable = self.is_fenced(backend, layout, permit);
                let engine = tracker.engine(backend, is_orderable);
                let engines = sites.entry(site_of(backend)).or_default();
                engines.push(engine);
            }
        }
        sites
    }

    /// Returns whether an engine can be given orders under the current fencing
    /// number. An engine that checks numbers must know this one first, as an
    /// order of an older placer might still reach it otherwise. An engine
    /// without models is exempt: it has nothing to lose, and no order is
    /// certain to change nothing there, because its report may be older than
    /// its last load.
    fn is_fenced(&self, backend: &Backend, layout: &Layout<'_>, permit: &Permit) -> bool {
        let tracker = &self.engines[&backend.name];
        fencing(backend, layout) == Fencing::Ignored
            || tracker.fence == Some(permit.fence)
            || tracker.models().is_empty()
    }

    fn has_unknown_engine(&self, now_ms: u64, site: &Site, layout: &Layout<'_>) -> bool {
        layout
            .backends()
            .filter(|backend| site_of(backend) == *site)
            .any(|x| {
                self.engines[&x.name].availability(now_ms, &self.settings)
                    == EngineAvailability::Unknown
            })
    }

    fn may_order(&self, now_ms: u64, site: &Site, layout: &Layout<'_>, permit: &Permit) -> bool {
        let pool = layout.pool(&site.pool);
        pool.is_some_and(|pool| permit.allows(now_ms, pool.fencing))
    }

    /// Sends the new fencing number to each engine that checks it, by an order
    /// that changes nothing.
    fn order_fences(
        &mut self,
        now_ms: u64,
        layout: &Layout<'_>,
        permit: &Permit,
        round: &mut Round,
    ) {
        for backend in layout.backends() {
            let is_fenced = self.is_fenced(backend, layout, permit);
            let tracker = &self.engines[&backend.name];
            let is_serving =
                tracker.availability(now_ms, &self.settings) == EngineAvailability::Serving;
            if is_fenced || !is_serving || tracker.has_pending_order {
                continue;
            }
            let Some(model) = tracker.models().first().cloned() else {
                continue;
            };
            let step = Step {
                kind: MoveKind::Fence,
                reason: PlacementReason::NewTerm,
                need: Need::none(&model),
                model,
                backend: Some(backend.name.clone()),
            };
            self.order(now_ms, &site_of(backend), &step, layout, permit, round);
        }
    }

    fn removals(
        &mut self,
        now_ms: u64,
        site: &Site,
        engines: &[Engine],
        layout: &Layout<'_>,
    ) -> Vec<(Site, Step)> {
        let hold_ms = self.settings.hold_down_ms;
        let mut steps = Vec::new();
        for engine in engines.iter().filter(|engine| engine.is_orderable) {
            let Some(tracker) = self.engines.get_mut(&engine.backend) else {
                continue;
            };
            let configured = &self.configured;
            let is_unconfigured = |model: &ModelName| {
                !layout.has_model(&site.pool, model)
                    && configured.contains(&(site.pool.clone(), model.clone()))
            };
            let unconfigured = tracker.unconfigured(now_ms, hold_ms, is_unconfigured);
            if let Some(model) = unconfigured.into_iter().next() {
                let step = Step {
                    kind: MoveKind::Unload,
                    reason: PlacementReason::Removed,
                    need: Need::none(&model),
                    model,
                    backend: Some(engine.backend.clone()),
                };
                steps.push((site.clone(), step));
            }
        }
        steps
    }

    fn record_unplaced(&mut self, site: &Site, steps: &[Step], round: &mut Round) {
        let unplaced = steps.iter().filter(|x| x.kind == MoveKind::Unplaced);
        let unplaced_now: Vec<_> = unplaced.collect();
        self.unplaced
            .retain(|(at, model)| at != site || unplaced_now.iter().any(|x| x.model == *model));
        for step in unplaced_now {
            if self.unplaced.insert((site.clone(), step.model.clone())) {
                round.decisions.push(decision(site, step));
            }
        }
    }

    /// Issues the orders for which the weight store has capacity, configured
    /// replicas first.
    fn issue_orders(
        &mut self,
        now_ms: u64,
        mut steps: Vec<(Site, Step)>,
        layout: &Layout<'_>,
        permit: &Permit,
        round: &mut Round,
    ) {
        steps.retain(|(_, step)| step.kind != MoveKind::Unplaced);
        steps.sort_by_key(|(_, step)| (step.need.reason(), step.kind));
        let mut loads: usize = self.engines.values().map(EngineTracker::loads).sum();
        for (site, step) in steps {
            let is_load = step.reason != PlacementReason::Removed;
            if is_load && loads >= self.settings.loads_at_once {
                round.waiting += 1;
                continue;
            }
            loads += usize::from(is_load);
            self.order(now_ms, &site, &step, layout, permit, round);
        }
    }

    fn order(
        &mut self,
        now_ms: u64,
        site: &Site,
        step: &Step,
        layout: &Layout<'_>,
        permit: &Permit,
        round: &mut Round,
    ) {
        let Some(backend) = step.backend.as_ref().and_then(|name| layout.backend(name)) else {
            return;
        };
        let loads = self.settings.loads_at_once as u64;
        let Some(tracker) = self.engines.get_mut(&backend.name) else {
            return;
        };
        let kind = match step.kind {
            MoveKind::Load => OrderKind::Load,
            MoveKind::Unload => OrderKind::Unload,
            // The engine already holds the model.
            MoveKind::Fence => OrderKind::Load,
            MoveKind::Unplaced => return,
        };
        if tracker.has_pending_order {
            return;
        }
        tracker.has_pending_order = true;
        if step.kind == MoveKind::Load {
            let cost_ms = step.need.cost_ms * loads + self.settings.load_grace_ms;
            tracker.on_load_ordered(now_ms, &step.model, now_ms + cost_ms);
        }
        round.decisions.push(decision(site, step));
        round.orders.push(Order {
            fence: permit.fence,
            backend: backend.name.clone(),
            fencing: fencing(backend, layout),
            kind,
            model: step.model.clone(),
        });
    }
}

fn site_of(backend: &Backend) -> Site {
    Site {
        zone: backend.zone.clone(),
        pool: backend.pool.clone(),
    }
}

fn fencing(backend: &Backend, layout: &Layout<'_>) -> Fencing {
    let pool = layout.pool(&backend.pool);
    pool.map_or(Fencing::Ignored, |pool| pool.fencing)
}

fn decision(site: &Site, step: &Step) -> PlacementDecision {
    let cost_ms = match step.kind {
        MoveKind::Load => step.need.cost_ms,
        MoveKind::Unload | MoveKind::Fence | MoveKind::Unplaced => 0,
    };
    PlacementDecision {
        kind: step.kind,
        reason: step.reason,
        model: step.model.clone(),
        backend: step.backend.clone(),
        zone: site.zone.clone(),
        pool: site.pool.clone(),
        held: step.need.held,
        wanted: step.need.wanted,
        demand_milli_slots: step.need.demand_milli_slots,
        cost_ms,
    }
}
