//! Notifies calls when existing connections to their backend server stop responding.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
};

use tokio::{sync::watch, time::Instant};

use crate::lock::lock;

/// Notifies calls in flight when connections to their backend server are found to
/// be severed: existing ones no longer respond while new ones work.
#[derive(Debug, Default)]
pub(super) struct SeveredWatchers(Mutex<HashMap<SocketAddr, watch::Sender<Option<Instant>>>>);

impl SeveredWatchers {
    /// Subscribes to the times from which connections to `addr` were unresponsive.
    pub(super) fn watch(&self, addr: SocketAddr) -> watch::Receiver<Option<Instant>> {
        let mut watchers = self.lock();
        watchers.retain(|_, sender| sender.receiver_count() > 0);
        let sender = watchers.entry(addr).or_default();
        sender.subscribe()
    }

    /// Notifies the calls to `addr` that its connections were unresponsive at `at`.
    pub(super) fn notify(&self, addr: SocketAddr, at: Instant) {
        if let Some(sender) = self.lock().get(&addr) {
            sender.send_replace(Some(at));
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, watch::Sender<Option<Instant>>>> {
        lock(&self.0)
    }
}
