//! The account of the memory held for callers, shared by all connections of an instance.

use std::{
    collections::HashMap,
    fmt,
    sync::{Arc, Mutex, MutexGuard, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use metrics::Gauge;
use savoryvane_core::caller_memory::{
    CallerMemory, Charge, HolderId, HolderState, MemoryLimits, Multiplexing,
};
use slog::{Logger, info};
use tokio::{
    sync::Notify,
    time::{self, Instant},
};

use crate::{clock::Clock, lock::lock};

/// Interval after which a charge that waits is tried again, so that callers that have stopped
/// reading meanwhile make room.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two log lines on evictions.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A charge was refused, or the holder was evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Evicted;

/// Memory held for the callers of an instance.
#[derive(Debug)]
pub(crate) struct SharedMemory {
    /// Listener that it is for, in logs and metrics.
    listener: &'static str,
    log: Logger,
    clock: Clock,
    state: Mutex<State>,
    /// Notified when a holder is released.
    released: Notify,
    /// Created with the first connection, when the metrics recorder is installed.
    gauges: OnceLock<Gauges>,
}

/// Metrics that every charge sets; looking them up each time takes longer than the charge.
struct Gauges {
    held_bytes: Gauge,
    connections: Gauge,
}

impl fmt::Debug for Gauges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gauges").finish_non_exhaustive()
    }
}

#[derive(Debug)]
struct State {
    account: CallerMemory,
    /// Notified when their holder is evicted.
    evictions: HashMap<HolderId, Arc<Notify>>,
    evicted_since_log: u64,
    logged_at: Option<Instant>,
}

impl SharedMemory {
    /// Creates an account that holds nothing, for the callers of `listener`.
    pub(crate) fn new(
        listener: &'static str,
        log: Logger,
        clock: Clock,
        limits: MemoryLimits,
    ) -> Arc<Self> {
        Arc::new(Self {
            listener,
            log,
            clock,
            state: Mutex::new(State {
                account: CallerMemory::new(limits),
                evictions: HashMap::new(),
                evicted_since_log: 0,
                logged_at: None,
            }),
            released: Notify::new(),
            gauges: OnceLock::new(),
        })
    }

    /// Adds a connection. If there are too many, evicts one and waits until it is released; returns
    /// `None` if none can be evicted.
    pub(crate) async fn add_connection(self: &Arc<Self>) -> Option<Held> {
        loop {
            let released = self.released.notified();
            tokio::pin!(released);
            released.as_mut().enable();
            let mut evicted = Vec::new();
            let added = {
                let mut state = self.lock();
                let added = state.account.connect(self.clock.now_ms(), &mut evicted);
                self.on_evicted(&mut state, &evicted);
                added.map(|id| self.held(&mut state, id))
            };
            if added.is_some() || evicted.is_empty() {
                return added;
            }
            // An evicted holder is released within one turn of its task.
            let _ = time::timeout(RETRY_INTERVAL, released).await;
        }
    }

    /// Adds a request. Returns `None` if there are too many.
    pub(crate) fn add_request(self: &Arc<Self>, multiplexing: Multiplexing) -> Option<Held> {
        let mut state = self.lock();
        let now_ms = self.clock.now_ms();
        let id = state.account.begin_request(now_ms, multiplexing)?;
        Some(self.held(&mut state, id))
    }

    fn held(self: &Arc<Self>, state: &mut State, id: HolderId) -> Held {
        let eviction = Arc::new(Notify::new());
        state.evictions.insert(id, Arc::clone(&eviction));
        self.publish(state);
        Held {
            memory: Arc::clone(self),
            id,
            eviction,
        }
    }

    fn on_evicted(&self, state: &mut State, evicted: &[HolderId]) {
        for id in evicted {
            if let Some(eviction) = state.evictions.get(id) {
                eviction.notify_one();
            }
        }
        if evicted.is_empty() {
            return;
        }
        let count = evicted.len() as u64;
        metrics::counter!("savoryvane_callers_evicted_total", "listener" => self.listener)
            .increment(count);
        state.evicted_since_log += count;
        if state
            .logged_at
            .is_none_or(|at| at.elapsed() >= LOG_INTERVAL)
        {
            state.logged_at = Some(Instant::now());
            let account = &state.account;
            info!(self.log, "callers evicted"; "listener" => self.listener, "count" => state.evicted_since_log,
                "held_bytes" => account.held_bytes(), "connections" => account.connections(),
                "requests" => account.requests());
            state.evicted_since_log = 0;
        }
    }

    fn publish(&self, state: &State) {
        let gauges = self.gauges.get_or_init(|| Gauges {
            held_bytes: metrics::gauge!("savoryvane_caller_memory_bytes",
                "listener" => self.listener),
            connections: metrics::gauge!("savoryvane_caller_connections",
                "listener" => self.listener),
        });
        gauges.held_bytes.set(state.account.held_bytes() as f64);
        gauges.connections.set(state.account.connections() as f64);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

/// A holder; released when dropped.
#[derive(Debug)]
pub(crate) struct Held {
    memory: Arc<SharedMemory>,
    id: HolderId,
    eviction: Arc<Notify>,
}

impl Held {
    /// Returns the account that this is part of.
    pub(crate) fn memory(&self) -> &Arc<SharedMemory> {
        &self.memory
    }

    /// Charges `bytes`, waiting while others that were evicted are released.
    ///
    /// # Errors
    ///
    /// Returns [`Evicted`] if they don't fit.
    async fn charge(&self, bytes: u64) -> Result<(), Evicted> {
        loop {
            let released = self.memory.released.notified();
            tokio::pin!(released);
            released.as_mut().enable();
            match self.try_charge(bytes) {
                Charge::Granted => return Ok(()),
                Charge::Refused => return Err(Evicted),
                Charge::Wait => {}
            }
            let _ = time::timeout(RETRY_INTERVAL, released).await;
        }
    }

    fn try_charge(&self, bytes: u64) -> Charge {
        let mut evicted = Vec::new();
        let mut state = self.memory.lock();
        let now_ms = self.memory.clock.now_ms();
        let charge = state.account.charge(now_ms, self.id, bytes, &mut evicted);
        self.memory.on_evicted(&mut state, &evicted);
        self.memory.publish(&state);
        charge
    }

    /// Returns whether a holder of `bytes` could ever be granted.
    pub(crate) fn can_hold(&self, bytes: u64) -> bool {
        self.memory.lock().account.can_hold(bytes)
    }

    /// Charges `bytes` that have been taken already.
    pub(crate) fn take(&self, bytes: u64) {
        let mut evicted = Vec::new();
        let mut state = self.memory.lock();
        let now_ms = self.memory.clock.now_ms();
        state.account.take(now_ms, self.id, bytes, &mut evicted);
        self.memory.on_evicted(&mut state, &evicted);
        self.memory.publish(&state);
    }

    /// Takes back `bytes` of what was charged.
    pub(crate) fn uncharge(&self, bytes: u64) {
        self.memory.lock().account.uncharge(self.id, bytes);
        self.memory.released.notify_waiters();
    }

    /// Takes an eviction back.
    pub(crate) fn keep(&self) {
        self.memory.lock().account.keep(self.id);
        self.memory.released.notify_waiters();
    }

    /// Changes the state.
    pub(crate) fn set_state(&self, state: HolderState) {
        let now_ms = self.memory.clock.now_ms();
        self.memory.lock().account.set_state(now_ms, self.id, state);
    }

    /// Waits until this is evicted. Only one task may wait.
    pub(crate) async fn evicted(&self) {
        self.eviction.notified().await;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.account.release(self.id);
        state.evictions.remove(&self.id);
        self.memory.publish(&state);
        drop(state);
        self.memory.released.notify_waiters();
    }
}

/// Bytes that are charged to a holder until this is dropped.
#[derive(Debug)]
pub(crate) struct MemoryCharge {
    held: Arc<Held>,
    bytes: u64,
}

impl MemoryCharge {
    /// Charges nothing to `held` yet.
    pub(crate) fn new(held: &Arc<Held>) -> Self {
        Self {
            held: Arc::clone(held),
            bytes: 0,
        }
    }

    /// Returns whether a holder of `bytes` could ever be granted.
    pub(crate) fn can_hold(&self, bytes: u64) -> bool {
        self.held.can_hold(bytes)
    }

    /// Charges `bytes` more, waiting while others that were evicted are released.
    ///
    /// # Errors
    ///
    /// Returns [`Evicted`] if they don't fit.
    pub(crate) async fn grow(&mut self, bytes: u64) -> Result<(), Evicted> {
        self.held.charge(bytes).await?;
        self.bytes += bytes;
        Ok(())
    }

    /// Charges `bytes` more without waiting until others that were evicted are released.
    ///
    /// # Errors
    ///
    /// Returns [`Evicted`] if they don't fit.
    pub(crate) fn grow_at_once(&mut self, bytes: u64) -> Result<(), Evicted> {
        match self.held.try_charge(bytes) {
            Charge::Granted => self.bytes += bytes,
            Charge::Wait => self.take(bytes),
            Charge::Refused => return Err(Evicted),
        }
        Ok(())
    }

    /// Charges `bytes` more if they fit now.
    ///
    /// # Errors
    ///
    /// Returns [`Evicted`] if they don't fit.
    pub(crate) fn try_grow(&mut self, bytes: u64) -> Result<(), Evicted> {
        match self.held.try_charge(bytes) {
            Charge::Granted => {
                self.bytes += bytes;
                Ok(())
            }
            Charge::Wait | Charge::Refused => Err(Evicted),
        }
    }

    /// Charges `bytes` more, which have been taken already.
    pub(crate) fn take(&mut self, bytes: u64) {
        self.held.take(bytes);
        self.bytes += bytes;
    }

    /// Returns `bytes` such that they stay charged until the last reference to them is dropped.
    pub(crate) fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ChargedBytes {
            bytes,
            _charge: self,
        })
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.held.uncharge(self.bytes);
        }
    }
}

struct ChargedBytes {
    bytes: Bytes,
    _charge: MemoryCharge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
