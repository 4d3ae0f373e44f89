//! The other instances: who they are, who schedules stages, and what they know
//! while the store is away.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use savoryvane_core::{
    ids::{Incarnation, InstanceName},
    membership::Contact,
    stages::{Candidate, SchedulerChoice},
};
use savoryvane_platform::store::{self, InstanceRecord, Record};
use savoryvane_wire::peer::{ListedPeer, Message, SchedulerQuery, SchedulerState};
use slog::{Logger, info, warn};
use tokio::{
    sync::watch,
    time::{self, MissedTickBehavior},
};

use xxhash_rust::xxh3::xxh3_64;

use super::{
    catch_up::CatchUp, dispatch::Dispatch, knowledge::Knowledge, settings::GatewaySettings,
    store::StoreClient,
};
use crate::{
    clock::Clock,
    peer::{PeerError, PeerHandle, PeerId},
    phase::{Phase, Phases},
};

/// Time between two questions to the instance that schedules: with two misses
/// it is given up within a second.
const ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for such a question to be answered.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Peers that are asked at the same time for what they know.
const CATCH_UP_PEERS: usize = 2;

/// The other instances, as this one knows them.
#[derive(Debug)]
pub(super) struct Members {
    me: InstanceName,
    own_record: InstanceRecord,
    seeds: Vec<SocketAddr>,
    clock: Clock,
    log: Logger,
    peers: PeerHandle,
    knowledge: Arc<Knowledge>,
    listed: Mutex<Vec<ListedPeer>>,
    choice: Mutex<SchedulerChoice>,
    /// Told when an instance was found not to be reached.
    lost: watch::Sender<()>,
}

impl Members {
    pub(super) fn new(
        settings: &GatewaySettings,
        incarnation: Incarnation,
        clock: Clock,
        peers: PeerHandle,
        knowledge: Arc<Knowledge>,
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
            listed: Mutex::default(),
            choice: Mutex::default(),
            lost: watch::Sender::new(()),
        }
    }

    /// Returns the sender of messages to other instances.
    pub(super) fn peers(&self) -> &PeerHandle {
        &self.peers
    }

    /// Returns the instance that schedules for this one.
    pub(super) fn scheduler(&self) -> Option<InstanceName> {
        self.choice().current().cloned()
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

    /// Takes in records of the list; all of them when `is_whole`.
    pub(super) fn apply(&self, records: Vec<Record>, is_whole: bool) {
        if records.is_empty() && !is_whole {
            return;
        }
        let mut listed = self.listed.lock().unwrap_or_else(PoisonError::into_inner);
        if is_whole {
            listed.clear();
        }
        for record in records {
            let instance = InstanceName::new(&record.key);
            listed.retain(|peer| peer.instance != instance);
            let Some(value) = &record.value else { continue };
            match store::decode_instance(value) {
                Ok(decoded) => listed.push(ListedPeer {
                    instance,
                    addr: decoded.addr,
                    cores: decoded.cores,
                }),
                Err(err) => {
                    warn!(self.log, "instance not understood"; "peer" => &record.key,
                        "error" => %err);
                }
            }
        }
        let snapshot = listed.clone();
        drop(listed);
        self.take_list(&snapshot);
    }

    /// Adds the instances that a peer lists and this one does not know.
    pub(super) fn adopt(&self, list: Vec<ListedPeer>) {
        let mut listed = self.listed.lock().unwrap_or_else(PoisonError::into_inner);
        let before = listed.len();
        for peer in list {
            if !listed.iter().any(|known| known.instance == peer.instance) {
                listed.push(peer);
            }
        }
        let has_changed = listed.len() != before;
        let snapshot = listed.clone();
        drop(listed);
        if has_changed {
            self.take_list(&snapshot);
        }
    }

    /// Returns a hash of the names of the instances that are listed.
    pub(super) fn list_hash(&self) -> u64 {
        let listed = self.listed.lock().unwrap_or_else(PoisonError::into_inner);
        let names = listed
            .iter()
            .map(|peer| xxh3_64(peer.instance.as_str().as_bytes()));
        names.fold(0, |sum, hash| sum ^ hash)
    }

    fn take_list(&self, list: &[ListedPeer]) {
        info!(self.log, "instances listed"; "instances" => list.len());
        let count = u32::try_from(list.len()).unwrap_or(u32::MAX);
        self.knowledge.budgets().on_listed(count);
        let others = list.iter().filter(|peer| peer.instance != self.me);
        self.peers.set_addrs(others.map(|peer| Contact {
            instance: peer.instance.clone(),
            addr: peer.addr,
        }));
        let candidates = list.iter().map(|peer| Candidate {
            instance: peer.instance.clone(),
            cores: peer.cores,
        });
        self.choice().set_candidates(candidates.collect());
    }

    /// Returns the instances that are listed.
    pub(super) fn listed(&self) -> Vec<ListedPeer> {
        let listed = self.listed.lock().unwrap_or_else(PoisonError::into_inner);
        listed.clone()
    }

    /// Notes that the instance that schedules could not be reached or gave no
    /// answer, so that another one is asked.
    pub(super) fn on_scheduler_lost(&self, instance: &InstanceName, err: &PeerError) {
        warn!(self.log, "scheduler lost"; "scheduler" => %instance, "error" => %err);
        self.choice().on_unreachable(self.clock.now_ms(), instance);
        self.lost.send_replace(());
    }

    /// Waits until `instance` is found not to be reached.
    pub(super) async fn lost(&self, instance: &InstanceName) {
        let mut lost = self.lost.subscribe();
        while !self.choice().is_away(instance) {
            // The sender lives as long as `self`.
            let _ = lost.changed().await;
        }
    }

    /// Notes that the instance that scheduled names another one, which it
    /// reaches; whether this one does shows when it is asked.
    pub(super) fn on_scheduler_told(&self, instance: &InstanceName) {
        self.choice().on_answer(instance);
    }

    /// Notes that an instance does not schedule for others.
    pub(super) fn on_scheduler_declined(&self, instance: &InstanceName) {
        self.choice().on_declined(self.clock.now_ms(), instance);
    }

    fn choice(&self) -> MutexGuard<'_, SchedulerChoice> {
        self.choice.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Asks the instance that schedules, and those that went before it, whether
/// they are there.
pub(super) async fn watch_scheduler(
    members: Arc<Members>,
    catch_up: Arc<CatchUp>,
    dispatch: Arc<Dispatch>,
    phases: Arc<Phases>,
) {
    let mut ticks = time::interval(ASK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut current = None;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = phases.reached(Phase::Leaving), if !phases.is_leaving() => {}
        }
        let asked = members.choice().to_ask(members.clock.now_ms());
        for instance in asked {
            if members.is_me(&instance) {
                if phases.is_leaving() {
                    members.on_scheduler_declined(&instance);
                } else {
                    members.choice().on_answer(&instance);
                }
                continue;
            }
            tokio::spawn(ask(Arc::clone(&members), instance, Arc::clone(&catch_up)));
        }
        let now = members.scheduler();
        if now != current {
            if current.as_ref().is_some_and(|before| members.is_me(before)) {
                dispatch.hand_over(now.as_ref());
            }
            info!(members.log, "scheduler chosen";
                "scheduler" => now.as_ref().map(ToString::to_string),
                "before" => current.as_ref().map(|name: &InstanceName| name.to_string()));
            current = now;
        }
    }
}

async fn ask(members: Arc<Members>, instance: InstanceName, catch_up: Arc<CatchUp>) {
    let question = Message::SchedulerQuery(SchedulerQuery);
    let answer = members
        .peers
        .request(&instance, None, &question, ASK_TIMEOUT)
        .await;
    let now_ms = members.clock.now_ms();
    let state = {
        let mut choice = members.choice();
        match answer {
            Ok(Message::SchedulerState(state)) if state.is_taking => {
                choice.on_answer(&instance);
                Some(state)
            }
            Ok(_) => {
                choice.on_declined(now_ms, &instance);
                None
            }
            Err(err) => {
                if err.is_nothing_done() {
                    choice.on_unreachable(now_ms, &instance);
                } else {
                    choice.on_miss(now_ms, &instance);
                }
                None
            }
        }
    };
    members.lost.send_replace(());
    if let Some(SchedulerState { known, .. }) = state {
        catch_up.follow(&members, &instance, known).await;
    }
}

impl Members {
    /// Chooses instances to ask: listed ones, or the first contacts of the
    /// settings while none is listed.
    pub(super) fn contacts(&self) -> Vec<Contact> {
        let listed = self.listed();
        let mut contacts: Vec<Contact> = listed
            .into_iter()
            .filter(|peer| peer.instance != self.me)
            .map(|peer| Contact {
                instance: peer.instance,
                addr: peer.addr,
            })
            .collect();
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

/// Returns who this instance is to its peers.
pub(super) fn peer_id(settings: &GatewaySettings, incarnation: Incarnation) -> PeerId {
    PeerId {
        instance: settings.instance.clone(),
        incarnation,
    }
}
