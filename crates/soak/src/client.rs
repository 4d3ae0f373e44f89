//! HTTP/1.1 client of the callers, with persistent connections and responses that may be
//! truncated.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time};

/// Timeout of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection to one instance.
pub(crate) type Connection = SendRequest<Full<Bytes>>;

/// A received response.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// The part of the body that was received.
    pub(crate) body: Vec<u8>,
    /// Whether the body was received up to its regular end.
    pub(crate) is_complete: bool,
}

impl Response {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Reason why no response was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoResponse {
    /// The request was not sent, because there was no usable connection.
    NotSent,
    /// The connection closed before the response started.
    Closed,
    /// The caller's deadline passed.
    TimedOut,
}

/// Connects to an instance.
pub(crate) async fn connect(addr: SocketAddr) -> Result<Connection, NoResponse> {
    let tcp_connect = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    let Ok(Ok(stream)) = tcp_connect.await else {
        return Err(NoResponse::NotSent);
    };
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| NoResponse::NotSent)?;
    // A connection error is reported by the exchange that it interrupts.
    tokio::spawn(connection);
    Ok(sender)
}

/// Sends a request and reads its response until `deadline`.
pub(crate) async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    deadline: time::Instant,
) -> Result<Response, NoResponse> {
    exchange_until(connection, request, deadline, |_| false).await
}

/// Sends a request and reads its response until `deadline`, or until `is_enough` of the body.
pub(crate) async fn exchange_until(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    deadline: time::Instant,
    is_enough: impl Fn(&[u8]) -> bool,
) -> Result<Response, NoResponse> {
    let sending = time::timeout_at(deadline, connection.send_request(request)).await;
    let response = match sending {
        Ok(Ok(response)) => response,
        Ok(Err(err)) if err.is_canceled() => return Err(NoResponse::NotSent),
        Ok(Err(_)) => return Err(NoResponse::Closed),
        Err(_) => return Err(NoResponse::TimedOut),
    };
    let (parts, mut incoming) = response.into_parts();
    let mut body = Vec::new();
    let is_complete = loop {
        match time::timeout_at(deadline, incoming.frame()).await {
            Ok(Some(Ok(frame))) => {
                body.extend(frame.into_data().unwrap_or_default());
                if is_enough(&body) {
                    break false;
                }
            }
            Ok(Some(Err(_))) | Err(_) => break false,
            Ok(None) => break true,
        }
    };
    Ok(Response {
        status: parts.status,
        headers: parts.headers,
        body,
        is_complete,
    })
}
