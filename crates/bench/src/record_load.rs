//! Plays streams that begin at many instances, some of which are killed, and callers that take
//! their streams up at others. Compares ways to inform other instances of where a stream began.

use std::collections::HashSet;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_core::{
    forwarding::{
        CellLayout, FleetSize, RECORD_READERS, RECORD_REPLICAS, StreamKey, StreamOrigin,
        StreamRecord, record_keepers,
    },
    ids::{InstanceName, ZoneName},
};
use savoryvane_wire::peer::{Message, encode};

/// Resumable streams that each instance begins in a second.
const STREAMS_PER_S: usize = 4;
/// Length of a play, in s.
const LENGTH_S: usize = 10;
/// Time from the first event to the end of a stream, in ms.
const STREAM_MS: f64 = 1_000.0;
/// Delay of a message between two instances, in ms: the way and the processor's queue.
const DELAY_MS: std::ops::Range<f64> = 1.0..6.0;
/// Bytes of a request and its response beyond their frames, as the group `peer_bytes` of
/// `scripts/capacity` measures them; headers of TCP and IP are not counted.
const OVERHEAD_BYTES: usize = 63;
/// Timeout after which the next instance is tried in place of one that does not respond, in ms.
const RETRY_MS: f64 = 300.0;

/// Instances that are informed of where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// None; all are queried when a stream is taken up.
    AskedOfAll,
    /// All instances.
    ToldToAll,
    /// A few instances of the cell.
    Keepers,
    /// The same; the first event waits until one of them has the record.
    KeepersAwaited,
}

/// Which instances are killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// One in twenty, at least one.
    Few,
    /// One availability zone.
    Zone,
    /// Six in ten.
    Most,
}

/// What came of one play.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Streams whose instance was killed, and those of them whose version was found.
    pub taken_up: usize,
    /// Those of them whose version another instance knew.
    pub known: usize,
    /// Bytes a second that the mean instance sends and receives for records.
    pub mean_bytes_per_s: f64,
    /// The same of the busiest one.
    pub most_bytes_per_s: f64,
    /// Messages for one take-up.
    pub queries: usize,
    /// Mean time by which the first event of a stream is late, in ms.
    pub delay_ms: f64,
}

/// Instances with their availability zones, divided into cells.
struct FleetPlan {
    cells: Vec<Vec<(InstanceName, ZoneName)>>,
    cell_of: Vec<usize>,
    names: Vec<InstanceName>,
    zones: usize,
}

impl FleetPlan {
    fn new(instances: usize, zones: usize) -> Self {
        let size = FleetSize {
            instances,
            ..FleetSize::default()
        };
        let layout = CellLayout::SINGLE.adapted_to(&size);
        let mut cells = vec![Vec::new(); layout.cells() as usize];
        let mut cell_of = Vec::new();
        let mut names = Vec::new();
        for index in 0..instances {
            let name = InstanceName::new(format!("entry-{index}"));
            let cell = layout.cell_of(&name).cell() as usize;
            let zone = ZoneName::new(format!("z{}", index % zones));
            cells[cell].push((name.clone(), zone));
            cell_of.push(cell);
            names.push(name);
        }
        Self {
            cells,
            cell_of,
            names,
            zones,
        }
    }

    fn keepers(&self, instance: usize, key: &StreamKey) -> Vec<usize> {
        let listed = self.cells[self.cell_of[instance]].iter();
        let listed = listed.map(|(name, zone)| (name, zone));
        let keepers = record_keepers(Some(key), listed);
        let indices = keepers.iter().filter_map(|keeper| {
            let number = keeper.as_str().trim_start_matches("entry-");
            number.parse().ok()
        });
        indices.filter(|index| *index != instance).collect()
    }

    fn killed(&self, loss: Loss, rng: &mut Pcg64Mcg) -> HashSet<usize> {
        let instances = self.names.len();
        match loss {
            Loss::Zone => (0..instances)
                .filter(|index| index % self.zones == 0)
                .collect(),
            Loss::Few | Loss::Most => {
                let count = match loss {
                    Loss::Few => (instances / 20).max(1),
                    _ => instances * 6 / 10,
                };
                let mut killed = HashSet::new();
                while killed.len() < count {
                    killed.insert(rng.random_range(0..instances));
                }
                killed
            }
        }
    }
}

/// Plays `way` with `instances` in `zones` of which some are killed at once.
pub fn play(way: Way, loss: Loss, instances: usize, zones: usize, seed: u64) -> Outcome {
    let plan = FleetPlan::new(instances, zones);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let killed = plan.killed(loss, &mut rng);
    let kill_ms = LENGTH_S as f64 * 500.0;
    let message_bytes = record_bytes() + OVERHEAD_BYTES;
    let mut bytes = vec![0_usize; instances];
    let mut outcome = Outcome::default();
    let mut delays_ms = Vec::new();
    for number in 0..instances * STREAMS_PER_S * LENGTH_S {
        let instance = number % instances;
        let begun_ms = rng.random_range(0.0..LENGTH_S as f64 * 1_000.0);
        if begun_ms >= kill_ms && killed.contains(&instance) {
            continue;
        }
        let receivers = match way {
            Way::AskedOfAll => Vec::new(),
            Way::ToldToAll => (0..instances).filter(|other| *other != instance).collect(),
            Way::Keepers | Way::KeepersAwaited => plan.keepers(instance, &key(number)),
        };
        let copies = match way {
            Way::ToldToAll => receivers.len(),
            _ => RECORD_REPLICAS,
        };
        // A receiver that is dead is replaced by the next one.
        let mut late_ms = 0.0;
        let mut arrivals: Vec<(usize, f64)> = Vec::new();
        for receiver in &receivers {
            if arrivals.len() == copies {
                break;
            }
            if begun_ms >= kill_ms && killed.contains(receiver) {
                late_ms += RETRY_MS;
                continue;
            }
            bytes[instance] += message_bytes;
            bytes[*receiver] += message_bytes;
            arrivals.push((*receiver, rng.random_range(DELAY_MS)));
        }
        let first_ack_ms = arrivals.iter().map(|(_, delay_ms)| delay_ms * 2.0);
        let first_ack_ms = first_ack_ms.fold(late_ms + RETRY_MS, f64::min);
        let waited_ms = match way {
            Way::KeepersAwaited => first_ack_ms,
            _ => 0.0,
        };
        delays_ms.push(waited_ms);
        let first_event_ms = begun_ms + waited_ms;
        let is_broken = killed.contains(&instance)
            && (first_event_ms..first_event_ms + STREAM_MS).contains(&kill_ms);
        if is_broken {
            outcome.taken_up += 1;
            let has_survived = arrivals.iter().any(|(receiver, delay_ms)| {
                !killed.contains(receiver) && begun_ms + delay_ms < kill_ms
            });
            outcome.known += usize::from(has_survived);
        }
    }
    let per_s = |bytes: usize| bytes as f64 / LENGTH_S as f64;
    outcome.mean_bytes_per_s = per_s(bytes.iter().sum::<usize>() / instances);
    outcome.most_bytes_per_s = per_s(bytes.iter().copied().max().unwrap_or_default());
    outcome.delay_ms = delays_ms.iter().sum::<f64>() / delays_ms.len().max(1) as f64;
    outcome.queries = match way {
        Way::AskedOfAll => instances - 1,
        Way::ToldToAll => 0,
        Way::Keepers | Way::KeepersAwaited => RECORD_READERS * plan.cells.len(),
    };
    outcome
}

fn key(number: usize) -> StreamKey {
    StreamKey {
        workspace: Some("workspace-1".into()),
        request: format!("{number:016x}").as_str().into(),
    }
}

/// Returns the size of a message with one record, in bytes.
fn record_bytes() -> usize {
    let record = StreamRecord {
        key: key(1),
        origin: StreamOrigin {
            service: "engine".into(),
            software: "v1.1".into(),
        },
        left_ms: 6_000,
    };
    encode(&Message::StreamRecords(vec![record])).map_or(0, |frame| frame.len())
}
