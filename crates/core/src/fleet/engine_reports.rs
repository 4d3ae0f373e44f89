//! Reports of engines, for placement previews.

use crate::{fleet::Fleet, placement::EngineReport};

impl Fleet {
    /// Returns the last report of each backend server that has sent one.
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
