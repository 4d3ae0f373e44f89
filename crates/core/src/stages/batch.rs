//! Chooses which waiting pieces go to which idle servers.
//!
//! A call costs the same time for one piece as for many, so pieces fill the
//! calls that are opened before another server is taken. There is no timer: a
//! batch fills while all servers are busy, and is sent at once when one is not.

use std::collections::HashMap;

use super::{
    isolation::{CrashCount, Isolation, SuspectGroup},
    queue::{QueueKey, WaitingPiece},
    request::{MAX_RANK_DELAY_MS, Request},
    service::{StageService, usable_memory_bytes},
    types::RequestKey,
};
use crate::ids::{BackendName, ZoneName};

/// Bytes that have to be fetched for a piece from which it matters in which
/// availability zone it is made: at the platform's price of links, 100 KB cost
/// as much as a hundredth of a request of the least worth.
const LARGE_TRANSFER_BYTES: u64 = 100_000;

/// Pieces for one server.
#[derive(Debug)]
pub(super) struct Batch {
    pub(super) server: BackendName,
    pub(super) pieces: Vec<WaitingPiece>,
}

/// Returns the requests of which a piece waits that can't make its goal even if
/// it is done in half of the usual time.
pub(super) fn requests_missing_goal(
    now_ms: u64,
    service: &StageService,
    requests: &HashMap<RequestKey, Request>,
) -> Vec<RequestKey> {
    // No piece behind this place is late: its time is its goal without what
    // follows, and at most its rank later.
    let last_ms = now_ms + service.mean_latency_ms as u64 / 2 + MAX_RANK_DELAY_MS;
    let is_late = |waiting: &&WaitingPiece| {
        requests.get(&waiting.key).is_some_and(|request| {
            let needed_ms =
                service.mean_latency_ms as u64 + request.rest_ms[waiting.piece_id.stage];
            now_ms + needed_ms / 2 > request.goal_at_ms
        })
    };
    let first = service.queue.iter();
    let first = first.take_while(|(key, _)| !key.is_late && key.sort_ms <= last_ms);
    let late = first.map(|(_, waiting)| waiting).filter(is_late);
    late.map(|waiting| waiting.key.clone()).collect()
}

/// Distributes what waits for `service` over its idle servers, and takes it out
/// of the queue.
pub(super) fn assign_batches(
    now_ms: u64,
    service: &mut StageService,
    requests: &mut HashMap<RequestKey, Request>,
    mut isolation: Isolation,
) -> Vec<Batch> {
    let mut open = OpenBatches::new(now_ms, service);
    let half = service.batching.batch_pieces / 2;
    let half_batch_ms = service.batching.duration_ms(half) as u64;
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
            crash_count: CrashCount::of(request),
        };
        let Some(index) = open.choose(&requirements, &isolation) else {
            continue;
        };
        isolation.assign(&requirements.crash_count, index);
        let open_batch = &mut open.batches[index];
        open_batch.used_memory_bytes += waiting.result_bytes;
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

/// What a piece asks of its server.
struct PieceRequirements<'a> {
    /// Availability zone where what it needs or who needs it is.
    zone: Option<&'a ZoneName>,
    /// Whether it has the time to wait for a server there.
    can_wait: bool,
    /// Size of its result, in bytes.
    result_bytes: u64,
    /// Whether servers have ended under its request.
    crash_count: CrashCount,
}

/// A call that an idle server could get.
struct OpenBatch {
    server: BackendName,
    zone: ZoneName,
    /// Memory that results may take at the server, in bytes.
    memory_bytes: u64,
    /// Memory that they take with those of this call, in bytes.
    used_memory_bytes: u64,
    pieces: Vec<WaitingPiece>,
    suspects: SuspectGroup,
}

/// A call for each idle server.
struct OpenBatches {
    batches: Vec<OpenBatch>,
    batch_pieces: usize,
    /// Availability zones of the servers that take work at all.
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

    /// Tells whether no call takes another piece.
    fn are_full(&self) -> bool {
        let mut batches = self.batches.iter();
        batches.all(|open_batch| open_batch.pieces.len() >= self.batch_pieces)
    }

    /// Chooses the call of a piece: one that is being filled in the wanted zone,
    /// that of an idle server there, then the same anywhere, unless the piece can
    /// wait for one in the wanted zone.
    fn choose(&self, requirements: &PieceRequirements<'_>, isolation: &Isolation) -> Option<usize> {
        let in_zone = requirements
            .zone
            .and_then(|zone| self.best_fit(requirements, Some(zone), isolation));
        if in_zone.is_some() {
            return in_zone;
        }
        let waits = requirements.can_wait
            && requirements
                .zone
                .is_some_and(|zone| self.zones.contains(zone));
        if waits {
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
            open_batch.suspects.accepts(is_begun, crash_count)
                && isolation.allows(crash_count, *index)
                && open_batch.pieces.len() < self.batch_pieces
                && open_batch.used_memory_bytes + requirements.result_bytes
                    <= usable_memory_bytes(open_batch.memory_bytes, requirements.result_bytes)
                && zone.is_none_or(|zone| *zone == open_batch.zone)
        };
        let fitting = self.batches.iter().enumerate().filter(fits);
        // Those that are being filled first, then the one with the most room.
        fitting
            .min_by_key(|(_, open_batch)| match open_batch.pieces.is_empty() {
                true => (true, open_batch.used_memory_bytes),
                false => (false, 0),
            })
            .map(|(index, _)| index)
    }
}
