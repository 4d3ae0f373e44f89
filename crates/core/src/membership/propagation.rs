//! How far an offset of the configuration has come.

use crate::{
    ids::{InstanceName, Offset},
    roster::{ListedInstance, Member},
};

use super::Membership;

/// How far an offset of the configuration has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Propagation {
    /// Listed live instances that have it in force.
    pub in_force: u32,
    /// Listed live instances.
    pub listed: u32,
    /// Listed live instances that have not reported it, as far as their names
    /// are known to lag.
    pub missing: Vec<InstanceName>,
}

impl Membership {
    /// Tells how far the record at `offset` has come.
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
        if listed.instance == self.me.instance {
            return self.own.config_next > offset;
        }
        if listed.zone == self.me.zone {
            let digest = self.roster.get(&listed.instance).and_then(Member::digest);
            return digest.is_some_and(|digest| digest.config_next > offset);
        }
        let zone = self.zones.get(&listed.zone);
        zone.is_some_and(|zone| zone.digest().silent == 0 && zone.digest().config_min > offset)
    }

    /// Of a zone that lags only the number is known: its names stay missing.
    fn add_partial_zones(&self, offset: Offset, propagation: &mut Propagation) {
        for (_, zone) in self.zones.iter() {
            let digest = zone.digest();
            let is_whole = digest.silent == 0 && digest.config_min > offset;
            if is_whole {
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
