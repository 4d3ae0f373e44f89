//! Settings of placement and of the placer's election.

use savoryvane_check::Fields;
use savoryvane_core::{placement::PlacementSettings, placer::PlacerSettings};

/// How models are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Time between two renewals of the placer on the log, in ms.
    pub renewal_ms: u64,
    /// Longest time that an order takes, in ms.
    pub order_timeout_ms: u64,
    /// Rate of the weight store, in MB a second.
    pub store_mb_per_s: u64,
    /// Loads that may be under way at the same time, over all zones.
    pub loads_at_once: u64,
    /// Models that one engine holds at most.
    pub models_per_engine: u64,
}

impl Placement {
    /// Returns the times of the election.
    pub(crate) fn election(&self) -> PlacerSettings {
        PlacerSettings {
            renewal_ms: self.renewal_ms,
            order_timeout_ms: self.order_timeout_ms,
        }
    }

    /// Returns the settings of the decisions.
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
