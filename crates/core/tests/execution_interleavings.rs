//! Tests late, duplicate, reordered and mislabelled events in any order:
//! responses are never mixed up, non-idempotent calls never run twice, and
//! every reported outcome is correct.

mod common;

use std::collections::HashMap;

use common::{DEADLINE_MS, Driver, done, error, spec, stage, token};
use quickcheck::{QuickCheck, TestResult};
use savoryvane_core::{
    call::{CallId, RefusalReason, StageCall},
    execution::{Action, Event, Execution},
    outcome::Outcome,
    settings::PolicySettings,
};

/// Whether a call may have run, as known from its events.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CallFate {
    MayRun,
    NeverRan { reached_socket: bool },
}

struct Scenario {
    driver: Driver,
    now_ms: u64,
    call_fates: HashMap<u64, CallFate>,
    checked_sends: usize,
    past_events: Vec<Event>,
}

impl Scenario {
    fn new() -> Self {
        let stages = vec![
            stage("search", true),
            stage("pay", false),
            stage("write", true),
        ];
        let settings = PolicySettings {
            retry_burst: 100,
            ..PolicySettings::default()
        };
        let mut driver = Driver::with(spec(stages), settings);
        for pool in ["search", "write", "pay"] {
            record_call_times(&mut driver, pool);
        }
        Self {
            driver,
            now_ms: 0,
            call_fates: HashMap::new(),
            checked_sends: 0,
            past_events: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) -> Result<(), String> {
        let was_finished = self.driver.execution.is_finished();
        self.past_events.push(event.clone());
        let actions = self.driver.on(self.now_ms, event);
        let is_allowed =
            |action: &Action| matches!(action, Action::Discard { .. } | Action::Cancel { .. });
        if was_finished && !actions.iter().all(is_allowed) {
            return Err(format!("actions after the end: {actions:?}"));
        }
        self.check_sends()
    }

    /// Checks that no call of a non-idempotent stage follows one that may have
    /// run.
    fn check_sends(&mut self) -> Result<(), String> {
        let sends = self.driver.sends();
        for (_, call) in &sends[self.checked_sends..] {
            let is_duplicate = sends.iter().any(|(_, earlier)| {
                earlier.id.stage == call.id.stage
                    && earlier.id.attempt < call.id.attempt
                    && self.call_fates.get(&earlier.id.attempt) == Some(&CallFate::MayRun)
            });
            if is_duplicate && call.id.stage.as_str() == "pay" {
                return Err(format!("duplicate call: {:?}", call.id));
            }
            self.call_fates.insert(call.id.attempt, CallFate::MayRun);
            self.check_previous(call)?;
        }
        self.checked_sends = sends.len();
        Ok(())
    }

    fn check_previous(&self, call: &StageCall) -> Result<(), String> {
        let earlier_stage = match call.id.stage.as_str() {
            "pay" => "search",
            "write" => "pay",
            _ => return Ok(()),
        };
        let text = call.previous.as_str().unwrap_or_default();
        if text.starts_with(&format!("request-1/{earlier_stage}/")) {
            Ok(())
        } else {
            Err(format!("mixed up: {text} was passed to {:?}", call.id))
        }
    }

    /// Executes one step; `choice` selects the event and `pick` the call.
    fn step(&mut self, choice: u8, pick: usize) -> Result<(), String> {
        self.now_ms += 1;
        let sends = self.driver.sends();
        let Some((_, call)) = sends.get(sends.len() - 1 - pick % sends.len().min(3)) else {
            return Ok(());
        };
        let (id, attempt) = (call.id.clone(), call.id.attempt);
        let event = match choice % 14 {
            0..=2 => done_for(call, &id),
            3 | 4 => next_token(call, &id, pick),
            5 => error(&id),
            6 => Event::Lost { attempt },
            7 => Event::Silent { attempt },
            8 => done_for(call, &mislabelled(&id, pick)),
            9 => next_token(call, &mislabelled(&id, pick), pick),
            10 => self.past_events[pick % self.past_events.len()].clone(),
            11 => self.not_run(attempt, false),
            12 => self.not_run(attempt, true),
            _ => {
                // Long enough for every open call to become overdue.
                self.now_ms += 100;
                Event::Timer
            }
        };
        self.handle(event)
    }

    /// Returns the event that a call did not run, unless an earlier event
    /// contradicts it.
    fn not_run(&mut self, attempt: u64, reached_socket: bool) -> Event {
        let has_responded = self.past_events.iter().any(|event| match event {
            Event::Answered(response) => response.id().attempt == attempt,
            Event::Lost { attempt: lost } => *lost == attempt,
            _ => false,
        });
        if has_responded || self.call_fates[&attempt] != CallFate::MayRun {
            return Event::Timer;
        }
        self.call_fates
            .insert(attempt, CallFate::NeverRan { reached_socket });
        let reason = RefusalReason::Full;
        if reached_socket {
            Event::Refused {
                attempt,
                reason,
                retry_after_ms: None,
            }
        } else {
            Event::NotSent { attempt }
        }
    }

    fn check_end(&self) -> Result<(), String> {
        let finishes = self
            .driver
            .actions
            .iter()
            .filter(|action| matches!(action, Action::Finish(_)))
            .count();
        if finishes != 1 {
            return Err(format!("{finishes} final responses"));
        }
        self.check_tokens()?;
        self.check_outcome()
    }

    fn check_tokens(&self) -> Result<(), String> {
        for (expected, text) in self.driver.emitted().iter().enumerate() {
            if *text != format!("t{expected}") {
                return Err(format!("token {expected} is {text}"));
            }
        }
        Ok(())
    }

    fn check_outcome(&self) -> Result<(), String> {
        let completion = self.driver.completion().expect("it ended");
        let sends = self.driver.sends();
        let pay_may_run = sends.iter().any(|(_, call)| {
            call.id.stage.as_str() == "pay" && self.call_fates[&call.id.attempt] == CallFate::MayRun
        });
        let nothing_sent = self.call_fates.values().all(|call_fate| {
            *call_fate
                == CallFate::NeverRan {
                    reached_socket: false,
                }
        });
        let is_correct = match completion.outcome {
            Outcome::Complete => completion
                .output
                .as_ref()
                .and_then(|output| output.as_str())
                .is_some_and(|text| text.starts_with("request-1/write/")),
            Outcome::NotRun => nothing_sent,
            Outcome::NotStarted => false,
            Outcome::Failed => !pay_may_run && !nothing_sent,
            Outcome::Unknown => pay_may_run,
        };
        let is_whole = completion.outcome != Outcome::Complete || self.driver.emitted().len() == 2;
        if is_correct && is_whole {
            Ok(())
        } else {
            Err(format!("incorrect outcome: {completion:?}"))
        }
    }
}

/// Runs requests of 1 ms through a pool, so that later calls can become
/// overdue.
fn record_call_times(driver: &mut Driver, pool: &str) {
    for _ in 0..20 {
        let spec = spec(vec![stage(pool, true)]);
        let mut execution = Execution::new(spec, 0);
        let actions = execution.on_event(0, Event::Start, &mut driver.fleet);
        for action in actions {
            if let Action::Send { call, .. } = action {
                execution.on_event(1, done(&call.id, "x", 0), &mut driver.fleet);
            }
        }
    }
}

fn done_for(call: &StageCall, id: &CallId) -> Event {
    let tokens = if call.id.stage.as_str() == "write" {
        2
    } else {
        0
    };
    let output = format!("{}/{}/{}", id.request, id.stage, id.attempt);
    done(id, &output, tokens)
}

fn next_token(call: &StageCall, id: &CallId, pick: usize) -> Event {
    let index = call.resume_from + u32::try_from(pick % 2).unwrap_or(0);
    token(id, index, &format!("t{index}"))
}

/// Returns the identifiers of a call with one of them changed.
fn mislabelled(id: &CallId, pick: usize) -> CallId {
    let mut mislabelled_id = id.clone();
    match pick % 3 {
        0 => mislabelled_id.request = "request-2".into(),
        1 if id.stage.as_str() == "write" => mislabelled_id.stage = "pay".into(),
        1 => mislabelled_id.stage = "write".into(),
        _ => mislabelled_id.attempt += 1_000,
    }
    mislabelled_id
}

fn run_steps(steps: &[(u8, usize)]) -> Result<(), String> {
    let mut scenario = Scenario::new();
    scenario.handle(Event::Start)?;
    for (choice, pick) in steps {
        scenario.step(*choice, *pick)?;
    }
    scenario.now_ms = DEADLINE_MS;
    scenario.handle(Event::Timer)?;
    scenario.check_end()
}

#[test]
fn any_interleaving_yields_correct_outcomes() {
    fn property(steps: Vec<(u8, usize)>) -> TestResult {
        match run_steps(&steps) {
            Ok(()) => TestResult::passed(),
            Err(violation) => TestResult::error(violation),
        }
    }
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(property as fn(Vec<(u8, usize)>) -> TestResult);
}
