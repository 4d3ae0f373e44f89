//! Counts which backend servers end under which requests of pipelines, with the other
//! instances: each tells its neighbours what is new, and they tell theirs.

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
    suspects::{self, CountedBy},
};

/// Which requests end servers, as far as this instance knows.
#[derive(Debug)]
pub(crate) struct Ends {
    book: Mutex<CrashTracker>,
    /// Ends that this instance has seen.
    seen: AtomicU64,
}

impl Ends {
    pub(crate) fn new(settings: QuarantineSettings) -> Self {
        Self {
            book: Mutex::new(CrashTracker::new(settings)),
            seen: AtomicU64::new(0),
        }
    }

    /// Forgets requests whose time has come.
    pub(crate) fn forget_old(&self, now_ms: u64) {
        self.book().forget_expired(now_ms);
    }

    /// Returns what is to be written to the log now.
    pub(crate) fn to_write(&self, now_ms: u64, renewal: &Renewal) -> Vec<StoredCrashes> {
        renewal.to_write(now_ms, &self.book())
    }

    /// Notes that a request is on the log.
    pub(crate) fn on_kept(&self, kept: &StoredCrashes) {
        self.book().on_persisted(kept);
    }

    fn book(&self) -> MutexGuard<'_, CrashTracker> {
        lock(&self.book)
    }
}

/// A call whose connection was lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostCall<'a> {
    pub(crate) request: &'a RequestId,
    pub(crate) digest: RequestDigest,
    pub(crate) backend: &'a BackendName,
}

/// Returns when a request that is quarantined is tried again, in ms.
pub(crate) fn quarantined(
    shared: &Shared,
    request: &RequestId,
    digest: &RequestDigest,
) -> Option<u64> {
    let now_ms = shared.clock.now_ms();
    let standing = shared.ends.book().status(now_ms, digest);
    let QuarantineStatus::Quarantined {
        ends,
        retry_after_ms,
    } = standing
    else {
        return None;
    };
    let retry = Some(retry_after_ms);
    suspects::refused(&shared.log, request, digest, ends, CountedBy::Own, retry);
    Some(retry_after_ms)
}

/// Finds out whether a server has ended under a call, within the time for one attempt to
/// connect, and tells the neighbours if it has.
pub(crate) async fn on_lost(shared: &Shared, lost: LostCall<'_>) {
    let Some(backend) = backend(shared, lost.backend) else {
        return;
    };
    let neighbours = || neighbours(shared, &backend);
    let probing = shared.backends.probe(backend.addr, neighbours);
    let probes = time::timeout(probing::PROBE_TIMEOUT, probing).await;
    let (probe, neighbour) = probes.unwrap_or((Probe::Unknown, Probe::Unknown));
    let registered = match shared.fleet().is_leaving(lost.backend) {
        true => Registered::Leaving,
        false => Registered::Ready,
    };
    let fate = status_at_loss(registered, probe, neighbour);
    info!(shared.log, "connection to server lost"; "request" => %lost.request,
        "digest" => %lost.digest, "server" => %lost.backend, "registered" => ?registered,
        "probe" => ?probe, "neighbour" => ?neighbour, "fate" => ?fate);
    if let LostServerStatus::Ended(evidence) = fate {
        on_ended(shared, lost, evidence);
    }
}

fn on_ended(shared: &Shared, lost: LostCall<'_>, evidence: Evidence) {
    // A server has the same name after each start; what one instance saw is told apart
    // by its number.
    let number = shared.ends.seen.fetch_add(1, Ordering::Relaxed);
    let run = format!("{} {}.{number}", lost.backend, shared.incarnation);
    let record = CrashReport {
        digest: lost.digest,
        server: BackendName::new(run),
        evidence,
        age_ms: 0,
        is_withdrawn: false,
    };
    let now_ms = shared.clock.now_ms();
    let others = shared.fleet().in_flight(lost.backend).saturating_sub(1);
    let counts = shared.ends.book().on_crash(now_ms, record.clone());
    let ends = shared.ends.book().ends(now_ms, &lost.digest);
    warn!(shared.log, "server crashed under request"; "request" => %lost.request,
        "digest" => %lost.digest, "server" => %lost.backend, "others" => others,
        "evidence" => evidence.as_str(), "ends" => ends);
    suspects::count_end(evidence);
    if counts {
        shared
            .members
            .peers()
            .send_all(&Message::CrashReports(vec![record]));
    }
}

/// Notes that a request was answered whole, which speaks for it.
pub(crate) fn on_answered(shared: &Shared, digest: RequestDigest) {
    let now_ms = shared.clock.now_ms();
    let was_suspect = shared.ends.book().on_answered(now_ms, digest);
    if was_suspect {
        info!(shared.log, "suspect cleared"; "digest" => %digest, "reason" => "answered");
        let records = shared.ends.book().records(now_ms, &digest);
        shared
            .members
            .peers()
            .send_all(&Message::CrashReports(records));
    }
}

/// Takes over what a neighbour tells, and tells it on where it is new.
pub(crate) fn on_told(shared: &Shared, records: Vec<CrashReport>) {
    let now_ms = shared.clock.now_ms();
    let has_changed = shared.ends.book().on_reports(now_ms, records.clone());
    if has_changed {
        info!(shared.log, "crashes advertised"; "ends" => records.len(), "source" => "peer");
        shared
            .members
            .peers()
            .send_all(&Message::CrashReports(records));
    }
}

/// Takes over what the log says next, and tells the neighbours of what is new.
pub(crate) fn on_logged(shared: &Shared, changes: Vec<StoredChange>) {
    let now_ms = shared.clock.now_ms();
    let known = shared.ends.book().revision();
    for change in changes {
        shared.ends.book().on_log_change(now_ms, change);
    }
    tell_since(shared, known, |message| {
        shared.members.peers().send_all(&message);
    });
}

/// Tells a neighbour to which a link was opened what is known.
pub(crate) fn on_linked(shared: &Shared, peer: &InstanceName) {
    tell_since(shared, 0, |message| {
        shared.members.peers().send(peer, message)
    });
}

/// Tells what has changed since the revision `known`, in messages of bounded length.
fn tell_since(shared: &Shared, mut known: u64, send: impl Fn(Message)) {
    let now_ms = shared.clock.now_ms();
    shared.ends.book().forget_expired(now_ms);
    while known < shared.ends.book().revision() {
        let told = shared.ends.book().reports_since(now_ms, known);
        known = told.revision;
        if !told.records.is_empty() {
            send(Message::CrashReports(told.records));
        }
    }
}

fn backend(shared: &Shared, name: &BackendName) -> Option<Backend> {
    let state = shared.configuration.state();
    state.backend(name.as_str()).cloned()
}

/// Returns some other servers of the availability zone of `backend`.
fn neighbours(shared: &Shared, backend: &Backend) -> Vec<SocketAddr> {
    let state = shared.configuration.state();
    let others = state.backends();
    let others = others.filter(|other| other.zone == backend.zone && other.name != backend.name);
    sample_evenly(others.map(|other| other.addr), probing::NEIGHBOURS)
}
