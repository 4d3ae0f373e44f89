//! Avoids servers in an availability zone that seems unreachable.

use std::collections::BTreeSet;

use super::{
    scheduler::StageScheduler,
    types::{CallId, StageAction},
};
use crate::ids::{BackendName, ZoneName};

/// Maximum time for which a zone is avoided, in ms. One of its servers is probed meanwhile, and
/// the zone is used again once a connection succeeds, so that no piece waits for a probe.
const MAX_AVOID_MS: u64 = 5_000;
/// Time without a response from a zone before which a failure says nothing of the zone, in ms:
/// a connection that can't be established fails after that time, while servers that crash
/// together reject connections at once.
const MIN_SILENCE_MS: u64 = 250;

impl StageScheduler {
    /// Records that a server in `zone` did not respond. Once the zone counts as cut off, its
    /// servers are avoided, and the pieces that they have are sent elsewhere as well.
    pub(super) fn on_zone_failure(&mut self, now_ms: u64, zone: &ZoneName, server: &BackendName) {
        let responded_ms = self.zone_responded_ms.get(zone).copied();
        let is_silent = responded_ms.is_none_or(|at_ms| now_ms >= at_ms + MIN_SILENCE_MS);
        if !is_silent || !self.reach.on_failure(now_ms, zone, server) {
            return;
        }
        self.avoid_zone(zone, now_ms + MAX_AVOID_MS);
        self.probe(server);
        for service in self.services.values_mut() {
            service.use_any_if_no_other(now_ms);
        }
        let calls = self.calls.iter().filter(|(_, call)| {
            let service = self.services.get(&call.service);
            let server = service.and_then(|service| service.servers.get(&call.server));
            server.is_some_and(|server| server.zone == *zone)
        });
        let calls: Vec<CallId> = calls.map(|(id, _)| *id).collect();
        for id in calls {
            self.repeat_call(now_ms, id);
        }
    }

    /// Records that a server in `zone` responded.
    pub(super) fn on_zone_response(&mut self, now_ms: u64, zone: &ZoneName) {
        match self.zone_responded_ms.get_mut(zone) {
            Some(at_ms) => *at_ms = now_ms,
            None => {
                self.zone_responded_ms.insert(zone.clone(), now_ms);
            }
        }
        if self.reach.on_response(zone) {
            self.avoid_zone(zone, 0);
        }
    }

    /// Records a successful connection to a server that was probed.
    pub fn on_reachable(&mut self, now_ms: u64, server: &BackendName) {
        let mut services = self.services.values_mut();
        let known = services.find_map(|service| service.servers.get_mut(server));
        if let Some(known) = known {
            known.on_reachable();
            let zone = known.zone.clone();
            self.on_zone_response(now_ms, &zone);
        }
    }

    fn probe(&mut self, server: &BackendName) {
        let services = self.services.values();
        let known = services
            .filter_map(|service| service.servers.get(server))
            .next();
        if let Some(addr) = known.map(|known| known.addr) {
            let server = server.clone();
            self.actions.push(StageAction::Probe { server, addr });
        }
    }

    fn avoid_zone(&mut self, zone: &ZoneName, until_ms: u64) {
        let servers = self.services.values_mut();
        let servers = servers.flat_map(|service| service.servers.values_mut());
        for server in servers.filter(|server| server.zone == *zone) {
            server.avoid_zone(until_ms);
        }
    }

    /// Returns the zones whose servers are avoided.
    pub fn avoided_zones(&self, now_ms: u64) -> BTreeSet<ZoneName> {
        let servers = self.services.values();
        let servers = servers.flat_map(|service| service.servers.values());
        let avoided = servers.filter(|server| server.is_zone_avoided(now_ms));
        avoided.map(|server| server.zone.clone()).collect()
    }
}
