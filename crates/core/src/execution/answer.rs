//! Answers of backend servers: tokens, results and errors.

use serde_json::Value;

use super::{
    Action, DiscardReason, Execution, Reason, Turn, booking::elapsed_us, stream::TokenPlace,
};
use crate::{
    call::{CallId, StageEvent},
    decision::DecisionReason,
    fleet::{CallEnd, Fault},
};

impl Execution {
    pub(super) fn on_answer(&mut self, answer: StageEvent, turn: &mut Turn<'_>) {
        let id = answer.id();
        let is_wanted = id.request == self.spec.request
            && id.stage == self.stage().name
            && self.live.iter().any(|live| live.number == id.attempt);
        if !is_wanted {
            turn.act(self.discard(id));
            return;
        }
        match answer {
            StageEvent::Token { id, index, text } => self.on_token(id, index, text, turn),
            StageEvent::Done {
                id,
                output,
                tokens,
                busy_us,
            } => self.on_done(id, output, tokens, busy_us, turn),
            StageEvent::Error {
                id,
                message,
                busy_us,
            } => self.on_error(id.attempt, message, busy_us, turn),
        }
    }

    pub(super) fn on_token(&mut self, id: CallId, index: u32, text: String, turn: &mut Turn<'_>) {
        let Some(live) = self.live.iter_mut().find(|live| live.number == id.attempt) else {
            return;
        };
        live.is_silent = false;
        let elapsed_us = elapsed_us(live.progress_at_ms, turn.now_ms);
        let progress = live.progress();
        live.progress_at_ms = turn.now_ms;
        live.has_begun = true;
        let pool = &self.spec.pipeline.stages[self.stage_index].pool;
        turn.fleet.on_progress(pool, progress, elapsed_us);
        if index < live.next_index {
            // A repeat of what this call has already given.
            if self.stream.place(index, &text) == TokenPlace::Broken {
                self.break_off(id, turn);
            }
            return;
        }
        if index > live.next_index {
            return self.break_off(id, turn);
        }
        live.next_index += 1;
        match self.stream.place(index, &text) {
            TokenPlace::New if self.is_last_stage() => {
                turn.act(Action::EmitToken { index, text });
            }
            TokenPlace::New | TokenPlace::Known => {}
            TokenPlace::Broken => self.break_off(id, turn),
        }
    }

    /// Gives up a call whose tokens cannot be trusted.
    pub(super) fn break_off(&mut self, id: CallId, turn: &mut Turn<'_>) {
        let Some(attempt) = self.take_live(id.attempt) else {
            return;
        };
        self.book_wasted(&attempt, None, CallEnd::Failed(Fault::Failing), turn);
        if self.stage().idempotent {
            turn.act(Action::Cancel {
                backend: attempt.backend,
                call: id.clone(),
            });
        }
        turn.act(Action::Discard {
            id,
            reason: DiscardReason::Broken,
        });
        let stage = self.stage().name.clone();
        self.after_failure(Reason::Cut { stage }, turn);
    }

    pub(super) fn on_done(
        &mut self,
        id: CallId,
        output: Value,
        tokens: u32,
        busy_us: u64,
        turn: &mut Turn<'_>,
    ) {
        let Some(attempt) = self.take_live(id.attempt) else {
            return;
        };
        let is_whole = tokens == attempt.next_index && tokens == self.stream.len();
        if !is_whole {
            self.book_wasted(
                &attempt,
                Some(busy_us),
                CallEnd::Failed(Fault::Failing),
                turn,
            );
            turn.act(Action::Discard {
                id,
                reason: DiscardReason::Broken,
            });
            let stage = self.stage().name.clone();
            return self.after_failure(Reason::Cut { stage }, turn);
        }
        self.book_used(&attempt, busy_us, turn);
        self.abandon_live(turn);
        self.end_stage(output, turn);
    }

    pub(super) fn on_error(
        &mut self,
        number: u64,
        message: String,
        busy_us: u64,
        turn: &mut Turn<'_>,
    ) {
        let Some(attempt) = self.take_live(number) else {
            return;
        };
        self.book_wasted(
            &attempt,
            Some(busy_us),
            CallEnd::Failed(Fault::Failing),
            turn,
        );
        let stage = self.stage().name.clone();
        self.after_failure(Reason::Failed { stage, message }, turn);
    }

    pub(super) fn end_stage(&mut self, output: Value, turn: &mut Turn<'_>) {
        self.usage_mut().elapsed_us = self.stage_elapsed_us(turn.now_ms);
        if self.is_last_stage() {
            return self.complete(output, turn);
        }
        self.previous = output;
        self.stage_index += 1;
        if turn.now_ms >= self.latest_ms(self.stage_index, turn) {
            return self.give_up(DecisionReason::CannotFinish, turn);
        }
        self.begin_stage(turn);
    }
}
