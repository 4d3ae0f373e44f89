//! The configuration that the soak publishes as operator, and the kinds of requests.

use std::ops::Range;

use savoryvane_platform_standin::CRASH_PART;
use serde_json::{Value, json};

/// Host of all routes.
pub(crate) const HOST: &str = "soak.example";
/// API key of the workspace.
pub(crate) const API_KEY: &str = "key-of-one";
/// Name of the workspace, as sent to servers.
pub(crate) const WORKSPACE: &str = "one";
/// Response header in which servers announce that they leave.
pub(crate) const LEAVING_HEADER: &str = "server-leaving";
/// Maximum size of a request body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 1_000_000;
/// Memory and descriptors of the machine of an instance, in MB and by number.
pub(crate) const MEMORY_MB: u64 = 64;
pub(crate) const MAX_DESCRIPTORS: usize = 4_100;
/// Timeout of all routes.
pub(crate) const TIMEOUT_MS: u64 = 2_000;
/// Number of events of a complete stream.
pub(crate) const EVENTS_PER_STREAM: u32 = 6;
/// Retry budget of all instances together in ten seconds: retries for each request of callers,
/// and retries in addition to that.
pub(crate) const RETRY_RATIO: f64 = 0.2;
pub(crate) const RETRY_SLACK: u32 = 20;

/// Services and their numbers of servers.
pub(crate) const SERVICES: [(&str, usize); 4] =
    [("desk", 3), ("engine", 5), ("archive", 2), ("invoices", 2)];
/// Versions of the software of engines.
pub(crate) const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];

/// Returns the server indices of a service.
pub(crate) fn servers_of(service: &str) -> Range<usize> {
    let preceding = SERVICES.iter().take_while(|(name, _)| *name != service);
    let start = preceding.map(|(_, count)| count).sum();
    let own_entry = SERVICES.iter().find(|(name, _)| *name == service);
    start..start + own_entry.map_or(0, |(_, count)| *count)
}

/// Availability zone of the first instance and of all press servers.
pub(crate) const FIRST_ZONE: &str = "utrecht";
/// Service whose servers crash under poison requests.
pub(crate) const PRESS_SERVICE: &str = "press";
/// Number of sessions of prompts at that service.
const SESSIONS: u64 = 4;
/// Path of poison requests, which crash the server that runs them.
pub(crate) const POISON_PATH: &str = "/print/poison";

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A request that may be retried.
    Lookup,
    /// A request that runs at most once.
    Booking,
    /// A stream that runs at most once.
    Draft,
    /// A stream that may be resumed on another server.
    Quote,
    /// A stream that runs after two stages.
    Staged,
    /// A stream at a service whose servers crash.
    Print,
    /// A poison request to that service: crashes each server that starts to run it.
    Poison,
    /// A request to that service with a prompt part that crashes each server that begins to respond
    /// to it; no two are alike in all else.
    PoisonPart,
    /// A request to the route that this configuration version added.
    Added(u64),
}

impl Kind {
    pub(crate) fn is_repeatable(self) -> bool {
        matches!(self, Self::Lookup | Self::Quote | Self::Added(_))
    }

    pub(crate) fn is_stream(self) -> bool {
        matches!(
            self,
            Self::Draft
                | Self::Quote
                | Self::Staged
                | Self::Print
                | Self::Poison
                | Self::PoisonPart
        )
    }

    pub(crate) fn method(self) -> &'static str {
        match self {
            Self::Lookup | Self::Added(_) => "GET",
            Self::Booking
            | Self::Draft
            | Self::Quote
            | Self::Staged
            | Self::Print
            | Self::Poison
            | Self::PoisonPart => "POST",
        }
    }

    /// Returns whether it crashes servers.
    pub(crate) fn is_poison(self) -> bool {
        matches!(self, Self::Poison | Self::PoisonPart)
    }

    /// Returns the parts of the prompt of request `number`, if it has one. Sound requests share
    /// all parts but one with those that crash servers.
    pub(crate) fn prompt_parts(self, number: u64) -> Option<String> {
        let session = number % SESSIONS;
        match self {
            Self::Print => Some(format!("c0:300,5e55{session:x}:100,{number:x}:20")),
            Self::PoisonPart => Some(format!(
                "c0:300,5e55{session:x}:100,{CRASH_PART}:80,{number:x}:20"
            )),
            _ => None,
        }
    }

    pub(crate) fn prefix(self) -> String {
        match self {
            Self::Lookup => "lookup".to_owned(),
            Self::Booking => "booking".to_owned(),
            Self::Draft => "draft".to_owned(),
            Self::Quote => "quote".to_owned(),
            Self::Staged => "staged".to_owned(),
            Self::Print | Self::Poison | Self::PoisonPart => "print".to_owned(),
            Self::Added(version) => format!("added-{version}"),
        }
    }
}

/// Returns the configuration with the fixed routes and one route for each version in `added`.
pub(crate) fn config_json(version: u64, added: &[u64]) -> Value {
    let mut routes = vec![
        route(Kind::Lookup, "idempotent", "desk"),
        route(Kind::Booking, "mutating", "desk"),
        route(Kind::Draft, "stream", "engine"),
        route(Kind::Quote, "stream", "engine"),
        route(Kind::Staged, "stream", "engine"),
        route(Kind::Print, "stream", PRESS_SERVICE),
    ];
    routes[3]["Resumable"] = true.into();
    routes[5]["Sticky"] = true.into();
    routes[4]["Stages"] = json!([
        { "Service": "archive", "After": [], "SizeBytes": 8_000 },
        { "Service": "invoices", "After": [0], "SizeBytes": 6_000 },
    ]);
    let added = added.iter().map(|version| Kind::Added(*version));
    routes.extend(added.map(|kind| route(kind, "idempotent", "desk")));
    let pieces = json!({ "Slots": 1, "Queue": 2, "Batch": 20, "CallMs": 10.0, "ItemMs": 1.0,
        "RoomMb": 20.0, "HandleS": 4.0, "LinkMbps": 1_000 });
    let names = SERVICES.map(|(name, _)| name);
    let names = names.into_iter().chain([PRESS_SERVICE]);
    let services = names.map(|name| {
        let mut service = json!({ "Name": name, "HealthPath": "/healthz", "MaxConns": 200 });
        if matches!(name, "archive" | "invoices") {
            service["Pieces"] = pieces.clone();
        }
        service
    });
    let services: Vec<Value> = services.collect();
    json!({
        "Version": version, "Routes": routes, "Services": services,
        "Tenants": [{ "Name": WORKSPACE, "ApiKeys": [API_KEY] }],
        "Limits": { "MaxHeaderBytes": 16_384, "MaxBodyBytes": MAX_BODY_BYTES,
            "HeaderTimeoutMs": 5_000, "IdleTimeoutMs": 10_000 },
    })
}

fn route(kind: Kind, route_kind: &str, service: &str) -> Value {
    json!({
        "Name": kind.prefix(), "Host": HOST, "PathPrefix": format!("/{}/", kind.prefix()),
        "RouteKind": route_kind, "TimeoutMs": TIMEOUT_MS, "GoalMs": 500, "Priority": 0,
        "Service": service, "Attempts": 2, "Public": false, "Sticky": false, "Resumable": false,
    })
}
