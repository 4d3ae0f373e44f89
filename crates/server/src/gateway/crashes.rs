//! Finds out whether a backend server crashed under its requests.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use savoryvane_core::{
    forwarding::ServerEntry,
    ids::RequestId,
    poison::{
        CrashReport, Evidence, Fate, Probe, Registered, RequestDigest, fate_at_loss, fate_later,
    },
};
use slog::{Logger, info, warn};
use tokio::{
    sync::Notify,
    task::JoinSet,
    time::{self, Instant},
};

use super::{freshness::Freshness, knowledge::Knowledge, quarantine::Quarantine};
use crate::{connections::Connections, lock::lock, probing, suspects};

/// Interval between two checks of servers whose fate is unknown.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an unknown fate stays unresolved: register entries lapse within 4 s,
/// and it takes another second until that is read.
const UNKNOWN_FOR: Duration = Duration::from_secs(10);
/// Time after which a server that is still registered counts as running: the entry of a
/// crashed one would have lapsed by then, and the register been read.
const RUNS_ON_AFTER: Duration = Duration::from_secs(8);
/// Time within which a server that seems to have crashed may return as the same run, as
/// after a network partition.
const RETURNS_WITHIN: Duration = Duration::from_secs(60);
/// Age of the register beyond which it is no evidence about single servers, in ms.
const FRESH_MS: u64 = 2_000;
/// Maximum number of losses under observation; beyond it, the earliest are dropped
/// unresolved.
const MOST_WATCHED: usize = 1_024;

/// Determines the fate of servers whose connections were lost.
#[derive(Debug)]
pub(super) struct CrashDetector {
    log: Logger,
    knowledge: Arc<Knowledge>,
    freshness: Arc<Freshness>,
    servers: Arc<Connections>,
    quarantine: Arc<Quarantine>,
    watched: Mutex<Vec<Watched>>,
    /// Notified when a loss is added.
    has_watched: Notify,
}

/// The loss of a connection to a server.
#[derive(Clone, Debug)]
pub(super) struct LostServer {
    /// The server's registration when its requests were sent.
    pub(super) server: ServerEntry,
    /// Requests that the connection carried.
    pub(super) requests: Vec<(RequestId, RequestDigest)>,
    /// Number of other requests of this instance that the server was running.
    pub(super) others: u32,
}

/// A loss that has to be checked again.
#[derive(Clone, Debug)]
struct Watched {
    lost: LostServer,
    since: Instant,
    /// Evidence that the server crashed; `None` while its fate is unknown.
    evidence: Option<Evidence>,
}

impl Watched {
    /// Returns whether a server that was judged crashed is still running, according to a
    /// fresh register.
    fn runs_on(&self, registered: Registered) -> bool {
        let has_lapsed = self.evidence == Some(Evidence::Lapsed);
        registered == Registered::Ready && (has_lapsed || self.since.elapsed() >= RUNS_ON_AFTER)
    }
}

impl CrashDetector {
    pub(super) fn new(
        knowledge: Arc<Knowledge>,
        freshness: Arc<Freshness>,
        servers: Arc<Connections>,
        quarantine: Arc<Quarantine>,
        log: Logger,
    ) -> Self {
        Self {
            log,
            knowledge,
            freshness,
            servers,
            quarantine,
            watched: Mutex::default(),
            has_watched: Notify::new(),
        }
    }

    /// Determines the fate of a server, and reports it to the other instances if it
    /// crashed. Checks that would keep callers waiting too long run later.
    pub(super) async fn on_lost(&self, lost: LostServer) -> Fate {
        let probes = time::timeout(probing::PROBE_TIMEOUT, self.probe(&lost.server)).await;
        let (probe, neighbour) = probes.unwrap_or((Probe::Unknown, Probe::Unknown));
        let registered = self.knowledge.directory().registered(&lost.server);
        let fate = fate_at_loss(registered, probe, neighbour);
        info!(self.log, "connection to server lost"; "server" => %lost.server.id,
            "requests" => lost.requests.len(), "registered" => ?registered, "probe" => ?probe,
            "neighbour" => ?neighbour, "fate" => ?fate);
        match fate {
            Fate::Ended(evidence) => self.on_ended(lost, evidence).await,
            Fate::Unknown => self.watch(lost, None),
            Fate::NotToBlame => {}
        }
        fate
    }

    /// Schedules a later check of a server that stayed silent.
    pub(super) fn on_silent(&self, lost: LostServer) {
        self.watch(lost, None);
    }

    async fn on_ended(&self, lost: LostServer, evidence: Evidence) {
        let others = lost.others + lost.requests.len().saturating_sub(1) as u32;
        for (request, digest) in &lost.requests {
            let ends = self.quarantine.on_end(CrashReport {
                digest: *digest,
                server: lost.server.id.clone(),
                evidence,
                age_ms: 0,
                is_withdrawn: false,
            });
            warn!(self.log, "server crashed under request"; "request" => %request,
                "digest" => %digest, "server" => %lost.server.registered_as,
                "started_ms" => lost.server.started_ms, "service" => %lost.server.service,
                "others" => others, "evidence" => evidence.as_str(), "ends" => ends);
        }
        suspects::count_end(evidence);
        self.watch(lost, Some(evidence));
        self.quarantine.report().await;
    }

    fn watch(&self, lost: LostServer, evidence: Option<Evidence>) {
        self.watch_again(Watched {
            lost,
            since: Instant::now(),
            evidence,
        });
        self.has_watched.notify_one();
    }

    fn watch_again(&self, watched: Watched) {
        let mut all = self.watched();
        if all.len() >= MOST_WATCHED {
            all.remove(0);
        }
        all.push(watched);
    }

    async fn probe(&self, server: &ServerEntry) -> (Probe, Probe) {
        let neighbours = || {
            let directory = self.knowledge.directory();
            let neighbours = directory.neighbours(server, probing::NEIGHBOURS);
            neighbours.into_iter().map(|other| other.addr).collect()
        };
        probing::probe(&self.servers, server.addr, neighbours).await
    }

    /// Checks all watched losses once, concurrently.
    async fn look(self: &Arc<Self>) {
        let watched = std::mem::take(&mut *self.watched());
        let mut looks = JoinSet::new();
        for item in watched {
            let ends = Arc::clone(self);
            looks.spawn(async move { ends.look_at(item).await });
        }
        while looks.join_next().await.is_some() {}
    }

    async fn look_at(&self, item: Watched) {
        let registered = self.knowledge.directory().registered(&item.lost.server);
        if item.evidence.is_some() {
            let is_fresh = self.freshness.servers_age_ms() < FRESH_MS;
            if is_fresh && item.runs_on(registered) {
                for (_, digest) in &item.lost.requests {
                    self.quarantine.on_running(*digest, &item.lost.server.id);
                }
            } else if item.since.elapsed() < RETURNS_WITHIN {
                self.watch_again(item);
            }
            return;
        }
        let (probe, neighbour) = self.probe(&item.lost.server).await;
        match fate_later(registered, probe, neighbour) {
            Fate::Ended(evidence) => self.on_ended(item.lost, evidence).await,
            Fate::Unknown if item.since.elapsed() < UNKNOWN_FOR => self.watch_again(item),
            Fate::Unknown | Fate::NotToBlame => {}
        }
    }

    fn watched(&self) -> MutexGuard<'_, Vec<Watched>> {
        lock(&self.watched)
    }
}

/// Checks servers whose connections were lost until their fate is known.
pub(super) async fn watch(ends: Arc<CrashDetector>) {
    loop {
        if ends.watched().is_empty() {
            ends.has_watched.notified().await;
        }
        time::sleep(LOOK_INTERVAL).await;
        ends.look().await;
    }
}
