//! A small deployment and a driver for a request in it.
#![allow(dead_code)] // each test file uses only some of the helpers

use std::sync::Arc;

use savoryvane_core::{
    call::{CallId, StageCall, StageEvent},
    execution::{Action, Completion, Event, Execution, ExecutionSpec},
    fleet::Fleet,
    ids::BackendName,
    objects::{Backend, Fencing, Objective, Pipeline, Pool, Stage, StageKind},
    settings::PolicySettings,
};
use serde_json::json;

pub const DEADLINE_MS: u64 = 4_000;

pub fn pool(name: &str, kind: StageKind) -> Pool {
    Pool {
        name: name.into(),
        kind,
        price_micros_per_s: 1_000,
        fencing: Fencing::Ignored,
    }
}

pub fn backend(name: &str, pool: &str, zone: &str) -> Backend {
    Backend {
        name: name.into(),
        pool: pool.into(),
        zone: zone.into(),
        addr: "127.0.0.1:1".parse().expect("an address"),
        slots: 4,
    }
}

pub fn stage(pool: &str, idempotent: bool) -> Stage {
    Stage {
        name: pool.into(),
        pool: pool.into(),
        model: None,
        idempotent,
        max_tokens: 16,
    }
}

/// Creates a fleet with three backend servers in each of the pools `search`,
/// `write` and `pay`.
pub fn fleet(settings: PolicySettings) -> Fleet {
    let pools = [
        pool("search", StageKind::Retrieve),
        pool("write", StageKind::Generate),
        pool("pay", StageKind::Call),
    ];
    let backends: Vec<Backend> = ["search", "write", "pay"]
        .iter()
        .flat_map(|name| (0..3).map(move |n| backend(&format!("{name}-{n}"), name, "here")))
        .collect();
    let mut fleet = Fleet::new("entry-0".into(), "here".into(), settings, 7);
    fleet.configure(&pools, &backends);
    fleet
}

pub fn spec(stages: Vec<Stage>) -> ExecutionSpec {
    ExecutionSpec {
        request: "request-1".into(),
        workspace: "atelier".into(),
        pipeline: Arc::new(Pipeline {
            name: "quote".into(),
            deadline_ms: DEADLINE_MS,
            stages,
        }),
        input: json!({"prompt": "hello"}).into(),
        deadline_at_ms: DEADLINE_MS,
        attempt_base: 100,
        objective: Objective::Attainment,
        priority: 0,
        earlier_may_have_run: false,
        prefix: None,
    }
}

/// A request and the actions that it has produced so far.
pub struct Driver {
    pub fleet: Fleet,
    pub execution: Execution,
    pub actions: Vec<Action>,
}

impl Driver {
    pub fn new(stages: Vec<Stage>) -> Self {
        Self::with(spec(stages), PolicySettings::default())
    }

    pub fn with(spec: ExecutionSpec, settings: PolicySettings) -> Self {
        Self {
            fleet: fleet(settings),
            execution: Execution::new(spec, 0),
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn on(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        let actions = self.execution.on_event(now_ms, event, &mut self.fleet);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    pub fn start(&mut self) -> (BackendName, StageCall) {
        self.on(0, Event::Start);
        self.last_send()
    }

    pub fn sends(&self) -> Vec<(BackendName, StageCall)> {
        self.actions
            .iter()
            .filter_map(|action| match action {
                Action::Send { backend, call, .. } => Some((backend.clone(), (**call).clone())),
                _ => None,
            })
            .collect()
    }

    pub fn last_send(&self) -> (BackendName, StageCall) {
        self.sends().pop().expect("a call was sent")
    }

    pub fn emitted(&self) -> Vec<String> {
        self.actions
            .iter()
            .filter_map(|action| match action {
                Action::EmitToken { text, .. } => Some(text.clone()),
                _ => None,
            })
            .collect()
    }

    pub fn completion(&self) -> Option<&Completion> {
        self.actions.iter().find_map(|action| match action {
            Action::Finish(completion) => Some(&**completion),
            _ => None,
        })
    }
}

pub fn token(id: &CallId, index: u32, text: &str) -> Event {
    Event::Answered(StageEvent::Token {
        id: id.clone(),
        index,
        text: text.into(),
    })
}

pub fn done(id: &CallId, output: &str, tokens: u32) -> Event {
    Event::Answered(StageEvent::Done {
        id: id.clone(),
        output: json!(output),
        tokens,
        busy_us: 1_000,
    })
}

pub fn error(id: &CallId) -> Event {
    Event::Answered(StageEvent::Error {
        id: id.clone(),
        message: "broken".into(),
        busy_us: 1_000,
    })
}
