//! Configuration transfer between instances while the log is unavailable: missed records,
//! or a snapshot of the whole state.

use std::{cmp::Reverse, sync::Mutex, time::Duration};

use savoryvane_core::{
    config::{Assembler, Assembly, ConfigRecord, Snapshot, State},
    ids::{InstanceName, Offset},
    roster::Member,
};
use savoryvane_wire::{
    config,
    peer::{ConfigRecordsQuery, ConfigSnapshotPart, ConfigSnapshotQuery, Declined, Message},
};
use slog::debug;

use crate::{instance::Shared, lock::lock, relay};

/// Maximum time to fetch one part.
const PART_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of peers queried in turn.
const MAX_PEERS: usize = 4;
/// Maximum number of parts of a state.
const MAX_PARTS: u32 = 1_024;

/// Encoded parts of the state that was last requested.
#[derive(Debug, Default)]
pub(crate) struct SnapshotCache(Mutex<Option<Parts>>);

#[derive(Debug)]
struct Parts {
    covers: Offset,
    payloads: Vec<Vec<u8>>,
}

impl SnapshotCache {
    /// Returns a part and the number of parts, of the state at `covers` or of the
    /// current state. `None` if that state is no longer available.
    fn part(&self, state: &State, covers: Option<Offset>, part: u32) -> Option<CachedPart> {
        let mut cached = lock(&self.0);
        let wanted_offset = covers.unwrap_or(state.next());
        if cached
            .as_ref()
            .is_none_or(|parts| parts.covers != wanted_offset)
        {
            if wanted_offset != state.next() {
                return None;
            }
            *cached = Some(Parts {
                covers: wanted_offset,
                payloads: payloads(state)?,
            });
        }
        let parts = cached.as_ref()?;
        Some(CachedPart {
            covers: parts.covers,
            parts: u32::try_from(parts.payloads.len()).ok()?,
            payload: parts.payloads.get(part as usize)?.clone(),
        })
    }
}

struct CachedPart {
    covers: Offset,
    parts: u32,
    payload: Vec<u8>,
}

fn payloads(state: &State) -> Option<Vec<Vec<u8>>> {
    let parts = state.checkpoint().into_iter();
    let encode = |part| config::encode(&ConfigRecord::Checkpoint(part)).ok();
    parts.map(encode).collect()
}

/// Returns the response to a peer that queries a part of the state.
pub(crate) fn serve_part(shared: &Shared, query: ConfigSnapshotQuery) -> Message {
    let progress = shared.configuration.progress(shared.clock.now_ms());
    let state = shared.configuration.state();
    let cached = shared.snapshots.part(&state, query.covers, query.part);
    match cached.filter(|_| progress.has_started) {
        None => Message::Declined(Declined::Absent),
        Some(cached) => Message::ConfigSnapshotPart(ConfigSnapshotPart {
            covers: cached.covers,
            part: query.part,
            parts: cached.parts,
            age_ms: progress.age_ms.unwrap_or(u64::MAX),
            payload: cached.payload,
        }),
    }
}

/// Returns the response to a peer that queries missed records.
pub(crate) fn serve_records(shared: &Shared, query: ConfigRecordsQuery) -> Message {
    let now_ms = shared.clock.now_ms();
    let recent = shared.configuration.recent(now_ms, query.from);
    // The response is a single message; the peer queries the remaining records again.
    recent
        .and_then(|(head, records)| relay::messages(shared, head, &records).into_iter().next())
        .unwrap_or(Message::Declined(Declined::Absent))
}

/// Queries peers for the records starting at `from`, which are applied at once, or else
/// for a snapshot. Remote zones with newer offsets come first, then peers of the zone by
/// the offset that they reported, newest first.
pub(crate) async fn fetch_from_peers(shared: &Shared, from: Option<Offset>) -> Option<Snapshot> {
    for peer in peers(shared) {
        match fetch_from_peer(shared, &peer, from).await {
            Ok(snapshot) => return snapshot,
            Err(reason) => {
                debug!(shared.log, "no configuration from a peer"; "peer" => %peer,
                    "reason" => reason);
            }
        }
    }
    None
}

async fn fetch_from_peer(
    shared: &Shared,
    peer: &InstanceName,
    from: Option<Offset>,
) -> Result<Option<Snapshot>, String> {
    if let Some(from) = from
        && fetch_records(shared, peer, from).await?
    {
        return Ok(None);
    }
    fetch_snapshot(shared, peer).await.map(Some)
}

async fn fetch_records(shared: &Shared, peer: &InstanceName, from: Offset) -> Result<bool, String> {
    let query = Message::ConfigRecordsQuery(ConfigRecordsQuery { from });
    let peers = shared.members.peers();
    match peers.request(peer, None, &query, PART_TIMEOUT).await {
        Ok(Message::ConfigRecords(records)) => {
            relay::apply_records(shared, records);
            Ok(true)
        }
        Ok(_) => Ok(false),
        Err(err) => Err(err.to_string()),
    }
}

fn peers(shared: &Shared) -> Vec<InstanceName> {
    let membership = shared.members.membership();
    let members = membership.members(shared.clock.now_ms());
    let mut zone_peers: Vec<_> = members
        .map(|(name, member, _)| (Member::digest(member).map(|x| x.config_next), name))
        .collect();
    zone_peers.sort_by_key(|(next, _)| Reverse(*next));
    let newest_in_zone = zone_peers.iter().map(|(next, _)| *next).max().flatten();
    let remote_peers = membership.listed().iter().filter(|listed| {
        let zone = membership.zones().get(&listed.zone);
        let zone_newest = zone.map(|zone| zone.digest().config_max);
        listed.zone != shared.settings.zone && zone_newest > newest_in_zone
    });
    let remote_peers = remote_peers
        .map(|listed| &listed.instance)
        .take(MAX_PEERS / 2);
    let ordered = remote_peers.chain(zone_peers.iter().map(|(_, name)| *name));
    ordered.take(MAX_PEERS).cloned().collect()
}

async fn fetch_snapshot(shared: &Shared, peer: &InstanceName) -> Result<Snapshot, String> {
    let mut assembler = Assembler::new();
    let mut covers = None;
    for part in 0..MAX_PARTS {
        let response = request_part(shared, peer, ConfigSnapshotQuery { covers, part }).await?;
        covers = Some(response.covers);
        let record = config::decode(&response.payload).map_err(|err| err.to_string())?;
        let ConfigRecord::Checkpoint(decoded) = record else {
            return Err("not a part of a checkpoint".to_owned());
        };
        match assembler.add(response.covers, decoded) {
            Assembly::Complete(state) => {
                let age_ms = Some(response.age_ms).filter(|age_ms| *age_ms != u64::MAX);
                let state = *state;
                return Ok(Snapshot { state, age_ms });
            }
            Assembly::Incomplete if part + 1 < response.parts => {}
            other => return Err(format!("{other:?}")),
        }
    }
    Err("too many parts".to_owned())
}

async fn request_part(
    shared: &Shared,
    peer: &InstanceName,
    query: ConfigSnapshotQuery,
) -> Result<ConfigSnapshotPart, String> {
    let query = Message::ConfigSnapshotQuery(query);
    let peers = shared.members.peers();
    match peers.request(peer, None, &query, PART_TIMEOUT).await {
        Ok(Message::ConfigSnapshotPart(part)) => Ok(part),
        Ok(other) => Err(format!("answered by a message of kind {}", other.kind())),
        Err(err) => Err(err.to_string()),
    }
}
