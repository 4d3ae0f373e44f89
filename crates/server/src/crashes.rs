//! Counts backend server crashes by pipeline request, together with the other instances:
//! each sends new records to its neighbours, which forward them to theirs.

use std::{
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
};

use savoryvane_core::{
    ids::{BackendName, InstanceName, RequestId},
    objects::Backend,
    poison::{
        CrashReport, CrashTracker, Evidence, LostServerStatus, Probe, QuarantineSettings,
        QuarantineStatus, Registered, Renewal, RequestDigest, StoredChange, StoredCrashes,
        sample_evenly, status_at_loss,
    },
};
use savoryvane_wire::peer::Message;
use slog::{info, warn};
use tokio::time;

use crate::{
    instance::Shared,
    lock::lock,
    probing,
    suspects::{self, CountedBy, QuarantineRefusal},
};

/// Crash tracker of the requests known to this instance.
#[derive(Debug)]
pub(crate) struct SharedCrashTracker {
    tracker: Mutex<CrashTracker>,
    /// Sequence number of the next crash that this instance observes.
    next_sequence: AtomicU64,
}

impl SharedCrashTracker {
    pub(crate) fn new(settings: QuarantineSettings) -> Self {
        Self {
            tracker: Mutex::new(CrashTracker::new(settings)),
            next_sequence: AtomicU64::new(0),
        }
    }

    /// Drops expired requests.
    pub(crate) fn forget_expired(&self, now_ms: u64) {
        self.tracker().forget_expired(now_ms);
    }

    /// Returns the records to write to the log now.
    pub(crate) fn records_to_write(&self, now_ms: u64, renewal: &Renewal) -> Vec<StoredCrashes> {
        renewal.to_write(now_ms, &self.tracker())
    }

    /// Marks a request as persisted on the log.
    pub(crate) fn on_persisted(&self, persisted: &StoredCrashes) {
        self.tracker().on_persisted(persisted);
    }

    fn tracker(&self) -> MutexGuard<'_, CrashTracker> {
        lock(&self.tracker)
    }
}

/// A call whose connection was lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostCall<'a> {
    pub(crate) request: &'a RequestId,
    pub(crate) digest: RequestDigest,
    pub(crate) backend: &'a BackendName,
}

/// Returns the retry delay of a quarantined request, in ms, after logging and counting
/// its refusal.
pub(crate) fn check_quarantine(
    shared: &Shared,
    request: &RequestId,
    digest: &RequestDigest,
) -> Option<u64> {
    let now_ms = shared.clock.now_ms();
    let status = shared.ends.tracker().status(now_ms, &(*digest).into());
    let QuarantineStatus::Quarantined {
        ends,
        retry_after_ms,
    } = status
    else {
        return None;
    };
    let retry = Some(retry_after_ms);
    let refusal = QuarantineRefusal {
        digest,
        subject: (*digest).into(),
        ends,
        counted_by: CountedBy::Own,
        retry_after_ms: retry,
    };
    suspects::log_refusal(&shared.log, request, &refusal);
    Some(retry_after_ms)
}

/// Checks within the timeout of a probe whether a server has crashed under a call, and
/// reports a crash to the neighbours.
pub(crate) async fn on_lost(shared: &Shared, lost: LostCall<'_>) {
    let Some(backend) = backend(shared, lost.backend) else {
        return;
    };
    let neighbours = || neighbours(shared, &backend);
    let probe_future = shared.backends.probe(backend.addr, neighbours);
    let probes = time::timeout(probing::PROBE_TIMEOUT, probe_future).await;
    let (probe, neighbour) = probes.unwrap_or((Probe::Unknown, Probe::Unknown));
    let registered = match shared.fleet().is_leaving(lost.backend) {
        true => Registered::Leaving,
        false => Registered::Ready,
    };
    let loss_status = status_at_loss(registered, probe, neighbour);
    info!(shared.log, "connection to server lost"; "request" => %lost.request,
        "digest" => %lost.digest, "server" => %lost.backend, "registered" => ?registered,
        "probe" => ?probe, "neighbour" => ?neighbour, "fate" => ?loss_status);
    if let LostServerStatus::Ended(evidence) = loss_status {
        on_ended(shared, lost, evidence);
    }
}

fn on_ended(shared: &Shared, lost: LostCall<'_>, evidence: Evidence) {
    // A server has the same name after a restart. The incarnation and a sequence number
    // distinguish the crashes that one instance observes.
    let sequence = shared.ends.next_sequence.fetch_add(1, Ordering::Relaxed);
    let run = format!("{} {}.{sequence}", lost.backend, shared.incarnation);
    let record = CrashReport {
        subject: lost.digest.into(),
        server: BackendName::new(run),
        evidence,
        age_ms: 0,
        is_withdrawn: false,
        is_isolated: false,
    };
    let now_ms = shared.clock.now_ms();
    let others = shared.fleet().in_flight(lost.backend).saturating_sub(1);
    let counts = shared.ends.tracker().on_crash(now_ms, record.clone());
    let ends = shared.ends.tracker().ends(now_ms, &lost.digest.into());
    warn!(shared.log, "server crashed under request"; "request" => %lost.request,
        "digest" => %lost.digest, "server" => %lost.backend, "others" => others,
        "evidence" => evidence.as_str(), "ends" => ends);
    suspects::count_crash(evidence);
    if counts {
        shared
            .members
            .peers()
            .send_all(&Message::CrashReports(vec![record]));
    }
}

/// Records a complete answer to a request, which clears it as a suspect.
pub(crate) fn on_answered(shared: &Shared, digest: RequestDigest) {
    let now_ms = shared.clock.now_ms();
    let was_suspect = shared.ends.tracker().on_answered(now_ms, digest.into());
    if was_suspect {
        info!(shared.log, "suspect cleared"; "digest" => %digest, "reason" => "answered");
        let records = shared.ends.tracker().records(now_ms, &digest.into());
        shared
            .members
            .peers()
            .send_all(&Message::CrashReports(records));
    }
}

/// Applies the records of a neighbour, and forwards them if they are new.
pub(crate) fn on_reports(shared: &Shared, records: Vec<CrashReport>) {
    let now_ms = shared.clock.now_ms();
    let merged = shared.ends.tracker().on_reports(now_ms, records.clone());
    if merged.has_changed {
        info!(shared.log, "crashes advertised"; "ends" => records.len(), "source" => "peer");
        shared
            .members
            .peers()
            .send_all(&Message::CrashReports(records));
    }
}

/// Applies changes read from the log, and sends new records to the neighbours.
pub(crate) fn on_log_changes(shared: &Shared, changes: Vec<StoredChange>) {
    let now_ms = shared.clock.now_ms();
    let sent_revision = shared.ends.tracker().revision();
    for change in changes {
        shared.ends.tracker().on_log_change(now_ms, change);
    }
    send_since(shared, sent_revision, |message| {
        shared.members.peers().send_all(&message);
    });
}

/// Sends all records to a neighbour to which a gossip stream was opened.
pub(crate) fn on_connected(shared: &Shared, peer: &InstanceName) {
    send_since(shared, 0, |message| {
        shared.members.peers().send(peer, message)
    });
}

/// Sends the records that have changed since `sent_revision`, in messages of bounded length.
fn send_since(shared: &Shared, mut sent_revision: u64, send: impl Fn(Message)) {
    let now_ms = shared.clock.now_ms();
    shared.ends.tracker().forget_expired(now_ms);
    while sent_revision < shared.ends.tracker().revision() {
        let reports = shared.ends.tracker().reports_since(now_ms, sent_revision);
        sent_revision = reports.revision;
        if !reports.records.is_empty() {
            send(Message::CrashReports(reports.records));
        }
    }
}

fn backend(shared: &Shared, name: &BackendName) -> Option<Backend> {
    let state = shared.configuration.state();
    state.backend(name.as_str()).cloned()
}

/// Returns a sample of the other servers in the availability zone of `backend`.
fn neighbours(shared: &Shared, backend: &Backend) -> Vec<SocketAddr> {
    let state = shared.configuration.state();
    let others = state.backends();
    let others = others.filter(|other| other.zone == backend.zone && other.name != backend.name);
    sample_evenly(others.map(|other| other.addr), probing::MAX_NEIGHBOURS)
}
