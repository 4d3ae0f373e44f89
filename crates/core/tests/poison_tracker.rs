//! What instances remember of servers that ended under requests.

use quickcheck::{Arbitrary, Gen, quickcheck};
use savoryvane_core::{
    ids::{BackendName, WorkspaceName},
    poison::{
        CrashReport, CrashTracker, DigestBuilder, Evidence, LostServerStatus, Permit, PermitState,
        Permits, Probe, QuarantineSettings, QuarantineStatus, Registered, RequestDigest,
        status_after_loss, status_at_loss,
    },
};

const MINUTE_MS: u64 = 60_000;
const SETTINGS: QuarantineSettings = QuarantineSettings {
    quarantine_ms: 10 * MINUTE_MS,
    max_requests: 100,
    told_at_once: 8,
};

fn digest(number: u64) -> RequestDigest {
    RequestDigest(u128::from(number).to_le_bytes())
}

fn end(number: u64, server: &str) -> CrashReport {
    CrashReport {
        digest: digest(number),
        server: BackendName::new(server),
        evidence: Evidence::Refused,
        age_ms: 0,
        is_withdrawn: false,
    }
}

/// A book in which `servers` ended under the request 1 at the time 0.
fn book(servers: &[&str]) -> CrashTracker {
    let mut book = CrashTracker::new(SETTINGS);
    for server in servers {
        assert!(book.on_crash(0, end(1, server)));
    }
    book
}

fn built(
    caller: Option<&str>,
    method: &str,
    host: &str,
    path: &str,
    parts: &[&str],
) -> RequestDigest {
    let caller = caller.map(WorkspaceName::new);
    let mut builder = DigestBuilder::new(caller.as_ref(), method, host, path);
    for part in parts {
        builder.update(part.as_bytes());
    }
    builder.finish()
}

#[test]
fn a_digest_names_caller_path_and_body_and_nothing_else() {
    let whole = built(Some("one"), "POST", "sign.example", "/a", &["body"]);
    let in_parts = built(Some("one"), "POST", "sign.example", "/a", &["bo", "", "dy"]);
    assert_eq!(whole, in_parts);
    let others = [
        built(Some("two"), "POST", "sign.example", "/a", &["body"]),
        built(None, "POST", "sign.example", "/a", &["body"]),
        built(Some("one"), "PUT", "sign.example", "/a", &["body"]),
        built(Some("one"), "POST", "other.example", "/a", &["body"]),
        built(Some("one"), "POST", "sign.example", "/ab", &["ody"]),
        built(Some("one"), "POST", "sign.example", "/a", &["body2"]),
    ];
    assert!(others.iter().all(|other| *other != whole));
    assert_eq!(RequestDigest::from_hex(&whole.to_string()), Some(whole));
    assert_eq!(RequestDigest::from_hex("abc"), None);
}

#[test]
fn three_servers_make_a_suspect_a_quarantined_one() {
    assert_eq!(book(&[]).status(0, &digest(1)), QuarantineStatus::Clear);
    let two = book(&["i-1", "i-2", "i-2"]);
    assert_eq!(
        two.status(0, &digest(1)),
        QuarantineStatus::Suspect { ends: 2 }
    );
    let three = book(&["i-1", "i-2", "i-3"]);
    let quarantined = QuarantineStatus::Quarantined {
        ends: 3,
        retry_after_ms: 9 * MINUTE_MS,
    };
    assert_eq!(three.status(MINUTE_MS, &digest(1)), quarantined);
    assert_eq!(three.status(MINUTE_MS, &digest(2)), QuarantineStatus::Clear);
}

#[test]
fn a_quarantined_request_is_tried_again_and_refused_for_twice_the_time() {
    let mut book = book(&["i-1", "i-2", "i-3"]);
    let trial_ms = 10 * MINUTE_MS;
    assert_eq!(
        book.status(trial_ms, &digest(1)),
        QuarantineStatus::Suspect { ends: 3 }
    );
    assert!(book.on_crash(trial_ms, end(1, "i-4")));
    let quarantined = QuarantineStatus::Quarantined {
        ends: 4,
        retry_after_ms: 20 * MINUTE_MS,
    };
    assert_eq!(book.status(trial_ms, &digest(1)), quarantined);
}

/// A trial that is answered ends it.
#[test]
fn an_answer_clears_a_request_for_all() {
    let mut book = book(&["i-1", "i-2", "i-3"]);
    let mut other = CrashTracker::new(SETTINGS);
    other.on_reports(0, book.reports_since(0, 0).records);
    assert!(book.on_answered(10 * MINUTE_MS, digest(1)));
    assert!(!book.on_answered(10 * MINUTE_MS, digest(1)));
    assert_eq!(
        book.status(10 * MINUTE_MS, &digest(1)),
        QuarantineStatus::Clear
    );
    // What others still tell of before does not bring it back.
    book.on_reports(
        10 * MINUTE_MS,
        other.reports_since(10 * MINUTE_MS, 0).records,
    );
    assert_eq!(
        book.status(10 * MINUTE_MS, &digest(1)),
        QuarantineStatus::Clear
    );
    other.on_reports(
        10 * MINUTE_MS,
        book.reports_since(10 * MINUTE_MS, 0).records,
    );
    assert_eq!(
        other.status(10 * MINUTE_MS, &digest(1)),
        QuarantineStatus::Clear
    );
}

#[test]
fn a_server_that_runs_on_is_no_end() {
    let mut book = book(&["i-1", "i-2", "i-3"]);
    assert!(book.on_still_running(digest(1), &BackendName::new("i-2")));
    assert_eq!(
        book.status(0, &digest(1)),
        QuarantineStatus::Suspect { ends: 2 }
    );
    assert!(!book.on_still_running(digest(1), &BackendName::new("i-9")));
}

/// A request that is sent all the time is at each server that ends.
#[test]
fn a_request_that_is_answered_all_the_time_is_not_to_blame() {
    let mut book = CrashTracker::new(SETTINGS);
    book.on_answered(1_000, digest(1));
    assert!(!book.on_crash(5_000, end(1, "i-1")));
    assert_eq!(book.status(5_000, &digest(1)), QuarantineStatus::Clear);
    assert!(book.on_crash(12_000, end(1, "i-2")));
}

#[test]
fn suspects_and_quarantined_requests_are_forgotten() {
    let mut suspect = book(&["i-1"]);
    suspect.forget_expired(10 * MINUTE_MS - 1);
    assert_eq!(suspect.len(), 1);
    suspect.forget_expired(10 * MINUTE_MS);
    assert!(suspect.is_empty());
    let mut quarantined = book(&["i-1", "i-2", "i-3"]);
    quarantined.forget_expired(19 * MINUTE_MS);
    assert_eq!(quarantined.len(), 1);
    quarantined.forget_expired(20 * MINUTE_MS);
    assert!(quarantined.is_empty());
}

/// Callers who vary a request on purpose: none of these comes again.
#[test]
fn many_distinct_ones_push_out_each_other_and_no_quarantined_one() {
    let mut book = book(&["i-1", "i-2", "i-3"]);
    for number in 10..10_000 {
        assert!(book.on_crash(number, end(number, &format!("i-{number}"))));
        assert!(book.len() <= SETTINGS.max_requests);
    }
    assert!(matches!(
        book.status(10_000, &digest(1)),
        QuarantineStatus::Quarantined { .. }
    ));
    assert_eq!(book.ends(10_000, &digest(9_999)), 1);
}

#[test]
fn what_is_told_is_bounded_and_complete() {
    let mut book = CrashTracker::new(SETTINGS);
    for number in 0..50 {
        book.on_crash(0, end(number, "i-1"));
        book.on_crash(0, end(number, "i-2"));
    }
    let mut follower = CrashTracker::new(SETTINGS);
    let mut known = 0;
    let mut messages = 0;
    while known < book.revision() {
        let told = book.reports_since(0, known);
        assert!(told.records.len() <= SETTINGS.told_at_once);
        follower.on_reports(0, told.records);
        known = told.revision;
        messages += 1;
    }
    assert_eq!((follower.len(), messages), (50, 13));
    assert!(book.reports_since(0, known).records.is_empty());
}

/// Many servers that crash together leave a suspect for each request that they ran: where
/// there are too many to tell, those with a single end are given up first.
#[test]
fn single_ends_are_not_told_where_there_are_many() {
    let mut book = CrashTracker::new(SETTINGS);
    for number in 0..8 {
        book.on_crash(0, end(number, "i-1"));
    }
    assert_eq!(book.reports_since(0, 0).records.len(), 8);
    for number in 8..90 {
        book.on_crash(0, end(number, "i-1"));
    }
    book.on_crash(0, end(3, "i-2"));
    let told = book.reports_since(0, 0);
    assert!(told.records.iter().all(|record| record.digest == digest(3)));
    assert_eq!((told.records.len(), told.revision), (2, book.revision()));
}

#[test]
fn only_quarantined_requests_are_kept_outside_and_until_they_are_cleared() {
    let mut book = book(&["i-1", "i-2"]);
    assert!(book.unpersisted().is_empty());
    book.on_crash(0, end(1, "i-3"));
    let to_keep = book.unpersisted();
    let kept = to_keep.clone();
    assert_eq!(to_keep.len(), 1);
    assert_eq!(to_keep[0].ends.len(), 3);
    book.on_persisted(&to_keep[0]);
    assert!(book.unpersisted().is_empty());
    // One that starts when all are lost.
    let mut next = CrashTracker::new(SETTINGS);
    next.on_loaded(0, to_keep);
    assert_eq!(next.ends(0, &digest(1)), 3);
    assert!(next.unpersisted().is_empty());
    // One that takes over and knows of a trial that is not kept yet.
    let mut later = CrashTracker::new(SETTINGS);
    later.on_crash(0, end(1, "i-4"));
    later.on_loaded(0, kept);
    assert_eq!(later.unpersisted()[0].ends.len(), 4);
    next.on_answered(0, digest(1));
    let removed = next.unpersisted();
    assert_eq!(removed.len(), 1);
    assert!(removed[0].ends.is_empty());
    next.on_persisted(&removed[0]);
    assert!(next.unpersisted().is_empty());
    book.forget_expired(60 * MINUTE_MS);
    assert!(book.unpersisted()[0].ends.is_empty());
}

#[test]
fn one_copy_of_a_suspect_runs_at_a_time() {
    let mut permits = Permits::default();
    let first = permits.take(0, digest(1), 1, 1_000).unwrap();
    assert_eq!(permits.take(400, digest(1), 1, 1_000), Err(600));
    assert!(permits.take(400, digest(2), 1, 1_000).is_ok());
    permits.release(&digest(1), first);
    let second = permits.take(500, digest(1), 1, 1_000).unwrap();
    // One that has lapsed gives nothing back that is another's.
    permits.release(&digest(1), first);
    assert!(permits.take(600, digest(1), 1, 1_000).is_err());
    assert!(permits.take(1_500, digest(1), 1, 1_000).is_ok());
    permits.release(&digest(1), second);
    assert!(permits.take(1_600, digest(1), 1, 1_000).is_err());
}

/// Whoever asks for a permit is told by the book of the one that gives it: the asker may
/// not know yet that a third server has ended.
#[test]
fn a_permit_goes_by_the_book_of_its_giver() {
    let mut permits = Permits::default();
    let mut grant = |book: &CrashTracker| permits.grant(0, book, digest(1), 1_000);
    let first = grant(&book(&["a", "b"]));
    let PermitState::Granted(Permit { place, .. }) = first else {
        panic!("{first:?}");
    };
    assert_eq!(place, Some(0));
    let copy = grant(&book(&["a", "b"]));
    assert_eq!(
        copy,
        PermitState::Out {
            lapses_in_ms: 1_000
        }
    );
    let quarantined = grant(&book(&["a", "b", "c"]));
    let ends = vec![end(1, "a"), end(1, "b"), end(1, "c")];
    assert_eq!(quarantined, PermitState::Quarantined(ends));
}

/// Two that end servers, and run at the same one, would be blamed for each other's.
#[test]
fn requests_with_two_ends_have_places_of_their_own() {
    let mut permits = Permits::default();
    let mut place = |number: u64, ends: u32| {
        let permit = permits.take(0, digest(number), ends, 1_000).unwrap();
        (permit.place, permit)
    };
    assert_eq!(place(1, 1).0, None);
    assert_eq!(place(2, 2).0, Some(0));
    let (second, permit) = place(3, 2);
    assert_eq!(second, Some(1));
    assert_eq!(place(4, 3).0, Some(2));
    permits.release(&digest(3), permit);
    let again = permits.take(0, digest(5), 2, 1_000).unwrap();
    assert_eq!(again.place, Some(1));
}

#[test]
fn resets_partitions_and_planned_stops_are_no_ends() {
    use Probe::{Open, Refused, Unknown};
    let ended = LostServerStatus::Ended;
    for (registered, probe, neighbour, at_loss, later) in [
        // A reset: it accepts.
        (
            Registered::Ready,
            Open,
            Open,
            LostServerStatus::NotToBlame,
            LostServerStatus::NotToBlame,
        ),
        // A crash: it refuses, and its neighbour accepts.
        (
            Registered::Ready,
            Refused,
            Open,
            ended(Evidence::Refused),
            ended(Evidence::Refused),
        ),
        // A partition that refuses or is silent to all of a zone.
        (
            Registered::Ready,
            Refused,
            Refused,
            LostServerStatus::Unknown,
            LostServerStatus::Unknown,
        ),
        (
            Registered::Ready,
            Unknown,
            Unknown,
            LostServerStatus::Unknown,
            LostServerStatus::Unknown,
        ),
        (
            Registered::Gone,
            Refused,
            Unknown,
            LostServerStatus::NotToBlame,
            LostServerStatus::Unknown,
        ),
        // A loss of power, of which the register tells later.
        (
            Registered::Ready,
            Unknown,
            Open,
            LostServerStatus::Unknown,
            LostServerStatus::Unknown,
        ),
        (
            Registered::Gone,
            Unknown,
            Open,
            LostServerStatus::NotToBlame,
            ended(Evidence::Lapsed),
        ),
        // A planned stop, announced or not.
        (
            Registered::Leaving,
            Refused,
            Open,
            LostServerStatus::NotToBlame,
            LostServerStatus::NotToBlame,
        ),
        (
            Registered::Gone,
            Open,
            Open,
            LostServerStatus::NotToBlame,
            LostServerStatus::NotToBlame,
        ),
        // It has started again.
        (
            Registered::Replaced,
            Open,
            Open,
            ended(Evidence::Restarted),
            ended(Evidence::Restarted),
        ),
    ] {
        let case = format!("{registered:?} {probe:?} {neighbour:?}");
        assert_eq!(
            status_at_loss(registered, probe, neighbour),
            at_loss,
            "{case}"
        );
        assert_eq!(
            status_after_loss(registered, probe, neighbour),
            later,
            "{case}"
        );
    }
}

/// What one of some instances sees.
#[derive(Clone, Debug)]
struct Seen {
    at: usize,
    request: u64,
    server: u8,
    is_answer: bool,
}

impl Arbitrary for Seen {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            at: usize::arbitrary(g) % 3,
            request: u64::arbitrary(g) % 4,
            server: u8::arbitrary(g) % 5,
            is_answer: u8::arbitrary(g) % 4 == 0,
        }
    }
}

quickcheck! {
    /// Whoever tells whom when, in the end all count the same.
    fn books_merge_in_any_order(seen: Vec<Seen>, told: Vec<(u8, u8)>) -> bool {
        let settings = QuarantineSettings { told_at_once: 64, ..SETTINGS };
        let mut books: Vec<CrashTracker> = (0..3).map(|_| CrashTracker::new(settings)).collect();
        let mut now_ms = 0;
        let mut told = told.into_iter();
        for event in &seen {
            now_ms += 10_001;
            let server = format!("i-{}", event.server);
            if event.is_answer {
                books[event.at].on_answered(now_ms, digest(event.request));
            } else {
                books[event.at].on_crash(now_ms, end(event.request, &server));
            }
            if let Some((from, to)) = told.next() {
                let (from, to) = (usize::from(from) % 3, usize::from(to) % 3);
                let records = books[from].own_reports(now_ms);
                books[to].on_reports(now_ms, records);
            }
        }
        for _ in 0..2 {
            for from in 0..3 {
                for to in 0..3 {
                    let mut known = 0;
                    while known < books[from].revision() {
                        let part = books[from].reports_since(now_ms, known);
                        books[to].on_reports(now_ms, part.records);
                        known = part.revision;
                    }
                }
            }
        }
        let counts = books.iter().map(|book| {
            let requests = (0..4).map(|request| book.ends(now_ms, &digest(request)));
            requests.collect::<Vec<u32>>()
        });
        let counts: Vec<Vec<u32>> = counts.collect();
        counts.iter().all(|other| *other == counts[0])
    }
}
