//! Peer transport over loopback: requests, gossip, restarted or different instances
//! at an address, malformed bytes, and connections that stop delivering data.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use savoryvane_core::{
    ids::{Incarnation, Offset},
    membership::Contact,
};
use savoryvane_server::peer::{PeerAnswer, PeerError, PeerHandle, PeerHandler, PeerId, PeerServer};
use savoryvane_wire::peer::{ConfigHead, ConfigSnapshotPart, Declined, Message};
use slog::{Discard, Logger, o};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{self, Instant},
};

#[derive(Default)]
struct Recorder {
    gossip: Mutex<Vec<(PeerId, Message)>>,
    requests: AtomicUsize,
}

impl PeerHandler for Recorder {
    fn on_gossip(&self, from: &PeerId, message: Message) {
        self.gossip.lock().unwrap().push((from.clone(), message));
    }

    fn on_request(&self, _from: PeerId, message: Message, _wait: Duration) -> PeerAnswer {
        self.requests.fetch_add(1, Ordering::SeqCst);
        Box::pin(async move {
            match message {
                Message::ConfigSnapshotQuery(_) => part(700 << 10),
                Message::ConfigHead(_) => {
                    time::sleep(Duration::from_secs(60)).await;
                    message
                }
                other => other,
            }
        })
    }
}

fn part(bytes: usize) -> Message {
    Message::ConfigSnapshotPart(ConfigSnapshotPart {
        covers: Offset(3),
        part: 0,
        parts: 1,
        age_ms: 0,
        payload: vec![7; bytes],
    })
}

fn id(name: &str, incarnation: u64) -> PeerId {
    PeerId {
        instance: name.into(),
        incarnation: Incarnation(incarnation),
    }
}

fn head() -> Message {
    Message::ConfigHead(ConfigHead {
        next: Offset(4),
        age_ms: 0,
    })
}

async fn start_server(me: PeerId) -> (SocketAddr, Arc<Recorder>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let handler = Arc::new(Recorder::default());
    let server = PeerServer {
        me,
        handler: Arc::clone(&handler),
        log: Logger::root(Discard, o!()),
    };
    tokio::spawn(server.run(listener));
    (addr, handler)
}

fn connect_handle(addr: SocketAddr) -> PeerHandle {
    let (handle, _) = PeerHandle::new(id("entry-1", 1), Logger::root(Discard, o!()));
    handle.set_addrs([Contact {
        instance: "entry-2".into(),
        addr,
    }]);
    handle
}

async fn send_request(
    handle: &PeerHandle,
    incarnation: Option<u64>,
    message: &Message,
) -> Result<Message, PeerError> {
    let timeout = Duration::from_secs(3);
    handle
        .request(
            &"entry-2".into(),
            incarnation.map(Incarnation),
            message,
            timeout,
        )
        .await
}

#[tokio::test]
async fn requests_get_their_response_even_if_it_is_large() {
    let (addr, _) = start_server(id("entry-2", 2)).await;
    let handle = connect_handle(addr);
    let query = Message::ConfigSnapshotQuery(savoryvane_wire::peer::ConfigSnapshotQuery {
        covers: None,
        part: 0,
    });
    for _ in 0..4 {
        assert_eq!(
            send_request(&handle, Some(2), &query).await,
            Ok(part(700 << 10))
        );
    }
}

#[tokio::test]
async fn another_run_or_instance_at_the_address_does_nothing() {
    let (addr, handler) = start_server(id("entry-2", 2)).await;
    let handle = connect_handle(addr);
    let message = Message::Declined(Declined::Absent);
    assert_eq!(
        send_request(&handle, Some(3), &message).await,
        Err(PeerError::Misdirected)
    );
    let (other, other_handler) = start_server(id("entry-9", 2)).await;
    let handle = connect_handle(other);
    let err = send_request(&handle, None, &message).await.unwrap_err();
    assert!(err.is_not_processed());
    assert_eq!(handler.requests.load(Ordering::SeqCst), 0);
    assert_eq!(other_handler.requests.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn closed_port_reports_nothing_done_and_late_response_does_not() {
    let closed = TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let handle = connect_handle(closed);
    let err = send_request(&handle, None, &Message::Declined(Declined::Absent))
        .await
        .unwrap_err();
    assert!(err.is_not_processed());
    let (addr, _) = start_server(id("entry-2", 2)).await;
    let timeout = Duration::from_millis(100);
    let late_response = connect_handle(addr)
        .request(&"entry-2".into(), None, &head(), timeout)
        .await;
    assert!(!late_response.unwrap_err().is_not_processed());
}

#[tokio::test]
async fn gossip_arrives_in_order_with_the_id_of_its_sender() {
    let (addr, handler) = start_server(id("entry-2", 2)).await;
    let (handle, mut connected_peers) =
        PeerHandle::new(id("entry-1", 1), Logger::root(Discard, o!()));
    handle.set_addrs([Contact {
        instance: "entry-2".into(),
        addr,
    }]);
    handle.set_gossip_peers(&[Contact {
        instance: "entry-2".into(),
        addr,
    }]);
    assert_eq!(connected_peers.recv().await, Some(id("entry-2", 2)));
    let sent = [Message::Declined(Declined::Absent), head()];
    for message in &sent {
        handle.send(&"entry-2".into(), message.clone());
    }
    time::timeout(Duration::from_secs(3), async {
        while handler.gossip.lock().unwrap().len() < 2 {
            time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await
    .unwrap();
    let received = handler.gossip.lock().unwrap().clone();
    assert_eq!(received, sent.map(|message| (id("entry-1", 1), message)));
}

#[tokio::test]
async fn hostile_bytes_close_their_connection_and_disturb_nothing() {
    let (addr, _) = start_server(id("entry-2", 2)).await;
    for seed in 0u8..16 {
        let mut socket = TcpStream::connect(addr).await.unwrap();
        let malformed_bytes: Vec<u8> = (0..4_096u32)
            .map(|i| (i as u8).wrapping_mul(seed))
            .collect();
        let _ = socket.write_all(&malformed_bytes).await;
    }
    let message = Message::Declined(Declined::NotMine);
    assert_eq!(
        send_request(&connect_handle(addr), None, &message).await,
        Ok(message)
    );
}

/// Starts a proxy that forwards connections. While the returned flag is set, it
/// drops all bytes of the first connection and keeps that connection open.
async fn start_dropping_proxy(to: SocketAddr) -> (SocketAddr, Arc<AtomicBool>, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (drops_bytes, accepted_count) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
    );
    let (flag, count) = (Arc::clone(&drops_bytes), Arc::clone(&accepted_count));
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let is_first = count.fetch_add(1, Ordering::SeqCst) == 0;
            let server = TcpStream::connect(to).await.unwrap();
            let (from_client, to_client) = client.into_split();
            let (from_server, to_server) = server.into_split();
            tokio::spawn(forward_bytes(
                from_client,
                to_server,
                is_first.then(|| Arc::clone(&flag)),
            ));
            tokio::spawn(forward_bytes(
                from_server,
                to_client,
                is_first.then(|| Arc::clone(&flag)),
            ));
        }
    });
    (addr, drops_bytes, accepted_count)
}

async fn forward_bytes(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    drops_bytes: Option<Arc<AtomicBool>>,
) {
    let mut buffer = [0; 4_096];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let is_dropped = drops_bytes
            .as_ref()
            .is_some_and(|flag| flag.load(Ordering::SeqCst));
        if !is_dropped && to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    std::future::pending::<()>().await;
}

#[tokio::test]
async fn a_connection_that_goes_quiet_is_replaced_within_three_seconds() {
    let (addr, _) = start_server(id("entry-2", 2)).await;
    let (proxy, drops_bytes, accepted_count) = start_dropping_proxy(addr).await;
    let handle = connect_handle(proxy);
    let message = Message::Declined(Declined::NotMine);
    assert_eq!(
        send_request(&handle, None, &message).await,
        Ok(message.clone())
    );
    drops_bytes.store(true, Ordering::SeqCst);
    let start = Instant::now();
    let timeout = Duration::from_millis(200);
    while handle
        .request(&"entry-2".into(), None, &message, timeout)
        .await
        .is_err()
    {
        assert!(
            start.elapsed() < Duration::from_secs(3),
            "still uses the silent connection"
        );
    }
    assert_eq!(accepted_count.load(Ordering::SeqCst), 2);
}
