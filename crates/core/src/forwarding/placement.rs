//! Chooses the backend server of a forwarded request.

use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{SoftwareBinding, return_after_ms};
use crate::{
    decision::DecisionReason,
    fleet::{CallEnd, Fault, Fleet, RouteQuery, Routed},
    ids::{BackendName, PoolName, ZoneName},
    objects::Objective,
};

/// Uncached prompt tokens that an engine processes in a ms, from the engines' data sheets.
pub(super) const PROMPT_TOKENS_PER_MS: f64 = 57.0;
/// Cost of fetching a byte of results from another zone, in µs of engine time: by the
/// platform's prices, 1.5 MB cost as much as processing 550 prompt tokens.
const CROSS_ZONE_BYTE_US: f64 = 0.0065;
/// Cost of one additional running request at an engine, in µs: it slows the token generation of
/// all others there by 3 per cent, and in one of ten cases its prompt of 50 ms runs first.
const RUNNING_REQUEST_US: f64 = 6_000.0;

/// Key of the order in which engines are put to use.
const IN_USE_KEY: u64 = 0;

/// Shortest time over which the return of callers is spread after a backoff, in ms.
const MIN_RETURN_SPREAD_MS: u64 = 100;

/// Most candidates of one grant query, a few hundred bytes; enough that one likely has capacity.
pub const MAX_GRANT_CANDIDATES: usize = 32;

/// One part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of its text.
    pub hash: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The properties of a prompt that routing uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Number of input tokens.
    pub input_tokens: u32,
    /// Most tokens to generate.
    pub max_output_tokens: u32,
    /// Parts of the whole prompt in order; the last one belongs to this request only, those
    /// before it are shared with other requests.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns the hash that identifies the session: that of the last shared part, or of the
    /// only part.
    pub fn session(&self) -> Option<u64> {
        let shared = self.shared().last();
        shared.or(self.parts.last()).map(|part| part.hash)
    }

    /// Returns the tokens that an engine has cached if it served the session before.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }

    /// Returns the first shared part, which the most other prompts have too.
    fn head(&self) -> Option<PromptPart> {
        self.shared().first().copied()
    }

    /// Returns the parts that other requests may have too.
    pub fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// Inputs of the choice of a server.
#[derive(Clone, Debug)]
pub struct Placement<'a> {
    /// Service of the request.
    pub service: &'a PoolName,
    /// Servers that were already tried.
    pub tried: &'a [BackendName],
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Prompt of the request, if it goes to an engine.
    pub prompt: Option<&'a Prompt>,
    /// Sizes of the results that it needs, in bytes, by their availability zone.
    pub inputs: &'a [(ZoneName, u64)],
    /// For a request under which servers have crashed, its index among all such requests that
    /// are running. It goes to the server at this index in the order of load, so that a crash
    /// interrupts few other requests.
    pub isolation_index: Option<u32>,
    /// Servers that it may be sent to, by the version of their software.
    pub software: &'a SoftwareBinding,
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
            software: self.software,
        }
    }
}

/// A chosen server and the reason for the choice.
#[derive(Clone, Debug)]
pub struct ServerChoice {
    /// The server, if one is eligible.
    pub server: Option<BackendName>,
    /// Reason for the choice.
    pub reason: DecisionReason,
    /// Number of eligible servers.
    pub considered: usize,
}

impl Fleet {
    /// Chooses the server of a forwarded request.
    pub fn choose(&mut self, now_ms: u64, placement: &Placement<'_>) -> ServerChoice {
        let query = placement.query();
        if let Some(index) = placement.isolation_index {
            return self.choose_isolated(now_ms, &query, index);
        }
        match placement.prompt {
            Some(prompt) if prompt.session().is_some() => {
                self.choose_engine(now_ms, &query, prompt, placement.inputs)
            }
            _ => choice_from(self.route(now_ms, &query)),
        }
    }

    /// Chooses the server at `index`, modulo their number, in the order of load.
    fn choose_isolated(&mut self, now_ms: u64, query: &RouteQuery<'_>, index: u32) -> ServerChoice {
        let mut eligible = self.eligible(now_ms, query);
        let load = |index: &usize| self.load(now_ms, &self.backends[*index]);
        eligible.sort_by(|a, b| load(a).total_cmp(&load(b)));
        let at = index as usize % eligible.len().max(1);
        let server = eligible.get(at).map(|index| &self.backends[*index].name);
        ServerChoice {
            server: server.cloned(),
            reason: match server {
                None => DecisionReason::NoBackend,
                Some(_) => DecisionReason::Isolated,
            },
            considered: eligible.len(),
        }
    }

    /// Chooses the engine with the lowest expected cost. Each session has a home engine by
    /// rendezvous hash, which has its shared parts cached; any other engine has to process them
    /// again, those that the head of the prompt belongs to without the head. Results from other
    /// zones have to be fetched.
    fn choose_engine(
        &mut self,
        now_ms: u64,
        query: &RouteQuery<'_>,
        prompt: &Prompt,
        inputs: &[(ZoneName, u64)],
    ) -> ServerChoice {
        let eligible = self.eligible(now_ms, query);
        let tokens = prompt.input_tokens;
        self.demand.on_prompt(now_ms, query.pool, tokens);
        let (home, with_head) = self.home(query.pool, prompt, &eligible);
        let score_us = |index: usize| {
            let backend = &self.backends[index];
            let cross_zone_bytes: u64 = inputs
                .iter()
                .filter(|(zone, _)| *zone != backend.zone)
                .map(|(_, bytes)| *bytes)
                .sum();
            let uncached_tokens = if Some(index) == home {
                0
            } else if with_head.contains(&index) {
                let head_tokens = prompt.head().map_or(0, |head| head.tokens);
                // The home is preferred among equals.
                (prompt.shared_tokens() - head_tokens).max(1)
            } else {
                prompt.shared_tokens()
            };
            let prompt_us = f64::from(uncached_tokens) / PROMPT_TOKENS_PER_MS * 1_000.0;
            let load_us = self.load(now_ms, backend) * RUNNING_REQUEST_US;
            prompt_us + cross_zone_bytes as f64 * CROSS_ZONE_BYTE_US + load_us
        };
        let best = eligible
            .iter()
            .copied()
            .min_by(|a, b| score_us(*a).total_cmp(&score_us(*b)));
        ServerChoice {
            server: best.map(|index| self.backends[index].name.clone()),
            reason: match best {
                None => DecisionReason::NoBackend,
                Some(_) if best == home => DecisionReason::Only,
                Some(_) => DecisionReason::LeastLoad,
            },
            considered: eligible.len(),
        }
    }

    /// Returns whether no server may be sent the request now, but a brittle one may be as soon as
    /// it has accepted others that are in doubt.
    pub fn awaits_room(&self, now_ms: u64, placement: &Placement<'_>) -> bool {
        let query = placement.query();
        self.awaits_brittle(now_ms, &query) && self.eligible(now_ms, &query).is_empty()
    }

    /// Returns the servers to request a grant for in place of the limited server `chosen`, and
    /// their limits in requests per second: only `chosen` while some servers have no limit,
    /// unless `include_all`.
    pub fn grant_candidates(
        &self,
        now_ms: u64,
        placement: &Placement<'_>,
        chosen: &BackendName,
        include_all: bool,
    ) -> Vec<(BackendName, f64)> {
        let eligible = self.eligible(now_ms, &placement.query()).into_iter();
        let names = eligible.map(|index| &self.backends[index].name);
        let untried = names.filter(|name| !placement.tried.contains(name));
        let limits = untried.map(|name| (name, self.limits.limit_per_s(name)));
        let limits: Vec<(&BackendName, Option<f64>)> = limits.collect();
        let any_unlimited = limits.iter().any(|(_, limit)| limit.is_none());
        let is_candidate = |name: &BackendName| name == chosen || include_all || !any_unlimited;
        let limited = limits.into_iter().filter(|(name, _)| is_candidate(name));
        let limited = limited.filter_map(|(name, limit)| Some((name.clone(), limit?)));
        let mut limited: Vec<(BackendName, f64)> = limited.collect();
        limited.sort_by_key(|(name, _)| name != chosen);
        limited.truncate(MAX_GRANT_CANDIDATES);
        limited
    }

    /// Returns the servers of `service` that `software` allows and that accept requests, and their
    /// limits in requests per second, if all of them are limited.
    pub fn limits_if_all_limited(
        &self,
        now_ms: u64,
        service: &PoolName,
        software: &SoftwareBinding,
    ) -> Vec<(BackendName, f64)> {
        let mut limits = self.all_limited(now_ms, &any_request(service, software));
        limits.truncate(MAX_GRANT_CANDIDATES);
        limits
    }

    /// Returns the `Retry-After` of a request to `service`, in ms, if the servers that `software`
    /// allows reject requests only because of backoffs: the end of the first backoff plus a random
    /// spread.
    pub fn return_after_backoff_ms(
        &mut self,
        now_ms: u64,
        service: &PoolName,
        software: &SoftwareBinding,
    ) -> Option<u64> {
        let ends_in_ms = self.backoff_ends_in_ms(now_ms, &any_request(service, software))?;
        let draw = self.rng.random();
        Some(return_after_ms(ends_in_ms, MIN_RETURN_SPREAD_MS, draw))
    }

    /// Returns whether a request to `service` is bound to a software version that no registered
    /// server has, apart from those that are leaving.
    pub fn lacks_version(
        &self,
        now_ms: u64,
        service: &PoolName,
        software: &SoftwareBinding,
    ) -> bool {
        self.lacks_software(now_ms, &any_request(service, software))
    }

    /// Returns the availability zone of a session's home engine among the servers of `service`
    /// that `software` allows and that accept requests.
    pub fn home_zone(
        &self,
        now_ms: u64,
        service: &PoolName,
        prompt: &Prompt,
        software: &SoftwareBinding,
    ) -> Option<ZoneName> {
        prompt.session()?;
        let eligible = self.eligible(now_ms, &any_request(service, software));
        let (home, _) = self.home(service, prompt, &eligible);
        home.map(|index| self.backends[index].zone.clone())
    }

    /// Returns the home engine of a prompt's session among `eligible`. Where there are more
    /// engines than the demand needs, also returns those that have the head of the prompt
    /// cached, which the home is one of.
    fn home(
        &self,
        service: &PoolName,
        prompt: &Prompt,
        eligible: &[usize],
    ) -> (Option<usize>, Vec<usize>) {
        let session = prompt.session().unwrap_or_default();
        let highest = |among: &[usize], key: u64| {
            let among = among.iter().copied();
            among.max_by_key(|index| rendezvous(&self.backends[*index].name, key))
        };
        let in_use = self.demand.engines_in_use(service, eligible.len());
        let Some(head) = prompt.head().filter(|_| in_use < eligible.len()) else {
            return (highest(eligible, session), Vec::new());
        };
        let in_use = self.first_by_rank(eligible, IN_USE_KEY, in_use);
        // A head on few engines is rarely processed again, one on many balances the load.
        let spread = (in_use.len() as f64).sqrt().ceil() as usize;
        let with_head = self.first_by_rank(&in_use, head.hash, spread);
        (highest(&with_head, session), with_head)
    }

    /// Returns the `count` engines with the highest rank for `key`.
    fn first_by_rank(&self, among: &[usize], key: u64, count: usize) -> Vec<usize> {
        let ranked = among.iter().copied();
        let ranked = ranked.map(|index| (rendezvous(&self.backends[index].name, key), index));
        let mut ranked: Vec<(u64, usize)> = ranked.collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(count);
        ranked.into_iter().map(|(_, index)| index).collect()
    }

    /// Records that a request was sent to `server`.
    pub fn on_forwarded(&mut self, now_ms: u64, server: &BackendName) {
        self.on_call_sent(now_ms, server);
    }

    /// Records a complete response of `server` after `elapsed_us`.
    pub fn on_answered(&mut self, now_ms: u64, server: &BackendName, elapsed_us: u64) {
        let end = CallEnd::Done {
            elapsed_us,
            busy_us: elapsed_us,
            was_overdue: false,
        };
        self.on_call_ended(now_ms, server, end);
    }

    /// Records that `server` rejected a request because it was full.
    pub fn on_full(&mut self, now_ms: u64, server: &BackendName) {
        let end = CallEnd::Refused(crate::call::RefusalReason::Full);
        self.on_call_ended(now_ms, server, end);
    }

    /// Records that `server` responded with a failure.
    pub fn on_failing(&mut self, now_ms: u64, server: &BackendName) {
        self.on_call_ended(now_ms, server, CallEnd::Failed(Fault::Failing));
    }

    /// Records that the connection to `server` broke or timed out.
    pub fn on_silent(&mut self, now_ms: u64, server: &BackendName) {
        self.on_call_ended(now_ms, server, CallEnd::Failed(Fault::Silent));
    }

    /// Records that `server` timed out without a response; its request has already been
    /// recorded as abandoned.
    pub fn on_silence_timeout(&mut self, now_ms: u64, server: &BackendName) {
        self.on_fault(now_ms, server, Fault::Silent);
    }

    /// Records that no connection to `server` could be established.
    pub fn on_unreachable(&mut self, now_ms: u64, server: &BackendName) {
        self.on_call_ended(now_ms, server, CallEnd::Failed(Fault::Unreachable));
    }

    /// Records that a request to `server` was abandoned.
    pub fn on_abandoned(&mut self, now_ms: u64, server: &BackendName) {
        self.on_call_ended(now_ms, server, CallEnd::Abandoned);
    }
}

fn choice_from(routed: Routed) -> ServerChoice {
    ServerChoice {
        server: routed.choice,
        reason: routed.reason,
        considered: routed.candidates.len(),
    }
}

/// Returns the query for any server of `service` that `software` allows.
fn any_request<'a>(service: &'a PoolName, software: &'a SoftwareBinding) -> RouteQuery<'a> {
    RouteQuery {
        pool: service,
        software,
        model: None,
        tried: &[],
        prefix: None,
        idempotent: true,
        objective: Objective::Attainment,
    }
}

/// Returns the rank of a server for a session; the server with the highest rank is its home.
fn rendezvous(server: &BackendName, session: u64) -> u64 {
    xxh3_64_with_seed(server.as_str().as_bytes(), session)
}
