//! Chooses the instances of a cell that keep the record of a stream.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{store_reads::ranked_by_zone, stream_records::StreamKey};
use crate::ids::{InstanceName, WorkspaceName, ZoneName};

/// Number of instances that a record is sent to: a loss of one zone and of another instance
/// leaves one of them.
pub const RECORD_REPLICAS: usize = 3;
/// Number of instances that are asked for a record at first: one more than have it, as they hand
/// their records over when they leave.
pub const RECORD_READERS: usize = RECORD_REPLICAS + 1;
/// Most instances of a cell that keep records, which bounds the connections to them.
const MAX_KEEPERS: usize = 24;
/// Fewest of them in each availability zone.
const MIN_KEEPERS_PER_ZONE: usize = 2;

/// Returns the instances of a cell that keep the record of a stream, those that it is sent to
/// first at the front: one of each availability zone, then the next one of each. All instances
/// that list the same ones agree on the order. Without a stream, returns all that keep records.
pub fn record_keepers<'a>(
    key: Option<&StreamKey>,
    listed: impl IntoIterator<Item = (&'a InstanceName, &'a ZoneName)>,
) -> Vec<InstanceName> {
    let zones = ranked_by_zone(listed);
    let per_zone = (MAX_KEEPERS / zones.len().max(1)).max(MIN_KEEPERS_PER_ZONE);
    let seed = key.map_or(0, key_hash);
    let mut ordered = Vec::new();
    for keepers in zones.values() {
        let keepers = keepers.iter().take(per_zone);
        let ranked = keepers.map(|(_, instance)| {
            let rank = xxh3_64_with_seed(instance.as_str().as_bytes(), seed);
            (rank, *instance)
        });
        let mut ranked: Vec<(u64, &InstanceName)> = ranked.collect();
        ranked.sort_unstable();
        let ranked = ranked.into_iter().enumerate();
        ordered.extend(ranked.map(|(turn, (rank, instance))| (turn, rank, instance)));
    }
    ordered.sort_unstable();
    ordered
        .into_iter()
        .map(|(_, _, instance)| instance.clone())
        .collect()
}

fn key_hash(key: &StreamKey) -> u64 {
    let workspace = key.workspace.as_ref().map_or("", WorkspaceName::as_str);
    let seed = xxh3_64(workspace.as_bytes());
    xxh3_64_with_seed(key.request.as_str().as_bytes(), seed)
}
