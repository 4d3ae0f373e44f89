//! The other instances: who they are, who schedules stages, and what they know
//! while the store is away.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use savoryvane_core::{
    forwarding::Reader,
    ids::{Incarnation, InstanceName, ZoneName},
    membership::Contact,
    stages::{Candidate, SchedulerChoice},
};
use savoryvane_platform::store::{self, InstanceRecord};
use savoryvane_wire::peer::{ListedPeer, Message, SchedulerQuery, SchedulerState};
use slog::{Logger, info, warn};
use tokio::{
    sync::watch,
    time::{self, Instant},
};

use super::{
    catch_up::CatchUp, dispatch::Dispatch, follow::Batch, knowledge::Knowledge, listing::Listing,
    settings::GatewaySettings, store::StoreClient,
};
use crate::{
    clock::Clock,
    peer::{PeerError, PeerHandle, PeerId},
    phase::{Phase, Phases},
};

/// Time between two questions to the instance that schedules: with two misses
/// it is given up within a second.
const ASK_INTERVAL: Duration = Duration::from_millis(250);
/// The same while it is not known which one schedules: requests wait for that.
const LOOKING_INTERVAL: Duration = Duration::from_millis(50);
/// Time for such a question to be answered.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that a request waits until it is known which instance schedules: twice what
/// it takes where all start at once. Nobody is reached then, and an instance that is
/// alone schedules for itself.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for which one that was replaced sends on what comes to it: the others look every
/// 250 ms. What it scheduled beside the next one found servers busy, its inputs gone, and
/// was made up to four times.
const REPLACED_FOR: Duration = Duration::from_millis(1_000);
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
    listed: Mutex<Listing>,
    choice: Mutex<SchedulerChoice>,
    /// When another instance was chosen to schedule, and which one.
    replaced: Mutex<Option<(Instant, InstanceName)>>,
    /// Told when more is known of which instances are reached.
    heard: watch::Sender<()>,
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

    /// Waits until it is known which instance schedules, for `longest` at most, and
    /// returns the one that seems to.
    pub(super) async fn settled(&self, longest: Duration) -> Option<InstanceName> {
        let until = Instant::now() + longest.min(SETTLE_TIMEOUT);
        let mut heard = self.heard.subscribe();
        loop {
            if let Some(scheduler) = self.scheduler() {
                return Some(scheduler);
            }
            let look = (Instant::now() + LOOKING_INTERVAL).min(until);
            // The sender lives as long as `self`.
            let _ = time::timeout_at(look, heard.changed()).await;
            if Instant::now() >= until {
                return self.choice().current().cloned();
            }
        }
    }

    /// Returns what this instance has to do with the store.
    pub(super) fn reader(&self) -> Reader {
        let scheduler = self.scheduler();
        let listed = self.listed();
        Reader::of(&self.me, scheduler.as_ref(), listed.reserves())
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
                    position: record.offset,
                }),
                Err(err) => {
                    warn!(self.log, "instance not understood"; "peer" => &record.key,
                        "error" => %err);
                }
            }
        }
        self.adopt(peers, batch.position);
    }

    /// Takes over what the store or a peer lists that knows the list up to `position`.
    pub(super) fn adopt(&self, peers: Vec<ListedPeer>, position: u64) {
        let has_changed = self.listed().update(peers, position);
        if has_changed {
            self.take_list();
        }
    }

    /// Returns the position up to which the list is known.
    pub(super) fn list_position(&self) -> u64 {
        self.listed().position()
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

    /// Returns the instances whose entries are at the position `from` or later.
    pub(super) fn listed_from(&self, from: u64) -> Vec<ListedPeer> {
        let listed = self.listed();
        let later = listed.peers().filter(|peer| peer.position >= from);
        later.cloned().collect()
    }

    fn take_list(&self) {
        let listed = self.listed();
        let count = u32::try_from(listed.peers().count()).unwrap_or(u32::MAX);
        info!(self.log, "instances listed"; "instances" => count, "position" => listed.position());
        self.knowledge.budgets().on_listed(count);
        let others = listed.peers().filter(|peer| peer.instance != self.me);
        self.peers.set_addrs(others.map(contact));
        let candidates = listed.peers().map(|peer| Candidate {
            instance: peer.instance.clone(),
            cores: peer.cores,
        });
        self.choice().set_candidates(candidates.collect());
    }

    fn listed(&self) -> MutexGuard<'_, Listing> {
        self.listed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the instance that schedules could not be reached or gave no
    /// answer, so that another one is asked.
    pub(super) fn on_scheduler_lost(&self, instance: &InstanceName, err: &PeerError) {
        warn!(self.log, "scheduler lost"; "scheduler" => %instance, "error" => %err);
        self.choice().on_unreachable(self.clock.now_ms(), instance);
        self.heard.send_replace(());
    }

    /// Waits until `instance` is found not to be reached.
    pub(super) async fn lost(&self, instance: &InstanceName) {
        let mut heard = self.heard.subscribe();
        while !self.choice().is_away(instance) {
            // The sender lives as long as `self`.
            let _ = heard.changed().await;
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
    store: StoreClient,
) {
    let mut heard = members.heard.subscribe();
    let mut current = None;
    loop {
        let interval = match current {
            Some(_) => ASK_INTERVAL,
            None => LOOKING_INTERVAL,
        };
        let next_look = Instant::now() + interval;
        let now_ms = members.clock.now_ms();
        members.choice().on_look(now_ms);
        let asked = members.choice().to_ask(now_ms);
        for instance in asked {
            if members.is_me(&instance) {
                members.ask_self(&phases);
            } else {
                tokio::spawn(ask(Arc::clone(&members), instance, Arc::clone(&catch_up)));
            }
        }
        // What is heard meanwhile may tell which one schedules.
        loop {
            let now = members.scheduler();
            if now != current {
                members.on_chosen(current.as_ref(), now.as_ref(), &dispatch);
                store.set_reader(members.reader());
                let is_lost = now.is_none();
                current = now;
                if is_lost {
                    break;
                }
            }
            tokio::select! {
                () = time::sleep_until(next_look) => break,
                _ = heard.changed() => {}
                () = phases.reached(Phase::Leaving), if !phases.is_leaving() => break,
            }
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
    members.heard.send_replace(());
    if let Some(SchedulerState { known, .. }) = state {
        catch_up.follow(&members, &instance, known).await;
    }
}

impl Members {
    /// Answers the question of whether this instance schedules.
    fn ask_self(&self, phases: &Phases) {
        if phases.is_leaving() {
            self.on_scheduler_declined(&self.me);
        } else {
            self.choice().on_answer(&self.me);
        }
    }

    /// Hands over what this instance schedules to the one that does now: also what it
    /// began while it did not know of that one.
    fn on_chosen(
        &self,
        before: Option<&InstanceName>,
        now: Option<&InstanceName>,
        dispatch: &Arc<Dispatch>,
    ) {
        info!(self.log, "scheduler chosen"; "scheduler" => now.map(ToString::to_string),
            "before" => before.map(ToString::to_string));
        let other = now.filter(|now| !self.is_me(now));
        *self.replaced() = other.map(|other| (Instant::now(), other.clone()));
        if other.is_some() {
            dispatch.hand_over(other);
        }
    }

    /// Returns the instance that has begun to schedule instead of this one a moment ago:
    /// what others still send here is sent on. Later they have a reason to, since they
    /// do not reach that one.
    pub(super) fn replaced_by(&self) -> Option<InstanceName> {
        let replaced = self.replaced();
        let (since, other) = replaced.as_ref()?;
        (since.elapsed() < REPLACED_FOR).then(|| other.clone())
    }

    fn replaced(&self) -> MutexGuard<'_, Option<(Instant, InstanceName)>> {
        self.replaced.lock().unwrap_or_else(PoisonError::into_inner)
    }

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
