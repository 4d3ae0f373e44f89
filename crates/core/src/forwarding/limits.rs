//! Keeps what servers get from all instances together within the limits that they name.
//!
//! The load that this answers: a server in need names in its answers how many requests a
//! second it takes from all instances together. Sessions have their home there, so that up
//! to hundreds of instances go on sending to it, each of which sees only its own requests.
//! Limits are as low as one request a second.
//!
//! The requests of a window are dealt out by a rendezvous hash, as for cold servers. Who
//! has no part learns from the others whether the limit still holds, and tries by itself
//! only after everyone has been silent, one instance after the other.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{
    ARRIVAL_MS,
    dealing::{Dealing, SentTimes},
};
use crate::ids::{BackendName, InstanceName, PoolName};

/// Span in which the requests of a limit are dealt out, in ms: long enough that also one
/// of a second is several requests, which several instances can use.
const SPAN_MS: u64 = 4_000;
/// Lowest limit that is reckoned with: a server that takes nothing at all is tried at this
/// rate, as nobody would learn otherwise that it takes requests again.
pub(crate) const MIN_LIMIT_PER_S: f64 = 0.1;
/// Time after which an instance tells again that a limit still holds, in ms.
const RENEWAL_MS: u64 = 4_000;
/// Time without a word of a server's limit after which instances without a part try it, in
/// ms: two renewals, and the time until all know of them.
const SILENT_MS: u64 = 10_000;
/// Time between two instances that try, as a multiple of what the server takes a request
/// in: together they send it a quarter of its limit.
const TRIAL_SPACING: f64 = 4.0;
/// Most servers whose limits are remembered, about 200 bytes each.
const MAX_SERVERS: usize = 4_096;
/// Shortest time to come back after, in ms.
const MIN_RETRY_AFTER_MS: u64 = 200;
/// Longest time to come back after, in ms: limits seldom hold for longer.
const MAX_RETRY_AFTER_MS: u64 = 10_000;

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

/// What an instance knows of a server's limit, for another instance.
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
    /// Revision in which others are told, and when that was given, in ms.
    revision: u64,
    revised_at_ms: u64,
    /// Requests that all instances together may send it in a window.
    all: usize,
    window_ms: u64,
    /// Those of them that this instance may send.
    part: usize,
    /// Instances that come before this one, if it is listed.
    rank: Option<usize>,
    sent: SentTimes,
}

/// The limits that servers name, and what one instance may send them.
#[derive(Debug)]
pub struct ServerLimits {
    dealing: Dealing,
    servers: HashMap<BackendName, LimitedServer>,
    revision: u64,
    /// When the last refused caller of a service was told to come back, in ms.
    returns_at_ms: HashMap<PoolName, u64>,
}

impl ServerLimits {
    /// Creates the view of `instance`, which knows no other.
    pub fn new(instance: &InstanceName) -> Self {
        Self {
            dealing: Dealing::new(instance),
            servers: HashMap::new(),
            revision: 0,
            returns_at_ms: HashMap::new(),
        }
    }

    /// Takes over the list of instances.
    pub fn set_listed<'a>(&mut self, instances: impl IntoIterator<Item = &'a InstanceName>) {
        self.dealing.set_listed(instances);
        for (server, limited) in &mut self.servers {
            limited.deal(&self.dealing, server);
        }
    }

    /// Forgets the servers that are not registered any more.
    pub fn retain(&mut self, mut is_registered: impl FnMut(&BackendName) -> bool) {
        self.servers.retain(|server, _| is_registered(server));
    }

    /// Takes in what an answer to a request sent at `sent_at_ms` says.
    ///
    /// Answers come in another order than they were given. So a limit ends or rises only by
    /// the answer to a request that was sent after the server had named it last.
    pub fn on_answer(
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
        self.set(now_ms, now_ms, server, after, true)
    }

    /// Takes over what another instance tells, as far as it is newer; returns what changed.
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
            if !is_news {
                continue;
            }
            let limit_per_s = report.limit_per_s;
            let change = self.set(now_ms, said_at_ms, &report.server, limit_per_s, false);
            changes.extend(change.map(|change| (report.server, change)));
        }
        changes
    }

    fn set(
        &mut self,
        now_ms: u64,
        said_at_ms: u64,
        server: &BackendName,
        limit_per_s: Option<f64>,
        is_own: bool,
    ) -> Option<LimitChange> {
        if !self.servers.contains_key(server) {
            if self.servers.len() >= MAX_SERVERS {
                return None;
            }
            self.servers
                .insert(server.clone(), LimitedServer::default());
        }
        let limited = self.servers.get_mut(server)?;
        let change = LimitChange {
            before: limited.limit_per_s,
            after: limit_per_s,
        };
        let has_changed = change.before != change.after;
        limited.said_at_ms = said_at_ms;
        limited.is_own = is_own;
        limited.limit_per_s = limit_per_s;
        if has_changed {
            limited.deal(&self.dealing, server);
        }
        if has_changed || limited.revised_at_ms + RENEWAL_MS <= now_ms {
            self.revision += 1;
            limited.revision = self.revision;
            limited.revised_at_ms = now_ms;
        }
        has_changed.then_some(change)
    }

    /// Returns the revision of what is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns what is known beyond `revision`.
    pub fn reports_since(&self, now_ms: u64, revision: u64) -> Vec<LimitReport> {
        self.reports(now_ms, |limited| limited.revision > revision)
    }

    /// Returns what servers have said to this instance beyond `revision`.
    pub fn own_since(&self, now_ms: u64, revision: u64) -> Vec<LimitReport> {
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

    /// Returns the requests a second that `server` takes, if it names a limit.
    pub fn limit_per_s(&self, server: &BackendName) -> Option<f64> {
        self.servers.get(server)?.limit_per_s
    }

    /// Returns the servers that name a limit.
    pub fn count(&self) -> usize {
        let servers = self.servers.values();
        servers
            .filter(|limited| limited.limit_per_s.is_some())
            .count()
    }

    /// Tells whether this instance may send `server` a request now.
    pub fn allows(&self, now_ms: u64, server: &BackendName) -> bool {
        let limited = self.servers.get(server);
        limited.is_none_or(|limited| limited.allows(now_ms, self.dealing.listed()))
    }

    /// Returns the time until this instance may send `server` a request, in ms, where it
    /// has a part of what the server takes.
    pub fn opens_in_ms(&self, now_ms: u64, server: &BackendName) -> Option<u64> {
        match self.servers.get(server) {
            Some(limited) if limited.limit_per_s.is_some() => {
                let sent = &limited.sent;
                sent.opens_in_ms(now_ms, limited.window_ms, limited.part)
            }
            _ => Some(0),
        }
    }

    /// Notes that a request was sent to `server`.
    pub fn on_sent(&mut self, now_ms: u64, server: &BackendName) {
        if let Some(limited) = self.servers.get_mut(server) {
            limited.sent.on_sent(now_ms, limited.window_ms);
        }
    }

    /// Notes that the last request did not reach `server`.
    pub fn on_not_sent(&mut self, server: &BackendName) {
        if let Some(limited) = self.servers.get_mut(server) {
            limited.sent.on_not_sent();
        }
    }

    /// Returns when a caller is to come back whom no server of `service` takes for its
    /// limit, in ms: callers are told one time after the other, at the rate at which
    /// `servers` take requests through this instance.
    pub fn retry_after_ms<'a>(
        &mut self,
        now_ms: u64,
        service: &PoolName,
        servers: impl IntoIterator<Item = &'a BackendName>,
    ) -> u64 {
        let limits = servers
            .into_iter()
            .filter_map(|server| self.limit_per_s(server));
        let all_per_s: f64 = limits.map(|limit| limit.max(MIN_LIMIT_PER_S)).sum();
        let per_s = all_per_s.max(MIN_LIMIT_PER_S) / self.dealing.listed().max(1) as f64;
        let step_ms = (1_000.0 / per_s) as u64;
        let last_ms = self.returns_at_ms.get(service).copied().unwrap_or(0);
        let earliest_ms = now_ms + MIN_RETRY_AFTER_MS;
        let latest_ms = now_ms + MAX_RETRY_AFTER_MS;
        let at_ms = last_ms.max(now_ms).saturating_add(step_ms);
        let at_ms = at_ms.clamp(earliest_ms, latest_ms);
        self.returns_at_ms.insert(service.clone(), at_ms);
        at_ms - now_ms
    }
}

impl LimitedServer {
    /// Works out the part of this instance.
    fn deal(&mut self, dealing: &Dealing, server: &BackendName) {
        let limit_per_s = self
            .limit_per_s
            .unwrap_or(f64::MAX)
            .clamp(MIN_LIMIT_PER_S, f64::from(u32::MAX));
        let span_ms = SPAN_MS.max((1_000.0 / limit_per_s).ceil() as u64);
        self.window_ms = span_ms + ARRIVAL_MS;
        self.all = ((limit_per_s * span_ms as f64 / 1_000.0) as usize).max(1);
        self.part = dealing.part(server, self.all);
        self.rank = dealing.rank(server);
    }

    fn allows(&self, now_ms: u64, listed: usize) -> bool {
        let Some(limit_per_s) = self.limit_per_s else {
            return true;
        };
        self.sent.count(now_ms, self.window_ms) < self.part
            || self.is_trial_due(now_ms, limit_per_s, listed)
    }

    /// Tells whether an instance without a part tries the server, of which nobody has heard
    /// for long.
    fn is_trial_due(&self, now_ms: u64, limit_per_s: f64, listed: usize) -> bool {
        let Some(rank) = self.rank.filter(|_| self.part == 0) else {
            return false;
        };
        let spacing_ms = TRIAL_SPACING * 1_000.0 / limit_per_s.max(MIN_LIMIT_PER_S);
        let turns_ms = |turns: usize| (spacing_ms * turns as f64) as u64;
        let turn_ms = self.said_at_ms + SILENT_MS + turns_ms(rank - self.all);
        let last_ms = self.sent.last_ms();
        let again_ms = last_ms.map_or(0, |last_ms| last_ms + turns_ms(listed));
        now_ms >= turn_ms.max(again_ms)
    }
}
