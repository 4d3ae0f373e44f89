//! Tracks the rate limits of backend servers.
//!
//! An overloaded server announces in its responses the requests per second that it accepts from
//! all instances together. An instance learns limits from responses and from the reports of
//! peers. It requests a grant before it sends to a limited server, see
//! [`LimitGrants`](super::LimitGrants).

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::ids::BackendName;

/// Most servers whose limits are tracked, about 150 bytes each.
const MAX_SERVERS: usize = 4_096;

/// Limit announced in one response of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedLimit {
    /// The response announces no limit.
    None,
    /// Requests per second that the server accepts from all instances together.
    PerSecond(f64),
    /// The value can't be parsed; the known limit stays in force.
    Unreadable,
}

impl NamedLimit {
    /// Tells whether a response with this limit is to be applied. The absence of a limit counts
    /// only in a successful response, since failures may lack headers.
    pub fn is_meaningful(self, is_success: bool) -> bool {
        is_success || self != Self::None
    }
}

/// Report of a server's limit, sent to peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The server.
    pub server: BackendName,
    /// Requests per second that it accepts; none if it no longer announces a limit.
    pub limit_per_s: Option<f64>,
    /// Time since the announcement, in ms.
    pub age_ms: u64,
}

/// A change of a server's limit, in requests per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Limit before the change, if any.
    pub before: Option<f64>,
    /// Limit after the change, if any.
    pub after: Option<f64>,
}

/// A server that announces a limit, or has done so.
#[derive(Clone, Debug, Default)]
struct LimitedServer {
    limit_per_s: Option<f64>,
    /// Time of the announcement, in ms.
    announced_at_ms: u64,
    /// Whether this instance received the announcement.
    is_local: bool,
    /// Revision of the last change.
    revision: u64,
    /// Time until which grants are refused, in ms.
    closed_until_ms: u64,
}

/// Server limits known to one instance.
#[derive(Debug, Default)]
pub struct ServerLimits {
    servers: HashMap<BackendName, LimitedServer>,
    revision: u64,
}

impl ServerLimits {
    /// Removes the servers that are no longer registered.
    pub fn retain(&mut self, mut is_registered: impl FnMut(&BackendName) -> bool) {
        self.servers.retain(|server, _| is_registered(server));
    }

    /// Applies the response to a request sent at `sent_at_ms`; returns the change, if any.
    ///
    /// Responses may arrive out of order. So a limit is removed or raised only by the response
    /// to a request that was sent after the last announcement.
    pub fn on_response(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        server: &BackendName,
        named: NamedLimit,
    ) -> Option<LimitChange> {
        let known = self.servers.get(server);
        let before = known.and_then(|known| known.limit_per_s);
        let is_later = known.is_none_or(|known| sent_at_ms > known.announced_at_ms);
        let after = match (named, before) {
            (NamedLimit::Unreadable, _) | (NamedLimit::None, None) => return None,
            (NamedLimit::None, Some(_)) if !is_later => return None,
            (NamedLimit::None, Some(_)) => None,
            (NamedLimit::PerSecond(named), Some(before)) if !is_later => Some(named.min(before)),
            (NamedLimit::PerSecond(named), _) => Some(named),
        };
        self.set(now_ms, server, after, true)
    }

    /// Merges newer reports from a peer; returns the changes.
    pub fn on_reports(
        &mut self,
        now_ms: u64,
        reports: Vec<LimitReport>,
    ) -> Vec<(BackendName, LimitChange)> {
        let mut changes = Vec::new();
        for report in reports {
            let announced_at_ms = now_ms.saturating_sub(report.age_ms);
            let known = self.servers.get(&report.server);
            let is_newer = known.map_or(report.limit_per_s.is_some(), |known| {
                announced_at_ms > known.announced_at_ms
            });
            if is_newer {
                let limit_per_s = report.limit_per_s;
                let change = self.set(announced_at_ms, &report.server, limit_per_s, false);
                changes.extend(change.map(|change| (report.server, change)));
            }
        }
        changes
    }

    fn set(
        &mut self,
        announced_at_ms: u64,
        server: &BackendName,
        limit_per_s: Option<f64>,
        is_local: bool,
    ) -> Option<LimitChange> {
        if !self.servers.contains_key(server) {
            if self.servers.len() >= MAX_SERVERS {
                return None;
            }
            let limited = LimitedServer::default();
            self.servers.insert(server.clone(), limited);
        }
        let limited = self.servers.get_mut(server)?;
        limited.announced_at_ms = announced_at_ms;
        let change = LimitChange {
            before: limited.limit_per_s,
            after: limit_per_s,
        };
        if change.before == change.after {
            return None;
        }
        self.revision += 1;
        limited.limit_per_s = limit_per_s;
        limited.is_local = is_local;
        limited.revision = self.revision;
        limited.closed_until_ms = 0;
        Some(change)
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the limits that have changed since `revision`.
    pub fn reports_since(&self, now_ms: u64, revision: u64) -> Vec<LimitReport> {
        self.reports(now_ms, |limited| limited.revision > revision)
    }

    /// Returns the changes since `revision` that servers announced to this instance.
    pub fn local_reports_since(&self, now_ms: u64, revision: u64) -> Vec<LimitReport> {
        self.reports(now_ms, |limited| {
            limited.is_local && limited.revision > revision
        })
    }

    fn reports(
        &self,
        now_ms: u64,
        is_included: impl Fn(&LimitedServer) -> bool,
    ) -> Vec<LimitReport> {
        let servers = self.servers.iter();
        let included = servers.filter(|(_, limited)| is_included(limited));
        let reports = included.map(|(server, limited)| LimitReport {
            server: server.clone(),
            limit_per_s: limited.limit_per_s,
            age_ms: now_ms.saturating_sub(limited.announced_at_ms),
        });
        reports.collect()
    }

    /// Returns the limit of `server` in requests per second, or `reported_per_s` if this
    /// instance knows nothing about the server.
    pub fn limit_or(&self, server: &BackendName, reported_per_s: f64) -> Option<f64> {
        let known = self.servers.get(server);
        known.map_or(Some(reported_per_s), |known| known.limit_per_s)
    }

    /// Returns the limit of `server` in requests per second, if it has one.
    pub fn limit_per_s(&self, server: &BackendName) -> Option<f64> {
        self.servers.get(server)?.limit_per_s
    }

    /// Tells whether no server has ever announced a limit.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the number of servers with a limit.
    pub fn count(&self) -> usize {
        let servers = self.servers.values();
        servers
            .filter(|limited| limited.limit_per_s.is_some())
            .count()
    }

    /// Records that grants for `server` are refused for `retry_in_ms`.
    pub fn on_closed(&mut self, now_ms: u64, server: &BackendName, retry_in_ms: u64) {
        if let Some(limited) = self.servers.get_mut(server) {
            limited.closed_until_ms = now_ms + retry_in_ms;
        }
    }

    /// Tells whether a grant for `server` may be requested, or none is needed.
    pub fn is_open(&self, now_ms: u64, server: &BackendName) -> bool {
        let limited = self.servers.get(server);
        limited.is_none_or(|limited| {
            limited.limit_per_s.is_none() || now_ms >= limited.closed_until_ms
        })
    }
}
