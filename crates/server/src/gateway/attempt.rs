//! One send of a request to one backend server, and its outcome.

use std::{ops::RangeInclusive, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Response, StatusCode, Version, header, response::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use savoryvane_core::{
    forwarding::{
        AttemptEnd, Attribution, BodyEnd, ConnectionHistory, Framing, NamedRequest, ServerEntry,
    },
    ids::BackendName,
    poison::{CrashSubject, LostServerStatus},
};
use savoryvane_platform::response::{self, ResponseHead};
use slog::{info, warn};

use super::{
    crashes::{CarriedRequest, LostConnection},
    forward::{Forwarder, Inputs},
    in_flight::{InFlight, ServerOutcome},
    permits::PermitGuard,
    request::CallerRequest,
    signals::{ResponseTo, Sendable},
};
use crate::{
    connections::{Exchange, Lease, SendError},
    http_body::{self, ChargedBuffer},
};

/// Largest response that is buffered before it is forwarded, in bytes: until then, a response
/// that breaks off may still be replaced by one from another server.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Statuses of final responses. The HTTP library reads any other number of three digits, but for
/// those below 100, as a status too.
const VALID_STATUSES: RangeInclusive<u16> = 200..=599;
/// Margin by which a pooled connection is dropped before the server's keep-alive timeout.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Outcome of one send.
pub(super) enum SendOutcome {
    /// A complete response.
    Complete(Response<Bytes>),
    /// A response that is forwarded as it arrives.
    Stream(Box<Stream>),
    /// No usable response, except possibly an error response of the server.
    Ended(AttemptEnd, Option<Response<Bytes>>),
}

/// A response that is forwarded as it arrives: an event stream whose head has arrived, or a
/// response that is too large to be buffered.
pub(super) struct Stream {
    pub(super) response: Response<Incoming>,
    /// Part of the body that has been read.
    pub(super) prefix: Vec<Bytes>,
    pub(super) lease: Lease,
    pub(super) server: InFlight,
    pub(super) head: ResponseHead,
}

impl Forwarder {
    /// Sends a request to one server and waits for its response, or for the head of a
    /// stream.
    pub(super) async fn send_once(
        self: &Arc<Self>,
        caller: &CallerRequest,
        inputs: &Inputs,
        server: &BackendName,
        permit: Option<&PermitGuard>,
        last_event: Option<&str>,
    ) -> SendOutcome {
        // The server may be registered again with another version meanwhile.
        let may_send = || {
            let software = self.software_of(server);
            caller.software.allows(software.as_ref()) && self.view.sendable(server) == Sendable::Yes
        };
        let entry = self.view.directory().entry(server).cloned();
        let Some(entry) = entry.filter(|_| may_send()) else {
            return SendOutcome::Ended(AttemptEnd::NotSent, None);
        };
        let now_ms = self.clock.now_ms();
        {
            let mut fleet = self.view.fleet();
            fleet.on_forwarded(now_ms, server);
            fleet.brittle().on_sent(server);
        }
        let isolated = permit.map_or_else(Vec::new, |permit| permit.covered().to_vec());
        let in_flight = InFlight::begin(self, entry, &caller.matched.route, isolated);
        let addr = in_flight.server.addr;
        let request = caller.to_server(server, &inputs.handles, last_event);
        let sent = self
            .servers
            .send_reusing(
                addr,
                request,
                caller.deadline,
                caller.reuse_for_send(addr),
                may_send,
            )
            .await;
        match sent {
            Ok(exchange) => self.read_response(caller, exchange, in_flight).await,
            Err(SendError::NotSent(_)) if !may_send() => {
                info!(self.log, "send withheld"; "request" => %caller.id, "server" => %server,
                    "elapsed_ms" => caller.elapsed_ms());
                SendOutcome::Ended(AttemptEnd::NotSent, None)
            }
            Err(SendError::NotSent(reason)) => {
                warn!(self.log, "server unreachable"; "request" => %caller.id,
                    "server" => %server, "error" => reason);
                in_flight.finish(ServerOutcome::Unreachable);
                SendOutcome::Ended(AttemptEnd::NotSent, None)
            }
            Err(SendError::Sent(reason)) => {
                warn!(self.log, "answer lost"; "request" => %caller.id,
                    "server" => %server, "error" => reason);
                self.on_connection_lost(caller, in_flight).await;
                SendOutcome::Ended(AttemptEnd::Lost, None)
            }
        }
    }

    /// Finds out whether a server whose connection broke crashed under the request.
    pub(super) async fn on_connection_lost(&self, caller: &CallerRequest, in_flight: InFlight) {
        let lost = self.lost_in_flight(caller, &in_flight);
        in_flight.finish(ServerOutcome::Silent);
        let ends = Arc::clone(&self.crash_detector);
        // Runs in a task of its own: the crash is recorded even if the caller disconnects
        // now.
        let task = tokio::spawn(async move { ends.on_connection_lost(lost).await });
        if let Err(err) = task.await {
            warn!(self.log, "connection loss not checked"; "request" => %caller.id,
                "error" => %err);
        }
    }

    /// Records the response of a server once its body has ended without an error.
    pub(super) async fn on_body_end(
        &self,
        caller: &CallerRequest,
        in_flight: InFlight,
        end: BodyEnd,
    ) {
        match end {
            BodyEnd::Truncated => return self.on_connection_lost(caller, in_flight).await,
            BodyEnd::Complete => self.on_answered(caller, in_flight.is_success),
            BodyEnd::Unmarked => self.check_unmarked_end(caller, &in_flight),
        }
        in_flight.finish(ServerOutcome::Answered);
    }

    /// Finds out, while the caller has the response already, whether a server crashed instead
    /// of ending the response.
    fn check_unmarked_end(&self, caller: &CallerRequest, in_flight: &InFlight) {
        let lost = LostConnection {
            has_ended_response: true,
            ..self.lost_in_flight(caller, in_flight)
        };
        let crash_detector = Arc::clone(&self.crash_detector);
        let quarantine = Arc::clone(&self.quarantine);
        let subjects = caller.subjects.clone();
        tokio::spawn(async move {
            let status = crash_detector.on_connection_lost(lost).await;
            if status == LostServerStatus::NotToBlame {
                quarantine.on_answered(subjects.digest());
                quarantine.on_alive(subjects.parts());
            }
        });
    }

    /// Records a complete response. An unsuccessful one tells nothing of the parts of the prompt,
    /// since the server may not have come to respond to it.
    fn on_answered(&self, caller: &CallerRequest, is_success: bool) {
        self.quarantine.on_answered(caller.digest());
        if is_success {
            self.quarantine.on_alive(caller.subjects.parts());
        }
    }

    /// Describes the loss of the connection that carried a request in flight.
    fn lost_in_flight(&self, caller: &CallerRequest, in_flight: &InFlight) -> LostConnection {
        let server = in_flight.server.clone();
        self.lost_connection(caller, server, in_flight.is_alive(), &in_flight.isolated)
    }

    /// Describes the loss of the connection that carried a caller's request.
    pub(super) fn lost_connection(
        &self,
        caller: &CallerRequest,
        server: ServerEntry,
        is_alive: bool,
        isolated: &[CrashSubject],
    ) -> LostConnection {
        let in_flight_requests = self.view.fleet().in_flight(&server.id);
        LostConnection {
            server,
            requests: vec![CarriedRequest {
                id: caller.id.clone(),
                subjects: caller.subjects.clone(),
                isolated: isolated.to_vec(),
                is_alive,
            }],
            other_requests: in_flight_requests.saturating_sub(1),
            has_ended_response: false,
        }
    }

    /// Logs that a server reports that it did not run a request, and what ties the report to it.
    fn log_rejection(
        &self,
        caller: &CallerRequest,
        server: &BackendName,
        status: StatusCode,
        named: NamedRequest,
        history: ConnectionHistory,
    ) {
        info!(self.log, "request rejected"; "request" => %caller.id, "server" => %server,
            "status" => status.as_u16(), "names" => named.as_str(),
            "connection" => history.as_str(), "elapsed_ms" => caller.elapsed_ms());
        metrics::counter!("savoryvane_rejections_total", "names" => named.as_str(),
            "connection" => history.as_str())
        .increment(1);
    }

    async fn read_response(
        &self,
        caller: &CallerRequest,
        exchange: Exchange,
        mut in_flight: InFlight,
    ) -> SendOutcome {
        let Exchange {
            response,
            history,
            lease,
        } = exchange;
        let status = response.status();
        let head = response::decode(status, response.headers());
        let named = head.named_request(&caller.id);
        let attribution = Attribution::of(named, history);
        // What a server says of itself holds whichever request it responds to, but for the run
        // that a misdirected request was meant for.
        let describes_server = match attribution {
            Attribution::Own => true,
            Attribution::Untied => !head.is_misdirected,
            Attribution::Foreign => false,
        };
        if describes_server {
            self.view.on_response_head(
                &in_flight.server.id,
                in_flight.sent_at_ms,
                ResponseTo::Request(&caller.id),
                &head,
            );
        }
        in_flight.is_success = status.is_success();
        if !head.is_not_run || attribution != Attribution::Own {
            in_flight.settle();
        }
        if head.is_not_run {
            self.log_rejection(caller, &in_flight.server.id, status, named, history);
        }
        if let Some(fault) = response_fault(status, &head, attribution) {
            warn!(self.log, "unusable response"; "request" => %caller.id,
                "server" => %in_flight.server.id, "status" => status.as_u16(), "fault" => fault,
                "names" => named.as_str(), "connection" => history.as_str());
            in_flight.finish(ServerOutcome::Failing);
            return SendOutcome::Ended(AttemptEnd::Lost, None);
        }
        if status.is_success() && head.is_event_stream {
            return SendOutcome::Stream(Box::new(Stream {
                response,
                prefix: Vec::new(),
                lease,
                server: in_flight,
                head,
            }));
        }
        let framing = http_body::framing(response.headers());
        let (parts, mut body) = response.into_parts();
        let on_bytes = || {
            in_flight.on_body_bytes();
        };
        let buffer = ChargedBuffer::new(caller.memory.response_charge(), MAX_BUFFERED_BYTES);
        let (bytes, is_whole) = match read_up_to(&mut body, buffer, on_bytes).await {
            Ok(read) => read,
            Err(err) => {
                warn!(self.log, "response broke off"; "request" => %caller.id,
                    "server" => %in_flight.server.id, "error" => %err);
                self.on_connection_lost(caller, in_flight).await;
                return SendOutcome::Ended(AttemptEnd::Lost, None);
            }
        };
        if !is_whole && !head.is_not_run {
            return SendOutcome::Stream(Box::new(Stream {
                response: Response::from_parts(parts, body),
                prefix: bytes,
                lease,
                server: in_flight,
                head,
            }));
        }
        if is_whole {
            return_to_pool(lease, &head);
        }
        let end = if may_have_body(&caller.method, status) {
            BodyEnd::of_whole_body(framing, bytes.iter().all(Bytes::is_empty))
        } else {
            BodyEnd::Complete
        };
        let bytes = bytes.into_iter().next().unwrap_or_default();
        let response = Response::from_parts(to_caller(parts), bytes);
        if head.is_not_run {
            in_flight.finish(ServerOutcome::Full);
            let end = match (head.is_misdirected, head.is_input_gone) {
                (true, _) => AttemptEnd::Misdirected,
                (false, true) => AttemptEnd::InputsGone,
                (false, false) => AttemptEnd::NotRun,
            };
            return SendOutcome::Ended(end, None);
        }
        self.on_body_end(caller, in_flight, end).await;
        if end == BodyEnd::Truncated {
            warn!(self.log, "response broke off"; "request" => %caller.id,
                "error" => "neither a length nor a body");
            return SendOutcome::Ended(AttemptEnd::Lost, None);
        }
        if status.is_success() || status.is_client_error() {
            return SendOutcome::Complete(response);
        }
        SendOutcome::Ended(AttemptEnd::Failed, Some(response))
    }
}

/// Returns whether a response with this status to a request with this method has a body.
fn may_have_body(method: &Method, status: StatusCode) -> bool {
    method != Method::HEAD && !matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Reads a body into `buffer` until it ends or does not fit, and calls `on_bytes` whenever bytes of
/// it arrive. Returns what has been read, and whether that is the whole body.
async fn read_up_to(
    body: &mut Incoming,
    mut buffer: ChargedBuffer,
    mut on_bytes: impl FnMut(),
) -> hyper::Result<(Vec<Bytes>, bool)> {
    while let Some(frame) = body.frame().await {
        let Ok(part) = frame?.into_data() else {
            continue;
        };
        on_bytes();
        if !buffer.try_push(&part) {
            return Ok((vec![buffer.finish(), part], false));
        }
    }
    Ok((vec![buffer.finish()], true))
}

/// Converts the head of a server's response to that of the caller's response.
pub(super) fn to_caller(mut head: Parts) -> Parts {
    if http_body::framing(&head.headers) == Framing::Chunked {
        // Chunks override a length, which may differ from that of the body.
        head.headers.remove(header::CONTENT_LENGTH);
    }
    head.headers = response::forward(&head.headers);
    // The version of the server's connection must not frame the caller's body: HTTP/1.0 has
    // no chunks, so that a body that breaks off looks complete.
    head.version = Version::default();
    head
}

/// Returns a connection to the pool after its response was read. Closes it instead if the response
/// names no request: a second copy of it could be mistaken for the next response.
pub(super) fn return_to_pool(lease: Lease, head: &ResponseHead) {
    if head.id.is_none() {
        return;
    }
    let limit = head
        .keep_alive_s
        .map_or(Duration::MAX, Duration::from_secs)
        .saturating_sub(KEEP_ALIVE_MARGIN);
    tokio::spawn(async move { lease.release_for(limit).await });
}

/// Returns what makes a response unusable, judged by its head.
fn response_fault(
    status: StatusCode,
    head: &ResponseHead,
    attribution: Attribution,
) -> Option<&'static str> {
    match attribution {
        Attribution::Own => {}
        Attribution::Foreign => return Some("it responds to another request"),
        Attribution::Untied => return Some("it names no request on a kept connection"),
    }
    if !VALID_STATUSES.contains(&status.as_u16()) {
        return Some("its status is invalid");
    }
    if !status.is_success() {
        return None;
    }
    if !head.is_signed {
        return Some("it is not signed");
    }
    head.is_encoded.then_some("it has a content encoding")
}
