//! Reads the events of the response to a call, one JSON value per line.

use std::time::Duration;

use bytes::{Buf, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use savoryvane_core::{
    call::{CallId, StageCall, StageEvent},
    execution::Event,
    ids::BackendName,
};
use slog::{Logger, warn};
use tokio::{
    sync::{mpsc, watch},
    time::{self, Instant},
};

/// Number of lines allowed in a response besides those with tokens.
const EXTRA_LINES: u32 = 16;
/// Maximum number of lines in the response to a call without a token limit.
const DEFAULT_MAX_LINES: u32 = 100_000;
/// Time for a response to end after its last event; otherwise its connection is
/// not reused.
const END_TIMEOUT: Duration = Duration::from_millis(250);

/// How a response ended.
pub(super) enum Ending {
    /// With its last event and nothing after it.
    Complete,
    /// With its last event, but its connection can't be reused.
    NotReusable,
    /// Without its last event.
    Lost(String),
}

/// Reads the events of one response and reports when no data arrives.
pub(super) struct ResponseReader<'a> {
    /// Logger for lost responses.
    pub(super) log: &'a Logger,
    /// Time without data after which the response is reported as silent.
    pub(super) silence: Duration,
    /// Maximum length of a line, in bytes.
    pub(super) max_line_bytes: usize,
    /// Number of lines that the response may still contain.
    pub(super) lines_left: u32,
    /// Backend server that responds.
    pub(super) backend: &'a BackendName,
    /// Call that the response belongs to.
    pub(super) id: &'a CallId,
    /// Receives the events of the response.
    pub(super) events: &'a mpsc::Sender<Event>,
    /// Time from which connections to the server were last found unresponsive.
    pub(super) severed: watch::Receiver<Option<Instant>>,
    /// When the last data arrived.
    pub(super) last_frame_at: Option<Instant>,
}

impl ResponseReader<'_> {
    /// Waits for `progress`. Reports `Silent` after each silence period without it,
    /// and `Severed` once when the connection is known to be dead.
    pub(super) async fn watch<T>(&mut self, progress: impl Future<Output = T>) -> T {
        tokio::pin!(progress);
        let mut silence = time::interval_at(Instant::now() + self.silence, self.silence);
        let mut is_severed = false;
        let attempt = self.id.attempt;
        loop {
            tokio::select! {
                biased;
                value = progress.as_mut() => {
                    self.last_frame_at = Some(Instant::now());
                    return value;
                }
                Ok(()) = self.severed.changed(), if !is_severed => {
                    if self.is_severed() {
                        is_severed = true;
                        let _ = self.events.send(Event::Severed { attempt }).await;
                    }
                }
                _ = silence.tick() => {
                    metrics::counter!("savoryvane_silent_connections_total").increment(1);
                    let _ = self.events.send(Event::Silent { attempt }).await;
                }
            }
        }
    }

    /// Returns whether no data has arrived since the time from which connections
    /// to the server were found unresponsive.
    fn is_severed(&mut self) -> bool {
        let severed_at = *self.severed.borrow_and_update();
        severed_at.is_some_and(|at| self.last_frame_at.is_none_or(|last| last < at))
    }

    /// Reads the response to its end and reports its events.
    pub(super) async fn read(&mut self, mut body: Incoming) -> Ending {
        let mut buffer = BytesMut::new();
        loop {
            let frame = match self.watch(body.frame()).await {
                Some(Ok(frame)) => frame,
                Some(Err(err)) => return Ending::Lost(err.to_string()),
                None => return Ending::Lost("answer ended before its last event".to_owned()),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            buffer.extend_from_slice(&data);
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line = buffer.split_to(end);
                buffer.advance(1);
                match self.process_line(&line).await {
                    Line::More => {}
                    Line::Last if buffer.is_empty() => return check_end(body).await,
                    Line::Last => return Ending::NotReusable,
                    Line::Invalid(reason) => return Ending::Lost(reason),
                }
            }
            if buffer.len() > self.max_line_bytes {
                return Ending::Lost(self.count_invalid("oversized", "line is too long"));
            }
        }
    }

    async fn process_line(&mut self, line: &[u8]) -> Line {
        if line.len() > self.max_line_bytes {
            return Line::Invalid(self.count_invalid("oversized", "line is too long"));
        }
        if self.lines_left == 0 {
            return Line::Invalid(self.count_invalid("oversized", "answer has too many lines"));
        }
        self.lines_left -= 1;
        let Ok(event) = serde_json::from_slice::<StageEvent>(line) else {
            return Line::Invalid(self.count_invalid("malformed", "line is not an event"));
        };
        if event.id() != self.id {
            return Line::Invalid(self.count_invalid("foreign", "event of another call"));
        }
        let is_last = !matches!(event, StageEvent::Token { .. });
        // The response to a non-idempotent call is read to its end even if its
        // request has ended and the receiver is dropped.
        let _ = self.events.send(Event::Answered(event)).await;
        if is_last { Line::Last } else { Line::More }
    }

    /// Counts an invalid response and returns `reason`.
    fn count_invalid(&self, kind: &'static str, reason: &str) -> String {
        metrics::counter!("savoryvane_bad_answers_total", "kind" => kind).increment(1);
        reason.to_owned()
    }

    /// Logs that the response was lost.
    pub(super) fn log_lost(&self, reason: &str) {
        warn!(self.log, "answer lost, connection closed"; "request" => %self.id.request,
            "stage" => %self.id.stage, "attempt" => self.id.attempt,
            "backend" => %self.backend, "error" => reason);
    }
}

/// Result of processing one line.
enum Line {
    /// An event that is not the last one.
    More,
    /// The last event.
    Last,
    /// A line that is not a valid event of the call.
    Invalid(String),
}

async fn check_end(mut body: Incoming) -> Ending {
    match time::timeout(END_TIMEOUT, body.frame()).await {
        Ok(None) => Ending::Complete,
        Ok(Some(_)) | Err(_) => Ending::NotReusable,
    }
}

/// Returns the maximum number of lines in the response to `call`.
pub(super) fn max_lines(call: &StageCall) -> u32 {
    match call.max_tokens {
        0 => DEFAULT_MAX_LINES,
        max_tokens => max_tokens.saturating_add(EXTRA_LINES),
    }
}
