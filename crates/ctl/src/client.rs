//! One HTTP exchange with one instance.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderName, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::{net::TcpStream, task::JoinHandle, time};

use crate::settings::Settings;

/// Largest accepted response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Media type of every body.
const JSON: &str = "application/json";

quick_error! {
    /// Why an exchange has no response.
    #[derive(Debug)]
    pub enum ExchangeError {
        /// The request was not sent.
        NotSent(reason: String) {
            display("{reason}")
        }
        /// The request was sent, but no response arrived.
        Unanswered(reason: String) {
            display("{reason}")
        }
    }
}

/// A request to the operators' interface.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) header: Option<(HeaderName, String)>,
    pub(crate) body: Bytes,
}

impl Call {
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            header: None,
            body: Bytes::new(),
        }
    }

    pub(crate) fn post(path: impl Into<String>, body: Vec<u8>) -> Self {
        Self {
            method: Method::POST,
            path: path.into(),
            header: None,
            body: body.into(),
        }
    }
}

/// A response of any status.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

/// Sends `call` to `addr` and waits for the whole response.
pub(crate) async fn exchange(
    settings: &Settings,
    addr: SocketAddr,
    call: &Call,
) -> Result<Response, ExchangeError> {
    let deadline = time::Instant::now() + settings.timeout();
    let timed_out = || format!("no answer within {} ms", settings.timeout_ms);
    let stream = match time::timeout_at(deadline, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(err)) => return Err(ExchangeError::NotSent(err.to_string())),
        Err(_) => return Err(ExchangeError::NotSent(timed_out())),
    };
    let request = request(settings, addr, call)?;
    match time::timeout_at(deadline, send(stream, request)).await {
        Ok(result) => result.map_err(ExchangeError::Unanswered),
        Err(_) => Err(ExchangeError::Unanswered(timed_out())),
    }
}

fn request(
    settings: &Settings,
    addr: SocketAddr,
    call: &Call,
) -> Result<Request<Full<Bytes>>, ExchangeError> {
    let authorization = format!("Bearer {}", settings.credential.as_str());
    let mut builder = Request::builder()
        .method(&call.method)
        .uri(&call.path)
        .header(header::HOST, addr.to_string())
        .header(header::AUTHORIZATION, authorization)
        .header(header::ACCEPT, JSON);
    if let Some((name, value)) = &call.header {
        builder = builder.header(name, value);
    }
    if !call.body.is_empty() {
        builder = builder.header(header::CONTENT_TYPE, JSON);
    }
    builder
        .body(Full::new(call.body.clone()))
        .map_err(|err| ExchangeError::NotSent(err.to_string()))
}

async fn send(stream: TcpStream, request: Request<Full<Bytes>>) -> Result<Response, String> {
    let io = TokioIo::new(stream);
    let (mut sender, connection) = http1::handshake(io).await.map_err(|err| err.to_string())?;
    let _connection_task = ConnectionTask(tokio::spawn(async move {
        // The sender returns connection errors.
        let _ = connection.await;
    }));
    let response = sender.send_request(request).await.map_err(describe)?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let body = body.collect().await.map_err(|err| err.to_string())?;
    Ok(Response {
        status,
        body: body.to_bytes(),
    })
}

fn describe(err: hyper::Error) -> String {
    if err.is_incomplete_message() {
        "the connection was closed before an answer".to_owned()
    } else {
        err.to_string()
    }
}

/// Aborts the connection's task when the exchange ends or is cancelled.
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}
