//! Rules of the claim stream, one test for each.

use savoryvane_core::{
    claim::{Batch, ClaimId, Completion, Entry, Fingerprint, KeyHash, MAX_ANSWER_BYTES},
    claim_batcher::{AppendResult, BatchLimits, ClaimBatcher, interval_ms},
    claim_index::{ClaimIndex, ClaimRecord, ClaimStatus, IndexLimits, KeyStatus},
    claimant::{
        Attempt, AttemptDecision, ClaimLimits, ClaimReason, ClaimRequest, Claimant, Decision,
        Ending, FirstRun, Permit, StartedAttempt,
    },
    ids::{IdempotencyKey, Incarnation, InstanceName, Offset, WorkspaceName},
    outcome::Outcome,
    progress::{CallKind, Retraction},
};

const NON_IDEMPOTENT: CallKind = CallKind::NonIdempotent;
const WINDOW_MS: u64 = 10_000;
const KEY: KeyHash = KeyHash([1; 16]);
const FINGERPRINT: Fingerprint = Fingerprint([2; 16]);

const INDEX_LIMITS: IndexLimits = IndexLimits {
    window_ms: WINDOW_MS,
    max_keys: 4,
    max_answer_bytes: 40,
};

const BATCH_LIMITS: BatchLimits = BatchLimits {
    interval_ms: 50,
    heartbeat_interval_ms: WINDOW_MS,
    max_entries: 4,
    max_bytes: 1_000,
    max_pending: 8,
};

fn id(incarnation: u64) -> ClaimId {
    ClaimId {
        incarnation: Incarnation(incarnation),
        seq: 1,
    }
}

fn claim(incarnation: u64) -> Entry {
    claim_for_key(KEY, incarnation)
}

fn claim_for_key(key: KeyHash, incarnation: u64) -> Entry {
    Entry::Claim {
        key,
        id: id(incarnation),
        fingerprint: FINGERPRINT,
        instance: InstanceName::from("entry"),
    }
}

fn release(incarnation: u64) -> Entry {
    Entry::Release {
        key: KEY,
        id: id(incarnation),
        ran: false,
    }
}

fn done(incarnation: u64) -> Entry {
    Entry::Done {
        key: KEY,
        id: id(incarnation),
        completion: Completion::new(Outcome::Complete, b"held"),
    }
}

/// Applies records with their append times, starting at offset `from`.
fn read(index: &mut ClaimIndex, from: u64, records: &[(u64, Entry)]) {
    for (offset, (at_ms, entry)) in (from..).zip(records) {
        let entries = vec![entry.clone()];
        apply(index, offset, *at_ms, Some(&Batch { entries }));
    }
}

fn apply(index: &mut ClaimIndex, offset: u64, appended_at_ms: u64, batch: Option<&Batch>) {
    index.apply(&ClaimRecord {
        offset: Offset(offset),
        appended_at_ms,
        batch,
    });
}

fn build_index(records: &[(u64, Entry)]) -> ClaimIndex {
    let mut index = ClaimIndex::new(INDEX_LIMITS);
    read(&mut index, 0, records);
    index
}

fn holder(index: &ClaimIndex) -> Option<ClaimId> {
    match index.key_status(&KEY) {
        KeyStatus::Free => None,
        KeyStatus::Claimed(holder) | KeyStatus::Done(holder, _) => Some(holder.id),
    }
}

#[test]
fn the_lowest_position_wins() {
    let index = build_index(&[(0, claim(1)), (0, claim(2)), (1, release(2)), (2, done(2))]);
    assert_eq!(holder(&index), Some(id(1)));
    assert_eq!(
        index.claim_status(&KEY, id(1)),
        ClaimStatus::Won {
            no_prior_calls: true
        }
    );
    assert_eq!(index.claim_status(&KEY, id(2)), ClaimStatus::NotHeld);
}

#[test]
fn the_next_claim_after_a_release_wins() {
    let index = build_index(&[(0, claim(1)), (1, claim(2)), (2, release(1)), (3, claim(3))]);
    assert_eq!(holder(&index), Some(id(3)));
}

#[test]
fn a_late_copy_of_a_released_claim_holds_nothing() {
    let index = build_index(&[(0, claim(1)), (1, release(1)), (2, claim(1))]);
    assert_eq!(holder(&index), None);
}

#[test]
fn a_duplicate_release_does_not_release_another_claim() {
    let records = [
        (0, claim(1)),
        (1, release(1)),
        (2, claim(2)),
        (3, release(1)),
    ];
    assert_eq!(holder(&build_index(&records)), Some(id(2)));
}

#[test]
fn a_completed_run_is_not_released() {
    let index = build_index(&[(0, claim(1)), (1, done(1)), (2, release(1)), (3, claim(2))]);
    assert!(matches!(index.key_status(&KEY), KeyStatus::Done(holder, _) if holder.id == id(1)));
}

#[test]
fn a_key_is_retained_for_the_window_after_its_last_entry() {
    let mut index = build_index(&[(0, claim(1)), (WINDOW_MS, claim(2))]);
    read(&mut index, 2, &[(2 * WINDOW_MS, claim(3))]);
    assert_eq!(holder(&index), Some(id(1)));
    read(&mut index, 3, &[(3 * WINDOW_MS + 1, claim(4))]);
    assert_eq!(holder(&index), Some(id(4)));
}

/// Guards against two winners. If a claim that did not win were not counted for
/// the window, an index that starts later would see claim 2 hold the key from 6 s
/// to 16 s and claim 4 win at 17 s, while an index that read claim 1 at 0 s would
/// see claim 3 win at 11 s.
#[test]
fn a_view_that_began_later_never_lets_a_second_claim_win() {
    let records = [
        (0, claim(1)),
        (6_000, claim(2)),
        (11_000, claim(3)),
        (17_000, claim(4)),
    ];
    let complete = build_index(&records);
    let mut partial = ClaimIndex::new(INDEX_LIMITS);
    read(&mut partial, 1, &records[1..]);
    let is_won = |index: &ClaimIndex, incarnation| {
        matches!(
            index.claim_status(&KEY, id(incarnation)),
            ClaimStatus::Won { .. }
        )
    };
    let winners =
        [3, 4].map(|incarnation| is_won(&complete, incarnation) || is_won(&partial, incarnation));
    assert_eq!(winners, [false, false]);
}

#[test]
fn nothing_is_decided_before_the_window_was_read() {
    let mut index = ClaimIndex::new(INDEX_LIMITS);
    read(&mut index, 5, &[(0, claim(1))]);
    assert_eq!(index.claim_status(&KEY, id(1)), ClaimStatus::Undecidable);
    assert!(!index.is_complete());
    read(
        &mut index,
        6,
        &[(WINDOW_MS + 1, claim_for_key(KeyHash([9; 16]), 2))],
    );
    assert!(index.is_complete());
    assert_eq!(index.claim_status(&KEY, id(1)), ClaimStatus::NotHeld);
}

/// The release that records an earlier run may precede the records that were read.
#[test]
fn a_view_that_began_later_does_not_tell_that_nothing_ran() {
    let release_after_run = Entry::Release {
        key: KEY,
        id: id(1),
        ran: true,
    };
    let records = [
        (0, claim(1)),
        (1, release_after_run),
        (6_000, release(7)),
        (11_000, claim(2)),
        (16_001, claim(3)),
    ];
    let claim_status = |from: usize| {
        let mut index = ClaimIndex::new(INDEX_LIMITS);
        read(&mut index, from as u64, &records[from..]);
        index.claim_status(&KEY, id(2))
    };
    let won_after_unknown_calls = ClaimStatus::Won {
        no_prior_calls: false,
    };
    assert_eq!([0, 1].map(claim_status), [won_after_unknown_calls; 2]);
}

#[test]
fn a_gap_or_an_unreadable_record_resets_the_index() {
    let mut after_gap = build_index(&[(0, claim(1)), (1, release(1))]);
    read(&mut after_gap, 7, &[(2, claim(2))]);
    assert_eq!(
        after_gap.claim_status(&KEY, id(2)),
        ClaimStatus::Undecidable
    );
    let mut after_unreadable = build_index(&[(0, claim(1)), (1, release(1))]);
    apply(&mut after_unreadable, 2, 2, None);
    read(&mut after_unreadable, 3, &[(3, claim(2))]);
    assert_eq!(
        after_unreadable.claim_status(&KEY, id(2)),
        ClaimStatus::Undecidable
    );
}

#[test]
fn a_record_delivered_twice_counts_once() {
    let mut index = build_index(&[(0, claim(1)), (1, release(1))]);
    read(&mut index, 0, &[(0, claim(2))]);
    assert_eq!((holder(&index), index.next()), (None, Offset(2)));
}

#[test]
fn the_index_is_bounded() {
    let keys: Vec<(u64, Entry)> = (1..=5)
        .map(|n| (0, claim_for_key(KeyHash([n; 16]), n.into())))
        .collect();
    let index = build_index(&keys);
    assert!(index.is_empty() && !index.is_complete());
    let answers: Vec<(u64, Entry)> = (1..=3)
        .flat_map(|n| {
            let (key, id) = (KeyHash([n; 16]), id(n.into()));
            let completion = Completion::new(Outcome::Complete, &[0; 20]);
            let done = Entry::Done {
                key,
                id,
                completion,
            };
            [(0, claim_for_key(key, n.into())), (0, done)]
        })
        .collect();
    let index = build_index(&answers);
    let has_answer = |n: u8| match index.key_status(&KeyHash([n; 16])) {
        KeyStatus::Done(_, completion) => completion.answer.is_some(),
        KeyStatus::Free | KeyStatus::Claimed(_) => panic!("key {n} is forgotten"),
    };
    assert_eq!([1, 2, 3].map(has_answer), [false, true, true]);
}

#[test]
fn a_large_answer_is_not_stored_but_its_outcome_is() {
    let completion = Completion::new(Outcome::Complete, &[0; MAX_ANSWER_BYTES + 1]);
    assert_eq!(
        (completion.outcome, completion.answer),
        (Outcome::Complete, None)
    );
}

#[test]
fn the_same_key_in_two_workspaces_has_different_hashes() {
    let hash = |workspace: &str, key: &str| {
        KeyHash::of(&WorkspaceName::from(workspace), &IdempotencyKey::from(key))
    };
    assert_ne!(hash("ab", "c"), hash("a", "bc"));
    assert_eq!(hash("ab", "c"), hash("ab", "c"));
}

/// A shared log that tests read from and append to explicitly.
struct Log {
    records: Vec<(u64, Batch)>,
}

impl Log {
    fn new() -> Self {
        Self {
            records: vec![(0, Batch::default())],
        }
    }

    fn start(&self, incarnation: u64) -> Claimant {
        let limits = ClaimLimits {
            index: INDEX_LIMITS,
            batch: BATCH_LIMITS,
            max_abandoned: 8,
        };
        let mut claimant = Claimant::new(
            InstanceName::from("entry"),
            Incarnation(incarnation),
            limits,
        );
        self.read(0, &mut claimant);
        claimant
    }

    fn read(&self, now_ms: u64, claimant: &mut Claimant) -> Vec<AttemptDecision> {
        let from = claimant.index().next().0;
        let mut decisions = Vec::new();
        for (offset, (appended_at_ms, batch)) in (0..).zip(&self.records) {
            if offset >= from {
                let record = ClaimRecord {
                    offset: Offset(offset),
                    appended_at_ms: *appended_at_ms,
                    batch: Some(batch),
                };
                decisions.extend(claimant.on_record(now_ms, &record));
            }
        }
        decisions
    }

    fn append(&mut self, now_ms: u64, claimant: &mut Claimant, result: AppendResult) {
        let batch = claimant.poll_append(now_ms).expect("a batch").clone();
        self.records.push((now_ms, batch));
        claimant.on_append_result(result);
    }

    /// Appends the next batch and reads it back.
    fn append_and_read(&mut self, now_ms: u64, claimant: &mut Claimant) -> Vec<AttemptDecision> {
        self.append(now_ms, claimant, AppendResult::Appended);
        self.read(now_ms, claimant)
    }
}

fn claim_request(deadline_ms: u64) -> ClaimRequest {
    ClaimRequest {
        key: KEY,
        fingerprint: FINGERPRINT,
        deadline_ms,
    }
}

fn begin(now_ms: u64, claimant: &mut Claimant, deadline_ms: u64) -> Attempt {
    let StartedAttempt { attempt, decision } = claimant.begin(now_ms, claim_request(deadline_ms));
    assert_eq!(decision, None);
    attempt
}

fn win_claim(now_ms: u64, log: &mut Log, claimant: &mut Claimant, deadline_ms: u64) -> Attempt {
    let attempt = begin(now_ms, claimant, deadline_ms);
    let decision = Decision::Won;
    assert_eq!(
        log.append_and_read(now_ms, claimant),
        [AttemptDecision { attempt, decision }]
    );
    attempt
}

fn first_run() -> FirstRun {
    FirstRun {
        instance: InstanceName::from("entry"),
        id: ClaimId { seq: 2, ..id(1) },
    }
}

fn ended(outcome: Outcome, reason: ClaimReason) -> Decision {
    Decision::Ended(Ending { outcome, reason })
}

#[test]
fn concurrent_claims_of_two_instances_have_one_winner() {
    let mut log = Log::new();
    let (mut a, mut b) = (log.start(1), log.start(2));
    let (attempt_a, attempt_b) = (begin(0, &mut a, 1_000), begin(0, &mut b, 1_000));
    log.append(0, &mut b, AppendResult::Appended);
    log.append(0, &mut a, AppendResult::Appended);
    // The append response decides neither attempt.
    assert_eq!(
        a.permit(1, attempt_a, 0, NON_IDEMPOTENT),
        Permit::Refused(ClaimReason::NotHolder)
    );
    assert_eq!(
        b.permit(1, attempt_b, 0, NON_IDEMPOTENT),
        Permit::Refused(ClaimReason::NotHolder)
    );
    log.read(1, &mut a);
    log.read(1, &mut b);
    assert_eq!(
        a.permit(1, attempt_a, 0, NON_IDEMPOTENT),
        Permit::Refused(ClaimReason::NotHolder)
    );
    assert_eq!(b.permit(1, attempt_b, 0, NON_IDEMPOTENT), Permit::Send);
    assert_eq!(
        b.permit(1, attempt_b, 0, NON_IDEMPOTENT),
        Permit::Refused(ClaimReason::AlreadySent)
    );
}

#[test]
fn an_append_whose_answer_is_lost_is_found_in_the_log() {
    let mut log = Log::new();
    let mut a = log.start(1);
    let attempt = begin(0, &mut a, 1_000);
    log.append(0, &mut a, AppendResult::NotConfirmed);
    let decisions = log.read(10, &mut a);
    let decision = Decision::Won;
    assert_eq!(decisions, [AttemptDecision { attempt, decision }]);
    assert_eq!(a.permit(10, attempt, 0, NON_IDEMPOTENT), Permit::Send);
}

#[test]
fn a_freeze_past_the_deadline_sends_nothing_and_frees_the_key() {
    let mut log = Log::new();
    let (mut a, mut b) = (log.start(1), log.start(2));
    let attempt_a = win_claim(0, &mut log, &mut a, 1_000);
    assert_eq!(
        a.permit(3_000, attempt_a, 0, NON_IDEMPOTENT),
        Permit::Refused(ClaimReason::Deadline)
    );
    assert_eq!(
        a.finish(3_000, attempt_a, Outcome::Failed, b""),
        Outcome::NotRun
    );
    log.read(3_000, &mut b);
    let StartedAttempt {
        attempt: attempt_b,
        decision,
    } = b.begin(3_000, claim_request(4_000));
    assert!(matches!(decision, Some(Decision::Join(_))));
    log.append_and_read(3_000, &mut a);
    // After the release the waiting attempt claims the key again.
    log.read(3_010, &mut b);
    log.append_and_read(3_010, &mut b);
    assert_eq!(b.permit(3_020, attempt_b, 0, NON_IDEMPOTENT), Permit::Send);
}

#[test]
fn a_claim_older_than_half_the_window_is_never_sent_on() {
    let mut log = Log::new();
    let mut a = log.start(1);
    let attempt = win_claim(0, &mut log, &mut a, 5 * WINDOW_MS);
    let too_old = Permit::Refused(ClaimReason::ClaimTooOld);
    assert_eq!(a.permit(WINDOW_MS / 2, attempt, 0, NON_IDEMPOTENT), too_old);
    // Another attempt may have run by now, so "not run" must not be reported.
    let reported = a.finish(2 * WINDOW_MS, attempt, Outcome::Failed, b"");
    assert_eq!(reported, Outcome::NotStarted);
}

#[test]
fn a_claim_given_up_before_it_was_read_does_not_block_the_repeat() {
    let mut log = Log::new();
    let (mut a, mut b) = (log.start(1), log.start(2));
    let attempt = begin(0, &mut a, 1_000);
    log.append(0, &mut a, AppendResult::NotConfirmed);
    let decision = ended(Outcome::NotStarted, ClaimReason::Deadline);
    assert_eq!(a.on_tick(1_000), [AttemptDecision { attempt, decision }]);
    assert_eq!(log.read(1_100, &mut a), []);
    assert_eq!(
        a.permit(1_100, attempt, 0, NON_IDEMPOTENT),
        Permit::Refused(ClaimReason::NotHolder)
    );
    log.append_and_read(1_100, &mut a);
    log.read(1_200, &mut b);
    let attempt_b = win_claim(1_200, &mut log, &mut b, 2_000);
    assert_eq!(b.permit(1_300, attempt_b, 0, NON_IDEMPOTENT), Permit::Send);
}

#[test]
fn a_run_before_is_remembered_when_a_later_attempt_sends_nothing() {
    let mut log = Log::new();
    let mut a = log.start(1);
    let first = win_claim(0, &mut log, &mut a, 1_000);
    assert_eq!(a.permit(1, first, 0, CallKind::Idempotent), Permit::Send);
    assert_eq!(a.finish(10, first, Outcome::Failed, b""), Outcome::Failed);
    log.append_and_read(100, &mut a);
    let second = win_claim(200, &mut log, &mut a, 1_000);
    let reported = a.finish(210, second, Outcome::NotRun, b"");
    assert_eq!(reported, Outcome::NotStarted);
}

#[test]
fn a_refused_call_may_go_elsewhere_but_is_not_told_as_not_run() {
    let mut log = Log::new();
    let mut a = log.start(1);
    let attempt = win_claim(0, &mut log, &mut a, 1_000);
    assert_eq!(a.permit(1, attempt, 0, NON_IDEMPOTENT), Permit::Send);
    a.retract(attempt, Retraction::Refused);
    assert_eq!(a.permit(2, attempt, 0, NON_IDEMPOTENT), Permit::Send);
    a.retract(attempt, Retraction::Refused);
    assert_eq!(a.finish(3, attempt, Outcome::NotRun, b""), Outcome::Failed);
}

#[test]
fn a_sent_call_is_never_reported_as_safe_to_retry() {
    let mut log = Log::new();
    let mut a = log.start(1);
    let attempt = win_claim(0, &mut log, &mut a, 1_000);
    assert_eq!(a.permit(1, attempt, 1, NON_IDEMPOTENT), Permit::Send);
    assert_eq!(
        a.permit(1, attempt, 0, NON_IDEMPOTENT),
        Permit::Refused(ClaimReason::AlreadySent)
    );
    assert_eq!(a.finish(2, attempt, Outcome::Failed, b""), Outcome::Unknown);
}

#[test]
fn a_repeat_gets_the_first_answer_and_another_request_is_refused() {
    let mut log = Log::new();
    let (mut a, mut b) = (log.start(1), log.start(2));
    let attempt = win_claim(0, &mut log, &mut a, 1_000);
    assert_eq!(a.permit(1, attempt, 0, NON_IDEMPOTENT), Permit::Send);
    a.finish(2, attempt, Outcome::Complete, b"held");
    log.append_and_read(60, &mut a);
    log.read(60, &mut b);
    let recorded = Decision::Recorded(Completion::new(Outcome::Complete, b"held"));
    assert_eq!(b.begin(70, claim_request(1_000)).decision, Some(recorded));
    let other = ClaimRequest {
        fingerprint: Fingerprint([3; 16]),
        ..claim_request(1_000)
    };
    assert_eq!(b.begin(70, other).decision, Some(Decision::Misuse));
}

#[test]
fn a_retry_after_the_holder_died_is_unknown_immediately() {
    let mut log = Log::new();
    let (mut a, mut b) = (log.start(1), log.start(2));
    win_claim(0, &mut log, &mut a, 1_000);
    drop(a);
    log.read(5, &mut b);
    let StartedAttempt { attempt, decision } = b.begin(10, claim_request(1_000));
    assert_eq!(decision, Some(Decision::Join(first_run())));
    let unknown = ended(Outcome::Unknown, ClaimReason::HolderUnreachable);
    assert_eq!(b.on_holder_unreachable(10, attempt), Some(unknown));
}

#[test]
fn a_gap_ends_pending_attempts_immediately() {
    let log = Log::new();
    let mut a = log.start(1);
    let attempt = begin(0, &mut a, 1_000);
    let record = ClaimRecord {
        offset: Offset(9),
        appended_at_ms: 5,
        batch: Some(&Batch::default()),
    };
    let decision = ended(Outcome::NotStarted, ClaimReason::IndexIncomplete);
    assert_eq!(
        a.on_record(5, &record),
        [AttemptDecision {
            attempt,
            decision: decision.clone()
        }]
    );
    assert_eq!(a.begin(6, claim_request(1_000)).decision, Some(decision));
}

#[test]
fn an_unavailable_log_fails_attempts_immediately_and_is_retried() {
    let mut log = Log::new();
    let mut a = log.start(1);
    begin(0, &mut a, 1_000);
    for now_ms in [0, 150] {
        assert!(a.poll_append(now_ms).is_some());
        a.on_append_result(AppendResult::NotConfirmed);
    }
    let unavailable = ended(Outcome::NotStarted, ClaimReason::LogUnavailable);
    assert_eq!(
        a.begin(160, claim_request(1_000)).decision,
        Some(unavailable)
    );
    log.append_and_read(300, &mut a);
    assert_eq!(
        a.begin(301, claim_request(1_000)).decision,
        Some(Decision::Join(first_run()))
    );
}

#[test]
fn appends_are_batched_sequential_and_spaced() {
    let mut batcher = ClaimBatcher::new(BATCH_LIMITS);
    (1..=5).for_each(|incarnation| batcher.push(claim(incarnation)));
    let first = batcher.poll(1_000).map(|batch| batch.entries.len());
    assert_eq!((first, batcher.poll(2_000)), (Some(4), None));
    batcher.on_result(AppendResult::Appended, |_| true);
    assert_eq!(batcher.poll(1_049), None);
    assert_eq!(
        batcher.poll(1_050).map(|batch| batch.entries.len()),
        Some(1)
    );
    batcher.on_result(AppendResult::NotConfirmed, |_| false);
    assert_eq!(batcher.due_at_ms(), Some(WINDOW_MS));
}

#[test]
fn a_batch_stays_within_its_size_limit() {
    let limits = BatchLimits {
        max_bytes: 260,
        ..BATCH_LIMITS
    };
    let mut batcher = ClaimBatcher::new(limits);
    (1..=4).for_each(|incarnation| batcher.push(claim(incarnation)));
    assert_eq!(batcher.poll(0).map(|batch| batch.entries.len()), Some(2));
}

#[test]
fn the_interval_keeps_all_instances_within_the_rate() {
    assert_eq!(interval_ms(8, 100), 80);
    assert_eq!(interval_ms(570, 100), 5_700);
    assert_eq!(interval_ms(0, 0), 1_000);
}
