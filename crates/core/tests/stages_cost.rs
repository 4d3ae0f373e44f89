//! What a look at the queues costs: with 75 instances one scheduler has some
//! thousand pieces waiting in a burst, and looks at them thousands of times a
//! second.

mod stages_world;

use std::time::{Duration, Instant};

use savoryvane_core::stages::Submission;
use stages_world::{World, batching, server, service, stage};

/// Requests that wait in a short and in a long queue.
const FEW: u64 = 200;
const MANY: u64 = 20_000;
/// Looks that are timed together.
const LOOKS: u64 = 200;
/// Times that this is measured; the shortest counts, so that what else runs on
/// the machine does not.
const ROUNDS: u64 = 7;
/// Most that the longer queue may cost more: its length is a hundredfold.
const MOST_TIMES: u32 = 10;

fn patient(number: u64) -> Submission {
    let hour_ms = 3_600_000;
    Submission {
        deadline_left_ms: hour_ms,
        ..World::submission(number, vec![stage("agenda", &[], 1, 1_000)], hour_ms)
    }
}

/// Returns the shortest time of some looks beside `waiting` requests, each with
/// a request that comes and goes.
fn time_of_looks(waiting: u64) -> Duration {
    let services = vec![service("agenda", batching(28, 6.1, 3_600_000))];
    let mut world = World::new(services, vec![server("a1", "agenda", "utrecht")]);
    for number in 0..waiting {
        world.submit(patient(number));
    }
    let mut shortest = Duration::MAX;
    for round in 0..ROUNDS {
        let began = Instant::now();
        for look in 0..LOOKS {
            let number = waiting + round * LOOKS + look;
            world.scheduler.submit(world.now_ms, patient(number));
            world.scheduler.poll(world.now_ms);
            world.scheduler.next_poll_ms(world.now_ms);
            world.scheduler.cancel(&World::key(number));
        }
        shortest = shortest.min(began.elapsed());
    }
    shortest
}

#[test]
fn a_look_costs_the_same_however_much_waits() {
    let (few, many) = (time_of_looks(FEW), time_of_looks(MANY));
    assert!(many <= few * MOST_TIMES, "{few:?}, {many:?}");
}
