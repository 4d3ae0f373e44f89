//! Reads the events of one call's answer, a JSON value a line.

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

/// Lines of an answer besides those with tokens.
const SPARE_LINES: u32 = 16;
/// Lines of an answer to a call that names no most tokens.
const DEFAULT_MAX_LINES: u32 = 100_000;
/// Time for an answer to end after its last event, for its connection to be
/// used again.
const END_TIMEOUT: Duration = Duration::from_millis(250);

/// How an answer ended.
pub(super) enum Ending {
    /// With its last event and nothing after it.
    Whole,
    /// With its last event, but its connection is of no further use.
    Untidy,
    /// Without its last event.
    Lost(String),
}

/// Reads the events of one answer and watches that they keep coming.
pub(super) struct AnswerReader<'a> {
    /// Where an answer that is lost is noted.
    pub(super) log: &'a Logger,
    /// Time without bytes after which the answer is reported as silent.
    pub(super) silence: Duration,
    /// Longest line, in bytes.
    pub(super) max_line_bytes: usize,
    /// Lines that the answer may still have.
    pub(super) lines_left: u32,
    /// Backend server that answers.
    pub(super) backend: &'a BackendName,
    /// Call that is answered.
    pub(super) id: &'a CallId,
    /// Takes the events of the answer.
    pub(super) events: &'a mpsc::Sender<Event>,
    /// When it was last found out that connections to the server were silent.
    pub(super) severed: watch::Receiver<Option<Instant>>,
    /// When the last bytes came.
    pub(super) last_frame: Option<Instant>,
}

impl AnswerReader<'_> {
    /// Waits for `progress`, and reports each time that it does not come for
    /// long and once when it is known that it will not come.
    pub(super) async fn watch<T>(&mut self, progress: impl Future<Output = T>) -> T {
        tokio::pin!(progress);
        let mut silence = time::interval_at(Instant::now() + self.silence, self.silence);
        let mut is_severed = false;
        let attempt = self.id.attempt;
        loop {
            tokio::select! {
                biased;
                value = progress.as_mut() => {
                    self.last_frame = Some(Instant::now());
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

    /// Tells whether nothing has come since the server's connections were first
    /// found silent.
    fn is_severed(&mut self) -> bool {
        let severed_at = *self.severed.borrow_and_update();
        severed_at.is_some_and(|at| self.last_frame.is_none_or(|last| last < at))
    }

    /// Reads the answer to its end and reports its events.
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
                match self.take_line(&line).await {
                    Line::More => {}
                    Line::Last if buffer.is_empty() => return tidy_end(body).await,
                    Line::Last => return Ending::Untidy,
                    Line::Bad(reason) => return Ending::Lost(reason),
                }
            }
            if buffer.len() > self.max_line_bytes {
                return Ending::Lost(self.bad("oversized", "line is too long"));
            }
        }
    }

    async fn take_line(&mut self, line: &[u8]) -> Line {
        if line.len() > self.max_line_bytes {
            return Line::Bad(self.bad("oversized", "line is too long"));
        }
        if self.lines_left == 0 {
            return Line::Bad(self.bad("oversized", "answer has too many lines"));
        }
        self.lines_left -= 1;
        let Ok(event) = serde_json::from_slice::<StageEvent>(line) else {
            return Line::Bad(self.bad("malformed", "line is not an event"));
        };
        if event.id() != self.id {
            return Line::Bad(self.bad("foreign", "event of another call"));
        }
        let is_last = !matches!(event, StageEvent::Token { .. });
        // A call that may not be repeated is read to its end even when its
        // request has ended and nobody listens.
        let _ = self.events.send(Event::Answered(event)).await;
        if is_last { Line::Last } else { Line::More }
    }

    /// Counts and logs an answer that is not used any further.
    fn bad(&self, kind: &'static str, reason: &str) -> String {
        metrics::counter!("savoryvane_bad_answers_total", "kind" => kind).increment(1);
        reason.to_owned()
    }

    /// Logs that the answer was lost.
    pub(super) fn note_lost(&self, reason: &str) {
        warn!(self.log, "answer lost, connection closed"; "request" => %self.id.request,
            "stage" => %self.id.stage, "attempt" => self.id.attempt,
            "backend" => %self.backend, "error" => reason);
    }
}

/// What one line was.
enum Line {
    /// An event that is not the last.
    More,
    /// The last event.
    Last,
    /// Nothing that can be used.
    Bad(String),
}

async fn tidy_end(mut body: Incoming) -> Ending {
    match time::timeout(END_TIMEOUT, body.frame()).await {
        Ok(None) => Ending::Whole,
        Ok(Some(_)) | Err(_) => Ending::Untidy,
    }
}

/// Returns how many lines the answer to `call` may have.
pub(super) fn max_lines(call: &StageCall) -> u32 {
    match call.max_tokens {
        0 => DEFAULT_MAX_LINES,
        max_tokens => max_tokens.saturating_add(SPARE_LINES),
    }
}
