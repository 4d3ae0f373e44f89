//! Slots of a backend server and the bounded queue before them.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use tokio::sync::oneshot;

/// Slots that calls hold while they are worked on.
#[derive(Clone, Debug)]
pub(crate) struct Slots(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    total: u32,
    free: u32,
    queue_limit: usize,
    next_seq: u64,
    waiting: BTreeMap<(Reverse<u8>, u64), oneshot::Sender<Slot>>,
}

/// A slot that is held; dropping it passes it on.
#[derive(Debug)]
pub(crate) struct Slot(Slots);

/// A place in the queue; dropping it gives the place up.
#[derive(Debug)]
pub(crate) struct Place {
    slots: Slots,
    key: (Reverse<u8>, u64),
    granted: oneshot::Receiver<Slot>,
}

/// Calls running and waiting.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Occupancy {
    pub(crate) running: u32,
    pub(crate) queued: u32,
}

/// The queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueueFull;

impl Slots {
    /// Makes `total` slots with room for `queue_limit` waiting calls.
    pub(crate) fn new(total: u32, queue_limit: usize) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            total,
            free: total,
            queue_limit,
            next_seq: 0,
            waiting: BTreeMap::new(),
        })))
    }

    /// Takes a place in the queue, which may be granted a slot at once.
    pub(crate) fn enter(&self, priority: u8) -> Result<Place, QueueFull> {
        let (sender, granted) = oneshot::channel();
        let mut inner = self.inner();
        let key = (Reverse(priority), inner.next_seq);
        inner.next_seq += 1;
        if inner.free > 0 {
            inner.free -= 1;
            drop(inner);
            // The receiver is held right here.
            let _ = sender.send(Slot(self.clone()));
        } else if inner.waiting.len() < inner.queue_limit {
            inner.waiting.insert(key, sender);
            drop(inner);
        } else {
            return Err(QueueFull);
        }
        Ok(Place {
            slots: self.clone(),
            key,
            granted,
        })
    }

    /// Counts the calls running and waiting.
    pub(crate) fn occupancy(&self) -> Occupancy {
        let inner = self.inner();
        Occupancy {
            running: inner.total - inner.free,
            queued: u32::try_from(inner.waiting.len()).unwrap_or(u32::MAX),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().expect("no holder of the lock panics")
    }

    fn release(&self) {
        let first = {
            let mut inner = self.inner();
            let first = inner.waiting.pop_first();
            if first.is_none() {
                inner.free += 1;
            }
            first
        };
        if let Some((_, sender)) = first {
            // When the waiting call is gone, the slot comes back, is dropped
            // and goes to the next one.
            let _ = sender.send(Slot(self.clone()));
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.release();
    }
}

impl Place {
    /// Waits for a slot.
    pub(crate) async fn slot(&mut self) -> Slot {
        (&mut self.granted)
            .await
            .expect("the queue keeps the sender until it grants a slot")
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.slots.inner().waiting.remove(&self.key);
    }
}
