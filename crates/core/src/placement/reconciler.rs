//! Compares what engines hold with what is wanted, and orders the difference.

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
        observed::{Observed, Sight},
        replicas::{Holds, Need},
    },
    placer::Permit,
};

/// What an engine is ordered to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Load a model.
    Load,
    /// Drop a model.
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
    /// Engine that is ordered.
    pub backend: BackendName,
    /// Whether it checks the number.
    pub fencing: Fencing,
    /// What it is ordered to do.
    pub kind: OrderKind,
    /// Model that it is about.
    pub model: ModelName,
}

/// What one look at all engines led to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Round {
    /// Orders to be sent now; the result of each is to be reported.
    pub orders: Vec<Order>,
    /// Decisions that are new, one for each order and for each replica that
    /// no engine can take.
    pub decisions: Vec<PlacementDecision>,
    /// Moves that wait for the weight store.
    pub waiting: usize,
}

/// State of placement on the instance that is the placer.
#[derive(Clone, Debug)]
pub struct Reconciler {
    settings: PlacementSettings,
    fence: Option<u64>,
    last_round_ms: u64,
    engines: BTreeMap<BackendName, Observed>,
    demand: Demand,
    holds: Holds,
    unplaced: BTreeSet<(Site, ModelName)>,
    /// Models that have been configured for a pool. What never was is left
    /// alone: no operator has confirmed that it goes.
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
            holds: Holds::default(),
            unplaced: BTreeSet::new(),
            configured: BTreeSet::new(),
        }
    }

    /// Notes calls that this instance sent for a model.
    pub fn note_calls(&mut self, model: &ModelName, calls: u64) {
        self.demand.note_calls(model, calls);
    }

    /// Takes a load report.
    pub fn on_report(&mut self, now_ms: u64, report: &LoadReport) {
        if let Some(observed) = self.engines.get_mut(&report.server) {
            observed.take_report(now_ms, report);
        }
    }

    /// Takes what became of an order.
    pub fn on_result(&mut self, now_ms: u64, order: &Order, result: &OrderResult) {
        if self.fence != Some(order.fence) {
            return;
        }
        let Some(observed) = self.engines.get_mut(&order.backend) else {
            return;
        };
        observed.take_result(now_ms, order.kind, &order.model, result);
        if matches!(result, OrderResult::Applied { .. }) {
            observed.fence = Some(order.fence);
        }
    }

    /// Decides what to order now.
    pub fn round(&mut self, now_ms: u64, layout: &Layout<'_>, permit: &Permit) -> Round {
        self.take_layout(now_ms, layout, permit);
        let sites = self.sites(now_ms, layout, permit);
        let seen = sites
            .iter()
            .flat_map(|(site, engines)| engines.iter().map(move |engine| (&site.zone, engine)));
        self.demand.update(now_ms, self.settings.smoothing_ms, seen);
        let mut round = Round::default();
        self.fence_all(now_ms, layout, permit, &mut round);
        let mut steps = Vec::new();
        for (site, engines) in &sites {
            let is_unsure = self.is_unsure(now_ms, site, layout);
            let needs =
                self.holds
                    .needs(now_ms, site, engines, layout, &self.demand, &self.settings);
            if is_unsure || !self.may_order(now_ms, site, layout, permit) {
                continue;
            }
            let found = Assignment::new(engines, &needs, layout, &self.settings).steps();
            self.note_unplaced(site, &found, &mut round);
            steps.extend(found.into_iter().map(|step| (site.clone(), step)));
            steps.extend(self.removals(now_ms, site, engines, layout));
        }
        self.order_all(now_ms, steps, layout, permit, &mut round);
        round
    }

    fn take_layout(&mut self, now_ms: u64, layout: &Layout<'_>, permit: &Permit) {
        self.engines
            .retain(|name, _| layout.backend(name).is_some());
        let models = layout.models();
        self.configured
            .extend(models.map(|model| (model.pool.clone(), model.name.clone())));
        for backend in layout.backends() {
            let entry = self.engines.entry(backend.name.clone());
            entry.or_insert_with(|| Observed::new(now_ms));
        }
        if self.fence != Some(permit.fence) {
            self.fence = Some(permit.fence);
            self.unplaced.clear();
            for observed in self.engines.values_mut() {
                observed.begin_term(now_ms);
            }
        }
        let pause_ms = now_ms.saturating_sub(self.last_round_ms);
        self.last_round_ms = now_ms;
        for observed in self.engines.values_mut() {
            if pause_ms > self.settings.report_max_age_ms {
                observed.look_again(now_ms);
            }
            observed.expire(now_ms, self.settings.avoid_ms);
        }
    }

    /// Collects the engines of each site that take new work.
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
            let observed = &self.engines[&backend.name];
            if observed.sight(now_ms, &self.settings) == Sight::Serving {
                let is_orderable = self.is_fenced(backend, layout, permit);
                let engine = observed.engine(backend, is_orderable);
                let engines = sites.entry(site_of(backend)).or_default();
                engines.push(engine);
            }
        }
        sites
    }

    /// Tells whether an engine that checks fencing numbers knows this one; an
    /// older placer's order might still get through to it otherwise. One that
    /// holds nothing has nothing to lose, and no order is sure to change nothing
    /// there: its report may be older than its last load.
    fn is_fenced(&self, backend: &Backend, layout: &Layout<'_>, permit: &Permit) -> bool {
        let observed = &self.engines[&backend.name];
        fencing(backend, layout) == Fencing::Ignored
            || observed.fence == Some(permit.fence)
            || observed.models().is_empty()
    }

    fn is_unsure(&self, now_ms: u64, site: &Site, layout: &Layout<'_>) -> bool {
        layout
            .backends()
            .filter(|backend| site_of(backend) == *site)
            .any(|x| self.engines[&x.name].sight(now_ms, &self.settings) == Sight::Unsure)
    }

    fn may_order(&self, now_ms: u64, site: &Site, layout: &Layout<'_>, permit: &Permit) -> bool {
        let pool = layout.pool(&site.pool);
        pool.is_some_and(|pool| permit.allows(now_ms, pool.fencing))
    }

    /// Tells each engine that checks numbers the new one by an order that
    /// changes nothing.
    fn fence_all(&mut self, now_ms: u64, layout: &Layout<'_>, permit: &Permit, round: &mut Round) {
        for backend in layout.backends() {
            let is_fenced = self.is_fenced(backend, layout, permit);
            let observed = &self.engines[&backend.name];
            let is_seen = observed.sight(now_ms, &self.settings) == Sight::Serving;
            if is_fenced || !is_seen || observed.has_order {
                continue;
            }
            let Some(model) = observed.models().first().cloned() else {
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
            let Some(observed) = self.engines.get_mut(&engine.backend) else {
                continue;
            };
            let configured = &self.configured;
            let is_foreign = |model: &ModelName| {
                !layout.has_model(&site.pool, model)
                    && configured.contains(&(site.pool.clone(), model.clone()))
            };
            let foreign = observed.foreign(now_ms, hold_ms, is_foreign);
            if let Some(model) = foreign.into_iter().next() {
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

    fn note_unplaced(&mut self, site: &Site, steps: &[Step], round: &mut Round) {
        let unplaced = steps.iter().filter(|x| x.kind == MoveKind::Unplaced);
        let now: Vec<_> = unplaced.collect();
        self.unplaced
            .retain(|(at, model)| at != site || now.iter().any(|x| x.model == *model));
        for step in now {
            if self.unplaced.insert((site.clone(), step.model.clone())) {
                round.decisions.push(decision(site, step));
            }
        }
    }

    /// Orders what the weight store has room for: configured replicas first.
    fn order_all(
        &mut self,
        now_ms: u64,
        mut steps: Vec<(Site, Step)>,
        layout: &Layout<'_>,
        permit: &Permit,
        round: &mut Round,
    ) {
        steps.retain(|(_, step)| step.kind != MoveKind::Unplaced);
        steps.sort_by_key(|(_, step)| (step.need.reason(), step.kind));
        let mut loads: usize = self.engines.values().map(Observed::loads).sum();
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
        let Some(observed) = self.engines.get_mut(&backend.name) else {
            return;
        };
        let kind = match step.kind {
            MoveKind::Load => OrderKind::Load,
            MoveKind::Unload => OrderKind::Unload,
            // It is held already.
            MoveKind::Fence => OrderKind::Load,
            MoveKind::Unplaced => return,
        };
        if observed.has_order {
            return;
        }
        observed.has_order = true;
        if step.kind == MoveKind::Load {
            let cost_ms = step.need.cost_ms * loads + self.settings.load_grace_ms;
            observed.note_loading(now_ms, &step.model, now_ms + cost_ms);
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
