//! Tickets: a ticket is run at most once, by the incarnation that issued it,
//! without a log.

use std::collections::HashMap;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use savoryvane_core::{
    claim::{Completion, Fingerprint},
    claimant::{ClaimReason, Permit},
    ids::{Incarnation, InstanceName, WorkspaceName},
    outcome::Outcome,
    progress::{CallKind, Retraction},
    ticket::{Redemption, TicketId, TicketLimits, TicketRegistry},
};

const SEED: u64 = 0x5eed;
const GEN_SIZE: usize = 60;
const DEADLINE_MS: u64 = 1_000_000;
const FINGERPRINT: Fingerprint = Fingerprint([1; 16]);
const LIMITS: TicketLimits = TicketLimits {
    valid_ms: 1_000,
    retain_expired_ms: 500,
    max_per_workspace: 3,
    max_total: 4,
};

fn registry(incarnation: u64) -> TicketRegistry {
    let instance = InstanceName::from("entry-1");
    TicketRegistry::new(instance, Incarnation(incarnation), LIMITS)
}

fn workspace() -> WorkspaceName {
    WorkspaceName::from("taalghar")
}

fn issue(registry: &mut TicketRegistry, now_ms: u64, secret: u8) -> Option<TicketId> {
    registry.issue(now_ms, &workspace(), [secret; 16])
}

fn redeem(registry: &mut TicketRegistry, now_ms: u64, id: &TicketId) -> Redemption {
    registry.redeem(now_ms, id, &workspace(), FINGERPRINT)
}

fn send(registry: &mut TicketRegistry, id: &TicketId) -> bool {
    registry.permit(0, id, DEADLINE_MS, 0, CallKind::NonIdempotent) == Permit::Send
}

#[test]
fn a_ticket_is_run_once_and_retries_get_its_answer() {
    let mut registry = registry(1);
    let id = issue(&mut registry, 0, 7).expect("room");
    assert_eq!(redeem(&mut registry, 0, &id), Redemption::Run);
    assert_eq!(redeem(&mut registry, 1, &id), Redemption::Join);
    assert!(send(&mut registry, &id) && !send(&mut registry, &id));
    assert_eq!(
        registry.finish(&id, Outcome::Complete, b"held"),
        Outcome::Complete
    );
    let recorded = Redemption::Recorded(Completion::new(Outcome::Complete, b"held"));
    assert_eq!(redeem(&mut registry, 2, &id), recorded);
    assert!(!send(&mut registry, &id));
}

#[test]
fn another_incarnation_never_runs_a_ticket() {
    let id = issue(&mut registry(1), 0, 7).expect("room");
    let mut successor = registry(2);
    assert_eq!(redeem(&mut successor, 0, &id), Redemption::Forward);
    assert!(!send(&mut successor, &id));
}

#[test]
fn an_expired_or_never_issued_ticket_is_not_valid() {
    let mut registry = registry(1);
    let id = issue(&mut registry, 0, 7).expect("room");
    assert_eq!(
        redeem(&mut registry, LIMITS.valid_ms, &id),
        Redemption::NotValid
    );
    let guessed = TicketId {
        secret: [8; 16],
        ..id
    };
    assert_eq!(redeem(&mut registry, 0, &guessed), Redemption::NotValid);
}

#[test]
fn a_ticket_is_bound_to_its_workspace_and_request() {
    let mut registry = registry(1);
    let id = issue(&mut registry, 0, 7).expect("room");
    let other = WorkspaceName::from("uithangbord");
    assert_eq!(
        registry.redeem(0, &id, &other, FINGERPRINT),
        Redemption::Misuse
    );
    assert_eq!(redeem(&mut registry, 0, &id), Redemption::Run);
    let different = registry.redeem(0, &id, &workspace(), Fingerprint([2; 16]));
    assert_eq!(different, Redemption::Misuse);
}

#[test]
fn a_freeze_past_the_deadline_sends_no_call() {
    let mut registry = registry(1);
    let id = issue(&mut registry, 0, 7).expect("room");
    assert_eq!(redeem(&mut registry, 0, &id), Redemption::Run);
    let permit = registry.permit(200, &id, 200, 0, CallKind::NonIdempotent);
    assert_eq!(permit, Permit::Refused(ClaimReason::Deadline));
    assert_eq!(registry.finish(&id, Outcome::Failed, b""), Outcome::NotRun);
    assert_eq!(redeem(&mut registry, 300, &id), Redemption::Run);
}

#[test]
fn the_number_of_tickets_is_bounded() {
    let mut registry = registry(1);
    let issued = (0..4).filter_map(|n| issue(&mut registry, 0, n)).count();
    assert_eq!(issued, LIMITS.max_per_workspace);
    let other = WorkspaceName::from("uithangbord");
    assert!(registry.issue(0, &other, [10; 16]).is_some());
    assert!(registry.issue(0, &other, [11; 16]).is_none());
    let later_ms = LIMITS.valid_ms + LIMITS.retain_expired_ms;
    assert!(issue(&mut registry, later_ms, 12).is_some());
    assert_eq!(registry.len(), 1);
}

#[test]
fn the_text_form_round_trips() {
    let id = issue(&mut registry(0xabc), 0, 7).expect("room");
    assert_eq!(TicketId::parse(&id.to_string()), Some(id.clone()));
    let text = id.to_string();
    for broken in ["", "t1", "t2_a_b_c", &text[1..], &text[..text.len() - 1]] {
        assert_eq!(TicketId::parse(broken), None, "{broken}");
    }
    assert_eq!(TicketId::parse(&format!("{text}_")), None);
}

fn seeded(tests: u64) -> QuickCheck {
    let rng = Gen::from_size_and_seed(GEN_SIZE, SEED);
    QuickCheck::new().rng(rng).tests(tests).max_tests(tests)
}

#[test]
fn parsing_any_text_does_not_panic() {
    fn property(text: String, tail: String) -> bool {
        let prefixed = format!("t1_{text}_{tail}");
        [text, prefixed].iter().all(|text| {
            TicketId::parse(text).is_none_or(|id| id.to_string() == text.to_lowercase())
        })
    }
    seeded(5_000).quickcheck(property as fn(_, _) -> _);
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Issue,
    Redeem(usize),
    Send(usize),
    RunIdempotent(usize),
    Retract(usize, Retraction),
    Finish(usize, Outcome),
    AdvanceTime(u64),
    Restart,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let index = usize::arbitrary(g) % 3;
        let causes = [Retraction::NotWritten, Retraction::Refused];
        match u8::arbitrary(g) % 16 {
            0..2 => Self::Issue,
            2..6 => Self::Redeem(index),
            6..9 => Self::Send(index),
            9 => Self::RunIdempotent(index),
            10 => Self::Retract(index, *g.choose(&causes).expect("causes")),
            11..14 => Self::Finish(index, *g.choose(&Outcome::ALL).expect("outcomes")),
            14 => Self::AdvanceTime(*g.choose(&[1, 400, 2_000]).expect("times")),
            _ => Self::Restart,
        }
    }
}

/// Calls actually made under one ticket, for comparison.
#[derive(Clone, Copy, Default)]
struct ActualCalls {
    sent: u32,
    ran: bool,
    is_last_sent: bool,
}

#[test]
fn a_ticket_is_sent_on_at_most_once_and_not_run_is_true() {
    fn property(ops: Vec<Op>) -> bool {
        let mut registry = registry(1);
        let mut tickets = Vec::new();
        let mut actual_by_ticket: HashMap<usize, ActualCalls> = HashMap::new();
        let mut now_ms = 0;
        for (step, op) in (0..).zip(ops) {
            let ticket_at = |index: usize| tickets.get(index).cloned();
            match op {
                Op::Issue => tickets.extend(issue(&mut registry, now_ms, step)),
                Op::AdvanceTime(ms) => now_ms += ms,
                Op::Restart => registry = self::registry(2 + u64::from(step)),
                Op::Redeem(index) => {
                    if let Some(id) = ticket_at(index) {
                        redeem(&mut registry, now_ms, &id);
                    }
                }
                Op::Send(index) => {
                    if let Some(id) = ticket_at(index)
                        && send(&mut registry, &id)
                    {
                        let actual = actual_by_ticket.entry(index).or_default();
                        actual.sent += 1;
                        actual.is_last_sent = true;
                    }
                }
                Op::RunIdempotent(index) => {
                    if let Some(id) = ticket_at(index)
                        && registry.permit(0, &id, DEADLINE_MS, 0, CallKind::Idempotent)
                            == Permit::Send
                    {
                        actual_by_ticket.entry(index).or_default().ran = true;
                    }
                }
                Op::Retract(index, cause) => {
                    let actual = actual_by_ticket.entry(index).or_default();
                    if let Some(id) = ticket_at(index)
                        && std::mem::take(&mut actual.is_last_sent)
                    {
                        registry.retract(&id, cause);
                        actual.sent -= 1;
                        actual.ran |= cause == Retraction::Refused;
                    }
                }
                Op::Finish(index, outcome) => {
                    let Some(id) = ticket_at(index) else { continue };
                    let actual = actual_by_ticket.entry(index).or_default();
                    actual.is_last_sent = false;
                    let is_running = redeem(&mut registry, now_ms, &id) == Redemption::Join;
                    let reported = registry.finish(&id, outcome, b"");
                    let is_wrong = match reported {
                        Outcome::NotRun => actual.sent > 0 || actual.ran,
                        Outcome::NotStarted | Outcome::Failed => actual.sent > 0,
                        Outcome::Complete | Outcome::Unknown => false,
                    };
                    if is_running && is_wrong {
                        return false;
                    }
                }
            }
        }
        actual_by_ticket.values().all(|actual| actual.sent <= 1)
    }
    seeded(20_000).quickcheck(property as fn(_) -> _);
}
