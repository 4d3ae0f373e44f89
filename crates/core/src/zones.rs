//! State of the other zones, one digest for each.

use std::collections::BTreeMap;

use crate::{
    digest::ZoneDigest,
    ids::{InstanceName, ZoneName},
};

/// Minimum difference in creation time by which a digest counts as newer, in ms. It
/// is well below the time between two digests of a zone and well above the
/// difference in delay between gossip paths.
const MIN_NEWER_MS: u64 = 400;
/// Age above which a digest is neither accepted nor forwarded, in ms.
const ZONE_DIGEST_EXPIRY_MS: u64 = 10_000;

/// Newest digest of a zone.
#[derive(Clone, Debug)]
pub struct ReceivedZoneDigest {
    digest: ZoneDigest,
    made_at_ms: u64,
    holders: Vec<InstanceName>,
}

impl ReceivedZoneDigest {
    /// Returns the digest as it was received.
    pub fn digest(&self) -> &ZoneDigest {
        &self.digest
    }

    /// Returns the time since the digest was made, in ms.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.made_at_ms)
    }
}

/// Digests of the other zones.
#[derive(Clone, Debug, Default)]
pub struct Zones {
    received_by_zone: BTreeMap<ZoneName, ReceivedZoneDigest>,
}

impl Zones {
    /// Applies a digest received from `from`. Returns whether it is newer than the
    /// known one.
    pub fn apply_digest(&mut self, now_ms: u64, from: &InstanceName, digest: &ZoneDigest) -> bool {
        let age_ms = u64::from(digest.age_ms);
        if age_ms > ZONE_DIGEST_EXPIRY_MS {
            return false;
        }
        let made_at_ms = now_ms.saturating_sub(age_ms);
        if let Some(current) = self.received_by_zone.get_mut(&digest.zone) {
            if made_at_ms.abs_diff(current.made_at_ms) <= MIN_NEWER_MS {
                current.holders.push(from.clone());
                return false;
            }
            if made_at_ms < current.made_at_ms {
                return false;
            }
        }
        let received = ReceivedZoneDigest {
            digest: digest.clone(),
            made_at_ms,
            holders: vec![from.clone()],
        };
        self.received_by_zone.insert(digest.zone.clone(), received);
        true
    }

    /// Returns the digest of a zone to send to `to`, unless `to` is known to have it.
    pub fn digest_for(
        &self,
        now_ms: u64,
        zone: &ZoneName,
        to: &InstanceName,
    ) -> Option<ZoneDigest> {
        let received = self.received_by_zone.get(zone)?;
        let age_ms = received.age_ms(now_ms);
        let should_send = age_ms <= ZONE_DIGEST_EXPIRY_MS && !received.holders.contains(to);
        should_send.then(|| ZoneDigest {
            age_ms: age_ms as u32,
            ..received.digest.clone()
        })
    }

    /// Returns the newest digest of a zone.
    pub fn get(&self, zone: &ZoneName) -> Option<&ReceivedZoneDigest> {
        self.received_by_zone.get(zone)
    }

    /// Iterates over the zones by name.
    pub fn iter(&self) -> impl Iterator<Item = (&ZoneName, &ReceivedZoneDigest)> {
        self.received_by_zone.iter()
    }
}
