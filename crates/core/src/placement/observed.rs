//! What engines report and what they were ordered.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    call::{LoadReport, ServingState},
    ids::ModelName,
    objects::Backend,
    placement::{OrderKind, PlacementSettings, engine::Engine},
};

/// Time after which a load whose order was not answered is ordered again, in ms.
const REPEAT_MS: u64 = 5_000;

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine took it.
    Applied {
        /// Models loaded after it.
        models: Vec<ModelName>,
    },
    /// The engine has seen a higher fencing number.
    Fenced {
        /// Number that it has seen.
        highest_fence: u64,
    },
    /// It was not sent.
    NotSent,
    /// It may have taken effect.
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
struct Loading {
    ordered_at_ms: u64,
    due_ms: u64,
    /// Whether the order was answered, as far as is known yet.
    is_taken: bool,
}

/// One engine over time.
#[derive(Clone, Debug)]
pub(crate) struct Observed {
    known_since_ms: u64,
    measured_at_ms: Option<u64>,
    /// Time that `models` describes.
    models_at_ms: Option<u64>,
    is_leaving: bool,
    slots: u32,
    load: u32,
    models: BTreeSet<ModelName>,
    loading: BTreeMap<ModelName, Loading>,
    avoid: BTreeMap<ModelName, u64>,
    /// Since when it has held models that are not configured for its pool.
    foreign_since_ms: BTreeMap<ModelName, u64>,
    /// Fencing number that it has shown to know.
    pub(crate) fence: Option<u64>,
    pub(crate) has_order: bool,
}

impl Observed {
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            known_since_ms: now_ms,
            measured_at_ms: None,
            models_at_ms: None,
            is_leaving: false,
            slots: 1,
            load: 0,
            models: BTreeSet::new(),
            loading: BTreeMap::new(),
            avoid: BTreeMap::new(),
            foreign_since_ms: BTreeMap::new(),
            fence: None,
            has_order: false,
        }
    }

    /// Begins to look at it anew: it counts as lost only some time from now.
    pub(crate) fn look_again(&mut self, now_ms: u64) {
        self.known_since_ms = now_ms;
    }

    /// Forgets what an earlier placer's term was about.
    pub(crate) fn begin_term(&mut self, now_ms: u64) {
        self.look_again(now_ms);
        self.measured_at_ms = None;
        self.loading.clear();
        self.avoid.clear();
        self.fence = None;
        self.has_order = false;
    }

    pub(crate) fn take_report(&mut self, now_ms: u64, report: &LoadReport) {
        let measured_at_ms = now_ms.saturating_sub(report.age_ms);
        if self.measured_at_ms.is_some_and(|at| at > measured_at_ms) {
            return;
        }
        self.measured_at_ms = Some(measured_at_ms);
        self.is_leaving = report.state == ServingState::Leaving;
        self.slots = report.slots.max(1);
        self.load = report.running + report.queued;
        // An order's answer is newer than a report that was measured before it.
        if self.models_at_ms.is_none_or(|at_ms| measured_at_ms > at_ms) {
            self.take_models(measured_at_ms, &report.models);
        }
    }

    pub(crate) fn take_result(
        &mut self,
        now_ms: u64,
        kind: OrderKind,
        model: &ModelName,
        result: &OrderResult,
    ) {
        self.has_order = false;
        match result {
            OrderResult::Applied { models } => self.take_models(now_ms, models),
            OrderResult::NotSent | OrderResult::Fenced { .. } => {
                self.loading.remove(model);
            }
            OrderResult::Unanswered if kind == OrderKind::Load => {
                // It is asked again unless the engine soon shows the model.
                if let Some(loading) = self.loading.get_mut(model) {
                    loading.due_ms = loading.due_ms.min(now_ms + REPEAT_MS);
                    loading.is_taken = false;
                }
            }
            OrderResult::Unanswered => {}
        }
    }

    fn take_models(&mut self, at_ms: u64, models: &[ModelName]) {
        self.models_at_ms = Some(at_ms);
        self.models = models.iter().cloned().collect();
        let models = &self.models;
        self.loading.retain(|model, _| !models.contains(model));
        self.avoid.retain(|model, _| !models.contains(model));
    }

    pub(crate) fn note_loading(&mut self, now_ms: u64, model: &ModelName, due_ms: u64) {
        let loading = Loading {
            ordered_at_ms: now_ms,
            due_ms,
            is_taken: true,
        };
        self.loading.insert(model.clone(), loading);
    }

    /// Drops loads that are overdue; they are decided anew. Only a report from
    /// after the order shows that the model is not there.
    pub(crate) fn expire(&mut self, now_ms: u64, avoid_ms: u64) {
        let measured_at_ms = self.measured_at_ms.unwrap_or_default();
        let is_over =
            |loading: &Loading| now_ms >= loading.due_ms && measured_at_ms > loading.ordered_at_ms;
        for (model, loading) in &self.loading {
            if is_over(loading) && loading.is_taken {
                self.avoid.insert(model.clone(), now_ms + avoid_ms);
            }
        }
        self.loading.retain(|_, loading| !is_over(loading));
        self.avoid.retain(|_, until_ms| *until_ms > now_ms);
    }

    pub(crate) fn loads(&self) -> usize {
        self.loading.len()
    }

    pub(crate) fn models(&self) -> &BTreeSet<ModelName> {
        &self.models
    }

    /// Returns the models that have been foreign to the pool for `hold_ms`.
    pub(crate) fn foreign(
        &mut self,
        now_ms: u64,
        hold_ms: u64,
        is_foreign: impl Fn(&ModelName) -> bool,
    ) -> Vec<ModelName> {
        let models = self.models.iter().filter(|model| is_foreign(model));
        let foreign: BTreeSet<_> = models.cloned().collect();
        self.foreign_since_ms.retain(|x, _| foreign.contains(x));
        for model in foreign {
            self.foreign_since_ms.entry(model).or_insert(now_ms);
        }
        let since = self.foreign_since_ms.iter();
        since
            .filter(|(_, since_ms)| now_ms.saturating_sub(**since_ms) >= hold_ms)
            .map(|(model, _)| model.clone())
            .collect()
    }

    pub(crate) fn sight(&self, now_ms: u64, settings: &PlacementSettings) -> Sight {
        let age_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
        let heard_ms = self.measured_at_ms;
        if heard_ms.is_some_and(|at_ms| age_ms(at_ms) <= settings.report_max_age_ms) {
            return match self.is_leaving {
                true => Sight::Away,
                false => Sight::Serving,
            };
        }
        let since_ms = heard_ms.unwrap_or_default().max(self.known_since_ms);
        if age_ms(since_ms) < settings.lost_after_ms {
            Sight::Unsure
        } else {
            Sight::Away
        }
    }

    pub(crate) fn engine(&self, backend: &Backend, is_orderable: bool) -> Engine {
        Engine {
            backend: backend.name.clone(),
            slots: self.slots,
            load: self.load,
            models: self.models.clone(),
            loading: self.loading.keys().cloned().collect(),
            avoid: self.avoid.keys().cloned().collect(),
            is_orderable: is_orderable && !self.has_order,
        }
    }
}

/// Whether an engine counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sight {
    /// It takes new work, and its report is recent.
    Serving,
    /// Its state is not known; its site is left as it is.
    Unsure,
    /// It is leaving or lost.
    Away,
}
