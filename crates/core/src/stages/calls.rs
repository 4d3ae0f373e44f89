//! Starts and ends calls to servers, and repeats the pieces that failed or are overdue.

use super::{
    batch::Batch,
    isolation::Isolation,
    queue::WaitingPiece,
    request::{PieceId, PieceState, Request},
    scheduler::{CallOutcome, ItemOutcome, StageScheduler},
    server::Server,
    types::{CallId, CallItem, ItemInput, Refusal, RequestKey, ResultRef, StageAction, StageCall},
};
use crate::{
    ids::{BackendName, PoolName},
    poison::{CRASHES_TO_QUARANTINE, RequestDigest},
};

/// Longest handle of a result, in bytes. Servers choose it, and a call names the handles of all
/// inputs of each of its pieces.
const MAX_HANDLE_BYTES: usize = 256;
/// Number of times that pieces of one request are repeated before it is refused.
pub(super) const MAX_REPEATS: u32 = 24;
/// Multiple of the expected duration after which the pieces of a call are sent
/// elsewhere as well. Degraded servers take five times as long.
const OVERDUE_FACTOR: f64 = 2.0;
/// Time added to that for network latency and for a call that is already running, in
/// ms.
const OVERDUE_MARGIN_MS: f64 = 150.0;
/// Delay in checking an overdue call above which this process must have stalled, in ms.
/// Scheduling delays of a busy process are shorter.
const STALL_THRESHOLD_MS: u64 = 100;
/// Time after which the connection of a call is closed, in ms.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// A call that has not ended.
#[derive(Debug)]
pub(super) struct RunningCall {
    pub(super) service: PoolName,
    pub(super) server: BackendName,
    pub(super) pieces: Vec<WaitingPiece>,
    pub(super) started_at_ms: u64,
    pub(super) expected_ms: f64,
    /// Whether its pieces were queued for other servers too.
    pub(super) is_overdue: bool,
}

impl StageScheduler {
    /// Handles the end of a call.
    pub fn on_call_ended(&mut self, now_ms: u64, id: CallId, outcome: &CallOutcome) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(call.started_at_ms) as f64;
        if *outcome == CallOutcome::Full {
            self.contention.on_contention_sign(now_ms);
        }
        if call.was_checked_late(now_ms) {
            self.contention.on_contention_sign(now_ms);
        }
        let is_sole_scheduler = self.contention.is_sole_scheduler(now_ms);
        if let Some(service) = self.services.get_mut(&call.service) {
            service.running_pieces = service.running_pieces.saturating_sub(call.pieces.len());
        }
        if let Some(server) = self.server_mut(&call) {
            server.running_calls = server.running_calls.saturating_sub(1);
            if matches!(outcome, CallOutcome::Answered(_)) {
                server.on_accepted();
            }
            let zone = server.zone.clone();
            match outcome {
                // Under contention the duration does not reflect the server's speed.
                CallOutcome::Answered(_) if !is_sole_scheduler => {}
                CallOutcome::Answered(_) => {
                    server.record_latency(now_ms, elapsed_ms, call.expected_ms)
                }
                CallOutcome::Full => server.on_full(now_ms),
                CallOutcome::BackingOff(until_ms) => server.on_backoff(*until_ms),
                CallOutcome::Misdirected => server.is_excluded = true,
                CallOutcome::Unreachable | CallOutcome::Lost | CallOutcome::ServerEnded(_) => {
                    server.on_failure(now_ms);
                    let addr = server.addr;
                    let server = call.server.clone();
                    self.actions.push(StageAction::Probe { server, addr });
                }
            }
            match outcome {
                CallOutcome::Answered(_) | CallOutcome::Full => {
                    self.on_zone_response(now_ms, &zone);
                }
                CallOutcome::Unreachable => {
                    self.on_zone_failure(now_ms, &zone, &call.server);
                }
                CallOutcome::Lost
                | CallOutcome::BackingOff(_)
                | CallOutcome::Misdirected
                | CallOutcome::ServerEnded(_) => {}
            }
        }
        if let Some(service) = self.services.get_mut(&call.service) {
            service.use_any_if_no_other(now_ms);
        }
        match outcome {
            CallOutcome::Answered(items) => {
                for (index, waiting) in call.pieces.iter().enumerate() {
                    let item = items.get(index).unwrap_or(&ItemOutcome::Failed);
                    self.on_item_ended(now_ms, id, &call, waiting, item);
                }
            }
            CallOutcome::Full
            | CallOutcome::BackingOff(_)
            | CallOutcome::Misdirected
            | CallOutcome::Unreachable => {
                for waiting in &call.pieces {
                    self.release_memory(&call, waiting);
                    self.requeue_piece(now_ms, id, waiting, false);
                }
            }
            CallOutcome::Lost | CallOutcome::ServerEnded(_) => {
                if let CallOutcome::ServerEnded(crash_counts) = outcome {
                    self.on_crashes(now_ms, crash_counts);
                }
                for waiting in &call.pieces {
                    self.release_memory(&call, waiting);
                    self.requeue_piece(now_ms, id, waiting, true);
                }
            }
        }
    }

    /// Records how many servers have crashed under each request. Pieces of these
    /// requests are isolated from now on, and requests at the quarantine threshold are
    /// refused.
    fn on_crashes(&mut self, now_ms: u64, crash_counts: &[(RequestDigest, u32)]) {
        let mut refused: Vec<RequestKey> = Vec::new();
        for (key, request) in &mut self.requests {
            let digest = request.submission.digest;
            let Some((_, crashes)) = crash_counts.iter().find(|(crashed, _)| *crashed == digest)
            else {
                continue;
            };
            request.submission.ends = *crashes;
            self.suspects.insert(key.clone());
            if *crashes >= CRASHES_TO_QUARANTINE {
                refused.push(key.clone());
            }
        }
        for key in refused {
            self.refuse(now_ms, &key, Refusal::EndsServers);
        }
    }

    /// Returns which suspects have running pieces. There are hardly ever any.
    pub(super) fn isolation(&mut self) -> Isolation {
        let requests = &self.requests;
        self.suspects.retain(|key| requests.contains_key(key));
        if self.suspects.is_empty() {
            return Isolation::default();
        }
        Isolation::new(self.calls.values(), requests)
    }

    pub(super) fn start_call(&mut self, now_ms: u64, name: &PoolName, batch: Batch) {
        self.last_call_number += 1;
        let id = CallId(self.last_call_number);
        let items = batch.pieces.iter().filter_map(|waiting| {
            let request = self.requests.get_mut(&waiting.key)?;
            *request.piece_state_mut(waiting.piece_id)? = PieceState::Running(id);
            Some(call_item(now_ms, request, waiting.piece_id))
        });
        let items: Vec<CallItem> = items.collect();
        for waiting in &batch.pieces {
            self.record_fetch(now_ms, &waiting.key, waiting.piece_id.stage);
        }
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let expected_ms = service.batching.duration_ms(items.len());
        let Some(server) = service.servers.get_mut(&batch.server) else {
            return;
        };
        server.running_calls += 1;
        server.record_call(now_ms);
        service.running_pieces += items.len();
        self.actions.push(StageAction::Call(StageCall {
            id,
            service: name.clone(),
            server: batch.server.clone(),
            addr: server.addr,
            items,
            timeout_ms: CALL_TIMEOUT_MS,
        }));
        let call = RunningCall {
            service: name.clone(),
            server: batch.server,
            pieces: batch.pieces,
            started_at_ms: now_ms,
            expected_ms,
            is_overdue: false,
        };
        self.calls.insert(id, call);
    }

    pub(super) fn on_item_ended(
        &mut self,
        now_ms: u64,
        id: CallId,
        call: &RunningCall,
        waiting: &WaitingPiece,
        outcome: &ItemOutcome,
    ) {
        let handle = match outcome {
            ItemOutcome::Done(handle) => Some(handle),
            _ => None,
        };
        let Some(handle) = handle.filter(|handle| handle.len() <= MAX_HANDLE_BYTES) else {
            self.release_memory(call, waiting);
            match outcome {
                ItemOutcome::Late => self.refuse(now_ms, &waiting.key, Refusal::TooLate),
                ItemOutcome::InputGone => self.regenerate_inputs(now_ms, id, waiting),
                ItemOutcome::NoRoom => {
                    if let Some(server) = self.server_mut(call) {
                        server.on_memory_full(now_ms);
                    }
                    self.requeue_piece(now_ms, id, waiting, false);
                }
                ItemOutcome::Failed | ItemOutcome::Done(_) => {
                    self.requeue_piece(now_ms, id, waiting, true)
                }
            }
            return;
        };
        let Some(zone) = self.server_mut(call).map(|server| server.zone.clone()) else {
            // The server is no longer registered, so its result is lost.
            return self.requeue_piece(now_ms, id, waiting, true);
        };
        self.record_result(now_ms, call, waiting, handle);
        let unfinished_request = self.requests.get_mut(&waiting.key).filter(|request| {
            let piece = request.piece_state(waiting.piece_id);
            matches!(piece, Some(PieceState::Running(_) | PieceState::Waiting))
        });
        let Some(request) = unfinished_request else {
            // The request has ended, or has this result from another server.
            self.free(&call.service, &call.server, vec![handle.clone()]);
            return;
        };
        // The next stage may share batches again; a crash in it sets the count anew.
        request.submission.ends = 0;
        let admission_class = request.admission_class;
        let queue_key = request.queue_key(waiting.piece_id);
        let bytes = request.submission.stages[waiting.piece_id.stage].result_bytes;
        if let Some(piece) = request.piece_state_mut(waiting.piece_id) {
            *piece = PieceState::Done {
                server: call.server.clone(),
                result: ResultRef {
                    handle: handle.clone(),
                    zone,
                    bytes,
                },
            };
        }
        if let Some(service) = self.services.get_mut(&call.service) {
            service.committed.remove(admission_class, 1);
            service.on_piece_done(now_ms.saturating_sub(waiting.ready_at_ms) as f64);
            // The piece is still queued if its call was overdue.
            service.queue.take(&queue_key);
        }
        self.advance(now_ms, &waiting.key);
    }

    /// Queues a piece again. `may_have_run` is true if a server may have processed it,
    /// so that this counts as a repeat.
    pub(super) fn requeue_piece(
        &mut self,
        now_ms: u64,
        id: CallId,
        waiting: &WaitingPiece,
        may_have_run: bool,
    ) {
        let Some(request) = self.requests.get_mut(&waiting.key) else {
            return;
        };
        if request.piece_state(waiting.piece_id) != Some(&PieceState::Running(id)) {
            return;
        }
        if request.has_freed_inputs(waiting.piece_id.stage) {
            return self.regenerate_inputs(now_ms, id, waiting);
        }
        // Its inputs may have been lost while the call was running.
        let has_inputs = request.has_inputs(waiting.piece_id.stage);
        if let Some(piece) = request.piece_state_mut(waiting.piece_id) {
            *piece = if has_inputs {
                PieceState::Waiting
            } else {
                PieceState::Blocked
            };
        }
        request.repeats += u32::from(may_have_run);
        if request.repeats > MAX_REPEATS {
            return self.refuse(now_ms, &waiting.key, Refusal::Failed);
        }
        let stage = &request.submission.stages[waiting.piece_id.stage];
        let is_queued = has_inputs && !request.is_moving;
        if is_queued && let Some(service) = self.services.get_mut(&stage.service) {
            service
                .queue
                .add(request.queue_key(waiting.piece_id), waiting.clone());
        }
    }

    /// Queues the pieces of overdue calls for other servers.
    pub(super) fn repeat_overdue(&mut self, now_ms: u64) {
        let overdue: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| !call.is_overdue && call.overdue_at_ms() <= now_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            self.repeat_call(now_ms, id);
            self.on_overdue(now_ms, id);
        }
    }

    /// Judges the server of an overdue call, and its zone, by the time it has taken.
    fn on_overdue(&mut self, now_ms: u64, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (service, server) = (call.service.clone(), call.server.clone());
        let elapsed_ms = now_ms.saturating_sub(call.started_at_ms) as f64;
        let expected_ms = call.expected_ms;
        if !self.contention.is_sole_scheduler(now_ms) {
            return;
        }
        let Some(service) = self.services.get_mut(&service) else {
            return;
        };
        let Some(known) = service.servers.get_mut(&server) else {
            return;
        };
        known.record_latency(now_ms, elapsed_ms, expected_ms);
        let zone = known.zone.clone();
        service.use_any_if_no_other(now_ms);
        self.on_zone_failure(now_ms, &zone, &server);
    }

    /// Queues the pieces of a running call for other servers.
    pub(super) fn repeat_call(&mut self, now_ms: u64, id: CallId) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| !call.is_overdue) else {
            return;
        };
        if call.was_checked_late(now_ms) {
            self.contention.on_contention_sign(now_ms);
        }
        call.is_overdue = true;
        for waiting in call.pieces.clone() {
            self.requeue_piece(now_ms, id, &waiting, true);
        }
    }

    pub(super) fn server_mut(&mut self, call: &RunningCall) -> Option<&mut Server> {
        let service = self.services.get_mut(&call.service)?;
        service.servers.get_mut(&call.server)
    }

    pub(super) fn release_memory(&mut self, call: &RunningCall, waiting: &WaitingPiece) {
        if let Some(server) = self.server_mut(call) {
            server.used_memory_bytes = server
                .used_memory_bytes
                .saturating_sub(waiting.result_bytes);
        }
    }
}

impl RunningCall {
    pub(super) fn overdue_at_ms(&self) -> u64 {
        self.started_at_ms + (self.expected_ms * OVERDUE_FACTOR + OVERDUE_MARGIN_MS) as u64
    }

    /// Returns whether the call became overdue unnoticed, which means that this process
    /// stalled rather than the server.
    fn was_checked_late(&self, now_ms: u64) -> bool {
        !self.is_overdue && now_ms > self.overdue_at_ms() + STALL_THRESHOLD_MS
    }
}

fn call_item(now_ms: u64, request: &Request, piece_id: PieceId) -> CallItem {
    let inputs = request.inputs(piece_id.stage);
    let has_key = request.submission.stages[piece_id.stage].after.is_empty();
    CallItem {
        request: request.submission.request.clone(),
        digest: request.submission.digest,
        stage: piece_id.stage,
        piece: piece_id.piece,
        left_ms: request.deadline_at_ms.saturating_sub(now_ms),
        input: if has_key {
            ItemInput::Key(request.submission.piece_key.clone())
        } else {
            ItemInput::Results(inputs)
        },
    }
}
