//! Copies routes and servers from other instances: continuously from the scheduler, and
//! from any instance while the store is unavailable.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use savoryvane_core::{
    forwarding::{DirectoryUpdate, KnownUpTo, TellingBudget, is_told},
    ids::{Incarnation, InstanceName},
    membership::Contact,
};
use savoryvane_wire::peer::{KnownState, Message, RoutingQuery, RoutingState};
use tokio::time;

use super::{freshness::Freshness, knowledge::Knowledge, members::Members, store::StoreClient};
use crate::{clock::Clock, lock::lock};

/// Interval between two checks of the age of this instance's routes and servers.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a query to a peer.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(800);

/// Copies routes and servers from other instances.
#[derive(Debug)]
pub(super) struct CatchUp {
    knowledge: Arc<Knowledge>,
    freshness: Arc<Freshness>,
    store: StoreClient,
    incarnation: Incarnation,
    /// Whether the store was empty when this instance started.
    is_first_start: bool,
    /// Run whose directory was copied last, and its revision.
    source: Mutex<Option<(Incarnation, u64)>>,
    clock: Clock,
    telling: Mutex<TellingBudget>,
}

impl CatchUp {
    pub(super) fn new(
        knowledge: Arc<Knowledge>,
        freshness: Arc<Freshness>,
        store: StoreClient,
        incarnation: Incarnation,
        is_first_start: bool,
        clock: Clock,
    ) -> Self {
        Self {
            knowledge,
            freshness,
            store,
            incarnation,
            is_first_start,
            source: Mutex::default(),
            clock,
            telling: Mutex::default(),
        }
    }

    /// Returns the versions, cursors and ages of what this instance knows.
    pub(super) fn known(&self, members: &Members) -> KnownState {
        let (revision, servers) = {
            let directory = self.knowledge.directory();
            (directory.revision(), directory.cursor())
        };
        KnownState {
            version: self.knowledge.version(),
            version_age_ms: self.freshness.configuration_age_ms(),
            incarnation: self.incarnation,
            revision,
            servers_age_ms: self.freshness.servers_age_ms(),
            servers,
            instances: members.list_cursor(),
            evacuations: self.knowledge.evacuations_cursor(),
            has_store: !self.store.is_failing(),
        }
    }

    /// Copies what the scheduler knows, if it has anything newer.
    pub(super) async fn follow(
        &self,
        members: &Members,
        instance: &InstanceName,
        theirs: KnownState,
    ) {
        self.freshness.on_scheduler(theirs.has_store);
        let ours = self.known(members);
        let has_read = ours.version_age_ms < u64::MAX && ours.servers_age_ms < u64::MAX;
        if !has_read && !self.is_first_start && !self.store.is_failing() {
            // This instance is reading everything from the store now; hundreds that start
            // together would overload the scheduler's link.
            return;
        }
        let has_all = self.source() == Some((theirs.incarnation, theirs.revision))
            && ours.version >= theirs.version
            && ours.instances >= theirs.instances
            && ours.evacuations >= theirs.evacuations;
        if has_all && self.is_sure_of_servers(theirs) {
            return self.note(theirs);
        }
        let question = self.question(members, Some(theirs.incarnation));
        let question = Message::RoutingQuery(question);
        let answer = members
            .peers()
            .request(instance, None, &question, CATCH_UP_TIMEOUT)
            .await;
        if let Ok(Message::RoutingState(state)) = answer {
            self.take(members, state);
        }
    }

    /// Records the scheduler's cursor of the server register, all changes of which this
    /// instance already has. Returns whether no server is marked as lapsing here; if one
    /// is, the scheduler may know more about it.
    fn is_sure_of_servers(&self, theirs: KnownState) -> bool {
        let mut directory = self.knowledge.directory();
        let is_sure = directory.lapsing_names().is_empty();
        if is_sure {
            directory.on_known_to(theirs.servers);
        }
        is_sure
    }

    /// Returns the query for everything that the run `of` knows beyond this instance.
    fn question(&self, members: &Members, of: Option<Incarnation>) -> RoutingQuery {
        let source = self.source();
        let source = source.filter(|(incarnation, _)| Some(*incarnation) == of);
        let (servers, lapsing) = {
            let directory = self.knowledge.directory();
            (directory.cursor(), directory.lapsing_names())
        };
        RoutingQuery {
            version: self.knowledge.version(),
            revision: source.map(|(_, revision)| revision),
            servers,
            instances: members.list_cursor(),
            has_store: !self.store.is_failing(),
            lapsing,
        }
    }

    /// Merges a peer's state, as far as it is newer.
    fn take(&self, members: &Members, state: RoutingState) {
        let theirs = state.known;
        members.adopt(state.instances, theirs.instances);
        if let Some(config) = state.config {
            self.knowledge.apply_config(config, "peer");
        }
        self.knowledge.on_version_told(theirs.version);
        self.knowledge
            .update_servers(state.servers, theirs.servers, "peer");
        self.knowledge.on_lapsing_told(&state.lapsing);
        self.knowledge.update_evacuations(state.evacuations);
        *lock(&self.source) = Some((theirs.incarnation, theirs.revision));
        self.note(theirs);
    }

    /// Records that this instance knows everything that a peer knows.
    fn note(&self, theirs: KnownState) {
        self.freshness.on_configuration(theirs.version_age_ms);
        self.freshness.on_servers(theirs.servers_age_ms);
        let age_ms = theirs.version_age_ms.max(theirs.servers_age_ms);
        self.freshness.on_told(age_ms);
    }

    fn source(&self) -> Option<(Incarnation, u64)> {
        *lock(&self.source)
    }

    /// Returns what this instance knows beyond a peer, or `None` if snapshots already
    /// sent have used up the bandwidth budget.
    pub(super) fn answer(&self, members: &Members, question: RoutingQuery) -> Option<RoutingState> {
        let known_up_to = question
            .revision
            .map_or(KnownUpTo::Cursor(question.servers), KnownUpTo::Revision);
        let known = self.known(members);
        let (servers, lapsing) = {
            let directory = self.knowledge.directory();
            let mut servers = directory.update_for(known_up_to);
            directory.add_to(&mut servers, &question.lapsing);
            (servers, directory.lapsing(self.clock.now_ms()))
        };
        if let DirectoryUpdate::Whole(listing) = &servers {
            let mut telling = lock(&self.telling);
            if !telling.try_take(self.clock.now_ms(), listing.len()) {
                return None;
            }
        }
        let table = self.knowledge.table();
        let config = table
            .filter(|table| table.version() > question.version)
            .filter(|table| !question.has_store || is_told(table.config()))
            .map(|table| (**table.config()).clone());
        Some(RoutingState {
            known,
            config,
            servers,
            lapsing,
            instances: members.listed_from(question.instances),
            evacuations: self.knowledge.evacuation_state(),
        })
    }
}

/// Queries other instances for routes and servers while neither the store nor the
/// scheduler provides them.
pub(super) async fn run(members: Arc<Members>, catch_up: Arc<CatchUp>) {
    loop {
        time::sleep(CATCH_UP_INTERVAL).await;
        let has_store = !catch_up.store.is_failing();
        let reader = members.reader();
        if !catch_up.freshness.wants_reserves(reader, has_store) {
            continue;
        }
        let asked = members.contacts().into_iter().map(|contact| {
            let (members, catch_up) = (Arc::clone(&members), Arc::clone(&catch_up));
            tokio::spawn(async move { learn(&members, &catch_up, &contact).await })
        });
        for task in asked.collect::<Vec<_>>() {
            // A panic has already been reported; the next round queries again.
            let _ = task.await;
        }
    }
}

async fn learn(members: &Members, catch_up: &CatchUp, contact: &Contact) {
    let question = Message::RoutingQuery(catch_up.question(members, None));
    let answer = members
        .peers()
        .request_at(contact, &question, CATCH_UP_TIMEOUT)
        .await;
    if let Ok(Message::RoutingState(state)) = answer
        && state.known.servers_age_ms < catch_up.freshness.servers_age_ms()
    {
        catch_up.take(members, state);
    }
}
