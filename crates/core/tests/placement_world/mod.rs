//! A simulation of engines that check or ignore fencing numbers, one weight
//! store, and demand spread over the engines of each model.
#![allow(dead_code)] // each test file uses only some of the helpers

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use savoryvane_core::{
    call::{LoadReport, ServingState},
    ids::ModelName,
    objects::{Backend, Fencing, Model, Pipeline, Pool, Stage, StageKind},
    placement::{
        Layout, MoveKind, Order, OrderKind, OrderResult, PlacementDecision, PlacementSettings,
        Reconciler,
    },
    placer::Permit,
};

pub const SLOTS: u32 = 8;
pub const REPORT_LAG_MS: u64 = 400;
pub const ROUND_MS: u64 = 1_000;
pub const ZONE: &str = "hal-utrecht";

pub fn pool(name: &str, fencing: Fencing) -> Pool {
    Pool {
        name: name.into(),
        kind: StageKind::Generate,
        price_micros_per_s: 1,
        fencing,
    }
}

pub fn backend(name: &str, pool: &str, zone: &str) -> Backend {
    Backend {
        name: name.into(),
        pool: pool.into(),
        zone: zone.into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        slots: SLOTS,
    }
}

pub fn model(name: &str, pool: &str, size_mb: u64, min_replicas: u32) -> Model {
    Model {
        name: name.into(),
        pool: pool.into(),
        size_mb,
        min_replicas,
    }
}

pub fn pipeline(model: &Model) -> Pipeline {
    Pipeline {
        name: model.name.as_str().into(),
        deadline_ms: 4_000,
        stages: vec![Stage {
            name: "write".into(),
            pool: model.pool.clone(),
            model: Some(model.name.clone()),
            idempotent: true,
            max_tokens: 16,
        }],
    }
}

#[derive(Clone, Debug, Default)]
pub struct Objects {
    pub pools: Vec<Pool>,
    pub backends: Vec<Backend>,
    pub models: Vec<Model>,
    pub pipelines: Vec<Pipeline>,
}

impl Objects {
    /// Creates the engines `engine-0`, `engine-1` and so on of one pool in one
    /// zone; every model is used by a pipeline.
    pub fn new(fencing: Fencing, engines: usize, models: &[(&str, u64, u32)]) -> Self {
        let models = models
            .iter()
            .map(|(name, size_mb, min)| model(name, "llm", *size_mb, *min));
        let models: Vec<_> = models.collect();
        let names = (0..engines).map(|n| format!("engine-{n}"));
        Self {
            pools: vec![pool("llm", fencing)],
            backends: names.map(|name| backend(&name, "llm", ZONE)).collect(),
            pipelines: models.iter().map(pipeline).collect(),
            models,
        }
    }

    pub fn layout(&self) -> Layout<'_> {
        Layout::new(&self.pools, &self.backends, &self.models, &self.pipelines)
    }
}

#[derive(Clone, Debug)]
pub struct Engine {
    pub name: String,
    pub fencing: Fencing,
    pub models: BTreeSet<ModelName>,
    /// Loads in progress with their completion time in ms.
    pub loading: BTreeMap<ModelName, u64>,
    pub highest_fence: u64,
    pub load: u32,
    pub is_dead: bool,
    pub is_leaving: bool,
    /// Whether it accepts loads but never completes them.
    pub is_stuck: bool,
    reports: VecDeque<(u64, LoadReport)>,
}

impl Engine {
    fn new(backend: &Backend, fencing: Fencing) -> Self {
        Self {
            name: backend.name.to_string(),
            fencing,
            models: BTreeSet::new(),
            loading: BTreeMap::new(),
            highest_fence: 0,
            load: 0,
            is_dead: false,
            is_leaving: false,
            is_stuck: false,
            reports: VecDeque::new(),
        }
    }

    pub fn serves(&self, model: &ModelName) -> bool {
        !self.is_dead && !self.is_leaving && self.models.contains(model)
    }

    /// Puts the engine back into service; a dead one has lost its models.
    pub fn revive(&mut self) {
        if std::mem::take(&mut self.is_dead) {
            self.models.clear();
            self.loading.clear();
            self.reports.clear();
        }
        self.is_leaving = false;
    }

    fn report(&self) -> LoadReport {
        LoadReport {
            server: self.name.as_str().into(),
            state: match self.is_leaving {
                true => ServingState::Leaving,
                false => ServingState::Serving,
            },
            running: self.load.min(SLOTS),
            queued: self.load.saturating_sub(SLOTS),
            slots: SLOTS,
            age_ms: 0,
            models: self.models.iter().cloned().collect(),
        }
    }
}

fn decrement_if_positive(count: &mut u32) -> bool {
    let is_positive = *count > 0;
    *count = count.saturating_sub(1);
    is_positive
}

/// The engines and the weight store that they load from.
#[derive(Clone, Debug)]
pub struct Engines {
    pub engines: Vec<Engine>,
    pub settings: PlacementSettings,
    store_busy_until_ms: u64,
    /// Maximum concurrent loads so far.
    pub max_concurrent_loads: usize,
    /// Number of next orders that are lost before they arrive.
    pub lost_orders: u32,
    /// Number of next orders that are applied but whose responses are lost.
    pub lost_responses: u32,
}

impl Engines {
    pub fn new(objects: &Objects, settings: PlacementSettings) -> Self {
        let fencing = |backend: &Backend| {
            let pool = objects.pools.iter().find(|x| x.name == backend.pool);
            pool.unwrap().fencing
        };
        let engines = objects.backends.iter();
        Self {
            engines: engines.map(|x| Engine::new(x, fencing(x))).collect(),
            settings,
            store_busy_until_ms: 0,
            max_concurrent_loads: 0,
            lost_orders: 0,
            lost_responses: 0,
        }
    }

    /// Completes due loads and records reports.
    pub fn advance(&mut self, now_ms: u64) {
        for engine in &mut self.engines {
            let (done, rest): (BTreeMap<_, _>, BTreeMap<_, _>) =
                std::mem::take(&mut engine.loading)
                    .into_iter()
                    .partition(|(_, at_ms)| *at_ms <= now_ms);
            engine.loading = rest;
            engine.models.extend(done.into_keys());
            let report = engine.report();
            engine.reports.push_back((now_ms, report));
            while engine.reports.len() > 1 && engine.reports[1].0 + REPORT_LAG_MS <= now_ms {
                engine.reports.pop_front();
            }
        }
    }

    /// Returns the lagging report of each engine that is not dead.
    pub fn reports(&self, now_ms: u64) -> Vec<LoadReport> {
        let live_engines = self.engines.iter().filter(|engine| !engine.is_dead);
        let oldest_reports = live_engines.filter_map(|engine| engine.reports.front());
        oldest_reports
            .map(|(at_ms, report)| LoadReport {
                age_ms: now_ms - at_ms,
                ..report.clone()
            })
            .collect()
    }

    pub fn order(&mut self, now_ms: u64, order: &Order, size_mb: u64) -> OrderResult {
        let load_ms = self.settings.load_ms(size_mb);
        let name = order.backend.as_str();
        let engine = self.engines.iter_mut().find(|x| x.name == name).unwrap();
        if engine.is_dead || decrement_if_positive(&mut self.lost_orders) {
            return OrderResult::Unanswered;
        }
        let is_stale = order.fence < engine.highest_fence;
        engine.highest_fence = engine.highest_fence.max(order.fence);
        if is_stale && engine.fencing == Fencing::Checked {
            return OrderResult::Fenced {
                highest_fence: engine.highest_fence,
            };
        }
        let is_held = engine.models.contains(&order.model);
        match order.kind {
            OrderKind::Load if is_held => {}
            OrderKind::Load => {
                let start_ms = self.store_busy_until_ms.max(now_ms);
                let ready_ms = match engine.is_stuck {
                    true => u64::MAX,
                    false => start_ms + load_ms,
                };
                self.store_busy_until_ms = start_ms + load_ms;
                engine
                    .loading
                    .entry(order.model.clone())
                    .or_insert(ready_ms);
            }
            OrderKind::Unload => {
                engine.models.remove(&order.model);
                engine.loading.remove(&order.model);
            }
        }
        let models = engine.models.iter().cloned().collect();
        let loading = self.engines.iter().map(|x| x.loading.len()).sum();
        self.max_concurrent_loads = self.max_concurrent_loads.max(loading);
        if decrement_if_positive(&mut self.lost_responses) {
            return OrderResult::Unanswered;
        }
        OrderResult::Applied { models }
    }

    pub fn replicas(&self, model: &str) -> usize {
        let model = ModelName::new(model);
        self.engines.iter().filter(|x| x.serves(&model)).count()
    }

    /// Spreads the busy slots of each model over the engines that serve it.
    pub fn set_demand(&mut self, demand: &[(&str, f64)]) {
        let mut loads = vec![0.0; self.engines.len()];
        for (name, slots) in demand {
            let model = ModelName::new(name);
            let serves = |at: &usize| self.engines[*at].serves(&model);
            let at: Vec<_> = (0..self.engines.len()).filter(serves).collect();
            for index in &at {
                loads[*index] += slots / at.len() as f64;
            }
        }
        for (engine, load) in self.engines.iter_mut().zip(loads) {
            engine.load = f64::round(load) as u32;
        }
    }
}

/// A placer that is never replaced, and its engines.
pub struct World {
    pub now_ms: u64,
    pub objects: Objects,
    pub engines: Engines,
    pub reconciler: Reconciler,
    pub decisions: Vec<(u64, PlacementDecision)>,
    pub faults: Vec<String>,
}

impl World {
    pub fn new(objects: Objects, settings: PlacementSettings) -> Self {
        Self {
            now_ms: 0,
            engines: Engines::new(&objects, settings),
            objects,
            reconciler: Reconciler::new(settings),
            decisions: Vec::new(),
            faults: Vec::new(),
        }
    }

    pub fn run(&mut self, ms: u64, mut demand: impl FnMut(u64) -> Vec<(&'static str, f64)>) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += ROUND_MS;
            let demand = demand(self.now_ms);
            for (name, slots) in &demand {
                self.reconciler
                    .record_calls(&(*name).into(), (slots * 10.0) as u64);
            }
            self.engines.set_demand(&demand);
            self.engines.advance(self.now_ms);
            self.round();
        }
    }

    fn round(&mut self) {
        let permit = Permit {
            fence: 7,
            expires_at_ms: u64::MAX,
            unfenced_from_ms: 0,
        };
        for report in self.engines.reports(self.now_ms) {
            self.reconciler.on_report(self.now_ms, &report);
        }
        let layout = self.objects.layout();
        let round = self.reconciler.round(self.now_ms, &layout, &permit);
        let now_ms = self.now_ms;
        let decisions = round.decisions.into_iter();
        self.decisions.extend(decisions.map(|x| (now_ms, x)));
        for order in &round.orders {
            let size_mb = self.size_mb(&order.model);
            self.check(order);
            let result = self.engines.order(self.now_ms, order, size_mb);
            self.reconciler.on_result(self.now_ms, order, &result);
        }
    }

    fn size_mb(&self, model: &ModelName) -> u64 {
        let found = self.objects.models.iter().find(|x| x.name == *model);
        found.map_or(0, |model| model.size_mb)
    }

    /// Checks that the last replica of a model in use is not unloaded.
    fn check(&mut self, order: &Order) {
        let is_in_use = self.objects.pipelines.iter().any(|pipeline| {
            pipeline
                .stages
                .iter()
                .any(|x| x.model.as_ref() == Some(&order.model))
        });
        let name = order.backend.as_str();
        let mut others = self.engines.engines.iter().filter(|x| x.name != name);
        let is_last = !others.any(|engine| engine.serves(&order.model));
        if order.kind == OrderKind::Unload && is_in_use && is_last {
            self.faults.push(format!("last replica: {order:?}"));
        }
    }

    /// Counts the moves from `from_ms` on.
    pub fn moves(&self, from_ms: u64) -> usize {
        let is_move = |kind| matches!(kind, MoveKind::Load | MoveKind::Unload);
        let late_decisions = self.decisions.iter().filter(|(at_ms, _)| *at_ms >= from_ms);
        late_decisions
            .filter(|(_, decision)| is_move(decision.kind))
            .count()
    }

    pub fn kinds(&self, kind: MoveKind) -> Vec<&PlacementDecision> {
        let decisions = self.decisions.iter().map(|(_, decision)| decision);
        decisions.filter(|decision| decision.kind == kind).collect()
    }
}
