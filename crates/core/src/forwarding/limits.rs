//! Tracks the rate limits of backend servers.
//!
//! An overloaded server names in its answers the requests a second that it takes from all
//! instances together. An instance learns of limits from answers and from the reports of
//! peers. It requests a grant before it sends to a limited server, see
//! [`LimitGrants`](super::LimitGrants).

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::ids::BackendName;

/// Most servers whose limits are remembered, about 150 bytes each.
const MAX_SERVERS: usize = 4_096;

/// What one answer of a server says of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedLimit {
    /// It names none.
    None,
    /// Requests a second that it takes from all instances together.
    PerSecond(f64),
    /// It names one that can't be read, which says nothing new.
    Unreadable,
}

impl NamedLimit {
    /// Tells whether an answer with this says anything: of a failure only what it names counts,
    /// as it may lack headers that others have.
    pub fn is_meaningful(self, is_success: bool) -> bool {
        is_success || self != Self::None
    }
}

/// Report of a server's limit, sent to peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The server.
    pub server: BackendName,
    /// Requests a second that it takes, none where it has stopped to name a limit.
    pub limit_per_s: Option<f64>,
    /// Time since it said so, in ms.
    pub age_ms: u64,
}

/// A change of a server's limit, in requests a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Its limit before, if it had one.
    pub before: Option<f64>,
    /// Its limit now, if it has one.
    pub after: Option<f64>,
}

/// A server that names a limit, or has.
#[derive(Clone, Debug, Default)]
struct LimitedServer {
    limit_per_s: Option<f64>,
    /// When it said so, in ms.
    said_at_ms: u64,
    /// Whether it said so to this instance.
    is_own: bool,
    /// Revision in which it changed.
    revision: u64,
    /// Time until which no grant is to be had, in ms.
    closed_until_ms: u64,
}

/// The limits that servers name, as one instance knows them.
#[derive(Debug, Default)]
pub struct ServerLimits {
    servers: HashMap<BackendName, LimitedServer>,
    revision: u64,
}

impl ServerLimits {
    /// Forgets the servers that are not registered any more.
    pub fn retain(&mut self, mut is_registered: impl FnMut(&BackendName) -> bool) {
        self.servers.retain(|server, _| is_registered(server));
    }

    /// Takes in what an answer to a request sent at `sent_at_ms` says; returns what changed.
    ///
    /// Answers come in another order than they were given. So a limit ends or rises only by
    /// the answer to a request that was sent after the server had named it last.
    pub fn on_response(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        server: &BackendName,
        named: NamedLimit,
    ) -> Option<LimitChange> {
        let known = self.servers.get(server);
        let before = known.and_then(|known| known.limit_per_s);
        let is_later = known.is_none_or(|known| sent_at_ms > known.said_at_ms);
        let after = match (named, before) {
            (NamedLimit::Unreadable, _) | (NamedLimit::None, None) => return None,
            (NamedLimit::None, Some(_)) if !is_later => return None,
            (NamedLimit::None, Some(_)) => None,
            (NamedLimit::PerSecond(named), Some(before)) if !is_later => Some(named.min(before)),
            (NamedLimit::PerSecond(named), _) => Some(named),
        };
        self.set(now_ms, server, after, true)
    }

    /// Merges newer reports from a peer; returns what changed.
    pub fn on_reports(
        &mut self,
        now_ms: u64,
        reports: Vec<LimitReport>,
    ) -> Vec<(BackendName, LimitChange)> {
        let mut changes = Vec::new();
        for report in reports {
            let said_at_ms = now_ms.saturating_sub(report.age_ms);
            let known = self.servers.get(&report.server);
            let is_news = known.map_or(report.limit_per_s.is_some(), |known| {
                said_at_ms > known.said_at_ms
            });
            if is_news {
                let limit_per_s = report.limit_per_s;
                let change = self.set(said_at_ms, &report.server, limit_per_s, false);
                changes.extend(change.map(|change| (report.server, change)));
            }
        }
        changes
    }

    fn set(
        &mut self,
        said_at_ms: u64,
        server: &BackendName,
        limit_per_s: Option<f64>,
        is_own: bool,
    ) -> Option<LimitChange> {
        if !self.servers.contains_key(server) {
            if self.servers.len() >= MAX_SERVERS {
                return None;
            }
            let limited = LimitedServer::default();
            self.servers.insert(server.clone(), limited);
        }
        let limited = self.servers.get_mut(server)?;
        limited.said_at_ms = said_at_ms;
        let change = LimitChange {
            before: limited.limit_per_s,
            after: limit_per_s,
        };
        if change.before == change.after {
            return None;
        }
        self.revision += 1;
        limited.limit_per_s = limit_per_s;
        limited.is_own = is_own;
        limited.revision = self.revision;
        limited.closed_until_ms = 0;
        Some(change)
    }

    /// Returns the revision of what is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns what has changed since `revision`.
    pub fn reports_since(&self, now_ms: u64, revision: u64) -> Vec<LimitReport> {
        self.reports(now_ms, |limited| limited.revision > revision)
    }

    /// Returns what servers have said to this instance since `revision`.
    pub fn local_reports_since(&self, now_ms: u64, revision: u64) -> Vec<LimitReport> {
        self.reports(now_ms, |limited| {
            limited.is_own && limited.revision > revision
        })
    }

    fn reports(&self, now_ms: u64, is_wanted: impl Fn(&LimitedServer) -> bool) -> Vec<LimitReport> {
        let servers = self.servers.iter();
        let wanted = servers.filter(|(_, limited)| is_wanted(limited));
        let reports = wanted.map(|(server, limited)| LimitReport {
            server: server.clone(),
            limit_per_s: limited.limit_per_s,
            age_ms: now_ms.saturating_sub(limited.said_at_ms),
        });
        reports.collect()
    }

    /// Returns the limit of `server`, in requests a second: that which another instance
    /// reports where the server has said nothing here.
    pub fn limit_or(&self, server: &BackendName, reported_per_s: f64) -> Option<f64> {
        let known = self.servers.get(server);
        known.map_or(Some(reported_per_s), |known| known.limit_per_s)
    }

    /// Returns the requests a second that `server` takes, if it names a limit.
    pub fn limit_per_s(&self, server: &BackendName) -> Option<f64> {
        self.servers.get(server)?.limit_per_s
    }

    /// Tells whether no server has said anything of a limit.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the servers that name a limit.
    pub fn count(&self) -> usize {
        let servers = self.servers.values();
        servers
            .filter(|limited| limited.limit_per_s.is_some())
            .count()
    }

    /// Notes that no grant for `server` is to be had for `retry_in_ms`.
    pub fn on_closed(&mut self, now_ms: u64, server: &BackendName, retry_in_ms: u64) {
        if let Some(limited) = self.servers.get_mut(server) {
            limited.closed_until_ms = now_ms + retry_in_ms;
        }
    }

    /// Tells whether a grant for `server` may be had, or none is needed.
    pub fn is_open(&self, now_ms: u64, server: &BackendName) -> bool {
        let limited = self.servers.get(server);
        limited.is_none_or(|limited| {
            limited.limit_per_s.is_none() || now_ms >= limited.closed_until_ms
        })
    }
}
