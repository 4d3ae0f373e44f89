//! Models of an engine, loaded from a rate-limited weight store on orders.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard},
};

use savoryvane_core::{ids::ModelName, objects::Fencing};
use savoryvane_wire::backend::{Order, OrderAction, OrderReply};

use crate::weights::WeightSource;

/// Models of one engine and the highest fencing number that it has seen.
#[derive(Debug)]
pub(crate) struct Models {
    fencing: Fencing,
    model_mb: u64,
    weights: WeightSource,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    loaded: BTreeSet<ModelName>,
    wanted: BTreeSet<ModelName>,
    highest_fence: u64,
}

impl Models {
    /// Starts with `loaded`.
    pub(crate) fn new(
        fencing: Fencing,
        model_mb: u64,
        weights: WeightSource,
        loaded: &[ModelName],
    ) -> Self {
        let loaded: BTreeSet<_> = loaded.iter().cloned().collect();
        Self {
            fencing,
            model_mb,
            weights,
            state: Mutex::new(State {
                wanted: loaded.clone(),
                loaded,
                highest_fence: 0,
            }),
        }
    }

    /// Returns the models loaded.
    pub(crate) fn loaded(&self) -> Vec<ModelName> {
        self.state().loaded.iter().cloned().collect()
    }

    /// Tells whether a call for `model` can run.
    pub(crate) fn serves(&self, model: Option<&ModelName>) -> bool {
        model.is_none_or(|model| self.state().loaded.contains(model))
    }

    /// Takes an order, or refuses it for its fencing number. A load goes on in
    /// the background and shows in [`Models::loaded`] when it is complete.
    pub(crate) fn order(self: &Arc<Self>, order: &Order) -> OrderReply {
        let applied = self.admit(order.fence);
        if applied {
            self.apply(&order.action);
        }
        let highest_fence = match self.fencing {
            Fencing::Checked => self.state().highest_fence,
            Fencing::Ignored => 0,
        };
        OrderReply {
            applied,
            highest_fence,
            models: self.loaded(),
        }
    }

    fn admit(&self, fence: u64) -> bool {
        let mut state = self.state();
        let is_old = fence < state.highest_fence;
        state.highest_fence = state.highest_fence.max(fence);
        match self.fencing {
            Fencing::Checked => !is_old,
            Fencing::Ignored => true,
        }
    }

    fn apply(self: &Arc<Self>, action: &OrderAction) {
        let mut state = self.state();
        match action {
            OrderAction::Load { model } => {
                if state.wanted.insert(model.clone()) {
                    tokio::spawn(Arc::clone(self).load(model.clone()));
                }
            }
            OrderAction::Unload { model } => {
                state.wanted.remove(model);
                state.loaded.remove(model);
            }
        }
    }

    async fn load(self: Arc<Self>, model: ModelName) {
        self.weights.fetch(self.model_mb).await;
        let mut state = self.state();
        if state.wanted.contains(&model) {
            state.loaded.insert(model);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
