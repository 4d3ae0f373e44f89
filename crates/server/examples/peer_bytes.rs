//! Counts the bytes on the TCP connection between two instances for requests and
//! gossip, including HTTP/2 framing. Run by `scripts/capacity`.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use savoryvane_core::{
    digest::Leaver,
    ids::{Incarnation, InstanceName},
    membership::Contact,
    quota::{QuotaClaimant, UsageGrant, UsageReport},
    topology::Shard,
};
use savoryvane_server::peer::{PeerAnswer, PeerHandle, PeerHandler, PeerId, PeerServer};
use savoryvane_wire::peer::{LeavingNotice, Message, encode};
use slog::{Discard, Logger, o};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time,
};

const MESSAGE_COUNTS: [u64; 4] = [50, 100, 200, 400];
const TIMEOUT: Duration = Duration::from_secs(2);

struct GrantHandler;

impl PeerHandler for GrantHandler {
    fn on_gossip(&self, _from: &PeerId, _message: Message) {}

    fn on_request(&self, _from: PeerId, _message: Message, _wait: Duration) -> PeerAnswer {
        Box::pin(std::future::ready(grant()))
    }
}

fn report() -> Message {
    Message::UsageReport(UsageReport {
        shard: Shard(1),
        claimant: QuotaClaimant::Instance,
        stamp_ms: 1_000_000,
        cut: 0,
        demands: Vec::new(),
        term: None,
    })
}

fn grant() -> Message {
    Message::UsageGrant(UsageGrant {
        shard: Shard(1),
        stamp_ms: 1_000_000,
        term: u64::MAX,
        age_ms: 0,
        grants: Vec::new(),
        is_settled: false,
    })
}

fn notice() -> Message {
    Message::Leaving(LeavingNotice {
        leaver: Leaver::Backend("runner-0001".into()),
        age_ms: 0,
    })
}

fn frame_bytes(message: &Message) -> u64 {
    encode(message).map_or(0, |frame| frame.len() as u64)
}

async fn forward_and_count(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    byte_count: Arc<AtomicU64>,
) {
    let mut buffer = [0; 16_384];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        byte_count.fetch_add(read as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

async fn start_counting_proxy(
    to: SocketAddr,
    byte_count: Arc<AtomicU64>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let Ok(server) = TcpStream::connect(to).await else {
                return;
            };
            let (from_client, to_client) = client.into_split();
            let (from_server, to_server) = server.into_split();
            tokio::spawn(forward_and_count(
                from_client,
                to_server,
                Arc::clone(&byte_count),
            ));
            tokio::spawn(forward_and_count(
                from_server,
                to_client,
                Arc::clone(&byte_count),
            ));
        }
    });
    Ok(addr)
}

fn id(name: &str) -> PeerId {
    PeerId {
        instance: InstanceName::new(name),
        incarnation: Incarnation(u64::MAX),
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let log = Logger::root(Discard, o!());
    let server = PeerServer {
        me: id("entry-002"),
        handler: Arc::new(GrantHandler),
        log: log.clone(),
    };
    tokio::spawn(server.run(listener));
    let byte_count = Arc::new(AtomicU64::new(0));
    let proxy = start_counting_proxy(addr, Arc::clone(&byte_count)).await?;
    let (peers, mut connected_peers) = PeerHandle::new(id("entry-001"), log);
    let contact = Contact {
        instance: "entry-002".into(),
        addr: proxy,
    };
    peers.set_addrs([contact.clone()]);
    peers.set_gossip_peers(&[contact]);
    connected_peers.recv().await;

    println!("\nBytes on the connection of two instances\n");
    println!("| measure | number | bytes | of them frames | for each |");
    println!("|---|---|---|---|---|");
    for message_count in MESSAGE_COUNTS {
        let bytes_before = byte_count.load(Ordering::Relaxed);
        for _ in 0..message_count {
            let to = "entry-002".into();
            let _ = peers.request(&to, None, &report(), TIMEOUT).await;
        }
        time::sleep(Duration::from_millis(50)).await;
        let frame_total_bytes = message_count * (frame_bytes(&report()) + frame_bytes(&grant()));
        print(
            "requests and answers",
            message_count,
            byte_count.load(Ordering::Relaxed) - bytes_before,
            frame_total_bytes,
        );
    }
    for message_count in MESSAGE_COUNTS {
        let bytes_before = byte_count.load(Ordering::Relaxed);
        for _ in 0..message_count {
            peers.send(&"entry-002".into(), notice());
            time::sleep(Duration::from_millis(2)).await;
        }
        time::sleep(Duration::from_millis(50)).await;
        let frame_total_bytes = message_count * frame_bytes(&notice());
        print(
            "gossip messages",
            message_count,
            byte_count.load(Ordering::Relaxed) - bytes_before,
            frame_total_bytes,
        );
    }
    let bytes_before = byte_count.load(Ordering::Relaxed);
    time::sleep(Duration::from_secs(10)).await;
    print(
        "idle seconds",
        10,
        byte_count.load(Ordering::Relaxed) - bytes_before,
        0,
    );
    Ok(())
}

fn print(measure: &str, number: u64, bytes: u64, frame_total_bytes: u64) {
    let overhead_bytes = bytes.saturating_sub(frame_total_bytes) as f64 / number as f64;
    println!(
        "| {measure} | {number} | {bytes} | {frame_total_bytes} | {overhead_bytes:.1} above frames |"
    );
}
