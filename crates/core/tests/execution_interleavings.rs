//! Late, duplicate, reordered and mislabelled events in any order: nothing is
//! mixed, nothing that may not be repeated is doubled, every outcome is true.

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

/// How far a call may be known to have come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AppendOutcome {
    MayRun,
    NeverRan { reached_socket: bool },
}

struct Trial {
    driver: Driver,
    now_ms: u64,
    fates: HashMap<u64, AppendOutcome>,
    checked_sends: usize,
    past: Vec<Event>,
}

impl Trial {
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
            make_times_known(&mut driver, pool);
        }
        Self {
            driver,
            now_ms: 0,
            fates: HashMap::new(),
            checked_sends: 0,
            past: Vec::new(),
        }
    }

    fn hand_in(&mut self, event: Event) -> Result<(), String> {
        let was_finished = self.driver.execution.is_finished();
        self.past.push(event.clone());
        let actions = self.driver.on(self.now_ms, event);
        let is_quiet =
            |action: &Action| matches!(action, Action::Discard { .. } | Action::Cancel { .. });
        if was_finished && !actions.iter().all(is_quiet) {
            return Err(format!("acted after its end: {actions:?}"));
        }
        self.check_sends()
    }

    /// No call of a stage that may not be repeated follows one that may run.
    fn check_sends(&mut self) -> Result<(), String> {
        let sends = self.driver.sends();
        for (_, call) in &sends[self.checked_sends..] {
            let doubled = sends.iter().any(|(_, earlier)| {
                earlier.id.stage == call.id.stage
                    && earlier.id.attempt < call.id.attempt
                    && self.fates.get(&earlier.id.attempt) == Some(&AppendOutcome::MayRun)
            });
            if doubled && call.id.stage.as_str() == "pay" {
                return Err(format!("doubled: {:?}", call.id));
            }
            self.fates.insert(call.id.attempt, AppendOutcome::MayRun);
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
            Err(format!("mixed: {text} went into {:?}", call.id))
        }
    }

    /// Plays one step; `choice` says what happens and `pick` to which call.
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
            10 => self.past[pick % self.past.len()].clone(),
            11 => self.not_run(attempt, false),
            12 => self.not_run(attempt, true),
            _ => {
                // Long enough for every open call to be overdue.
                self.now_ms += 100;
                Event::Timer
            }
        };
        self.hand_in(event)
    }

    /// A call that the transport says did not run, unless it has said
    /// otherwise before.
    fn not_run(&mut self, attempt: u64, reached_socket: bool) -> Event {
        let has_answered = self.past.iter().any(|event| match event {
            Event::Answered(answer) => answer.id().attempt == attempt,
            Event::Lost { attempt: lost } => *lost == attempt,
            _ => false,
        });
        if has_answered || self.fates[&attempt] != AppendOutcome::MayRun {
            return Event::Timer;
        }
        self.fates
            .insert(attempt, AppendOutcome::NeverRan { reached_socket });
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
            return Err(format!("{finishes} final answers"));
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
            call.id.stage.as_str() == "pay" && self.fates[&call.id.attempt] == AppendOutcome::MayRun
        });
        let nothing_reached = self.fates.values().all(|fate| {
            *fate
                == AppendOutcome::NeverRan {
                    reached_socket: false,
                }
        });
        let is_true = match completion.outcome {
            Outcome::Complete => completion
                .output
                .as_ref()
                .and_then(|output| output.as_str())
                .is_some_and(|text| text.starts_with("request-1/write/")),
            Outcome::NotRun => nothing_reached,
            Outcome::NotStarted => false,
            Outcome::Failed => !pay_may_run && !nothing_reached,
            Outcome::Unknown => pay_may_run,
        };
        let whole = completion.outcome != Outcome::Complete || self.driver.emitted().len() == 2;
        if is_true && whole {
            Ok(())
        } else {
            Err(format!("untrue: {completion:?}"))
        }
    }
}

/// Runs requests of 1 ms through a pool, after which later calls are overdue.
fn make_times_known(driver: &mut Driver, pool: &str) {
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

/// Changes one of the three identifiers.
fn mislabelled(id: &CallId, pick: usize) -> CallId {
    let mut wrong = id.clone();
    match pick % 3 {
        0 => wrong.request = "request-2".into(),
        1 if id.stage.as_str() == "write" => wrong.stage = "pay".into(),
        1 => wrong.stage = "write".into(),
        _ => wrong.attempt += 1_000,
    }
    wrong
}

fn play(steps: &[(u8, usize)]) -> Result<(), String> {
    let mut trial = Trial::new();
    trial.hand_in(Event::Start)?;
    for (choice, pick) in steps {
        trial.step(*choice, *pick)?;
    }
    trial.now_ms = DEADLINE_MS;
    trial.hand_in(Event::Timer)?;
    trial.check_end()
}

#[test]
fn any_interleaving_keeps_the_promises() {
    fn property(steps: Vec<(u8, usize)>) -> TestResult {
        match play(&steps) {
            Ok(()) => TestResult::passed(),
            Err(broken) => TestResult::error(broken),
        }
    }
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(property as fn(Vec<(u8, usize)>) -> TestResult);
}
