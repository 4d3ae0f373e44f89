//! How many replicas of each model a site needs, with hysteresis.

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

/// Replicas of a model that a site needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Need {
    pub(crate) model: ModelName,
    /// Fewest replicas, whatever the demand.
    pub(crate) floor: u32,
    /// Replicas held or being loaded.
    pub(crate) held: u32,
    /// Replicas wanted.
    pub(crate) wanted: u32,
    /// Replicas that demand has not needed for long.
    pub(crate) spare: u32,
    pub(crate) demand_milli_slots: u64,
    pub(crate) cost_ms: u64,
}

impl Need {
    /// Makes the need of a model that is not looked at.
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

    /// Returns why more replicas are wanted.
    pub(crate) fn reason(&self) -> PlacementReason {
        if self.held < self.floor {
            PlacementReason::TooFew
        } else {
            PlacementReason::Demand
        }
    }
}

/// Since when demand has been on one side of a threshold, with how many replicas.
#[derive(Clone, Copy, Debug)]
struct Since {
    at_ms: u64,
    held: u32,
}

type Spans = BTreeMap<(ZoneName, ModelName), Since>;

/// Remembers since when demand has been high or low.
#[derive(Clone, Debug, Default)]
pub(crate) struct Holds {
    high: Spans,
    low: Spans,
}

/// What demand is measured against.
struct Usage {
    demand: f64,
    /// Slots of the replicas, less what other models use of them.
    capacity: f64,
    /// Slots of an average engine of the site.
    engine: f64,
}

impl Holds {
    /// Returns what each model of a site needs.
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
                self.by_demand(now_ms, site, model, &usage, &mut need, settings);
                need.wanted = need.wanted.min(engines.len() as u32);
                need
            })
            .collect()
    }

    fn by_demand(
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
        let is_low =
            need.held > need.floor && !usage.exceeds(usage.engine, settings.down_per_mille);
        let high_ms = lasted(&mut self.high, now_ms, &key, need.held, is_high);
        let low_ms = lasted(&mut self.low, now_ms, &key, need.held, is_low);
        if high_ms.is_some_and(|ms| ms >= settings.up_after_ms(model.size_mb)) {
            need.wanted = need.held + 1;
        }
        if low_ms.is_some_and(|ms| ms >= settings.down_after_ms(model.size_mb)) {
            need.spare = 1;
        }
    }
}

impl Usage {
    /// Tells whether demand is over a share of the slots, less `without`.
    fn exceeds(&self, without: f64, per_mille: u32) -> bool {
        let slots = (self.capacity - without).max(0.0);
        self.demand * 1_000.0 > slots * f64::from(per_mille)
    }
}

/// Returns what a model needs by configuration alone.
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
    let room = |engine: &Engine| {
        let own = demand.share(engine, &model.name);
        let others = f64::from(engine.load) * (1.0 - own);
        (f64::from(engine.slots) - others).max(0.0)
    };
    let holders = engines.iter().filter(|x| x.holds_or_loads(&model.name));
    let slots: f64 = engines.iter().map(|engine| f64::from(engine.slots)).sum();
    Usage {
        demand: demand.slots(&site.zone, &model.name),
        capacity: holders.map(room).sum(),
        engine: slots / engines.len().max(1) as f64,
    }
}

/// Returns how long a condition has lasted with the same number of replicas.
fn lasted(
    spans: &mut Spans,
    now_ms: u64,
    key: &(ZoneName, ModelName),
    held: u32,
    is_so: bool,
) -> Option<u64> {
    if !is_so {
        spans.remove(key);
        return None;
    }
    let start = Since {
        at_ms: now_ms,
        held,
    };
    let since = spans.entry(key.clone()).or_insert(start);
    if since.held != held {
        *since = start;
    }
    Some(now_ms.saturating_sub(since.at_ms))
}
