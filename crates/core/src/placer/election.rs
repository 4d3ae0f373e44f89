//! Who holds the placer's term, from the records alone.

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

/// What a record turned out to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// A valid claim: its writer holds the term from now on.
    Claim,
    /// A sign of life of the holder.
    Renewal,
    /// The holder has left.
    Resignation,
    /// Nothing: the claim came too late or the term is not in force.
    Void,
}

/// State of the election after the records taken so far.
#[derive(Clone, Debug, Default)]
pub struct Election {
    holder: Option<Holder>,
    /// Highest term that was in force.
    newest: Option<Offset>,
}

impl Election {
    /// Returns the holder.
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// Takes the record at `offset`; records come in order, and the first may
    /// be any record of the stream.
    pub fn take(&mut self, offset: Offset, record: &PlacerRecord) -> Heard {
        match record {
            PlacerRecord::Claim {
                expected,
                instance,
                incarnation,
                ..
            } => {
                if offset != *expected {
                    return Heard::Void;
                }
                self.set(offset, instance, *incarnation);
                Heard::Claim
            }
            PlacerRecord::Renewal {
                term,
                instance,
                incarnation,
                ..
            } => {
                if self.newest.is_none_or(|newest| newest < *term) {
                    // The claim was before the first record that was read.
                    self.set(*term, instance, *incarnation);
                }
                self.heard_of(*term, Heard::Renewal)
            }
            PlacerRecord::Resignation { term, .. } => {
                let heard = self.heard_of(*term, Heard::Resignation);
                if heard == Heard::Resignation {
                    self.vacate();
                }
                heard
            }
        }
    }

    /// Drops the holder, whose term nobody gets again.
    pub(crate) fn vacate(&mut self) {
        self.holder = None;
    }

    fn heard_of(&self, term: Offset, heard: Heard) -> Heard {
        let is_in_force = self
            .holder
            .as_ref()
            .is_some_and(|holder| holder.term == term);
        if is_in_force { heard } else { Heard::Void }
    }

    fn set(&mut self, term: Offset, instance: &InstanceName, incarnation: Incarnation) {
        self.newest = Some(term);
        self.holder = Some(Holder {
            term,
            instance: instance.clone(),
            incarnation,
        });
    }
}
