//! Chooses which waiting pieces go to which idle servers.
//!
//! A call costs the same time for one piece as for many, so pieces fill the
//! calls that are opened before another server is taken. There is no timer: a
//! batch fills while all servers are busy, and is sent at once when one is not.

use std::collections::HashMap;

use super::{
    isolation::{Company, Isolation, Suspicion},
    queue::{QueueOrder, Waiting},
    request::{MOST_RANK_MS, Request},
    service::{StageService, usable_room_bytes},
    work::RequestKey,
};
use crate::ids::{BackendName, ZoneName};

/// Bytes that have to be fetched for a piece from which it matters in which
/// availability zone it is made: at the platform's price of links, 100 KB cost
/// as much as a hundredth of a request of the least worth.
const MANY_BYTES: u64 = 100_000;

/// Pieces for one server.
#[derive(Debug)]
pub(super) struct Batch {
    pub(super) server: BackendName,
    pub(super) pieces: Vec<Waiting>,
}

/// Returns the requests of which a piece waits that can't make its goal even if
/// it is done in half of the usual time.
pub(super) fn late(
    now_ms: u64,
    service: &StageService,
    requests: &HashMap<RequestKey, Request>,
) -> Vec<RequestKey> {
    // No piece behind this place is late: its time is its goal without what
    // follows, and at most its rank later.
    let last_ms = now_ms + service.usual_ms as u64 / 2 + MOST_RANK_MS;
    let is_late = |waiting: &&Waiting| {
        requests.get(&waiting.key).is_some_and(|request| {
            let needed_ms = service.usual_ms as u64 + request.rest_ms[waiting.at.stage];
            now_ms + needed_ms / 2 > request.goal_at_ms
        })
    };
    let first = service.queue.iter();
    let first = first.take_while(|(order, _)| !order.is_late && order.time_ms <= last_ms);
    let late = first.map(|(_, waiting)| waiting).filter(is_late);
    late.map(|waiting| waiting.key.clone()).collect()
}

/// Distributes what waits for `service` over its idle servers, and takes it out
/// of the queue.
pub(super) fn fill(
    now_ms: u64,
    service: &mut StageService,
    requests: &mut HashMap<RequestKey, Request>,
    mut isolation: Isolation,
) -> Vec<Batch> {
    let mut calls = OpenCalls::new(now_ms, service);
    let half = service.batching.batch_pieces / 2;
    let call_ms = service.batching.duration_ms(half) as u64;
    let mut placed: Vec<QueueOrder> = Vec::new();
    for (order, waiting) in service.queue.iter() {
        if calls.are_full() {
            break;
        }
        let Some(request) = requests.get_mut(&waiting.key) else {
            continue;
        };
        let is_far_dear = request.fetched_bytes(waiting.at.stage) >= MANY_BYTES;
        let begin_by_ms = order.time_ms.saturating_sub(service.usual_ms as u64);
        let wanted = Wanted {
            zone: request.zone_of(waiting.at.stage).filter(|_| is_far_dear),
            can_wait: !order.is_late && begin_by_ms > now_ms + call_ms,
            bytes: waiting.bytes,
            suspicion: Suspicion::of(request),
        };
        let Some(index) = calls.place(&wanted, &isolation) else {
            continue;
        };
        isolation.place(&wanted.suspicion, index);
        let call = &mut calls.calls[index];
        call.room_used += waiting.bytes;
        call.pieces.push(waiting.clone());
        call.company.add(&wanted.suspicion);
        if is_far_dear && !request.is_pulled_home(waiting.at.stage) {
            request.zone = Some(call.zone.clone());
        }
        placed.push(*order);
    }
    for order in &placed {
        service.queue.take(order);
    }
    let filled = calls.calls.into_iter().filter(|c| !c.pieces.is_empty());
    let mut batches = Vec::new();
    for call in filled {
        if let Some(server) = service.servers.get_mut(&call.server) {
            server.room_used = call.room_used;
        }
        batches.push(Batch {
            server: call.server,
            pieces: call.pieces,
        });
    }
    batches
}

/// What a piece asks of its server.
struct Wanted<'a> {
    /// Availability zone where what it needs or who needs it is.
    zone: Option<&'a ZoneName>,
    /// Whether it has the time to wait for a server there.
    can_wait: bool,
    /// Size of its result, in bytes.
    bytes: u64,
    /// Whether servers have ended under its request.
    suspicion: Suspicion,
}

/// A call that an idle server could get.
struct OpenCall {
    server: BackendName,
    zone: ZoneName,
    /// Memory that results may take at the server, in bytes.
    room: u64,
    /// Memory that they take with those of this call, in bytes.
    room_used: u64,
    pieces: Vec<Waiting>,
    company: Company,
}

/// A call for each idle server.
struct OpenCalls {
    calls: Vec<OpenCall>,
    batch_pieces: usize,
    /// Availability zones of the servers that take work at all.
    zones: Vec<ZoneName>,
}

impl OpenCalls {
    fn new(now_ms: u64, service: &StageService) -> Self {
        let mut zones: Vec<ZoneName> = Vec::new();
        let mut calls = Vec::new();
        for (name, server) in &service.servers {
            if server.is_open(now_ms) && !zones.contains(&server.zone) {
                zones.push(server.zone.clone());
            }
            if server.is_idle(now_ms) {
                calls.push(OpenCall {
                    server: name.clone(),
                    zone: server.zone.clone(),
                    room: server.room(now_ms, service.batching.room_bytes),
                    room_used: server.room_used,
                    pieces: Vec::new(),
                    company: Company::new(service.batching.batch_pieces),
                });
            }
        }
        Self {
            calls,
            batch_pieces: service.batching.batch_pieces,
            zones,
        }
    }

    /// Tells whether no call takes another piece.
    fn are_full(&self) -> bool {
        let mut calls = self.calls.iter();
        calls.all(|call| call.pieces.len() >= self.batch_pieces)
    }

    /// Chooses the call of a piece: one that is being filled in the wanted zone,
    /// that of an idle server there, then the same anywhere, unless the piece can
    /// wait for one in the wanted zone.
    fn place(&self, wanted: &Wanted<'_>, isolation: &Isolation) -> Option<usize> {
        let in_zone = wanted
            .zone
            .and_then(|zone| self.best(wanted, Some(zone), isolation));
        if in_zone.is_some() {
            return in_zone;
        }
        let waits = wanted.can_wait && wanted.zone.is_some_and(|zone| self.zones.contains(zone));
        if waits {
            return None;
        }
        self.best(wanted, None, isolation)
    }

    fn best(
        &self,
        wanted: &Wanted<'_>,
        zone: Option<&ZoneName>,
        isolation: &Isolation,
    ) -> Option<usize> {
        let suspicion = &wanted.suspicion;
        let fits = |(index, call): &(usize, &OpenCall)| {
            let is_begun = !call.pieces.is_empty();
            call.company.takes(is_begun, suspicion)
                && isolation.allows(suspicion, *index)
                && call.pieces.len() < self.batch_pieces
                && call.room_used + wanted.bytes <= usable_room_bytes(call.room, wanted.bytes)
                && zone.is_none_or(|zone| *zone == call.zone)
        };
        let fitting = self.calls.iter().enumerate().filter(fits);
        // Those that are being filled first, then the one with the most room.
        fitting
            .min_by_key(|(_, call)| match call.pieces.is_empty() {
                true => (true, call.room_used),
                false => (false, 0),
            })
            .map(|(index, _)| index)
    }
}
