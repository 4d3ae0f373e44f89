//! Serves gossip streams, requests and tunnels of peers on the listener for instances.

use std::{
    future::{self, Future, poll_fn},
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use h2::{
    RecvStream,
    server::{self, SendResponse},
};
use http::{HeaderMap, Request, Response, StatusCode};
use savoryvane_wire::peer::{
    Declined, FROM, FROM_INCARNATION, FrameReader, GOSSIP_PATH, Message, REQUEST_PATH, SERVER, TO,
    TO_INCARNATION, TUNNEL_PATH, WAIT_MS, encode,
};
use slog::{Logger, debug};
use tokio::{
    io,
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time,
};

use super::{
    error::{PeerError, Result},
    link::{PeerId, WINDOW_BYTES, read_message, read_peer, send_all, until_unresponsive},
    tunnel::{TunnelRefusal, TunnelStream},
};
use crate::network::Transport;

/// Maximum number of open connections of peers.
const MAX_CONNECTIONS: usize = 1_024;
/// Maximum number of concurrent streams on one connection.
const MAX_STREAMS: u32 = 256;
/// Maximum time for a handshake or for the message of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time that a request waits for its response.
const MAX_WAIT: Duration = Duration::from_secs(120);
/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Future of the response to a request of a peer.
pub type PeerAnswer = Pin<Box<dyn Future<Output = Message> + Send>>;

/// A connection to a backend server for a peer.
#[derive(Debug)]
pub struct ServerConnection {
    /// Carries the bytes.
    pub transport: Box<dyn Transport>,
    /// Slot that is occupied until the connection is closed.
    pub slot: OwnedSemaphorePermit,
}

/// Future of a connection to a backend server that a peer asked for.
pub type ServerConnecting =
    Pin<Box<dyn Future<Output = std::result::Result<ServerConnection, TunnelRefusal>> + Send>>;

/// Handles the messages of peers.
pub trait PeerHandler: Send + Sync + 'static {
    /// Handles a one-way message.
    fn on_gossip(&self, from: &PeerId, message: Message);

    /// Returns the response to a request within `wait`.
    fn on_request(&self, from: PeerId, message: Message, wait: Duration) -> PeerAnswer;

    /// Connects to the backend server at `server` for a peer. The connection is closed once
    /// either end closes it.
    fn on_connect(&self, from: PeerId, server: SocketAddr) -> ServerConnecting {
        let _ = (from, server);
        Box::pin(future::ready(Err(TunnelRefusal::Declined)))
    }
}

/// Serves peers on one listener.
pub struct PeerServer<H> {
    /// ID of the server.
    pub me: PeerId,
    /// Handler of the messages.
    pub handler: Arc<H>,
    /// Logger for errors.
    pub log: Logger,
}

impl<H> Clone for PeerServer<H> {
    fn clone(&self) -> Self {
        Self {
            me: self.me.clone(),
            handler: Arc::clone(&self.handler),
            log: self.log.clone(),
        }
    }
}

impl<H: PeerHandler> PeerServer<H> {
    /// Accepts and serves connections until the task is dropped.
    pub async fn run(self, listener: TcpListener) {
        let connection_slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let socket = match listener.accept().await {
                Ok((socket, _)) => socket,
                Err(err) => {
                    debug!(self.log, "failed to accept a peer connection"; "error" => %err);
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let Ok(permit) = Arc::clone(&connection_slots).try_acquire_owned() else {
                metrics::counter!("savoryvane_peer_refused_total").increment(1);
                continue;
            };
            let server = self.clone();
            tokio::spawn(async move {
                if let Err(err) = server.serve(socket).await {
                    debug!(server.log, "peer connection closed"; "error" => %err);
                }
                drop(permit);
            });
        }
    }

    async fn serve(&self, socket: TcpStream) -> std::result::Result<(), h2::Error> {
        let _ = socket.set_nodelay(true);
        let mut builder = server::Builder::new();
        builder
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .max_concurrent_streams(MAX_STREAMS);
        let handshake = builder.handshake::<_, Bytes>(socket);
        let Ok(connection) = time::timeout(BODY_TIMEOUT, handshake).await else {
            return Ok(());
        };
        let mut connection = connection?;
        let unresponsive = until_unresponsive(connection.ping_pong());
        tokio::pin!(unresponsive);
        loop {
            let accepted = tokio::select! {
                accepted = connection.accept() => accepted,
                () = &mut unresponsive => return Ok(()),
            };
            let Some(accepted) = accepted else {
                return Ok(());
            };
            let (request, respond) = accepted?;
            let server = self.clone();
            tokio::spawn(async move {
                if let Err(err) = server.answer(request, respond).await {
                    metrics::counter!("savoryvane_peer_errors_total").increment(1);
                    debug!(server.log, "message of a peer dropped"; "error" => %err);
                }
            });
        }
    }

    async fn answer(
        &self,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) -> Result<()> {
        let headers = request.headers();
        let Some(from) = read_peer(headers, FROM, FROM_INCARNATION) else {
            return self.refuse(&mut respond, StatusCode::BAD_REQUEST);
        };
        if !self.is_addressed_here(headers) {
            return self.refuse(&mut respond, StatusCode::MISDIRECTED_REQUEST);
        }
        let wait = read_wait(headers);
        let path = request.uri().path().to_owned();
        match path.as_str() {
            GOSSIP_PATH => self.serve_gossip(from, request.into_body(), respond).await,
            REQUEST_PATH => {
                self.serve_request(from, request.into_body(), wait, respond)
                    .await
            }
            TUNNEL_PATH => self.serve_tunnel(from, request, respond).await,
            _ => self.refuse(&mut respond, StatusCode::NOT_FOUND),
        }
    }

    async fn serve_gossip(
        &self,
        from: PeerId,
        mut body: RecvStream,
        mut respond: SendResponse<Bytes>,
    ) -> Result<()> {
        // Dropping the response stream would reset it.
        let _response_stream = self.respond(&mut respond, StatusCode::OK, false)?;
        let mut reader = FrameReader::new();
        while let Some(bytes) = body.data().await {
            let bytes = bytes.map_err(|err| PeerError::Unanswered(err.to_string()))?;
            let _ = body.flow_control().release_capacity(bytes.len());
            reader.push(&bytes);
            loop {
                let message = reader.next_message();
                let message = message.map_err(|err| PeerError::Malformed(err.to_string()))?;
                match message {
                    Some(Message::Hello(_)) => {}
                    Some(message) => self.handler.on_gossip(&from, message),
                    None => break,
                }
            }
        }
        Ok(())
    }

    async fn serve_request(
        &self,
        from: PeerId,
        body: RecvStream,
        wait: Duration,
        mut respond: SendResponse<Bytes>,
    ) -> Result<()> {
        let read = time::timeout(BODY_TIMEOUT, read_message(body)).await;
        let message = match read.unwrap_or_else(|_| Err(body_timeout())) {
            Ok(message) => message,
            Err(err) => {
                self.refuse(&mut respond, StatusCode::BAD_REQUEST)?;
                return Err(err);
            }
        };
        let answer = match message {
            Some(message) => {
                let answer = self.handler.on_request(from, message, wait);
                // A sender that resets the stream no longer waits. Its request is
                // cancelled by dropping the future.
                tokio::select! {
                    answer = answer => answer,
                    _ = poll_fn(|cx| respond.poll_reset(cx)) => return Ok(()),
                }
            }
            None => Message::Declined(Declined::Unsupported),
        };
        let Ok(frame) = encode(&answer) else {
            return self.refuse(&mut respond, StatusCode::INTERNAL_SERVER_ERROR);
        };
        let mut stream = self.respond(&mut respond, StatusCode::OK, false)?;
        send_all(&mut stream, frame.into(), true).await
    }

    /// Connects to a backend server for a peer and forwards bytes in both directions.
    async fn serve_tunnel(
        &self,
        from: PeerId,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) -> Result<()> {
        let Some(addr) = read_server(request.headers()) else {
            return self.refuse(&mut respond, StatusCode::BAD_REQUEST);
        };
        let connected = tokio::select! {
            connected = self.handler.on_connect(from, addr) => connected,
            _ = poll_fn(|cx| respond.poll_reset(cx)) => return Ok(()),
        };
        let mut server = match connected {
            Ok(server) => server,
            Err(refusal) => return self.refuse(&mut respond, refusal.status()),
        };
        let send = self.respond(&mut respond, StatusCode::OK, false)?;
        let mut tunnel = TunnelStream::new(send, request.into_body());
        if let Err(err) = io::copy_bidirectional(&mut tunnel, &mut server.transport).await {
            tunnel.reset();
            server.transport.discard_when_dropped();
            debug!(self.log, "tunnel broke off"; "server" => %addr, "error" => %err);
        }
        Ok(())
    }

    fn is_addressed_here(&self, headers: &HeaderMap) -> bool {
        let is = |name: &str, mine: &str| {
            headers
                .get(name)
                .is_none_or(|value| value.as_bytes() == mine.as_bytes())
        };
        is(TO, self.me.instance.as_str()) && is(TO_INCARNATION, &self.me.incarnation.to_string())
    }

    fn refuse(&self, respond: &mut SendResponse<Bytes>, status: StatusCode) -> Result<()> {
        self.respond(respond, status, true).map(drop)
    }

    fn respond(
        &self,
        respond: &mut SendResponse<Bytes>,
        status: StatusCode,
        end: bool,
    ) -> Result<h2::SendStream<Bytes>> {
        let response = Response::builder()
            .status(status)
            .header(FROM, self.me.instance.as_str())
            .header(FROM_INCARNATION, self.me.incarnation.to_string())
            .body(())
            .map_err(|err| PeerError::Malformed(err.to_string()))?;
        respond
            .send_response(response, end)
            .map_err(|err| PeerError::Unanswered(err.to_string()))
    }
}

fn read_wait(headers: &HeaderMap) -> Duration {
    let wait_ms = headers
        .get(WAIT_MS)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    wait_ms
        .map_or(MAX_WAIT, Duration::from_millis)
        .min(MAX_WAIT)
}

fn read_server(headers: &HeaderMap) -> Option<SocketAddr> {
    headers.get(SERVER)?.to_str().ok()?.parse().ok()
}

fn body_timeout() -> PeerError {
    PeerError::Unanswered("timeout while reading".to_owned())
}
