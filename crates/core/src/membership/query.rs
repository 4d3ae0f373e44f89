//! What others ask of an instance's knowledge.

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
    /// Returns what the instance is.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// Returns the live instances of the zone, this one included, by name.
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
        home.unwrap_or(&self.me.instance)
    }

    /// Returns this instance's rank for a duty in its zone, from 0.
    pub fn rank(&self, duty: Duty<'_>) -> usize {
        let order = ranked(duty, self.view.live.iter());
        let rank = order.iter().position(|name| **name == self.me.instance);
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

    /// Tells whether an instance is known in this zone.
    pub fn is_in_zone(&self, instance: &InstanceName) -> bool {
        *instance == self.me.instance || self.roster.get(instance).is_some()
    }

    /// Returns the platform's list, of all zones.
    pub fn listed(&self) -> &[ListedInstance] {
        &self.listed
    }

    /// Returns what is known of the other zones.
    pub fn zones(&self) -> &Zones {
        &self.zones
    }

    /// Iterates over every instance that can be reached, of all zones.
    pub fn contacts(&self) -> impl Iterator<Item = Contact> {
        let mine = self.roster.iter().filter_map(|(name, member)| {
            Some(Contact {
                instance: name.clone(),
                addr: member.addr()?,
            })
        });
        let others = self.listed.iter().filter(|l| l.zone != self.me.zone);
        mine.chain(others.map(|listed| Contact {
            instance: listed.instance.clone(),
            addr: listed.addr,
        }))
    }

    /// Returns who the instances are, as far as quotas go: everyone that may be
    /// there counts, also who is silent.
    pub fn quota_view(&self) -> QuotaView {
        let mut members: Vec<_> = self.roster.iter().map(|(name, _)| name.clone()).collect();
        members.push(self.me.instance.clone());
        members.sort_unstable();
        let mut zones = BTreeMap::from([(self.me.zone.clone(), members.len() as u32)]);
        for listed in self.listed.iter().filter(|l| l.zone != self.me.zone) {
            *zones.entry(listed.zone.clone()).or_insert(0) += 1;
        }
        let lead = |shard| lead_zone(shard, zones.keys()).unwrap_or(&self.me.zone);
        QuotaView {
            leads: Shard::all().map(|shard| lead(shard).clone()).collect(),
            homes: Shard::all().map(|shard| self.home(shard).clone()).collect(),
            members,
            zones,
        }
    }
}
