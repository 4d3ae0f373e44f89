//! Membership of many simulated instances: convergence, bounded traffic, leaving,
//! partitions, freezes, restarts and old incarnations.

use savoryvane_bench::peer_net::{PeerNet, live_counts};
use savoryvane_core::{
    digest::{AgedDigest, DigestBatch, Leaver, LeavingNotice, LoadSummary, Readiness},
    ids::{InstanceName, Offset},
    membership::{Action, Event, OwnState},
    roster::{DIGEST_EXPIRY_MS, MemberState, list_interval_ms, silence_timeout_ms},
};

const READY: OwnState = OwnState {
    readiness: Readiness::Ready,
    config_next: Offset(1),
    claims_next: Offset(0),
    load: LoadSummary {
        in_flight: 40,
        admitted: 25,
        refused: 0,
    },
};

fn start_net(seed: u64, zones: usize, per_zone: usize) -> PeerNet {
    let mut net = PeerNet::new(seed, zones, per_zone);
    let all: Vec<_> = (0..zones * per_zone).collect();
    net.list(&all);
    for index in all {
        net.set_own(index, READY);
    }
    net
}

fn all_see(net: &PeerNet, count: usize) -> bool {
    live_counts(net)
        .values()
        .all(|live_count| *live_count == count)
}

fn state(net: &PeerNet, node: usize, member_index: usize) -> Option<MemberState> {
    let name = &net.identity(member_index).instance;
    let mut members = net.nodes[node].core.members(net.now_ms);
    members
        .find(|(member, ..)| *member == name)
        .map(|(.., state)| state)
}

fn has_action(net: &PeerNet, index: usize, action: &Action) -> bool {
    net.nodes[index].told.contains(action)
}

#[test]
fn a_zone_converges_within_seconds() {
    for (seed, per_zone) in [(1, 3), (2, 9), (3, 95)] {
        let mut net = start_net(seed, 1, per_zone);
        let took_ms = net.run_until(10_000, |net| all_see(net, per_zone));
        assert!(
            took_ms.is_some_and(|ms| ms <= 5_000),
            "{per_zone}: {took_ms:?}"
        );
    }
}

#[test]
fn six_zones_of_95_converge_and_know_each_other_by_digests() {
    let mut net = start_net(4, 6, 95);
    let all_known = |net: &PeerNet| {
        all_see(net, 95)
            && net.nodes.iter().all(|node| {
                let zones = node.core.zones();
                zones
                    .iter()
                    .filter(|(_, zone)| zone.digest().live == 95)
                    .count()
                    == 5
            })
    };
    let took_ms = net.run_until(20_000, all_known);
    assert!(took_ms.is_some_and(|ms| ms <= 8_000), "{took_ms:?}");
}

#[test]
fn messages_and_bytes_of_an_instance_are_bounded_whatever_the_zone() {
    for per_zone in [9, 32, 95] {
        let mut net = start_net(5, 1, per_zone);
        net.run(10_000);
        net.count_bytes();
        let earlier: Vec<_> = net.nodes.iter().map(|node| node.traffic).collect();
        net.run(10_000);
        for (node, earlier) in net.nodes.iter().zip(earlier) {
            let messages = (node.traffic.sent - earlier.sent) / 10;
            assert!(messages <= 36, "{messages} messages a second at {per_zone}");
            let bytes = (node.traffic.sent_bytes - earlier.sent_bytes) / 10;
            assert!(bytes <= 9_000, "{bytes} bytes a second at {per_zone}");
        }
    }
}

#[test]
fn reading_the_list_takes_a_bounded_part_of_a_second_whatever_its_size() {
    for entries in [0, 31, 60, 570, 2_270, 20_000] {
        let per_s = entries as u64 * 1_000 / list_interval_ms(entries);
        assert!(per_s <= 63, "{per_s} entries a second of {entries}");
    }
    assert!(list_interval_ms(60) <= 1_000);
}

#[test]
fn an_account_past_its_expiry_brings_nobody_back() {
    let mut net = start_net(15, 1, 9);
    net.run(5_000);
    let member = net.nodes[0].core.members(net.now_ms).next().unwrap();
    let digest = member.1.digest().unwrap().clone();
    net.kill(1);
    let listed: Vec<_> = (0..9).filter(|i| *i != 1).collect();
    net.list(&listed);
    net.run(DIGEST_EXPIRY_MS + 5_000);
    assert_eq!(state(&net, 0, 1), None, "the member was not evicted");
    let age_ms = DIGEST_EXPIRY_MS as u32 + 1;
    let entries = vec![AgedDigest { digest, age_ms }];
    let zone = net.identity(0).zone.clone();
    let batch = DigestBatch { zone, entries };
    net.apply(
        0,
        Event::Digests {
            from: "entry-002".into(),
            batch,
        },
    );
    assert_eq!(
        state(&net, 0, 1),
        None,
        "the expired digest restored the member"
    );
}

#[test]
fn an_offset_is_known_to_be_in_force_everywhere_soon() {
    let mut net = start_net(6, 3, 9);
    net.run(5_000);
    for index in 0..27 {
        net.set_own(
            index,
            OwnState {
                config_next: Offset(8),
                ..READY
            },
        );
    }
    let is_known = |net: &PeerNet| {
        let propagations = net
            .nodes
            .iter()
            .map(|node| node.core.propagation(Offset(7)));
        let mut propagations = propagations;
        propagations.all(|propagation| propagation.in_force == 27 && propagation.missing.is_empty())
    };
    let took_ms = net.run_until(10_000, is_known);
    assert!(took_ms.is_some_and(|ms| ms <= 4_000), "{took_ms:?}");
    let not_propagated = net.nodes[0].core.propagation(Offset(8));
    assert_eq!((not_propagated.in_force, not_propagated.listed), (0, 27));
}

#[test]
fn a_leaving_instance_and_backend_server_are_known_everywhere_within_a_second() {
    let mut net = start_net(7, 3, 31);
    net.run(6_000);
    net.set_own(
        0,
        OwnState {
            readiness: Readiness::Leaving,
            ..READY
        },
    );
    let notice = LeavingNotice {
        leaver: Leaver::Backend("llm-7".into()),
        age_ms: 0,
    };
    net.apply(1, Event::Leaving { from: None, notice });
    let in_zone: Vec<_> = (3..93).step_by(3).collect();
    let took_ms = net.run_until(1_000, |net| {
        in_zone
            .iter()
            .all(|i| state(net, *i, 0) == Some(MemberState::Leaving))
    });
    assert!(took_ms.is_some(), "the instance is not known to leave");
    let leaving = Action::BackendLeaving("llm-7".into());
    let took_ms = net.run_until(2_000, |net| (0..93).all(|i| has_action(net, i, &leaving)));
    assert!(
        took_ms.is_some(),
        "the backend server is not known to leave"
    );
    for index in 0..93 {
        let times = net.nodes[index]
            .told
            .iter()
            .filter(|action| **action == leaving);
        assert_eq!(times.count(), 1);
    }
}

#[test]
fn one_that_dies_is_silent_everywhere_after_the_stated_age() {
    let mut net = start_net(8, 1, 95);
    net.run(10_000);
    net.kill(13);
    net.run(silence_timeout_ms(95) + 2_000);
    for index in net.running() {
        assert_eq!(state(&net, index, 13), Some(MemberState::Silent));
    }
    assert!(all_see(&net, 94));
}

#[test]
fn a_rack_that_dies_leaves_the_others_connected() {
    let mut net = start_net(9, 1, 95);
    net.run(10_000);
    for index in 20..44 {
        net.kill(index);
    }
    let took_ms = net.run_until(30_000, |net| all_see(net, 71));
    assert!(
        took_ms.is_some_and(|ms| ms <= silence_timeout_ms(95) + 3_000),
        "{took_ms:?}"
    );
    net.run(20_000);
    assert!(all_see(&net, 71), "some instances do not see all others");
}

#[test]
fn a_zone_cut_in_half_goes_on_and_comes_together_again() {
    let mut net = start_net(10, 1, 30);
    net.run(6_000);
    let is_first = |name: &InstanceName| name.as_str() < "entry-015";
    net.set_cut(move |a, b| is_first(&a.instance) != is_first(&b.instance));
    net.run(40_000);
    assert!(all_see(&net, 15));
    net.set_cut(|_, _| false);
    let took_ms = net.run_until(10_000, |net| all_see(net, 30));
    assert!(took_ms.is_some_and(|ms| ms <= 4_000), "{took_ms:?}");
}

#[test]
fn one_that_is_cut_one_way_stays_known_and_does_no_harm() {
    let mut net = start_net(11, 1, 20);
    net.run(6_000);
    // It sends, but receives nothing.
    net.set_cut(|_, to| to.instance.as_str() == "entry-004");
    net.run(30_000);
    for index in (0..20).filter(|i| *i != 4) {
        assert_eq!(net.nodes[index].core.live().len(), 20);
    }
    assert_eq!(
        net.nodes[4].core.live().len(),
        1,
        "it does not know that it receives nothing"
    );
    // It receives, but its messages are lost.
    net.set_cut(|from, _| from.instance.as_str() == "entry-004");
    net.run(30_000);
    for index in (0..20).filter(|i| *i != 4) {
        assert_eq!(net.nodes[index].core.live().len(), 19);
    }
    assert_eq!(net.nodes[4].core.live().len(), 20);
}

#[test]
fn a_frozen_one_wakes_without_bringing_old_accounts_back() {
    let mut net = start_net(12, 1, 20);
    net.run(6_000);
    net.freeze(3);
    net.run(20_000);
    net.kill(9);
    net.run(80_000);
    let new_state = OwnState {
        config_next: Offset(50),
        ..READY
    };
    for index in net.running() {
        net.set_own(index, new_state);
    }
    net.run(3_000);
    net.thaw(3);
    net.run(3_000);
    for index in net.running().into_iter().filter(|i| *i != 3) {
        assert_ne!(state(&net, index, 9), Some(MemberState::Live));
        let propagation = net.nodes[index].core.propagation(Offset(49));
        assert_eq!(propagation.in_force, 18);
        assert_eq!(state(&net, index, 3), Some(MemberState::Live));
    }
}

#[test]
fn a_restart_under_the_same_address_wins_even_with_its_clock_set_back() {
    for skew_s in [0, -3_600] {
        let mut net = start_net(13, 1, 20);
        net.run(10_000);
        net.restart(5, skew_s);
        let all: Vec<_> = (0..20).collect();
        net.list_to(5, &all);
        net.run(6_000);
        let incarnation = net.identity(5).incarnation;
        for index in (0..20).filter(|i| *i != 5) {
            let member = net.nodes[index].core.members(net.now_ms);
            let mut member = member.filter(|(name, ..)| name.as_str() == "entry-005");
            let (_, member, state) = member.next().unwrap();
            assert_eq!(state, MemberState::Live, "skew {skew_s}");
            assert_eq!(member.digest().unwrap().version.incarnation, incarnation);
        }
        assert!(!has_action(&net, 5, &Action::Superseded));
        assert_eq!(net.nodes[5].core.live().len(), 20);
    }
}

#[test]
fn an_old_run_that_wakes_after_its_successor_started_steps_back() {
    let mut net = start_net(14, 1, 20);
    net.run(10_000);
    let digest_of = |net: &PeerNet, node: usize, member_index: usize| {
        let name = net.identity(member_index).instance.clone();
        let member = net.nodes[node].core.members(net.now_ms);
        let mut member = member.filter(|(member, ..)| **member == name);
        member
            .next()
            .and_then(|(_, member, _)| member.digest().cloned())
    };
    let old = digest_of(&net, 0, 5).unwrap();
    net.restart(5, 0);
    let all: Vec<_> = (0..20).collect();
    net.list_to(5, &all);
    net.run(6_000);
    let new = digest_of(&net, 0, 5).unwrap();
    assert_ne!(old.version.incarnation, new.version.incarnation);
    // The old incarnation continues its sequence, and one peer receives its digest.
    let mut stale_digest = old.clone();
    stale_digest.version.seq += 500;
    let batch = DigestBatch {
        zone: net.identity(0).zone.clone(),
        entries: vec![AgedDigest {
            digest: stale_digest,
            age_ms: 0,
        }],
    };
    net.apply(
        0,
        Event::Digests {
            from: "entry-005".into(),
            batch,
        },
    );
    net.run(3_000);
    for index in (0..20).filter(|i| *i != 5) {
        let current = digest_of(&net, index, 5).unwrap();
        assert_eq!(current.version.incarnation, new.version.incarnation);
    }
    // The old incarnation receives the digest of its successor.
    let mut identity = net.identity(5).clone();
    identity.incarnation = old.version.incarnation;
    identity.started_at_s = 1_000_000;
    let mut old_membership = savoryvane_core::membership::Membership::new(0, identity);
    let batch = DigestBatch {
        zone: net.identity(0).zone.clone(),
        entries: vec![AgedDigest {
            digest: new,
            age_ms: 200,
        }],
    };
    let event = Event::Digests {
        from: "entry-000".into(),
        batch,
    };
    let actions = old_membership.on_event(net.now_ms, event);
    assert!(actions.contains(&Action::Superseded));
}
