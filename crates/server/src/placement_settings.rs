//! Settings of placement and of the placer's election.

use savoryvane_check::Fields;
use savoryvane_core::{placement::PlacementSettings, placer::PlacerSettings};

/// Settings of model placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Interval at which the placer renews its term on the log, in ms.
    pub renewal_ms: u64,
    /// Maximum duration of an order, in ms.
    pub order_timeout_ms: u64,
    /// Throughput of the weight store, in MB/s.
    pub store_mb_per_s: u64,
    /// Maximum number of concurrent loads in all zones together.
    pub loads_at_once: u64,
    /// Maximum number of models loaded on one engine.
    pub models_per_engine: u64,
}

impl Placement {
    /// Returns the settings of the election.
    pub(crate) fn election(&self) -> PlacerSettings {
        PlacerSettings {
            renewal_ms: self.renewal_ms,
            order_timeout_ms: self.order_timeout_ms,
        }
    }

    /// Returns the settings of placement decisions.
    pub(crate) fn policy(&self) -> PlacementSettings {
        let count = |number| usize::try_from(number).unwrap_or(usize::MAX);
        PlacementSettings {
            store_mb_per_s: self.store_mb_per_s,
            loads_at_once: count(self.loads_at_once),
            models_per_engine: count(self.models_per_engine),
            ..PlacementSettings::default()
        }
    }
}

/// Reads the section `placement`.
pub(crate) fn read(fields: &mut Fields<'_>) -> Option<Placement> {
    let election = PlacerSettings::default();
    let policy = PlacementSettings::default();
    Some(Placement {
        renewal_ms: fields.number("renewal_ms", 100..=600_000, election.renewal_ms),
        order_timeout_ms: fields.number("order_timeout_ms", 50..=60_000, election.order_timeout_ms),
        store_mb_per_s: fields.number("store_mb_per_s", 1..=1_000_000, policy.store_mb_per_s),
        loads_at_once: fields.number("loads_at_once", 1..=1_000, policy.loads_at_once as u64),
        models_per_engine: fields.number(
            "models_per_engine",
            1..=100,
            policy.models_per_engine as u64,
        ),
    })
}
