//! Forwards an event stream, or a response that is too large to be buffered, as it arrives.
//!
//! A resumable stream is forwarded event by event: an event that a server broke off is
//! dropped, and the next server resumes after the last complete one. If any other body
//! breaks off, the caller's connection is aborted, so that it can't be mistaken for a
//! complete one.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use savoryvane_core::{
    forwarding::{BodyEnd, EventSplitter, Framing, ResumePoint, SoftwareBinding, event_timeout_ms},
    ids::BackendName,
};
use savoryvane_platform::response;
use slog::{info, warn};
use tokio::time::{self, Instant};

use super::{
    attempt::{SendOutcome, Stream, return_to_pool, to_caller},
    forward::{Forwarder, Inputs},
    in_flight::InFlight,
    permits::PermitGuard,
    request::CallerRequest,
};
use crate::{
    caller_memory::MemoryCharge,
    connections::Lease,
    http_body::{self, Body},
    stream_body::{STREAM_BUFFER_BYTES, StreamSender, stream_body},
};

/// Largest part of an event that is covered by the charge for a stream's buffer, in bytes. Most
/// events are smaller, and need no charge of their own.
const COVERED_EVENT_BYTES: usize = 16 << 10;

/// Starts to forward a stream, and returns the response that carries it.
pub(super) fn start(
    forwarder: Arc<Forwarder>,
    caller: CallerRequest,
    inputs: Inputs,
    stream: Box<Stream>,
    tried: Vec<BackendName>,
    permit: Option<PermitGuard>,
) -> Response<Body> {
    let (sender, caller_body) = stream_body();
    let framing = http_body::framing(stream.response.headers());
    let (parts, body) = stream.response.into_parts();
    let mut parts = to_caller(parts);
    let is_event_stream = stream.head.is_event_stream;
    if is_event_stream {
        // With its length reached, a stream that ends inside an event would look complete.
        parts.headers.remove(http::header::CONTENT_LENGTH);
    }
    let mut charge = caller.memory.response_charge();
    charge.take(STREAM_BUFFER_BYTES);
    let held = HeldCharge::default();
    let events = EventSplitter::new(is_event_stream && caller.is_resumable());
    let relay = Relay {
        forwarder,
        caller,
        inputs,
        tried,
        permit,
        events,
        timing: EventTiming::default(),
        sender,
        _buffer_charge: charge,
        held,
        source: Source {
            body,
            framing,
            lease: Some(stream.lease),
            server: Some(stream.server),
            head: stream.head,
        },
    };
    tokio::spawn(relay.run(stream.prefix));
    Response::from_parts(parts, caller_body.boxed_unsync())
}

/// The server connection that events are read from.
struct Source {
    body: Incoming,
    framing: Framing,
    lease: Option<Lease>,
    server: Option<InFlight>,
    head: response::ResponseHead,
}

struct Relay {
    forwarder: Arc<Forwarder>,
    caller: CallerRequest,
    inputs: Inputs,
    tried: Vec<BackendName>,
    /// Permit to run the request, if servers have crashed under it.
    permit: Option<PermitGuard>,
    events: EventSplitter,
    timing: EventTiming,
    sender: StreamSender,
    /// What is buffered of the stream for its caller.
    _buffer_charge: MemoryCharge,
    /// What is held back of an event.
    held: HeldCharge,
    source: Source,
}

/// Charge for the part of an event that is held back.
#[derive(Debug, Default)]
struct HeldCharge {
    charge: Option<MemoryCharge>,
    bytes: usize,
}

impl HeldCharge {
    /// Charges for a buffer of `bytes`; returns false if there is no memory for it.
    fn try_grow_to(&mut self, bytes: usize, caller: &CallerRequest) -> bool {
        if bytes <= self.bytes.max(COVERED_EVENT_BYTES) {
            return true;
        }
        // The buffer doubles, and is copied when it grows.
        let needed_bytes = 2 * bytes;
        let charge = &mut self.charge;
        let charge = charge.get_or_insert_with(|| caller.memory.response_charge());
        let is_granted = charge.try_grow((needed_bytes - self.bytes) as u64).is_ok();
        if is_granted {
            self.bytes = needed_bytes;
        }
        is_granted
    }

    /// Returns `bytes`, which were held back, such that they stay charged until they are sent.
    fn release(&mut self, bytes: Bytes) -> Bytes {
        match std::mem::take(self).charge {
            Some(charge) => charge.attach(bytes),
            None => bytes,
        }
    }
}

/// Arrival times of events, for the log.
#[derive(Clone, Copy, Debug, Default)]
struct EventTiming {
    first_event_ms: Option<u64>,
    last_at: Option<Instant>,
    longest_gap_ms: u64,
}

impl EventTiming {
    /// Records events that arrived `elapsed_ms` after the request.
    fn on_events(&mut self, elapsed_ms: u64) {
        let now = Instant::now();
        self.first_event_ms.get_or_insert(elapsed_ms);
        if let Some(last_at) = self.last_at.replace(now) {
            let gap_ms = now.duration_since(last_at).as_millis() as u64;
            self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
        }
    }
}

/// Why a stream is no longer forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// It is complete.
    Whole,
    /// The caller disconnected.
    CallerGone,
    /// The deadline has passed.
    Overdue,
    /// This instance is exiting.
    Leaving,
    /// The server connection broke.
    Broken,
    /// The server paused too long, and a retry was taken from the budget.
    Silent,
}

impl StreamEnd {
    /// Returns its name in metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::CallerGone => "caller_gone",
            Self::Overdue => "overdue",
            Self::Leaving => "leaving",
            Self::Broken => "broken",
            Self::Silent => "silent",
        }
    }
}

impl Relay {
    async fn run(mut self, prefix: Vec<Bytes>) {
        let mut next = prefix;
        let stream_end = loop {
            let stream_end = self.forward_body(std::mem::take(&mut next)).await;
            let may_resume = match stream_end {
                StreamEnd::Broken => self.try_spend_resume(),
                StreamEnd::Silent => true,
                StreamEnd::Whole
                | StreamEnd::CallerGone
                | StreamEnd::Overdue
                | StreamEnd::Leaving => false,
            };
            if !may_resume {
                break stream_end;
            }
            let caller_left = self.sender.watch_closed();
            let is_resumed = tokio::select! {
                biased;
                () = caller_left => break StreamEnd::CallerGone,
                is_resumed = self.resume() => is_resumed,
            };
            if !is_resumed {
                break stream_end;
            }
        };
        info!(self.forwarder.log, "stream ended"; "request" => %self.caller.id,
            "digest" => %self.caller.digest(),
            "route" => &self.caller.route().name, "end" => ?stream_end,
            "servers" => self.tried.len(),
            "software" => self.caller.software.version().map(ToString::to_string),
            "events" => self.events.position().events(),
            "framing" => self.source.framing.as_str(),
            "inside_event" => self.events.position().is_inside_event(),
            "goal_ms" => self.caller.route().goal_ms,
            "gap_goal_ms" => self.caller.route().event_gap_ms,
            "first_event_ms" => self.timing.first_event_ms,
            "longest_gap_ms" => self.timing.longest_gap_ms,
            "elapsed_ms" => self.caller.elapsed_ms());
        metrics::counter!("savoryvane_streams_total", "end" => stream_end.as_str(),
            "framing" => self.source.framing.as_str(),
            "inside_event" => if self.events.position().is_inside_event() { "true" } else { "false" })
        .increment(1);
        if stream_end == StreamEnd::Whole {
            if let Some(lease) = self.source.lease.take() {
                return_to_pool(lease, &self.source.head);
            }
            self.sender.finish().await;
        }
    }

    async fn forward_all(&mut self, parts: Vec<Bytes>) -> Option<()> {
        for part in parts {
            self.forward(part).await?;
        }
        Some(())
    }

    /// Forwards `prefix` and the rest of the server's body until it stops.
    async fn forward_body(&mut self, prefix: Vec<Bytes>) -> StreamEnd {
        if self.forward_all(prefix).await.is_none() {
            return StreamEnd::CallerGone;
        }
        let event_timeout = Duration::from_millis(event_timeout_ms());
        let mut is_timer_armed = true;
        let shutdown = Arc::clone(&self.forwarder.shutdown);
        let process_exit = shutdown.wait_until_within(Duration::ZERO);
        let overdue = time::sleep_until(self.caller.deadline);
        tokio::pin!(process_exit, overdue);
        loop {
            // A server that never stops sending must not keep the other branches from being
            // polled.
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return StreamEnd::CallerGone,
                () = &mut overdue => return StreamEnd::Overdue,
                () = &mut process_exit => return StreamEnd::Leaving,
                frame = self.source.body.frame() => frame,
                () = time::sleep(event_timeout), if is_timer_armed => {
                    is_timer_armed = false;
                    if self.try_spend_resume() {
                        self.abandon_silent_server(event_timeout);
                        return StreamEnd::Silent;
                    }
                    continue;
                }
            };
            let bytes = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(err)) => return self.on_connection_lost(&err).await,
                None => return self.on_body_end().await,
            };
            self.on_body_bytes();
            // An engine that responds with events has read its inputs.
            self.inputs.guard = None;
            if self.forward(bytes).await.is_none() {
                return StreamEnd::CallerGone;
            }
        }
    }

    /// Forwards bytes of the server's body as far as they are complete; returns `None` if the
    /// caller has disconnected.
    async fn forward(&mut self, bytes: Bytes) -> Option<()> {
        let held_bytes = self.events.held_bytes_with(bytes.len());
        if !self.held.try_grow_to(held_bytes, &self.caller) {
            info!(self.forwarder.log, "event not held back"; "request" => %self.caller.id,
                "bytes" => held_bytes);
            let partial = self.events.release_partial();
            let partial = self.held.release(partial);
            self.sender.send(partial).await?;
        }
        let mut complete = self.events.push(bytes);
        if !complete.is_empty() {
            self.timing.on_events(self.caller.elapsed_ms());
            complete = self.held.release(complete);
        }
        self.bind_software();
        self.sender.send(complete).await
    }

    /// Binds the stream to the software version of its server once an event is complete.
    fn bind_software(&mut self) {
        let has_event = self.events.position().events() > 0;
        if let Some(server) = &self.source.server
            && has_event
            && self.caller.software == SoftwareBinding::Free
        {
            let software = server.server.software.clone();
            self.caller.software = SoftwareBinding::to(software.clone());
            if let Some(software) = software {
                self.forwarder.on_stream_begun(&self.caller, software);
            }
        }
    }

    /// Records that bytes of the server's body have arrived. Once the response is alive, the parts
    /// of the prompt are no longer suspects.
    fn on_body_bytes(&mut self) {
        let server = self.source.server.as_mut();
        if server.is_some_and(InFlight::on_body_bytes) {
            self.forwarder
                .quarantine
                .on_alive(self.caller.subjects.parts());
            if let Some(permit) = &mut self.permit {
                permit.release_parts();
            }
        }
    }

    /// Handles the end of the server's body.
    async fn on_body_end(&mut self) -> StreamEnd {
        let end = if self.source.head.is_event_stream {
            BodyEnd::of_stream(self.source.framing, self.events.position())
        } else {
            BodyEnd::of_body(self.source.framing)
        };
        let stream_end = match end {
            BodyEnd::Truncated => {
                self.log_broken_off("ended before its last event was complete");
                StreamEnd::Broken
            }
            BodyEnd::Complete | BodyEnd::Unmarked => StreamEnd::Whole,
        };
        if let Some(server) = self.source.server.take() {
            self.forwarder.on_body_end(&self.caller, server, end).await;
        }
        stream_end
    }

    /// Handles an error of the connection to the server.
    async fn on_connection_lost(&mut self, error: &hyper::Error) -> StreamEnd {
        self.log_broken_off(&error.to_string());
        if let Some(server) = self.source.server.take() {
            self.forwarder
                .on_connection_lost(&self.caller, server)
                .await;
        }
        StreamEnd::Broken
    }

    fn log_broken_off(&self, error: &str) {
        warn!(self.forwarder.log, "stream broke off"; "request" => %self.caller.id,
            "events" => self.events.position().events(),
            "framing" => self.source.framing.as_str(), "error" => error);
    }

    /// Returns whether another server may resume the stream, and takes a retry from the
    /// budget if so.
    fn try_spend_resume(&self) -> bool {
        let caller = &self.caller;
        self.events.resume_point() != ResumePoint::None
            && (self.tried.len() as u32) < caller.route().max_servers
            && self
                .forwarder
                .try_repeat_elsewhere(caller, &self.inputs, &self.tried)
    }

    /// Closes the connection to a server that has paused too long, which makes the server
    /// cancel the request.
    fn abandon_silent_server(&mut self, waited: Duration) {
        self.source.lease = None;
        if let Some(server) = self.source.server.take() {
            let name = server.server.id.clone();
            let is_alive = server.is_alive();
            drop(server);
            self.forwarder
                .on_server_abandoned(&self.caller, &name, is_alive, waited);
        }
    }

    /// Resumes the stream at another server after the last complete event.
    async fn resume(&mut self) -> bool {
        self.source.lease = None;
        let caller = &self.caller;
        self.events.discard_partial();
        if self
            .forwarder
            .check_quarantine(caller, &mut self.permit)
            .await
            .is_err()
        {
            // The reason has been logged.
            return false;
        }
        if self.inputs.are_released() {
            match self.forwarder.run_stages(caller).await {
                Ok(inputs) => self.inputs = inputs,
                Err(_) => return false,
            }
        }
        let permit = self.permit.as_ref();
        let chosen = self
            .forwarder
            .choose_granted(caller, &self.inputs, &self.tried, permit)
            .await;
        let Ok(server) = chosen else {
            return false;
        };
        self.tried.push(server.clone());
        let last = match self.events.resume_point() {
            ResumePoint::After(id) => Some(id.to_owned()),
            ResumePoint::Start | ResumePoint::None => None,
        };
        let sent = self
            .forwarder
            .send_once(caller, &self.inputs, &server, permit, last.as_deref());
        let Ok(SendOutcome::Stream(stream)) = time::timeout_at(caller.deadline, sent).await else {
            return false;
        };
        info!(self.forwarder.log, "stream resumed"; "request" => %caller.id,
            "server" => %server, "last_event" => last,
            "software" => stream.server.server.software.as_ref().map(ToString::to_string));
        self.source = Source {
            framing: http_body::framing(stream.response.headers()),
            body: stream.response.into_body(),
            lease: Some(stream.lease),
            server: Some(stream.server),
            head: stream.head,
        };
        true
    }
}
