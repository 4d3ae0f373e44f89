//! Limits on the contents of well-formed messages.

use savoryvane_core::{
    digest::{DigestBatch, Leaver, ZoneDigest},
    forwarding::{
        CellLayout, DirectoryUpdate, LimitReport, MAX_GRANT_CANDIDATES, MAX_ZONES, RecordedOrigin,
        ServedVersions, StreamKey, StreamKnowledge, StreamOrigin, StreamRecord,
    },
    ids::{BackendName, MAX_NAME_BYTES},
    poison::{CrashReport, MAX_PARTS, RequestSubjects},
    quota::QuotaClaimant,
    topology::SHARDS,
};

use super::{
    AnswerState, GrantState, MAX_ENTRIES, MAX_HEADER_VALUE_BYTES, MAX_KEY_BYTES, MAX_PAYLOAD_BYTES,
    MAX_PIECES, MAX_STREAM_RECORDS, Message, PermitState, RoutingState, StageOutcome, Submission,
    TicketRun,
};

/// Maximum number of subjects of a request: itself, and parts of its prompt.
const MAX_SUBJECTS: usize = 1 + MAX_PARTS;

pub(super) fn is_within_limits(message: &Message) -> bool {
    match message {
        Message::Hello(hello) => is_name_bounded(hello.instance.as_str()),
        Message::Digests(batch) => are_digests_bounded(batch),
        Message::Leaving(notice) => is_name_bounded(leaver_name(&notice.leaver)),
        Message::Zones(zones) => zones.len() <= MAX_ENTRIES && zones.iter().all(is_zone_bounded),
        Message::UsageReport(report) => {
            report.shard.0 < SHARDS
                && report.demands.len() <= MAX_ENTRIES
                && is_claimant_bounded(&report.claimant)
        }
        Message::UsageGrant(grant) => grant.shard.0 < SHARDS && grant.grants.len() <= MAX_ENTRIES,
        Message::ConfigRecords(records) => records.records.len() <= MAX_ENTRIES,
        Message::ConfigSnapshotPart(part) => part.payload.len() <= MAX_PAYLOAD_BYTES,
        Message::AnswerQuery(query) => {
            is_name_bounded(query.workspace.as_str()) && is_key_bounded(query.key.as_str())
        }
        Message::AnswerState(AnswerState::Answered(body)) => body.len() <= MAX_PAYLOAD_BYTES,
        Message::TicketRun(run) => is_run_bounded(run),
        Message::StageSubmission(submission) => is_submission_bounded(submission),
        Message::StageRelease(key) => is_name_bounded(key.instance.as_str()),
        Message::StageOutcome(StageOutcome::Ready(results)) => results.len() <= MAX_ENTRIES,
        Message::SchedulerState(state) => {
            let zones = &state.cut_off_zones;
            zones.len() <= MAX_ZONES && zones.iter().all(|zone| is_name_bounded(zone.as_str()))
        }
        Message::RoutingQuery(query) => {
            query.lapsing.len() <= MAX_ENTRIES && query.scope.is_valid()
        }
        Message::RoutingState(state) => is_routing_bounded(state),
        Message::CrashQuery(query) => are_crash_reports_bounded(&query.records),
        Message::CrashState(state) => are_crash_reports_bounded(&state.records),
        Message::PermitState(PermitState::Quarantined(records))
        | Message::CrashReports(records) => are_crash_reports_bounded(records),
        Message::PermitQuery(query) => are_subjects_bounded(&query.subjects),
        Message::PermitState(PermitState::Granted { covered, .. }) => covered.len() <= MAX_SUBJECTS,
        Message::PermitReturn(returned) => returned.subjects.len() <= MAX_SUBJECTS,
        Message::LimitQuery(query) => are_limit_reports_bounded(&query.reports),
        Message::LimitState(state) => are_limit_reports_bounded(&state.reports),
        Message::GrantQuery(query) => {
            is_name_bounded(query.service.as_str())
                && (1..=MAX_GRANT_CANDIDATES).contains(&query.servers.len())
                && query.servers.iter().all(is_rate_limit_valid)
        }
        Message::GrantState(GrantState::Granted(server)) => is_name_bounded(server.as_str()),
        Message::StreamRecords(records) => {
            records.len() <= MAX_STREAM_RECORDS && records.iter().all(is_stream_record_bounded)
        }
        Message::StreamQuery(query) => {
            query.key.as_ref().is_none_or(is_stream_key_bounded)
                && is_key_bounded(&query.route)
                && is_name_bounded(query.service.as_str())
        }
        Message::StreamState(state) => is_stream_knowledge_bounded(state),
        Message::ClaimAppend(append) => append.claims.len() <= MAX_ENTRIES,
        Message::AnswerState(_)
        | Message::ConfigHead(_)
        | Message::ConfigRecordsQuery(_)
        | Message::ConfigSnapshotQuery(_)
        | Message::ClaimAppended(_)
        | Message::StageOutcome(_)
        | Message::Ack(_)
        | Message::SchedulerQuery(_)
        | Message::PermitState(PermitState::Out { .. })
        | Message::GrantState(_)
        | Message::Declined(_) => true,
    }
}

fn is_stream_key_bounded(key: &StreamKey) -> bool {
    let workspace = key.workspace.as_ref();
    is_key_bounded(key.request.as_str())
        && workspace.is_none_or(|name| is_key_bounded(name.as_str()))
}

fn is_stream_origin_bounded(origin: &StreamOrigin) -> bool {
    is_name_bounded(origin.service.as_str()) && is_name_bounded(origin.software.as_str())
}

fn is_stream_record_bounded(record: &StreamRecord) -> bool {
    is_stream_key_bounded(&record.key) && is_stream_origin_bounded(&record.origin)
}

fn is_stream_knowledge_bounded(knowledge: &StreamKnowledge) -> bool {
    let is_origin_bounded = match &knowledge.origin {
        RecordedOrigin::Known(origin) => is_stream_origin_bounded(origin),
        RecordedOrigin::Ambiguous | RecordedOrigin::Absent => true,
    };
    let is_version_bounded = match &knowledge.served {
        ServedVersions::One(version) => is_name_bounded(version.as_str()),
        ServedVersions::Several | ServedVersions::Unknown => true,
    };
    is_origin_bounded && is_version_bounded
}

fn is_name_bounded(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES
}

fn are_limit_reports_bounded(reports: &[LimitReport]) -> bool {
    reports.len() <= MAX_ENTRIES
        && reports.iter().all(|report| {
            let limit_per_s = report.limit_per_s.unwrap_or_default();
            is_rate_limit_valid(&(report.server.clone(), limit_per_s))
        })
}

fn is_rate_limit_valid((server, limit_per_s): &(BackendName, f64)) -> bool {
    is_name_bounded(server.as_str()) && limit_per_s.is_finite() && *limit_per_s >= 0.0
}

fn is_key_bounded(key: &str) -> bool {
    key.len() <= MAX_KEY_BYTES
}

fn leaver_name(leaver: &Leaver) -> &str {
    match leaver {
        Leaver::Instance { instance, .. } => instance.as_str(),
        Leaver::Backend(backend) => backend.as_str(),
    }
}

fn are_digests_bounded(batch: &DigestBatch) -> bool {
    is_name_bounded(batch.zone.as_str())
        && batch.entries.len() <= MAX_ENTRIES
        && batch
            .entries
            .iter()
            .all(|entry| is_name_bounded(entry.digest.instance.as_str()))
}

fn is_zone_bounded(digest: &ZoneDigest) -> bool {
    is_name_bounded(digest.zone.as_str())
        && is_name_bounded(digest.region.as_str())
        && digest.leaving.len() <= MAX_ENTRIES
        && digest
            .leaving
            .iter()
            .all(|entry| is_name_bounded(entry.backend.as_str()))
}

fn is_claimant_bounded(claimant: &QuotaClaimant) -> bool {
    match claimant {
        QuotaClaimant::Instance => true,
        QuotaClaimant::Zone(zone) => is_name_bounded(zone.as_str()),
    }
}

fn is_run_bounded(run: &TicketRun) -> bool {
    is_key_bounded(&run.ticket)
        && is_name_bounded(run.workspace.as_str())
        && is_name_bounded(run.pipeline.as_str())
        && is_key_bounded(run.request.as_str())
        && run.body.len() <= MAX_PAYLOAD_BYTES
}

fn is_submission_bounded(submission: &Submission) -> bool {
    let are_dependencies_earlier = submission.stages.iter().enumerate().all(|(index, stage)| {
        stage.after.iter().all(|dependency| *dependency < index)
            && is_name_bounded(stage.service.as_str())
    });
    is_name_bounded(submission.key.instance.as_str())
        && submission.request.as_str().len() <= MAX_HEADER_VALUE_BYTES
        && submission.piece_key.len() <= MAX_HEADER_VALUE_BYTES
        && submission.piece_count() <= MAX_PIECES
        && are_dependencies_earlier
}

fn are_subjects_bounded(subjects: &RequestSubjects) -> bool {
    subjects.iter().count() <= MAX_SUBJECTS
}

fn are_crash_reports_bounded(records: &[CrashReport]) -> bool {
    records.len() <= MAX_ENTRIES
        && records
            .iter()
            .all(|record| is_key_bounded(record.server.as_str()))
}

fn is_routing_bounded(state: &RoutingState) -> bool {
    let server_count = match &state.servers {
        None => 0,
        Some(DirectoryUpdate::Whole(listing)) => listing.len(),
        Some(DirectoryUpdate::Changes(changes)) => changes.len(),
    };
    let layout = state.layout.map(|listed| listed.layout.cells());
    server_count <= MAX_ENTRIES
        && layout.is_none_or(|cells| CellLayout::new(cells).is_some())
        && state.lapsing.len() <= MAX_ENTRIES
        && state.instances.len() <= MAX_ENTRIES
        && state.evacuations.zones.len() <= MAX_ZONES
}
