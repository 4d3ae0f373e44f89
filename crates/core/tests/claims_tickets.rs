//! Tickets: run at most once, by the incarnation that issued them, with no log.

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
const PRINT: Fingerprint = Fingerprint([1; 16]);
const LIMITS: TicketLimits = TicketLimits {
    valid_ms: 1_000,
    retain_expired_ms: 500,
    max_per_workspace: 3,
    max_total: 4,
};

fn book(incarnation: u64) -> TicketRegistry {
    let instance = InstanceName::from("entry-1");
    TicketRegistry::new(instance, Incarnation(incarnation), LIMITS)
}

fn workspace() -> WorkspaceName {
    WorkspaceName::from("taalghar")
}

fn issue(book: &mut TicketRegistry, now_ms: u64, secret: u8) -> Option<TicketId> {
    book.issue(now_ms, &workspace(), [secret; 16])
}

fn redeem(book: &mut TicketRegistry, now_ms: u64, id: &TicketId) -> Redemption {
    book.redeem(now_ms, id, &workspace(), PRINT)
}

fn send(book: &mut TicketRegistry, id: &TicketId) -> bool {
    book.permit(0, id, DEADLINE_MS, 0, CallKind::NonIdempotent) == Permit::Send
}

#[test]
fn a_ticket_is_run_once_and_repeats_get_its_answer() {
    let mut book = book(1);
    let id = issue(&mut book, 0, 7).expect("room");
    assert_eq!(redeem(&mut book, 0, &id), Redemption::Run);
    assert_eq!(redeem(&mut book, 1, &id), Redemption::Join);
    assert!(send(&mut book, &id) && !send(&mut book, &id));
    assert_eq!(
        book.finish(&id, Outcome::Complete, b"held"),
        Outcome::Complete
    );
    let recorded = Redemption::Recorded(Completion::new(Outcome::Complete, b"held"));
    assert_eq!(redeem(&mut book, 2, &id), recorded);
    assert!(!send(&mut book, &id));
}

#[test]
fn another_incarnation_never_runs_it() {
    let id = issue(&mut book(1), 0, 7).expect("room");
    let mut successor = book(2);
    assert_eq!(redeem(&mut successor, 0, &id), Redemption::Forward);
    assert!(!send(&mut successor, &id));
}

#[test]
fn a_ticket_that_was_not_used_in_time_or_never_issued_is_not_valid() {
    let mut book = book(1);
    let id = issue(&mut book, 0, 7).expect("room");
    assert_eq!(
        redeem(&mut book, LIMITS.valid_ms, &id),
        Redemption::NotValid
    );
    let guessed = TicketId {
        secret: [8; 16],
        ..id
    };
    assert_eq!(redeem(&mut book, 0, &guessed), Redemption::NotValid);
}

#[test]
fn a_ticket_belongs_to_its_workspace_and_its_request() {
    let mut book = book(1);
    let id = issue(&mut book, 0, 7).expect("room");
    let other = WorkspaceName::from("uithangbord");
    assert_eq!(book.redeem(0, &id, &other, PRINT), Redemption::Misuse);
    assert_eq!(redeem(&mut book, 0, &id), Redemption::Run);
    let different = book.redeem(0, &id, &workspace(), Fingerprint([2; 16]));
    assert_eq!(different, Redemption::Misuse);
}

#[test]
fn a_freeze_past_the_deadline_sends_nothing() {
    let mut book = book(1);
    let id = issue(&mut book, 0, 7).expect("room");
    assert_eq!(redeem(&mut book, 0, &id), Redemption::Run);
    let late = book.permit(200, &id, 200, 0, CallKind::NonIdempotent);
    assert_eq!(late, Permit::Refused(ClaimReason::Deadline));
    assert_eq!(book.finish(&id, Outcome::Failed, b""), Outcome::NotRun);
    assert_eq!(redeem(&mut book, 300, &id), Redemption::Run);
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut book = book(1);
    let issued = (0..4).filter_map(|n| issue(&mut book, 0, n)).count();
    assert_eq!(issued, LIMITS.max_per_workspace);
    let other = WorkspaceName::from("uithangbord");
    assert!(book.issue(0, &other, [10; 16]).is_some());
    assert!(book.issue(0, &other, [11; 16]).is_none());
    let later_ms = LIMITS.valid_ms + LIMITS.retain_expired_ms;
    assert!(issue(&mut book, later_ms, 12).is_some());
    assert_eq!(book.len(), 1);
}

#[test]
fn the_text_form_is_read_back() {
    let id = issue(&mut book(0xabc), 0, 7).expect("room");
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
fn any_text_is_read_without_panic() {
    fn law(text: String, tail: String) -> bool {
        let prefixed = format!("t1_{text}_{tail}");
        [text, prefixed].iter().all(|text| {
            TicketId::parse(text).is_none_or(|id| id.to_string() == text.to_lowercase())
        })
    }
    seeded(5_000).quickcheck(law as fn(_, _) -> _);
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Issue,
    Redeem(usize),
    Send(usize),
    RunIdempotent(usize),
    Retract(usize, Retraction),
    Finish(usize, Outcome),
    Pass(u64),
    Restart,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let which = usize::arbitrary(g) % 3;
        let causes = [Retraction::NotWritten, Retraction::Refused];
        match u8::arbitrary(g) % 16 {
            0..2 => Self::Issue,
            2..6 => Self::Redeem(which),
            6..9 => Self::Send(which),
            9 => Self::RunIdempotent(which),
            10 => Self::Retract(which, *g.choose(&causes).expect("causes")),
            11..14 => Self::Finish(which, *g.choose(&Outcome::ALL).expect("outcomes")),
            14 => Self::Pass(*g.choose(&[1, 400, 2_000]).expect("times")),
            _ => Self::Restart,
        }
    }
}

/// What really happened under one ticket.
#[derive(Clone, Copy, Default)]
struct Truth {
    sent: u32,
    ran: bool,
    is_last_sent: bool,
}

#[test]
fn a_ticket_is_sent_on_at_most_once_and_not_run_is_true() {
    fn law(ops: Vec<Op>) -> bool {
        let mut book = book(1);
        let mut tickets = Vec::new();
        let mut truths: HashMap<usize, Truth> = HashMap::new();
        let mut now_ms = 0;
        for (step, op) in (0..).zip(ops) {
            let known = |which: usize| tickets.get(which).cloned();
            match op {
                Op::Issue => tickets.extend(issue(&mut book, now_ms, step)),
                Op::Pass(ms) => now_ms += ms,
                Op::Restart => book = self::book(2 + u64::from(step)),
                Op::Redeem(which) => {
                    if let Some(id) = known(which) {
                        redeem(&mut book, now_ms, &id);
                    }
                }
                Op::Send(which) => {
                    if let Some(id) = known(which)
                        && send(&mut book, &id)
                    {
                        let truth = truths.entry(which).or_default();
                        truth.sent += 1;
                        truth.is_last_sent = true;
                    }
                }
                Op::RunIdempotent(which) => {
                    if let Some(id) = known(which)
                        && book.permit(0, &id, DEADLINE_MS, 0, CallKind::Idempotent) == Permit::Send
                    {
                        truths.entry(which).or_default().ran = true;
                    }
                }
                Op::Retract(which, cause) => {
                    let truth = truths.entry(which).or_default();
                    if let Some(id) = known(which)
                        && std::mem::take(&mut truth.is_last_sent)
                    {
                        book.retract(&id, cause);
                        truth.sent -= 1;
                        truth.ran |= cause == Retraction::Refused;
                    }
                }
                Op::Finish(which, outcome) => {
                    let Some(id) = known(which) else { continue };
                    let truth = truths.entry(which).or_default();
                    truth.is_last_sent = false;
                    let is_running = redeem(&mut book, now_ms, &id) == Redemption::Join;
                    let told = book.finish(&id, outcome, b"");
                    let is_false = match told {
                        Outcome::NotRun => truth.sent > 0 || truth.ran,
                        Outcome::NotStarted | Outcome::Failed => truth.sent > 0,
                        Outcome::Complete | Outcome::Unknown => false,
                    };
                    if is_running && is_false {
                        return false;
                    }
                }
            }
        }
        truths.values().all(|truth| truth.sent <= 1)
    }
    seeded(20_000).quickcheck(law as fn(_) -> _);
}
