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
    connections::{ConnectionSettings, Connections, MAX_HEAD_BYTES, SendError},
    settings::Platform,
};

/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 32 << 20;
/// Maximum number of records in one read: this many records of the maximum size, in
/// base64, fit in one response.
const MAX_RECORDS_PER_READ: u32 = 20;
/// Maximum number of idle connections to the platform.
const MAX_IDLE: usize = 4;

quick_error! {
    /// Why a request to the platform failed.
    #[derive(Debug)]
    pub enum PlatformError {
        /// The platform was unreachable; nothing took effect.
        NotSent(reason: String) {
            display("not reached: {reason}")
        }
        /// The request was sent and its response was lost; it may have taken effect.
        Unanswered(reason: String) {
            display("no answer: {reason}")
        }
        /// The response has an error status.
        Refused(status: StatusCode) {
            display("refused with {status}")
        }
        /// The requested offset has been trimmed.
        Trimmed(first: Offset) {
            display("the first record kept is {first}")
        }
        /// The response is invalid.
        Malformed(reason: String) {
            display("malformed answer: {reason}")
        }
    }
}

/// Result of a request to the platform.
pub(crate) type Result<T> = std::result::Result<T, PlatformError>;

impl From<SendError> for PlatformError {
    fn from(err: SendError) -> Self {
        match err {
            SendError::NotSent(reason) => Self::NotSent(reason),
            SendError::Sent(reason) => Self::Unanswered(reason),
        }
    }
}

/// Client of the platform with its own connection pool.
#[derive(Clone, Debug)]
pub(crate) struct PlatformClient {
    settings: Platform,
    connections: Arc<Connections>,
}

impl PlatformClient {
    /// Creates a client of the services in `settings`.
    pub(crate) fn new(settings: Platform) -> Self {
        let connections = Connections::new(ConnectionSettings {
            connect_timeout: Duration::from_millis(settings.timeout_ms),
            max_idle: MAX_IDLE,
            idle_timeout: Duration::from_millis(settings.wait_ms + settings.timeout_ms),
            max_response_bytes: (MAX_HEAD_BYTES + MAX_RESPONSE_BYTES) as u64,
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
    /// After [`PlatformError::Unanswered`], [`PlatformError::Malformed`] or a status from
    /// an intermediary, the record may be on the log.
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

    /// Reads `stream` starting at `from`, waiting up to `wait_ms` for a record.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Trimmed`] if `from` has been trimmed.
    pub(crate) async fn read(&self, stream: &str, from: Offset, wait_ms: u64) -> Result<Records> {
        let path = format!(
            "/v1/streams/{stream}/records?from={from}&limit={MAX_RECORDS_PER_READ}&wait_ms={wait_ms}"
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
    /// Fails if the list can't be fetched.
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

    /// Returns how long a read of the log waits for a record, in ms.
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
        let response = connections
            .exchange(addr, request, timeout, MAX_RESPONSE_BYTES)
            .await?;
        Ok((response.status(), response.into_body()))
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
    // Paths consist of names and numbers, which are valid in a URI.
    *request.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = addr.to_string().parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|err| PlatformError::Malformed(err.to_string()))
}
