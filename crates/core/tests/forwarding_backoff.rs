//! Placement while backend servers request backoff from an instance.

use quickcheck::quickcheck;
use savoryvane_core::{
    fleet::Fleet,
    forwarding::{Placement, Prompt, PromptPart, ServerBackoffs, SoftwareBinding},
    ids::{BackendName, InstanceName, PoolName, ZoneName},
    objects::{Backend, Fencing, Pool, StageKind},
    settings::PolicySettings,
};

const ZONE: &str = "utrecht";
/// Requested backoff, in ms.
const BACKOFF_MS: u64 = 3_000;

fn name(number: usize) -> BackendName {
    BackendName::new(format!("i-{number}"))
}

fn fleet(servers: usize) -> Fleet {
    let policy = PolicySettings {
        subset_size: 4_096,
        ..PolicySettings::default()
    };
    let mut fleet = Fleet::new(InstanceName::new("one"), ZoneName::new(ZONE), policy, 7);
    let pool = Pool {
        name: PoolName::new("engines"),
        kind: StageKind::Generate,
        price_micros_per_s: 1,
        fencing: Fencing::default(),
    };
    let engines = (0..servers).map(|number| Backend {
        name: name(number),
        pool: PoolName::new("engines"),
        zone: ZoneName::new(ZONE),
        addr: "127.0.0.1:1".parse().unwrap(),
        slots: 64,
    });
    fleet.configure(&[pool], &engines.collect::<Vec<_>>());
    fleet
}

/// Chooses the server for a request of `session`.
fn choose(
    fleet: &mut Fleet,
    now_ms: u64,
    session: u64,
    isolation_index: Option<u32>,
) -> Option<BackendName> {
    let prompt = Prompt {
        input_tokens: 2_000,
        max_output_tokens: 50,
        parts: [session * 7_919, session]
            .map(|hash| PromptPart {
                hash,
                tokens: 1_000,
            })
            .to_vec(),
    };
    let service = PoolName::new("engines");
    let placement = Placement {
        service: &service,
        tried: &[],
        is_repeatable: true,
        prompt: Some(&prompt),
        inputs: &[],
        isolation_index,
        software: &SoftwareBinding::Free,
    };
    fleet.choose(now_ms, &placement).server
}

quickcheck! {
    /// For any sequence of backoff requests, nothing is sent before the latest end.
    fn a_backoff_ends_when_the_longest_that_was_asked_for_does(requests: Vec<(u8, u16)>) -> bool {
        let mut backoffs = ServerBackoffs::default();
        let (mut now_ms, mut until_ms) = (0, 0);
        requests.into_iter().all(|(gap_ms, backoff_ms)| {
            now_ms += u64::from(gap_ms) * 100;
            backoffs.on_request(now_ms, &name(0), u64::from(backoff_ms));
            until_ms = until_ms.max(now_ms + u64::from(backoff_ms));
            let is_honoured = (now_ms..until_ms).step_by(97).all(|at| !backoffs.allows(at, &name(0)));
            is_honoured && backoffs.allows(until_ms, &name(0)) && backoffs.allows(now_ms, &name(1))
        })
    }
}

#[test]
fn more_servers_than_are_remembered_lose_the_backoffs_that_end_first() {
    let mut backoffs = ServerBackoffs::default();
    for number in 0..5_000 {
        backoffs.on_request(0, &name(number), 10_000 + number as u64);
    }
    assert!(backoffs.count(0) < 5_000);
    for number in 1_000..5_000 {
        assert!(!backoffs.allows(9_000, &name(number)), "{number}");
    }
}

/// Sessions with affinity to a server that backs off go to other servers, and return to it after
/// the backoff; sessions of the other servers stay.
#[test]
fn sessions_leave_a_server_that_backs_off_for_as_long_as_it_does() {
    let mut fleet = fleet(6);
    let homes: Vec<_> = (0..60)
        .map(|session| choose(&mut fleet, 0, session, None))
        .collect();
    assert!(homes.contains(&Some(name(0))));
    fleet.backoffs().on_request(0, &name(0), BACKOFF_MS);
    for now_ms in [0, 1_000, BACKOFF_MS - 1] {
        for (session, home) in (0..).zip(&homes) {
            let chosen = choose(&mut fleet, now_ms, session, None);
            assert!(chosen.is_some() && chosen != Some(name(0)));
            assert!(
                *home == Some(name(0)) || chosen == *home,
                "sessions of other servers stay"
            );
        }
    }
    for (session, home) in (0..).zip(&homes) {
        assert_eq!(choose(&mut fleet, BACKOFF_MS, session, None), *home);
    }
}

/// Failing servers are used as a last resort, but servers that back off are not.
#[test]
fn a_server_that_backs_off_is_no_last_resort() {
    let mut fleet = fleet(2);
    for _ in 0..4 {
        fleet.on_forwarded(0, &name(0));
        fleet.on_unreachable(0, &name(0));
    }
    fleet.backoffs().on_request(0, &name(1), BACKOFF_MS);
    for session in 0..20 {
        assert_eq!(choose(&mut fleet, 10, session, None), Some(name(0)));
        assert_eq!(choose(&mut fleet, 10, session, Some(1)), Some(name(0)));
    }
    fleet.backoffs().on_request(0, &name(0), BACKOFF_MS);
    assert_eq!(choose(&mut fleet, 10, 1, None), None);
}

#[test]
fn callers_come_back_after_the_first_backoff_ends_and_not_all_at_once() {
    let mut fleet = fleet(2);
    let service = PoolName::new("engines");
    fleet.backoffs().on_request(0, &name(0), BACKOFF_MS);
    assert_eq!(
        fleet.return_after_backoff_ms(0, &service, &SoftwareBinding::Free),
        None,
        "one server accepts requests"
    );
    fleet.backoffs().on_request(0, &name(1), 2 * BACKOFF_MS);
    let times = (0..200).map(|_| {
        fleet
            .return_after_backoff_ms(1_000, &service, &SoftwareBinding::Free)
            .unwrap()
    });
    let times: Vec<u64> = times.collect();
    let ends_in_ms = BACKOFF_MS - 1_000;
    assert!(
        times
            .iter()
            .all(|time| (ends_in_ms..ends_in_ms * 3 / 2).contains(time))
    );
    let span = times.iter().max().unwrap() - times.iter().min().unwrap();
    assert!(span > ends_in_ms / 8, "spread over {span} ms");
}
