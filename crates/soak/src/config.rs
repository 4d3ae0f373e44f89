//! What the operator of a soak configures.

use std::ops::Range;

use serde_json::{Value, json};

/// Host of all routes.
pub(crate) const HOST: &str = "soak.example";
/// Key of the workspace.
pub(crate) const API_KEY: &str = "key-of-one";
/// Name of the workspace, as servers see it.
pub(crate) const WORKSPACE: &str = "one";
/// Header in which servers say that they leave.
pub(crate) const LEAVING_HEADER: &str = "server-leaving";
/// Time after which a request has its final answer, in ms.
pub(crate) const TIMEOUT_MS: u64 = 2_000;
/// Events of a whole stream.
pub(crate) const EVENTS_PER_STREAM: u32 = 6;
/// Repeats for each request of callers, and beyond that, that all instances
/// together may send in ten seconds.
pub(crate) const RETRY_RATIO: f64 = 0.2;
pub(crate) const RETRY_SLACK: u32 = 20;

/// Services and how many servers each has.
pub(crate) const SERVICES: [(&str, usize); 4] =
    [("desk", 3), ("engine", 3), ("archive", 2), ("invoices", 2)];

/// Returns the indices of a service's servers.
pub(crate) fn servers_of(service: &str) -> Range<usize> {
    let preceding = SERVICES.iter().take_while(|(name, _)| *name != service);
    let start = preceding.map(|(_, count)| count).sum();
    let own_entry = SERVICES.iter().find(|(name, _)| *name == service);
    start..start + own_entry.map_or(0, |(_, count)| *count)
}

/// Availability zone of the first instance, and of all servers that end under requests.
pub(crate) const FIRST_ZONE: &str = "utrecht";
/// Service whose servers end under some requests.
pub(crate) const PRESS_SERVICE: &str = "press";
/// Path of the requests that end them.
pub(crate) const POISON_PATH: &str = "/print/poison";

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// May run again.
    Lookup,
    /// Runs at most once.
    Booking,
    /// A stream that runs at most once.
    Draft,
    /// A stream that may go on elsewhere.
    Quote,
    /// A stream that comes after two stages.
    Staged,
    /// A stream at a service whose servers crash.
    Print,
    /// The same, which ends each server that begins to run it.
    Poison,
    /// On a route that this version added.
    Added(u64),
}

impl Kind {
    pub(crate) fn is_repeatable(self) -> bool {
        matches!(self, Self::Lookup | Self::Quote | Self::Added(_))
    }

    pub(crate) fn is_stream(self) -> bool {
        matches!(
            self,
            Self::Draft | Self::Quote | Self::Staged | Self::Print | Self::Poison
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
            | Self::Poison => "POST",
        }
    }

    pub(crate) fn prefix(self) -> String {
        match self {
            Self::Lookup => "lookup".to_owned(),
            Self::Booking => "booking".to_owned(),
            Self::Draft => "draft".to_owned(),
            Self::Quote => "quote".to_owned(),
            Self::Staged => "staged".to_owned(),
            Self::Print | Self::Poison => "print".to_owned(),
            Self::Added(version) => format!("added-{version}"),
        }
    }
}

/// Describes a configuration with the routes that were added by `added`.
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
        "Limits": { "MaxHeaderBytes": 16_384, "MaxBodyBytes": 1_000_000,
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
