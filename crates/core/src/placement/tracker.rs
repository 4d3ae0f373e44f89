//! Tracks the reports of engines and the orders given to them.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    call::{LoadReport, ServingState},
    ids::ModelName,
    objects::Backend,
    placement::{OrderKind, PlacementSettings, engine::Engine},
};

/// Time after which a load is ordered again if its order got no response, in
/// ms.
const REORDER_MS: u64 = 5_000;

/// The result of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine applied it.
    Applied {
        /// Models loaded afterwards.
        models: Vec<ModelName>,
    },
    /// The engine has seen a higher fencing number.
    Fenced {
        /// Number that the engine has seen.
        highest_fence: u64,
    },
    /// The order was not sent.
    NotSent,
    /// The order was sent without a response and may have taken effect.
    Unanswered,
}

impl OrderResult {
    /// Returns the name used in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Applied { .. } => "applied",
            Self::Fenced { .. } => "fenced",
            Self::NotSent => "not_sent",
            Self::Unanswered => "unanswered",
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct PendingLoad {
    ordered_at_ms: u64,
    due_ms: u64,
    /// Cleared when the order ends without a response.
    is_acknowledged: bool,
}

/// The tracked state of one engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineTracker {
    lost_timer_start_ms: u64,
    measured_at_ms: Option<u64>,
    /// Time at which `models` was valid.
    models_at_ms: Option<u64>,
    is_leaving: bool,
    slots: u32,
    load: u32,
    models: BTreeSet<ModelName>,
    pending_loads: BTreeMap<ModelName, PendingLoad>,
    avoid_until_ms: BTreeMap<ModelName, u64>,
    /// Since when it has held models that are not configured for its pool.
    unconfigured_since_ms: BTreeMap<ModelName, u64>,
    /// Fencing number of the last order that it applied.
    pub(crate) fence: Option<u64>,
    pub(crate) has_pending_order: bool,
}

impl EngineTracker {
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            lost_timer_start_ms: now_ms,
            measured_at_ms: None,
            models_at_ms: None,
            is_leaving: false,
            slots: 1,
            load: 0,
            models: BTreeSet::new(),
            pending_loads: BTreeMap::new(),
            avoid_until_ms: BTreeMap::new(),
            unconfigured_since_ms: BTreeMap::new(),
            fence: None,
            has_pending_order: false,
        }
    }

    /// Restarts the time after which it counts as lost.
    pub(crate) fn restart_lost_timer(&mut self, now_ms: u64) {
        self.lost_timer_start_ms = now_ms;
    }

    /// Clears the state of an earlier placer's term.
    pub(crate) fn begin_term(&mut self, now_ms: u64) {
        self.restart_lost_timer(now_ms);
        self.measured_at_ms = None;
        self.pending_loads.clear();
        self.avoid_until_ms.clear();
        self.fence = None;
        self.has_pending_order = false;
    }

    pub(crate) fn on_report(&mut self, now_ms: u64, report: &LoadReport) {
        let measured_at_ms = now_ms.saturating_sub(report.age_ms);
        if self.measured_at_ms.is_some_and(|at| at > measured_at_ms) {
            return;
        }
        self.measured_at_ms = Some(measured_at_ms);
        self.is_leaving = report.state == ServingState::Leaving;
        self.slots = report.slots.max(1);
        self.load = report.running + report.queued;
        // The response to an order is newer than a report measured before it.
        if self.models_at_ms.is_none_or(|at_ms| measured_at_ms > at_ms) {
            self.set_models(measured_at_ms, &report.models);
        }
    }

    pub(crate) fn on_result(
        &mut self,
        now_ms: u64,
        kind: OrderKind,
        model: &ModelName,
        result: &OrderResult,
    ) {
        self.has_pending_order = false;
        match result {
            OrderResult::Applied { models } => self.set_models(now_ms, models),
            OrderResult::NotSent | OrderResult::Fenced { .. } => {
                self.pending_loads.remove(model);
            }
            OrderResult::Unanswered if kind == OrderKind::Load => {
                // The load is ordered again unless the engine soon reports the
                // model.
                if let Some(pending_load) = self.pending_loads.get_mut(model) {
                    pending_load.due_ms = pending_load.due_ms.min(now_ms + REORDER_MS);
                    pending_load.is_acknowledged = false;
                }
            }
            OrderResult::Unanswered => {}
        }
    }

    fn set_models(&mut self, at_ms: u64, models: &[ModelName]) {
        self.models_at_ms = Some(at_ms);
        self.models = models.iter().cloned().collect();
        let models = &self.models;
        self.pending_loads
            .retain(|model, _| !models.contains(model));
        self.avoid_until_ms
            .retain(|model, _| !models.contains(model));
    }

    pub(crate) fn on_load_ordered(&mut self, now_ms: u64, model: &ModelName, due_ms: u64) {
        let pending_load = PendingLoad {
            ordered_at_ms: now_ms,
            due_ms,
            is_acknowledged: true,
        };
        self.pending_loads.insert(model.clone(), pending_load);
    }

    /// Removes overdue loads, so that they are decided again. Only a report
    /// measured after the order shows that the model was not loaded.
    pub(crate) fn expire(&mut self, now_ms: u64, avoid_ms: u64) {
        let measured_at_ms = self.measured_at_ms.unwrap_or_default();
        let is_expired = |pending_load: &PendingLoad| {
            now_ms >= pending_load.due_ms && measured_at_ms > pending_load.ordered_at_ms
        };
        for (model, pending_load) in &self.pending_loads {
            if is_expired(pending_load) && pending_load.is_acknowledged {
                self.avoid_until_ms.insert(model.clone(), now_ms + avoid_ms);
            }
        }
        self.pending_loads
            .retain(|_, pending_load| !is_expired(pending_load));
        self.avoid_until_ms.retain(|_, until_ms| *until_ms > now_ms);
    }

    pub(crate) fn loads(&self) -> usize {
        self.pending_loads.len()
    }

    pub(crate) fn models(&self) -> &BTreeSet<ModelName> {
        &self.models
    }

    /// Returns the models that have not been configured for the pool for
    /// `hold_ms`.
    pub(crate) fn unconfigured(
        &mut self,
        now_ms: u64,
        hold_ms: u64,
        is_unconfigured: impl Fn(&ModelName) -> bool,
    ) -> Vec<ModelName> {
        let models = self.models.iter().filter(|model| is_unconfigured(model));
        let unconfigured: BTreeSet<_> = models.cloned().collect();
        self.unconfigured_since_ms
            .retain(|x, _| unconfigured.contains(x));
        for model in unconfigured {
            self.unconfigured_since_ms.entry(model).or_insert(now_ms);
        }
        let since = self.unconfigured_since_ms.iter();
        since
            .filter(|(_, since_ms)| now_ms.saturating_sub(**since_ms) >= hold_ms)
            .map(|(model, _)| model.clone())
            .collect()
    }

    pub(crate) fn availability(
        &self,
        now_ms: u64,
        settings: &PlacementSettings,
    ) -> EngineAvailability {
        let age_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
        let measured_at_ms = self.measured_at_ms;
        if measured_at_ms.is_some_and(|at_ms| age_ms(at_ms) <= settings.report_max_age_ms) {
            return match self.is_leaving {
                true => EngineAvailability::Unavailable,
                false => EngineAvailability::Serving,
            };
        }
        let since_ms = measured_at_ms
            .unwrap_or_default()
            .max(self.lost_timer_start_ms);
        if age_ms(since_ms) < settings.lost_after_ms {
            EngineAvailability::Unknown
        } else {
            EngineAvailability::Unavailable
        }
    }

    pub(crate) fn engine(&self, backend: &Backend, is_orderable: bool) -> Engine {
        Engine {
            backend: backend.name.clone(),
            slots: self.slots,
            load: self.load,
            models: self.models.clone(),
            loading: self.pending_loads.keys().cloned().collect(),
            avoided_models: self.avoid_until_ms.keys().cloned().collect(),
            is_orderable: is_orderable && !self.has_pending_order,
        }
    }
}

/// Whether an engine takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineAvailability {
    /// It takes new work, and its report is recent.
    Serving,
    /// Its state is unknown; its site is not changed.
    Unknown,
    /// It is leaving or lost.
    Unavailable,
}
