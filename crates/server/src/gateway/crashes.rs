//! Finds out whether a backend server crashed under its requests.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use savoryvane_core::{
    forwarding::ServerEntry,
    ids::RequestId,
    poison::{
        CrashReport, CrashSubject, Evidence, LostServerStatus, Probe, Registered, RequestSubjects,
        format_subjects, status_after_loss, status_at_loss,
    },
};
use slog::{Logger, info, warn};
use tokio::{
    sync::Notify,
    task::JoinSet,
    time::{self, Instant},
};

use super::{freshness::Freshness, quarantine::Quarantine, routing_view::RoutingView};
use crate::{connections::Connections, lock::lock, probing, suspects};

/// Interval between two checks of servers whose fate is unknown.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an unknown fate stays unresolved: register entries expire within 4 s,
/// and it takes another second until that is read.
const UNRESOLVED_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a server that is still registered counts as running: the entry of a
/// crashed one would have expired by then, and the register been read.
const STILL_RUNNING_AFTER: Duration = Duration::from_secs(8);
/// Time within which a server that seems to have crashed may return as the same run, as
/// after a network partition.
const RECOVERY_WINDOW: Duration = Duration::from_secs(60);
/// Age of the register beyond which it is no evidence about single servers, in ms.
const MAX_FRESH_AGE_MS: u64 = 2_000;
/// Maximum number of losses under observation; beyond it, the earliest are dropped
/// unresolved.
const MAX_WATCHED: usize = 1_024;

/// Determines the fate of servers whose connections were lost.
#[derive(Debug)]
pub(super) struct CrashDetector {
    log: Logger,
    view: Arc<RoutingView>,
    freshness: Arc<Freshness>,
    servers: Arc<Connections>,
    quarantine: Arc<Quarantine>,
    watched: Mutex<Vec<WatchedLoss>>,
    /// Notified when a loss is added.
    loss_added: Notify,
}

/// The loss of a connection to a server.
#[derive(Clone, Debug)]
pub(super) struct LostConnection {
    /// The server's registration when its requests were sent.
    pub(super) server: ServerEntry,
    /// Requests that the connection carried.
    pub(super) requests: Vec<CarriedRequest>,
    /// Number of other requests of this instance that the server was running.
    pub(super) other_requests: u32,
    /// Whether the connection ended a response, so that it may have been closed on purpose.
    pub(super) has_ended_response: bool,
}

/// A request that a lost connection carried.
#[derive(Clone, Debug)]
pub(super) struct CarriedRequest {
    pub(super) id: RequestId,
    pub(super) subjects: RequestSubjects,
    /// Subjects of which no other run took place.
    pub(super) isolated: Vec<CrashSubject>,
    /// Whether the server went on with the response after it had begun.
    pub(super) is_alive: bool,
}

impl CarriedRequest {
    /// Iterates over what may have crashed the server: the request, and the parts of its prompt
    /// unless the server had gone on with the response.
    fn suspects(&self) -> impl Iterator<Item = CrashSubject> {
        let is_alive = self.is_alive;
        let subjects = self.subjects.iter();
        subjects.filter(move |subject| !(is_alive && subject.is_part()))
    }
}

/// A loss that has to be checked again.
#[derive(Clone, Debug)]
struct WatchedLoss {
    lost: LostConnection,
    since: Instant,
    /// Evidence that the server crashed; `None` while its fate is unknown.
    evidence: Option<Evidence>,
}

impl WatchedLoss {
    /// Returns whether a server that was judged crashed is still running, according to a
    /// fresh register.
    fn is_still_running(&self, registered: Registered) -> bool {
        let has_expired = self.evidence == Some(Evidence::Lapsed);
        registered == Registered::Ready
            && (has_expired || self.since.elapsed() >= STILL_RUNNING_AFTER)
    }
}

impl CrashDetector {
    pub(super) fn new(
        view: Arc<RoutingView>,
        freshness: Arc<Freshness>,
        servers: Arc<Connections>,
        quarantine: Arc<Quarantine>,
        log: Logger,
    ) -> Self {
        Self {
            log,
            view,
            freshness,
            servers,
            quarantine,
            watched: Mutex::default(),
            loss_added: Notify::new(),
        }
    }

    /// Determines the fate of a server, and reports it to the other instances if it
    /// crashed. Checks that would keep callers waiting too long run later.
    pub(super) async fn on_connection_lost(&self, lost: LostConnection) -> LostServerStatus {
        let probes = time::timeout(probing::PROBE_TIMEOUT, self.probe(&lost.server)).await;
        let (probe, neighbour) = probes.unwrap_or((Probe::Unknown, Probe::Unknown));
        let registered = self.view.directory().registered(&lost.server);
        let fate = status_at_loss(registered, probe, neighbour);
        info!(self.log, "connection to server lost"; "server" => %lost.server.id,
            "requests" => lost.requests.len(), "has_ended_response" => lost.has_ended_response,
            "registered" => ?registered, "probe" => ?probe,
            "neighbour" => ?neighbour, "fate" => ?fate);
        match fate {
            LostServerStatus::Ended(evidence) => self.on_ended(lost, evidence).await,
            LostServerStatus::Unknown => self.watch(lost, None),
            LostServerStatus::NotToBlame => {}
        }
        fate
    }

    /// Schedules a later check of a server that stayed silent.
    pub(super) fn on_silent(&self, lost: LostConnection) {
        self.watch(lost, None);
    }

    async fn on_ended(&self, lost: LostConnection, evidence: Evidence) {
        let others = lost.other_requests + lost.requests.len().saturating_sub(1) as u32;
        for request in &lost.requests {
            let counts: Vec<(CrashSubject, u32)> = request
                .suspects()
                .map(|subject| {
                    let report = CrashReport {
                        subject,
                        server: lost.server.id.clone(),
                        evidence,
                        age_ms: 0,
                        is_withdrawn: false,
                        is_isolated: request.isolated.contains(&subject),
                    };
                    (subject, self.quarantine.on_crash(report))
                })
                .collect();
            warn!(self.log, "server crashed under request"; "request" => %request.id,
                "digest" => %request.subjects.digest(),
                "parts" => format_subjects(request.subjects.parts()),
                "is_alive" => request.is_alive, "server" => %lost.server.registered_as,
                "started_ms" => lost.server.started_ms, "service" => %lost.server.service,
                "others" => others, "evidence" => evidence.as_str(),
                "ends" => counts.first().map(|(_, ends)| *ends),
                "part_ends" => format_counts(&counts[1..]),
                "isolated" => format_subjects(request.isolated.iter().copied()));
        }
        suspects::count_crash(evidence);
        self.watch(lost, Some(evidence));
        self.quarantine.report().await;
    }

    fn watch(&self, lost: LostConnection, evidence: Option<Evidence>) {
        self.add_watched(WatchedLoss {
            lost,
            since: Instant::now(),
            evidence,
        });
        self.loss_added.notify_one();
    }

    fn add_watched(&self, watched: WatchedLoss) {
        let mut all = self.watched();
        if all.len() >= MAX_WATCHED {
            all.remove(0);
        }
        all.push(watched);
    }

    async fn probe(&self, server: &ServerEntry) -> (Probe, Probe) {
        let neighbours = || {
            let directory = self.view.directory();
            let neighbours = directory.same_zone_servers(server, probing::MAX_NEIGHBOURS);
            neighbours.into_iter().map(|other| other.addr).collect()
        };
        probing::probe(&self.servers, server.addr, neighbours).await
    }

    /// Checks all watched losses once, concurrently.
    async fn check_all(self: &Arc<Self>) {
        let watched = std::mem::take(&mut *self.watched());
        let mut checks = JoinSet::new();
        for item in watched {
            let crash_detector = Arc::clone(self);
            checks.spawn(async move { crash_detector.check(item).await });
        }
        while checks.join_next().await.is_some() {}
    }

    async fn check(&self, item: WatchedLoss) {
        let registered = self.view.directory().registered(&item.lost.server);
        if item.evidence.is_some() {
            let is_fresh = self.freshness.servers_age_ms() < MAX_FRESH_AGE_MS;
            if is_fresh && item.is_still_running(registered) {
                for request in &item.lost.requests {
                    self.quarantine
                        .on_running(&request.subjects, &item.lost.server.id);
                }
            } else if item.since.elapsed() < RECOVERY_WINDOW {
                self.add_watched(item);
            }
            return;
        }
        let (probe, neighbour) = self.probe(&item.lost.server).await;
        match status_after_loss(registered, probe, neighbour) {
            LostServerStatus::Ended(evidence) => self.on_ended(item.lost, evidence).await,
            LostServerStatus::Unknown if item.since.elapsed() < UNRESOLVED_TIMEOUT => {
                self.add_watched(item)
            }
            LostServerStatus::Unknown | LostServerStatus::NotToBlame => {}
        }
    }

    fn watched(&self) -> MutexGuard<'_, Vec<WatchedLoss>> {
        lock(&self.watched)
    }
}

/// Formats crash counts for a log line.
fn format_counts(counts: &[(CrashSubject, u32)]) -> String {
    let counts = counts.iter();
    let texts = counts.map(|(subject, ends)| format!("{subject}:{ends}"));
    texts.collect::<Vec<String>>().join(",")
}

/// Checks servers whose connections were lost until their fate is known.
pub(super) async fn watch(crash_detector: Arc<CrashDetector>) {
    loop {
        if crash_detector.watched().is_empty() {
            crash_detector.loss_added.notified().await;
        }
        time::sleep(CHECK_INTERVAL).await;
        crash_detector.check_all().await;
    }
}
