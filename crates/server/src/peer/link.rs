//! One `h2` connection to one peer: established on demand, probed with PING, and
//! replaced once it no longer responds.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use h2::{Ping, PingPong, RecvStream, SendStream, client};
use http::{HeaderMap, Request, Response, StatusCode, header::HeaderValue};
use savoryvane_core::ids::{Incarnation, InstanceName};
use savoryvane_wire::peer::{
    FROM, FROM_INCARNATION, FrameReader, GOSSIP_PATH, Message, REQUEST_PATH, TO, TO_INCARNATION,
    WAIT_MS, encode,
};
use tokio::{
    net::TcpStream,
    sync::Mutex,
    time::{self, Instant},
};

use super::error::{PeerError, Result};
use crate::shared_stream::SharedStream;

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between the response to a PING and the next one.
const PING_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum time for the response to a PING.
const PING_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay after the first failure to connect; it doubles with each further one.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay after a failure to connect. A peer that is reachable again is
/// found within the second in which waiting requests can still meet their deadlines.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(400);
/// Flow-control window of a stream and of a connection.
pub(crate) const WINDOW_BYTES: u32 = 2 << 20;

/// Identifies one incarnation of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerId {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
}

/// Connection to one peer, established on demand.
#[derive(Debug)]
pub(crate) struct Link {
    me: PeerId,
    /// Expected instance; `None` accepts any instance at the address.
    peer: Option<InstanceName>,
    addr: SocketAddr,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    open: Option<OpenConnection>,
    failures: u32,
    not_before: Option<Instant>,
}

#[derive(Clone, Debug)]
struct OpenConnection {
    sender: client::SendRequest<Bytes>,
    is_unresponsive: Arc<AtomicBool>,
}

/// A stream of one-way messages to a peer.
#[derive(Debug)]
pub(crate) struct GossipStream {
    stream: SendStream<Bytes>,
    /// The peer that accepted the stream.
    pub(crate) peer: PeerId,
}

impl Link {
    /// Creates an unconnected link to `peer`.
    pub(crate) fn new(me: PeerId, peer: InstanceName, addr: SocketAddr) -> Self {
        Self {
            me,
            peer: Some(peer),
            addr,
            state: Mutex::default(),
        }
    }

    /// Creates an unconnected link to any instance at `addr`.
    pub(crate) fn to_any(me: PeerId, addr: SocketAddr) -> Self {
        Self {
            me,
            peer: None,
            addr,
            state: Mutex::default(),
        }
    }

    /// Returns the address of the peer.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request and waits for its response until `deadline`.
    ///
    /// # Errors
    ///
    /// After [`PeerError::NotSent`] and [`PeerError::Misdirected`], the peer has not
    /// processed the request; after any other error it may have.
    pub(crate) async fn request(
        &self,
        incarnation: Option<Incarnation>,
        message: &Message,
        deadline: Instant,
    ) -> Result<Message> {
        let frame = encode(message).map_err(|err| PeerError::NotSent(err.to_string()))?;
        let wait = deadline.saturating_duration_since(Instant::now());
        let request = self.request_head(REQUEST_PATH, incarnation, wait)?;
        let open = time::timeout_at(deadline, self.connection())
            .await
            .map_err(|_| PeerError::NotSent("timeout while connecting".to_owned()))??;
        let exchange = exchange(open, request, frame.into());
        time::timeout_at(deadline, exchange)
            .await
            .map_err(|_| PeerError::Unanswered("timeout".to_owned()))?
    }

    /// Opens a stream for gossip, with `hello` as its first message.
    ///
    /// # Errors
    ///
    /// Fails if the peer is unreachable or is not the expected one.
    pub(crate) async fn open_gossip(&self, hello: &Message) -> Result<GossipStream> {
        let request = self.request_head(GOSSIP_PATH, None, CONNECT_TIMEOUT)?;
        let open = self.connection().await?;
        let mut sender = open.sender.ready().await.map_err(not_sent)?;
        let (response, stream) = sender.send_request(request, false).map_err(not_sent)?;
        let mut stream = GossipStream {
            stream,
            peer: self.me.clone(),
        };
        stream.send(hello).await?;
        let response = time::timeout(PING_TIMEOUT, response)
            .await
            .map_err(|_| PeerError::Unanswered("timeout".to_owned()))?
            .map_err(unanswered)?;
        check_status(&response)?;
        stream.peer = read_peer(response.headers(), FROM, FROM_INCARNATION)
            .ok_or_else(|| PeerError::Malformed("answer without a sender".to_owned()))?;
        Ok(stream)
    }

    fn request_head(
        &self,
        path: &'static str,
        incarnation: Option<Incarnation>,
        wait: Duration,
    ) -> Result<Request<()>> {
        let mut builder = Request::post(format!("http://{}{path}", self.addr))
            .header(FROM, self.me.instance.as_str())
            .header(FROM_INCARNATION, self.me.incarnation.to_string())
            .header(WAIT_MS, wait.as_millis().to_string());
        if let Some(peer) = &self.peer {
            builder = builder.header(TO, peer.as_str());
        }
        if let Some(incarnation) = incarnation {
            builder = builder.header(TO_INCARNATION, incarnation.to_string());
        }
        builder
            .body(())
            .map_err(|err| PeerError::NotSent(err.to_string()))
    }

    async fn connection(&self) -> Result<OpenConnection> {
        let mut state = self.state.lock().await;
        if let Some(open) = state.open.as_ref().filter(|open| open.is_usable()) {
            return Ok(open.clone());
        }
        state.open = None;
        if state.not_before.is_some_and(|at| Instant::now() < at) {
            return Err(PeerError::NotSent("not reached a moment ago".to_owned()));
        }
        match dial(self.addr).await {
            Ok(open) => {
                state.failures = 0;
                state.not_before = None;
                state.open = Some(open.clone());
                Ok(open)
            }
            Err(err) => {
                let delay = MIN_RECONNECT_DELAY * 2u32.pow(state.failures.min(5));
                state.failures += 1;
                state.not_before = Some(Instant::now() + delay.min(MAX_RECONNECT_DELAY));
                Err(err)
            }
        }
    }
}

impl OpenConnection {
    fn is_usable(&self) -> bool {
        !self.is_unresponsive.load(Ordering::Acquire)
    }
}

impl GossipStream {
    /// Sends one message, waiting for capacity in the peer's flow-control window.
    ///
    /// # Errors
    ///
    /// Fails if the message can't be encoded or the stream is closed.
    pub(crate) async fn send(&mut self, message: &Message) -> Result<()> {
        let frame = encode(message).map_err(|err| PeerError::NotSent(err.to_string()))?;
        send_all(&mut self.stream, frame.into(), false).await
    }
}

async fn dial(addr: SocketAddr) -> Result<OpenConnection> {
    let connected = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| PeerError::NotSent("timeout while connecting".to_owned()))?;
    let socket = connected.map_err(|err| PeerError::NotSent(err.to_string()))?;
    let _ = socket.set_nodelay(true);
    let socket = SharedStream::new(socket);
    let (sender, mut connection) = client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .enable_push(false)
        .handshake::<_, Bytes>(socket.clone())
        .await
        .map_err(not_sent)?;
    let is_unresponsive = Arc::new(AtomicBool::new(false));
    let quiet = Arc::clone(&is_unresponsive);
    let pings = connection.ping_pong();
    tokio::spawn(async move {
        tokio::select! {
            _ = connection => {}
            () = until_unresponsive(pings) => {
                metrics::counter!("savoryvane_peer_quiet_total").increment(1);
                // Requests that a partition holds up must not arrive after it.
                socket.reset_when_dropped();
            }
        }
        quiet.store(true, Ordering::Release);
    });
    Ok(OpenConnection {
        sender,
        is_unresponsive,
    })
}

/// Probes a connection with PINGs until one gets no response in time.
pub(crate) async fn until_unresponsive(pings: Option<PingPong>) {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    loop {
        match time::timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_pong)) => time::sleep(PING_INTERVAL).await,
            Ok(Err(_)) | Err(_) => return,
        }
    }
}

async fn exchange(open: OpenConnection, request: Request<()>, frame: Bytes) -> Result<Message> {
    let mut sender = open.sender.ready().await.map_err(not_sent)?;
    let (response, mut stream) = sender.send_request(request, false).map_err(not_sent)?;
    send_all(&mut stream, frame, true).await?;
    let response = response.await.map_err(unanswered)?;
    check_status(&response)?;
    read_message(response.into_body())
        .await?
        .ok_or_else(|| PeerError::Malformed("no message that is known".to_owned()))
}

/// Sends all bytes as capacity in the peer's flow-control window allows.
pub(crate) async fn send_all(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    end: bool,
) -> Result<()> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity_bytes = std::future::poll_fn(|cx| stream.poll_capacity(cx))
            .await
            .ok_or_else(|| PeerError::Unanswered("stream closed".to_owned()))?
            .map_err(unanswered)?;
        let chunk = bytes.split_to(capacity_bytes.min(bytes.len()));
        let is_last = end && bytes.is_empty();
        stream.send_data(chunk, is_last).map_err(unanswered)?;
    }
    Ok(())
}

/// Reads the single message of a body; `None` if its kind is unknown.
pub(crate) async fn read_message(mut body: RecvStream) -> Result<Option<Message>> {
    let mut reader = FrameReader::new();
    while let Some(bytes) = body.data().await {
        let bytes = bytes.map_err(unanswered)?;
        let _ = body.flow_control().release_capacity(bytes.len());
        reader.push(&bytes);
        let message = reader.next_message();
        if let Some(message) = message.map_err(|err| PeerError::Malformed(err.to_string()))? {
            return Ok(Some(message));
        }
    }
    if reader.is_empty() && reader.skipped() > 0 {
        return Ok(None);
    }
    Err(PeerError::Malformed("body cut short".to_owned()))
}

/// Reads a peer ID from its two headers.
pub(crate) fn read_peer(headers: &HeaderMap, name: &str, incarnation: &str) -> Option<PeerId> {
    let text = |value: &HeaderValue| value.to_str().ok().map(str::to_owned);
    let name = headers.get(name).and_then(text)?;
    let incarnation = headers.get(incarnation).and_then(text)?;
    Some(PeerId {
        instance: savoryvane_core::ids::is_valid_name(&name).then(|| InstanceName::new(&name))?,
        incarnation: Incarnation(u64::from_str_radix(&incarnation, 16).ok()?),
    })
}

fn check_status<T>(response: &Response<T>) -> Result<()> {
    match response.status() {
        StatusCode::OK => Ok(()),
        StatusCode::MISDIRECTED_REQUEST => Err(PeerError::Misdirected),
        status => Err(PeerError::Unanswered(format!("answered {status}"))),
    }
}

fn not_sent(err: h2::Error) -> PeerError {
    PeerError::NotSent(err.to_string())
}

fn unanswered(err: h2::Error) -> PeerError {
    PeerError::Unanswered(err.to_string())
}
