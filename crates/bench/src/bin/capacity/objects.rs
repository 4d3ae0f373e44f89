//! State, bytes and processor time of configuration, backend servers, claims and
//! the platform's list.

use std::hint::black_box;

use savoryvane_core::{
    claim::Batch,
    claim_index::ClaimRecord,
    config::ConfigRecord,
    digest::{AgedDigest, Digest, DigestBatch, LoadSummary, Readiness, Version},
    fleet::Fleet,
    ids::{Incarnation, InstanceName, Offset, ZoneName},
    membership::{Event, Identity, Membership},
    objects::Object,
    roster::ListedInstance,
    settings::PolicySettings,
    usage::Usage,
};
use savoryvane_wire::{claims, config};

use crate::{
    fit::Series,
    machine::{memory_of, resident_bytes, thread_cpu_ns},
    world,
};

/// Processor time that a measurement takes at least, in ns; the kernel counts in
/// steps of some ms.
const LEAST_NS: u64 = 400_000_000;
/// Runs between two looks at the processor time.
const BLOCK: usize = 16;
/// Changes that are applied before the state begins anew.
const CHANGES: usize = 1_024;

const WORKSPACES: [usize; 4] = [1_625, 3_250, 6_500, 13_000];
const RUNNERS: [usize; 4] = [212, 425, 850, 1_700];
const RECORDS: [usize; 4] = [875, 1_750, 3_500, 7_000];
const KEYS: [usize; 4] = [25_000, 50_000, 100_000, 200_000];
const INSTANCES: [usize; 4] = [95, 190, 380, 570];
const LISTED: [usize; 4] = [290, 570, 1_140, 2_270];

/// Measures memory against what it depends on.
pub(crate) fn memory() -> Vec<Series> {
    let of = |measure, variable, what: &str, sizes: &[usize]| Series {
        measure,
        variable,
        points: sizes
            .iter()
            .filter_map(|size| Some((*size as f64, memory_of(what, *size)?)))
            .collect(),
    };
    vec![
        of(
            "memory: members, bytes",
            "instances of the zone",
            "members",
            &[95, 190, 380, 760],
        ),
        of(
            "memory: list of instances, bytes",
            "instances listed",
            "listed",
            &INSTANCES,
        ),
        of("memory: quotas, bytes", "workspaces", "quotas", &WORKSPACES),
        of(
            "memory: configuration, bytes",
            "workspaces",
            "workspaces",
            &WORKSPACES,
        ),
        of(
            "memory: configuration, bytes",
            "runners",
            "runners",
            &RUNNERS,
        ),
        of(
            "memory: history, bytes",
            "configuration records",
            "records",
            &RECORDS,
        ),
        of("memory: fleet, bytes", "runners", "fleet", &RUNNERS),
        of("memory: claims, bytes", "keys remembered", "claims", &KEYS),
    ]
}

/// Builds something and returns what it takes, in bytes for each copy.
pub(crate) fn measure_memory(what: &str, size: usize) -> Option<u64> {
    let bytes = match what {
        "members" => grown(40, |_| members(size, 0)),
        "listed" => grown(40, |_| members(1, size)),
        "quotas" => {
            let names: Vec<_> = (0..size).map(world::workspace_name).collect();
            grown(10, |_| {
                let name = InstanceName::new("entry-000");
                let mut usage = Usage::new(0, name, ZoneName::new("zone-0"), Incarnation(1));
                usage.set_quotas(names.iter().map(|name| (name, 5)));
                usage
            })
        }
        "workspaces" => grown(4, |_| world::state(0, size)),
        "runners" => grown(10, |_| world::state(size, 0)),
        "records" => grown(4, |_| {
            let mut state = world::state(0, 100);
            for number in 0..size {
                let change = world::change(&state, number % 100);
                world::apply(&mut state, change);
            }
            state
        }),
        "fleet" => grown(10, |_| fleet(size)),
        "claims" => grown(2, |_| world::claim_index(size as u64)),
        _ => return None,
    };
    Some(bytes)
}

fn grown<T>(copies: usize, build: impl Fn(usize) -> T) -> u64 {
    // What every copy shares, such as the allocator's first pages.
    let warm = build(0);
    let before = resident_bytes();
    let built: Vec<_> = (0..copies).map(build).collect();
    let after = resident_bytes();
    drop(black_box((built, warm)));
    after.saturating_sub(before) / copies as u64
}

fn members(zone: usize, listed_count: usize) -> Membership {
    let name = |index: usize| InstanceName::new(format!("entry-{index:03}"));
    let identity = Identity {
        instance: name(0),
        incarnation: Incarnation(1),
        zone: ZoneName::new("zone-0"),
        region: "region-0".into(),
        addr: ([10, 0, 0, 1], 7_000).into(),
        started_at_s: 1,
    };
    let mut membership = Membership::new(0, identity);
    let digest = |index: usize| AgedDigest {
        digest: Digest {
            instance: name(index),
            version: Version {
                generation: 1,
                incarnation: Incarnation(index as u64),
                seq: 1,
            },
            addr: ([10, 0, 0, 1], 7_000).into(),
            readiness: Readiness::Ready,
            config_next: Offset(1),
            claims_next: Offset(1),
            load: LoadSummary::default(),
        },
        age_ms: 0,
    };
    let batch = DigestBatch {
        zone: ZoneName::new("zone-0"),
        entries: (1..zone).map(digest).collect(),
    };
    let from = name(1);
    membership.on_event(0, Event::Digests { from, batch });
    let listed = |index: usize| ListedInstance {
        instance: name(index),
        zone: ZoneName::new(format!("zone-{}", index % 6)),
        addr: ([10, 0, 0, 1], 7_000).into(),
        is_leaving: false,
    };
    membership.on_event(0, Event::Listed((0..listed_count).map(listed).collect()));
    membership
}

fn fleet(backends: usize) -> Fleet {
    let name = InstanceName::new("entry-000");
    let settings = PolicySettings::default();
    let mut fleet = Fleet::new(name, ZoneName::new("zone-0"), settings, 1);
    let backends: Vec<_> = (0..backends).map(world::backend).collect();
    fleet.configure(world::pools().iter(), backends.iter());
    fleet
}

/// Measures processor time against what it depends on.
pub(crate) fn processor() -> Vec<Series> {
    let of = |measure, variable, sizes: &[usize], run: fn(usize) -> f64| Series {
        measure,
        variable,
        points: sizes.iter().map(|n| (*n as f64, run(*n))).collect(),
    };
    vec![
        of(
            "processor: change decoded and applied, µs",
            "workspaces",
            &WORKSPACES,
            apply_us,
        ),
        of(
            "processor: state copied, µs",
            "workspaces",
            &WORKSPACES,
            copy_us,
        ),
        of(
            "processor: quotas taken over, µs",
            "workspaces",
            &WORKSPACES,
            set_quotas_us,
        ),
        of(
            "processor: request admitted, µs",
            "workspaces",
            &WORKSPACES,
            admit_us,
        ),
        of(
            "processor: load report taken, µs",
            "runners",
            &RUNNERS,
            report_us,
        ),
        of(
            "processor: claim and end decoded and applied, µs",
            "keys remembered",
            &KEYS,
            claim_us,
        ),
        of("processor: list decoded, µs", "entries", &LISTED, list_us),
    ]
}

/// Measures bytes against what they depend on.
pub(crate) fn bytes() -> Vec<Series> {
    let of = |measure, variable, sizes: &[usize], run: fn(usize) -> f64| Series {
        measure,
        variable,
        points: sizes.iter().map(|n| (*n as f64, run(*n))).collect(),
    };
    vec![
        of(
            "bytes: checkpoint",
            "workspaces",
            &WORKSPACES,
            checkpoint_bytes,
        ),
        of("bytes: list", "entries", &LISTED, list_bytes),
        of(
            "bytes: claims stream",
            "requests with a key",
            &[1, 4, 16, 64],
            claim_bytes,
        ),
        of(
            "bytes: change record",
            "objects put",
            &[1, 2, 4, 8],
            change_bytes,
        ),
        of(
            "bytes: load reports",
            "reports",
            &[1, 4, 16, 64],
            report_bytes,
        ),
    ]
}

/// Returns the processor time of one run, from as many as take long enough to be
/// counted well.
fn each_us(mut run: impl FnMut(u64)) -> f64 {
    let start_ns = thread_cpu_ns();
    let mut runs = 0u64;
    loop {
        for _ in 0..BLOCK {
            run(runs);
            runs += 1;
        }
        let took_ns = thread_cpu_ns() - start_ns;
        if took_ns >= LEAST_NS {
            return took_ns as f64 / 1_000.0 / runs as f64;
        }
    }
}

fn apply_us(workspaces: usize) -> f64 {
    let before = world::state(1_700, workspaces);
    let mut state = before.clone();
    // Each puts another workspace, so that all of them take effect in turn.
    let payload = |index: usize| {
        let change = world::change(&before, index);
        config::encode(&ConfigRecord::Change(change)).unwrap_or_default()
    };
    let payloads: Vec<_> = (0..CHANGES).map(payload).collect();
    each_us(|number| {
        let index = number as usize % CHANGES;
        if index == 0 {
            state = before.clone();
        }
        if let Ok(record) = config::decode(&payloads[index]) {
            let offset = state.next();
            black_box(state.apply(offset, &record));
        }
    })
}

fn copy_us(workspaces: usize) -> f64 {
    let state = world::state(1_700, workspaces);
    each_us(|_| {
        black_box(state.clone());
    })
}

fn set_quotas_us(workspaces: usize) -> f64 {
    let names: Vec<_> = (0..workspaces).map(world::workspace_name).collect();
    let (name, zone) = (InstanceName::new("entry-000"), ZoneName::new("zone-0"));
    let mut usage = Usage::new(0, name, zone, Incarnation(1));
    each_us(|_| usage.set_quotas(names.iter().map(|name| (name, 5))))
}

fn admit_us(workspaces: usize) -> f64 {
    let names: Vec<_> = (0..workspaces).map(world::workspace_name).collect();
    let (name, zone) = (InstanceName::new("entry-000"), ZoneName::new("zone-0"));
    let mut usage = Usage::new(0, name, zone, Incarnation(1));
    usage.set_quotas(names.iter().map(|name| (name, 5)));
    each_us(|number| {
        let index = number as usize * 7_919 % workspaces;
        black_box(usage.admit(number * 40, &names[index]));
    })
}

fn report_us(runners: usize) -> f64 {
    let mut fleet = fleet(runners);
    let reports: Vec<_> = (0..runners).map(world::load_report).collect();
    each_us(|number| {
        fleet.on_load_report(number, &reports[number as usize % runners]);
    })
}

fn claim_us(keys: usize) -> f64 {
    let mut index = world::claim_index(keys as u64);
    let next = index.next().0;
    let payload = |number: u64| {
        let entries = world::claim_entries(next + number).to_vec();
        claims::encode(&Batch { entries }).unwrap_or_default()
    };
    let payloads: Vec<_> = (0..4_096).map(payload).collect();
    each_us(|number| {
        let batch = claims::decode(&payloads[number as usize % payloads.len()]).ok();
        black_box(index.apply(&ClaimRecord {
            offset: Offset(next + number),
            appended_at_ms: next + number,
            batch: batch.as_ref(),
        }));
    })
}

fn list_us(entries: usize) -> f64 {
    let text = serde_json::to_vec(&world::listing(entries)).unwrap_or_default();
    each_us(|_| {
        let listing: Option<savoryvane_wire::platform::Listing> =
            serde_json::from_slice(&text).ok();
        black_box(listing);
    })
}

fn checkpoint_bytes(workspaces: usize) -> f64 {
    let parts = world::state(0, workspaces).checkpoint();
    let bytes = parts.into_iter().map(|part| {
        let payload = config::encode(&ConfigRecord::Checkpoint(part));
        payload.map_or(0, |payload| payload.len())
    });
    bytes.sum::<usize>() as f64
}

fn list_bytes(entries: usize) -> f64 {
    serde_json::to_vec(&world::listing(entries)).map_or(0.0, |text| text.len() as f64)
}

fn claim_bytes(requests: usize) -> f64 {
    let entries = (0..requests as u64)
        .flat_map(world::claim_entries)
        .collect();
    claims::encode(&Batch { entries }).map_or(0.0, |payload| payload.len() as f64)
}

fn change_bytes(objects: usize) -> f64 {
    let state = world::state(0, 0);
    let put = (0..objects).map(|i| Object::Workspace(world::workspace(i)));
    let change = world::planned(&state, put.collect());
    let payload = config::encode(&ConfigRecord::Change(change));
    payload.map_or(0.0, |payload| payload.len() as f64)
}

fn report_bytes(reports: usize) -> f64 {
    let texts = (0..reports).map(|i| serde_json::to_vec(&world::load_report(i)));
    texts
        .map(|text| text.map_or(0, |text| text.len()))
        .sum::<usize>() as f64
}
