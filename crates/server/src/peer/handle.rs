//! Sends messages to peers over one link per peer, opened on demand, with gossip
//! streams to selected peers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use rand::random_range;
use savoryvane_core::{
    ids::{Incarnation, InstanceName},
    membership::Contact,
};
use savoryvane_wire::peer::{Hello, Message, PROTOCOL_VERSION};
use slog::{Logger, debug};
use tokio::{
    sync::mpsc,
    task::JoinHandle,
    time::{self, Instant},
};

use super::{
    error::{PeerError, Result},
    link::{Link, PeerId},
};
use crate::lock::lock;

/// Number of messages queued for a slow peer before further ones are dropped.
const GOSSIP_QUEUE_CAPACITY: usize = 256;
/// Maximum delay before a gossip stream is reopened.
const MAX_REOPEN_DELAY_MS: u64 = 500;

/// Sends requests and gossip to peers. Clones share their connections.
#[derive(Clone, Debug)]
pub struct PeerHandle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    me: PeerId,
    log: Logger,
    linked: mpsc::UnboundedSender<PeerId>,
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    addrs: HashMap<InstanceName, SocketAddr>,
    links: HashMap<InstanceName, Arc<Link>>,
    gossip: HashMap<InstanceName, Gossip>,
}

#[derive(Debug)]
struct Gossip {
    link: Arc<Link>,
    queue: mpsc::Sender<Message>,
    task: JoinHandle<()>,
}

impl Drop for Gossip {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PeerHandle {
    /// Creates a handle without peers. The receiver gets each peer to which a gossip
    /// stream was opened.
    pub fn new(me: PeerId, log: Logger) -> (Self, mpsc::UnboundedReceiver<PeerId>) {
        let (linked, opened) = mpsc::unbounded_channel();
        let shared = Shared {
            me,
            log,
            linked,
            table: Mutex::default(),
        };
        let shared = Arc::new(shared);
        (Self { shared }, opened)
    }

    /// Returns the ID of the sender.
    pub fn me(&self) -> &PeerId {
        &self.shared.me
    }

    /// Replaces the addresses of peers. Links to removed or changed addresses are
    /// dropped.
    pub fn set_addrs(&self, peers: impl IntoIterator<Item = Contact>) {
        let mut table = self.table();
        table.addrs = peers
            .into_iter()
            .map(|peer| (peer.instance, peer.addr))
            .collect();
        let Table {
            addrs,
            links,
            gossip,
        } = &mut *table;
        links.retain(|name, link| addrs.get(name) == Some(&link.addr()));
        gossip.retain(|name, gossip| addrs.get(name) == Some(&gossip.link.addr()));
    }

    /// Maintains gossip streams to exactly these peers, as far as their addresses
    /// are known.
    pub fn set_gossip_peers(&self, peers: &[Contact]) {
        let mut table = self.table();
        table
            .gossip
            .retain(|name, _| peers.iter().any(|peer| peer.instance == *name));
        for peer in peers.iter().map(|peer| &peer.instance) {
            if table.gossip.contains_key(peer) {
                continue;
            }
            if let Some(link) = self.link_to(&mut table, peer) {
                let gossip = self.spawn_gossip(link);
                table.gossip.insert(peer.clone(), gossip);
            }
        }
    }

    /// Sends a one-way message. It is dropped if there is no gossip stream to the
    /// peer or its queue is full, as gossip is repeated.
    pub fn send(&self, to: &InstanceName, message: Message) {
        let table = self.table();
        let queued = table
            .gossip
            .get(to)
            .is_some_and(|gossip| gossip.queue.try_send(message).is_ok());
        if !queued {
            metrics::counter!("savoryvane_peer_dropped_total").increment(1);
        }
    }

    /// Sends a one-way message like [`send`](Self::send) to all peers with a gossip
    /// stream.
    pub fn send_all(&self, message: &Message) {
        let names: Vec<InstanceName> = self.table().gossip.keys().cloned().collect();
        for peer in names {
            self.send(&peer, message.clone());
        }
    }

    /// Sends a request to `to`, or only to its incarnation `incarnation`, and waits
    /// for the response for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Fails without a valid response. [`PeerError::is_not_processed`] returns whether
    /// the peer certainly did not process the request.
    pub async fn request(
        &self,
        to: &InstanceName,
        incarnation: Option<Incarnation>,
        message: &Message,
        timeout: Duration,
    ) -> Result<Message> {
        let deadline = Instant::now() + timeout;
        let link = {
            let mut table = self.table();
            self.link_to(&mut table, to).ok_or(PeerError::NoAddress)?
        };
        link.request(incarnation, message, deadline).await
    }

    /// Sends a request to any instance at the address of `contact` over a new
    /// connection, and waits for the response for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Fails without a valid response. [`PeerError::is_not_processed`] returns whether
    /// the peer certainly did not process the request.
    pub async fn request_at(
        &self,
        contact: &Contact,
        message: &Message,
        timeout: Duration,
    ) -> Result<Message> {
        let deadline = Instant::now() + timeout;
        let link = Link::to_any(self.shared.me.clone(), contact.addr);
        link.request(None, message, deadline).await
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        lock(&self.shared.table)
    }

    fn link_to(&self, table: &mut Table, peer: &InstanceName) -> Option<Arc<Link>> {
        if let Some(link) = table.links.get(peer) {
            return Some(Arc::clone(link));
        }
        let addr = *table.addrs.get(peer)?;
        let link = Link::new(self.shared.me.clone(), peer.clone(), addr);
        let link = Arc::new(link);
        table.links.insert(peer.clone(), Arc::clone(&link));
        Some(link)
    }

    fn spawn_gossip(&self, link: Arc<Link>) -> Gossip {
        let (queue, messages) = mpsc::channel(GOSSIP_QUEUE_CAPACITY);
        let shared = Arc::clone(&self.shared);
        let task = tokio::spawn(run_gossip(shared, Arc::clone(&link), messages));
        Gossip { link, queue, task }
    }
}

async fn run_gossip(shared: Arc<Shared>, link: Arc<Link>, mut messages: mpsc::Receiver<Message>) {
    let hello = Message::Hello(Hello {
        version: PROTOCOL_VERSION,
        instance: shared.me.instance.clone(),
        incarnation: shared.me.incarnation,
    });
    loop {
        if let Err(err) = run_gossip_stream(&shared, &link, &hello, &mut messages).await {
            debug!(shared.log, "gossip stream closed"; "addr" => %link.addr(), "error" => %err);
        }
        let delay_ms = random_range(MAX_REOPEN_DELAY_MS / 4..=MAX_REOPEN_DELAY_MS);
        time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

async fn run_gossip_stream(
    shared: &Shared,
    link: &Link,
    hello: &Message,
    messages: &mut mpsc::Receiver<Message>,
) -> Result<()> {
    let mut stream = link.open_gossip(hello).await?;
    while messages.try_recv().is_ok() {}
    let _ = shared.linked.send(stream.peer.clone());
    while let Some(message) = messages.recv().await {
        stream.send(&message).await?;
    }
    Ok(())
}
