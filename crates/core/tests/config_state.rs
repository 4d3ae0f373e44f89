//! Rule by which records change the configuration.

mod config_fixtures;

use config_fixtures::*;
use quickcheck::{Gen, QuickCheck};
use savoryvane_core::{
    change::{ChangeOp, Intent},
    config::{
        Applied, Assembler, Assembly, ConfigRecord, Fault, InvalidReason, MAX_PART_BYTES,
        PartFault, PlanError, RETAINED_OFFSETS, State, Verdict, Violation,
    },
    ids::Offset,
    objects::{Object, ObjectKind, StageKind},
};

#[test]
fn racing_plans_get_one_winner_and_one_conflict() {
    let mut state = small_state();
    let base = state.next().0;
    let first = put_pool(base, "llm", 6);
    let second = put_pool(base, "llm", 7);
    assert_eq!(apply_next(&mut state, &first), Applied::InForce);
    let touched = vec![key(ObjectKind::Pool, "llm")];
    assert_eq!(
        apply_next(&mut state, &second),
        Applied::Conflict { touched }
    );
    assert_eq!(state.pool("llm").unwrap().price_micros_per_s, 6);
}

#[test]
fn removed_objects_still_conflict() {
    let mut state = small_state();
    let base = state.next().0;
    let remove = ChangeOp::Delete(key(ObjectKind::Backend, "runner-1"));
    let remove = ConfigRecord::Change(change(base, vec![remove]));
    let put = ChangeOp::Put(Object::Backend(backend("runner-1", "llm", 8)));
    let put = ConfigRecord::Change(change(base, vec![put]));
    assert_eq!(apply_next(&mut state, &remove), Applied::InForce);
    assert!(matches!(
        apply_next(&mut state, &put),
        Applied::Conflict { .. }
    ));
    assert!(state.backend("runner-1").is_none());
}

#[test]
fn a_repeat_does_nothing_whatever_its_first_verdict_was() {
    let mut state = State::new();
    let referring = ChangeOp::Put(Object::Backend(backend("runner-1", "later", 1)));
    let premature = ConfigRecord::Change(change(0, vec![referring]));
    assert!(matches!(
        apply_next(&mut state, &premature),
        Applied::Invalid { .. }
    ));
    assert_eq!(
        apply_next(&mut state, &put_pool(0, "later", 1)),
        Applied::InForce
    );
    let first = Offset(0);
    assert_eq!(
        apply_next(&mut state, &premature),
        Applied::Repeat { first }
    );
    assert_eq!(
        apply_next(&mut state, &put_pool(0, "later", 1)),
        Applied::Repeat { first: Offset(1) }
    );
    assert!(state.backend("runner-1").is_none());
}

#[test]
fn a_change_that_breaks_a_reference_is_rejected_whole() {
    let mut state = small_state();
    let ops = vec![
        ChangeOp::Put(Object::Pool(pool("new", 1))),
        ChangeOp::Delete(key(ObjectKind::Pool, "llm")),
    ];
    let record = ConfigRecord::Change(change(state.next().0, ops));
    let before: Vec<_> = state.objects().collect();
    let applied = apply_next(&mut state, &record);
    let Applied::Invalid { reasons } = applied else {
        panic!("{applied:?}")
    };
    let broken = InvalidReason::Rule(Violation {
        key: key(ObjectKind::Pipeline, "quote"),
        fault: Fault::UnknownPool("llm".into()),
    });
    assert!(reasons.contains(&broken), "{reasons:?}");
    assert_eq!(state.objects().collect::<Vec<_>>(), before);
}

#[test]
fn what_others_refer_to_can_not_be_removed_or_made_unfit() {
    let mut state = State::new();
    let mut intent = small_intent();
    intent.pools.push(pool("other", 1));
    intent.pipelines[0].stages[0].model = Some("chat".into());
    let plan = state.plan(&intent, &operator()).unwrap();
    apply_next(&mut state, &ConfigRecord::Change(plan.change));
    let mut encoders = pool("llm", 1);
    encoders.kind = StageKind::Encode;
    let cases = [
        (
            ChangeOp::Delete(key(ObjectKind::Pipeline, "quote")),
            key(ObjectKind::Workspace, "signs"),
        ),
        (
            ChangeOp::Put(Object::Model(model("chat", "other"))),
            key(ObjectKind::Pipeline, "quote"),
        ),
        (
            ChangeOp::Put(Object::Pool(encoders)),
            key(ObjectKind::Model, "chat"),
        ),
    ];
    for (op, invalid) in cases {
        let record = ConfigRecord::Change(change(state.next().0, vec![op]));
        let Applied::Invalid { reasons } = apply_next(&mut state, &record) else {
            panic!("{record:?}")
        };
        let is_reported =
            |reason: &InvalidReason| matches!(reason, InvalidReason::Rule(x) if x.key == invalid);
        assert!(reasons.iter().any(is_reported), "{reasons:?}");
    }
}

#[test]
fn forged_records_leave_no_trace_but_their_offset() {
    let mut state = small_state();
    let mut forged = change(state.next().0, Vec::new());
    forged.ops = vec![ChangeOp::Put(Object::Pool(pool("x", 1)))];
    let reasons = vec![InvalidReason::IdMismatch];
    let applied = apply_next(&mut state, &ConfigRecord::Change(forged));
    assert_eq!(applied, Applied::Invalid { reasons });
    let ahead = put_pool(state.next().0 + 1, "x", 1);
    let reasons = vec![InvalidReason::BaseAhead];
    assert_eq!(apply_next(&mut state, &ahead), Applied::Invalid { reasons });
    assert_eq!(state.history().count(), 1);
    assert!(state.pool("x").is_none());
}

#[test]
fn gaps_and_old_offsets_are_never_applied() {
    let mut state = small_state();
    let before = state.clone();
    let record = put_pool(1, "x", 1);
    let expected = state.next();
    assert_eq!(
        state.apply(Offset(expected.0 + 1), &record),
        Applied::Gap { expected }
    );
    assert_eq!(state.apply(Offset(0), &record), Applied::Old);
    assert_eq!(state.apply_undecodable(Offset(0)), Applied::Old);
    assert_eq!(state, before);
}

#[test]
fn a_base_out_of_memory_is_rejected_as_too_old() {
    let mut state = small_state();
    let base = state.next().0;
    while state.next().0 < base + RETAINED_OFFSETS {
        state.apply_undecodable(state.next());
    }
    let mut at_edge = state.clone();
    let within_limit = apply_next(&mut at_edge, &put_pool(base, "x", 1));
    assert_eq!(within_limit, Applied::InForce);
    state.apply_undecodable(state.next());
    let too_late = apply_next(&mut state, &put_pool(base, "x", 1));
    assert_eq!(too_late, Applied::TooOld);
    assert_eq!(state.history().next().unwrap().verdict, Verdict::TooOld);
    assert_eq!(state.history().len(), 1);
}

#[test]
fn a_plan_reports_all_errors() {
    let mut intent = small_intent();
    intent.pools.push(pool("llm", 9));
    intent.backends[0].slots = 0;
    intent.models[0].pool = "nowhere".into();
    intent.pipelines[0].stages = vec![stage("only", "missing"); 17];
    intent.workspaces[0].credential_sha256 = "secret".to_owned();
    intent.workspaces[0].name = "Signs!".into();
    intent.remove = vec![key(ObjectKind::Pool, "llm"), key(ObjectKind::Model, "none")];
    let errors = State::new().plan(&intent, &"Anna".into()).unwrap_err();
    let has = |expected: &str| errors.iter().any(|x| x.to_string().contains(expected));
    for expected in [
        "operator \"Anna\"",
        "pool \"llm\": named more than once",
        "pool \"llm\": both configured and removed",
        "model \"none\": to be removed, but not configured",
        "slots: found 0, allowed are 1 to 4096",
        "pool \"nowhere\" is not configured",
        "stages: found 17, allowed are 1 to 16",
        "stage \"only\" is named twice",
        "64 lower-case hex digits",
        "name \"Signs!\"",
    ] {
        assert!(has(expected), "{expected} is not in {errors:#?}");
    }
}

#[test]
fn a_plan_contains_only_actual_changes() {
    let state = small_state();
    let mut intent = small_intent();
    intent.models[0].min_replicas = 3;
    let plan = state.plan(&intent, &operator()).unwrap();
    assert_eq!(plan.summary, ["replace model \"chat\""]);
    assert_eq!(plan.moves.len(), 1);
    assert_eq!(plan.change.base, state.next());
    let again = state.plan(&small_intent(), &operator()).unwrap();
    assert!(again.change.ops.is_empty());
    assert_eq!(again.warnings, ["nothing would change"]);
}

#[test]
fn a_plan_too_large_for_a_record_is_refused() {
    let pools = (0..5_000).map(|i| pool(&format!("pool-{i}"), 1)).collect();
    let intent = Intent {
        pools,
        ..Intent::default()
    };
    let errors = State::new().plan(&intent, &operator()).unwrap_err();
    assert!(matches!(errors[..], [PlanError::TooLarge(_)]), "{errors:?}");
}

fn large_state() -> State {
    let mut state = State::new();
    for batch in 0..10 {
        let pools = (0..1_000).map(|i| pool(&format!("pool-{batch}-{i}"), 1));
        let intent = Intent {
            pools: pools.collect(),
            ..Intent::default()
        };
        let plan = state.plan(&intent, &operator()).unwrap();
        apply_next(&mut state, &ConfigRecord::Change(plan.change));
    }
    state
}

#[test]
fn checkpoint_parts_are_bounded_and_assembled_in_any_order() {
    let state = large_state();
    let mut parts = state.checkpoint();
    assert!(parts.len() > 4);
    for part in &parts {
        let record = ConfigRecord::Checkpoint(part.clone());
        assert!(serde_json::to_vec(&record).unwrap().len() <= MAX_PART_BYTES);
    }
    parts.reverse();
    let mut assembler = Assembler::new();
    let last = parts.pop().unwrap();
    for part in parts {
        let assembly = assembler.add(Offset(99), part);
        assert_eq!(assembly, Assembly::Incomplete);
    }
    let assembly = assembler.add(Offset(99), last);
    assert_eq!(assembly, Assembly::Complete(Box::new(state)));
}

#[test]
fn wrong_checkpoints_are_ignored_and_counted() {
    let state = small_state();
    let mut assembler = Assembler::new();
    let good = state.checkpoint().remove(0);
    let mut wrong = good.clone();
    wrong.items.pop();
    let bad_digest = Assembly::Ignored(PartFault::BadDigest);
    assert_eq!(assembler.add(Offset(5), wrong), bad_digest);
    let mut out_of_range = good.clone();
    out_of_range.index = 7;
    let bad_index = Assembly::Ignored(PartFault::BadIndex);
    assert_eq!(assembler.add(Offset(5), out_of_range), bad_index);
    let ahead = Assembly::Ignored(PartFault::CoversAhead);
    assert_eq!(assembler.add(Offset(0), good.clone()), ahead);
    assert_eq!(assembler.ignored(), 3);
    let complete = Assembly::Complete(Box::new(state));
    assert_eq!(assembler.add(Offset(5), good), complete);
}

/// Generates a record against `state` that is sometimes stale, repeated or invalid.
fn random_record(g: &mut Gen, state: &State, previous: &[ConfigRecord]) -> ConfigRecord {
    let choice = u8::arbitrary_in(g, 10);
    if choice == 0
        && let Some(record) = g.choose(previous)
    {
        return record.clone();
    }
    let lag = u64::from(u8::arbitrary_in(g, 4));
    let base = state.next().0.saturating_sub(lag);
    let name = *g.choose(&["a", "b", "c"]).unwrap();
    let price = u64::from(u8::arbitrary_in(g, 200));
    let op = match choice {
        1..4 => ChangeOp::Put(Object::Pool(pool(name, price))),
        4..6 => ChangeOp::Delete(key(ObjectKind::Pool, name)),
        6..8 => ChangeOp::Put(Object::Backend(backend(name, "a", u32::from(choice)))),
        _ => ChangeOp::Delete(key(ObjectKind::Backend, name)),
    };
    ConfigRecord::Change(change(base, vec![op]))
}

trait ArbitraryIn {
    fn arbitrary_in(g: &mut Gen, end: u8) -> Self;
}

impl ArbitraryIn for u8 {
    fn arbitrary_in(g: &mut Gen, end: u8) -> Self {
        <Self as quickcheck::Arbitrary>::arbitrary(g) % end
    }
}

fn checkpoint_restores_the_replayed_state(seed: u64, records: u8, split: u8) -> bool {
    let mut g = Gen::from_size_and_seed(64, seed);
    let mut replayed = State::new();
    let mut stream = Vec::new();
    let mut resumed = None;
    for position in 0..=records {
        if position == split.min(records) {
            resumed = restore_from_checkpoint(&replayed);
            assert!(resumed.as_ref() == Some(&replayed));
        }
        let record = random_record(&mut g, &replayed, &stream);
        let offset = replayed.next();
        let applied = replayed.apply(offset, &record);
        if let Some(resumed) = &mut resumed {
            assert_eq!(resumed.apply(offset, &record), applied);
        }
        stream.push(record);
    }
    resumed == Some(replayed)
}

fn restore_from_checkpoint(state: &State) -> Option<State> {
    let mut assembler = Assembler::new();
    let mut parts = state.checkpoint().into_iter();
    parts.find_map(|part| match assembler.add(state.next(), part) {
        Assembly::Complete(state) => Some(*state),
        Assembly::Incomplete | Assembly::Ignored(_) => None,
    })
}

#[test]
fn checkpoint_and_tail_equal_the_full_replay() {
    let property = checkpoint_restores_the_replayed_state as fn(u64, u8, u8) -> bool;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(256, 5))
        .tests(200)
        .quickcheck(property);
}
