//! How many engines are in use, and how often they have shared prompt parts cached.
//!
//! Loads: 24 prompts a second of 62 instances before 380 engines, a sixteenth of a fleet with
//! 6,070; and 50 a second of 9 instances before 12 engines, which need all of them.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_core::{
    fleet::Fleet,
    forwarding::{Placement, Prompt, PromptPart, SoftwareBinding},
    ids::{BackendName, InstanceName, PoolName, ZoneName},
    objects::{Backend, Fencing, Pool, StageKind},
    settings::PolicySettings,
};

const ZONES: usize = 5;
const HEADS: u64 = 4;
const SESSIONS: u64 = 3_249;

struct Load {
    instances: usize,
    engines: usize,
    prompts_per_s: u64,
}

const AMPLE: Load = Load {
    instances: 62,
    engines: 380,
    prompts_per_s: 24,
};
const SCARCE: Load = Load {
    instances: 9,
    engines: 12,
    prompts_per_s: 50,
};

/// What happened to the prompts after the first 10 s.
#[derive(Default)]
struct Outcome {
    prompts: u32,
    with_cached_head: u32,
    by_engine: BTreeMap<BackendName, u32>,
}

fn fleets(load: &Load) -> Vec<Fleet> {
    let pool = Pool {
        name: PoolName::new("engine"),
        kind: StageKind::Generate,
        price_micros_per_s: 0,
        fencing: Fencing::Ignored,
    };
    let backends: Vec<Backend> = (0..load.engines)
        .map(|number| Backend {
            name: BackendName::new(format!("i-{number}")),
            pool: pool.name.clone(),
            zone: ZoneName::new(format!("z{}", number % ZONES)),
            addr: "10.0.0.1:80".parse().unwrap(),
            slots: 12,
        })
        .collect();
    let fleets = (0..load.instances).map(|number| {
        let mut fleet = Fleet::new(
            InstanceName::new(format!("entry-{number}")),
            ZoneName::new(format!("z{}", number % ZONES)),
            PolicySettings {
                subset_size: 4_096,
                ..PolicySettings::default()
            },
            number as u64,
        );
        fleet.configure(std::slice::from_ref(&pool), &backends);
        fleet.demand().set_instances(load.instances);
        fleet
    });
    fleets.collect()
}

/// Returns a prompt of 9,000 tokens on average, 6,300 of them in two shared parts.
fn prompt(rng: &mut Pcg64Mcg) -> Prompt {
    let session = rng.random_range(0..SESSIONS);
    let part = |hash, tokens| PromptPart { hash, tokens };
    let own_tokens = rng.random_range(500..5_000);
    Prompt {
        input_tokens: 6_300 + own_tokens,
        max_output_tokens: 60,
        parts: vec![
            part(1 + session % HEADS, 2_520),
            part(1_000 + session, 3_780),
            part(rng.random(), own_tokens),
        ],
    }
}

/// Plays 30 s of `load`; each prompt takes its engine 400 ms.
fn play(load: &Load) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut fleets = fleets(load);
    let service = PoolName::new("engine");
    let mut cached: BTreeSet<(BackendName, u64)> = BTreeSet::new();
    let mut running: Vec<(u64, usize, BackendName)> = Vec::new();
    let mut outcome = Outcome::default();
    for number in 0..30 * load.prompts_per_s {
        let now_ms = 1_000 + number * 1_000 / load.prompts_per_s;
        running.retain(|(ends_ms, instance, engine)| {
            let runs = *ends_ms > now_ms;
            if !runs {
                fleets[*instance].on_answered(*ends_ms, engine, 400_000);
            }
            runs
        });
        let instance = rng.random_range(0..fleets.len());
        let prompt = prompt(&mut rng);
        let choice = fleets[instance].choose(
            now_ms,
            &Placement {
                service: &service,
                tried: &[],
                is_repeatable: false,
                prompt: Some(&prompt),
                inputs: &[],
                isolation_index: None,
                software: &SoftwareBinding::Free,
            },
        );
        let engine = choice.server.expect("an engine");
        fleets[instance].on_forwarded(now_ms, &engine);
        running.push((now_ms + 400, instance, engine.clone()));
        let is_cached = !cached.insert((engine.clone(), prompt.parts[0].hash));
        if now_ms >= 10_000 {
            outcome.prompts += 1;
            outcome.with_cached_head += u32::from(is_cached);
            *outcome.by_engine.entry(engine).or_default() += 1;
        }
    }
    outcome
}

#[test]
fn few_of_many_engines_are_in_use_and_have_the_heads_cached() {
    let outcome = play(&AMPLE);
    let cached = f64::from(outcome.with_cached_head) / f64::from(outcome.prompts);
    assert!(cached >= 0.85, "{cached} of the prompts find their head");
    assert!(
        outcome.by_engine.len() <= 60,
        "{} engines",
        outcome.by_engine.len()
    );
}

/// An engine that processed prompts half of the time would make them wait.
#[test]
fn engines_in_use_are_mostly_idle() {
    let outcome = play(&AMPLE);
    let busiest = outcome.by_engine.values().max().expect("an engine");
    // Of 20 s; a prompt without its head takes some 110 ms.
    let utilization = f64::from(*busiest) * 0.11 / 20.0;
    assert!(utilization <= 0.5, "{utilization}");
}

#[test]
fn where_engines_are_scarce_all_are_in_use() {
    let outcome = play(&SCARCE);
    assert_eq!(outcome.by_engine.len(), SCARCE.engines);
    let mean = f64::from(outcome.prompts) / SCARCE.engines as f64;
    for (engine, prompts) in &outcome.by_engine {
        assert!(
            f64::from(*prompts) >= mean * 0.5,
            "{engine}: {prompts} of {mean}"
        );
    }
}
