//! Records of the operator and of backend servers, as they stand in the store.

use std::net::SocketAddr;

/// A host of all routes.
pub const HOST: &str = "pule25.example";
/// The key of the one tenant.
pub const KEY: &str = "9dnn2ctnfzs989anu6ws";

/// Returns a route. `more` holds further fields, each with a comma before it.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, goal_ms: u64, attempts: u32, more: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/{name}/\",\"RouteKind\":\"{kind}\",\
         \"TimeoutMs\":{timeout_ms},\"GoalMs\":{goal_ms},\"Priority\":0,\"Service\":\"{service}\",\
         \"Attempts\":{attempts},\"Public\":false{more}}}"
    )
}

/// Returns a plain service.
pub fn service(name: &str) -> String {
    format!("{{\"Name\":\"{name}\",\"HealthPath\":\"/healthz\",\"MaxConns\":370,\"Proto\":\"h1\",\"Tls\":false}}")
}

/// Returns a service of engines.
pub fn engines(name: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"HealthPath\":\"/healthz\",\"MaxConns\":370,\"Proto\":\"h1\",\"Tls\":false,\
         \"Engine\":{{\"Slots\":64,\"KvCapacity\":457009,\"KvTokenBytes\":18432,\"LinkMbps\":370000.0,\"HandleS\":5.0,\
         \"Models\":[{{\"Name\":\"m\"}}]}}}}"
    )
}

/// Returns a service of servers that run pieces.
pub fn pieces(name: &str) -> String {
    pieces_of(name, 10, 17.0, 22.0)
}

/// Returns a service of servers that run `batch` pieces a call and keep results in `room_mb`.
pub fn pieces_of(name: &str, batch: u32, item_ms: f64, room_mb: f64) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"HealthPath\":\"/healthz\",\"MaxConns\":370,\"Proto\":\"h1\",\"Tls\":false,\
         \"Pieces\":{{\"Slots\":1,\"Queue\":2,\"Batch\":{batch},\"CallMs\":200.0,\"ItemMs\":{item_ms:?},\"RoomMb\":{room_mb:?},\
         \"HandleS\":4.0,\"LinkMbps\":10000}}}}"
    )
}

/// Returns a configuration in which the tenant has [`KEY`].
pub fn config(version: u64, routes: &[String], services: &[String]) -> String {
    config_with_keys(version, routes, services, &[KEY])
}

/// Returns a configuration in which the tenant has `keys`.
pub fn config_with_keys(version: u64, routes: &[String], services: &[String], keys: &[&str]) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"bozi300\",\"ApiKeys\":[\"{}\"],\"Priority\":1}}]}}",
        routes.join(","),
        services.join(","),
        keys.join("\",\"")
    )
}

/// Returns the entry of a server.
pub fn server(service: &str, addr: SocketAddr, zone: &str, slots: u32, state: &str, number: u64) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Addr\":\"{addr}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":{slots},\
         \"State\":\"{state}\",\"ColdLeftMs\":0,\"SeqNum\":{number}}}"
    )
}
