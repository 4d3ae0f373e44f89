//! Events of one call on their way out, under the fault switches.

use std::io;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use savoryvane_core::{
    call::{CallId, StageEvent},
    ids::{RequestId, StageName},
};
use tokio::sync::watch;

use crate::{
    backend_faults::{BackendFaults, Mislabel},
    body::Chunks,
};

/// Byte of a garbage line: never valid in JSON or UTF-8.
const GARBAGE: u8 = 0xff;

/// The caller has gone, or the connection was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Closed;

/// Sender of one call's events.
#[derive(Debug)]
pub(crate) struct Outbox {
    chunks: Chunks,
    faults: watch::Receiver<BackendFaults>,
    rng: Pcg64,
    other: Option<CallId>,
    held: Option<StageEvent>,
    sent: u32,
}

impl Outbox {
    /// Makes a sender whose faults follow `seed`; `other` is a call that a
    /// mislabelled event may be taken for.
    pub(crate) fn new(
        chunks: Chunks,
        faults: watch::Receiver<BackendFaults>,
        seed: u64,
        other: Option<CallId>,
    ) -> Self {
        Self {
            chunks,
            faults,
            rng: Pcg64::seed_from_u64(seed),
            other,
            held: None,
            sent: 0,
        }
    }

    /// Waits until the caller has gone.
    pub(crate) async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Sends one event.
    pub(crate) async fn send(&mut self, event: StageEvent) -> Result<(), Closed> {
        let reorder = self.faults.borrow().reorder;
        match self.held.take() {
            None if reorder => {
                self.held = Some(event);
                Ok(())
            }
            None => self.put(event).await,
            Some(held) => {
                self.put(event).await?;
                self.put(held).await
            }
        }
    }

    /// Sends what is held back.
    pub(crate) async fn flush(&mut self) -> Result<(), Closed> {
        match self.held.take() {
            Some(event) => self.put(event).await,
            None => Ok(()),
        }
    }

    async fn put(&mut self, event: StageEvent) -> Result<(), Closed> {
        self.wait_unfrozen().await;
        let faults = self.faults.borrow().clone();
        if faults
            .cut_after_events
            .is_some_and(|after| self.sent >= after)
        {
            let cut = io::Error::other("stream cut by a fault");
            let _ = self.chunks.send(Err(cut)).await;
            return Err(Closed);
        }
        if faults.garbage_bytes > 0 {
            let mut garbage = vec![GARBAGE; faults.garbage_bytes];
            garbage.push(b'\n');
            self.write(garbage).await?;
        }
        let event = self.label(event, &faults);
        let copies = if self.draw(faults.duplicate_per_mille) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            self.write(to_line(&event)).await?;
        }
        self.sent += 1;
        Ok(())
    }

    async fn wait_unfrozen(&mut self) {
        let chunks = self.chunks.clone();
        let mut faults = self.faults.clone();
        tokio::select! {
            _ = faults.wait_for(|faults| !faults.freeze) => {}
            () = chunks.closed() => {}
        }
    }

    async fn write(&self, bytes: Vec<u8>) -> Result<(), Closed> {
        let sent = self.chunks.send(Ok(Bytes::from(bytes))).await;
        sent.map_err(|_| Closed)
    }

    fn label(&mut self, mut event: StageEvent, faults: &BackendFaults) -> StageEvent {
        let Some(mislabel) = faults.mislabel else {
            return event;
        };
        if !self.draw(faults.mislabel_per_mille) {
            return event;
        }
        let id = match &mut event {
            StageEvent::Token { id, .. }
            | StageEvent::Done { id, .. }
            | StageEvent::Error { id, .. } => id,
        };
        match mislabel {
            Mislabel::Request => id.request = self.other_request(),
            Mislabel::Stage => id.stage = StageName::new("another-stage"),
            Mislabel::Attempt => id.attempt += 1,
        }
        event
    }

    fn other_request(&self) -> RequestId {
        match &self.other {
            Some(other) => other.request.clone(),
            None => RequestId::new("another-request"),
        }
    }

    fn draw(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1000) < per_mille
    }
}

fn to_line(event: &StageEvent) -> Vec<u8> {
    let mut line = serde_json::to_vec(event).expect("events serialize to JSON");
    line.push(b'\n');
    line
}
