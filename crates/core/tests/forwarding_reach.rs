//! Requests to engines in three availability zones, one of which is cut off.

use savoryvane_core::{
    fleet::Fleet,
    forwarding::{Placement, Prompt, PromptPart},
    ids::{BackendName, InstanceName, PoolName, ZoneName},
    objects::{Backend, Fencing, Pool, StageKind},
    settings::PolicySettings,
};

const ZONES: [&str; 3] = ["utrecht", "amersfoort", "gouda"];
/// Engines of each zone.
const ENGINES: usize = 30;
/// Time between two requests of one instance, in ms.
const GAP_MS: u64 = 160;
/// Time that a request lasts, in ms.
const LASTS_MS: u64 = 120;

struct World {
    fleet: Fleet,
    now_ms: u64,
    sessions: u64,
}

impl World {
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
                (0..ENGINES).map(move |index| Backend {
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

    /// Sends one request; those that `is_dark` names are not reached, and the
    /// next one is tried. Returns how many were not reached.
    fn send(&mut self, is_dark: impl Fn(&BackendName) -> bool) -> usize {
        self.now_ms += GAP_MS;
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
            };
            let chosen = self.fleet.choose(self.now_ms, &placement);
            let server = chosen.server.expect("there is always an engine");
            self.fleet.on_forwarded(self.now_ms, &server);
            if !is_dark(&server) {
                let done_ms = self.now_ms + LASTS_MS;
                self.fleet.on_answered(done_ms, &server, LASTS_MS * 1_000);
                return tried.len();
            }
            self.fleet.on_unreachable(self.now_ms, &server);
            tried.push(server);
        }
    }

    fn send_many(&mut self, count: usize, is_dark: impl Fn(&BackendName) -> bool) -> usize {
        (0..count).map(|_| self.send(&is_dark)).sum()
    }
}

fn in_gouda(server: &BackendName) -> bool {
    server.as_str().starts_with("gouda")
}

/// Each of 30 engines of a zone that is cut off was tried once and more.
#[test]
fn a_zone_that_is_cut_off_is_found_out_by_a_few_requests() {
    let mut world = World::new();
    assert_eq!(world.send_many(40, |_| false), 0);
    let unreached = world.send_many(40, in_gouda);
    assert!(unreached <= 7, "{unreached} engines were not reached");
}

#[test]
fn a_zone_that_is_back_gets_requests_within_some_seconds() {
    let mut world = World::new();
    world.send_many(40, in_gouda);
    let gouda = ZoneName::new("gouda");
    let back_ms = world.now_ms;
    while world.fleet.is_cut_off(world.now_ms, &gouda) {
        world.send(|_| false);
    }
    assert!(world.now_ms - back_ms <= 4_200);
}

#[test]
fn one_engine_that_is_gone_does_not_cost_its_zone() {
    let mut world = World::new();
    for _ in 0..60 {
        world.send(|server| server.as_str() == "gouda-3");
        let gouda = ZoneName::new("gouda");
        assert!(!world.fleet.is_cut_off(world.now_ms, &gouda));
    }
}
