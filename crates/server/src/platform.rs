//! Client of the platform's log and its list of instances.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use quick_error::quick_error;
use savoryvane_core::ids::Offset;
use savoryvane_wire::platform::{Appended, Listing, Records, Trimmed};
use serde::de::DeserializeOwned;

use crate::{
    connections::{ConnectionSettings, Connections, SendError},
    settings::Platform,
};

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 32 << 20;
/// Records asked for in one read: as many of the log's largest, in base64, fit
/// one answer.
const READ_LIMIT: u32 = 20;
/// Idle connections kept to the platform.
const MAX_IDLE: usize = 4;

quick_error! {
    /// Why the platform did not do what it was asked.
    #[derive(Debug)]
    pub enum PlatformError {
        /// It was not reached; nothing took effect.
        NotSent(reason: String) {
            display("not reached: {reason}")
        }
        /// It was asked, and its answer was lost; it may have taken effect.
        Unanswered(reason: String) {
            display("no answer: {reason}")
        }
        /// It refused, and nothing took effect.
        Refused(status: StatusCode) {
            display("refused with {status}")
        }
        /// The offset asked for is no longer kept.
        Trimmed(first: Offset) {
            display("the first record kept is {first}")
        }
        /// Its answer makes no sense.
        Malformed(reason: String) {
            display("malformed answer: {reason}")
        }
    }
}

/// Result of a call of the platform.
pub(crate) type Result<T> = std::result::Result<T, PlatformError>;

impl From<SendError> for PlatformError {
    fn from(err: SendError) -> Self {
        match err {
            SendError::NotSent(reason) => Self::NotSent(reason),
            SendError::Sent(reason) => Self::Unanswered(reason),
        }
    }
}

/// Talks to the platform over connections of its own.
#[derive(Clone, Debug)]
pub(crate) struct PlatformClient {
    settings: Platform,
    connections: Arc<Connections>,
}

impl PlatformClient {
    /// Creates a client of the services that `settings` names.
    pub(crate) fn new(settings: Platform) -> Self {
        let connections = Connections::new(ConnectionSettings {
            connect_timeout: Duration::from_millis(settings.timeout_ms),
            max_idle: MAX_IDLE,
            idle_timeout: Duration::from_millis(settings.wait_ms + settings.timeout_ms),
        });
        Self {
            settings,
            connections,
        }
    }

    /// Appends `payload` to `stream` and returns its offset.
    ///
    /// # Errors
    ///
    /// Only [`PlatformError::Unanswered`] and [`PlatformError::Malformed`]
    /// leave it open whether the record is on the log.
    pub(crate) async fn append(&self, stream: &str, payload: Bytes) -> Result<Offset> {
        let path = format!("/v1/streams/{stream}/records");
        let request = request(Method::POST, self.settings.log, &path, payload);
        let timeout = Duration::from_millis(self.settings.timeout_ms);
        let (status, body) = self.exchange(self.settings.log, request, timeout).await?;
        match status {
            StatusCode::OK => Ok(decode::<Appended>(&body)?.offset),
            status => Err(PlatformError::Refused(status)),
        }
    }

    /// Reads `stream` from `from` on, waiting up to `wait_ms` for a record.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Trimmed`] when `from` is no longer kept.
    pub(crate) async fn read(&self, stream: &str, from: Offset, wait_ms: u64) -> Result<Records> {
        let path = format!(
            "/v1/streams/{stream}/records?from={from}&limit={READ_LIMIT}&wait_ms={wait_ms}"
        );
        let request = request(Method::GET, self.settings.log, &path, Bytes::new());
        let timeout = Duration::from_millis(wait_ms + self.settings.timeout_ms);
        let (status, body) = self.exchange(self.settings.log, request, timeout).await?;
        match status {
            StatusCode::OK => decode(&body),
            StatusCode::GONE => Err(PlatformError::Trimmed(decode::<Trimmed>(&body)?.first)),
            status => Err(PlatformError::Refused(status)),
        }
    }

    /// Reads the list of instances and backend servers.
    ///
    /// # Errors
    ///
    /// Returns an error when the list can't be had.
    pub(crate) async fn listing(&self) -> Result<Listing> {
        let request = request(
            Method::GET,
            self.settings.list,
            "/v1/instances",
            Bytes::new(),
        );
        let timeout = Duration::from_millis(self.settings.timeout_ms);
        let (status, body) = self.exchange(self.settings.list, request, timeout).await?;
        match status {
            StatusCode::OK => decode(&body),
            status => Err(PlatformError::Refused(status)),
        }
    }

    /// Returns how long one read of the log waits for a record, in ms.
    pub(crate) fn wait_ms(&self) -> u64 {
        self.settings.wait_ms
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes)> {
        let connections = &self.connections;
        let answer = connections
            .exchange(addr, request, timeout, MAX_ANSWER_BYTES)
            .await?;
        Ok((answer.status(), answer.into_body()))
    }
}

/// Builds a request to `addr`.
pub(crate) fn request(
    method: Method,
    addr: SocketAddr,
    path: &str,
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    // Paths are made of names and numbers, which are valid in a URI.
    *request.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = addr.to_string().parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|err| PlatformError::Malformed(err.to_string()))
}
