//! Propagation of a configuration offset to the instances.

use crate::{
    ids::{InstanceName, Offset},
    roster::{ListedInstance, Member},
};

use super::Membership;

/// Propagation of a configuration offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Propagation {
    /// Listed instances, without leaving ones, that have the offset in force.
    pub in_force: u32,
    /// Listed instances, without leaving ones.
    pub listed: u32,
    /// Names of listed instances, without leaving ones, that are not known to have
    /// the offset in force.
    pub missing: Vec<InstanceName>,
}

impl Membership {
    /// Returns the propagation of the record at `offset`.
    pub fn propagation(&self, offset: Offset) -> Propagation {
        let mut propagation = Propagation {
            in_force: 0,
            listed: 0,
            missing: Vec::new(),
        };
        for listed in self.listed.iter().filter(|listed| !listed.is_leaving) {
            propagation.listed += 1;
            if self.has_in_force(listed, offset) {
                propagation.in_force += 1;
            } else {
                propagation.missing.push(listed.instance.clone());
            }
        }
        self.add_partial_zones(offset, &mut propagation);
        propagation
    }

    fn has_in_force(&self, listed: &ListedInstance, offset: Offset) -> bool {
        if listed.instance == self.identity.instance {
            return self.own_state.config_next > offset;
        }
        if listed.zone == self.identity.zone {
            let digest = self.roster.get(&listed.instance).and_then(Member::digest);
            return digest.is_some_and(|digest| digest.config_next > offset);
        }
        let zone = self.zones.get(&listed.zone);
        zone.is_some_and(|zone| zone.digest().silent == 0 && zone.digest().config_min > offset)
    }

    /// Adds the instances of lagging zones. Only their number is known, so their names
    /// stay in `missing`.
    fn add_partial_zones(&self, offset: Offset, propagation: &mut Propagation) {
        for (_, zone) in self.zones.iter() {
            let digest = zone.digest();
            let is_complete = digest.silent == 0 && digest.config_min > offset;
            if is_complete {
                continue;
            }
            if digest.config_min > offset {
                propagation.in_force += digest.live;
            } else if digest.config_max > offset {
                propagation.in_force += digest.at_max;
            }
        }
        propagation.in_force = propagation.in_force.min(propagation.listed);
    }
}
