//! Binds streams that callers take up again to the software version that they began at.

use std::time::Duration;

use savoryvane_core::{
    forwarding::{SoftwareBinding, StreamKey, StreamOrigin, StreamRecord, TakeUp, record_left_ms},
    ids::{RequestId, SoftwareVersion},
};
use slog::info;

use super::{
    forward::{DEFAULT_DEADLINE, Forwarder},
    local_reply::FailureReason,
    request::CallerRequest,
    stream_origins::TakenUpStream,
};

/// Longest identifier of a request whose stream is recorded, in bytes.
const MAX_ID_BYTES: usize = 128;

impl Forwarder {
    /// Binds a request that takes a stream up to the origin of the stream, or rejects it.
    pub(super) async fn bind_taken_up(
        &self,
        caller: &mut CallerRequest,
    ) -> Result<(), FailureReason> {
        if !caller.takes_stream_up() {
            return Ok(());
        }
        let key = caller.head.resumes.as_ref();
        let key = key.and_then(|resumes| stream_key(caller, resumes));
        let found = self.origins.find(TakenUpStream {
            key: key.clone(),
            route: &caller.route().name,
            service: &caller.service,
        });
        let bound = match found.await {
            TakeUp::Unknown => Err(FailureReason::StreamUnknown),
            TakeUp::At(origin) => self.bind(caller, key, origin),
        };
        let outcome = match bound {
            Ok(()) => "same_version",
            Err(reason) => reason.as_str(),
        };
        info!(self.log, "stream taken up"; "request" => %caller.id, "outcome" => outcome,
            "resumes" => caller.head.resumes.as_ref().map(ToString::to_string),
            "last_event" => &caller.head.last_event, "service" => %caller.service,
            "software" => caller.software.version().map(ToString::to_string),
            "elapsed_ms" => caller.elapsed_ms());
        metrics::counter!("savoryvane_take_ups_total", "outcome" => outcome).increment(1);
        bound
    }

    fn bind(
        &self,
        caller: &mut CallerRequest,
        key: Option<StreamKey>,
        origin: StreamOrigin,
    ) -> Result<(), FailureReason> {
        let mut targets = caller.route().targets.iter();
        let is_target = targets.any(|target| target.weight > 0 && target.service == origin.service);
        let software = SoftwareBinding::Version(origin.software.clone());
        let now_ms = self.clock.now_ms();
        let is_lacking = self
            .view
            .fleet()
            .lacks_version(now_ms, &origin.service, &software);
        if !is_target || is_lacking {
            return Err(FailureReason::VersionGone);
        }
        caller.service = origin.service.clone();
        caller.software = software;
        if let Some(key) = key {
            // A further attempt of the caller names the same request.
            self.record_stream(caller, key, origin);
        }
        Ok(())
    }

    /// Records the stream of `caller`, whose first event is being forwarded.
    pub(super) fn on_stream_begun(&self, caller: &CallerRequest, software: SoftwareVersion) {
        if !caller.is_resumable() {
            return;
        }
        if let Some(key) = stream_key(caller, &caller.id) {
            let service = caller.service.clone();
            self.record_stream(caller, key, StreamOrigin { service, software });
        }
    }

    fn record_stream(&self, caller: &CallerRequest, key: StreamKey, origin: StreamOrigin) {
        let waits = caller.head.deadline_ms.map(Duration::from_millis);
        let waits = waits.unwrap_or(DEFAULT_DEADLINE);
        let left = waits.saturating_sub(caller.arrived.elapsed());
        let record = StreamRecord {
            key,
            origin,
            left_ms: record_left_ms(left.as_millis() as u64),
        };
        self.origins.on_begun(&caller.route().name, record);
    }
}

/// Returns the key of the stream that began with `request`, unless its identifier is too long to
/// be recorded.
fn stream_key(caller: &CallerRequest, request: &RequestId) -> Option<StreamKey> {
    (request.as_str().len() <= MAX_ID_BYTES).then(|| StreamKey {
        workspace: caller.matched.workspace.clone(),
        request: request.clone(),
    })
}
