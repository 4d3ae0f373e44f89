//! Assigns loads and unloads of models to engines.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    ids::{BackendName, ModelName},
    placement::{
        MoveKind, PlacementReason, PlacementSettings,
        engine::{Engine, count_loaded},
        layout::Layout,
        replicas::Need,
    },
};

/// One step towards the desired state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Step {
    pub(crate) kind: MoveKind,
    pub(crate) reason: PlacementReason,
    pub(crate) model: ModelName,
    pub(crate) backend: Option<BackendName>,
    /// Need that led to the step.
    pub(crate) need: Need,
}

/// Finds the steps for one site, at most one for each engine.
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

    /// Returns the steps, ordered by reason and then by the fewest held
    /// replicas.
    pub(crate) fn steps(mut self) -> Vec<Step> {
        let mut under_replicated: Vec<_> = self.needs.clone();
        under_replicated.retain(|need| need.held < need.wanted);
        under_replicated.sort_by_key(|need| (need.reason(), need.held));
        let mut steps = Vec::new();
        for need in under_replicated {
            for _ in need.held..need.wanted {
                let Some(step) = self.next_step(&need) else {
                    break;
                };
                let is_unplaced = step.kind == MoveKind::Unplaced;
                steps.push(step);
                if is_unplaced {
                    break;
                }
            }
        }
        steps
    }

    /// Finds one step towards the need; none while an engine with room has
    /// another order pending.
    fn next_step(&mut self, need: &Need) -> Option<Step> {
        let reason = need.reason();
        if let Some(index) = self.free_engine(&need.model) {
            let engine = &mut self.engines[index];
            engine.loading.insert(need.model.clone());
            engine.is_orderable = false;
            let kind = MoveKind::Load;
            return Some(step(kind, reason, &need.model, Some(engine), need));
        }
        if self.has_room_after_orders(&need.model) {
            return None;
        }
        if let Some((index, model)) = self.evictable(need) {
            let engine = &mut self.engines[index];
            engine.models.remove(&model);
            engine.is_orderable = false;
            let unload = step(
                MoveKind::Unload,
                PlacementReason::MakeRoom,
                &model,
                Some(engine),
                need,
            );
            self.use_spare(&model);
            return Some(unload);
        }
        let kind = MoveKind::Unplaced;
        Some(step(kind, reason, &need.model, None, need))
    }

    fn has_room_after_orders(&self, model: &ModelName) -> bool {
        self.engines.iter().any(|engine| {
            !engine.holds_or_loads(model)
                && !engine.avoided_models.contains(model)
                && engine.model_count() < self.settings.models_per_engine
        })
    }

    /// Finds the best ranked engine with room.
    fn free_engine(&self, model: &ModelName) -> Option<usize> {
        let candidates = (0..self.engines.len()).filter(|index| {
            let engine = &self.engines[*index];
            self.can_take(engine, model) && engine.model_count() < self.settings.models_per_engine
        });
        candidates.min_by_key(|index| self.rank(*index, model))
    }

    /// Finds an engine that can unload another model to make room.
    fn evictable(&self, need: &Need) -> Option<(usize, ModelName)> {
        let is_below_floor = need.reason() == PlacementReason::TooFew;
        let engines = (0..self.engines.len())
            .filter(|index| self.can_take(&self.engines[*index], &need.model));
        let pairs = engines.flat_map(|index| {
            let models = self.engines[index].models.iter();
            models.map(move |model| (index, model))
        });
        pairs
            .filter(|(_, model)| self.may_unload(model, is_below_floor))
            .min_by_key(|(index, _)| self.rank(*index, &need.model))
            .map(|(index, model)| (index, model.clone()))
    }

    fn can_take(&self, engine: &Engine, model: &ModelName) -> bool {
        engine.is_orderable
            && !engine.holds_or_loads(model)
            && !engine.avoided_models.contains(model)
    }

    /// Returns whether a replica may be unloaded: it is spare, or exceeds the
    /// minimum while another model is below its own. The last replica of a
    /// model in use is never unloaded.
    fn may_unload(&self, model: &ModelName, is_below_floor: bool) -> bool {
        let Some(need) = self.needs.iter().find(|need| need.model == *model) else {
            return !self.layout.is_in_use(model);
        };
        let min_replicas = need.floor.max(u32::from(self.layout.is_in_use(model)));
        count_loaded(&self.engines, model) > min_replicas && (is_below_floor || need.spare > 0)
    }

    fn use_spare(&mut self, model: &ModelName) {
        let needs = self.needs.iter_mut();
        for need in needs.filter(|need| need.model == *model) {
            need.spare = need.spare.saturating_sub(1);
        }
    }

    fn rank(&self, index: usize, model: &ModelName) -> (usize, u64, u64) {
        let engine = &self.engines[index];
        let seed = xxh3_64_with_seed(model.as_str().as_bytes(), 0);
        let hash = xxh3_64_with_seed(engine.backend.as_str().as_bytes(), seed);
        (engine.model_count(), engine.load_per_mille(), hash)
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
