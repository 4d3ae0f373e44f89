//! At most one run per key through any order of reads, lost and late appends,
//! kills, freezes, trims and unreadable records.

mod claims_world;

use claims_world::{INSTANCES, Op, World, seeded};

const TESTS: u64 = 20_000;

fn faults_of(ops: Vec<Op>) -> Vec<String> {
    let mut world = World::new();
    for op in ops {
        world.apply(op);
    }
    world.calm();
    world.faults
}

#[test]
fn a_call_is_handed_out_at_most_once_per_key() {
    fn law(ops: Vec<Op>) -> bool {
        faults_of(ops).is_empty()
    }
    seeded(TESTS).quickcheck(law as fn(_) -> _);
}

/// Without trims, unreadable records and long times nobody may be left waiting:
/// a key is free, or held by a claim whose instance is asked for the answer.
#[test]
fn every_attempt_is_decided_once_the_log_is_read() {
    fn law(ops: Vec<Op>) -> bool {
        let mut world = World::new();
        for op in ops {
            if !matches!(op, Op::Trim { .. } | Op::Garble) {
                world.apply(op);
            }
        }
        world.calm();
        for at in 0..INSTANCES {
            world.apply(Op::Tick { at });
        }
        let told = world.told.len();
        world.begin(0, 0, 5_000);
        world.calm();
        world.told.len() > told && world.faults.is_empty()
    }
    seeded(TESTS / 4).quickcheck(law as fn(_) -> _);
}
