//! Cost of polling the queues: with 75 instances, one scheduler has thousands of pieces
//! waiting in a burst, and polls thousands of times a second.

mod stages_world;

use std::time::{Duration, Instant};

use savoryvane_core::stages::Submission;
use stages_world::{World, batching, server, service, stage};

/// Numbers of requests waiting in a short and in a long queue.
const SHORT_QUEUE: u64 = 200;
const LONG_QUEUE: u64 = 20_000;
/// Polls per measurement.
const POLLS: u64 = 200;
/// Number of measurements; the shortest counts, which excludes the influence of other
/// load on the machine.
const ROUNDS: u64 = 7;
/// Maximum ratio of the two times; the long queue is a hundred times as long.
const MAX_SLOWDOWN: u32 = 10;

fn long_lived_request(number: u64) -> Submission {
    let hour_ms = 3_600_000;
    Submission {
        deadline_left_ms: hour_ms,
        ..World::submission(number, vec![stage("agenda", &[], 1, 1_000)], hour_ms)
    }
}

/// Returns the shortest time of a measurement with `waiting` requests queued; each poll
/// follows a submission and precedes its cancellation.
fn time_polls(waiting: u64) -> Duration {
    let services = vec![service("agenda", batching(28, 6.1, 3_600_000))];
    let mut world = World::new(services, vec![server("a1", "agenda", "utrecht")]);
    for number in 0..waiting {
        world.submit(long_lived_request(number));
    }
    let mut shortest = Duration::MAX;
    for round in 0..ROUNDS {
        let started_at = Instant::now();
        for poll_index in 0..POLLS {
            let number = waiting + round * POLLS + poll_index;
            world
                .scheduler
                .submit(world.now_ms, long_lived_request(number));
            world.scheduler.poll(world.now_ms);
            world.scheduler.next_poll_ms(world.now_ms);
            world.scheduler.cancel(&World::key(number));
        }
        shortest = shortest.min(started_at.elapsed());
    }
    shortest
}

#[test]
fn a_look_costs_the_same_however_much_waits() {
    let (short_queue, long_queue) = (time_polls(SHORT_QUEUE), time_polls(LONG_QUEUE));
    assert!(
        long_queue <= short_queue * MAX_SLOWDOWN,
        "{short_queue:?}, {long_queue:?}"
    );
}
