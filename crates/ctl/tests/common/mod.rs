//! Runs the `savoryvanectl` binary against fake instances of the operators' interface.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    fs,
    io::Write,
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;

pub const CREDENTIAL: &str = "operator-secret-42";

/// Reaction of a fake instance to a request.
pub enum Reply {
    /// Responds with a status and JSON.
    Json(u16, Value),
    /// Responds with status 200 and this text.
    Raw(&'static str),
    /// Closes the connection without a response.
    Disconnect,
}

/// A request that a fake instance received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub line: String,
    pub authorization: String,
    pub operator: String,
    pub body: Value,
}

/// A fake instance whose responses come from a closure.
pub struct FakeInstance {
    pub addr: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl FakeInstance {
    /// Starts a fake instance; `respond` gets the request line and the number of earlier
    /// requests with the same line.
    pub fn start(respond: impl Fn(&str, usize) -> Reply + Send + Sync + 'static) -> Self {
        let received = Arc::new(Mutex::new(Vec::new()));
        let (respond, log) = (Arc::new(respond), Arc::clone(&received));
        let (addr_out, addr_in) = std::sync::mpsc::channel();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                addr_out.send(listener.local_addr().unwrap()).unwrap();
                while let Ok((stream, _)) = listener.accept().await {
                    let (respond, log) = (Arc::clone(&respond), Arc::clone(&log));
                    let service = service_fn(move |request| {
                        let (respond, log) = (Arc::clone(&respond), Arc::clone(&log));
                        async move { handle(request, &*respond, &log).await }
                    });
                    let io = TokioIo::new(stream);
                    tokio::spawn(http1::Builder::new().serve_connection(io, service));
                }
            });
        });
        let addr = addr_in.recv().unwrap();
        Self { addr, received }
    }

    /// Starts a fake instance that responds to each request line in `responses` with its JSON.
    pub fn with(responses: &[(&'static str, Value)]) -> Self {
        let responses = responses.to_vec();
        Self::start(move |line, _| {
            let known = responses.iter().find(|(known, _)| *known == line);
            known.map_or_else(
                || error(404, "no such path", "see the docs"),
                |(_, body)| Reply::Json(200, body.clone()),
            )
        })
    }

    /// Returns the requests received so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap().clone()
    }
}

async fn handle(
    request: Request<Incoming>,
    respond: &(dyn Fn(&str, usize) -> Reply + Send + Sync),
    log: &Mutex<Vec<ReceivedRequest>>,
) -> Result<Response<Full<Bytes>>, Box<dyn std::error::Error + Send + Sync>> {
    let header = |name: &str| {
        let value = request.headers().get(name);
        value.map_or(String::new(), |v| v.to_str().unwrap().to_owned())
    };
    let line = format!("{} {}", request.method(), request.uri());
    let (authorization, operator) = (header("authorization"), header("x-operator"));
    let body = request.into_body().collect().await?.to_bytes();
    let body = serde_json::from_slice(&body).unwrap_or_default();
    let previous_count = {
        let mut log = log.lock().unwrap();
        let previous_count = log.iter().filter(|received| received.line == line).count();
        log.push(ReceivedRequest {
            line: line.clone(),
            authorization,
            operator,
            body,
        });
        previous_count
    };
    match respond(&line, previous_count) {
        Reply::Json(status, body) => Ok(Response::builder()
            .status(StatusCode::from_u16(status)?)
            .body(body.to_string().into())?),
        Reply::Raw(text) => Ok(Response::new(text.into())),
        Reply::Disconnect => Err("cut".into()),
    }
}

/// Returns an error response of the interface.
pub fn error(status: u16, error: &str, next_step: &str) -> Reply {
    Reply::Json(status, json!({"error": error, "next_step": next_step}))
}

/// Returns an address on which nothing listens.
pub fn unused_addr() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Exit code and output of a run of the binary.
#[derive(Debug)]
pub struct RunResult {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl RunResult {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap()
    }
}

/// A temporary directory, removed on drop.
pub struct TestDir(PathBuf);

impl TestDir {
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("savoryvanectl-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path).unwrap();
        let dir = Self(path);
        dir.file("credential", &format!("{CREDENTIAL}\n"));
        dir
    }

    pub fn path(&self, name: &str) -> String {
        self.0.join(name).to_str().unwrap().to_owned()
    }

    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.path(name);
        fs::write(&path, text).unwrap();
        path
    }

    pub fn read(&self, name: &str) -> String {
        fs::read_to_string(self.path(name)).unwrap()
    }

    /// Runs the binary with the credential against `admins`.
    pub fn ctl(&self, admins: &[SocketAddr], args: &[&str]) -> RunResult {
        let admins: Vec<_> = admins.iter().map(|addr| addr.to_string()).collect();
        let (admins, credential) = (admins.join(","), self.path("credential"));
        let mut all = vec!["--admin", &admins, "--credential-file", &credential];
        all.extend(args);
        run(&all)
    }
}

impl Drop for TestDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Runs the binary without a terminal and without settings in the environment.
pub fn run(args: &[&str]) -> RunResult {
    run_with_env(args, &[])
}

/// Runs the binary with environment variables.
pub fn run_with_env(args: &[&str], variables: &[(&str, &str)]) -> RunResult {
    let output = Command::new(env!("CARGO_BIN_EXE_savoryvanectl"))
        .args(args)
        .env_remove("SAVORYVANE_ADMIN")
        .envs(variables.iter().copied())
        .stdin(Stdio::null())
        .output()
        .unwrap();
    let result = RunResult {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    };
    assert!(!result.err.contains("panicked"), "{result:?}");
    result
}

/// Runs the binary with `input` on its standard input.
pub fn run_with_input(args: &[&str], input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_savoryvanectl"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let mut stdin = child.stdin.take().expect("stdin is piped");
    stdin.write_all(input).expect("the binary reads its input");
    drop(stdin);
    child.wait_with_output().expect("the binary exits")
}

/// Returns a plan with one change.
pub fn plan() -> Value {
    let key = json!({"kind": "pool", "name": "engine"});
    json!({
        "change": {"id": "c1", "base": 7, "operator": "anna", "ops": [{"delete": key}]},
        "summary": ["remove pool \"engine\""],
        "moves": [],
        "warnings": ["pool \"engine\" has work"],
    })
}

/// Returns the reach of the change of [`plan`].
pub fn reach(in_force: u32, missing: &[&str]) -> Value {
    json!({"offset": 7, "in_force": in_force, "listed": 3, "missing": missing})
}

/// Returns the status of an instance.
pub fn status(instance: &str, incarnation: u64) -> Value {
    json!({
        "instance": instance, "incarnation": incarnation, "zone": "hal-gouda", "ready": true,
        "leaving": false, "config_next": 8, "config_age_ms": 12, "in_flight": 3,
    })
}
