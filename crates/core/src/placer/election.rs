//! Determines the holder of the placer's term from the records alone.

use crate::{
    ids::{Incarnation, InstanceName, Offset},
    placer::PlacerRecord,
};

/// The run that may give orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Offset of its claim: the fencing number.
    pub term: Offset,
    /// Instance that holds the term.
    pub instance: InstanceName,
    /// Its run.
    pub incarnation: Incarnation,
}

/// The effect of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordEffect {
    /// A valid claim: its writer holds the term from now on.
    Claim,
    /// A renewal by the holder.
    Renewal,
    /// A resignation of the holder.
    Resignation,
    /// No effect: the claim is not at its expected offset, or the term is not
    /// in force.
    NoEffect,
}

/// The state of the election after the records applied so far.
#[derive(Clone, Debug, Default)]
pub struct Election {
    holder: Option<Holder>,
    /// Highest term that has been in force.
    newest: Option<Offset>,
}

impl Election {
    /// Returns the holder.
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// Applies the record at `offset`. Records must be applied in order; the
    /// first may be any record of the stream.
    pub fn apply(&mut self, offset: Offset, record: &PlacerRecord) -> RecordEffect {
        match record {
            PlacerRecord::Claim {
                expected,
                instance,
                incarnation,
                ..
            } => {
                if offset != *expected {
                    return RecordEffect::NoEffect;
                }
                self.set_holder(offset, instance, *incarnation);
                RecordEffect::Claim
            }
            PlacerRecord::Renewal {
                term,
                instance,
                incarnation,
                ..
            } => {
                if self.newest.is_none_or(|newest| newest < *term) {
                    // The claim precedes the first record that was read.
                    self.set_holder(*term, instance, *incarnation);
                }
                self.effect_in_term(*term, RecordEffect::Renewal)
            }
            PlacerRecord::Resignation { term, .. } => {
                let effect = self.effect_in_term(*term, RecordEffect::Resignation);
                if effect == RecordEffect::Resignation {
                    self.vacate();
                }
                effect
            }
        }
    }

    /// Clears the holder; its term does not come into force again.
    pub(crate) fn vacate(&mut self) {
        self.holder = None;
    }

    fn effect_in_term(&self, term: Offset, effect: RecordEffect) -> RecordEffect {
        let is_in_force = self
            .holder
            .as_ref()
            .is_some_and(|holder| holder.term == term);
        if is_in_force {
            effect
        } else {
            RecordEffect::NoEffect
        }
    }

    fn set_holder(&mut self, term: Offset, instance: &InstanceName, incarnation: Incarnation) {
        self.newest = Some(term);
        self.holder = Some(Holder {
            term,
            instance: instance.clone(),
            incarnation,
        });
    }
}
