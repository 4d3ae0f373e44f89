//! The work on one call: its wait for a slot, its time and its events.

use std::{collections::hash_map::Entry, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use savoryvane_core::{
    call::{CallId, StageCall, StageEvent},
    objects::StageKind,
};
use serde_json::Value;
use sha2::{Digest, Sha256};
use tokio::{
    sync::oneshot,
    time::{self, Instant},
};

use crate::{
    backend::State,
    clock::elapsed_us,
    outbox::{Closed, Outbox},
    ran::{RanCall, RanState},
    slots::Place,
    work::{Step, first_u64, stage_output, tokens_of},
};

/// How a call that was worked on ended.
enum Ending {
    Done,
    Failed,
    Cancelled,
}

impl State {
    /// Waits for a slot and works on a call, until it is done, cancelled or its
    /// caller has gone.
    pub(crate) async fn serve(
        self: Arc<Self>,
        call: StageCall,
        mut place: Place,
        mut cancelled: oneshot::Receiver<()>,
        mut outbox: Outbox,
    ) {
        let deadline = Instant::now() + Duration::from_millis(call.deadline_ms);
        let slot = tokio::select! {
            biased;
            _ = &mut cancelled => None,
            () = outbox.closed() => None,
            () = time::sleep_until(deadline) => None,
            slot = place.slot() => Some(slot),
        };
        drop(place);
        if slot.is_some() {
            self.note_load();
            self.run(&call, &mut cancelled, &mut outbox).await;
        }
        drop(slot);
        drop(cancelled);
        self.forget_ended(&call.id);
        self.note_load();
    }

    /// Drops the cancel switches of ended calls; the same call may have been
    /// sent twice and still run once more.
    fn forget_ended(&self, id: &CallId) {
        let mut open = self.open();
        if let Entry::Occupied(mut entry) = open.entry(id.clone()) {
            entry.get_mut().retain(|cancel| !cancel.is_closed());
            if entry.get().is_empty() {
                entry.remove();
            }
        }
    }

    async fn run(
        &self,
        call: &StageCall,
        cancelled: &mut oneshot::Receiver<()>,
        outbox: &mut Outbox,
    ) {
        let index = self.ran.begin(RanCall {
            id: call.id.clone(),
            kind: call.kind,
            input: Value::clone(&call.input),
            resume_from: call.resume_from,
            state: RanState::Running,
        });
        let ending = tokio::select! {
            biased;
            _ = cancelled => Ending::Cancelled,
            ending = self.work(call, outbox) => ending,
        };
        let state = match ending {
            Ending::Done => RanState::Done,
            Ending::Failed => RanState::Failed,
            Ending::Cancelled => RanState::Cancelled,
        };
        self.ran.end(index, state);
    }

    async fn work(&self, call: &StageCall, outbox: &mut Outbox) -> Ending {
        let started = Instant::now();
        let mut rng = Pcg64::seed_from_u64(self.call_seed(&call.id));
        let fails = rng.random_range(0..1000) < self.faults.borrow().fail_per_mille;
        let worked = tokio::select! {
            () = outbox.closed() => return Ending::Cancelled,
            () = time::sleep(self.service_time(call, &mut rng)) => {
                if fails { Ok(()) } else { self.send_tokens(call, outbox).await }
            }
        };
        if worked.is_err() {
            return Ending::Cancelled;
        }
        let busy_us = elapsed_us(started);
        let last = if fails {
            failure(call, busy_us)
        } else {
            self.completion(call, busy_us)
        };
        // The work is done, whether or not its answer still finds a reader.
        let _ = outbox.send(last).await;
        let _ = outbox.flush().await;
        if fails { Ending::Failed } else { Ending::Done }
    }

    async fn send_tokens(
        &self,
        call: &StageCall,
        outbox: &mut Outbox,
    ) -> std::result::Result<(), Closed> {
        if call.kind != StageKind::Generate {
            return Ok(());
        }
        let tokens = tokens_of(step(call), &call.input, &call.previous);
        for (index, text) in (0..).zip(tokens).skip(call.resume_from as usize) {
            tokio::select! {
                () = outbox.closed() => return Err(Closed),
                () = time::sleep(self.token_time()) => {}
            }
            let id = call.id.clone();
            outbox.send(StageEvent::Token { id, index, text }).await?;
        }
        Ok(())
    }

    fn completion(&self, call: &StageCall, busy_us: u64) -> StageEvent {
        let tokens = match call.kind {
            StageKind::Generate => tokens_of(step(call), &call.input, &call.previous).len(),
            _ => 0,
        };
        let mut output = stage_output(step(call), &call.input, &call.previous);
        if let Value::String(text) = &mut output {
            text.push_str(&"x".repeat(self.faults.borrow().padding_bytes));
        }
        StageEvent::Done {
            id: call.id.clone(),
            output,
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            busy_us,
        }
    }

    fn service_time(&self, call: &StageCall, rng: &mut Pcg64) -> Duration {
        let mut mean_us = self.settings.service_us;
        if call.kind == StageKind::Generate
            && self
                .cache
                .touch(savoryvane_wire::backend::prefix_hash(&call.input))
        {
            mean_us /= 2;
        }
        // Between half and one and a half of the mean.
        let drawn_us = mean_us * rng.random_range(500..1500) / 1000;
        self.slowed(Duration::from_micros(drawn_us))
    }

    fn token_time(&self) -> Duration {
        let running = u64::from(self.slots.occupancy().running);
        let slots = u64::from(self.settings.slots.max(1));
        let growth = u64::from(self.settings.batch_slowdown_per_mille) * running / slots;
        self.slowed(Duration::from_micros(
            self.settings.token_us * (1000 + growth) / 1000,
        ))
    }

    fn slowed(&self, time: Duration) -> Duration {
        time * self.faults.borrow().slow_per_mille / 1000
    }

    /// Returns the seed of everything random about a call.
    pub(crate) fn call_seed(&self, id: &CallId) -> u64 {
        let digest = Sha256::new()
            .chain_update(self.settings.seed.to_be_bytes())
            .chain_update(id.request.as_str())
            .chain_update(id.stage.as_str())
            .chain_update(id.attempt.to_be_bytes())
            .finalize();
        first_u64(&digest)
    }
}

fn step(call: &StageCall) -> Step {
    Step {
        kind: call.kind,
        max_tokens: call.max_tokens,
    }
}

fn failure(call: &StageCall, busy_us: u64) -> StageEvent {
    StageEvent::Error {
        id: call.id.clone(),
        message: "failed by a fault".to_owned(),
        busy_us,
    }
}
