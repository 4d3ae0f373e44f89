//! Estimates the number of slots that each model keeps busy, smoothed.
//!
//! Engines report their load, but not for which model. The load of an engine
//! with several models is divided by the mix of the calls that this instance
//! sends, which is a sample of the traffic.

use std::collections::BTreeMap;

use crate::{
    ids::{ModelName, ZoneName},
    placement::engine::Engine,
};

/// The demand of each model in each availability zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    /// Decaying count of calls sent, by model.
    mix: BTreeMap<ModelName, f64>,
    slots: BTreeMap<(ZoneName, ModelName), f64>,
    updated_at_ms: Option<u64>,
}

impl Demand {
    pub(crate) fn record_calls(&mut self, model: &ModelName, calls: u64) {
        *self.mix.entry(model.clone()).or_insert(0.0) += calls as f64;
    }

    /// Returns the slots that a model keeps busy in a zone.
    pub(crate) fn slots(&self, zone: &ZoneName, model: &ModelName) -> f64 {
        let key = (zone.clone(), model.clone());
        self.slots.get(&key).copied().unwrap_or(0.0)
    }

    /// Returns the fraction of an engine's load that is due to `model`.
    pub(crate) fn share(&self, engine: &Engine, model: &ModelName) -> f64 {
        if !engine.models.contains(model) {
            return 0.0;
        }
        let calls = |name: &ModelName| self.mix.get(name).copied().unwrap_or(0.0);
        let all: f64 = engine.models.iter().map(calls).sum();
        if all > 0.0 {
            calls(model) / all
        } else {
            1.0 / engine.models.len() as f64
        }
    }

    /// Updates the demand from the current reports of the engines of each zone.
    pub(crate) fn update<'a>(
        &mut self,
        now_ms: u64,
        smoothing_ms: u64,
        engines: impl Iterator<Item = (&'a ZoneName, &'a Engine)>,
    ) {
        let mut measured: BTreeMap<(ZoneName, ModelName), f64> = BTreeMap::new();
        for (zone, engine) in engines {
            for model in &engine.models {
                let slots = f64::from(engine.load) * self.share(engine, model);
                let key = (zone.clone(), model.clone());
                *measured.entry(key).or_insert(0.0) += slots;
            }
        }
        let weight = self.weight(now_ms, smoothing_ms);
        for (key, slots) in &mut self.slots {
            let now = measured.remove(key).unwrap_or(0.0);
            *slots += weight * (now - *slots);
        }
        for (key, slots) in measured {
            self.slots.insert(key, weight * slots);
        }
        for calls in self.mix.values_mut() {
            *calls *= 1.0 - weight.min(0.5);
        }
        self.updated_at_ms = Some(now_ms);
    }

    /// Returns the weight of the current measurement against all earlier ones.
    fn weight(&self, now_ms: u64, smoothing_ms: u64) -> f64 {
        match self.updated_at_ms {
            None => 1.0,
            Some(at_ms) => {
                let age_ms = now_ms.saturating_sub(at_ms) as f64;
                1.0 - (-age_ms / smoothing_ms.max(1) as f64).exp()
            }
        }
    }
}
