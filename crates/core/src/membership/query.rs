//! Queries on the membership state.

use std::collections::BTreeMap;

use crate::{
    ids::InstanceName,
    roster::{ListedInstance, Member, MemberState},
    topology::{Duty, Shard, highest_ranked, lead_zone, ranked},
    usage::QuotaView,
    zones::Zones,
};

use super::{Contact, Identity, Membership};

impl Membership {
    /// Returns the identity of this instance.
    pub fn me(&self) -> &Identity {
        &self.identity
    }

    /// Returns the live instances of the zone, including this one, sorted by name.
    pub fn live(&self) -> &[InstanceName] {
        &self.view.live
    }

    /// Returns the neighbours in the zone.
    pub fn neighbours(&self) -> &[InstanceName] {
        &self.view.neighbours
    }

    /// Returns the home of a shard in this zone.
    pub fn home(&self, shard: Shard) -> &InstanceName {
        let home = highest_ranked(Duty::Home(shard), self.view.live.iter());
        home.unwrap_or(&self.identity.instance)
    }

    /// Returns this instance's rank for a duty in its zone, from 0.
    pub fn rank(&self, duty: Duty<'_>) -> usize {
        let order = ranked(duty, self.view.live.iter());
        let rank = order
            .iter()
            .position(|name| **name == self.identity.instance);
        rank.unwrap_or(0)
    }

    /// Iterates over the other instances of the zone with their states.
    pub fn members(
        &self,
        now_ms: u64,
    ) -> impl Iterator<Item = (&InstanceName, &Member, MemberState)> {
        let members = self.roster.iter();
        members.map(move |(name, member)| (name, member, self.roster.state(member, now_ms)))
    }

    /// Returns whether an instance is known in this zone.
    pub fn is_in_zone(&self, instance: &InstanceName) -> bool {
        *instance == self.identity.instance || self.roster.get(instance).is_some()
    }

    /// Returns the instances of all zones as listed by the platform.
    pub fn listed(&self) -> &[ListedInstance] {
        &self.listed
    }

    /// Returns the state of the other zones.
    pub fn zones(&self) -> &Zones {
        &self.zones
    }

    /// Iterates over all instances of all zones with a known address.
    pub fn contacts(&self) -> impl Iterator<Item = Contact> {
        let local = self.roster.iter().filter_map(|(name, member)| {
            Some(Contact {
                instance: name.clone(),
                addr: member.addr()?,
            })
        });
        let remote = self
            .listed
            .iter()
            .filter(|instance| instance.zone != self.identity.zone);
        local.chain(remote.map(|listed| Contact {
            instance: listed.instance.clone(),
            addr: listed.addr,
        }))
    }

    /// Returns the instances that share the quotas. Silent instances are included,
    /// because they may still be running.
    pub fn quota_view(&self) -> QuotaView {
        let mut members: Vec<_> = self.roster.iter().map(|(name, _)| name.clone()).collect();
        members.push(self.identity.instance.clone());
        members.sort_unstable();
        let mut zones = BTreeMap::from([(self.identity.zone.clone(), members.len() as u32)]);
        for listed in self
            .listed
            .iter()
            .filter(|instance| instance.zone != self.identity.zone)
        {
            *zones.entry(listed.zone.clone()).or_insert(0) += 1;
        }
        let lead = |shard| lead_zone(shard, zones.keys()).unwrap_or(&self.identity.zone);
        QuotaView {
            leads: Shard::all().map(|shard| lead(shard).clone()).collect(),
            homes: Shard::all().map(|shard| self.home(shard).clone()).collect(),
            members,
            zones,
        }
    }
}
