//! What is known of the other zones, each by one digest.

use std::collections::BTreeMap;

use crate::{
    digest::ZoneDigest,
    ids::{InstanceName, ZoneName},
};

/// Least difference in age by which a digest counts as newer, in ms. It is well
/// below the time between two digests of a zone and well above what the ways
/// through the zone differ by.
const NEWER_MS: u64 = 400;
/// Age from which a digest is neither taken nor passed on, in ms.
const EXPIRY_MS: u64 = 10_000;

/// Newest digest of a zone.
#[derive(Clone, Debug)]
pub struct ZoneAccount {
    digest: ZoneDigest,
    made_at_ms: u64,
    holders: Vec<InstanceName>,
}

impl ZoneAccount {
    /// Returns the digest as it was when it came.
    pub fn digest(&self) -> &ZoneDigest {
        &self.digest
    }

    /// Returns the time since the digest was made, in ms.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.made_at_ms)
    }
}

/// The other zones.
#[derive(Clone, Debug, Default)]
pub struct Zones {
    accounts: BTreeMap<ZoneName, ZoneAccount>,
}

impl Zones {
    /// Takes a digest that came from `from`. Returns whether it is news.
    pub fn take(&mut self, now_ms: u64, from: &InstanceName, digest: &ZoneDigest) -> bool {
        let age_ms = u64::from(digest.age_ms);
        if age_ms > EXPIRY_MS {
            return false;
        }
        let made_at_ms = now_ms.saturating_sub(age_ms);
        if let Some(known) = self.accounts.get_mut(&digest.zone) {
            if made_at_ms.abs_diff(known.made_at_ms) <= NEWER_MS {
                known.holders.push(from.clone());
                return false;
            }
            if made_at_ms < known.made_at_ms {
                return false;
            }
        }
        let account = ZoneAccount {
            digest: digest.clone(),
            made_at_ms,
            holders: vec![from.clone()],
        };
        self.accounts.insert(digest.zone.clone(), account);
        true
    }

    /// Returns the digest of a zone for `to`, unless `to` is known to have it.
    pub fn digest_for(
        &self,
        now_ms: u64,
        zone: &ZoneName,
        to: &InstanceName,
    ) -> Option<ZoneDigest> {
        let account = self.accounts.get(zone)?;
        let age_ms = account.age_ms(now_ms);
        let is_wanted = age_ms <= EXPIRY_MS && !account.holders.contains(to);
        is_wanted.then(|| ZoneDigest {
            age_ms: age_ms as u32,
            ..account.digest.clone()
        })
    }

    /// Returns what is known of a zone.
    pub fn get(&self, zone: &ZoneName) -> Option<&ZoneAccount> {
        self.accounts.get(zone)
    }

    /// Iterates over the zones by name.
    pub fn iter(&self) -> impl Iterator<Item = (&ZoneName, &ZoneAccount)> {
        self.accounts.iter()
    }
}
