//! Software versions of the servers that streams are sent to.

use std::collections::HashMap;

use quickcheck::quickcheck;
use savoryvane_core::{
    fleet::Fleet,
    forwarding::{Placement, Prompt, PromptPart, SoftwareBinding},
    ids::{BackendName, PoolName, SoftwareVersion},
    objects::{Backend, Fencing, Pool, StageKind},
    settings::PolicySettings,
};

const SERVICE: &str = "engines";

fn name(index: usize) -> BackendName {
    BackendName::new(format!("i-{index}"))
}

/// Returns a fleet with a server of each of `versions`; number 0 stands for an unknown version.
fn fleet(versions: &[u8]) -> (Fleet, HashMap<BackendName, SoftwareVersion>) {
    let settings = PolicySettings::default();
    let mut fleet = Fleet::new("entry-1".into(), "z".into(), settings, 1);
    let pool = Pool {
        name: SERVICE.into(),
        kind: StageKind::Generate,
        price_micros_per_s: 0,
        fencing: Fencing::Ignored,
    };
    let backends: Vec<Backend> = (0..versions.len())
        .map(|index| Backend {
            name: name(index),
            pool: SERVICE.into(),
            zone: "z".into(),
            addr: "127.0.0.1:1".parse().unwrap(),
            slots: 4,
        })
        .collect();
    fleet.configure(&[pool], &backends);
    let known = versions
        .iter()
        .enumerate()
        .filter(|(_, version)| **version > 0);
    let software: HashMap<BackendName, SoftwareVersion> = known
        .map(|(index, version)| (name(index), version_name(*version)))
        .collect();
    fleet.on_listed_software(&software);
    (fleet, software)
}

fn version_name(number: u8) -> SoftwareVersion {
    SoftwareVersion::new(format!("v{number}"))
}

fn binding(number: u8) -> SoftwareBinding {
    match number {
        0 => SoftwareBinding::Unknown,
        number => SoftwareBinding::Version(version_name(number)),
    }
}

quickcheck! {
    /// Failures make other servers eligible, but never those of another version.
    fn no_failure_sends_a_bound_stream_to_another_version(
        versions: Vec<u8>, bound: u8, failed: Vec<u8>, session: Option<u64>, isolation: Option<u32>
    ) -> bool {
        let versions: Vec<u8> = versions.into_iter().map(|version| version % 3).collect();
        let (mut fleet, software) = fleet(&versions);
        for index in failed {
            let server = name(usize::from(index) % versions.len().max(1));
            fleet.on_forwarded(0, &server);
            match index % 4 {
                0 => fleet.on_full(1, &server),
                1 => fleet.on_unreachable(1, &server),
                2 => fleet.on_silent(1, &server),
                _ => fleet.on_leaving(&server),
            }
        }
        let binding = binding(bound % 3);
        let service = PoolName::new(SERVICE);
        let prompt = session.map(|hash| Prompt {
            parts: vec![PromptPart { hash, tokens: 10 }],
            ..Prompt::default()
        });
        let placement = Placement {
            service: &service,
            tried: &[],
            is_repeatable: true,
            prompt: prompt.as_ref(),
            inputs: &[],
            isolation_index: isolation,
            software: &binding,
        };
        let chosen = fleet.choose(2, &placement).server;
        let is_lacking = fleet.lacks_version(2, &service, &binding);
        chosen.is_none_or(|server| !is_lacking && binding.allows(software.get(&server)))
    }
}

#[test]
fn a_stream_that_began_at_an_unknown_version_may_go_on_nowhere() {
    let (fleet, _) = fleet(&[0, 0, 1]);
    let binding = SoftwareBinding::to(None);
    assert!(!binding.allows(None));
    assert!(fleet.lacks_version(0, &SERVICE.into(), &binding));
    let free = SoftwareBinding::Free;
    assert!(free.allows(None) && !fleet.lacks_version(0, &SERVICE.into(), &free));
}
