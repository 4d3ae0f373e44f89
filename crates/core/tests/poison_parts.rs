//! Crashes under parts that many prompts share: which part is to blame, and who is held back.

use quickcheck::quickcheck;
use savoryvane_core::{
    ids::BackendName,
    poison::{
        CrashReport, CrashSubject, CrashTracker, Evidence, MAX_PARTS, PermitState, Permits,
        QuarantineSettings, QuarantineStatus, RequestDigest, RequestStatus, RequestSubjects,
    },
};

const MINUTE_MS: u64 = 60_000;
/// Time between two events of a test, in ms.
const STEP_MS: u64 = 400;
/// Part that crashes servers, one that its requests share with all others, and one that only some
/// have.
const POISON: u64 = 0xbad;
const COMMON: u64 = 1;
const RARE: u64 = 2;

fn part(hash: u64) -> CrashSubject {
    CrashSubject::PromptPart(hash)
}

fn subjects(request: u64, parts: &[u64]) -> RequestSubjects {
    let digest = RequestDigest(u128::from(request).to_le_bytes());
    RequestSubjects::new(digest, parts.iter().copied())
}

fn crash(subject: CrashSubject, server: &str, is_isolated: bool) -> CrashReport {
    CrashReport {
        subject,
        server: BackendName::new(server),
        evidence: Evidence::Refused,
        age_ms: 0,
        is_withdrawn: false,
        is_isolated,
    }
}

fn tracker() -> CrashTracker {
    CrashTracker::new(QuarantineSettings::default())
}

fn is_quarantined(tracker: &CrashTracker, now_ms: u64, hash: u64) -> bool {
    let status = tracker.status(now_ms, &part(hash));
    matches!(status, QuarantineStatus::Quarantined { .. })
}

/// One instance that sends requests one after the other: to a server each, which a request with
/// the part `POISON` crashes.
struct World {
    tracker: CrashTracker,
    permits: Permits,
    now_ms: u64,
    crashes: u64,
}

impl World {
    fn new() -> Self {
        Self {
            tracker: tracker(),
            permits: Permits::default(),
            now_ms: 0,
            crashes: 0,
        }
    }

    /// Sends a request; returns whether it was sent.
    fn send(&mut self, request: u64, parts: &[u64]) -> bool {
        self.now_ms += STEP_MS;
        let subjects = subjects(request, parts);
        let status = self.tracker.request_status(self.now_ms, &subjects);
        let mut isolated = Vec::new();
        match status {
            RequestStatus::Clear => {}
            RequestStatus::Quarantined { .. } => return false,
            RequestStatus::Suspect { .. } => {
                let (permits, tracker) = (&mut self.permits, &mut self.tracker);
                match permits.grant(self.now_ms, tracker, &subjects, None, STEP_MS / 2) {
                    PermitState::Granted { covered, .. } => isolated = covered,
                    PermitState::Out { .. } | PermitState::Quarantined(_) => return false,
                }
            }
        }
        if parts.contains(&POISON) {
            self.crashes += 1;
            let server = format!("i-{}", self.crashes);
            for subject in subjects.iter() {
                let report = crash(subject, &server, isolated.contains(&subject));
                self.tracker.on_crash(self.now_ms, report);
            }
        } else {
            for subject in subjects.iter() {
                self.tracker.on_answered(self.now_ms, subject);
            }
        }
        true
    }
}

#[test]
fn requests_that_share_a_part_crash_three_servers_and_no_more() {
    let mut world = World::new();
    for request in 0..200 {
        world.send(request, &[COMMON, POISON, 100 + request]);
    }
    assert_eq!(world.crashes, 3);
    assert!(is_quarantined(&world.tracker, world.now_ms, POISON));
}

#[test]
fn requests_that_share_all_other_parts_are_sent_while_the_part_is_refused() {
    let mut world = World::new();
    let mut refused = 0;
    for request in 0..200 {
        world.send(1_000 + request, &[COMMON, POISON, RARE]);
        refused += u32::from(!world.send(2_000 + request, &[COMMON, RARE]));
    }
    assert_eq!((world.crashes, refused), (3, 0));
}

/// All crashes of both parts are the same, as long as no request has only one of them.
#[test]
fn a_part_that_was_never_seen_apart_from_the_cause_gets_a_trial_run() {
    let mut world = World::new();
    for request in 0..10 {
        world.send(request, &[POISON, RARE]);
    }
    assert_eq!(world.crashes, 3);
    assert!(is_quarantined(&world.tracker, world.now_ms, RARE));
    assert!(world.send(100, &[RARE]));
    assert!(!is_quarantined(&world.tracker, world.now_ms, RARE));
    assert!(!world.send(101, &[POISON]));
    assert_eq!(world.crashes, 3);
}

#[test]
fn a_trial_run_with_the_cause_leaves_the_other_part_its_own() {
    let mut world = World::new();
    for request in 0..10 {
        world.send(request, &[POISON, RARE]);
    }
    assert!(world.send(100, &[POISON]));
    assert!(!world.send(101, &[POISON]));
    assert_eq!(world.crashes, 4);
    assert!(world.send(102, &[RARE]));
    assert!(!is_quarantined(&world.tracker, world.now_ms, RARE));
}

/// Records crashes under the part `POISON` and under a poison request, three servers each, on all of
/// which a request with the part `COMMON` ran, too; those of `isolated` servers in isolated runs.
/// The poison request has also crashed a server without such a request.
fn tracker_with_two_causes(isolated: &[&str]) -> CrashTracker {
    let mut tracker = tracker();
    let poison_request = subjects(99, &[]).digest().into();
    for server in ["a", "b", "c", "d", "e", "f"] {
        let cause = match server {
            "a" | "b" | "c" => part(POISON),
            _ => poison_request,
        };
        let is_isolated = isolated.contains(&server);
        for subject in [cause, part(COMMON)] {
            tracker.on_crash(0, crash(subject, server, is_isolated));
        }
    }
    tracker.on_crash(0, crash(poison_request, "alone", false));
    tracker
}

#[test]
fn a_part_is_refused_for_no_crashes_that_several_causes_explain_together() {
    let mut tracker = tracker_with_two_causes(&["b", "c", "d"]);
    assert!(is_quarantined(&tracker, 0, COMMON));

    let sound = tracker.request_status(0, &subjects(1, &[COMMON]));
    assert!(
        matches!(sound, RequestStatus::Suspect { .. }),
        "{sound:?} although all its crashes are explained"
    );
    let poisoned = tracker.request_status(0, &subjects(2, &[COMMON, POISON]));
    assert!(matches!(poisoned, RequestStatus::Quarantined { .. }));
}

#[test]
fn a_crash_in_an_isolated_run_that_no_cause_explains_speaks_against_a_part() {
    let mut tracker = tracker_with_two_causes(&["b", "c", "d"]);
    tracker.on_crash(0, crash(part(COMMON), "g", true));

    let sound = tracker.request_status(0, &subjects(1, &[COMMON]));
    assert!(matches!(sound, RequestStatus::Quarantined { .. }));
}

/// Tracks a part with one crash that a poison request explains, and two in isolated runs of
/// requests that have the part `POISON` as well.
fn tracker_with_an_early_suspect() -> CrashTracker {
    let mut tracker = tracker();
    let poison_request = subjects(99, &[]).digest().into();
    tracker.on_crash(0, crash(part(RARE), "a", false));
    for server in ["a", "b", "c"] {
        tracker.on_crash(0, crash(poison_request, server, false));
    }
    for (server, is_isolated) in [("d", false), ("e", true)] {
        tracker.on_crash(0, crash(part(RARE), server, true));
        tracker.on_crash(0, crash(part(POISON), server, is_isolated));
    }
    tracker
}

#[test]
fn a_part_is_tried_without_a_suspect_that_is_not_quarantined_yet() {
    let mut tracker = tracker_with_an_early_suspect();
    assert!(is_quarantined(&tracker, 0, RARE));
    assert!(!is_quarantined(&tracker, 0, POISON));

    let sound = tracker.request_status(0, &subjects(1, &[RARE]));
    assert!(
        matches!(sound, RequestStatus::Suspect { .. }),
        "{sound:?} although other causes explain all crashes"
    );
    let poisoned = tracker.request_status(0, &subjects(2, &[RARE, POISON]));
    assert!(matches!(poisoned, RequestStatus::Quarantined { .. }));
}

/// One more crash settles which part is to blame.
#[test]
fn a_crash_in_a_run_without_the_suspect_speaks_against_the_part() {
    let mut tracker = tracker_with_an_early_suspect();
    tracker.on_crash(0, crash(part(RARE), "f", true));

    let sound = tracker.request_status(0, &subjects(1, &[RARE]));
    assert!(matches!(sound, RequestStatus::Quarantined { .. }));
}

#[test]
fn servers_that_crash_together_quarantine_no_part() {
    let mut tracker = tracker();
    for server in 0..10 {
        tracker.on_crash(0, crash(part(COMMON), &format!("i-{server}"), false));
    }
    assert_eq!(
        tracker.status(0, &part(COMMON)),
        QuarantineStatus::Suspect { ends: 10 }
    );
    // The first isolated run meets another crash by chance.
    tracker.on_crash(0, crash(part(COMMON), "i-10", true));
    assert!(!is_quarantined(&tracker, 0, COMMON));
    // Crashes in isolated runs replace the others in a full entry.
    tracker.on_crash(0, crash(part(COMMON), "i-11", true));
    assert!(is_quarantined(&tracker, 0, COMMON));
}

#[test]
fn a_part_whose_responses_begin_all_the_time_needs_no_permit_after_one_crash() {
    let mut tracker = tracker();
    tracker.on_answered(0, part(COMMON));
    tracker.on_crash(100, crash(part(COMMON), "i-1", false));
    let request = subjects(1, &[COMMON]);
    assert_eq!(tracker.request_status(200, &request), RequestStatus::Clear);
    tracker.on_crash(300, crash(part(COMMON), "i-2", false));
    assert!(matches!(
        tracker.request_status(300, &request),
        RequestStatus::Suspect { ends: 2, .. }
    ));
    assert!(tracker.on_answered(400, part(COMMON)));
    assert_eq!(tracker.request_status(400, &request), RequestStatus::Clear);
}

/// The response begins before the instance hears of the crash.
#[test]
fn a_response_that_has_begun_since_a_crash_clears_the_part_everywhere() {
    let mut observer = tracker();
    observer.on_crash(1_000, crash(part(RARE), "i-1", false));
    let mut other = tracker();
    other.on_answered(1_200, part(RARE));
    other.on_reports(1_500, observer.records(1_500, &part(RARE)));
    assert_eq!(other.ends(1_500, &part(RARE)), 0);
    observer.on_reports(1_500, other.own_reports(1_500));
    assert_eq!(observer.ends(1_500, &part(RARE)), 0);
    // One that began before the crash says nothing of it.
    observer.on_crash(2_000, crash(part(RARE), "i-2", false));
    other.on_reports(2_100, observer.records(2_100, &part(RARE)));
    assert_eq!(other.ends(2_100, &part(RARE)), 1);
}

/// The instance that has the response may be the only one that can refute the crash.
#[test]
fn an_instance_tells_that_it_withdrew_a_crash_of_which_it_heard_later() {
    let mut observer = tracker();
    observer.on_crash(1_000, crash(part(COMMON), "i-1", true));
    let mut other = tracker();
    other.on_answered(1_200, part(COMMON));
    let reports = observer.records(1_500, &part(COMMON));

    let merged = other.on_reports(1_500, reports.clone());
    assert_eq!(merged.withdrawn, [part(COMMON)]);
    observer.on_reports(1_500, other.records(1_500, &part(COMMON)));
    assert_eq!(observer.ends(1_500, &part(COMMON)), 0);
    // The second report changes nothing, so that instances do not answer each other for ever.
    let merged = other.on_reports(1_600, reports);
    assert!(merged.withdrawn.is_empty() && !merged.has_changed);
}

#[test]
fn few_trial_runs_of_a_quarantined_part_take_place_in_a_day() {
    let mut world = World::new();
    for request in 0..10 {
        world.send(request, &[POISON]);
    }
    let quarantined_ms = world.now_ms;
    let mut crashed_at_min = Vec::new();
    while world.now_ms < quarantined_ms + 24 * 60 * MINUTE_MS {
        world.now_ms += MINUTE_MS;
        if world.send(world.now_ms, &[POISON]) {
            crashed_at_min.push((world.now_ms - quarantined_ms) / MINUTE_MS);
        }
    }
    // Three crashes before, and three at most after the fifth.
    assert!(world.crashes <= 5 + 3, "{crashed_at_min:?}");
    assert!(!crashed_at_min.is_empty());
}

#[test]
fn a_permit_covers_a_part_until_the_response_has_begun() {
    let mut tracker = tracker();
    tracker.on_crash(0, crash(part(RARE), "i-1", false));
    let mut permits = Permits::default();
    let first = subjects(1, &[COMMON, RARE]);
    let second = subjects(2, &[COMMON, RARE]);
    let PermitState::Granted { permit, covered } =
        permits.grant(0, &mut tracker, &first, None, 1_000)
    else {
        panic!("granted");
    };
    assert_eq!(covered, [part(RARE), first.digest().into()]);
    let other = permits.grant(0, &mut tracker, &second, None, 1_000);
    assert_eq!(
        other,
        PermitState::Out {
            lapses_in_ms: 1_000
        }
    );
    // The same request may extend its permit.
    let again = permits.grant(0, &mut tracker, &first, Some(permit.number), 2_000);
    assert!(matches!(again, PermitState::Granted { permit: same, .. } if same == permit));
    permits.release(&[part(RARE)], permit);
    let other = permits.grant(0, &mut tracker, &second, None, 1_000);
    assert!(matches!(other, PermitState::Granted { .. }));
}

/// The issuer has learned meanwhile that the part is not to blame.
#[test]
fn a_part_that_the_issuer_does_not_suspect_is_not_held_back() {
    let mut tracker = tracker();
    let mut permits = Permits::default();
    for request in [1, 2] {
        let subjects = subjects(request, &[COMMON]);
        let granted = permits.grant(0, &mut tracker, &subjects, None, 1_000);
        assert!(matches!(granted, PermitState::Granted { .. }));
    }
}

#[test]
fn prompts_with_very_many_parts_are_bounded() {
    let hashes: Vec<u64> = (0..1_000).chain(0..1_000).collect();
    let subjects = subjects(1, &hashes);
    assert_eq!(subjects.parts().count(), MAX_PARTS);
    assert_eq!(subjects.iter().count(), 1 + MAX_PARTS);
    let twice = RequestSubjects::new(subjects.digest(), [7, 7]);
    assert_eq!(twice.parts().count(), 1);
}

/// A workspace that sends a part once only crashes one server with each.
#[test]
fn many_distinct_parts_push_out_no_quarantined_one() {
    let settings = QuarantineSettings {
        max_requests: 100,
        ..QuarantineSettings::default()
    };
    let mut tracker = CrashTracker::new(settings);
    for server in 0..3 {
        tracker.on_crash(0, crash(part(POISON), &format!("i-{server}"), true));
    }
    for hash in 0..10_000 {
        tracker.on_crash(hash, crash(part(10_000 + hash), &format!("j-{hash}"), true));
        assert!(tracker.len() <= 100);
    }
    assert!(is_quarantined(&tracker, 10_000, POISON));
}

#[test]
fn parts_and_requests_keep_their_names() {
    let request = CrashSubject::from(RequestDigest([7; 16]));
    for subject in [request, part(0), part(0xc4a5_e0fd), part(u64::MAX)] {
        assert_eq!(CrashSubject::from(<[u8; 16]>::from(subject)), subject);
        assert_eq!(CrashSubject::from_text(&subject.to_string()), Some(subject));
    }
    assert_eq!(part(0xc4a5).to_string(), "part-c4a5");
    for text in ["part-", "part-xyz", "c4a5", ""] {
        assert_eq!(CrashSubject::from_text(text), None, "{text}");
    }
}

#[test]
fn a_quarantined_part_is_kept_outside_and_until_it_is_cleared() {
    let mut world = World::new();
    for request in 0..5 {
        world.send(request, &[POISON]);
    }
    let kept = world.tracker.unpersisted();
    assert_eq!(kept.len(), 1);
    assert_eq!(kept[0].subject, part(POISON));
    let mut next = tracker();
    next.on_loaded(0, kept);
    assert!(is_quarantined(&next, 0, POISON));
    next.on_answered(1, part(POISON));
    assert!(next.unpersisted()[0].ends.is_empty());
}

quickcheck! {
    /// Instances that exchange reports in any order agree on which parts are quarantined.
    fn instances_agree_on_parts(events: Vec<(u8, u8, u8, bool)>, exchanges: Vec<(u8, u8)>) -> bool {
        let mut trackers: Vec<CrashTracker> = (0..3).map(|_| tracker()).collect();
        let mut now_ms = 0;
        let mut exchanges = exchanges.into_iter();
        for (at, hash, server, is_isolated) in events {
            now_ms += STEP_MS;
            let (at, subject) = (usize::from(at) % 3, part(u64::from(hash) % 4));
            if server % 6 == 0 {
                trackers[at].on_answered(now_ms, subject);
            } else {
                let server = format!("i-{}", server % 6);
                trackers[at].on_crash(now_ms, crash(subject, &server, is_isolated));
            }
            if let Some((from, to)) = exchanges.next() {
                let records = trackers[usize::from(from) % 3].own_reports(now_ms);
                trackers[usize::from(to) % 3].on_reports(now_ms, records);
            }
        }
        for _ in 0..4 {
            for from in 0..3 {
                for to in 0..3 {
                    let records = trackers[from].reports_since(now_ms, 0).records;
                    trackers[to].on_reports(now_ms, records);
                }
            }
        }
        let states = trackers.iter().map(|tracker| {
            let hashes = 0..4;
            hashes.map(|hash| tracker.ends(now_ms, &part(hash))).collect::<Vec<u32>>()
        });
        let states: Vec<Vec<u32>> = states.collect();
        states.iter().all(|other| *other == states[0])
    }
}
