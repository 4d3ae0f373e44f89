//! Determines the number of replicas of each model that a site needs, with
//! hysteresis.

use std::collections::BTreeMap;

use crate::{
    ids::{ModelName, ZoneName},
    objects::Model,
    placement::{
        PlacementReason, PlacementSettings,
        demand::Demand,
        engine::{Engine, held},
        layout::{Layout, Site},
    },
};

/// The need of a site for replicas of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Need {
    pub(crate) model: ModelName,
    /// Minimum replicas, regardless of demand.
    pub(crate) floor: u32,
    /// Replicas held or being loaded.
    pub(crate) held: u32,
    /// Replicas wanted.
    pub(crate) wanted: u32,
    /// Replicas that demand has not needed for the hold time.
    pub(crate) spare: u32,
    pub(crate) demand_milli_slots: u64,
    pub(crate) cost_ms: u64,
}

impl Need {
    /// Creates the need of a step that does not depend on replica counts.
    pub(crate) fn none(model: &ModelName) -> Self {
        Self {
            model: model.clone(),
            floor: 0,
            held: 0,
            wanted: 0,
            spare: 0,
            demand_milli_slots: 0,
            cost_ms: 0,
        }
    }

    /// Returns the reason why more replicas are wanted.
    pub(crate) fn reason(&self) -> PlacementReason {
        if self.held < self.floor {
            PlacementReason::TooFew
        } else {
            PlacementReason::Demand
        }
    }
}

/// A period during which demand has been on one side of a threshold with a
/// constant number of replicas.
#[derive(Clone, Copy, Debug)]
struct Period {
    start_ms: u64,
    held: u32,
}

type Periods = BTreeMap<(ZoneName, ModelName), Period>;

/// Tracks since when demand has been high or low.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandPeriods {
    high: Periods,
    low: Periods,
}

/// The demand for a model and the capacity that it is compared with.
struct Usage {
    demand: f64,
    /// Slots of the replicas, minus the share used by other models.
    capacity: f64,
    /// Mean slots of the engines of the site.
    mean_engine_slots: f64,
}

impl DemandPeriods {
    /// Returns the need for each model of a site.
    pub(crate) fn needs(
        &mut self,
        now_ms: u64,
        site: &Site,
        engines: &[Engine],
        layout: &Layout<'_>,
        demand: &Demand,
        settings: &PlacementSettings,
    ) -> Vec<Need> {
        let models = layout.models_of(&site.pool);
        models
            .map(|model| {
                let usage = usage(site, model, engines, demand);
                let mut need = floor_need(model, engines, layout, settings);
                need.demand_milli_slots = (usage.demand * 1_000.0) as u64;
                self.apply_demand(now_ms, site, model, &usage, &mut need, settings);
                need.wanted = need.wanted.min(engines.len() as u32);
                need
            })
            .collect()
    }

    fn apply_demand(
        &mut self,
        now_ms: u64,
        site: &Site,
        model: &Model,
        usage: &Usage,
        need: &mut Need,
        settings: &PlacementSettings,
    ) {
        if need.held < need.floor {
            return;
        }
        let key = (site.zone.clone(), model.name.clone());
        let is_high = usage.exceeds(0.0, settings.up_per_mille);
        let is_low = need.held > need.floor
            && !usage.exceeds(usage.mean_engine_slots, settings.down_per_mille);
        let high_ms = period_ms(&mut self.high, now_ms, &key, need.held, is_high);
        let low_ms = period_ms(&mut self.low, now_ms, &key, need.held, is_low);
        if high_ms.is_some_and(|ms| ms >= settings.up_after_ms(model.size_mb)) {
            need.wanted = need.held + 1;
        }
        if low_ms.is_some_and(|ms| ms >= settings.down_after_ms(model.size_mb)) {
            need.spare = 1;
        }
    }
}

impl Usage {
    /// Returns whether demand exceeds a share of the capacity minus
    /// `excluded_slots`.
    fn exceeds(&self, excluded_slots: f64, per_mille: u32) -> bool {
        let slots = (self.capacity - excluded_slots).max(0.0);
        self.demand * 1_000.0 > slots * f64::from(per_mille)
    }
}

/// Returns the need for a model by configuration alone.
pub(crate) fn floor_need(
    model: &Model,
    engines: &[Engine],
    layout: &Layout<'_>,
    settings: &PlacementSettings,
) -> Need {
    let floor = layout.floor(model, engines.len());
    let held = held(engines, &model.name);
    Need {
        model: model.name.clone(),
        floor,
        held,
        wanted: floor.max(held),
        spare: 0,
        demand_milli_slots: 0,
        cost_ms: settings.load_ms(model.size_mb),
    }
}

fn usage(site: &Site, model: &Model, engines: &[Engine], demand: &Demand) -> Usage {
    let free_slots = |engine: &Engine| {
        let own = demand.share(engine, &model.name);
        let others = f64::from(engine.load) * (1.0 - own);
        (f64::from(engine.slots) - others).max(0.0)
    };
    let holders = engines.iter().filter(|x| x.holds_or_loads(&model.name));
    let slots: f64 = engines.iter().map(|engine| f64::from(engine.slots)).sum();
    Usage {
        demand: demand.slots(&site.zone, &model.name),
        capacity: holders.map(free_slots).sum(),
        mean_engine_slots: slots / engines.len().max(1) as f64,
    }
}

/// Returns for how long a condition has held with the same number of replicas,
/// in ms.
fn period_ms(
    periods: &mut Periods,
    now_ms: u64,
    key: &(ZoneName, ModelName),
    held: u32,
    is_met: bool,
) -> Option<u64> {
    if !is_met {
        periods.remove(key);
        return None;
    }
    let start = Period {
        start_ms: now_ms,
        held,
    };
    let period = periods.entry(key.clone()).or_insert(start);
    if period.held != held {
        *period = start;
    }
    Some(now_ms.saturating_sub(period.start_ms))
}
