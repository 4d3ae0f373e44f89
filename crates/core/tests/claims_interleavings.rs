//! Checks that at most one run per key happens under any interleaving of reads,
//! lost and late appends, kills, freezes, trims and unreadable records.

mod claims_world;

use claims_world::{INSTANCES, Op, World, seeded};

const TEST_CASES: u64 = 20_000;

fn run_operations(ops: Vec<Op>) -> Vec<String> {
    let mut world = World::new();
    for op in ops {
        world.apply(op);
    }
    world.settle();
    world.violations
}

#[test]
fn a_call_is_handed_out_at_most_once_per_key() {
    fn property(ops: Vec<Op>) -> bool {
        run_operations(ops).is_empty()
    }
    seeded(TEST_CASES).quickcheck(property as fn(_) -> _);
}

/// Without trims and unreadable records no attempt may stay undecided. Its key is
/// free, or held by a claim whose instance is asked for the response.
#[test]
fn every_attempt_is_decided_after_the_log_is_read() {
    fn property(ops: Vec<Op>) -> bool {
        let mut world = World::new();
        for op in ops {
            if !matches!(op, Op::Trim { .. } | Op::AppendUnreadable) {
                world.apply(op);
            }
        }
        world.settle();
        for node in 0..INSTANCES {
            world.apply(Op::Tick { node });
        }
        let decisions = world.decisions.len();
        world.begin(0, 0, 5_000);
        world.settle();
        world.decisions.len() > decisions && world.violations.is_empty()
    }
    seeded(TEST_CASES / 4).quickcheck(property as fn(_) -> _);
}
