//! Memory that an instance holds for its callers, and which of them give way when it is short.
//!
//! Every connection and every request has a holder, to which the bytes are charged that are kept
//! for it: buffers by their capacity, headers, bodies, responses. The sum of all is bounded. When
//! a charge does not fit, holders are evicted of which no backend server has the request: those
//! that have kept the most bytes for the longest time. A caller that sends its request without
//! delay is thus evicted after all that stop midway or send very slowly, however large they are.
//!
//! Requests that a server may have are never evicted. So that they can't take all memory, a part
//! of it is reserved for small holders.

use std::collections::BTreeMap;

/// Size up to which a holder is small, in bytes: an ordinary request or an idle connection.
const SMALL_BYTES: u64 = 32 << 10;
/// Part of the memory that only small holders may use, as its divisor.
const RESERVED_DIVISOR: u64 = 4;
/// Part of the requests that may come over connections with many requests, as its divisor.
const SHARED_DIVISOR: u64 = 2;
/// Time without progress after which a caller counts as one that does not read its response, in
/// ms. A caller at the end of a slow link reads at least some bytes within this time.
const STALLED_AFTER_MS: u64 = 1_000;

/// Identifies a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderState {
    /// A connection that has no request now.
    Waiting {
        /// Whether a request has come over the connection.
        has_served: bool,
    },
    /// A request whose body is arriving.
    Receiving,
    /// A request that a backend server may have, or a connection with requests.
    Serving,
    /// A connection whose caller reads nothing of a response.
    Stalled,
}

/// Kind of the connection that a request comes over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Multiplexing {
    /// One request at a time.
    None,
    /// Many requests at a time.
    Many,
}

/// Limits of the memory, and of what takes part of it or of the descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Maximum sum of the bytes held.
    pub max_bytes: u64,
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum number of requests.
    pub max_requests: usize,
}

/// Decision on a charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// The bytes are charged.
    Granted,
    /// Nothing is charged yet: other holders are about to release as much.
    Wait,
    /// Nothing is charged, and the holder is to be released.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    bytes: u64,
    state: HolderState,
    /// Time of the last change of state, in ms.
    since_ms: u64,
    is_evicted: bool,
    kind: HolderKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HolderKind {
    Connection,
    Request(Multiplexing),
}

impl Holder {
    fn is_evictable(&self, now_ms: u64) -> bool {
        !self.is_evicted
            && match self.state {
                HolderState::Waiting { .. } | HolderState::Receiving => true,
                HolderState::Serving => false,
                HolderState::Stalled => now_ms.saturating_sub(self.since_ms) >= STALLED_AFTER_MS,
            }
    }

    /// Returns whether a connection is closed with this holder.
    fn has_own_connection(&self) -> bool {
        match self.kind {
            HolderKind::Connection | HolderKind::Request(Multiplexing::None) => true,
            HolderKind::Request(Multiplexing::Many) => false,
        }
    }

    /// Returns the order in which holders are evicted for memory; the largest is the first.
    fn memory_rank(&self, now_ms: u64) -> (bool, u128) {
        let age_ms = u128::from(now_ms.saturating_sub(self.since_ms)) + 1;
        (self.bytes > SMALL_BYTES, u128::from(self.bytes) * age_ms)
    }

    /// Returns the order in which holders are evicted for their connection; the largest is the
    /// first.
    fn connection_rank(&self, now_ms: u64) -> (u8, u64) {
        let order = match self.state {
            HolderState::Waiting { has_served: false } => 3,
            HolderState::Stalled => 2,
            HolderState::Waiting { has_served: true } => 1,
            HolderState::Receiving | HolderState::Serving => 0,
        };
        (order, now_ms.saturating_sub(self.since_ms))
    }
}

/// Account of the memory held for callers.
#[derive(Debug)]
pub struct CallerMemory {
    limits: MemoryLimits,
    holders: BTreeMap<HolderId, Holder>,
    next_id: u64,
    held_bytes: u64,
    /// Part of `held_bytes` whose holders are evicted and have not been released.
    leaving_bytes: u64,
    connections: usize,
    requests: usize,
    multiplexed_requests: usize,
}

impl CallerMemory {
    /// Creates an account that holds nothing.
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            holders: BTreeMap::new(),
            next_id: 0,
            held_bytes: 0,
            leaving_bytes: 0,
            connections: 0,
            requests: 0,
            multiplexed_requests: 0,
        }
    }

    /// Returns the sum of the bytes held.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Returns the number of requests.
    pub fn requests(&self) -> usize {
        self.requests
    }

    /// Adds a connection. If there are too many, returns `None` and, if one can be evicted, adds
    /// it to `evicted`: there is room once it is released.
    pub fn connect(&mut self, now_ms: u64, evicted: &mut Vec<HolderId>) -> Option<HolderId> {
        if self.connections < self.limits.max_connections {
            self.connections += 1;
            let state = HolderState::Waiting { has_served: false };
            return Some(self.add(now_ms, state, HolderKind::Connection));
        }
        let candidates = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.has_own_connection() && holder.is_evictable(now_ms));
        let chosen = candidates.max_by_key(|(_, holder)| holder.connection_rank(now_ms));
        if let Some(id) = chosen.map(|(id, _)| *id) {
            self.evict(id, evicted);
        }
        None
    }

    /// Adds a request whose body is arriving. Returns `None` if there are too many. Connections
    /// with many requests together leave a part to all others.
    pub fn begin_request(&mut self, now_ms: u64, multiplexing: Multiplexing) -> Option<HolderId> {
        let max_multiplexed = self.limits.max_requests / SHARED_DIVISOR as usize;
        let is_full = self.requests >= self.limits.max_requests
            || (multiplexing == Multiplexing::Many && self.multiplexed_requests >= max_multiplexed);
        if is_full {
            return None;
        }
        self.requests += 1;
        if multiplexing == Multiplexing::Many {
            self.multiplexed_requests += 1;
        }
        let kind = HolderKind::Request(multiplexing);
        Some(self.add(now_ms, HolderState::Receiving, kind))
    }

    /// Returns whether a holder of `bytes` could ever be granted.
    pub fn can_hold(&self, bytes: u64) -> bool {
        bytes <= self.max_bytes_for(bytes)
    }

    /// Charges `bytes` to a holder if they fit. Holders that have to make room are added to
    /// `evicted`.
    pub fn charge(
        &mut self,
        now_ms: u64,
        id: HolderId,
        bytes: u64,
        evicted: &mut Vec<HolderId>,
    ) -> Charge {
        let Some(holder) = self.holders.get(&id).copied() else {
            return Charge::Refused;
        };
        if holder.is_evicted || !self.can_hold(holder.bytes + bytes) {
            return Charge::Refused;
        }
        let max_bytes = self.max_bytes_for(holder.bytes + bytes);
        if self.held_bytes + bytes <= max_bytes {
            self.add_bytes(id, bytes);
            return Charge::Granted;
        }
        if self.make_room(now_ms, (bytes, max_bytes), evicted) {
            let is_evicted = self.holders.get(&id).is_none_or(|holder| holder.is_evicted);
            return if is_evicted {
                Charge::Refused
            } else {
                Charge::Wait
            };
        }
        match holder.state {
            // What it holds is released when its server responds or its deadline passes.
            HolderState::Serving | HolderState::Stalled => Charge::Wait,
            HolderState::Waiting { .. } | HolderState::Receiving => Charge::Refused,
        }
    }

    /// Charges `bytes` that have been taken already. Holders that have to make room are added to
    /// `evicted`; the holder itself may be among them.
    pub fn take(&mut self, now_ms: u64, id: HolderId, bytes: u64, evicted: &mut Vec<HolderId>) {
        self.add_bytes(id, bytes);
        let held_bytes = self.holders.get(&id).map_or(0, |holder| holder.bytes);
        let max_bytes = self.max_bytes_for(held_bytes);
        self.make_room(now_ms, (0, max_bytes), evicted);
    }

    /// Takes back `bytes` of what was charged to a holder.
    pub fn uncharge(&mut self, id: HolderId, bytes: u64) {
        self.remove_bytes(id, bytes);
    }

    /// Takes an eviction back: a request came before the holder was released.
    pub fn keep(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id)
            && std::mem::take(&mut holder.is_evicted)
        {
            self.leaving_bytes -= holder.bytes;
        }
    }

    /// Changes the state of a holder.
    pub fn set_state(&mut self, now_ms: u64, id: HolderId, state: HolderState) {
        if let Some(holder) = self.holders.get_mut(&id)
            && holder.state != state
        {
            holder.state = state;
            holder.since_ms = now_ms;
        }
    }

    /// Removes a holder with all that was charged to it.
    pub fn release(&mut self, id: HolderId) {
        let Some(holder) = self.holders.remove(&id) else {
            return;
        };
        self.held_bytes -= holder.bytes;
        if holder.is_evicted {
            self.leaving_bytes -= holder.bytes;
        }
        match holder.kind {
            HolderKind::Connection => self.connections -= 1,
            HolderKind::Request(multiplexing) => {
                self.requests -= 1;
                if multiplexing == Multiplexing::Many {
                    self.multiplexed_requests -= 1;
                }
            }
        }
    }

    /// Returns the most bytes that may be held with a holder of `bytes` among them.
    fn max_bytes_for(&self, bytes: u64) -> u64 {
        if bytes <= SMALL_BYTES {
            self.limits.max_bytes
        } else {
            self.limits.max_bytes - self.limits.max_bytes / RESERVED_DIVISOR
        }
    }

    /// Evicts holders until `bytes` more fit below `max_bytes` once they are released. Returns
    /// whether that is so.
    fn make_room(
        &mut self,
        now_ms: u64,
        (bytes, max_bytes): (u64, u64),
        evicted: &mut Vec<HolderId>,
    ) -> bool {
        while self.held_bytes - self.leaving_bytes + bytes > max_bytes {
            let candidates = self
                .holders
                .iter()
                .filter(|(_, holder)| holder.bytes > 0 && holder.is_evictable(now_ms));
            let chosen = candidates.max_by_key(|(_, holder)| holder.memory_rank(now_ms));
            let Some(id) = chosen.map(|(id, _)| *id) else {
                return false;
            };
            self.evict(id, evicted);
        }
        true
    }

    fn evict(&mut self, id: HolderId, evicted: &mut Vec<HolderId>) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_evicted = true;
            self.leaving_bytes += holder.bytes;
            evicted.push(id);
        }
    }

    fn add(&mut self, now_ms: u64, state: HolderState, kind: HolderKind) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        let holder = Holder {
            bytes: 0,
            state,
            since_ms: now_ms,
            is_evicted: false,
            kind,
        };
        self.holders.insert(id, holder);
        id
    }

    fn add_bytes(&mut self, id: HolderId, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes += bytes;
            self.held_bytes += bytes;
            if holder.is_evicted {
                self.leaving_bytes += bytes;
            }
        }
    }

    fn remove_bytes(&mut self, id: HolderId, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let bytes = bytes.min(holder.bytes);
            holder.bytes -= bytes;
            self.held_bytes -= bytes;
            if holder.is_evicted {
                self.leaving_bytes -= bytes;
            }
        }
    }
}
