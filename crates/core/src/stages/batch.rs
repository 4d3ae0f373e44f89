//! Chooses which waiting pieces go to which idle servers.
//!
//! A call costs the same time for one piece as for many, so pieces fill the
//! calls that are opened before another server is taken. There is no timer: a
//! batch fills while all servers are busy, and is sent at once when one is not.

use std::collections::{BTreeMap, HashMap};

use super::{
    request::{PieceAt, Request},
    service::{StageService, Waiting},
    work::RequestKey,
};
use crate::ids::{BackendName, ZoneName};

/// Bytes that have to be fetched for a piece from which it matters in which
/// availability zone it is made: at the platform's price of links, 100 KB cost
/// as much as a hundredth of a request of the least worth.
const MANY_BYTES: u64 = 100_000;

/// Time by which the pieces of a request of one rank less go later than they
/// have to, in ms: half of a call, so that among requests that came together
/// the more urgent fill the next call.
const RANK_MS: u64 = 150;

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
    let is_late = |piece: &&Waiting| {
        requests.get(&piece.key).is_some_and(|request| {
            let needed_ms = service.usual_ms as u64 + request.rest_ms[piece.at.stage];
            !request.is_late && now_ms + needed_ms / 2 > request.goal_at_ms
        })
    };
    let late = service.waiting.iter().filter(is_late);
    late.map(|piece| piece.key.clone()).collect()
}

/// Distributes what waits for `service` over its idle servers, and takes it out
/// of the queue.
pub(super) fn fill(
    now_ms: u64,
    service: &mut StageService,
    requests: &mut HashMap<RequestKey, Request>,
) -> Vec<Batch> {
    let mut idle: Vec<BackendName> = service
        .servers
        .iter()
        .filter(|(_, server)| server.is_idle(now_ms))
        .map(|(name, _)| name.clone())
        .collect();
    if idle.is_empty() || service.waiting.is_empty() {
        return Vec::new();
    }
    let mut waiting = std::mem::take(&mut service.waiting);
    waiting.sort_by_cached_key(|piece| order(service.usual_ms, piece, requests));
    let mut open: BTreeMap<BackendName, Vec<Waiting>> = BTreeMap::new();
    let half = service.batching.batch_pieces / 2;
    let call_ms = service.batching.duration_ms(half) as u64;
    for piece in waiting {
        let Some(request) = requests.get_mut(&piece.key) else {
            continue;
        };
        let is_far_dear = request.fetched_bytes(piece.at.stage) >= MANY_BYTES;
        let due_ms = due_ms(service.usual_ms, request, piece.at);
        let wanted = Wanted {
            zone: request.zone.as_ref().filter(|_| is_far_dear),
            can_wait: due_ms > now_ms + call_ms,
            bytes: piece.bytes,
        };
        match place(now_ms, service, &mut idle, &open, &wanted) {
            Some(name) => {
                if let Some(server) = service.servers.get_mut(&name) {
                    server.room_used += piece.bytes;
                    if is_far_dear {
                        request.zone = Some(server.zone.clone());
                    }
                }
                open.entry(name).or_default().push(piece);
            }
            None => service.waiting.push(piece),
        }
    }
    open.into_iter()
        .map(|(server, pieces)| Batch { server, pieces })
        .collect()
}

/// Returns the latest time at which a piece has to begin for its request to
/// make its goal, in ms.
fn due_ms(usual_ms: f64, request: &Request, at: PieceAt) -> u64 {
    let needed_ms = usual_ms as u64 + request.rest_ms[at.stage];
    let rank_ms = u64::from(request.submission.priority) * RANK_MS;
    (request.goal_at_ms + rank_ms).saturating_sub(needed_ms)
}

/// Orders the pieces of a queue: those that can still make their goal by the
/// latest time at which they have to begin, then the others by their deadline.
fn order(
    usual_ms: f64,
    piece: &Waiting,
    requests: &HashMap<RequestKey, Request>,
) -> (bool, u64, RequestKey, PieceAt) {
    let Some(request) = requests.get(&piece.key) else {
        return (true, u64::MAX, piece.key.clone(), piece.at);
    };
    let due_ms = if request.is_late {
        request.deadline_at_ms
    } else {
        due_ms(usual_ms, request, piece.at)
    };
    (request.is_late, due_ms, piece.key.clone(), piece.at)
}

/// What a piece asks of its server.
struct Wanted<'a> {
    /// Availability zone where what it needs or who needs it is.
    zone: Option<&'a ZoneName>,
    /// Whether it has the time to wait for a server there.
    can_wait: bool,
    /// Size of its result, in bytes.
    bytes: u64,
}

/// Chooses a server for a piece: a call that is being filled in the wanted
/// zone, an idle server there, then the same anywhere, unless it can wait for
/// one in the wanted zone.
fn place(
    now_ms: u64,
    service: &StageService,
    idle: &mut Vec<BackendName>,
    open: &BTreeMap<BackendName, Vec<Waiting>>,
    wanted: &Wanted<'_>,
) -> Option<BackendName> {
    let has_room = |name: &BackendName| {
        let server = &service.servers[name];
        let room = server.room(now_ms, service.usable_room_bytes());
        server.room_used + wanted.bytes <= room
            && open
                .get(name)
                .is_none_or(|pieces| pieces.len() < service.batching.batch_pieces)
    };
    let is_wanted = |name: &BackendName| {
        let zone = &service.servers[name].zone;
        wanted.zone.is_none_or(|wanted| wanted == zone)
    };
    let filling = |is_right: &dyn Fn(&BackendName) -> bool| {
        open.keys()
            .find(|name| is_right(name) && has_room(name))
            .cloned()
    };
    let fresh = |idle: &mut Vec<BackendName>, is_right: &dyn Fn(&BackendName) -> bool| {
        let index = idle
            .iter()
            .enumerate()
            .filter(|(_, name)| is_right(name) && has_room(name))
            .min_by_key(|(_, name)| service.servers[*name].room_used)
            .map(|(index, _)| index)?;
        Some(idle.swap_remove(index))
    };
    if let Some(name) = filling(&is_wanted).or_else(|| fresh(idle, &is_wanted)) {
        return Some(name);
    }
    let mut servers = service.servers.values();
    let has_wanted = wanted
        .zone
        .is_some_and(|zone| servers.any(|server| server.is_open(now_ms) && server.zone == *zone));
    if wanted.can_wait && has_wanted {
        return None;
    }
    let anywhere = |_: &BackendName| true;
    filling(&anywhere).or_else(|| fresh(idle, &anywhere))
}
