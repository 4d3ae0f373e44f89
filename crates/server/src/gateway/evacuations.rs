//! The evacuations of availability zones, as far as an instance knows them.

use savoryvane_core::forwarding::{EvacuationState, Evacuations};
use savoryvane_platform::store;
use slog::info;

use super::{batch::Batch, routing_view::RoutingView};
use crate::lock::lock;

impl RoutingView {
    /// Applies a read of the operator's records to the evacuations.
    pub(super) fn apply_evacuations(&self, batch: &Batch) {
        let records = batch.records.iter().filter_map(|record| {
            let zone = store::evacuated_zone(&record.key)?;
            Some((zone, record.value.is_some(), batch.position(record)))
        });
        let now_ms = self.now_ms();
        self.change_evacuations("store", |evacuations| {
            let cursor = batch.cursor(evacuations.cursor());
            if batch.is_snapshot {
                let listed = records.filter(|(_, is_evacuated, _)| *is_evacuated);
                let listed = listed.map(|(zone, _, position)| (zone, position));
                evacuations.apply_listing(now_ms, listed, cursor);
            } else if batch.era == evacuations.cursor().era {
                for (zone, is_evacuated, position) in records {
                    evacuations.apply(zone, is_evacuated, position);
                }
                evacuations.advance_cursor(cursor);
            }
        });
    }

    /// Merges a peer's evacuations, if it knows more.
    pub(super) fn update_evacuations(&self, state: EvacuationState) {
        let now_ms = self.now_ms();
        self.change_evacuations("peer", |evacuations| evacuations.update(now_ms, state));
    }

    pub(super) fn change_evacuations(
        &self,
        source: &'static str,
        change: impl FnOnce(&mut Evacuations),
    ) {
        let (before, after, cursor) = {
            let mut evacuations = lock(&self.evacuations);
            let before = evacuations.zones();
            change(&mut evacuations);
            let after = evacuations.zones();
            if after != before {
                // Under the lock, so that the register gets the changes in order.
                self.directory().set_evacuated(after.clone());
            }
            (before, after, evacuations.cursor())
        };
        if before == after {
            return;
        }
        for zone in after.difference(&before) {
            info!(self.log, "availability zone evacuated"; "evacuated" => %zone,
                "position" => %cursor, "source" => source);
        }
        for zone in before.difference(&after) {
            info!(self.log, "availability zone no longer evacuated"; "returned" => %zone,
                "position" => %cursor, "source" => source);
        }
        metrics::counter!("savoryvane_evacuation_changes_total").increment(1);
        metrics::gauge!("savoryvane_evacuated_zones").set(after.len() as f64);
        self.configure_fleet();
        // Servers that received no requests meanwhile may have become cold.
        self.for_each_cold_start(|cold, now_ms, entry, cold_start| {
            if before.contains(&entry.zone) && !after.contains(&entry.zone) {
                let left_ms = cold_start.duration_ms;
                cold.on_cold(now_ms, &entry.id, left_ms, cold_start.requests_per_s);
            }
        });
    }
}
