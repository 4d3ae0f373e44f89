//! Accounts for the cost of the calls of a request.

use super::{Action, EventContext, Execution, attempt::Attempt};
use crate::{
    cost::{StageUsage, cost_micros},
    fleet::{CallEnd, ResponsePhase},
};

const US_PER_MS: u64 = 1_000;

impl Execution {
    /// Abandons every call that is still running. Non-idempotent calls are not
    /// cancelled: their effect happens once and is accounted for as possible.
    pub(super) fn abandon_live(&mut self, context: &mut EventContext<'_>) {
        for attempt in std::mem::take(&mut self.live) {
            self.record_wasted(&attempt, None, CallEnd::Abandoned, context);
            if self.stage().idempotent {
                context.push_action(Action::Cancel {
                    call: self.call_id(attempt.number),
                    backend: attempt.backend,
                });
            }
        }
    }

    pub(super) fn record_used(
        &mut self,
        attempt: &Attempt,
        busy_us: u64,
        context: &mut EventContext<'_>,
    ) {
        let call_us = elapsed_us(attempt.sent_at_ms, context.now_ms);
        let stage = self.stage();
        if !attempt.has_token {
            context
                .fleet
                .on_progress(&stage.pool, ResponsePhase::Waiting, call_us);
        }
        if let Some(prefix) = self.route_query(stage).prefix {
            context.fleet.on_cache_event(&attempt.backend, prefix, true);
        }
        let end = CallEnd::Done {
            elapsed_us: call_us,
            busy_us,
            was_overdue: attempt.is_overdue,
        };
        context
            .fleet
            .on_call_ended(context.now_ms, &attempt.backend, end);
        self.record(busy_us, false, context);
    }

    /// Records a call whose response is not used. A call without a reported
    /// busy time counts as busy since it was sent.
    pub(super) fn record_wasted(
        &mut self,
        attempt: &Attempt,
        busy_us: Option<u64>,
        end: CallEnd,
        context: &mut EventContext<'_>,
    ) {
        context
            .fleet
            .on_call_ended(context.now_ms, &attempt.backend, end);
        let busy_us = busy_us.unwrap_or_else(|| elapsed_us(attempt.sent_at_ms, context.now_ms));
        self.record(busy_us, true, context);
    }

    pub(super) fn record(&mut self, busy_us: u64, is_wasted: bool, context: &EventContext<'_>) {
        let price = context
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

    /// Returns the usage of the current stage.
    ///
    /// # Panics
    ///
    /// Panics if no stage has begun; callers make sure that one has.
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
