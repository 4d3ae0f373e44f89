//! Placement settings.

/// Parameters of the placement of models.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// Throughput of the weight store, in MB per second.
    pub store_mb_per_s: u64,
    /// Maximum concurrent loads over all zones.
    pub loads_at_once: usize,
    /// Maximum models on one engine.
    pub models_per_engine: usize,
    /// Busy share of a model's slots above which a replica is added, in
    /// thousandths.
    pub up_per_mille: u32,
    /// Busy share of the slots without one replica below which that replica is
    /// spare, in thousandths.
    pub down_per_mille: u32,
    /// Minimum time of high demand before a replica is added, in ms.
    pub hold_up_ms: u64,
    /// Minimum time of low demand before a replica is spare, in ms.
    pub hold_down_ms: u64,
    /// Time constant of the smoothing of demand, in ms.
    pub smoothing_ms: u64,
    /// Age beyond which a report no longer shows the state of an engine, in ms.
    pub report_max_age_ms: u64,
    /// Time without a report after which an engine counts as lost, in ms.
    pub lost_after_ms: u64,
    /// Time that a load may take beyond its share of the store throughput, in
    /// ms.
    pub load_grace_ms: u64,
    /// Time for which an engine that failed to load a model is not ordered to
    /// load it again, in ms.
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
    /// Returns how long the store takes for a model when nothing else is
    /// loaded, in ms: the cost of a move.
    pub fn load_ms(&self, size_mb: u64) -> u64 {
        size_mb.saturating_mul(1_000) / self.store_mb_per_s.max(1)
    }

    /// Returns how long high demand has to last, in ms: at least as long as the
    /// move takes.
    pub(crate) fn up_after_ms(&self, size_mb: u64) -> u64 {
        self.hold_up_ms.max(self.load_ms(size_mb))
    }

    /// Returns how long low demand has to last, in ms: at least as long as an
    /// unload and a reload would take.
    pub(crate) fn down_after_ms(&self, size_mb: u64) -> u64 {
        self.hold_down_ms.max(2 * self.load_ms(size_mb))
    }
}
