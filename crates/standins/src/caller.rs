//! A caller that sends requests and checks every answer that it gets.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::Full;
use savoryvane_core::{objects::StageKind, outcome::Outcome};
use savoryvane_wire::caller::{self, Answer, AnswerEvent, Submission, Ticket};
use serde_json::Value;
use tokio::{
    sync::Mutex,
    time::{self, Instant},
};

use crate::{
    Error, Result,
    body::{self, MAX_BODY_BYTES},
    client::{self, Connection, Version},
    clock::elapsed_us,
    work::{Step, expected_output},
};

/// Time beyond the deadline after which a caller gives up.
const GRACE: Duration = Duration::from_secs(5);

/// Path of the tickets.
const TICKETS_PATH: &str = "/v1/tickets";

/// Type of a streamed answer.
const NDJSON: &str = "application/x-ndjson";

/// Whom a caller asks for what.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Balancer or callers' listener of an entry instance.
    pub addr: SocketAddr,
    /// HTTP version; over HTTP/1.1 each request has a connection of its own.
    pub version: Version,
    /// Workspace.
    pub workspace: String,
    /// Credential of the workspace.
    pub credential: String,
    /// Pipeline.
    pub pipeline: String,
    /// Stages of the pipeline, as the expected output depends on them.
    pub steps: Vec<Step>,
    /// Time given to each request, in ms.
    pub deadline_ms: u64,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Request id.
    pub request_id: String,
    /// Input of the pipeline.
    pub input: Value,
    /// Whether the answer is to be streamed.
    pub streamed: bool,
    /// What keeps the request from running twice.
    pub warrant: Warrant,
}

/// What keeps a request from running twice.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Warrant {
    /// Nothing; it is safe to repeat.
    #[default]
    None,
    /// An idempotency key.
    Key(String),
    /// A ticket, which the caller asks for first.
    Ticket,
}

/// What a caller makes of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The whole answer, and the right one.
    Right,
    /// An outcome other than `complete`.
    Refused(Outcome),
    /// An answer that is wrong, with what is wrong about it.
    Wrong(String),
    /// No whole answer, with the reason.
    NoAnswer(String),
}

/// A request with its answer.
#[derive(Clone, Debug)]
pub struct Asked {
    /// What the caller makes of it.
    pub verdict: Verdict,
    /// The answer, if there was a whole one.
    pub answer: Option<Answer>,
    /// Entry instance that answered.
    pub instance: Option<String>,
    /// Tokens that were streamed.
    pub tokens: usize,
    /// Time from the request to the end of its answer, in µs.
    pub latency_us: u64,
}

/// A caller with its connections.
#[derive(Debug)]
pub struct Caller {
    settings: CallerSettings,
    shared: Mutex<Option<Connection>>,
}

/// An answer as it came, before it is checked.
struct Received {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Caller {
    /// Makes a caller; it connects when it first asks.
    pub fn new(settings: CallerSettings) -> Self {
        Self {
            settings,
            shared: Mutex::new(None),
        }
    }

    /// Returns its settings.
    pub fn settings(&self) -> &CallerSettings {
        &self.settings
    }

    /// Sends one request and checks its answer.
    pub async fn ask(&self, ask: &Ask) -> Asked {
        let started = Instant::now();
        let timeout = Duration::from_millis(self.settings.deadline_ms) + GRACE;
        let received = match time::timeout(timeout, self.exchange(ask)).await {
            Ok(received) => received,
            Err(_) => Err(Error::Io(std::io::ErrorKind::TimedOut.into())),
        };
        let latency_us = elapsed_us(started);
        let mut asked = match received {
            Ok(received) => self.check(ask, &received),
            Err(err) => without_answer(err.to_string()),
        };
        asked.latency_us = latency_us;
        asked
    }

    async fn exchange(&self, ask: &Ask) -> Result<Received> {
        let mut request = self.request(ask)?;
        match &ask.warrant {
            Warrant::None => {}
            Warrant::Key(key) => put(&mut request, caller::IDEMPOTENCY_KEY, key)?,
            Warrant::Ticket => put(&mut request, caller::TICKET, &self.ticket().await?)?,
        }
        self.send(request).await
    }

    async fn ticket(&self) -> Result<String> {
        let mut request = client::request(self.settings.addr, Method::POST, TICKETS_PATH, "")?;
        self.put_credential(&mut request)?;
        let received = self.send(request).await?;
        if received.status != StatusCode::CREATED {
            let body = String::from_utf8_lossy(&received.body).into_owned();
            return Err(Error::Status(received.status, body));
        }
        let ticket: Ticket = serde_json::from_slice(&received.body)?;
        Ok(ticket.ticket)
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Received> {
        let mut connection = self.connection().await?;
        let response = connection.send(request).await?;
        let (head, body) = response.into_parts();
        Ok(Received {
            status: head.status,
            headers: head.headers,
            body: body::read(body, MAX_BODY_BYTES).await?,
        })
    }

    async fn connection(&self) -> Result<Connection> {
        let (addr, version) = (self.settings.addr, self.settings.version);
        if version == Version::Http1 {
            return Connection::open(addr, version).await;
        }
        let mut shared = self.shared.lock().await;
        if let Some(Connection::Http2(sender)) = &*shared
            && !sender.is_closed()
        {
            return Ok(Connection::Http2(sender.clone()));
        }
        let opened = Connection::open(addr, version).await?;
        if let Connection::Http2(sender) = &opened {
            *shared = Some(Connection::Http2(sender.clone()));
        }
        Ok(opened)
    }

    fn request(&self, ask: &Ask) -> Result<Request<Full<Bytes>>> {
        let settings = &self.settings;
        let body = serde_json::to_vec(&Submission {
            input: ask.input.clone(),
        })?;
        let path = format!("/v1/pipelines/{}/requests", settings.pipeline);
        let mut request = client::request(settings.addr, Method::POST, &path, body)?;
        let accept = if ask.streamed {
            NDJSON
        } else {
            "application/json"
        };
        put(&mut request, header::ACCEPT.as_str(), accept)?;
        put(
            &mut request,
            header::CONTENT_TYPE.as_str(),
            "application/json",
        )?;
        put(&mut request, caller::REQUEST_ID, &ask.request_id)?;
        let deadline_ms = settings.deadline_ms.to_string();
        put(&mut request, caller::DEADLINE_MS, &deadline_ms)?;
        self.put_credential(&mut request)?;
        Ok(request)
    }

    fn put_credential(&self, request: &mut Request<Full<Bytes>>) -> Result<()> {
        let bearer = format!("Bearer {}", self.settings.credential);
        put(request, caller::AUTHORIZATION, &bearer)?;
        put(request, caller::WORKSPACE, &self.settings.workspace)
    }

    fn check(&self, ask: &Ask, received: &Received) -> Asked {
        let read = if is_stream(&received.headers) {
            read_stream(&received.body)
        } else {
            read_whole(&received.body)
        };
        let (answer, tokens) = match read {
            Ok(read) => read,
            Err(reason) => return without_answer(format!("{}: {reason}", received.status)),
        };
        let verdict = self.judge(ask, received, &answer, &tokens);
        let instance = received.headers.get(caller::INSTANCE);
        Asked {
            verdict,
            answer: Some(answer),
            instance: instance.and_then(|name| name.to_str().ok().map(str::to_owned)),
            tokens: tokens.len(),
            latency_us: 0,
        }
    }

    fn judge(&self, ask: &Ask, received: &Received, answer: &Answer, tokens: &[String]) -> Verdict {
        if answer.request_id.as_str() != ask.request_id {
            return Verdict::Wrong(format!("answer to {}", answer.request_id));
        }
        let told = received.headers.get(caller::OUTCOME);
        if told.is_some_and(|told| told.as_bytes() != answer.outcome.as_str().as_bytes()) {
            return Verdict::Wrong("header and body differ in the outcome".to_owned());
        }
        if answer.outcome != Outcome::Complete {
            return Verdict::Refused(answer.outcome);
        }
        let expected = expected_output(&self.settings.steps, &ask.input);
        if answer.output.as_ref() != Some(&expected) {
            return Verdict::Wrong(format!("output differs from {expected}"));
        }
        let generates = |step: &Step| step.kind == StageKind::Generate;
        let must_stream = ask.streamed && self.settings.steps.last().is_some_and(generates);
        if must_stream && tokens.is_empty() {
            return Verdict::Wrong("no token was streamed".to_owned());
        }
        if !tokens.is_empty() && Value::String(tokens.concat()) != expected {
            return Verdict::Wrong("streamed tokens differ from the output".to_owned());
        }
        Verdict::Right
    }
}

fn without_answer(reason: String) -> Asked {
    Asked {
        verdict: Verdict::NoAnswer(reason),
        answer: None,
        instance: None,
        tokens: 0,
        latency_us: 0,
    }
}

fn put(request: &mut Request<Full<Bytes>>, name: &'static str, value: &str) -> Result<()> {
    let value = value.parse().map_err(http::Error::from)?;
    request
        .headers_mut()
        .insert(header::HeaderName::from_static(name), value);
    Ok(())
}

fn is_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(NDJSON.as_bytes()))
}

type Read = std::result::Result<(Answer, Vec<String>), String>;

fn read_whole(body: &[u8]) -> Read {
    let answer = serde_json::from_slice(body).map_err(|err| err.to_string())?;
    Ok((answer, Vec::new()))
}

fn read_stream(body: &[u8]) -> Read {
    let mut tokens = Vec::new();
    let mut lines = body.split(|byte| *byte == b'\n').filter(|l| !l.is_empty());
    while let Some(line) = lines.next() {
        match serde_json::from_slice(line).map_err(|err| err.to_string())? {
            AnswerEvent::Token { index, text } if index as usize == tokens.len() => {
                tokens.push(text);
            }
            AnswerEvent::Token { index, .. } => {
                return Err(format!("token {index} after {} tokens", tokens.len()));
            }
            AnswerEvent::Final(_) if lines.next().is_some() => {
                return Err("events after the final one".to_owned());
            }
            AnswerEvent::Final(answer) => return Ok((answer, tokens)),
        }
    }
    Err("stream without a final event".to_owned())
}
