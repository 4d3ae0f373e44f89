//! Decides at which servers a stream continues that its caller takes up again.
//!
//! A record of the stream decides. Without one, the stream may go on only if one software version
//! alone has served the service, by the knowledge of an instance of each cell, since each cell
//! knows its own servers.

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

    /// Decides when no further instance responds.
    pub fn conclude(self) -> TakeUp {
        let mut versions = self.served.values();
        let first = versions.next();
        let is_alone = first.is_some_and(|first| versions.all(|version| version == first));
        let covers_all = self.served.len() == self.cells as usize;
        match first {
            Some(software) if is_alone && covers_all && !self.has_several => {
                TakeUp::At(StreamOrigin {
                    service: self.service,
                    software: software.clone(),
                })
            }
            _ => TakeUp::Unknown,
        }
    }
}
