//! Requests to engines in three availability zones, one of which is unreachable.

use savoryvane_core::{
    fleet::Fleet,
    forwarding::{Placement, Prompt, PromptPart, SoftwareBinding},
    ids::{BackendName, InstanceName, PoolName, ZoneName},
    objects::{Backend, Fencing, Pool, StageKind},
    settings::PolicySettings,
};

const ZONES: [&str; 3] = ["utrecht", "amersfoort", "gouda"];
/// Engines in each zone.
const ENGINES_PER_ZONE: usize = 30;
/// Interval between two requests of one instance, in ms.
const INTERVAL_MS: u64 = 160;
/// Duration of a request, in ms.
const REQUEST_MS: u64 = 120;

struct Simulation {
    fleet: Fleet,
    now_ms: u64,
    sessions: u64,
}

impl Simulation {
    fn new() -> Self {
        let mut fleet = Fleet::new(
            InstanceName::new("one"),
            ZoneName::new(ZONES[0]),
            PolicySettings {
                subset_size: 4_096,
                ..PolicySettings::default()
            },
            7,
        );
        let pool = Pool {
            name: PoolName::new("engines"),
            kind: StageKind::Generate,
            price_micros_per_s: 1,
            fencing: Fencing::default(),
        };
        let engines: Vec<Backend> = ZONES
            .iter()
            .flat_map(|zone| {
                (0..ENGINES_PER_ZONE).map(move |index| Backend {
                    name: BackendName::new(format!("{zone}-{index}")),
                    pool: PoolName::new("engines"),
                    zone: ZoneName::new(*zone),
                    addr: "127.0.0.1:1".parse().unwrap(),
                    slots: 64,
                })
            })
            .collect();
        fleet.configure(&[pool], &engines);
        Self {
            fleet,
            now_ms: 1_000,
            sessions: 0,
        }
    }

    /// Sends one request, which is retried at other servers while the chosen one satisfies
    /// `is_unreachable`. Returns the number of unreachable servers that were tried.
    fn send(&mut self, is_unreachable: impl Fn(&BackendName) -> bool) -> usize {
        self.now_ms += INTERVAL_MS;
        self.sessions += 1;
        let prompt = Prompt {
            input_tokens: 2_000,
            max_output_tokens: 50,
            parts: [self.sessions * 7_919, self.sessions]
                .map(|hash| PromptPart {
                    hash,
                    tokens: 1_000,
                })
                .to_vec(),
        };
        let mut tried: Vec<BackendName> = Vec::new();
        loop {
            let service = PoolName::new("engines");
            let placement = Placement {
                isolation_index: None,
                service: &service,
                tried: &tried,
                is_repeatable: false,
                prompt: Some(&prompt),
                inputs: &[],
                software: &SoftwareBinding::Free,
            };
            let chosen = self.fleet.choose(self.now_ms, &placement);
            let server = chosen.server.expect("there is always an engine");
            self.fleet.on_forwarded(self.now_ms, &server);
            if !is_unreachable(&server) {
                let done_ms = self.now_ms + REQUEST_MS;
                self.fleet.on_answered(done_ms, &server, REQUEST_MS * 1_000);
                return tried.len();
            }
            self.fleet.on_unreachable(self.now_ms, &server);
            tried.push(server);
        }
    }

    fn send_many(&mut self, count: usize, is_unreachable: impl Fn(&BackendName) -> bool) -> usize {
        (0..count).map(|_| self.send(&is_unreachable)).sum()
    }
}

fn in_gouda(server: &BackendName) -> bool {
    server.as_str().starts_with("gouda")
}

/// A few failed requests mark the whole zone as unreachable; otherwise each of its 30 engines
/// would be tried at least once.
#[test]
fn a_zone_that_is_cut_off_is_found_out_by_a_few_requests() {
    let mut simulation = Simulation::new();
    assert_eq!(simulation.send_many(40, |_| false), 0);
    let unreachable = simulation.send_many(40, in_gouda);
    assert!(
        unreachable <= 7,
        "{unreachable} unreachable engines were tried"
    );
}

#[test]
fn a_zone_that_is_back_gets_requests_within_some_seconds() {
    let mut simulation = Simulation::new();
    simulation.send_many(40, in_gouda);
    let gouda = ZoneName::new("gouda");
    let reachable_at_ms = simulation.now_ms;
    while simulation.fleet.is_cut_off(simulation.now_ms, &gouda) {
        simulation.send(|_| false);
    }
    assert!(simulation.now_ms - reachable_at_ms <= 4_200);
}

#[test]
fn one_unreachable_engine_does_not_mark_its_zone_unreachable() {
    let mut simulation = Simulation::new();
    for _ in 0..60 {
        simulation.send(|server| server.as_str() == "gouda-3");
        let gouda = ZoneName::new("gouda");
        assert!(!simulation.fleet.is_cut_off(simulation.now_ms, &gouda));
    }
}

/// An instance that sends little avoids a zone as soon as its scheduler does not reach it, and
/// uses it again a second after the scheduler has last said so.
#[test]
fn a_zone_that_the_scheduler_does_not_reach_is_avoided() {
    let mut simulation = Simulation::new();
    let is_cut = |server: &BackendName| server.as_str().starts_with("gouda");
    let now_ms = simulation.now_ms;
    let zones = [ZONES[0], "gouda"].map(ZoneName::new);
    simulation.fleet.on_cut_off_advised(now_ms, zones.into());
    for _ in 0..5 {
        assert_eq!(simulation.send(is_cut), 0);
    }
    let own = ZoneName::new(ZONES[0]);
    assert!(!simulation.fleet.is_cut_off(now_ms, &own), "its own zone");
    let gouda = ZoneName::new("gouda");
    assert!(simulation.fleet.is_cut_off(now_ms + 999, &gouda));
    assert!(!simulation.fleet.is_cut_off(now_ms + 1_000, &gouda));
}
