//! A caller's request while it is being processed.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri, header, uri::PathAndQuery};
use http_body_util::Full;
use savoryvane_core::{
    forwarding::{Matched, Prompt, RepeatPolicy, Route, RouteKind, SoftwareBinding},
    ids::{BackendName, PoolName, RequestId},
    poison::{RequestDigest, RequestSubjects},
};
use savoryvane_platform::request::{self, ForwardedRequest, RequestHead};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{connection_memory::RequestMemory, connections::Reuse, lock::lock};

/// Idle time up to which a pooled connection may carry a request that must not be
/// repeated; servers close idle connections at any moment.
const MAX_IDLE_UNREPEATABLE: Duration = Duration::from_millis(500);

/// A request as its caller sent it, with the route that it matched.
#[derive(Debug)]
pub(super) struct CallerRequest {
    pub(super) id: RequestId,
    pub(super) head: RequestHead,
    pub(super) method: Method,
    pub(super) path: PathAndQuery,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// What is held for it.
    pub(super) memory: Arc<RequestMemory>,
    /// Its content, without the identifier, and the shared parts of its prompt.
    pub(super) subjects: RequestSubjects,
    pub(super) matched: Matched,
    /// Service that it is sent to.
    pub(super) service: PoolName,
    /// Servers of the service that it may be sent to, by the version of their software.
    pub(super) software: SoftwareBinding,
    pub(super) arrived: Instant,
    /// Time by which it gets its final response.
    pub(super) deadline: Instant,
    /// Addresses that it has been sent to.
    pub(super) sent_to: SentTo,
}

/// Addresses that a request has been sent to.
#[derive(Debug, Default)]
pub(super) struct SentTo(Mutex<Vec<SocketAddr>>);

impl SentTo {
    /// Records a send to `addr`; returns whether it is the first one.
    fn insert(&self, addr: SocketAddr) -> bool {
        let mut addrs = lock(&self.0);
        let is_first = !addrs.contains(&addr);
        if is_first {
            addrs.push(addr);
        }
        is_first
    }
}

impl CallerRequest {
    pub(super) fn route(&self) -> &Route {
        &self.matched.route
    }

    /// Returns whether it may be sent again after it may have run.
    pub(super) fn repeats(&self) -> RepeatPolicy {
        if self.route().is_repeatable() {
            RepeatPolicy::Allowed
        } else {
            RepeatPolicy::Never
        }
    }

    /// Records a send to `addr`; returns which idle connections may carry it.
    pub(super) fn reuse_for_send(&self, addr: SocketAddr) -> Reuse {
        if !self.sent_to.insert(addr) {
            // On the connection of an earlier send, a second copy of the response to that send
            // names this request too.
            return Reuse::Never;
        }
        if self.head.id.is_none() {
            // Its response can't name it, so that a response to another request on the
            // connection could be mistaken for it.
            return Reuse::Never;
        }
        match self.repeats() {
            RepeatPolicy::Allowed => Reuse::Any,
            RepeatPolicy::Never => Reuse::Within(MAX_IDLE_UNREPEATABLE),
        }
    }

    /// Returns whether its stream may be resumed at another server.
    pub(super) fn is_resumable(&self) -> bool {
        self.route().kind == RouteKind::Stream && self.route().is_resumable
    }

    /// Returns whether its caller takes up a stream of which it has received events.
    pub(super) fn takes_stream_up(&self) -> bool {
        self.is_resumable() && self.head.last_event.is_some()
    }

    /// Returns whether its caller has received events of its stream.
    pub(super) fn has_events(&self) -> bool {
        self.software != SoftwareBinding::Free
    }

    /// Returns the digest of its content.
    pub(super) fn digest(&self) -> RequestDigest {
        self.subjects.digest()
    }

    /// Returns its prompt, if its route uses prompts.
    pub(super) fn prompt(&self) -> Option<&Prompt> {
        let has_prompts = self.route().has_prompts;
        self.head.prompt.as_ref().filter(|_| has_prompts)
    }

    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    pub(super) fn elapsed_ms(&self) -> u64 {
        self.arrived.elapsed().as_millis() as u64
    }

    /// Builds the request to `server`.
    pub(super) fn to_server(
        &self,
        server: &BackendName,
        inputs: &[String],
        last_event: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let forwarded = ForwardedRequest {
            left_ms: self.time_left().as_millis() as u64,
            server,
            workspace: self.matched.workspace.as_ref(),
            inputs,
            last_event,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.path.clone());
        *request.headers_mut() = request::forward(&self.headers, &forwarded);
        request
    }
}

/// Returns the hashes of the shared parts of a request's prompt, if its route uses prompts.
pub(super) fn shared_part_hashes(route: &Route, head: &RequestHead) -> impl Iterator<Item = u64> {
    let prompt = head.prompt.as_ref().filter(|_| route.has_prompts);
    let shared = prompt.map_or(&[][..], Prompt::shared);
    shared.iter().map(|part| part.hash)
}

/// Chooses the service of a request by weight among the targets of its route: always the
/// same one for a session, so that its prompts stay cached.
pub(super) fn choose_service(route: &Route, head: &RequestHead) -> Option<PoolName> {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    let session = head.prompt.as_ref().and_then(Prompt::session);
    let id = head.id.as_ref().map_or("", RequestId::as_str);
    let hash = session.unwrap_or_else(|| xxh3_64(id.as_bytes()));
    let mut point = xxh3_64(&hash.to_le_bytes()) % total.max(1);
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if point < weight {
            return Some(target.service.clone());
        }
        point -= weight;
    }
    route.targets.first().map(|target| target.service.clone())
}

/// Returns the host that a request is addressed to.
pub(super) fn request_host<B>(request: &Request<B>) -> &str {
    let header = request.headers().get(header::HOST);
    request
        .uri()
        .authority()
        .map(http::uri::Authority::as_str)
        .or_else(|| header.and_then(|value| value.to_str().ok()))
        .unwrap_or_default()
}
