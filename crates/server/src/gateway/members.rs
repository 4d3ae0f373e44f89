//! The other instances: their addresses, which of them is the scheduler, and which to
//! query for state while the store is unavailable.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
};

use savoryvane_core::{
    forwarding::{Cursor, StoreRole},
    ids::{Incarnation, InstanceName, ZoneName},
    membership::Contact,
    stages::{Candidate, SchedulerSelector},
};
use savoryvane_platform::store::{self, InstanceRecord};
use savoryvane_wire::peer::ListedPeer;
use slog::{Logger, info, warn};
use tokio::{sync::watch, time::Instant};

use super::{
    batch::Batch, instance_list::InstanceList, limits::LimitSharing, routing_view::RoutingView,
    settings::GatewaySettings, store::StoreClient,
};
use crate::{
    clock::Clock,
    lock::lock,
    peer::{PeerHandle, PeerId},
};

/// Number of peers that are queried for their state at the same time.
const CATCH_UP_PEERS: usize = 2;

/// The other instances, as this one knows them.
#[derive(Debug)]
pub(super) struct Members {
    pub(super) me: InstanceName,
    own_record: InstanceRecord,
    seeds: Vec<SocketAddr>,
    pub(super) clock: Clock,
    pub(super) log: Logger,
    peers: PeerHandle,
    view: Arc<RoutingView>,
    limits: Arc<LimitSharing>,
    list: Mutex<InstanceList>,
    /// Store era in which this instance has written its entry again.
    entry_rewritten_in_era: AtomicU64,
    choice: Mutex<SchedulerSelector>,
    /// When another instance replaced this one as the scheduler, and which one.
    pub(super) replacement: Mutex<Option<(Instant, InstanceName)>>,
    /// Notified when the reachability of an instance is updated.
    pub(super) reachability_changed: watch::Sender<()>,
}

impl Members {
    pub(super) fn new(
        settings: &GatewaySettings,
        incarnation: Incarnation,
        clock: Clock,
        peers: PeerHandle,
        view: Arc<RoutingView>,
        limits: Arc<LimitSharing>,
        log: Logger,
    ) -> Self {
        Self {
            me: settings.instance.clone(),
            own_record: InstanceRecord {
                addr: settings.listen.peer,
                zone: settings.zone.to_string(),
                incarnation: incarnation.0,
                cores: settings.cores,
            },
            seeds: settings.seeds.clone(),
            clock,
            log,
            peers,
            view,
            limits,
            list: Mutex::default(),
            entry_rewritten_in_era: AtomicU64::new(0),
            choice: Mutex::default(),
            replacement: Mutex::default(),
            reachability_changed: watch::Sender::new(()),
        }
    }

    /// Returns the sender of messages to other instances.
    pub(super) fn peers(&self) -> &PeerHandle {
        &self.peers
    }

    /// Returns the scheduler of this instance, once it is known.
    pub(super) fn scheduler(&self) -> Option<InstanceName> {
        self.choice().settled(self.clock.now_ms()).cloned()
    }

    /// Returns this instance's role in reading the store.
    pub(super) fn reader(&self) -> StoreRole {
        let scheduler = self.scheduler();
        let list = self.list();
        StoreRole::of(&self.me, scheduler.as_ref(), list.reserves())
    }

    /// Returns whether `instance` is this one.
    pub(super) fn is_self(&self, instance: &InstanceName) -> bool {
        *instance == self.me
    }

    /// Writes this instance's entry into the list in the store.
    pub(super) async fn write_own_entry(&self, store: &StoreClient) -> super::store::Result<()> {
        store
            .write_instance(self.me.as_str(), &self.own_record)
            .await
    }

    /// Applies a read of the list.
    pub(super) fn apply_batch(&self, batch: Batch) {
        let mut peers = Vec::with_capacity(batch.records.len());
        for record in &batch.records {
            let Some(value) = &record.value else { continue };
            match store::decode_instance(value) {
                Ok(decoded) => peers.push(ListedPeer {
                    instance: InstanceName::new(&record.key),
                    addr: decoded.addr,
                    zone: ZoneName::new(decoded.zone),
                    cores: decoded.cores,
                    position: batch.position(record),
                }),
                Err(err) => {
                    warn!(self.log, "invalid instance entry"; "peer" => &record.key,
                        "error" => %err);
                }
            }
        }
        let cursor = batch.cursor(self.list_cursor());
        self.merge_list(peers, cursor);
    }

    /// Merges entries from the store or from a peer that knows the list up to `cursor`.
    pub(super) fn merge_list(&self, peers: Vec<ListedPeer>, cursor: Cursor) {
        let has_changed = self.list().update(peers, cursor);
        if has_changed {
            self.on_list_changed();
        }
    }

    /// Returns the position up to which the list is known.
    pub(super) fn list_cursor(&self) -> Cursor {
        self.list().cursor()
    }

    /// Returns whether the store was restored from a copy that lacks this instance, and
    /// this instance has not written its entry again yet.
    pub(super) fn is_missing_in_copy(&self) -> bool {
        let list = self.list();
        let written_in = self.entry_rewritten_in_era.load(Ordering::Relaxed);
        written_in < list.cursor().era && list.is_missing_in_copy(&self.me)
    }

    /// Records that this instance has written its entry again.
    pub(super) fn on_entry_rewritten(&self) {
        let era = self.list_cursor().era;
        self.entry_rewritten_in_era
            .fetch_max(era, Ordering::Relaxed);
    }

    /// Returns whether this instance's entry in the list, as read, is correct. The
    /// entry's incarnation does not matter to others, so an instance that restarts need
    /// not write again.
    pub(super) fn is_own_entry_current(&self, batch: &Batch) -> bool {
        let mut records = batch.records.iter().rev();
        let own = records.find(|record| record.key == self.me.as_str());
        let own = own.and_then(|record| store::decode_instance(record.value.as_ref()?).ok());
        own.is_some_and(|own| {
            let incarnation = self.own_record.incarnation;
            let own_with_same_run = InstanceRecord { incarnation, ..own };
            own_with_same_run == self.own_record
        })
    }

    /// Returns the entries that are new to a peer that knows the list up to `known`.
    pub(super) fn entries_since(&self, known: Cursor) -> Vec<ListedPeer> {
        let list = self.list();
        let from = known.position();
        let later = list.peers().filter(|peer| peer.position >= from);
        later.cloned().collect()
    }

    fn on_list_changed(&self) {
        let list = self.list();
        let count = u32::try_from(list.peers().count()).unwrap_or(u32::MAX);
        info!(self.log, "instances listed"; "instances" => count, "position" => %list.cursor());
        self.view.budgets().on_listed(count);
        let names = list.peers().map(|peer| peer.instance.clone());
        let names: Vec<InstanceName> = names.collect();
        self.view.fleet().cold().set_listed(&names);
        self.limits.set_listed(&names);
        let others = list.peers().filter(|peer| peer.instance != self.me);
        self.peers.set_addrs(others.map(contact));
        let candidates = list.peers().map(|peer| Candidate {
            instance: peer.instance.clone(),
            cores: peer.cores,
        });
        let mut candidates: Vec<Candidate> = candidates.collect();
        if list.peer(&self.me).is_none() {
            // An instance that could not write its entry yet and reaches no other is its
            // own scheduler.
            candidates.push(Candidate {
                instance: self.me.clone(),
                cores: self.own_record.cores,
            });
        }
        self.choice().set_candidates(candidates);
    }

    fn list(&self) -> MutexGuard<'_, InstanceList> {
        lock(&self.list)
    }

    pub(super) fn choice(&self) -> MutexGuard<'_, SchedulerSelector> {
        lock(&self.choice)
    }
}

impl Members {
    /// Chooses instances to query for their state: reserves, or the seeds from the
    /// settings while no instance is listed.
    pub(super) fn catch_up_contacts(&self) -> Vec<Contact> {
        let list = self.list();
        let reserves = list.reserves().iter().filter(|name| **name != self.me);
        let mut contacts: Vec<Contact> = reserves
            .filter_map(|name| list.peer(name))
            .map(contact)
            .collect();
        drop(list);
        if contacts.is_empty() {
            let others = self
                .seeds
                .iter()
                .filter(|addr| **addr != self.own_record.addr);
            contacts.extend(others.map(|addr| Contact {
                instance: InstanceName::new(addr.to_string()),
                addr: *addr,
            }));
        }
        while contacts.len() > CATCH_UP_PEERS {
            contacts.swap_remove(rand::random_range(0..contacts.len()));
        }
        contacts
    }
}

fn contact(peer: &ListedPeer) -> Contact {
    Contact {
        instance: peer.instance.clone(),
        addr: peer.addr,
    }
}

/// Returns the identity of this instance towards its peers.
pub(super) fn peer_id(settings: &GatewaySettings, incarnation: Incarnation) -> PeerId {
    PeerId {
        instance: settings.instance.clone(),
        incarnation,
    }
}
