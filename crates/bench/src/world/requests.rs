//! Requests at their instances: what the core decides, carried out.

use std::collections::HashSet;

use rand::RngExt;
use savoryvane_core::{
    call::StageCall,
    decision::DecisionReason,
    execution::{Action, Completion, DiscardReason, Event, Execution, ExecutionSpec, Reason},
    ids::BackendName,
    objects::StageKind,
    outcome::Outcome,
};
use serde_json::Value;

use super::{Happening, RETURN_ONE_IN, Running, US_PER_MS, World};
use crate::{
    deployment::LM_POOL, figures::Ending, scenario::RUN_US, server::Job, traffic::Arrival,
};

impl World<'_> {
    pub(super) fn arrive(&mut self, mut arrival: Arrival) {
        let count = self.instances.len();
        while !self.instances[arrival.instance].is_alive {
            arrival.instance = (arrival.instance + 1) % count;
        }
        let number = self.requests.len();
        let allowance_us = 2 * self.deployment.client_one_way_us;
        let deadline_us = arrival.pipeline.deadline_ms * US_PER_MS - allowance_us;
        let workspace = &self.deployment.workspaces[arrival.workspace].workspace;
        let spec = ExecutionSpec {
            request: format!("r{number}").as_str().into(),
            workspace: workspace.name.clone(),
            pipeline: arrival.pipeline.clone(),
            input: Value::Null.into(),
            deadline_at_ms: (self.now_us + deadline_us) / US_PER_MS,
            attempt_base: 0,
            objective: workspace.objective,
            priority: 0,
            earlier_may_have_run: false,
            prefix: arrival.prefix,
        };
        let execution = Execution::new(spec, self.now_ms());
        self.requests.push(Running {
            arrival,
            execution,
            timer_at_us: 0,
            sent: 0,
            stages: HashSet::new(),
            unused: HashSet::new(),
            spent: Vec::new(),
            is_attained: false,
            is_over_share: false,
            is_over: false,
        });
        self.hand_in(number, Event::Start);
    }

    pub(super) fn hand_in(&mut self, request: usize, event: Event) {
        let now_ms = self.now_ms();
        let running = &mut self.requests[request];
        let instance = &mut self.instances[running.arrival.instance];
        if !instance.is_alive || (running.is_over && event == Event::Timer) {
            return;
        }
        let actions = running
            .execution
            .on_event(now_ms, event, &mut instance.fleet);
        for action in actions {
            self.act(request, action);
        }
    }

    fn act(&mut self, request: usize, action: Action) {
        match action {
            Action::Send { backend, call, .. } => self.send(request, &backend, *call),
            Action::Cancel { backend, call } => {
                self.requests[request].unused.insert(call.attempt);
                let server = self.server_index[&backend];
                let instance = self.requests[request].arrival.instance;
                if let Some(delay_us) = self.network.delay_us(instance, server) {
                    let cancel = Happening::Cancel { server, id: call };
                    self.schedule(self.now_us + delay_us, cancel);
                }
            }
            Action::SetTimer { at_ms } => {
                let at_us = (at_ms * US_PER_MS).max(self.now_us);
                self.requests[request].timer_at_us = at_us;
                self.schedule(at_us, Happening::Timer { request, at_us });
            }
            Action::Discard { id, reason } => {
                assert!(reason != DiscardReason::Foreign, "no fake mislabels");
                self.requests[request].unused.insert(id.attempt);
            }
            Action::Finish(completion) => self.finish(request, &completion),
            Action::EmitToken { .. } | Action::Log(_) => {}
        }
    }

    fn send(&mut self, request: usize, backend: &BackendName, call: StageCall) {
        let server = self.server_index[backend];
        let running = &mut self.requests[request];
        let instance = running.arrival.instance;
        let attempt = call.id.attempt;
        running.sent += 1;
        running.stages.insert(call.id.stage.to_string());
        if let Some(fails_at_us) = self.network.refused_at(self.now_us, instance, server) {
            let event = Event::NotSent { attempt };
            return self.schedule(fails_at_us, Happening::ToRequest { request, event });
        }
        self.network.note_open(instance, server, request, attempt);
        let Some(delay_us) = self.network.delay_us(instance, server) else {
            let silent_at_us = self.network.silent_at(self.now_us);
            let event = Event::Silent { attempt };
            return self.schedule(silent_at_us, Happening::ToRequest { request, event });
        };
        self.next_job += 1;
        let job = Job {
            key: self.next_job,
            instance,
            request,
            priority: call.priority,
            resume_from: call.resume_from,
            prefix: running.arrival.prefix,
            seed: self.job_seed(request, &call),
            id: call.id,
        };
        self.schedule(self.now_us + delay_us, Happening::Call { server, job });
    }

    /// A generation has the same length at each attempt; a plain call's time
    /// is drawn again.
    fn job_seed(&self, request: usize, call: &StageCall) -> u64 {
        let attempt = match call.kind {
            StageKind::Generate => 0,
            _ => call.id.attempt,
        };
        let stage = call.id.stage.as_str().len() as u64;
        self.seed ^ (request as u64) << 16 ^ stage << 8 ^ attempt
    }

    fn finish(&mut self, request: usize, completion: &Completion) {
        let running = &self.requests[request];
        let elapsed_us = self.now_us - running.arrival.at_us;
        let allowed_us = running.arrival.pipeline.deadline_ms * US_PER_MS
            - 2 * self.deployment.client_one_way_us;
        let is_attained = completion.outcome == Outcome::Complete && elapsed_us <= allowed_us;
        let over_share = Reason::GivenUp(DecisionReason::OverShare);
        if completion.reason == Some(over_share) {
            self.requests[request].is_over_share = true;
        }
        self.end(request, Some(completion.outcome), is_attained);
        self.come_back(request, completion);
    }

    pub(super) fn end(&mut self, request: usize, outcome: Option<Outcome>, is_attained: bool) {
        let running = &mut self.requests[request];
        running.is_over = true;
        running.is_attained = is_attained;
        self.figures.first_calls += running.stages.len() as u64;
        self.figures.calls += running.sent;
        self.figures.add(&Ending {
            arrived_us: running.arrival.at_us,
            elapsed_us: self.now_us - running.arrival.at_us,
            workspace: running.arrival.workspace,
            outcome,
            is_attained,
            is_refused: outcome == Some(Outcome::NotRun) && running.sent == 0,
            is_over_share: running.is_over_share,
            is_return: running.arrival.is_return,
            needs_lm: needs_lm(&running.arrival),
        });
    }

    /// Lets some refused callers come back when they were told to.
    fn come_back(&mut self, request: usize, completion: &Completion) {
        let running = &self.requests[request];
        let comes_back = completion.outcome == Outcome::NotRun
            && !running.arrival.is_return
            && request.is_multiple_of(RETURN_ONE_IN);
        let (true, Some(retry_after_ms)) = (comes_back, completion.retry_after_ms) else {
            return;
        };
        let at_us =
            self.now_us + retry_after_ms * US_PER_MS + 2 * self.deployment.client_one_way_us;
        if at_us >= RUN_US {
            return;
        }
        let mut arrival = running.arrival.clone();
        arrival.at_us = at_us;
        arrival.instance = self.rng.random_range(0..self.instances.len());
        arrival.is_return = true;
        self.schedule(at_us, Happening::Arrive(arrival));
    }
}

fn needs_lm(arrival: &Arrival) -> bool {
    let stages = &arrival.pipeline.stages;
    stages.iter().any(|stage| stage.pool.as_str() == LM_POOL)
}
