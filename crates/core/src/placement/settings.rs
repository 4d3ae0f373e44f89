//! Settings of placement.

/// Tunes when models are moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// Rate of the weight store, in MB a second.
    pub store_mb_per_s: u64,
    /// Loads that may be under way at the same time, over all zones.
    pub loads_at_once: usize,
    /// Models that one engine holds at most.
    pub models_per_engine: usize,
    /// Busy share of a model's slots above which it gets a replica, per mille.
    pub up_per_mille: u32,
    /// Busy share, without one of the replicas, below which that one is spare,
    /// per mille.
    pub down_per_mille: u32,
    /// Least time of high demand before a replica is added, in ms.
    pub hold_up_ms: u64,
    /// Least time of low demand before a replica is spare, in ms.
    pub hold_down_ms: u64,
    /// Time constant with which demand is smoothed, in ms.
    pub smoothing_ms: u64,
    /// Age from which a report no longer shows an engine's state, in ms.
    pub report_max_age_ms: u64,
    /// Time without a report after which an engine counts as lost, in ms.
    pub lost_after_ms: u64,
    /// Time that a load may take beyond its share of the store, in ms.
    pub load_grace_ms: u64,
    /// Time for which an engine that did not load a model is not asked to
    /// again while another can be, in ms.
    pub avoid_ms: u64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            store_mb_per_s: 1_000,
            loads_at_once: 2,
            models_per_engine: 2,
            up_per_mille: 750,
            down_per_mille: 400,
            hold_up_ms: 15_000,
            hold_down_ms: 120_000,
            smoothing_ms: 30_000,
            report_max_age_ms: 10_000,
            lost_after_ms: 15_000,
            load_grace_ms: 10_000,
            avoid_ms: 60_000,
        }
    }
}

impl PlacementSettings {
    /// Returns how long the store is busy with a model when nothing else is
    /// loaded, in ms: the cost of a move.
    pub fn load_ms(&self, size_mb: u64) -> u64 {
        size_mb.saturating_mul(1_000) / self.store_mb_per_s.max(1)
    }

    /// Returns how long high demand has to last, in ms: never less than the
    /// move costs.
    pub(crate) fn up_after_ms(&self, size_mb: u64) -> u64 {
        self.hold_up_ms.max(self.load_ms(size_mb))
    }

    /// Returns how long low demand has to last, in ms: never less than an
    /// unload and a load back would cost.
    pub(crate) fn down_after_ms(&self, size_mb: u64) -> u64 {
        self.hold_down_ms.max(2 * self.load_ms(size_mb))
    }
}
