//! Copies routes and servers from other instances: continuously from the scheduler, and
//! from any instance while the store is unavailable.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use savoryvane_core::{
    forwarding::{DirectoryUpdate, ListingBudget, SyncPoint, is_relayed_to_peers},
    ids::{Incarnation, InstanceName},
    membership::Contact,
};
use savoryvane_wire::peer::{KnownState, Message, RoutingQuery, RoutingState};
use tokio::time;

use super::{
    freshness::Freshness, members::Members, routing_view::RoutingView, store::StoreClient,
};
use crate::{clock::Clock, lock::lock};

/// Interval between two checks of the age of this instance's routes and servers.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a query to a peer.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);

/// Copies routes and servers from other instances.
#[derive(Debug)]
pub(super) struct CatchUp {
    view: Arc<RoutingView>,
    freshness: Arc<Freshness>,
    store: StoreClient,
    incarnation: Incarnation,
    /// Whether the store was empty when this instance started.
    is_first_start: bool,
    /// Run whose directory was copied last, and its revision.
    source: Mutex<Option<(Incarnation, u64)>>,
    clock: Clock,
    snapshot_budget: Mutex<ListingBudget>,
}

impl CatchUp {
    pub(super) fn new(
        view: Arc<RoutingView>,
        freshness: Arc<Freshness>,
        store: StoreClient,
        incarnation: Incarnation,
        is_first_start: bool,
        clock: Clock,
    ) -> Self {
        Self {
            view,
            freshness,
            store,
            incarnation,
            is_first_start,
            source: Mutex::default(),
            clock,
            snapshot_budget: Mutex::default(),
        }
    }

    /// Returns the versions, cursors and ages of what this instance knows.
    pub(super) fn known(&self, members: &Members) -> KnownState {
        let (revision, servers) = {
            let directory = self.view.directory();
            (directory.revision(), directory.cursor())
        };
        KnownState {
            version: self.view.version(),
            version_age_ms: self.freshness.configuration_age_ms(),
            incarnation: self.incarnation,
            revision,
            servers_age_ms: self.freshness.servers_age_ms(),
            servers,
            instances: members.list_cursor(),
            evacuations: self.view.evacuations_cursor(),
            has_store: !self.store.is_failing(),
        }
    }

    /// Copies what the scheduler knows, if it has anything newer.
    pub(super) async fn follow_scheduler(
        &self,
        members: &Members,
        instance: &InstanceName,
        remote: KnownState,
    ) {
        self.freshness.on_scheduler_state(remote.has_store);
        let local = self.known(members);
        let has_read = local.version_age_ms < u64::MAX && local.servers_age_ms < u64::MAX;
        if !has_read && !self.is_first_start && !self.store.is_failing() {
            // This instance is reading everything from the store now; hundreds that start
            // together would overload the scheduler's link.
            return;
        }
        let is_current = self.source() == Some((remote.incarnation, remote.revision))
            && local.version >= remote.version
            && local.instances >= remote.instances
            && local.evacuations >= remote.evacuations;
        if is_current && self.confirm_servers_current(remote) {
            return self.record_synced(remote);
        }
        let query = self.build_query(members, Some(remote.incarnation));
        let query = Message::RoutingQuery(query);
        let response = members
            .peers()
            .request(instance, None, &query, QUERY_TIMEOUT)
            .await;
        if let Ok(Message::RoutingState(state)) = response {
            self.apply(members, state);
        }
    }

    /// Records the scheduler's cursor of the server register, all changes of which this
    /// instance already has. Returns whether no server is marked as lapsing here; if one
    /// is, the scheduler may know more about it.
    fn confirm_servers_current(&self, remote: KnownState) -> bool {
        let mut directory = self.view.directory();
        let is_confirmed = directory.expiring_names().is_empty();
        if is_confirmed {
            directory.advance_cursor(remote.servers);
        }
        is_confirmed
    }

    /// Returns the query for everything that the run `of` knows beyond this instance.
    fn build_query(&self, members: &Members, of: Option<Incarnation>) -> RoutingQuery {
        let source = self.source();
        let source = source.filter(|(incarnation, _)| Some(*incarnation) == of);
        let (servers, lapsing) = {
            let directory = self.view.directory();
            (directory.cursor(), directory.expiring_names())
        };
        RoutingQuery {
            version: self.view.version(),
            revision: source.map(|(_, revision)| revision),
            servers,
            instances: members.list_cursor(),
            has_store: !self.store.is_failing(),
            lapsing,
        }
    }

    /// Merges a peer's state, as far as it is newer.
    fn apply(&self, members: &Members, state: RoutingState) {
        let remote = state.known;
        members.merge_list(state.instances, remote.instances);
        if let Some(config) = state.config {
            self.view.apply_config(config, "peer");
        }
        self.view.on_version_advertised(remote.version);
        self.view
            .update_servers(state.servers, remote.servers, "peer");
        self.view.on_lapsing_advertised(&state.lapsing);
        self.view.update_evacuations(state.evacuations);
        *lock(&self.source) = Some((remote.incarnation, remote.revision));
        self.record_synced(remote);
    }

    /// Records that this instance knows everything that a peer knows.
    fn record_synced(&self, remote: KnownState) {
        self.freshness.on_configuration(remote.version_age_ms);
        self.freshness.on_servers(remote.servers_age_ms);
        let age_ms = remote.version_age_ms.max(remote.servers_age_ms);
        self.freshness.on_synced(age_ms);
    }

    fn source(&self) -> Option<(Incarnation, u64)> {
        *lock(&self.source)
    }

    /// Returns what this instance knows beyond a peer, or `None` if snapshots already
    /// sent have used up the bandwidth budget.
    pub(super) fn respond(&self, members: &Members, query: RoutingQuery) -> Option<RoutingState> {
        let known_up_to = query
            .revision
            .map_or(SyncPoint::Cursor(query.servers), SyncPoint::Revision);
        let known = self.known(members);
        let (servers, lapsing) = {
            let directory = self.view.directory();
            let mut servers = directory.update_for(known_up_to);
            directory.include_entries(&mut servers, &query.lapsing);
            (servers, directory.expiring(self.clock.now_ms()))
        };
        if let DirectoryUpdate::Whole(listing) = &servers {
            let mut snapshot_budget = lock(&self.snapshot_budget);
            if !snapshot_budget.try_take(self.clock.now_ms(), listing.len()) {
                return None;
            }
        }
        let table = self.view.table();
        let config = table
            .filter(|table| table.version() > query.version)
            .filter(|table| !query.has_store || is_relayed_to_peers(table.config()))
            .map(|table| (**table.config()).clone());
        Some(RoutingState {
            known,
            config,
            servers,
            lapsing,
            instances: members.entries_since(query.instances),
            evacuations: self.view.evacuation_state(),
        })
    }
}

/// Queries other instances for routes and servers while neither the store nor the
/// scheduler provides them.
pub(super) async fn run(members: Arc<Members>, catch_up: Arc<CatchUp>) {
    loop {
        time::sleep(CHECK_INTERVAL).await;
        let has_store = !catch_up.store.is_failing();
        let reader = members.reader();
        if !catch_up.freshness.queries_reserves(reader, has_store) {
            continue;
        }
        let queries = members.catch_up_contacts().into_iter().map(|contact| {
            let (members, catch_up) = (Arc::clone(&members), Arc::clone(&catch_up));
            tokio::spawn(async move { query_peer(&members, &catch_up, &contact).await })
        });
        for task in queries.collect::<Vec<_>>() {
            // A panic has already been reported; the next round queries again.
            let _ = task.await;
        }
    }
}

async fn query_peer(members: &Members, catch_up: &CatchUp, contact: &Contact) {
    let query = Message::RoutingQuery(catch_up.build_query(members, None));
    let response = members
        .peers()
        .request_at(contact, &query, QUERY_TIMEOUT)
        .await;
    if let Ok(Message::RoutingState(state)) = response
        && state.known.servers_age_ms < catch_up.freshness.servers_age_ms()
    {
        catch_up.apply(members, state);
    }
}
