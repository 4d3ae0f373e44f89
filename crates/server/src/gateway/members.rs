//! The other instances: their addresses, which of them is the scheduler, and which to
//! query for state while the store is unavailable.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use savoryvane_core::{
    forwarding::{CellLayout, Cursor, Position, RelayCandidate, Scope, StoreRole},
    ids::{Incarnation, InstanceName, ZoneName},
    membership::Contact,
    stages::{Candidate, SchedulerSelector},
};
use savoryvane_platform::store::{self, InstanceRecord};
use savoryvane_wire::peer::{ListedLayout, ListedPeer};
use slog::{Logger, info, warn};
use tokio::{
    sync::watch,
    time::{self, Instant},
};

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
    /// Choice of the scheduler of this instance's cell.
    choice: Mutex<SchedulerSelector>,
    /// Choice of the scheduler of the cell that reads the store, by the scheduler of another
    /// cell.
    upstream: Mutex<SchedulerSelector>,
    /// When another instance replaced this one as the scheduler, and which one.
    pub(super) replacement: Mutex<Option<(Instant, InstanceName)>>,
    /// Notified when the reachability of an instance is updated.
    pub(super) reachability_changed: watch::Sender<()>,
    /// Whether the list has been read or received.
    is_listed: watch::Sender<bool>,
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
            upstream: Mutex::default(),
            replacement: Mutex::default(),
            reachability_changed: watch::Sender::new(()),
            is_listed: watch::Sender::new(false),
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

    /// Returns whether this instance is its own scheduler.
    pub(super) fn is_scheduler(&self) -> bool {
        self.scheduler().is_some_and(|name| self.is_self(&name))
    }

    /// Returns this instance's role in reading the store.
    pub(super) fn reader(&self) -> StoreRole {
        let scheduler = self.scheduler();
        let list = self.list();
        if list.layout().reading_cell().has_instance(&self.me) {
            return StoreRole::of(&self.me, scheduler.as_ref(), list.reserves());
        }
        match scheduler {
            Some(scheduler) if scheduler != self.me => StoreRole::CellMember,
            _ => StoreRole::Follower,
        }
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
        let mut layout = None;
        for record in &batch.records {
            let Some(value) = &record.value else { continue };
            if record.key == store::CELLS_KEY {
                layout = self.decode_layout(value, batch.position(record));
                continue;
            }
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
        self.merge_list(peers, layout, cursor);
    }

    fn decode_layout(&self, value: &[u8], position: Position) -> Option<ListedLayout> {
        match store::decode_cells(value) {
            Ok(layout) => Some(ListedLayout { layout, position }),
            Err(err) => {
                warn!(self.log, "invalid number of cells"; "error" => %err);
                None
            }
        }
    }

    /// Merges entries and the number of cells from the store or from a peer that knows the
    /// list up to `cursor`.
    pub(super) fn merge_list(
        &self,
        peers: Vec<ListedPeer>,
        layout: Option<ListedLayout>,
        cursor: Cursor,
    ) {
        let has_changed = self.list().update(peers, layout, cursor);
        if has_changed {
            self.on_list_changed();
        }
        if !cursor.is_start() {
            self.is_listed.send_replace(true);
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
        let before = list.peers().take_while(|peer| peer.instance < self.me);
        let rank = u32::try_from(before.count()).unwrap_or(u32::MAX);
        self.view.budgets().on_listed(count, rank);
        let (layout, cell) = (list.layout(), list.layout().cell_of(&self.me));
        let names = list.peers_in(cell).map(|peer| peer.instance.clone());
        let names: Vec<InstanceName> = names.collect();
        {
            let mut fleet = self.view.fleet();
            fleet.cold().set_listed(&names);
            fleet.demand().set_instances(names.len());
            fleet.brittle().set_instances(names.len());
        }
        self.limits.set_listed(&names);
        let others = list.peers().filter(|peer| peer.instance != self.me);
        self.peers.set_addrs(others.map(contact));
        let mut candidates: Vec<Candidate> = list.peers_in(cell).map(candidate).collect();
        if list.peer(&self.me).is_none() {
            // An instance that could not write its entry yet and reaches no other is its
            // own scheduler.
            candidates.push(Candidate {
                instance: self.me.clone(),
                cores: self.own_record.cores,
            });
        }
        let reading = list.peers_in(layout.reading_cell()).map(candidate);
        let reading: Vec<Candidate> = reading.collect();
        self.choice().set_candidates(candidates);
        self.upstream().set_candidates(reading);
        metrics::gauge!("savoryvane_cells").set(f64::from(layout.cells()));
        metrics::gauge!("savoryvane_cell_instances").set(names.len() as f64);
    }

    fn list(&self) -> MutexGuard<'_, InstanceList> {
        lock(&self.list)
    }

    pub(super) fn choice(&self) -> MutexGuard<'_, SchedulerSelector> {
        lock(&self.choice)
    }

    pub(super) fn upstream(&self) -> MutexGuard<'_, SchedulerSelector> {
        lock(&self.upstream)
    }
}

/// Cells of the fleet.
impl Members {
    /// Returns the number of cells.
    pub(super) fn layout(&self) -> CellLayout {
        self.list().layout()
    }

    /// Returns the number of cells as listed in the store.
    pub(super) fn listed_layout(&self) -> Option<ListedLayout> {
        self.list().listed_layout()
    }

    /// Returns the cell of this instance.
    pub(super) fn cell(&self) -> Scope {
        self.layout().cell_of(&self.me)
    }

    /// Returns whether this instance schedules for a cell that does not read the store, so
    /// that it gets updates from the scheduler of the cell that does.
    pub(super) fn needs_upstream(&self) -> bool {
        let layout = self.layout();
        layout.cell_of(&self.me) != layout.reading_cell() && self.is_scheduler()
    }

    /// Returns the instances of this one's cell, which use the same servers.
    pub(super) fn relay_candidates(&self) -> Vec<RelayCandidate> {
        let cell = self.cell();
        let list = self.list();
        let candidates = list.peers_in(cell).map(|peer| RelayCandidate {
            instance: peer.instance.clone(),
            zone: peer.zone.clone(),
        });
        candidates.collect()
    }

    /// Returns the listed instances of `cell`, or of this instance's cell, with their availability
    /// zones.
    pub(super) fn listed_in_cell(&self, cell: Option<u32>) -> Vec<(InstanceName, ZoneName)> {
        let list = self.list();
        let layout = list.layout();
        let scope = cell.and_then(|cell| layout.cell(cell));
        let scope = scope.unwrap_or_else(|| layout.cell_of(&self.me));
        let peers = list.peers_in(scope);
        peers
            .map(|peer| (peer.instance.clone(), peer.zone.clone()))
            .collect()
    }

    /// Returns the address at which `instance` serves other instances.
    pub(super) fn peer_addr(&self, instance: &InstanceName) -> Option<SocketAddr> {
        self.list().peer(instance).map(|peer| peer.addr)
    }

    /// Returns the availability zone of this instance.
    pub(super) fn zone(&self) -> ZoneName {
        ZoneName::new(&self.own_record.zone)
    }

    /// Returns the number of listed instances.
    pub(super) fn count(&self) -> usize {
        self.list().peers().count()
    }

    /// Returns the number of instances that may query this one for updates: those of its cell,
    /// and the schedulers of the others.
    pub(super) fn receivers(&self) -> usize {
        let cell = self.cell();
        let list = self.list();
        list.peers_in(cell).count() + list.layout().cells() as usize - 1
    }

    /// Waits until the list of instances has been read or received, for `timeout` at most.
    pub(super) async fn listed(&self, timeout: Duration) {
        let mut is_listed = self.is_listed.subscribe();
        // The sender lives as long as `self`.
        let _ = time::timeout(timeout, is_listed.wait_for(|is_listed| *is_listed)).await;
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

fn candidate(peer: &ListedPeer) -> Candidate {
    Candidate {
        instance: peer.instance.clone(),
        cores: peer.cores,
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
