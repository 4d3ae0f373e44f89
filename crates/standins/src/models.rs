//! Models of an engine, loaded from a rate-limited weight store on orders.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::Duration,
};

use savoryvane_core::{ids::ModelName, objects::Fencing};
use savoryvane_wire::backend::{Order, OrderAction, OrderReply};
use tokio::time::{self, Instant};

/// A store that hands out weights at a limited rate to all engines together.
#[derive(Debug)]
pub struct WeightStore {
    mb_per_s: u64,
    busy_until: Mutex<Option<Instant>>,
}

impl WeightStore {
    /// Makes a store that hands out `mb_per_s` in all; 0 lifts the limit.
    pub fn new(mb_per_s: u64) -> Self {
        Self {
            mb_per_s,
            busy_until: Mutex::new(None),
        }
    }

    /// Waits until weights of `size_mb` have been handed out, first come first
    /// served.
    pub(crate) async fn fetch(&self, size_mb: u64) {
        if self.mb_per_s == 0 {
            return;
        }
        let takes = Duration::from_millis(size_mb * 1000 / self.mb_per_s);
        let ready = {
            let now = Instant::now();
            let mut busy_until = self
                .busy_until
                .lock()
                .expect("no holder of the lock panics");
            let ready = busy_until.map_or(now, |until| until.max(now)) + takes;
            *busy_until = Some(ready);
            ready
        };
        time::sleep_until(ready).await;
    }
}

/// Models of one engine and the highest fencing number that it has seen.
#[derive(Debug)]
pub(crate) struct Models {
    fencing: Fencing,
    model_mb: u64,
    store: Arc<WeightStore>,
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
        store: Arc<WeightStore>,
        loaded: &[ModelName],
    ) -> Self {
        let loaded: BTreeSet<_> = loaded.iter().cloned().collect();
        Self {
            fencing,
            model_mb,
            store,
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
        self.store.fetch(self.model_mb).await;
        let mut state = self.state();
        if state.wanted.contains(&model) {
            state.loaded.insert(model);
        }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
