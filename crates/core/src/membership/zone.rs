//! Digest of this instance's zone, sent to other zones.

use crate::{
    digest::{Digest, Leaver, LeavingBackend, ZoneDigest},
    ids::BackendName,
    roster::MemberState,
};

use super::{Action, Gossip, Membership, NOTICE_EXPIRY_MS, send};

/// Maximum number of leaving backend servers in a zone digest.
const MAX_ZONE_LEAVING: usize = 64;

impl Membership {
    pub(super) fn send_zone(&self, now_ms: u64, actions: &mut Vec<Action>) {
        if self.view.targets.is_empty() || self.is_superseded {
            return;
        }
        let digest = self.zone_digest(now_ms);
        for to in self.view.targets.iter().flat_map(|(_, targets)| targets) {
            actions.push(send(to, Gossip::Zones(vec![digest.clone()])));
        }
    }

    fn zone_digest(&self, now_ms: u64) -> ZoneDigest {
        let mut digest = ZoneDigest {
            zone: self.identity.zone.clone(),
            region: self.identity.region.clone(),
            age_ms: 0,
            live: 1,
            silent: 0,
            config_min: self.own_state.config_next,
            config_max: self.own_state.config_next,
            at_max: 1,
            in_flight: self.own_state.load.in_flight,
            leaving: self.leaving_backends(now_ms),
        };
        for (_, member, state) in self.members(now_ms) {
            match (state, member.digest()) {
                (MemberState::Live, Some(member_digest)) => add_member(&mut digest, member_digest),
                (MemberState::Silent | MemberState::Listed, _) if member.is_listed() => {
                    digest.silent += 1;
                }
                _ => {}
            }
        }
        digest
    }

    fn leaving_backends(&self, now_ms: u64) -> Vec<LeavingBackend> {
        let mut leaving: Vec<_> = self
            .notices
            .iter()
            .filter_map(|(leaver, first_known_ms)| match leaver {
                Leaver::Backend(backend) => Some((now_ms.saturating_sub(*first_known_ms), backend)),
                Leaver::Instance { .. } => None,
            })
            .filter(|(age_ms, _)| *age_ms <= NOTICE_EXPIRY_MS)
            .collect();
        leaving.sort_unstable();
        leaving.truncate(MAX_ZONE_LEAVING);
        let entry = |(age_ms, backend): (u64, &BackendName)| LeavingBackend {
            backend: backend.clone(),
            age_ms: age_ms as u32,
        };
        leaving.into_iter().map(entry).collect()
    }
}

fn add_member(zone: &mut ZoneDigest, member_digest: &Digest) {
    zone.live += 1;
    zone.in_flight += member_digest.load.in_flight;
    zone.config_min = zone.config_min.min(member_digest.config_next);
    if member_digest.config_next > zone.config_max {
        zone.config_max = member_digest.config_next;
        zone.at_max = 1;
    } else if member_digest.config_next == zone.config_max {
        zone.at_max += 1;
    }
}
