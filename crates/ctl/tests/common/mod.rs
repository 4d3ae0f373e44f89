//! Runs the real binary against small fakes of the operators' interface.

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

/// What a fake does with a request.
pub enum Reply {
    /// Answers with a status and JSON.
    Json(u16, Value),
    /// Answers 200 with these bytes.
    Raw(&'static str),
    /// Closes the connection without an answer.
    Cut,
}

/// A request as a fake received it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub line: String,
    pub authorization: String,
    pub operator: String,
    pub body: Value,
}

/// A fake instance that answers as its closure says.
pub struct Fake {
    pub addr: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Fake {
    /// Starts a fake; `answer` gets the request line and how many requests with
    /// the same line came before.
    pub fn start(answer: impl Fn(&str, usize) -> Reply + Send + Sync + 'static) -> Self {
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (answer, log) = (Arc::new(answer), Arc::clone(&seen));
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
                    let (answer, log) = (Arc::clone(&answer), Arc::clone(&log));
                    let service = service_fn(move |request| {
                        let (answer, log) = (Arc::clone(&answer), Arc::clone(&log));
                        async move { handle(request, &*answer, &log).await }
                    });
                    let io = TokioIo::new(stream);
                    tokio::spawn(http1::Builder::new().serve_connection(io, service));
                }
            });
        });
        let addr = addr_in.recv().unwrap();
        Self { addr, seen }
    }

    /// Starts a fake that gives each request line of `answers` its JSON.
    pub fn with(answers: &[(&'static str, Value)]) -> Self {
        let answers = answers.to_vec();
        Self::start(move |line, _| {
            let known = answers.iter().find(|(known, _)| *known == line);
            known.map_or_else(
                || error(404, "no such path", "see the docs"),
                |(_, body)| Reply::Json(200, body.clone()),
            )
        })
    }

    /// Requests received so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }
}

async fn handle(
    request: Request<Incoming>,
    answer: &(dyn Fn(&str, usize) -> Reply + Send + Sync),
    log: &Mutex<Vec<Seen>>,
) -> Result<Response<Full<Bytes>>, Box<dyn std::error::Error + Send + Sync>> {
    let header = |name: &str| {
        let value = request.headers().get(name);
        value.map_or(String::new(), |v| v.to_str().unwrap().to_owned())
    };
    let line = format!("{} {}", request.method(), request.uri());
    let (authorization, operator) = (header("authorization"), header("x-operator"));
    let body = request.into_body().collect().await?.to_bytes();
    let body = serde_json::from_slice(&body).unwrap_or_default();
    let before = {
        let mut log = log.lock().unwrap();
        let before = log.iter().filter(|seen| seen.line == line).count();
        log.push(Seen {
            line: line.clone(),
            authorization,
            operator,
            body,
        });
        before
    };
    match answer(&line, before) {
        Reply::Json(status, body) => Ok(Response::builder()
            .status(StatusCode::from_u16(status)?)
            .body(body.to_string().into())?),
        Reply::Raw(text) => Ok(Response::new(text.into())),
        Reply::Cut => Err("cut".into()),
    }
}

/// An error as the interface answers it.
pub fn error(status: u16, error: &str, next_step: &str) -> Reply {
    Reply::Json(status, json!({"error": error, "next_step": next_step}))
}

/// An address on which nothing listens.
pub fn dead_addr() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// What a run of the binary left.
#[derive(Debug)]
pub struct Ran {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl Ran {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap()
    }
}

/// A directory of its own for each test, removed with it.
pub struct Dir(PathBuf);

impl Dir {
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
    pub fn ctl(&self, admins: &[SocketAddr], args: &[&str]) -> Ran {
        let admins: Vec<_> = admins.iter().map(|addr| addr.to_string()).collect();
        let (admins, credential) = (admins.join(","), self.path("credential"));
        let mut all = vec!["--admin", &admins, "--credential-file", &credential];
        all.extend(args);
        run(&all)
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Runs the binary without a terminal or settings from the environment.
pub fn run(args: &[&str]) -> Ran {
    run_with(args, &[])
}

/// Runs the binary with variables of the environment.
pub fn run_with(args: &[&str], variables: &[(&str, &str)]) -> Ran {
    let done = Command::new(env!("CARGO_BIN_EXE_savoryvanectl"))
        .args(args)
        .env_remove("SAVORYVANE_ADMIN")
        .envs(variables.iter().copied())
        .stdin(Stdio::null())
        .output()
        .unwrap();
    let ran = Ran {
        code: done.status.code().unwrap(),
        out: String::from_utf8(done.stdout).unwrap(),
        err: String::from_utf8(done.stderr).unwrap(),
    };
    assert!(!ran.err.contains("panicked"), "{ran:?}");
    ran
}

/// Runs the binary with `input` on its standard input.
pub fn run_on(args: &[&str], input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_savoryvanectl"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program");
    let mut lines = child.stdin.take().expect("its input");
    lines.write_all(input).expect("lines");
    drop(lines);
    child.wait_with_output().expect("its end")
}

/// A plan with one step.
pub fn plan() -> Value {
    let key = json!({"kind": "pool", "name": "engine"});
    json!({
        "change": {"id": "c1", "base": 7, "operator": "anna", "ops": [{"delete": key}]},
        "summary": ["remove pool \"engine\""],
        "moves": [],
        "warnings": ["pool \"engine\" has work"],
    })
}

/// How far the change of [`plan`] has come.
pub fn reach(in_force: u32, missing: &[&str]) -> Value {
    json!({"offset": 7, "in_force": in_force, "listed": 3, "missing": missing})
}

/// Status of an instance.
pub fn status(instance: &str, incarnation: u64) -> Value {
    json!({
        "instance": instance, "incarnation": incarnation, "zone": "hal-gouda", "ready": true,
        "leaving": false, "config_next": 8, "config_age_ms": 12, "in_flight": 3,
    })
}
