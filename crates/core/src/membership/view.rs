//! View of live instances, neighbours and connections, computed from the roster.

use std::collections::BTreeMap;

use crate::{
    digest::Readiness,
    ids::{InstanceName, ZoneName},
    roster::{Member, MemberState},
    topology::{Duty, highest_ranked, neighbours, ranked},
};

use super::{Action, Contact, Membership};

/// Number of instances of another zone that receive this zone's digest.
const ZONE_TARGETS: usize = 2;

#[derive(Debug, Default)]
pub(super) struct View {
    pub(super) live: Vec<InstanceName>,
    pub(super) neighbours: Vec<InstanceName>,
    pub(super) targets: Vec<(ZoneName, Vec<InstanceName>)>,
    pub(super) connections: Vec<Contact>,
}

impl Membership {
    pub(super) fn update_view(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let mut live = Vec::new();
        let mut reachable = Vec::new();
        let mut known_members = Vec::new();
        for (name, member, state) in self.members(now_ms) {
            let has_recent_digest = self.roster.has_recent_digest(member, now_ms);
            match state {
                MemberState::Live => live.push(name.clone()),
                // A leaving instance receives gossip while it still sends digests
                // and finishes its requests.
                MemberState::Leaving if !has_recent_digest => continue,
                MemberState::Leaving | MemberState::Silent | MemberState::Listed => {}
            }
            if has_recent_digest || state == MemberState::Listed {
                reachable.push(name);
            }
            known_members.push(name);
        }
        if self.own_state.readiness != Readiness::Leaving {
            live.push(self.identity.instance.clone());
            live.sort_unstable();
        }
        // Silent instances also stay neighbours, so that both sides of a partition
        // reconnect after it heals.
        let mut neighbour_names = neighbours(&self.identity.instance, reachable.iter().copied());
        neighbour_names.extend(neighbours(
            &self.identity.instance,
            known_members.iter().copied(),
        ));
        neighbour_names.sort_unstable();
        neighbour_names.dedup();
        let neighbour_names: Vec<_> = neighbour_names.into_iter().cloned().collect();
        let targets = self.zone_targets(&live);
        let zone_peers = targets.iter().flat_map(|(_, targets)| targets);
        let connections = neighbour_names.iter().chain(zone_peers);
        let connections: Vec<_> = connections.filter_map(|name| self.contact(name)).collect();
        let has_connection_change = connections != self.view.connections;
        self.view = View {
            live,
            neighbours: neighbour_names,
            targets,
            connections,
        };
        self.view_updated_ms = Some(now_ms);
        if has_connection_change {
            actions.push(Action::ConnectTo(self.view.connections.clone()));
        }
    }

    fn contact(&self, name: &InstanceName) -> Option<Contact> {
        let member_addr = self.roster.get(name).and_then(Member::addr);
        let listed = || {
            self.listed
                .iter()
                .find(|instance| instance.instance == *name)
        };
        Some(Contact {
            instance: name.clone(),
            addr: member_addr.or_else(|| listed().map(|listed| listed.addr))?,
        })
    }

    fn zone_targets(&self, live: &[InstanceName]) -> Vec<(ZoneName, Vec<InstanceName>)> {
        let mut by_zone: BTreeMap<&ZoneName, Vec<&InstanceName>> = BTreeMap::new();
        let others = self
            .listed
            .iter()
            .filter(|instance| instance.zone != self.identity.zone && !instance.is_leaving);
        for listed in others {
            by_zone
                .entry(&listed.zone)
                .or_default()
                .push(&listed.instance);
        }
        let is_linked_here = |zone: &ZoneName| {
            highest_ranked(Duty::ZoneLink(zone), live.iter()) == Some(&self.identity.instance)
        };
        by_zone
            .into_iter()
            .filter(|(zone, _)| is_linked_here(zone))
            .map(|(zone, names)| {
                let order = ranked(Duty::ZoneLink(&self.identity.zone), names.into_iter());
                let targets = order.into_iter().take(ZONE_TARGETS).cloned().collect();
                (zone.clone(), targets)
            })
            .collect()
    }
}
