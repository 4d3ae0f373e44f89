//! Tells calls when the connections to a backend server have gone silent.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
};

use tokio::{sync::watch, time::Instant};

use crate::lock::lock;

/// Tells calls in flight when connections to their backend server are found to
/// have gone silent.
#[derive(Debug, Default)]
pub(super) struct Severed(Mutex<HashMap<SocketAddr, watch::Sender<Option<Instant>>>>);

impl Severed {
    /// Watches for the times from which on connections to `addr` were silent.
    pub(super) fn watch(&self, addr: SocketAddr) -> watch::Receiver<Option<Instant>> {
        let mut watched = self.lock();
        watched.retain(|_, sender| sender.receiver_count() > 0);
        let sender = watched.entry(addr).or_default();
        sender.subscribe()
    }

    /// Tells the calls to `addr` that its connections were silent at `at`.
    pub(super) fn tell(&self, addr: SocketAddr, at: Instant) {
        if let Some(sender) = self.lock().get(&addr) {
            sender.send_replace(Some(at));
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, watch::Sender<Option<Instant>>>> {
        lock(&self.0)
    }
}
