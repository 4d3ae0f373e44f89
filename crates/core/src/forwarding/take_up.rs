//! Decides at which servers a stream continues that its caller takes up again.
//!
//! A record of the stream decides. Without one, the stream may go on only if one software version
//! alone has served the service, by the knowledge of an instance of each cell, since each cell
//! knows its own servers.
//!
//! An instance that is cut off, or has stood still, knows the register of up to two seconds ago.
//! Servers of another version may have joined since, and the stream may have begun at one of them
//! through another instance. So what is known of the own cell has to be confirmed: by its scheduler,
//! from which all its instances have the register, or by a register that is current since the
//! caller has asked.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    served_software::ServedVersions,
    stream_records::{RecordedOrigin, StreamOrigin},
};
use crate::ids::{PoolName, SoftwareVersion};

/// What an instance knows of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamKnowledge {
    /// Its record.
    pub origin: RecordedOrigin,
    /// Versions that have served its service.
    pub served: ServedVersions,
}

impl StreamKnowledge {
    /// Returns whether nothing is known of the stream, as at an instance that has just started.
    pub fn is_empty(&self) -> bool {
        self.origin == RecordedOrigin::Absent && self.served == ServedVersions::Unknown
    }
}

/// Servers at which a stream continues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TakeUp {
    /// Those of this origin.
    At(StreamOrigin),
    /// None: it is not known where it began.
    Unknown,
}

/// Collects what instances know of a stream.
#[derive(Debug)]
pub struct TakeUpSearch {
    service: PoolName,
    cells: u32,
    /// Version that alone has served, by cell.
    served: BTreeMap<u32, SoftwareVersion>,
    has_several: bool,
    /// Whether it is known what has served in the own cell up to now.
    is_confirmed: bool,
}

impl TakeUpSearch {
    /// Begins a search in a fleet of `cells` cells for a stream that goes to `service` unless it
    /// is recorded otherwise.
    pub fn new(service: PoolName, cells: u32) -> Self {
        Self {
            service,
            cells,
            served: BTreeMap::new(),
            has_several: false,
            is_confirmed: false,
        }
    }

    /// Records what an instance of `cell` knows. Returns the decision if it needs no other
    /// instance.
    pub fn on_knowledge(&mut self, cell: u32, knowledge: StreamKnowledge) -> Option<TakeUp> {
        match knowledge.origin {
            RecordedOrigin::Known(origin) => return Some(TakeUp::At(origin)),
            RecordedOrigin::Ambiguous => return Some(TakeUp::Unknown),
            RecordedOrigin::Absent => {}
        }
        match knowledge.served {
            ServedVersions::One(version) => {
                let known = self.served.entry(cell).or_insert_with(|| version.clone());
                self.has_several |= *known != version;
            }
            ServedVersions::Several => self.has_several = true,
            ServedVersions::Unknown => {}
        }
        None
    }

    /// Records what is known in the own cell up to now: by its scheduler, if that is another
    /// instance, or by this instance with a register that is current since the caller has asked.
    /// Returns the decision if it needs no other instance.
    pub fn on_current_knowledge(
        &mut self,
        cell: u32,
        knowledge: StreamKnowledge,
    ) -> Option<TakeUp> {
        self.is_confirmed |= matches!(knowledge.served, ServedVersions::One(_));
        self.on_knowledge(cell, knowledge)
    }

    /// Returns whether the stream can go on once what is known of the own cell is confirmed.
    pub fn lacks_confirmation(&self) -> bool {
        !self.is_confirmed && self.has_one_version()
    }

    fn has_one_version(&self) -> bool {
        let mut versions = self.served.values();
        let first = versions.next();
        let is_alone = first.is_some_and(|first| versions.all(|version| version == first));
        is_alone && self.served.len() == self.cells as usize && !self.has_several
    }

    /// Decides when no further instance responds.
    pub fn conclude(self) -> TakeUp {
        if !self.is_confirmed || !self.has_one_version() {
            return TakeUp::Unknown;
        }
        let Some(software) = self.served.into_values().next() else {
            return TakeUp::Unknown;
        };
        TakeUp::At(StreamOrigin {
            service: self.service,
            software,
        })
    }
}
