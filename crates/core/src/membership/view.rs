//! Who is where, computed from what is known of the others.

use std::collections::BTreeMap;

use crate::{
    digest::Readiness,
    ids::{InstanceName, ZoneName},
    roster::{Member, MemberState},
    topology::{Duty, highest_ranked, neighbours, ranked},
};

use super::{Action, Contact, Membership};

/// Instances of another zone that get this zone's digest.
const ZONE_TARGETS: usize = 2;

#[derive(Debug, Default)]
pub(super) struct View {
    pub(super) live: Vec<InstanceName>,
    pub(super) neighbours: Vec<InstanceName>,
    pub(super) targets: Vec<(ZoneName, Vec<InstanceName>)>,
    pub(super) kept: Vec<Contact>,
}

impl Membership {
    pub(super) fn renew_view(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let mut live = Vec::new();
        let mut reachable = Vec::new();
        let mut all = Vec::new();
        for (name, member, state) in self.members(now_ms) {
            let is_heard = self.roster.is_heard(member, now_ms);
            match state {
                MemberState::Live => live.push(name.clone()),
                // One that leaves is told the news for as long as it finishes
                // requests.
                MemberState::Leaving if !is_heard => continue,
                MemberState::Leaving | MemberState::Silent | MemberState::Listed => {}
            }
            if is_heard || state == MemberState::Listed {
                reachable.push(name);
            }
            all.push(name);
        }
        if self.own.readiness != Readiness::Leaving {
            live.push(self.me.instance.clone());
            live.sort_unstable();
        }
        // Who is silent stays a neighbour as well: both sides of a cut find each
        // other again that way.
        let mut near = neighbours(&self.me.instance, reachable.iter().copied());
        near.extend(neighbours(&self.me.instance, all.iter().copied()));
        near.sort_unstable();
        near.dedup();
        let near: Vec<_> = near.into_iter().cloned().collect();
        let targets = self.zone_targets(&live);
        let far = targets.iter().flat_map(|(_, targets)| targets);
        let kept = near.iter().chain(far);
        let kept: Vec<_> = kept.filter_map(|name| self.contact(name)).collect();
        let is_kept_changed = kept != self.view.kept;
        self.view = View {
            live,
            neighbours: near,
            targets,
            kept,
        };
        self.view_made_ms = Some(now_ms);
        if is_kept_changed {
            actions.push(Action::ConnectTo(self.view.kept.clone()));
        }
    }

    fn contact(&self, name: &InstanceName) -> Option<Contact> {
        let known = self.roster.get(name).and_then(Member::addr);
        let listed = || self.listed.iter().find(|l| l.instance == *name);
        Some(Contact {
            instance: name.clone(),
            addr: known.or_else(|| listed().map(|listed| listed.addr))?,
        })
    }

    fn zone_targets(&self, live: &[InstanceName]) -> Vec<(ZoneName, Vec<InstanceName>)> {
        let mut by_zone: BTreeMap<&ZoneName, Vec<&InstanceName>> = BTreeMap::new();
        let others = self
            .listed
            .iter()
            .filter(|l| l.zone != self.me.zone && !l.is_leaving);
        for listed in others {
            by_zone
                .entry(&listed.zone)
                .or_default()
                .push(&listed.instance);
        }
        let is_mine = |zone: &ZoneName| {
            highest_ranked(Duty::ZoneLink(zone), live.iter()) == Some(&self.me.instance)
        };
        by_zone
            .into_iter()
            .filter(|(zone, _)| is_mine(zone))
            .map(|(zone, names)| {
                let order = ranked(Duty::ZoneLink(&self.me.zone), names.into_iter());
                let targets = order.into_iter().take(ZONE_TARGETS).cloned().collect();
                (zone.clone(), targets)
            })
            .collect()
    }
}
