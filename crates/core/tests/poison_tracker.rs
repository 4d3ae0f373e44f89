//! Tracking of server crashes under requests, permits, and the evidence of crashes.

use quickcheck::{Arbitrary, Gen, quickcheck};
use savoryvane_core::{
    ids::{BackendName, WorkspaceName},
    poison::{
        CrashReport, CrashSubject, CrashTracker, DigestBuilder, Evidence, LostServerStatus, Permit,
        PermitState, Permits, Probe, QuarantineSettings, QuarantineStatus, Registered,
        RequestDigest, RequestSubjects, status_after_loss, status_at_loss,
    },
};

const MINUTE_MS: u64 = 60_000;
const SETTINGS: QuarantineSettings = QuarantineSettings {
    quarantine_ms: 10 * MINUTE_MS,
    max_requests: 100,
    told_at_once: 8,
};

fn request(number: u64) -> RequestDigest {
    RequestDigest(u128::from(number).to_le_bytes())
}

fn digest(number: u64) -> CrashSubject {
    request(number).into()
}

fn crash(number: u64, server: &str) -> CrashReport {
    CrashReport {
        subject: digest(number),
        server: BackendName::new(server),
        evidence: Evidence::Refused,
        age_ms: 0,
        is_withdrawn: false,
        is_isolated: false,
    }
}

/// Returns a tracker in which `servers` crashed under request 1 at time 0.
fn tracker(servers: &[&str]) -> CrashTracker {
    let mut tracker = CrashTracker::new(SETTINGS);
    for server in servers {
        assert!(tracker.on_crash(0, crash(1, server)));
    }
    tracker
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
    assert_eq!(tracker(&[]).status(0, &digest(1)), QuarantineStatus::Clear);
    let two = tracker(&["i-1", "i-2", "i-2"]);
    assert_eq!(
        two.status(0, &digest(1)),
        QuarantineStatus::Suspect { ends: 2 }
    );
    let three = tracker(&["i-1", "i-2", "i-3"]);
    let quarantined = QuarantineStatus::Quarantined {
        ends: 3,
        retry_after_ms: 9 * MINUTE_MS,
    };
    assert_eq!(three.status(MINUTE_MS, &digest(1)), quarantined);
    assert_eq!(three.status(MINUTE_MS, &digest(2)), QuarantineStatus::Clear);
}

#[test]
fn a_quarantined_request_is_tried_again_and_refused_for_twice_the_time() {
    let mut tracker = tracker(&["i-1", "i-2", "i-3"]);
    let trial_ms = 10 * MINUTE_MS;
    assert_eq!(
        tracker.status(trial_ms, &digest(1)),
        QuarantineStatus::Suspect { ends: 3 }
    );
    assert!(tracker.on_crash(trial_ms, crash(1, "i-4")));
    let quarantined = QuarantineStatus::Quarantined {
        ends: 4,
        retry_after_ms: 20 * MINUTE_MS,
    };
    assert_eq!(tracker.status(trial_ms, &digest(1)), quarantined);
}

/// A complete response in a trial run ends the quarantine.
#[test]
fn an_answer_clears_a_request_for_all() {
    let mut tracker = tracker(&["i-1", "i-2", "i-3"]);
    let mut other = CrashTracker::new(SETTINGS);
    other.on_reports(0, tracker.reports_since(0, 0).records);
    assert!(tracker.on_answered(10 * MINUTE_MS, digest(1)));
    assert!(!tracker.on_answered(10 * MINUTE_MS, digest(1)));
    assert_eq!(
        tracker.status(10 * MINUTE_MS, &digest(1)),
        QuarantineStatus::Clear
    );
    // Earlier reports of other instances don't reinstate it.
    tracker.on_reports(
        10 * MINUTE_MS,
        other.reports_since(10 * MINUTE_MS, 0).records,
    );
    assert_eq!(
        tracker.status(10 * MINUTE_MS, &digest(1)),
        QuarantineStatus::Clear
    );
    other.on_reports(
        10 * MINUTE_MS,
        tracker.reports_since(10 * MINUTE_MS, 0).records,
    );
    assert_eq!(
        other.status(10 * MINUTE_MS, &digest(1)),
        QuarantineStatus::Clear
    );
}

#[test]
fn a_server_that_runs_on_is_no_end() {
    let mut tracker = tracker(&["i-1", "i-2", "i-3"]);
    assert!(tracker.on_still_running(digest(1), &BackendName::new("i-2")));
    assert_eq!(
        tracker.status(0, &digest(1)),
        QuarantineStatus::Suspect { ends: 2 }
    );
    assert!(!tracker.on_still_running(digest(1), &BackendName::new("i-9")));
}

/// A request that is sent continuously is running on any server that crashes.
#[test]
fn a_request_that_is_answered_all_the_time_is_not_to_blame() {
    let mut tracker = CrashTracker::new(SETTINGS);
    tracker.on_answered(1_000, digest(1));
    assert!(!tracker.on_crash(5_000, crash(1, "i-1")));
    assert_eq!(tracker.status(5_000, &digest(1)), QuarantineStatus::Clear);
    assert!(tracker.on_crash(12_000, crash(1, "i-2")));
}

#[test]
fn suspects_and_quarantined_requests_are_forgotten() {
    let mut suspect = tracker(&["i-1"]);
    suspect.forget_expired(10 * MINUTE_MS - 1);
    assert_eq!(suspect.len(), 1);
    suspect.forget_expired(10 * MINUTE_MS);
    assert!(suspect.is_empty());
    let mut quarantined = tracker(&["i-1", "i-2", "i-3"]);
    quarantined.forget_expired(19 * MINUTE_MS);
    assert_eq!(quarantined.len(), 1);
    quarantined.forget_expired(20 * MINUTE_MS);
    assert!(quarantined.is_empty());
}

/// Callers may vary a request on purpose; no variant is repeated.
#[test]
fn many_distinct_ones_push_out_each_other_and_no_quarantined_one() {
    let mut tracker = tracker(&["i-1", "i-2", "i-3"]);
    for number in 10..10_000 {
        assert!(tracker.on_crash(number, crash(number, &format!("i-{number}"))));
        assert!(tracker.len() <= SETTINGS.max_requests);
    }
    assert!(matches!(
        tracker.status(10_000, &digest(1)),
        QuarantineStatus::Quarantined { .. }
    ));
    assert_eq!(tracker.ends(10_000, &digest(9_999)), 1);
}

#[test]
fn what_is_told_is_bounded_and_complete() {
    let mut tracker = CrashTracker::new(SETTINGS);
    for number in 0..50 {
        tracker.on_crash(0, crash(number, "i-1"));
        tracker.on_crash(0, crash(number, "i-2"));
    }
    let mut follower = CrashTracker::new(SETTINGS);
    let mut known = 0;
    let mut messages = 0;
    while known < tracker.revision() {
        let update = tracker.reports_since(0, known);
        assert!(update.records.len() <= SETTINGS.told_at_once);
        follower.on_reports(0, update.records);
        known = update.revision;
        messages += 1;
    }
    assert_eq!((follower.len(), messages), (50, 13));
    assert!(tracker.reports_since(0, known).records.is_empty());
}

/// Many servers that crash together leave a suspect for each request that they ran. If there are
/// too many for one message, those with a single crash are omitted.
#[test]
fn single_ends_are_not_told_where_there_are_many() {
    let mut tracker = CrashTracker::new(SETTINGS);
    for number in 0..8 {
        tracker.on_crash(0, crash(number, "i-1"));
    }
    assert_eq!(tracker.reports_since(0, 0).records.len(), 8);
    for number in 8..90 {
        tracker.on_crash(0, crash(number, "i-1"));
    }
    tracker.on_crash(0, crash(3, "i-2"));
    let update = tracker.reports_since(0, 0);
    assert!(
        update
            .records
            .iter()
            .all(|record| record.subject == digest(3))
    );
    assert_eq!(
        (update.records.len(), update.revision),
        (2, tracker.revision())
    );
}

#[test]
fn only_quarantined_requests_are_kept_outside_and_until_they_are_cleared() {
    let mut tracker = tracker(&["i-1", "i-2"]);
    assert!(tracker.unpersisted().is_empty());
    tracker.on_crash(0, crash(1, "i-3"));
    let to_persist = tracker.unpersisted();
    let persisted = to_persist.clone();
    assert_eq!(to_persist.len(), 1);
    assert_eq!(to_persist[0].ends.len(), 3);
    tracker.on_persisted(&to_persist[0]);
    assert!(tracker.unpersisted().is_empty());
    // An instance that starts after the loss of all others.
    let mut next = CrashTracker::new(SETTINGS);
    next.on_loaded(0, to_persist);
    assert_eq!(next.ends(0, &digest(1)), 3);
    assert!(next.unpersisted().is_empty());
    // A new scheduler that knows a crash in a trial run that is not persisted yet.
    let mut later = CrashTracker::new(SETTINGS);
    later.on_crash(0, crash(1, "i-4"));
    later.on_loaded(0, persisted);
    assert_eq!(later.unpersisted()[0].ends.len(), 4);
    next.on_answered(0, digest(1));
    let removed = next.unpersisted();
    assert_eq!(removed.len(), 1);
    assert!(removed[0].ends.is_empty());
    next.on_persisted(&removed[0]);
    assert!(next.unpersisted().is_empty());
    tracker.forget_expired(60 * MINUTE_MS);
    assert!(tracker.unpersisted()[0].ends.is_empty());
}

#[test]
fn one_copy_of_a_suspect_runs_at_a_time() {
    let mut permits = Permits::default();
    let first = permits.take(0, &[digest(1)], 1, None, 1_000).unwrap();
    assert_eq!(permits.take(400, &[digest(1)], 1, None, 1_000), Err(600));
    assert!(permits.take(400, &[digest(2)], 1, None, 1_000).is_ok());
    permits.release(&[digest(1)], first);
    let second = permits.take(500, &[digest(1)], 1, None, 1_000).unwrap();
    // Releasing an expired permit does not release the current one.
    permits.release(&[digest(1)], first);
    assert!(permits.take(600, &[digest(1)], 1, None, 1_000).is_err());
    assert!(permits.take(1_500, &[digest(1)], 1, None, 1_000).is_ok());
    permits.release(&[digest(1)], second);
    assert!(permits.take(1_600, &[digest(1)], 1, None, 1_000).is_err());
}

/// A permit is decided by the tracker of the issuer, since the requester may not know of a third
/// crash yet.
#[test]
fn a_permit_is_decided_by_the_tracker_of_the_issuer() {
    let mut permits = Permits::default();
    let subjects = RequestSubjects::new(request(1), []);
    let mut grant =
        |mut tracker: CrashTracker| permits.grant(0, &mut tracker, &subjects, None, 1_000);
    let first = grant(tracker(&["a", "b"]));
    let PermitState::Granted {
        permit: Permit { place, .. },
        covered,
    } = first
    else {
        panic!("{first:?}");
    };
    assert_eq!((place, covered), (Some(0), vec![digest(1)]));
    let copy = grant(tracker(&["a", "b"]));
    assert_eq!(
        copy,
        PermitState::Out {
            lapses_in_ms: 1_000
        }
    );
    let quarantined = grant(tracker(&["a", "b", "c"]));
    let ends = vec![crash(1, "a"), crash(1, "b"), crash(1, "c")];
    assert_eq!(quarantined, PermitState::Quarantined(ends));
}

/// Two poison requests on the same server would each count the crash that the other one causes.
#[test]
fn requests_with_two_ends_have_places_of_their_own() {
    let mut permits = Permits::default();
    let mut place = |number: u64, ends: u32| {
        let permit = permits
            .take(0, &[digest(number)], ends, None, 1_000)
            .unwrap();
        (permit.place, permit)
    };
    assert_eq!(place(1, 1).0, None);
    assert_eq!(place(2, 2).0, Some(0));
    let (second, permit) = place(3, 2);
    assert_eq!(second, Some(1));
    assert_eq!(place(4, 3).0, Some(2));
    permits.release(&[digest(3)], permit);
    let again = permits.take(0, &[digest(5)], 2, None, 1_000).unwrap();
    assert_eq!(again.place, Some(1));
}

#[test]
fn resets_partitions_and_planned_stops_are_no_ends() {
    use Probe::{Open, Refused, Unknown};
    let ended = LostServerStatus::Ended;
    for (registered, probe, neighbour, at_loss, later) in [
        // A reset: the server accepts connections.
        (
            Registered::Ready,
            Open,
            Open,
            LostServerStatus::NotToBlame,
            LostServerStatus::NotToBlame,
        ),
        // A crash: the server refuses connections, and another one in its zone accepts them.
        (
            Registered::Ready,
            Refused,
            Open,
            ended(Evidence::Refused),
            ended(Evidence::Refused),
        ),
        // A partition that refuses or drops the connections to all servers of a zone.
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
        // A loss of power, which the register shows later.
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
        // A restart.
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

/// An observation of one instance.
#[derive(Clone, Debug)]
struct Observation {
    at: usize,
    request: u64,
    server: u8,
    is_answer: bool,
}

impl Arbitrary for Observation {
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
    /// For any exchange of reports, all instances end with the same counts.
    fn books_merge_in_any_order(observations: Vec<Observation>, exchanges: Vec<(u8, u8)>) -> bool {
        let settings = QuarantineSettings { told_at_once: 64, ..SETTINGS };
        let mut trackers: Vec<CrashTracker> = (0..3).map(|_| CrashTracker::new(settings)).collect();
        let mut now_ms = 0;
        let mut exchanges = exchanges.into_iter();
        for event in &observations {
            now_ms += 10_001;
            let server = format!("i-{}", event.server);
            if event.is_answer {
                trackers[event.at].on_answered(now_ms, digest(event.request));
            } else {
                trackers[event.at].on_crash(now_ms, crash(event.request, &server));
            }
            if let Some((from, to)) = exchanges.next() {
                let (from, to) = (usize::from(from) % 3, usize::from(to) % 3);
                let records = trackers[from].own_reports(now_ms);
                trackers[to].on_reports(now_ms, records);
            }
        }
        for _ in 0..2 {
            for from in 0..3 {
                for to in 0..3 {
                    let mut known = 0;
                    while known < trackers[from].revision() {
                        let part = trackers[from].reports_since(now_ms, known);
                        trackers[to].on_reports(now_ms, part.records);
                        known = part.revision;
                    }
                }
            }
        }
        let counts = trackers.iter().map(|tracker| {
            let requests = (0..4).map(|request| tracker.ends(now_ms, &digest(request)));
            requests.collect::<Vec<u32>>()
        });
        let counts: Vec<Vec<u32>> = counts.collect();
        counts.iter().all(|other| *other == counts[0])
    }
}
