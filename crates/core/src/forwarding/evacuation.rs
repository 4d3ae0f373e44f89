//! Availability zones that the operator has taken out of service.
//!
//! The load that this answers: the operator evacuates a zone with a third of the backend
//! servers, and takes that back, while instances start, are cut off or lose the store.
//! Each instance learns what the operator said last from the store or from another
//! instance, and never goes back behind it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{Cursor, Position};
use crate::ids::ZoneName;

/// Most zones that are remembered, so that other writers of the store can't fill the
/// memory of an instance.
pub const MAX_ZONES: usize = 256;

/// Time for which an evacuation goes on that a store lacks since it came back from a copy,
/// in ms: the operator writes again what it had written, a few seconds later.
pub const MISSING_GRACE_MS: u64 = 10_000;
/// Time after which one is in force again that had ended and that such a store has, in ms:
/// less than platforms allow for an evacuation, since the operator may have ordered it anew.
pub const REINSTATE_DELAY_MS: u64 = 3_000;

/// What the operator said last of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Order {
    is_evacuated: bool,
    /// Position of the record that says so.
    position: Position,
    /// Whether that record was read in its turn, and not in a listing of the newest ones.
    is_in_turn: bool,
    /// Time in ms at which the contrary holds, which a store that came back from a copy
    /// says, unless the operator writes again what it had said.
    changes_at_ms: Option<u64>,
}

/// What the operator said last of one zone, as instances tell it each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOrder {
    /// The zone.
    pub zone: ZoneName,
    /// Whether it is evacuated.
    pub is_evacuated: bool,
    /// Position of the record that says so.
    pub position: Position,
    /// Whether that record was read in its turn, and not in a listing of the newest ones.
    pub is_in_turn: bool,
    /// Time after which the contrary holds unless the operator writes it again, in ms.
    pub left_ms: Option<u64>,
}

/// What an instance knows of evacuations, as it tells others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationState {
    /// How far it knows the operator's records.
    pub cursor: Cursor,
    /// The zones that were ever evacuated.
    pub zones: Vec<ZoneOrder>,
}

/// What the operator said last of each zone that was ever evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Evacuations {
    zones: BTreeMap<ZoneName, Order>,
    cursor: Cursor,
}

impl Evacuations {
    /// Returns how far the operator's records are known.
    pub fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// Returns the zones that are evacuated.
    pub fn zones(&self) -> BTreeSet<ZoneName> {
        let evacuated = self.zones.iter().filter(|(_, order)| order.is_evacuated);
        evacuated.map(|(zone, _)| zone.clone()).collect()
    }

    /// Applies the record at `position` that evacuates a zone or takes that back.
    pub fn apply(&mut self, zone: ZoneName, is_evacuated: bool, position: Position) {
        self.put_later(zone, is_evacuated, position, true);
    }

    /// Notes that the operator's records are known up to `cursor`.
    pub fn advance_cursor(&mut self, cursor: Cursor) {
        self.cursor = self.cursor.max(cursor);
    }

    /// Takes over the zones that the store lists as evacuated, after which the operator's
    /// records are known up to `cursor`.
    ///
    /// A store that has come back from a copy does not undo what is known at once, since
    /// the operator writes again what it had said: an evacuation that the copy lacks goes on
    /// for [`MISSING_GRACE_MS`], and one that has ended is in force again only if the store
    /// has it for [`REINSTATE_DELAY_MS`].
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
            let is_held = is_from_copy || order.changes_at_ms.is_some();
            let goes_on = order.is_evacuated && is_held;
            if !is_listed && !goes_on {
                order.is_evacuated = false;
                order.changes_at_ms = None;
            }
        }
        for (zone, position) in listed {
            let known = self.zones.get(&zone);
            let is_ended = known.is_none_or(|known| !known.is_evacuated);
            let is_pending = is_ended && known.is_some_and(|known| known.changes_at_ms.is_some());
            // It was known up to there that the zone is in service.
            if is_from_copy && is_ended && position.offset < self.cursor.offset {
                let order = Order {
                    is_evacuated: false,
                    position,
                    is_in_turn: false,
                    changes_at_ms: Some(now_ms + REINSTATE_DELAY_MS),
                };
                self.put(zone, order);
            } else if !is_pending {
                self.put_later(zone, true, position, false);
            }
        }
        self.advance_cursor(cursor);
    }

    /// Takes over what a store that came back from a copy says, where the operator has not
    /// written anything else in time.
    pub fn apply_due_changes(&mut self, now_ms: u64) {
        for order in self.zones.values_mut() {
            if order.changes_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                order.is_evacuated = !order.is_evacuated;
                order.changes_at_ms = None;
            }
        }
    }

    /// Returns what this instance tells others.
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

    /// Takes over what another instance knows, if that is more. One that has only read a
    /// copy of the store says no more than the copy does.
    pub fn update(&mut self, now_ms: u64, other: EvacuationState) {
        if other.cursor <= self.cursor {
            return;
        }
        if other.cursor.is_less_complete_copy_than(self.cursor) {
            return self.apply_told_copy(now_ms, other);
        }
        let zones = other.zones.into_iter().take(MAX_ZONES).map(|told| {
            let order = Order {
                is_evacuated: told.is_evacuated,
                position: told.position,
                is_in_turn: told.is_in_turn,
                changes_at_ms: told.left_ms.map(|left_ms| now_ms + left_ms),
            };
            (told.zone, order)
        });
        let mut zones: BTreeMap<ZoneName, Order> = zones.collect();
        // Records that this instance has read may be later than what the other one knows, or
        // say the contrary of what that holds on to.
        let told_to = other.cursor.position();
        for (zone, own) in std::mem::take(&mut self.zones) {
            let told = zones.get(&zone);
            let is_contrary = told.is_some_and(|told| {
                let is_held = told.changes_at_ms.is_some();
                let is_of_era = own.is_in_turn && own.position.era == told_to.era;
                is_held && is_of_era && told.is_evacuated != own.is_evacuated
            });
            let is_beyond = told.is_none_or(|told| own.position > told.position);
            let is_later = own.position >= told_to && is_beyond && own.changes_at_ms.is_none();
            let is_known_better = told.is_some_and(|told| {
                let says_the_same = (told.is_evacuated, told.changes_at_ms)
                    == (own.is_evacuated, own.changes_at_ms);
                let told = (told.position, told.is_in_turn);
                says_the_same && (own.position, own.is_in_turn) > told
            });
            if is_later || is_contrary || is_known_better {
                zones.insert(zone, own);
            }
        }
        self.zones = zones;
        self.cursor = other.cursor;
    }

    /// Takes over what another instance, which remembers less, says of a copy that this one
    /// has not read: the copy lists zones that are evacuated there, and those that had ended
    /// and are to be in force again.
    fn apply_told_copy(&mut self, now_ms: u64, other: EvacuationState) {
        let cursor = other.cursor.continued_from(self.cursor);
        let is_listed = |told: &ZoneOrder| told.is_evacuated == told.left_ms.is_none();
        let listed = other.zones.into_iter().filter(is_listed);
        let listed = listed.map(|told| {
            let era = cursor.era;
            // Any record of the copy may say so.
            (told.zone, Position { era, offset: 0 })
        });
        self.apply_listing(now_ms, listed, cursor);
    }

    /// Notes what a record says, if it is later than the one that is known.
    fn put_later(
        &mut self,
        zone: ZoneName,
        is_evacuated: bool,
        position: Position,
        is_in_turn: bool,
    ) {
        let known = self.zones.get(&zone);
        let is_later = known.is_none_or(|known| {
            // The same record, read in its turn, says more than in a listing.
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
