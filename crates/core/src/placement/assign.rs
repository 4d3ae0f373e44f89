//! Which engine loads or drops a model.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    ids::{BackendName, ModelName},
    placement::{
        MoveKind, PlacementReason, PlacementSettings,
        engine::{Engine, loaded},
        layout::Layout,
        replicas::Need,
    },
};

/// One step toward what is wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Step {
    pub(crate) kind: MoveKind,
    pub(crate) reason: PlacementReason,
    pub(crate) model: ModelName,
    pub(crate) backend: Option<BackendName>,
    /// Model whose need led to the step.
    pub(crate) need: Need,
}

/// Finds steps for one site; each engine gets one at most.
pub(crate) struct Assignment<'a> {
    engines: Vec<Engine>,
    needs: Vec<Need>,
    layout: &'a Layout<'a>,
    settings: &'a PlacementSettings,
}

impl<'a> Assignment<'a> {
    pub(crate) fn new(
        engines: &[Engine],
        needs: &[Need],
        layout: &'a Layout<'a>,
        settings: &'a PlacementSettings,
    ) -> Self {
        Self {
            engines: engines.to_vec(),
            needs: needs.to_vec(),
            layout,
            settings,
        }
    }

    /// Returns the steps, those for the fewest replicas first.
    pub(crate) fn steps(mut self) -> Vec<Step> {
        let mut short: Vec<_> = self.needs.clone();
        short.retain(|need| need.held < need.wanted);
        short.sort_by_key(|need| (need.reason(), need.held));
        let mut steps = Vec::new();
        for need in short {
            for _ in need.held..need.wanted {
                let Some(step) = self.fill(&need) else { break };
                let is_unplaced = step.kind == MoveKind::Unplaced;
                steps.push(step);
                if is_unplaced {
                    break;
                }
            }
        }
        steps
    }

    /// Returns nothing while an engine with room is busy with another order.
    fn fill(&mut self, need: &Need) -> Option<Step> {
        let reason = need.reason();
        if let Some(index) = self.free_engine(&need.model) {
            let engine = &mut self.engines[index];
            engine.loading.insert(need.model.clone());
            engine.is_orderable = false;
            let kind = MoveKind::Load;
            return Some(step(kind, reason, &need.model, Some(engine), need));
        }
        if self.has_room_later(&need.model) {
            return None;
        }
        if let Some((index, model)) = self.evictable(need) {
            let engine = &mut self.engines[index];
            engine.models.remove(&model);
            engine.is_orderable = false;
            let made = step(
                MoveKind::Unload,
                PlacementReason::MakeRoom,
                &model,
                Some(engine),
                need,
            );
            self.take_spare(&model);
            return Some(made);
        }
        let kind = MoveKind::Unplaced;
        Some(step(kind, reason, &need.model, None, need))
    }

    fn has_room_later(&self, model: &ModelName) -> bool {
        self.engines.iter().any(|engine| {
            !engine.holds_or_loads(model)
                && !engine.avoid.contains(model)
                && engine.occupied() < self.settings.models_per_engine
        })
    }

    /// Finds the engine with room that has the least to do.
    fn free_engine(&self, model: &ModelName) -> Option<usize> {
        let candidates = (0..self.engines.len()).filter(|index| {
            let engine = &self.engines[*index];
            self.can_take(engine, model) && engine.occupied() < self.settings.models_per_engine
        });
        candidates.min_by_key(|index| self.rank(*index, model))
    }

    /// Finds an engine that can drop another model for this one.
    fn evictable(&self, need: &Need) -> Option<(usize, ModelName)> {
        let is_short = need.reason() == PlacementReason::TooFew;
        let engines = (0..self.engines.len())
            .filter(|index| self.can_take(&self.engines[*index], &need.model));
        let pairs = engines.flat_map(|index| {
            let models = self.engines[index].models.iter();
            models.map(move |model| (index, model))
        });
        pairs
            .filter(|(_, model)| self.may_drop(model, is_short))
            .min_by_key(|(index, _)| self.rank(*index, &need.model))
            .map(|(index, model)| (index, model.clone()))
    }

    fn can_take(&self, engine: &Engine, model: &ModelName) -> bool {
        engine.is_orderable && !engine.holds_or_loads(model) && !engine.avoid.contains(model)
    }

    /// A replica may go when it is spare, or over the fewest while another
    /// model has fewer than that. The last one in use never goes.
    fn may_drop(&self, model: &ModelName, is_short: bool) -> bool {
        let Some(need) = self.needs.iter().find(|need| need.model == *model) else {
            return !self.layout.is_in_use(model);
        };
        let least = need.floor.max(u32::from(self.layout.is_in_use(model)));
        loaded(&self.engines, model) > least && (is_short || need.spare > 0)
    }

    fn take_spare(&mut self, model: &ModelName) {
        let needs = self.needs.iter_mut();
        for need in needs.filter(|need| need.model == *model) {
            need.spare = need.spare.saturating_sub(1);
        }
    }

    fn rank(&self, index: usize, model: &ModelName) -> (usize, u64, u64) {
        let engine = &self.engines[index];
        let seed = xxh3_64_with_seed(model.as_str().as_bytes(), 0);
        let hash = xxh3_64_with_seed(engine.backend.as_str().as_bytes(), seed);
        (engine.occupied(), engine.load_per_mille(), hash)
    }
}

fn step(
    kind: MoveKind,
    reason: PlacementReason,
    model: &ModelName,
    engine: Option<&mut Engine>,
    need: &Need,
) -> Step {
    Step {
        kind,
        reason,
        model: model.clone(),
        backend: engine.map(|engine| engine.backend.clone()),
        need: need.clone(),
    }
}
