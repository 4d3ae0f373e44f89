//! Tests that there is one placer at a time, despite races, freezes, lost
//! responses and late appends.

mod placer_world;

use placer_world::{AppendOutcome, INSTANCES, Op, World, seeded};
use savoryvane_core::{
    ids::{Incarnation, Offset},
    objects::Fencing,
    placer::{Election, Event, Placer, PlacerRecord, PlacerSettings, RecordEffect},
};

const TESTS: u64 = 800;

#[test]
fn no_two_placers_order_unchecked_engines_at_once() {
    fn property(ops: Vec<Op>) -> Result<(), String> {
        let mut world = World::new();
        world.run(5_000);
        for op in ops {
            world.apply(op);
        }
        world.faults.first().cloned().map_or(Ok(()), Err)
    }
    seeded(TESTS).quickcheck(property as fn(_) -> _);
}

#[test]
fn after_any_faults_one_placer_stands_and_all_agree() {
    fn property(ops: Vec<Op>) -> Result<(), String> {
        let mut world = World::new();
        for op in ops {
            match op {
                // If all instances left, no candidate would remain.
                Op::Leave { instance } => world.apply(Op::Restart { instance }),
                op => world.apply(op),
            }
        }
        world.settle();
        let holders: Vec<_> = world.nodes.iter().map(|n| n.placer.holder()).collect();
        let is_agreed = holders.iter().all(|h| h.is_some() && *h == holders[0]);
        match (world.placers().len(), is_agreed) {
            (1, true) => Ok(()),
            _ => Err(format!("{holders:?}, placers {:?}", world.placers())),
        }
    }
    seeded(TESTS / 4).quickcheck(property as fn(_) -> _);
}

#[test]
fn of_racing_claims_one_wins_and_its_lost_answer_does_not_matter() {
    for fate in [
        AppendOutcome::Appended,
        AppendOutcome::AnswerLost,
        AppendOutcome::DoneTwice,
    ] {
        let mut world = World::new();
        for instance in 0..INSTANCES {
            world.read(instance, usize::MAX);
        }
        world.pass(2_900);
        for instance in 0..INSTANCES {
            world.read(instance, usize::MAX);
        }
        world.pass(2_600);
        for instance in 0..INSTANCES {
            world.event(instance, Event::Tick);
        }
        assert!(world.nodes.iter().filter(|n| n.append.is_some()).count() > 1);
        for instance in 0..INSTANCES {
            world.append(instance, fate);
        }
        world.run(1_000);
        assert_eq!(world.placers().len(), 1, "{fate:?}");
        assert_eq!(world.faults, Vec::<String>::new());
    }
}

#[test]
fn a_frozen_placer_that_wakes_has_no_permit() {
    let mut world = World::new();
    world.run(5_000);
    let old = world.placers()[0];
    world.apply(Op::Freeze { instance: old });
    world.run(2 * world.settings.silence_ms());
    let new = world.placers();
    assert_eq!(new.len(), 1);
    assert_ne!(new[0], old);

    world.apply(Op::Thaw { instance: old });
    assert_eq!(world.placers(), new);
    let (own, other) = (&world.nodes[old].placer, &world.nodes[new[0]].placer);
    // It has not read the new claim yet and still considers itself the placer.
    assert!(own.own_term() < other.own_term());
    assert_eq!(own.permit(world.local_ms(old)), None);
}

#[test]
fn a_log_outage_replaces_nobody() {
    let mut world = World::new();
    world.run(5_000);
    let placer = world.placers();
    for _ in 0..50 {
        world.pass(2_000);
        for instance in 0..INSTANCES {
            world.append(instance, AppendOutcome::NeverArrived);
            world.apply(Op::ReadFails { instance });
            world.event(instance, Event::Tick);
        }
    }
    assert_eq!(world.placers(), Vec::<usize>::new());
    world.run(20_000);
    assert_eq!(world.placers(), placer);
}

#[test]
fn a_placer_that_leaves_is_followed_at_once_and_its_last_order_waited_out() {
    let mut world = World::new();
    world.run(6_000);
    let old = world.placers()[0];
    world.apply(Op::Leave { instance: old });
    assert_eq!(world.placers(), Vec::<usize>::new());
    world.run(6_000);
    let new = world.placers()[0];
    let permit = world.nodes[new].placer.permit(world.local_ms(new)).unwrap();
    assert!(permit.allows(world.local_ms(new), Fencing::Checked));
    assert!(!permit.allows(world.local_ms(new), Fencing::Ignored));
    world.run(6_000);
    assert_eq!(world.faults, Vec::<String>::new());
    let permit = world.nodes[new].placer.permit(world.local_ms(new)).unwrap();
    assert!(permit.allows(world.local_ms(new), Fencing::Ignored));
}

#[test]
fn renewals_take_one_append_in_ten_seconds() {
    let mut world = World::new();
    world.run(20_000);
    let before = world.log.len();
    world.run(600_000);
    assert_eq!(world.log.len() - before, 60);
}

#[test]
fn a_reader_that_starts_late_judges_claims_alike() {
    fn claim(expected: u64, incarnation: u64) -> PlacerRecord {
        PlacerRecord::Claim {
            expected: Offset(expected),
            instance: "entry".into(),
            incarnation: Incarnation(incarnation),
            seq: 0,
        }
    }
    fn renewal(term: u64, incarnation: u64) -> PlacerRecord {
        PlacerRecord::Renewal {
            term: Offset(term),
            instance: "entry".into(),
            incarnation: Incarnation(incarnation),
            seq: 1,
        }
    }
    let records = [
        claim(0, 1),
        renewal(0, 1),
        claim(2, 2),
        claim(2, 3),
        renewal(0, 1),
        renewal(2, 2),
        renewal(0, 1),
    ];
    let apply_records = |skip: usize| {
        let mut election = Election::default();
        let effects: Vec<_> = (0u64..)
            .zip(&records)
            .skip(skip)
            .map(|(offset, record)| election.apply(Offset(offset), record))
            .collect();
        (election.holder().cloned(), effects)
    };
    let (holder, effects) = apply_records(0);
    assert_eq!(holder.as_ref().unwrap().term, Offset(2));
    assert_eq!(
        effects[3..5],
        [RecordEffect::NoEffect, RecordEffect::NoEffect]
    );
    assert_eq!(effects[6], RecordEffect::NoEffect);
    for skip in 1..6 {
        assert_eq!(apply_records(skip).0, holder, "from {skip} on");
    }
}

#[test]
fn an_engine_that_saw_a_higher_number_stops_the_placer() {
    let mut world = World::new();
    world.run(5_000);
    let instance = world.placers()[0];
    let term = world.nodes[instance].placer.own_term().unwrap();
    world.event(instance, Event::Fenced { highest: term.0 });
    assert_eq!(world.placers(), [instance]);
    world.event(
        instance,
        Event::Fenced {
            highest: term.0 + 1,
        },
    );
    assert_eq!(world.placers(), Vec::<usize>::new());
}

#[test]
fn trimmed_records_are_skipped() {
    let settings = PlacerSettings::default();
    let mut placer = Placer::new("entry".into(), Incarnation(1), settings, 1);
    let candidate = savoryvane_core::placer::ElectionRole::Candidate { rank: 0 };
    placer.on_event(0, Event::RoleChanged(candidate));
    let first = Offset(500);
    let actions = placer.on_event(10, Event::Trimmed { first });
    let read = actions.iter().find_map(|action| match action {
        savoryvane_core::placer::Action::Read { from, .. } => Some(*from),
        _ => None,
    });
    assert_eq!(read, Some(first));
}

/// The old placer reads its own renewal so late that another instance has
/// claimed the term since.
#[test]
fn a_renewal_counts_from_its_append_and_not_from_its_reading() {
    let mut world = World::new();
    world.run(5_000);
    let old = world.placers()[0];
    world.pass(10_000);
    world.event(old, Event::Tick);
    world.append(old, AppendOutcome::Appended);
    let others: Vec<_> = (0..INSTANCES).filter(|instance| *instance != old).collect();
    for _ in 0..40 {
        world.pass(1_000);
        for instance in &others {
            world.read(*instance, usize::MAX);
            world.event(*instance, Event::Tick);
            world.append(*instance, AppendOutcome::Appended);
        }
    }
    let new = world.placers();
    assert_eq!(new.len(), 1);
    world.read(old, 1);
    assert_eq!(world.placers(), new);
    assert_eq!(world.faults, Vec::<String>::new());
}
