//! A small HTTP client: one exchange on one connection.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{net::TcpStream, time};

use crate::{Error, Result, body};

/// Time that a whole exchange may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// HTTP version of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Version {
    /// HTTP/1.1.
    #[default]
    Http1,
    /// HTTP/2 with prior knowledge.
    Http2,
}

/// An open connection.
#[derive(Debug)]
pub enum Connection {
    /// Over HTTP/1.1.
    Http1(hyper::client::conn::http1::SendRequest<Full<Bytes>>),
    /// Over HTTP/2.
    Http2(hyper::client::conn::http2::SendRequest<Full<Bytes>>),
}

impl Connection {
    /// Connects to `addr`.
    ///
    /// # Errors
    ///
    /// Fails when the connection is refused or the handshake fails.
    pub async fn open(addr: SocketAddr, version: Version) -> Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let io = TokioIo::new(stream);
        // A failed connection shows at the exchange that it carries.
        match version {
            Version::Http1 => {
                let (sender, connection) = hyper::client::conn::http1::handshake(io).await?;
                tokio::spawn(connection);
                Ok(Self::Http1(sender))
            }
            Version::Http2 => {
                let executor = TokioExecutor::new();
                let (sender, connection) =
                    hyper::client::conn::http2::handshake(executor, io).await?;
                tokio::spawn(connection);
                Ok(Self::Http2(sender))
            }
        }
    }

    /// Sends one request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        let response = match self {
            Self::Http1(sender) => sender.send_request(request).await?,
            Self::Http2(sender) => sender.send_request(request).await?,
        };
        Ok(response)
    }
}

/// Builds a request with a body.
///
/// # Errors
///
/// Fails when `path` is not a path.
pub fn request(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>> {
    // HTTP/2 takes scheme and authority from the URI, HTTP/1.1 the Host header.
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .header(header::HOST, addr.to_string())
        .body(Full::new(body.into()))?;
    Ok(request)
}

/// Exchanges one request for a whole answer.
///
/// # Errors
///
/// Fails when the exchange fails or takes too long.
pub async fn exchange(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<(StatusCode, Bytes)> {
    send(addr, request(addr, method, path, body)?).await
}

/// Sends one request on a connection of its own and reads the whole answer.
///
/// # Errors
///
/// Fails when the exchange fails or takes too long.
pub async fn send(addr: SocketAddr, request: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes)> {
    let exchanged = async {
        let mut connection = Connection::open(addr, Version::Http1).await?;
        let response = connection.send(request).await?;
        let status = response.status();
        let bytes = body::read(response.into_body(), body::MAX_BODY_BYTES).await?;
        Ok((status, bytes))
    };
    time::timeout(EXCHANGE_TIMEOUT, exchanged)
        .await
        .map_err(|_| Error::Io(std::io::ErrorKind::TimedOut.into()))?
}

/// Fetches a JSON value.
///
/// # Errors
///
/// Fails when the exchange fails or the answer is not a success of that type.
pub async fn get_json<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> Result<T> {
    let (status, bytes) = exchange(addr, Method::GET, path, Bytes::new()).await?;
    expect_success(status, &bytes)?;
    Ok(serde_json::from_slice(&bytes)?)
}

/// Sends a JSON value and expects a success.
///
/// # Errors
///
/// Fails when the exchange fails or the answer is not a success.
pub async fn send_json(
    addr: SocketAddr,
    method: Method,
    path: &str,
    value: &impl Serialize,
) -> Result<Bytes> {
    let (status, bytes) = exchange(addr, method, path, serde_json::to_vec(value)?).await?;
    expect_success(status, &bytes)?;
    Ok(bytes)
}

fn expect_success(status: StatusCode, body: &Bytes) -> Result<()> {
    if status.is_success() {
        return Ok(());
    }
    Err(Error::Status(
        status,
        String::from_utf8_lossy(body).into_owned(),
    ))
}
