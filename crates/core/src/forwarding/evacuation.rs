//! Tracks the availability zones that the operator has taken out of service.
//!
//! The operator may evacuate a zone with a third of the backend servers, and take that back,
//! while instances start, are partitioned or lose the store. Each instance learns the
//! operator's last order from the store or from another instance, and never returns to an
//! earlier one.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{Cursor, Position};
use crate::ids::ZoneName;

/// Most tracked zones, so that other writers of the store can't exhaust the memory of an
/// instance.
pub const MAX_ZONES: usize = 256;

/// Time for which an evacuation stays in force that is missing from a store restored from a
/// copy, in ms: the operator rewrites its orders within a few seconds.
pub const MISSING_GRACE_MS: u64 = 10_000;
/// Time after which an ended evacuation that such a store still lists is in force again, in ms.
/// It is shorter than the time that platforms allow for an evacuation, since the operator may
/// have ordered it again.
pub const REINSTATE_DELAY_MS: u64 = 3_000;

/// Last order of the operator for one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Order {
    is_evacuated: bool,
    /// Position of the record of the order.
    position: Position,
    /// Whether the record was read in sequence, and not in a listing of the latest records.
    is_in_turn: bool,
    /// Time at which the opposite order of a store that was restored from a copy takes effect,
    /// in ms, unless the operator rewrites its own before.
    changes_at_ms: Option<u64>,
}

/// Last order of the operator for one zone, as exchanged between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOrder {
    /// The zone.
    pub zone: ZoneName,
    /// Whether it is evacuated.
    pub is_evacuated: bool,
    /// Position of the record of the order.
    pub position: Position,
    /// Whether the record was read in sequence, and not in a listing of the latest records.
    pub is_in_turn: bool,
    /// Time until the opposite takes effect unless the operator rewrites the order, in ms.
    pub left_ms: Option<u64>,
}

/// Evacuation state of an instance, as sent to others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationState {
    /// Cursor up to which it knows the operator's records.
    pub cursor: Cursor,
    /// All zones that were ever evacuated.
    pub zones: Vec<ZoneOrder>,
}

/// The operator's last order for each zone that was ever evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Evacuations {
    zones: BTreeMap<ZoneName, Order>,
    cursor: Cursor,
}

impl Evacuations {
    /// Returns the cursor up to which the operator's records are known.
    pub fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> BTreeSet<ZoneName> {
        let evacuated = self.zones.iter().filter(|(_, order)| order.is_evacuated);
        evacuated.map(|(zone, _)| zone.clone()).collect()
    }

    /// Applies the record at `position`, which begins or ends the evacuation of a zone.
    pub fn apply(&mut self, zone: ZoneName, is_evacuated: bool, position: Position) {
        self.put_if_later(zone, is_evacuated, position, true);
    }

    /// Records that the operator's records are known up to `cursor`.
    pub fn advance_cursor(&mut self, cursor: Cursor) {
        self.cursor = self.cursor.max(cursor);
    }

    /// Applies the store's list of evacuated zones, after which the operator's records are known
    /// up to `cursor`.
    ///
    /// The list of a store that was restored from a copy does not override known orders at once,
    /// since the operator rewrites them: an evacuation that the copy lacks stays in force for
    /// [`MISSING_GRACE_MS`], and an ended one is in force again only after the store has listed
    /// it for [`REINSTATE_DELAY_MS`].
    pub fn apply_listing(
        &mut self,
        now_ms: u64,
        listed: impl IntoIterator<Item = (ZoneName, Position)>,
        cursor: Cursor,
    ) {
        if cursor < self.cursor {
            return;
        }
        let is_from_copy = !self.cursor.is_start() && cursor.era > self.cursor.era;
        let listed: BTreeMap<ZoneName, Position> = listed.into_iter().collect();
        for (zone, order) in &mut self.zones {
            let is_listed = listed.contains_key(zone);
            if is_from_copy && order.is_evacuated && !is_listed {
                let at_ms = now_ms + MISSING_GRACE_MS;
                order.changes_at_ms.get_or_insert(at_ms);
            }
            let has_grace = is_from_copy || order.changes_at_ms.is_some();
            let stays_evacuated = order.is_evacuated && has_grace;
            if !is_listed && !stays_evacuated {
                order.is_evacuated = false;
                order.changes_at_ms = None;
            }
        }
        for (zone, position) in listed {
            let known = self.zones.get(&zone);
            let is_ended = known.is_none_or(|known| !known.is_evacuated);
            let is_pending = is_ended && known.is_some_and(|known| known.changes_at_ms.is_some());
            // The zone is known to be in service at a later offset.
            if is_from_copy && is_ended && position.offset < self.cursor.offset {
                let order = Order {
                    is_evacuated: false,
                    position,
                    is_in_turn: false,
                    changes_at_ms: Some(now_ms + REINSTATE_DELAY_MS),
                };
                self.put(zone, order);
            } else if !is_pending {
                self.put_if_later(zone, true, position, false);
            }
        }
        self.advance_cursor(cursor);
    }

    /// Applies the pending orders of a store that was restored from a copy, where the operator
    /// has not rewritten its own in time.
    pub fn apply_due_changes(&mut self, now_ms: u64) {
        for order in self.zones.values_mut() {
            if order.changes_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                order.is_evacuated = !order.is_evacuated;
                order.changes_at_ms = None;
            }
        }
    }

    /// Returns the state to send to other instances.
    pub fn state(&self, now_ms: u64) -> EvacuationState {
        let zones = self.zones.iter().map(|(zone, order)| ZoneOrder {
            zone: zone.clone(),
            is_evacuated: order.is_evacuated,
            position: order.position,
            is_in_turn: order.is_in_turn,
            left_ms: order
                .changes_at_ms
                .map(|at_ms| at_ms.saturating_sub(now_ms)),
        });
        EvacuationState {
            cursor: self.cursor,
            zones: zones.collect(),
        }
    }

    /// Merges the state of another instance if it knows more. An instance that has only read a
    /// copy of the store knows no more than the copy itself.
    pub fn update(&mut self, now_ms: u64, other: EvacuationState) {
        if other.cursor <= self.cursor {
            return;
        }
        if other.cursor.is_less_complete_copy_than(self.cursor) {
            return self.apply_remote_copy(now_ms, other);
        }
        let zones = other.zones.into_iter().take(MAX_ZONES).map(|remote| {
            let order = Order {
                is_evacuated: remote.is_evacuated,
                position: remote.position,
                is_in_turn: remote.is_in_turn,
                changes_at_ms: remote.left_ms.map(|left_ms| now_ms + left_ms),
            };
            (remote.zone, order)
        });
        let mut zones: BTreeMap<ZoneName, Order> = zones.collect();
        // Records that this instance has read may be later than those known to the other one, or
        // contradict an order that the other one only retains during its grace period.
        let remote_position = other.cursor.position();
        for (zone, own) in std::mem::take(&mut self.zones) {
            let remote = zones.get(&zone);
            let is_contradicted = remote.is_some_and(|remote| {
                let is_pending = remote.changes_at_ms.is_some();
                let is_of_same_era = own.is_in_turn && own.position.era == remote_position.era;
                is_pending && is_of_same_era && remote.is_evacuated != own.is_evacuated
            });
            let is_beyond = remote.is_none_or(|remote| own.position > remote.position);
            let is_later =
                own.position >= remote_position && is_beyond && own.changes_at_ms.is_none();
            let is_better_known = remote.is_some_and(|remote| {
                let is_same_order = (remote.is_evacuated, remote.changes_at_ms)
                    == (own.is_evacuated, own.changes_at_ms);
                let remote = (remote.position, remote.is_in_turn);
                is_same_order && (own.position, own.is_in_turn) > remote
            });
            if is_later || is_contradicted || is_better_known {
                zones.insert(zone, own);
            }
        }
        self.zones = zones;
        self.cursor = other.cursor;
    }

    /// Applies a copy of the store that this instance has not read, as reported by an instance
    /// that knows less: the copy lists the zones that are evacuated there, and those whose ended
    /// evacuations are to be in force again.
    fn apply_remote_copy(&mut self, now_ms: u64, other: EvacuationState) {
        let cursor = other.cursor.continued_from(self.cursor);
        let is_listed = |remote: &ZoneOrder| remote.is_evacuated == remote.left_ms.is_none();
        let listed = other.zones.into_iter().filter(is_listed);
        let listed = listed.map(|remote| {
            let era = cursor.era;
            // The position of the record in the copy is unknown.
            (remote.zone, Position { era, offset: 0 })
        });
        self.apply_listing(now_ms, listed, cursor);
    }

    /// Applies a record if it is later than the known one.
    fn put_if_later(
        &mut self,
        zone: ZoneName,
        is_evacuated: bool,
        position: Position,
        is_in_turn: bool,
    ) {
        let known = self.zones.get(&zone);
        let is_later = known.is_none_or(|known| {
            // The same record read in sequence takes precedence over one from a listing.
            (known.position, known.is_in_turn) < (position, is_in_turn)
        });
        if is_later {
            let order = Order {
                is_evacuated,
                position,
                is_in_turn,
                changes_at_ms: None,
            };
            self.put(zone, order);
        }
    }

    fn put(&mut self, zone: ZoneName, order: Order) {
        if self.zones.len() < MAX_ZONES || self.zones.contains_key(&zone) {
            self.zones.insert(zone, order);
        }
    }
}
