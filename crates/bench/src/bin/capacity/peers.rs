//! Membership and quota sharing: messages, bytes and processor time of an
//! instance against the number of instances, zones and workspaces.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_bench::{peer_net::PeerNet, quota_net::QuotaNet};
use savoryvane_core::{
    digest::{LoadSummary, Readiness},
    ids::Offset,
    membership::OwnState,
};

use crate::{fit::Series, machine::thread_cpu_ns};

const SETTLE_MS: u64 = 20_000;
const MEASURE_MS: u64 = 30_000;
/// Processor time that a measurement takes at least, in ns.
const LEAST_NS: u64 = 400_000_000;
/// Steps of the quota net, of 100 ms each.
const SETTLE_STEPS: usize = 150;
const MEASURE_STEPS: usize = 100;
/// Requests a second of one instance at the full size.
const REQUESTS_PER_S: f64 = 14_000.0 / 570.0;

/// What one instance does in a second.
#[derive(Clone, Copy, Debug, Default)]
struct PerSecond {
    messages: f64,
    bytes_sent: f64,
    bytes_received: f64,
    most_bytes: f64,
    cpu_us: f64,
}

/// Measures membership in a zone up to 32 instances, where each makes an account
/// a second.
pub(crate) fn membership_in_small_zones() -> Vec<Series> {
    let sizes = [6, 9, 16, 24, 32];
    let runs: Vec<_> = sizes.iter().map(|n| (*n, membership(1, *n))).collect();
    series("members: ", "instances in the zone", &runs)
}

/// Measures membership in larger zones, where accounts are made less often.
pub(crate) fn membership_in_large_zones() -> Vec<Series> {
    let sizes = [32, 48, 64, 95, 190];
    let runs: Vec<_> = sizes.iter().map(|n| (*n, membership(1, *n))).collect();
    series("members: ", "instances in the zone", &runs)
}

/// Measures membership over zones of 95.
pub(crate) fn membership_by_zones() -> Vec<Series> {
    let sizes = [1, 2, 4, 6];
    let runs: Vec<_> = sizes.iter().map(|n| (*n, membership(*n, 95))).collect();
    series("members: ", "zones of 95", &runs)
}

/// Measures quota sharing over six zones, at the full traffic of an instance.
pub(crate) fn quotas_by_zone_size() -> Vec<Series> {
    let sizes = [12, 24, 48, 95];
    let run = |n: &usize| (*n, quotas(6, *n, 13_000 * n / 95, REQUESTS_PER_S));
    let runs: Vec<_> = sizes.iter().map(run).collect();
    series("quotas: ", "instances in each of 6 zones", &runs)
}

/// Measures quota sharing against the traffic of an instance.
pub(crate) fn quotas_by_traffic() -> Vec<Series> {
    let rates = [6usize, 12, 25, 50];
    let run = |rate: &usize| (*rate, quotas(1, 95, 13_000, *rate as f64));
    let runs: Vec<_> = rates.iter().map(run).collect();
    series("quotas: ", "requests a second of an instance", &runs)
}

/// Measures quota sharing against the number of workspaces.
pub(crate) fn quotas_by_workspaces() -> Vec<Series> {
    let counts = [1_625, 3_250, 6_500, 13_000];
    let run = |n: &usize| (*n, quotas(1, 95, *n, REQUESTS_PER_S));
    let runs: Vec<_> = counts.iter().map(run).collect();
    series("quotas: ", "workspaces", &runs)
}

fn series(prefix: &str, variable: &'static str, runs: &[(usize, PerSecond)]) -> Vec<Series> {
    let is_members = prefix.starts_with("members");
    let names: [&'static str; 5] = if is_members {
        [
            "members: messages/s sent",
            "members: bytes/s sent",
            "members: bytes/s received",
            "members: bytes/s sent, most of any",
            "members: processor µs/s",
        ]
    } else {
        [
            "quotas: messages/s sent",
            "quotas: bytes/s sent",
            "quotas: bytes/s received",
            "quotas: bytes/s sent and received, most of any",
            "quotas: processor µs/s",
        ]
    };
    let values: [fn(&PerSecond) -> f64; 5] = [
        |r| r.messages,
        |r| r.bytes_sent,
        |r| r.bytes_received,
        |r| r.most_bytes,
        |r| r.cpu_us,
    ];
    let series = names.into_iter().zip(values);
    series
        .map(|(measure, value)| Series {
            measure,
            variable,
            points: runs
                .iter()
                .map(|(n, run)| (*n as f64, value(run)))
                .collect(),
        })
        .collect()
}

fn membership(zones: usize, per_zone: usize) -> PerSecond {
    let count = zones * per_zone;
    let mut net = PeerNet::new(1, zones, per_zone);
    let all: Vec<_> = (0..count).collect();
    net.list(&all);
    for index in all {
        let own = OwnState {
            readiness: Readiness::Ready,
            config_next: Offset(50_000),
            claims_next: Offset(50_000_000),
            load: LoadSummary {
                in_flight: 98,
                admitted: 25,
                refused: 1,
            },
        };
        net.set_own(index, own);
    }
    net.run(SETTLE_MS);
    let (start_ns, start_ms) = (thread_cpu_ns(), net.now_ms);
    while thread_cpu_ns() - start_ns < LEAST_NS {
        net.run(MEASURE_MS);
    }
    let measured_s = (net.now_ms - start_ms) as f64 / 1_000.0;
    let cpu_us = (thread_cpu_ns() - start_ns) as f64 / 1_000.0;
    net.count_bytes();
    let before: Vec<_> = net.nodes.iter().map(|node| node.traffic).collect();
    net.run(MEASURE_MS);
    let seconds = MEASURE_MS as f64 / 1_000.0;
    let mut sum = PerSecond::default();
    for (node, before) in net.nodes.iter().zip(before) {
        let sent = (node.traffic.sent_bytes - before.sent_bytes) as f64;
        sum.messages += (node.traffic.sent - before.sent) as f64;
        sum.bytes_sent += sent;
        sum.bytes_received += (node.traffic.received_bytes - before.received_bytes) as f64;
        sum.most_bytes = sum.most_bytes.max(sent);
    }
    sum.cpu_us = cpu_us * seconds / measured_s;
    sum.per(count as f64, seconds)
}

fn quotas(zones: usize, per_zone: usize, workspaces: usize, rate_per_s: f64) -> PerSecond {
    let count = zones * per_zone;
    // Two thirds of each quota are used on average.
    let mean = count as f64 * rate_per_s / workspaces as f64;
    let quota = (mean * 1.5).ceil() as u32;
    let mut net = QuotaNet::new(zones, per_zone, &vec![quota; workspaces]);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let per_step = (count as f64 * rate_per_s / 10.0) as usize;
    let mut step = |net: &mut QuotaNet| {
        for _ in 0..per_step {
            let (at, of) = (rng.random_range(0..count), rng.random_range(0..workspaces));
            net.admit(at, of);
        }
        net.step();
    };
    for _ in 0..SETTLE_STEPS {
        step(&mut net);
    }
    let start_ns = thread_cpu_ns();
    for _ in 0..MEASURE_STEPS {
        step(&mut net);
    }
    let cpu_us = (thread_cpu_ns() - start_ns) as f64 / 1_000.0;
    net.count_bytes();
    let before: Vec<_> = net
        .nodes
        .iter()
        .map(|node| (node.sent, node.sent_bytes, node.received_bytes))
        .collect();
    for _ in 0..MEASURE_STEPS {
        step(&mut net);
    }
    let mut sum = PerSecond::default();
    for (node, before) in net.nodes.iter().zip(before) {
        let (sent, received) = (node.sent_bytes - before.1, node.received_bytes - before.2);
        sum.messages += (node.sent - before.0) as f64;
        sum.bytes_sent += sent as f64;
        sum.bytes_received += received as f64;
        sum.most_bytes = sum.most_bytes.max((sent + received) as f64);
    }
    sum.cpu_us = cpu_us;
    sum.per(count as f64, MEASURE_STEPS as f64 / 10.0)
}

impl PerSecond {
    fn per(self, instances: f64, seconds: f64) -> Self {
        Self {
            messages: self.messages / instances / seconds,
            bytes_sent: self.bytes_sent / instances / seconds,
            bytes_received: self.bytes_received / instances / seconds,
            most_bytes: self.most_bytes / seconds,
            cpu_us: self.cpu_us / instances / seconds,
        }
    }
}
