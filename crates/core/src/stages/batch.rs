//! Assigns waiting pieces to idle servers.
//!
//! Most of a call's cost is fixed, so open batches are filled before another server
//! gets one. There is no batching timer: a batch grows while all servers are busy, and
//! is sent at once when one is idle.

use std::collections::HashMap;

use super::{
    isolation::{CrashCount, Isolation, SuspectGroup},
    queue::{QueueKey, WaitingPiece},
    request::{MAX_RANK_DELAY_MS, Request},
    service::{StageService, usable_memory_bytes},
    types::RequestKey,
};
use crate::ids::{BackendName, ZoneName};

/// Transfer size of a piece, in bytes, from which its availability zone matters: at the
/// platform's price for cross-zone traffic, 100 KB cost a hundredth of the value of the
/// cheapest request.
const LARGE_TRANSFER_BYTES: u64 = 100_000;

/// Most bytes of keys and handles that one call names, unless it has a single piece. Callers
/// choose the length of their keys, and a call to each server of all services is held at once.
const MAX_CALL_NAMED_BYTES: usize = 256 << 10;

/// The pieces assigned to one server.
#[derive(Debug)]
pub(super) struct Batch {
    pub(super) server: BackendName,
    pub(super) pieces: Vec<WaitingPiece>,
}

/// Returns the requests with a waiting piece that would miss their goal even if the
/// stage took half its mean latency.
pub(super) fn requests_missing_goal(
    now_ms: u64,
    service: &StageService,
    requests: &HashMap<RequestKey, Request>,
) -> Vec<RequestKey> {
    // Entries behind this one are not late: their sort time is the goal minus the time
    // of the following stages, plus at most the maximum rank delay.
    let last_ms = now_ms + service.mean_latency_ms as u64 / 2 + MAX_RANK_DELAY_MS;
    let is_late = |waiting: &&WaitingPiece| {
        requests.get(&waiting.key).is_some_and(|request| {
            let needed_ms =
                service.mean_latency_ms as u64 + request.rest_ms[waiting.piece_id.stage];
            now_ms + needed_ms / 2 > request.goal_at_ms
        })
    };
    let first = service.queue.iter();
    let first =
        first.take_while(|(queue_key, _)| !queue_key.is_late && queue_key.sort_ms <= last_ms);
    let late = first.map(|(_, waiting)| waiting).filter(is_late);
    late.map(|waiting| waiting.key.clone()).collect()
}

/// Assigns the pieces waiting for `service` to its idle servers and removes them from
/// the queue.
pub(super) fn assign_batches(
    now_ms: u64,
    service: &mut StageService,
    requests: &mut HashMap<RequestKey, Request>,
    mut isolation: Isolation,
) -> Vec<Batch> {
    let mut open = OpenBatches::new(now_ms, service);
    let half_batch_pieces = service.batching.batch_pieces / 2;
    let half_batch_ms = service.batching.duration_ms(half_batch_pieces) as u64;
    let mut assigned: Vec<QueueKey> = Vec::new();
    for (queue_key, waiting) in service.queue.iter() {
        if open.are_full() {
            break;
        }
        let Some(request) = requests.get_mut(&waiting.key) else {
            continue;
        };
        let is_transfer_large =
            request.transfer_bytes(waiting.piece_id.stage) >= LARGE_TRANSFER_BYTES;
        let latest_start_ms = queue_key
            .sort_ms
            .saturating_sub(service.mean_latency_ms as u64);
        let requirements = PieceRequirements {
            zone: request
                .preferred_zone(waiting.piece_id.stage)
                .filter(|_| is_transfer_large),
            can_wait: !queue_key.is_late && latest_start_ms > now_ms + half_batch_ms,
            result_bytes: waiting.result_bytes,
            named_bytes: request.named_bytes(waiting.piece_id.stage),
            crash_count: CrashCount::of(request),
        };
        let Some(index) = open.choose(&requirements, &isolation) else {
            continue;
        };
        isolation.assign(&requirements.crash_count, index);
        let open_batch = &mut open.batches[index];
        open_batch.used_memory_bytes += waiting.result_bytes;
        open_batch.named_bytes += requirements.named_bytes;
        open_batch.pieces.push(waiting.clone());
        open_batch.suspects.add(&requirements.crash_count);
        if is_transfer_large && !request.prefers_home_zone(waiting.piece_id.stage) {
            request.intermediate_zone = Some(open_batch.zone.clone());
        }
        assigned.push(*queue_key);
    }
    for queue_key in &assigned {
        service.queue.take(queue_key);
    }
    let filled = open
        .batches
        .into_iter()
        .filter(|open_batch| !open_batch.pieces.is_empty());
    let mut batches = Vec::new();
    for open_batch in filled {
        if let Some(server) = service.servers.get_mut(&open_batch.server) {
            server.used_memory_bytes = open_batch.used_memory_bytes;
        }
        batches.push(Batch {
            server: open_batch.server,
            pieces: open_batch.pieces,
        });
    }
    batches
}

/// What a piece requires of its server.
struct PieceRequirements<'a> {
    /// Availability zone that holds its inputs or needs its result.
    zone: Option<&'a ZoneName>,
    /// Whether it can wait for a server in that zone and still make its goal.
    can_wait: bool,
    result_bytes: u64,
    /// Size of its key, or of the handles of its inputs, in bytes.
    named_bytes: usize,
    /// Crash count of its request, which decides on isolation.
    crash_count: CrashCount,
}

/// The batch being filled for an idle server.
struct OpenBatch {
    server: BackendName,
    zone: ZoneName,
    /// Memory available for results at the server, in bytes.
    memory_bytes: u64,
    /// Memory used there, including the results of this batch, in bytes.
    used_memory_bytes: u64,
    /// Size of the keys and handles that its pieces name, in bytes.
    named_bytes: usize,
    pieces: Vec<WaitingPiece>,
    suspects: SuspectGroup,
}

/// One open batch per idle server.
struct OpenBatches {
    batches: Vec<OpenBatch>,
    batch_pieces: usize,
    /// Availability zones with at least one available server.
    zones: Vec<ZoneName>,
}

impl OpenBatches {
    fn new(now_ms: u64, service: &StageService) -> Self {
        let mut zones: Vec<ZoneName> = Vec::new();
        let mut batches = Vec::new();
        for (name, server) in &service.servers {
            if server.is_available(now_ms) && !zones.contains(&server.zone) {
                zones.push(server.zone.clone());
            }
            if server.is_idle(now_ms) {
                batches.push(OpenBatch {
                    server: name.clone(),
                    zone: server.zone.clone(),
                    memory_bytes: server.memory_bytes(now_ms, service.batching.room_bytes),
                    used_memory_bytes: server.used_memory_bytes,
                    named_bytes: 0,
                    pieces: Vec::new(),
                    suspects: SuspectGroup::new(service.batching.batch_pieces),
                });
            }
        }
        Self {
            batches,
            batch_pieces: service.batching.batch_pieces,
            zones,
        }
    }

    /// Returns whether no batch accepts another piece.
    fn are_full(&self) -> bool {
        let mut batches = self.batches.iter();
        batches.all(|open_batch| open_batch.pieces.len() >= self.batch_pieces)
    }

    /// Chooses the batch for a piece: first one in the required zone, then one in any
    /// zone, unless the piece can wait for a server in the required zone. Started
    /// batches come before empty ones.
    fn choose(&self, requirements: &PieceRequirements<'_>, isolation: &Isolation) -> Option<usize> {
        let in_zone = requirements
            .zone
            .and_then(|zone| self.best_fit(requirements, Some(zone), isolation));
        if in_zone.is_some() {
            return in_zone;
        }
        let waits_for_zone = requirements.can_wait
            && requirements
                .zone
                .is_some_and(|zone| self.zones.contains(zone));
        if waits_for_zone {
            return None;
        }
        self.best_fit(requirements, None, isolation)
    }

    fn best_fit(
        &self,
        requirements: &PieceRequirements<'_>,
        zone: Option<&ZoneName>,
        isolation: &Isolation,
    ) -> Option<usize> {
        let crash_count = &requirements.crash_count;
        let fits = |(index, open_batch): &(usize, &OpenBatch)| {
            let is_begun = !open_batch.pieces.is_empty();
            let named_bytes = open_batch.named_bytes + requirements.named_bytes;
            (!is_begun || named_bytes <= MAX_CALL_NAMED_BYTES)
                && open_batch.suspects.accepts(is_begun, crash_count)
                && isolation.allows(crash_count, *index)
                && open_batch.pieces.len() < self.batch_pieces
                && open_batch.used_memory_bytes + requirements.result_bytes
                    <= usable_memory_bytes(open_batch.memory_bytes, requirements.result_bytes)
                && zone.is_none_or(|zone| *zone == open_batch.zone)
        };
        let fitting = self.batches.iter().enumerate().filter(fits);
        // Started batches first, then the server with the least used memory.
        fitting
            .min_by_key(|(_, open_batch)| match open_batch.pieces.is_empty() {
                true => (true, open_batch.used_memory_bytes),
                false => (false, 0),
            })
            .map(|(index, _)| index)
    }
}
