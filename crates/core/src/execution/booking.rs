//! What the calls of a request have cost.

use super::{Action, Execution, Turn, attempt::Attempt};
use crate::{
    cost::{StageUsage, cost_micros},
    fleet::{CallEnd, Progress},
};

const US_PER_MS: u64 = 1_000;

impl Execution {
    /// Gives up every call that is still running. One that may not be repeated
    /// is left to run: what it does is done once, and is known as such.
    pub(super) fn abandon_live(&mut self, turn: &mut Turn<'_>) {
        for attempt in std::mem::take(&mut self.live) {
            self.book_wasted(&attempt, None, CallEnd::Abandoned, turn);
            if self.stage().idempotent {
                turn.act(Action::Cancel {
                    call: self.call_id(attempt.number),
                    backend: attempt.backend,
                });
            }
        }
    }

    pub(super) fn book_used(&mut self, attempt: &Attempt, busy_us: u64, turn: &mut Turn<'_>) {
        let call_us = elapsed_us(attempt.sent_at_ms, turn.now_ms);
        let stage = self.stage();
        if !attempt.has_begun {
            turn.fleet
                .on_progress(&stage.pool, Progress::Waiting, call_us);
        }
        if let Some(prefix) = self.route_query(stage).prefix {
            turn.fleet.on_cache_event(&attempt.backend, prefix, true);
        }
        let end = CallEnd::Done {
            elapsed_us: call_us,
            busy_us,
            was_overdue: attempt.is_overdue,
        };
        turn.fleet.on_call_ended(turn.now_ms, &attempt.backend, end);
        self.book(busy_us, false, turn);
    }

    /// Books a call whose answer is not used. A call that did not say how long
    /// it was busy counts as busy since it was sent.
    pub(super) fn book_wasted(
        &mut self,
        attempt: &Attempt,
        busy_us: Option<u64>,
        end: CallEnd,
        turn: &mut Turn<'_>,
    ) {
        turn.fleet.on_call_ended(turn.now_ms, &attempt.backend, end);
        let busy_us = busy_us.unwrap_or_else(|| elapsed_us(attempt.sent_at_ms, turn.now_ms));
        self.book(busy_us, true, turn);
    }

    pub(super) fn book(&mut self, busy_us: u64, is_wasted: bool, turn: &Turn<'_>) {
        let price = turn
            .fleet
            .pool(&self.stage().pool)
            .map_or(0, |known| known.pool.price_micros_per_s);
        let cost = cost_micros(busy_us, price);
        let usage = self.usage_mut();
        usage.calls += 1;
        usage.busy_us += busy_us;
        usage.cost_micros += cost;
        if is_wasted {
            usage.wasted_micros += cost;
        }
    }

    /// Returns the account of the current stage.
    ///
    /// # Panics
    ///
    /// Panics when no stage has begun, which no caller allows.
    pub(super) fn usage_mut(&mut self) -> &mut StageUsage {
        self.usage.last_mut().expect("a stage has begun")
    }

    pub(super) fn stage_elapsed_us(&self, now_ms: u64) -> u64 {
        elapsed_us(self.stage_started_ms, now_ms)
    }
}

pub(super) fn elapsed_us(from_ms: u64, to_ms: u64) -> u64 {
    to_ms.saturating_sub(from_ms) * US_PER_MS
}
