//! Previews the moves that a change of configuration would cause.

use std::collections::BTreeSet;

use crate::{
    ids::{BackendName, ModelName, PoolName, ZoneName},
    placement::{
        EngineReport, MoveKind, PlacementSettings,
        assign::Assignment,
        engine::Engine,
        layout::{Layout, Site},
        replicas::floor_need,
    },
};

/// Maximum rounds of moves that are simulated.
const MAX_ROUNDS: usize = 256;

/// A move that a change of configuration would cause.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlannedMove {
    /// Availability zone.
    pub zone: ZoneName,
    /// Pool.
    pub pool: PoolName,
    /// Kind of the move.
    pub kind: MoveKind,
    /// Model to move.
    pub model: ModelName,
    /// Engine; `None` if no engine can take the replica.
    pub backend: Option<BackendName>,
    /// Time for which the move occupies the weight store, in ms.
    pub cost_ms: u64,
}

impl std::fmt::Display for PlannedMove {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (zone, pool, model) = (&self.zone, &self.pool, &self.model);
        match (&self.backend, self.kind) {
            (Some(backend), MoveKind::Load) => write!(
                f,
                "load {model} on {backend} in {zone}, {} ms of the weight store",
                self.cost_ms
            ),
            (Some(backend), kind) => {
                write!(f, "{} {model} from {backend} in {zone}", kind.as_str())
            }
            (None, _) => write!(f, "no engine of pool {pool} in {zone} can take {model}"),
        }
    }
}

/// Returns the moves caused by changing the configuration to `after`, without
/// those that are due anyway. Engines without a report count as empty. Moves
/// due to later demand cannot be predicted and are not included.
pub fn preview(
    before: &Layout<'_>,
    after: &Layout<'_>,
    reports: &[EngineReport],
    settings: &PlacementSettings,
) -> Vec<PlannedMove> {
    let already_due: BTreeSet<_> = moves(before, before, reports, settings)
        .into_iter()
        .collect();
    let mut moves = moves(before, after, reports, settings);
    moves.retain(|planned| !already_due.contains(planned));
    moves
}

fn moves(
    before: &Layout<'_>,
    after: &Layout<'_>,
    reports: &[EngineReport],
    settings: &PlacementSettings,
) -> Vec<PlannedMove> {
    let mut moves = Vec::new();
    for site in after.sites() {
        let mut engines = engines(&site, after, reports);
        moves.extend(removals(&site, before, after, &engines));
        simulate_moves(&site, after, &mut engines, settings, &mut moves);
    }
    moves
}

fn engines(site: &Site, layout: &Layout<'_>, reports: &[EngineReport]) -> Vec<Engine> {
    let backends = layout
        .backends()
        .filter(|x| x.zone == site.zone && x.pool == site.pool);
    backends
        .map(|backend| {
            let mut engine = Engine::empty(backend);
            if let Some(report) = reports.iter().find(|x| x.backend == backend.name) {
                engine.load = report.load;
                engine.models = report.models.iter().cloned().collect();
            }
            engine
        })
        .collect()
}

fn removals(
    site: &Site,
    before: &Layout<'_>,
    after: &Layout<'_>,
    engines: &[Engine],
) -> Vec<PlannedMove> {
    let is_removed = |model: &&ModelName| {
        before.has_model(&site.pool, model) && !after.has_model(&site.pool, model)
    };
    let pairs = engines.iter().flat_map(|engine| {
        let models = engine.models.iter().filter(is_removed);
        models.map(|model| (engine.backend.clone(), model.clone()))
    });
    pairs
        .map(|(backend, model)| PlannedMove {
            zone: site.zone.clone(),
            pool: site.pool.clone(),
            kind: MoveKind::Unload,
            model,
            backend: Some(backend),
            cost_ms: 0,
        })
        .collect()
}

/// Simulates the moves of a site until no more are due.
fn simulate_moves(
    site: &Site,
    layout: &Layout<'_>,
    engines: &mut [Engine],
    settings: &PlacementSettings,
    moves: &mut Vec<PlannedMove>,
) {
    for _ in 0..MAX_ROUNDS {
        let models = layout.models_of(&site.pool);
        let needs: Vec<_> = models
            .map(|model| floor_need(model, engines, layout, settings))
            .collect();
        let steps = Assignment::new(engines, &needs, layout, settings).steps();
        let (placed, unplaced): (Vec<_>, Vec<_>) = steps
            .into_iter()
            .partition(|step| step.kind != MoveKind::Unplaced);
        let is_last = placed.is_empty();
        for step in if is_last { unplaced } else { placed } {
            let engine = engines
                .iter_mut()
                .find(|engine| Some(&engine.backend) == step.backend.as_ref());
            if let Some(engine) = engine {
                apply(engine, step.kind, &step.model);
            }
            moves.push(PlannedMove {
                zone: site.zone.clone(),
                pool: site.pool.clone(),
                kind: step.kind,
                cost_ms: match step.kind {
                    MoveKind::Load => step.need.cost_ms,
                    MoveKind::Unload | MoveKind::Fence | MoveKind::Unplaced => 0,
                },
                model: step.model,
                backend: step.backend,
            });
        }
        if is_last {
            return;
        }
    }
}

fn apply(engine: &mut Engine, kind: MoveKind, model: &ModelName) {
    match kind {
        MoveKind::Load => {
            engine.models.insert(model.clone());
        }
        MoveKind::Unload => {
            engine.models.remove(model);
        }
        MoveKind::Fence | MoveKind::Unplaced => {}
    }
}
