//! What engines were last heard to hold.

use crate::{fleet::Fleet, placement::EngineReport};

impl Fleet {
    /// Copies what was reported of each backend server that was heard of.
    pub fn engine_reports(&self) -> Vec<EngineReport> {
        let reported = self.backends.iter().filter_map(|backend| {
            Some(EngineReport {
                backend: backend.name.clone(),
                load: backend.report.as_ref()?.load,
                models: backend.models.clone()?,
            })
        });
        reported.collect()
    }
}
