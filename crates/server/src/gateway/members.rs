//! The other instances: who they are, who schedules stages, and what they know
//! while the store is away.

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
    batch::Batch, knowledge::Knowledge, limits::LimitSharing, listing::Listing,
    settings::GatewaySettings, store::StoreClient,
};
use crate::{
    clock::Clock,
    lock::lock,
    peer::{PeerHandle, PeerId},
};

/// Peers that are asked at the same time for what they know.
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
    knowledge: Arc<Knowledge>,
    limits: Arc<LimitSharing>,
    listed: Mutex<Listing>,
    /// Era of the store in which this instance has written itself again.
    listed_again_in: AtomicU64,
    choice: Mutex<SchedulerSelector>,
    /// When another instance was chosen to schedule, and which one.
    pub(super) replaced: Mutex<Option<(Instant, InstanceName)>>,
    /// Told when more is known of which instances are reached.
    pub(super) heard: watch::Sender<()>,
}

impl Members {
    pub(super) fn new(
        settings: &GatewaySettings,
        incarnation: Incarnation,
        clock: Clock,
        peers: PeerHandle,
        knowledge: Arc<Knowledge>,
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
            knowledge,
            limits,
            listed: Mutex::default(),
            listed_again_in: AtomicU64::new(0),
            choice: Mutex::default(),
            replaced: Mutex::default(),
            heard: watch::Sender::new(()),
        }
    }

    /// Returns the sender of messages to other instances.
    pub(super) fn peers(&self) -> &PeerHandle {
        &self.peers
    }

    /// Returns the instance that schedules for this one, once that is known.
    pub(super) fn scheduler(&self) -> Option<InstanceName> {
        self.choice().settled(self.clock.now_ms()).cloned()
    }

    /// Returns what this instance has to do with the store.
    pub(super) fn reader(&self) -> StoreRole {
        let scheduler = self.scheduler();
        let listed = self.listed();
        StoreRole::of(&self.me, scheduler.as_ref(), listed.reserves())
    }

    /// Tells whether `instance` is this one.
    pub(super) fn is_me(&self, instance: &InstanceName) -> bool {
        *instance == self.me
    }

    /// Writes this instance into the list in the store.
    pub(super) async fn write_self(&self, store: &StoreClient) -> super::store::Result<()> {
        store
            .write_instance(self.me.as_str(), &self.own_record)
            .await
    }

    /// Takes over what was read of the list.
    pub(super) fn apply(&self, batch: Batch) {
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
                    warn!(self.log, "instance not understood"; "peer" => &record.key,
                        "error" => %err);
                }
            }
        }
        let cursor = batch.cursor(self.list_cursor());
        self.adopt(peers, cursor);
    }

    /// Takes over what the store or a peer lists that knows the list up to `cursor`.
    pub(super) fn adopt(&self, peers: Vec<ListedPeer>, cursor: Cursor) {
        let has_changed = self.listed().update(peers, cursor);
        if has_changed {
            self.take_list();
        }
    }

    /// Returns how far the list is known.
    pub(super) fn list_cursor(&self) -> Cursor {
        self.listed().cursor()
    }

    /// Tells whether the store has come back from a copy that lacks this instance, which
    /// has not written itself again yet.
    pub(super) fn is_missing_in_copy(&self) -> bool {
        let listed = self.listed();
        let written_in = self.listed_again_in.load(Ordering::Relaxed);
        written_in < listed.cursor().era && listed.is_missing_in_copy(&self.me)
    }

    /// Notes that this instance has written itself again.
    pub(super) fn on_listed_again(&self) {
        let era = self.list_cursor().era;
        self.listed_again_in.fetch_max(era, Ordering::Relaxed);
    }

    /// Tells whether the list, as it was read, says of this instance what it is. Its run
    /// does not matter to others, so that one that starts again need not write.
    pub(super) fn is_listed_as_it_is(&self, batch: &Batch) -> bool {
        let mut records = batch.records.iter().rev();
        let own = records.find(|record| record.key == self.me.as_str());
        let own = own.and_then(|record| store::decode_instance(record.value.as_ref()?).ok());
        own.is_some_and(|own| {
            let incarnation = self.own_record.incarnation;
            let same_run = InstanceRecord { incarnation, ..own };
            same_run == self.own_record
        })
    }

    /// Returns the instances whose entries one does not know that knows the list up to
    /// `known`.
    pub(super) fn listed_from(&self, known: Cursor) -> Vec<ListedPeer> {
        let listed = self.listed();
        let from = known.position();
        let later = listed.peers().filter(|peer| peer.position >= from);
        later.cloned().collect()
    }

    fn take_list(&self) {
        let listed = self.listed();
        let count = u32::try_from(listed.peers().count()).unwrap_or(u32::MAX);
        info!(self.log, "instances listed"; "instances" => count, "position" => %listed.cursor());
        self.knowledge.budgets().on_listed(count);
        let names = listed.peers().map(|peer| peer.instance.clone());
        let names: Vec<InstanceName> = names.collect();
        self.knowledge.fleet().cold().set_listed(&names);
        self.limits.set_listed(&names);
        let others = listed.peers().filter(|peer| peer.instance != self.me);
        self.peers.set_addrs(others.map(contact));
        let candidates = listed.peers().map(|peer| Candidate {
            instance: peer.instance.clone(),
            cores: peer.cores,
        });
        let mut candidates: Vec<Candidate> = candidates.collect();
        if listed.peer(&self.me).is_none() {
            // One that could not write itself yet and reaches nobody schedules for itself.
            candidates.push(Candidate {
                instance: self.me.clone(),
                cores: self.own_record.cores,
            });
        }
        self.choice().set_candidates(candidates);
    }

    fn listed(&self) -> MutexGuard<'_, Listing> {
        lock(&self.listed)
    }

    pub(super) fn choice(&self) -> MutexGuard<'_, SchedulerSelector> {
        lock(&self.choice)
    }
}

impl Members {
    /// Chooses instances to ask for what they know: reserves, or the first contacts of
    /// the settings while no instance is listed.
    pub(super) fn contacts(&self) -> Vec<Contact> {
        let listed = self.listed();
        let reserves = listed.reserves().iter().filter(|name| **name != self.me);
        let mut contacts: Vec<Contact> = reserves
            .filter_map(|name| listed.peer(name))
            .map(contact)
            .collect();
        drop(listed);
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

/// Returns who this instance is to its peers.
pub(super) fn peer_id(settings: &GatewaySettings, incarnation: Incarnation) -> PeerId {
    PeerId {
        instance: settings.instance.clone(),
        incarnation,
    }
}
