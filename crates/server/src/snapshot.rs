//! What instances ask each other for while the log does not help: the records
//! that were missed, or the whole state.

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

/// Time for one part to arrive.
const PART_TIMEOUT: Duration = Duration::from_millis(500);
/// Peers that are asked one after another.
const MAX_PEERS: usize = 4;
/// Most parts of a state.
const MAX_PARTS: u32 = 1_024;

/// The state that was last asked for, in parts.
#[derive(Debug, Default)]
pub(crate) struct SnapshotCache(Mutex<Option<Parts>>);

#[derive(Debug)]
struct Parts {
    covers: Offset,
    payloads: Vec<Vec<u8>>,
}

impl SnapshotCache {
    /// Returns a part, of the state at `covers` if one is named, and how many
    /// there are.
    fn part(&self, state: &State, covers: Option<Offset>, part: u32) -> Option<CachedPart> {
        let mut cached = lock(&self.0);
        let wanted = covers.unwrap_or(state.next());
        if cached.as_ref().is_none_or(|parts| parts.covers != wanted) {
            if wanted != state.next() {
                return None;
            }
            *cached = Some(Parts {
                covers: wanted,
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

/// Answers a peer that asks for a part of the state.
pub(crate) fn answer(shared: &Shared, query: ConfigSnapshotQuery) -> Message {
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

/// Answers a peer that asks for the records that it missed.
pub(crate) fn answer_records(shared: &Shared, query: ConfigRecordsQuery) -> Message {
    let now_ms = shared.clock.now_ms();
    let recent = shared.configuration.recent(now_ms, query.from);
    // One message answers; what does not fit it is asked for again.
    recent
        .and_then(|(head, records)| relay::messages(shared, head, &records).into_iter().next())
        .unwrap_or(Message::Declined(Declined::Absent))
}

/// Asks peers, the one first that reported the newest offset, for the records
/// from `from` on, which are taken at once, or else for their state.
pub(crate) async fn ask_peers(shared: &Shared, from: Option<Offset>) -> Option<Snapshot> {
    for peer in peers(shared) {
        match ask_peer(shared, &peer, from).await {
            Ok(snapshot) => return snapshot,
            Err(reason) => {
                debug!(shared.log, "no configuration from a peer"; "peer" => %peer,
                    "reason" => reason);
            }
        }
    }
    None
}

async fn ask_peer(
    shared: &Shared,
    peer: &InstanceName,
    from: Option<Offset>,
) -> Result<Option<Snapshot>, String> {
    if let Some(from) = from
        && take_records_of(shared, peer, from).await?
    {
        return Ok(None);
    }
    fetch_from(shared, peer).await.map(Some)
}

async fn take_records_of(
    shared: &Shared,
    peer: &InstanceName,
    from: Offset,
) -> Result<bool, String> {
    let query = Message::ConfigRecordsQuery(ConfigRecordsQuery { from });
    let peers = shared.members.peers();
    match peers.request(peer, None, &query, PART_TIMEOUT).await {
        Ok(Message::ConfigRecords(records)) => {
            relay::take_records(shared, records);
            Ok(true)
        }
        Ok(_) => Ok(false),
        Err(err) => Err(err.to_string()),
    }
}

fn peers(shared: &Shared) -> Vec<InstanceName> {
    let membership = shared.members.membership();
    let members = membership.members(shared.clock.now_ms());
    let mut near: Vec<_> = members
        .map(|(name, member, _)| (Member::digest(member).map(|x| x.config_next), name))
        .collect();
    near.sort_by_key(|(next, _)| Reverse(*next));
    let known = near.iter().map(|(next, _)| *next).max().flatten();
    let far = membership.listed().iter().filter(|listed| {
        let zone = membership.zones().get(&listed.zone);
        let newest = zone.map(|zone| zone.digest().config_max);
        listed.zone != shared.settings.zone && newest > known
    });
    let far = far.map(|listed| &listed.instance).take(MAX_PEERS / 2);
    let ordered = far.chain(near.iter().map(|(_, name)| *name));
    ordered.take(MAX_PEERS).cloned().collect()
}

async fn fetch_from(shared: &Shared, peer: &InstanceName) -> Result<Snapshot, String> {
    let mut assembler = Assembler::new();
    let mut covers = None;
    for part in 0..MAX_PARTS {
        let answered = ask(shared, peer, ConfigSnapshotQuery { covers, part }).await?;
        covers = Some(answered.covers);
        let record = config::decode(&answered.payload).map_err(|err| err.to_string())?;
        let ConfigRecord::Checkpoint(decoded) = record else {
            return Err("not a part of a checkpoint".to_owned());
        };
        match assembler.add(answered.covers, decoded) {
            Assembly::Complete(state) => {
                let age_ms = Some(answered.age_ms).filter(|age_ms| *age_ms != u64::MAX);
                let state = *state;
                return Ok(Snapshot { state, age_ms });
            }
            Assembly::Incomplete if part + 1 < answered.parts => {}
            other => return Err(format!("{other:?}")),
        }
    }
    Err("too many parts".to_owned())
}

async fn ask(
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
