//! Chooses the backend server of a forwarded request.

use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::return_after_ms;
use crate::{
    decision::DecisionReason,
    fleet::{CallEnd, Fault, Fleet, RouteQuery, Routed},
    ids::{BackendName, PoolName, ZoneName},
    objects::Objective,
};

/// Prompt tokens that an engine reads in a ms where nothing is cached; from
/// the engines' sheets, which say 57.
const TOKENS_PER_MS: f64 = 57.0;
/// What a byte of results from another zone weighs, in µs of engine time: by the
/// platform's prices, 1.5 MB as much as reading 550 tokens anew.
const FAR_BYTE_US: f64 = 0.0065;
/// What one request more at an engine than at the others weighs, in µs: each
/// slows the tokens of all others there by 3 in 100, and in one of ten cases its
/// prompt of 50 ms goes first.
const REQUEST_US: f64 = 6_000.0;

/// Shortest time over which the return of callers is spread after a backoff, in ms.
const MIN_RETURN_SPREAD_MS: u64 = 100;

/// Most candidates of one grant query, some hundred bytes; enough that one is likely free.
pub const MAX_GRANT_CANDIDATES: usize = 32;

/// One part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of its text.
    pub hash: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A prompt as routing sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens to read.
    pub input_tokens: u32,
    /// Most tokens to generate.
    pub max_output_tokens: u32,
    /// Parts in their order, which make up the whole prompt; the last one is
    /// the request's own, those before it are shared with other requests.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns the hash of the part that its session shares: the last one before
    /// the request's own, or the only one.
    pub fn session(&self) -> Option<u64> {
        let shared = self.shared().last();
        shared.or(self.parts.last()).map(|part| part.hash)
    }

    /// Returns the tokens that an engine which served the session has cached.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }

    fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// What the choice of a server goes by.
#[derive(Clone, Debug)]
pub struct Placement<'a> {
    /// Service that the request goes to.
    pub service: &'a PoolName,
    /// Servers that were tried already.
    pub tried: &'a [BackendName],
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Its prompt, for an engine.
    pub prompt: Option<&'a Prompt>,
    /// Results that it needs, by the availability zone where they are, in bytes.
    pub inputs: &'a [(ZoneName, u64)],
    /// Where servers have ended under it, its place among all such that run: it goes to
    /// the server of this place by load, so that few others are lost with it.
    pub apart: Option<u32>,
}

impl<'a> Placement<'a> {
    fn query(&self) -> RouteQuery<'a> {
        RouteQuery {
            pool: self.service,
            model: None,
            tried: self.tried,
            prefix: None,
            idempotent: self.is_repeatable,
            objective: Objective::Attainment,
        }
    }
}

/// A server and why it was chosen.
#[derive(Clone, Debug)]
pub struct Chosen {
    /// The server, unless there is none.
    pub server: Option<BackendName>,
    /// Why.
    pub reason: DecisionReason,
    /// Servers that were considered.
    pub considered: usize,
}

impl Fleet {
    /// Chooses the server of a forwarded request.
    pub fn choose(&mut self, now_ms: u64, placement: &Placement<'_>) -> Chosen {
        let query = placement.query();
        if let Some(place) = placement.apart {
            return self.choose_apart(now_ms, &query, place);
        }
        match placement.prompt {
            Some(prompt) if prompt.session().is_some() => {
                self.choose_engine(now_ms, &query, prompt, placement.inputs)
            }
            _ => chosen(self.route(now_ms, &query)),
        }
    }

    /// Chooses the server of the given place in the order of their load.
    fn choose_apart(&mut self, now_ms: u64, query: &RouteQuery<'_>, place: u32) -> Chosen {
        let mut eligible = self.eligible(now_ms, query);
        let load = |index: &usize| self.load(now_ms, &self.backends[*index]);
        eligible.sort_by(|a, b| load(a).total_cmp(&load(b)));
        let at = place as usize % eligible.len().max(1);
        let server = eligible.get(at).map(|index| &self.backends[*index].name);
        Chosen {
            server: server.cloned(),
            reason: match server {
                None => DecisionReason::NoBackend,
                Some(_) => DecisionReason::Isolated,
            },
            considered: eligible.len(),
        }
    }

    /// Chooses the engine with the least expected work: sessions have a home
    /// by rendezvous hash, where their parts are cached; an engine elsewhere
    /// reads them anew, and results from other zones have to be fetched.
    fn choose_engine(
        &mut self,
        now_ms: u64,
        query: &RouteQuery<'_>,
        prompt: &Prompt,
        inputs: &[(ZoneName, u64)],
    ) -> Chosen {
        let eligible = self.eligible(now_ms, query);
        let session = prompt.session().unwrap_or_default();
        let home = eligible
            .iter()
            .copied()
            .max_by_key(|index| rendezvous(&self.backends[*index].name, session));
        let score_us = |index: usize| {
            let backend = &self.backends[index];
            let far_bytes: u64 = inputs
                .iter()
                .filter(|(zone, _)| *zone != backend.zone)
                .map(|(_, bytes)| *bytes)
                .sum();
            let anew_us = if Some(index) == home {
                0.0
            } else {
                f64::from(prompt.shared_tokens()) / TOKENS_PER_MS * 1_000.0
            };
            let load_us = self.load(now_ms, backend) * REQUEST_US;
            anew_us + far_bytes as f64 * FAR_BYTE_US + load_us
        };
        let best = eligible
            .iter()
            .copied()
            .min_by(|a, b| score_us(*a).total_cmp(&score_us(*b)));
        Chosen {
            server: best.map(|index| self.backends[index].name.clone()),
            reason: match best {
                None => DecisionReason::NoBackend,
                Some(_) if best == home => DecisionReason::Only,
                Some(_) => DecisionReason::LeastLoad,
            },
            considered: eligible.len(),
        }
    }

    /// Returns the servers to request a grant for instead of `chosen`, which names a limit, and
    /// their limits in requests a second: only that one while others need none, unless
    /// `is_any_wanted`.
    pub fn grant_candidates(
        &self,
        now_ms: u64,
        placement: &Placement<'_>,
        chosen: &BackendName,
        is_any_wanted: bool,
    ) -> Vec<(BackendName, f64)> {
        let eligible = self.eligible(now_ms, &placement.query()).into_iter();
        let names = eligible.map(|index| &self.backends[index].name);
        let untried = names.filter(|name| !placement.tried.contains(name));
        let limits = untried.map(|name| (name, self.limits.limit_per_s(name)));
        let limits: Vec<(&BackendName, Option<f64>)> = limits.collect();
        let needs_none = limits.iter().any(|(_, limit)| limit.is_none());
        let is_wanted = |name: &BackendName| name == chosen || is_any_wanted || !needs_none;
        let limited = limits.into_iter().filter(|(name, _)| is_wanted(name));
        let limited = limited.filter_map(|(name, limit)| Some((name.clone(), limit?)));
        let mut limited: Vec<(BackendName, f64)> = limited.collect();
        limited.sort_by_key(|(name, _)| name != chosen);
        limited.truncate(MAX_GRANT_CANDIDATES);
        limited
    }

    /// Returns the servers of `service` that take work and their limits in requests a
    /// second, if all of them name one.
    pub fn limits_of_all(&self, now_ms: u64, service: &PoolName) -> Vec<(BackendName, f64)> {
        let mut limits = self.all_limited(now_ms, &any_request(service));
        limits.truncate(MAX_GRANT_CANDIDATES);
        limits
    }

    /// Returns the `Retry-After` of a request to `service`, in ms, if only backoffs keep its
    /// servers from taking requests: the end of the first one and a random part of it.
    pub fn return_after_backoff_ms(&mut self, now_ms: u64, service: &PoolName) -> Option<u64> {
        let ends_in_ms = self.backoff_ends_in_ms(now_ms, &any_request(service))?;
        let draw = self.rng.random();
        Some(return_after_ms(ends_in_ms, MIN_RETURN_SPREAD_MS, draw))
    }

    /// Returns the availability zone of a session's home among the servers of
    /// `service` that take work.
    pub fn home_zone(&self, now_ms: u64, service: &PoolName, prompt: &Prompt) -> Option<ZoneName> {
        let session = prompt.session()?;
        self.eligible(now_ms, &any_request(service))
            .into_iter()
            .map(|index| &self.backends[index])
            .max_by_key(|backend| rendezvous(&backend.name, session))
            .map(|backend| backend.zone.clone())
    }

    /// Notes that a request was sent to `server`.
    pub fn on_forwarded(&mut self, now_ms: u64, server: &BackendName) {
        self.on_call_sent(now_ms, server);
    }

    /// Notes a whole answer after `elapsed_us`.
    pub fn on_answered(&mut self, now_ms: u64, server: &BackendName, elapsed_us: u64) {
        let end = CallEnd::Done {
            elapsed_us,
            busy_us: elapsed_us,
            was_overdue: false,
        };
        self.on_call_ended(now_ms, server, end);
    }

    /// Notes that `server` had no room for a request.
    pub fn on_full(&mut self, now_ms: u64, server: &BackendName) {
        let end = CallEnd::Refused(crate::call::RefusalReason::Full);
        self.on_call_ended(now_ms, server, end);
    }

    /// Notes that `server` answered badly.
    pub fn on_failing(&mut self, now_ms: u64, server: &BackendName) {
        self.on_call_ended(now_ms, server, CallEnd::Failed(Fault::Failing));
    }

    /// Notes that the connection to `server` broke or went silent.
    pub fn on_silent(&mut self, now_ms: u64, server: &BackendName) {
        self.on_call_ended(now_ms, server, CallEnd::Failed(Fault::Silent));
    }

    /// Notes that `server` was given up as it stayed silent; its request has been
    /// noted as abandoned.
    pub fn on_given_up(&mut self, now_ms: u64, server: &BackendName) {
        self.on_fault(now_ms, server, Fault::Silent);
    }

    /// Notes that no connection to `server` could be made.
    pub fn on_unreachable(&mut self, now_ms: u64, server: &BackendName) {
        self.on_call_ended(now_ms, server, CallEnd::Failed(Fault::Unreachable));
    }

    /// Notes that a request to `server` was given up.
    pub fn on_abandoned(&mut self, now_ms: u64, server: &BackendName) {
        self.on_call_ended(now_ms, server, CallEnd::Abandoned);
    }
}

fn chosen(routed: Routed) -> Chosen {
    Chosen {
        server: routed.choice,
        reason: routed.reason,
        considered: routed.candidates.len(),
    }
}

/// Returns the query for any server of `service`.
fn any_request(service: &PoolName) -> RouteQuery<'_> {
    RouteQuery {
        pool: service,
        model: None,
        tried: &[],
        prefix: None,
        idempotent: true,
        objective: Objective::Attainment,
    }
}

/// Ranks a server for a session; the highest is its home.
fn rendezvous(server: &BackendName, session: u64) -> u64 {
    xxh3_64_with_seed(server.as_str().as_bytes(), session)
}
