//! Handles responses of backend servers: tokens, results and errors.

use serde_json::Value;

use super::{
    Action, DiscardReason, EventContext, Execution, Reason, accounting::elapsed_us,
    stream::TokenStatus,
};
use crate::{
    call::{CallId, StageEvent},
    decision::DecisionReason,
    fleet::{CallEnd, Fault},
};

impl Execution {
    pub(super) fn on_response(&mut self, response: StageEvent, context: &mut EventContext<'_>) {
        let id = response.id();
        let is_expected = id.request == self.spec.request
            && id.stage == self.stage().name
            && self.live.iter().any(|live| live.number == id.attempt);
        if !is_expected {
            context.push_action(self.discard(id));
            return;
        }
        match response {
            StageEvent::Token { id, index, text } => self.on_token(id, index, text, context),
            StageEvent::Done {
                id,
                output,
                tokens,
                busy_us,
            } => self.on_done(id, output, tokens, busy_us, context),
            StageEvent::Error {
                id,
                message,
                busy_us,
            } => self.on_error(id.attempt, message, busy_us, context),
        }
    }

    pub(super) fn on_token(
        &mut self,
        id: CallId,
        index: u32,
        text: String,
        context: &mut EventContext<'_>,
    ) {
        let Some(live) = self.live.iter_mut().find(|live| live.number == id.attempt) else {
            return;
        };
        live.is_silent = false;
        let elapsed_us = elapsed_us(live.last_progress_ms, context.now_ms);
        let phase = live.phase();
        live.last_progress_ms = context.now_ms;
        live.has_token = true;
        let pool = &self.spec.pipeline.stages[self.stage_index].pool;
        context.fleet.on_progress(pool, phase, elapsed_us);
        if index < live.next_index {
            // Duplicate of a token that this call already sent.
            if self.stream.insert(index, &text) == TokenStatus::Invalid {
                self.cancel_invalid(id, context);
            }
            return;
        }
        if index > live.next_index {
            return self.cancel_invalid(id, context);
        }
        live.next_index += 1;
        match self.stream.insert(index, &text) {
            TokenStatus::New if self.is_last_stage() => {
                context.push_action(Action::EmitToken { index, text });
            }
            TokenStatus::New | TokenStatus::Duplicate => {}
            TokenStatus::Invalid => self.cancel_invalid(id, context),
        }
    }

    /// Cancels a call whose tokens contradict the stream.
    pub(super) fn cancel_invalid(&mut self, id: CallId, context: &mut EventContext<'_>) {
        let Some(attempt) = self.remove_live(id.attempt) else {
            return;
        };
        self.record_wasted(&attempt, None, CallEnd::Failed(Fault::Failing), context);
        if self.stage().idempotent {
            context.push_action(Action::Cancel {
                backend: attempt.backend,
                call: id.clone(),
            });
        }
        context.push_action(Action::Discard {
            id,
            reason: DiscardReason::Broken,
        });
        let stage = self.stage().name.clone();
        self.retry_or_fail(Reason::Cut { stage }, context);
    }

    pub(super) fn on_done(
        &mut self,
        id: CallId,
        output: Value,
        tokens: u32,
        busy_us: u64,
        context: &mut EventContext<'_>,
    ) {
        let Some(attempt) = self.remove_live(id.attempt) else {
            return;
        };
        let is_complete = tokens == attempt.next_index && tokens == self.stream.len();
        if !is_complete {
            self.record_wasted(
                &attempt,
                Some(busy_us),
                CallEnd::Failed(Fault::Failing),
                context,
            );
            context.push_action(Action::Discard {
                id,
                reason: DiscardReason::Broken,
            });
            let stage = self.stage().name.clone();
            return self.retry_or_fail(Reason::Cut { stage }, context);
        }
        self.record_used(&attempt, busy_us, context);
        self.abandon_live(context);
        self.end_stage(output, context);
    }

    pub(super) fn on_error(
        &mut self,
        number: u64,
        message: String,
        busy_us: u64,
        context: &mut EventContext<'_>,
    ) {
        let Some(attempt) = self.remove_live(number) else {
            return;
        };
        self.record_wasted(
            &attempt,
            Some(busy_us),
            CallEnd::Failed(Fault::Failing),
            context,
        );
        let stage = self.stage().name.clone();
        self.retry_or_fail(Reason::Failed { stage, message }, context);
    }

    pub(super) fn end_stage(&mut self, output: Value, context: &mut EventContext<'_>) {
        self.usage_mut().elapsed_us = self.stage_elapsed_us(context.now_ms);
        if self.is_last_stage() {
            return self.complete(output, context);
        }
        self.previous = output;
        self.stage_index += 1;
        if context.now_ms >= self.latest_start_ms(self.stage_index, context) {
            return self.give_up(DecisionReason::CannotFinish, context);
        }
        self.begin_stage(context);
    }
}
