//! Drives the state machine that follows the configuration stream: its ticks, its reads
//! of the log and its checkpoints.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use savoryvane_core::{
    config::{
        Action, CheckpointPart, ConfigRecord, Content, Duties, Event, Progress, Received, TICK_MS,
    },
    ids::Offset,
    roster::Member,
    topology::Duty,
};
use savoryvane_wire::{
    config,
    platform::{CONFIG_STREAM, LogRecord, Records},
};
use slog::{Logger, debug, info, warn};
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{self, MissedTickBehavior},
};

use crate::{
    clock::unix_ms, instance::Shared, members, phase::Phase, platform::PlatformError, relay,
    snapshot,
};

/// Number of instances per zone that read the log on behalf of the others.
const TAILERS: usize = 2;
/// Ticks between two evaluations of the duties of this instance and of the offsets that
/// other instances report.
const MEMBER_CHECK_TICKS: u64 = 5;

/// Follows the configuration stream until the instance stops.
pub(crate) async fn run(shared: Arc<Shared>, mut requested: mpsc::UnboundedReceiver<Action>) {
    let mut ticks = time::interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut jobs = JoinSet::new();
    let mut tick_count = 0_u64;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                if tick_count.is_multiple_of(MEMBER_CHECK_TICKS) {
                    update_from_members(&shared);
                }
                tick_count += 1;
                apply(&shared, Event::Tick);
            }
            Some(action) = requested.recv() => {
                jobs.spawn(perform(Arc::clone(&shared), action));
            }
            Some(Ok(Some(event))) = jobs.join_next() => apply(&shared, event),
        }
    }
}

/// Applies an event to the follower and handles the resulting actions.
pub(crate) fn apply(shared: &Shared, event: Event) {
    let now_ms = shared.clock.now_ms();
    for action in shared.configuration.on_event(now_ms, event) {
        handle_action(shared, action);
    }
    let progress = shared.configuration.progress(now_ms);
    if progress.has_started {
        shared.phases.advance(Phase::Serving);
    }
    record_progress(shared, progress);
}

fn handle_action(shared: &Shared, action: Action) {
    match action {
        Action::Read { .. } | Action::QueryPeer { .. } | Action::WriteCheckpoint(_) => {
            shared.configuration.enqueue(action);
        }
        Action::Relay { head, records } => relay::send(shared, head, &records),
        Action::Decided {
            offset,
            id,
            operator,
            applied,
        } => {
            metrics::counter!("savoryvane_config_changes_total").increment(1);
            info!(shared.log, "configuration change decided"; "offset" => offset.0,
                "change" => %id, "operator" => %operator, "result" => ?applied);
        }
        Action::Adopted { source, next } => {
            info!(shared.log, "configuration replaced by a snapshot"; "source" => ?source,
                "next" => next.0);
        }
    }
}

async fn perform(shared: Arc<Shared>, action: Action) -> Option<Event> {
    match action {
        Action::Read { from, wait_ms } => Some(read(&shared, from, wait_ms).await),
        Action::QueryPeer { from } => {
            let snapshot = snapshot::fetch_from_peers(&shared, from).await;
            Some(Event::Snapshot(snapshot.map(Box::new)))
        }
        Action::WriteCheckpoint(parts) => {
            write_checkpoint(&shared, parts).await;
            Some(Event::CheckpointWritten)
        }
        Action::Relay { .. } | Action::Decided { .. } | Action::Adopted { .. } => None,
    }
}

async fn read(shared: &Shared, from: Offset, wait_ms: u64) -> Event {
    let wait_ms = wait_ms.min(shared.platform.wait_ms());
    match shared.platform.read(CONFIG_STREAM, from, wait_ms).await {
        Ok(records) => read_event(&shared.log, records),
        Err(PlatformError::Trimmed(first)) => {
            warn!(shared.log, "configuration records have been trimmed";
                "expected" => from.0, "first" => first.0);
            Event::Trimmed { first }
        }
        Err(err) => {
            metrics::counter!("savoryvane_log_read_errors_total").increment(1);
            debug!(shared.log, "failed to read the configuration stream"; "error" => %err);
            Event::ReadFailed
        }
    }
}

fn read_event(log: &Logger, page: Records) -> Event {
    let received = |record| to_received(log, record);
    Event::Read {
        first: page.first,
        next: page.next,
        records: page.records.iter().map(received).collect(),
    }
}

fn to_received(log: &Logger, record: &LogRecord) -> Received {
    Received {
        offset: record.offset,
        age_ms: unix_ms().saturating_sub(record.appended_at_ms),
        content: content(log, record.offset, config::decode_record(record)),
    }
}

/// Converts a decoded record. Logs a payload that can't be decoded, which is skipped.
pub(crate) fn content(
    log: &Logger,
    offset: Offset,
    decoded: config::Result<ConfigRecord>,
) -> Content {
    match decoded {
        Ok(record) => Content::Record(record),
        Err(err) => {
            warn!(log, "configuration record can't be decoded"; "offset" => offset.0,
                "error" => %err);
            Content::Undecodable
        }
    }
}

async fn write_checkpoint(shared: &Shared, parts: Vec<CheckpointPart>) {
    let tick_count = parts.len();
    match write(shared, parts).await {
        Ok(()) => info!(shared.log, "checkpoint written"; "parts" => tick_count),
        Err(err) => warn!(shared.log, "failed to write checkpoint"; "error" => %err),
    }
}

async fn write(shared: &Shared, parts: Vec<CheckpointPart>) -> Result<(), PlatformError> {
    for part in parts {
        let payload = config::encode(&ConfigRecord::Checkpoint(part))
            .map_err(|err| PlatformError::Malformed(err.to_string()))?;
        let payload = Bytes::from(payload);
        shared.platform.append(CONFIG_STREAM, payload).await?;
    }
    Ok(())
}

fn update_from_members(shared: &Shared) {
    let checkpoint_rank = members::rank_of_all(shared, Duty::Checkpoint);
    let (duties, newest) = {
        let membership = shared.members.membership();
        let duties = Duties {
            follows_log: membership.rank(Duty::ConfigTail) < TAILERS,
            checkpoint_rank,
        };
        let members = membership.members(shared.clock.now_ms());
        let digests = members.filter_map(|(_, member, _)| Member::digest(member));
        let zones = membership.zones().iter();
        let newest = digests
            .map(|digest| digest.config_next)
            .chain(zones.map(|(_, zone)| zone.digest().config_max))
            .max();
        (duties, newest)
    };
    apply(shared, Event::Duties(duties));
    if let Some(newest) = newest {
        apply(shared, Event::PeerOffset(newest));
    }
}

fn record_progress(shared: &Shared, progress: Progress) {
    let ignored = shared.configuration.ignored();
    metrics::gauge!("savoryvane_config_next_offset").set(progress.next.0 as f64);
    metrics::gauge!("savoryvane_config_cut_off").set(f64::from(u8::from(progress.is_cut_off)));
    if let Some(age_ms) = progress.age_ms {
        metrics::gauge!("savoryvane_config_age_ms").set(age_ms as f64);
    }
    metrics::counter!("savoryvane_config_records_undecodable_total").absolute(ignored.undecodable);
    metrics::counter!("savoryvane_config_checkpoints_ignored_total").absolute(ignored.checkpoints);
    metrics::counter!("savoryvane_config_snapshots_ignored_total").absolute(ignored.snapshots);
    metrics::counter!("savoryvane_config_gaps_total").absolute(ignored.gaps);
}
