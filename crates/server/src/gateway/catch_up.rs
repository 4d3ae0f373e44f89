//! Copies routes and servers from other instances: continuously from the scheduler, and
//! from any instance while the store is unavailable.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use savoryvane_core::{
    forwarding::{
        CopySource, Cursor, DirectoryUpdate, ExpiringServer, ListingBudget, PeerUpdate,
        RoutingConfig, Scope, StoreRole, SyncPoint, is_relayed_to_peers,
    },
    ids::{BackendName, Incarnation, InstanceName},
    membership::Contact,
};
use savoryvane_wire::peer::{KnownState, Message, RoutingQuery, RoutingState};
use slog::info;
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
    source: Mutex<Option<CopySource>>,
    clock: Clock,
    link_bytes_per_s: u64,
    listing_budget: Mutex<ListingBudget>,
}

/// What the servers in the response to a query are relative to.
#[derive(Clone, Copy, Debug)]
struct Requested {
    /// Servers of which the sender keeps entries.
    scope: Scope,
    /// Cursor from which on changes are requested.
    since: Cursor,
}

impl CatchUp {
    pub(super) fn new(
        view: Arc<RoutingView>,
        freshness: Arc<Freshness>,
        store: StoreClient,
        incarnation: Incarnation,
        is_first_start: bool,
        link_bytes_per_s: u64,
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
            link_bytes_per_s,
            listing_budget: Mutex::new(ListingBudget::new(link_bytes_per_s)),
        }
    }

    /// Returns the versions, cursors and ages of what this instance knows.
    pub(super) fn known(&self, members: &Members) -> KnownState {
        let (revision, servers) = {
            let directory = self.view.directory();
            (directory.revision(), directory.cursor())
        };
        // Without a listing, the age of the former servers says nothing.
        let servers_age_ms = match servers.is_start() {
            true => u64::MAX,
            false => self.freshness.servers_age_ms(),
        };
        KnownState {
            version: self.view.version(),
            version_age_ms: self.freshness.configuration_age_ms(),
            incarnation: self.incarnation,
            revision,
            servers_age_ms,
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
        let starts_from_store = !self.is_first_start && !self.freshness.relies_on_peers();
        if !has_read && starts_from_store && !self.store.is_failing() {
            // This instance is reading everything from the store now; hundreds that start
            // together would overload the scheduler's link.
            return;
        }
        let copied = self
            .source()
            .map(|source| (source.incarnation, source.revision));
        let is_current = copied == Some((remote.incarnation, remote.revision))
            && local.version >= remote.version
            && local.instances >= remote.instances
            && local.evacuations >= remote.evacuations;
        if is_current && self.confirm_servers_current(remote) {
            return self.record_synced(remote);
        }
        let (query, requested) = self.build_query(members, Some(remote.incarnation));
        let query = Message::RoutingQuery(query);
        let sent_at_ms = self.clock.now_ms();
        let response = members
            .peers()
            .request(instance, None, &query, QUERY_TIMEOUT)
            .await;
        if let Ok(Message::RoutingState(state)) = response {
            self.apply(members, self.aged(state, sent_at_ms), requested);
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
            if let Some(source) = &mut *lock(&self.source)
                && source.incarnation == remote.incarnation
            {
                source.cursor = source.cursor.max(remote.servers);
            }
        }
        is_confirmed
    }

    /// Merges the time that the lapsing servers `asked` have left at a peer, which may have been
    /// in touch with the store while this instance was not.
    fn confirm_missing(&self, asked: &[BackendName], state: &RoutingState, contact: &Contact) {
        self.merge_uptime(state.known, state.store_uptime_ms);
        let known = state.lapsing.iter();
        let known = known.filter(|server| asked.contains(&server.registered_as));
        let known: Vec<ExpiringServer> = known.cloned().collect();
        if !asked.is_empty() {
            info!(self.view.log, "lapsing servers confirmed missing";
                "peer" => %contact.instance, "asked" => asked.len(), "missing" => known.len(),
                "store_uptime_ms" => state.store_uptime_ms);
        }
        self.view
            .on_lapsing_advertised(&known, self.freshness.rewrites_end_ms());
    }

    /// Merges since when a peer knows that the store responds.
    fn merge_uptime(&self, remote: KnownState, uptime_ms: u64) {
        let (age_ms, era) = (remote.servers_age_ms, remote.servers.era);
        self.freshness.on_peer_uptime(age_ms, uptime_ms, era);
    }

    /// Returns the query for everything that the run `of` knows beyond this instance, and what
    /// the servers in the response are relative to.
    fn build_query(&self, members: &Members, of: Option<Incarnation>) -> (RoutingQuery, Requested) {
        let source = self.source();
        let source = source.filter(|source| Some(source.incarnation) == of);
        let (servers, lapsing, scope, source) = {
            let directory = self.view.directory();
            let source = source.filter(|source| source.is_basis_of(&directory));
            let lapsing = directory.expiring_names();
            (directory.cursor(), lapsing, directory.scope(), source)
        };
        let requested = Requested {
            scope,
            since: source.map_or(servers, |source| source.cursor),
        };
        let query = RoutingQuery {
            version: self.view.version(),
            revision: source.map(|source| source.revision),
            servers,
            instances: members.list_cursor(),
            has_store: !self.store.is_failing(),
            lapsing,
            scope,
        };
        (query, requested)
    }

    /// Returns a state with its ages since the query for it was sent.
    fn aged(&self, mut state: RoutingState, sent_at_ms: u64) -> RoutingState {
        state.known = state.known.aged_by(self.clock.now_ms() - sent_at_ms);
        state
    }

    /// Merges a peer's state, as far as it is newer.
    fn apply(&self, members: &Members, state: RoutingState, requested: Requested) {
        let remote = state.known;
        members.merge_list(state.instances, state.layout, remote.instances);
        if let Some(config) = state.config {
            self.view.apply_config(*config, "peer");
        }
        self.view.on_version_advertised(remote.version);
        self.view.update_evacuations(state.evacuations);
        self.freshness.on_configuration(remote.version_age_ms);
        let Some(servers) = state.servers else {
            return;
        };
        let update = PeerUpdate {
            servers,
            cursor: remote.servers,
            changes_from: state.changes_from,
            since: requested.since,
        };
        if !self.view.update_servers(update, requested.scope) {
            return;
        }
        self.merge_uptime(remote, state.store_uptime_ms);
        self.view
            .on_lapsing_advertised(&state.lapsing, self.freshness.rewrites_end_ms());
        *lock(&self.source) = Some(CopySource {
            incarnation: remote.incarnation,
            revision: remote.revision,
            cursor: remote.servers,
            scope: requested.scope,
        });
        self.record_synced(remote);
    }

    /// Records that this instance knows everything that a peer knows.
    fn record_synced(&self, remote: KnownState) {
        self.freshness.on_configuration(remote.version_age_ms);
        let (age_ms, era) = (remote.servers_age_ms, remote.servers.era);
        self.freshness.on_servers(age_ms, era);
        let age_ms = remote.version_age_ms.max(remote.servers_age_ms);
        self.freshness.on_synced(age_ms);
    }

    fn source(&self) -> Option<CopySource> {
        *lock(&self.source)
    }

    /// Returns what this instance knows beyond a peer.
    pub(super) fn respond(&self, members: &Members, query: RoutingQuery) -> RoutingState {
        let known_up_to = query
            .revision
            .map_or(SyncPoint::Cursor(query.servers), SyncPoint::Revision);
        let known = self.known(members);
        let now_ms = self.clock.now_ms();
        let (servers, lapsing, changes_from) = {
            let directory = self.view.directory();
            let mut servers = directory.update_for(known_up_to, query.scope);
            if let Some(servers) = &mut servers {
                directory.include_entries(servers, &query.lapsing);
            }
            let mut lapsing = directory.expiring(now_ms);
            if let Some(end_ms) = self.freshness.rewrites_end_ms() {
                lapsing.extend(directory.missing_among(&query.lapsing, now_ms, end_ms));
            }
            (servers, lapsing, directory.changes_from())
        };
        let servers = servers.filter(|servers| match servers {
            DirectoryUpdate::Whole(listing) => {
                lock(&self.listing_budget).try_take(now_ms, listing.len())
            }
            DirectoryUpdate::Changes(_) => true,
        });
        let table = self.view.table();
        let config = table
            .filter(|table| table.version() > query.version)
            .filter(|table| !query.has_store || self.relays(members, table.config()))
            .map(|table| Box::new((**table.config()).clone()));
        RoutingState {
            known,
            config,
            servers,
            lapsing,
            instances: members.entries_since(query.instances),
            evacuations: self.view.evacuation_state(),
            layout: members.listed_layout(),
            store_uptime_ms: self.freshness.store_uptime_ms(),
            changes_from,
        }
    }

    /// Returns whether this instance sends `config` to those that reach the store themselves.
    fn relays(&self, members: &Members, config: &RoutingConfig) -> bool {
        is_relayed_to_peers(config, members.receivers(), self.link_bytes_per_s)
    }
}

/// Queries other instances for routes and servers while neither the store nor the
/// scheduler provides them.
pub(super) async fn run(members: Arc<Members>, catch_up: Arc<CatchUp>) {
    loop {
        time::sleep(CHECK_INTERVAL).await;
        let has_store = !catch_up.store.is_failing();
        let reader = members.reader();
        // Others may know that the store was available all the time.
        let is_in_doubt = reader == StoreRole::Scheduler && catch_up.view.has_lapsing();
        if !is_in_doubt && !catch_up.freshness.queries_reserves(reader, has_store) {
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
    let (query, requested) = catch_up.build_query(members, None);
    let lapsing = query.lapsing.clone();
    let query = Message::RoutingQuery(query);
    let sent_at_ms = catch_up.clock.now_ms();
    let response = members
        .peers()
        .request_at(contact, &query, QUERY_TIMEOUT)
        .await;
    let Ok(Message::RoutingState(state)) = response else {
        return;
    };
    let state = catch_up.aged(state, sent_at_ms);
    catch_up.confirm_missing(&lapsing, &state, contact);
    if state.known.servers_age_ms < catch_up.freshness.servers_age_ms() {
        catch_up.apply(members, state, requested);
    }
}
