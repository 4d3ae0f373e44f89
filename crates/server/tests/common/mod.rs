//! A small in-process deployment: stand-in services, entry instances and a
//! configuration applied by plan and confirm.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use savoryvane_core::objects::StageKind;
use savoryvane_server::{Instance, Settings};
use savoryvane_standins::{
    BackendServer, BackendSettings, ListServer, ListSettings, LogServer, LogSettings, Step,
    client::{self, Connection, Version},
    expected_output,
};
use savoryvane_wire::{
    admin::{Confirmation, Plan},
    caller::{Answer, Ticket},
    platform::{Listed, ListedRole, ListedState},
};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::time;

pub const ZONE: &str = "hal-utrecht";
pub const OPERATOR_CREDENTIAL: &str = "operator-secret";
pub const KINDS: [(&str, StageKind); 4] = [
    ("encode", StageKind::Encode),
    ("retrieve", StageKind::Retrieve),
    ("rerank", StageKind::Rerank),
    ("generate", StageKind::Generate),
];
const MAX_TOKENS: u32 = 64;
const TIMEOUT: Duration = Duration::from_secs(10);

/// A running deployment in one availability zone.
pub struct Deployment {
    pub log: LogServer,
    pub list: ListServer,
    pub backends: Vec<BackendServer>,
    pub instances: Vec<Instance>,
    /// Lines added to the settings of every instance.
    pub extra_settings: String,
}

/// Starts two backend servers per stage.
pub async fn start_backends() -> Vec<BackendServer> {
    let mut backends = Vec::new();
    for (name, kind) in KINDS {
        for index in 0..2 {
            let mut settings = BackendSettings::new(format!("{name}-{index}").as_str(), kind);
            settings.models = vec!["chat".into()];
            backends.push(BackendServer::start(settings).await.unwrap());
        }
    }
    backends
}

impl Deployment {
    /// Starts two backend servers per stage and one instance, and applies the
    /// pipelines `quote` and `hold` of workspace `vakwerk`. Only `hold` is not
    /// idempotent.
    pub async fn start() -> Self {
        Self::with_settings("").await
    }

    pub async fn with_settings(extra_settings: &str) -> Self {
        let mut deployment = Self::without_instances(extra_settings).await;
        deployment.add_instance("entry-1").await;
        deployment.confirm(&deployment.intent()).await;
        deployment.wait_ready().await;
        deployment
    }

    pub async fn without_instances(extra_settings: &str) -> Self {
        let log = LogServer::start(LogSettings::default()).await.unwrap();
        let list = ListServer::start(ListSettings::default()).await.unwrap();
        let backends = start_backends().await;
        Self {
            log,
            list,
            backends,
            instances: Vec::new(),
            extra_settings: extra_settings.to_owned(),
        }
    }

    pub fn settings_text(&self, name: &str) -> String {
        settings_text(
            name,
            self.log.addr(),
            self.list.addr(),
            &self.extra_settings,
        )
    }

    pub async fn add_instance(&mut self, name: &str) {
        let settings = Settings::parse(&self.settings_text(name)).unwrap();
        let instance = Instance::start(settings).await.unwrap();
        self.list.put(Listed {
            name: name.to_owned(),
            role: ListedRole::Entry,
            zone: ZONE.into(),
            addr: instance.addresses().peer,
            state: ListedState::Live,
        });
        self.instances.push(instance);
    }

    pub fn caller(&self) -> SocketAddr {
        self.instances[0].addresses().caller
    }

    pub fn admin(&self) -> SocketAddr {
        self.instances[0].addresses().admin
    }

    pub fn intent(&self) -> Value {
        let backend = |(index, server): (usize, &BackendServer)| {
            let (name, _) = KINDS[index / 2];
            json!({ "name": format!("{name}-{}", index % 2), "pool": name, "zone": ZONE,
                "addr": server.addr(), "slots": 8 })
        };
        let backends: Vec<_> = self.backends.iter().enumerate().map(backend).collect();
        intent(&backends)
    }

    pub async fn confirm(&self, intent: &Value) -> Confirmation {
        confirm(self.admin(), intent).await
    }

    pub async fn wait_ready(&self) {
        for instance in &self.instances {
            wait_until("ready", || instance.is_ready()).await;
        }
    }

    /// Sends a request to pipeline `quote` and reads the complete answer.
    pub async fn request_quote(&self, input: &Value) -> (StatusCode, Answer) {
        let response = submit(self.caller(), "quote", input, &[]).await;
        read_answer(response).await
    }
}

pub fn settings_text(name: &str, log: SocketAddr, list: SocketAddr, extra: &str) -> String {
    let credential = sha256(OPERATOR_CREDENTIAL);
    let log_level = match extra.contains("log:") {
        true => "",
        false => "log: {level: error}",
    };
    format!(
        "instance: {name}\nzone: {ZONE}\nregion: nl-midden\n\
         listen: {{caller: '127.0.0.1:0', peer: '127.0.0.1:0', admin: '127.0.0.1:0'}}\n\
         platform: {{log: '{log}', list: '{list}'}}\n\
         admin: {{credential_sha256: {credential}}}\n{log_level}\n\
         {extra}\n"
    )
}

pub fn intent(backends: &[Value]) -> Value {
    let pool = |(name, _): &(&str, StageKind)| json!({ "name": name, "kind": name, "price_micros_per_s": 1000 });
    let stage = |(name, kind): &(&str, StageKind)| match kind {
        StageKind::Generate => {
            json!({ "name": name, "pool": name, "model": "chat", "max_tokens": MAX_TOKENS })
        }
        _ => json!({ "name": name, "pool": name }),
    };
    let stages: Vec<_> = KINDS.iter().map(stage).collect();
    let mut non_idempotent_stages = stages.clone();
    non_idempotent_stages[0]["idempotent"] = json!(false);
    let workspace = |name: &str, pipelines: &[&str]| {
        json!({ "name": name, "credential_sha256": sha256(&credential(name)),
            "pipelines": pipelines, "weight": 1, "quota_per_s": 1000 })
    };
    json!({
        "pools": KINDS.iter().map(pool).collect::<Vec<_>>(),
        "backends": backends,
        "models": [{ "name": "chat", "pool": "generate", "size_mb": 1000, "min_replicas": 1 }],
        "pipelines": [
            { "name": "quote", "deadline_ms": 5000, "stages": stages },
            { "name": "hold", "deadline_ms": 5000, "stages": non_idempotent_stages },
        ],
        "workspaces": [workspace("vakwerk", &["quote", "hold"]), workspace("taalghar", &["hold"])],
    })
}

pub fn expected(input: &Value) -> Value {
    let step = |(_, kind): &(&str, StageKind)| match kind {
        StageKind::Generate => Step {
            kind: *kind,
            max_tokens: MAX_TOKENS,
        },
        _ => Step::from(*kind),
    };
    let steps: Vec<_> = KINDS.iter().map(step).collect();
    expected_output(&steps, input)
}

pub fn credential(workspace: &str) -> String {
    format!("{workspace}-secret")
}

pub fn sha256(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}

/// Sends a request of workspace `vakwerk` with additional headers.
pub async fn submit(
    addr: SocketAddr,
    pipeline: &str,
    input: &Value,
    headers: &[(&str, &str)],
) -> Response<Incoming> {
    submit_over(Version::Http1, addr, pipeline, input, headers).await
}

pub async fn submit_over(
    version: Version,
    addr: SocketAddr,
    pipeline: &str,
    input: &Value,
    headers: &[(&str, &str)],
) -> Response<Incoming> {
    let path = format!("/v1/pipelines/{pipeline}/requests");
    let body = json!({ "input": input }).to_string();
    let bearer = format!("Bearer {}", credential("vakwerk"));
    let mut all_headers = vec![
        ("x-workspace", "vakwerk"),
        ("authorization", bearer.as_str()),
    ];
    all_headers.extend_from_slice(headers);
    send(version, addr, Method::POST, &path, &body, &all_headers).await
}

/// Sends a request; a later header replaces an earlier one of the same name.
pub async fn send(
    version: Version,
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
    headers: &[(&str, &str)],
) -> Response<Incoming> {
    let mut request = client::request(addr, method, path, body.to_owned()).unwrap();
    for (name, value) in headers {
        let name: header::HeaderName = name.parse().unwrap();
        request.headers_mut().insert(name, value.parse().unwrap());
    }
    let exchange = async {
        let mut connection = Connection::open(addr, version).await.unwrap();
        connection.send(request).await.unwrap()
    };
    time::timeout(TIMEOUT, exchange).await.unwrap()
}

pub async fn read_body(response: Response<Incoming>) -> Bytes {
    let body = time::timeout(TIMEOUT, response.into_body().collect()).await;
    body.unwrap().unwrap().to_bytes()
}

pub async fn read_answer(response: Response<Incoming>) -> (StatusCode, Answer) {
    let status = response.status();
    let body = read_body(response).await;
    (status, serde_json::from_slice(&body).unwrap())
}

/// Sends a request to the operators' interface.
pub async fn send_as_operator(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: &Value,
) -> (StatusCode, Value) {
    let bearer = format!("Bearer {OPERATOR_CREDENTIAL}");
    let headers = [("authorization", bearer.as_str()), ("x-operator", "anna")];
    let response = send(
        Version::Http1,
        addr,
        method,
        path,
        &body.to_string(),
        &headers,
    )
    .await;
    let status = response.status();
    let body = read_body(response).await;
    (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

pub async fn plan(admin: SocketAddr, intent: &Value) -> Plan {
    let (status, plan) = send_as_operator(admin, Method::POST, "/admin/v1/plans", intent).await;
    assert_eq!(status, StatusCode::OK, "{plan}");
    serde_json::from_value(plan).unwrap()
}

pub async fn confirm(admin: SocketAddr, intent: &Value) -> Confirmation {
    let plan = json!(plan(admin, intent).await);
    let (status, confirmation) =
        send_as_operator(admin, Method::POST, "/admin/v1/confirmations", &plan).await;
    assert_eq!(status, StatusCode::OK, "{confirmation}");
    serde_json::from_value(confirmation).unwrap()
}

pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let poll = async {
        while !condition() {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    let result = time::timeout(TIMEOUT, poll).await;
    assert!(result.is_ok(), "waited for: {what}");
}

/// Requests a ticket for workspace `vakwerk`.
pub async fn request_ticket(caller: SocketAddr) -> String {
    let bearer = format!("Bearer {}", credential("vakwerk"));
    let headers = [("x-workspace", "vakwerk"), ("authorization", &*bearer)];
    let path = "/v1/tickets";
    let response = send(Version::Http1, caller, Method::POST, path, "", &headers).await;
    assert_eq!(response.status(), StatusCode::CREATED);
    let body = read_body(response).await;
    serde_json::from_slice::<Ticket>(&body).unwrap().ticket
}
