//! Sending to peers: one link for each, opened on demand, and a gossip stream to
//! each of those that are kept.

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

/// Messages that wait for a slow peer before further ones are dropped.
const QUEUE: usize = 256;
/// Longest pause before a gossip stream is opened again, in ms.
const REOPEN_MS: u64 = 500;

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
    /// Creates a handle that knows no peer, and the receiver of the peers to
    /// which a gossip stream has been opened.
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

    /// Returns the run that sends.
    pub fn me(&self) -> &PeerId {
        &self.shared.me
    }

    /// Replaces what is known of the addresses of peers.
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

    /// Keeps a gossip stream to each of `peers` and to no other.
    pub fn keep(&self, peers: &[Contact]) {
        let mut table = self.table();
        table
            .gossip
            .retain(|name, _| peers.iter().any(|peer| peer.instance == *name));
        for peer in peers.iter().map(|peer| &peer.instance) {
            if table.gossip.contains_key(peer) {
                continue;
            }
            if let Some(link) = self.link_in(&mut table, peer) {
                let gossip = self.spawn_gossip(link);
                table.gossip.insert(peer.clone(), gossip);
            }
        }
    }

    /// Sends a message one way. It is dropped when the peer is not kept or does
    /// not take messages as fast as they come; gossip repeats itself.
    pub fn send(&self, to: &InstanceName, message: Message) {
        let table = self.table();
        let taken = table
            .gossip
            .get(to)
            .is_some_and(|gossip| gossip.queue.try_send(message).is_ok());
        if !taken {
            metrics::counter!("savoryvane_peer_dropped_total").increment(1);
        }
    }

    /// Sends a message one way to all peers that are kept, as [`send`](Self::send) does.
    pub fn send_all(&self, message: &Message) {
        let kept: Vec<InstanceName> = self.table().gossip.keys().cloned().collect();
        for peer in kept {
            self.send(&peer, message.clone());
        }
    }

    /// Sends a request to `to`, or only to its run `incarnation`, and waits at
    /// most `timeout` for the answer.
    ///
    /// # Errors
    ///
    /// [`PeerError::is_nothing_done`] tells whether the peer may have acted.
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
            self.link_in(&mut table, to).ok_or(PeerError::NoAddress)?
        };
        link.request(incarnation, message, deadline).await
    }

    /// Sends a request to whatever instance answers at the address of `contact`,
    /// over a connection of its own, and waits at most `timeout` for the answer.
    ///
    /// # Errors
    ///
    /// [`PeerError::is_nothing_done`] tells whether the peer may have acted.
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

    fn link_in(&self, table: &mut Table, peer: &InstanceName) -> Option<Arc<Link>> {
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
        let (queue, messages) = mpsc::channel(QUEUE);
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
        if let Err(err) = gossip_once(&shared, &link, &hello, &mut messages).await {
            debug!(shared.log, "gossip stream closed"; "addr" => %link.addr(), "error" => %err);
        }
        let pause_ms = random_range(REOPEN_MS / 4..=REOPEN_MS);
        time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

async fn gossip_once(
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
