//! Stand-ins and scenarios of the review's scripts.
//!
//! `review-standin SCENARIO RECORD` plays a scenario against instances that it starts from
//! `target/release` and writes what was sent, answered and run to the file RECORD. It exits with
//! 0 if the rule held, 1 if it was broken, and 2 if the scenario could not run. Without the
//! disturbance if the variable `TROUBLE` is 0.

mod deployment;
mod http;
mod json;
mod last_keys;
mod left_clients;
mod runners;
mod stage_answers;
mod store;
mod world;

use std::{env, path::Path, process::ExitCode, sync::Arc};

use world::World;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let [scenario, record] = args.as_slice() else {
        eprintln!("usage: review-standin SCENARIO RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let seed = env::var("SEED").ok().and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or(1);
    let world = Arc::new(World::new());
    let ended = match scenario.as_str() {
        "stage-answers" => stage_answers::run(&world, has_trouble, seed),
        "last-keys" => last_keys::run(&world, has_trouble, seed),
        "left-clients" => left_clients::run(&world, has_trouble, seed),
        _ => Err(format!("no scenario {scenario}")),
    };
    let (code, verdict) = match ended {
        Ok(true) => (0, "the rule held".to_owned()),
        Ok(false) => (1, "a rule was broken".to_owned()),
        Err(reason) => (2, format!("could not run: {reason}")),
    };
    let trouble = if has_trouble { "with" } else { "without" };
    let title = format!("{scenario}, seed {seed}, {trouble} the disturbance: {verdict}");
    world.write(Path::new(record), &title);
    println!("{title}");
    for (rule, count) in world.breaks() {
        println!("  {rule} broken {count} times");
    }
    ExitCode::from(code)
}
