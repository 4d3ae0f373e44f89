//! Instances of the zone known to an instance, the age of their digests, and the
//! rule by which a digest replaces another one.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    digest::{AgedDigest, Digest, Readiness, Version},
    ids::{Incarnation, InstanceName, ZoneName},
};

/// Age above which a digest is neither accepted nor forwarded, in ms.
pub const DIGEST_EXPIRY_MS: u64 = 60_000;
/// Zone size up to which each instance makes a digest every
/// [`MIN_DIGEST_INTERVAL_MS`].
const FULL_RATE_MEMBERS: u64 = 32;
/// Minimum time between two digests of an instance, in ms.
pub const MIN_DIGEST_INTERVAL_MS: u64 = 1_000;

/// Minimum time between two reads of the platform's list, in ms.
const MIN_LIST_INTERVAL_MS: u64 = 500;
/// Time between two reads of the list for each of its entries, in ms. It bounds the
/// reads of one instance to about 6 KB/s at 96 bytes for each entry.
const LIST_MS_PER_ENTRY: u64 = 16;

/// Returns the time between two digests of an instance in a zone of `members`, in
/// ms. It grows with the zone, so that the traffic to a neighbour does not.
pub fn digest_interval_ms(members: usize) -> u64 {
    let members = (members as u64).max(FULL_RATE_MEMBERS);
    members * MIN_DIGEST_INTERVAL_MS / FULL_RATE_MEMBERS
}

/// Returns the time between two reads of the platform's list by one instance, in
/// ms. It grows with the list, so that the bytes read per second do not. The
/// instances of a zone read at different times and share the result by gossip.
pub fn list_interval_ms(entries: usize) -> u64 {
    MIN_LIST_INTERVAL_MS.max(entries as u64 * LIST_MS_PER_ENTRY)
}

/// Returns the digest age above which an instance counts as silent, in ms.
pub fn silence_timeout_ms(members: usize) -> u64 {
    3 * digest_interval_ms(members) + 2 * MIN_DIGEST_INTERVAL_MS
}

/// An instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address for peers.
    pub addr: SocketAddr,
    /// Whether the list marks it as leaving.
    pub is_leaving: bool,
}

/// State of another instance as seen by this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// Has a recent digest and is not leaving.
    Live,
    /// Leaving, according to its digest, a notice or the list.
    Leaving,
    /// Has no recent digest.
    Silent,
    /// Recently listed and without a digest so far.
    Listed,
}

impl MemberState {
    /// Returns the name used in the admin API and in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Silent => "silent",
            Self::Listed => "listed",
        }
    }
}

/// Record of one other instance of the zone.
#[derive(Clone, Debug)]
pub struct Member {
    listed: Option<ListedInstance>,
    listed_since_ms: u64,
    received: Option<ReceivedDigest>,
}

#[derive(Clone, Debug)]
struct ReceivedDigest {
    digest: Digest,
    made_at_ms: u64,
    holders: Vec<InstanceName>,
    left_incarnation: Option<Incarnation>,
}

impl Member {
    /// Returns its newest digest.
    pub fn digest(&self) -> Option<&Digest> {
        self.received.as_ref().map(|received| &received.digest)
    }

    /// Returns the age of its newest digest, in ms.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let received = self.received.as_ref()?;
        Some(now_ms.saturating_sub(received.made_at_ms))
    }

    /// Returns its address. The address in its digest takes precedence over the list.
    pub fn addr(&self) -> Option<SocketAddr> {
        let own_addr = self.received.as_ref().map(|received| received.digest.addr);
        own_addr.or_else(|| self.listed.as_ref().map(|listed| listed.addr))
    }

    /// Returns whether the platform lists it.
    pub fn is_listed(&self) -> bool {
        self.listed.is_some()
    }

    fn is_leaving(&self) -> bool {
        let by_digest = self.received.as_ref().is_some_and(|received| {
            received.digest.readiness == Readiness::Leaving
                || received.left_incarnation == Some(received.digest.version.incarnation)
        });
        by_digest || self.listed.as_ref().is_some_and(|listed| listed.is_leaving)
    }

    fn state(&self, now_ms: u64, timeout_ms: u64) -> MemberState {
        if self.is_leaving() {
            return MemberState::Leaving;
        }
        match self.age_ms(now_ms) {
            Some(age_ms) if age_ms <= timeout_ms => MemberState::Live,
            Some(_) => MemberState::Silent,
            None if now_ms.saturating_sub(self.listed_since_ms) <= timeout_ms => {
                MemberState::Listed
            }
            None => MemberState::Silent,
        }
    }
}

/// The other instances of the zone.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    members: BTreeMap<InstanceName, Member>,
}

impl Roster {
    /// Iterates over the members by name.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceName, &Member)> + Clone {
        self.members.iter()
    }

    /// Returns the number of known members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the record of an instance.
    pub fn get(&self, instance: &InstanceName) -> Option<&Member> {
        self.members.get(instance)
    }

    /// Returns the state of a member.
    pub fn state(&self, member: &Member, now_ms: u64) -> MemberState {
        member.state(now_ms, silence_timeout_ms(self.members.len() + 1))
    }

    /// Returns whether a member has a recent digest, whether it is leaving or not.
    pub fn has_recent_digest(&self, member: &Member, now_ms: u64) -> bool {
        let timeout_ms = silence_timeout_ms(self.members.len() + 1);
        member
            .age_ms(now_ms)
            .is_some_and(|age_ms| age_ms <= timeout_ms)
    }

    /// Replaces the platform's list of the zone, which excludes this instance.
    pub fn set_listed(&mut self, now_ms: u64, listed: &[&ListedInstance]) {
        for member in self.members.values_mut() {
            member.listed = None;
        }
        for entry in listed {
            let member = self.entry(now_ms, &entry.instance);
            member.listed = Some((*entry).clone());
        }
    }

    /// Applies a digest received from `from`. Returns whether it is newer than the
    /// known one.
    pub fn apply_digest(&mut self, now_ms: u64, from: &InstanceName, entry: &AgedDigest) -> bool {
        let age_ms = u64::from(entry.age_ms);
        if age_ms > DIGEST_EXPIRY_MS {
            return false;
        }
        let member = self.entry(now_ms, &entry.digest.instance);
        if let Some(current) = &mut member.received {
            if current.digest.version == entry.digest.version {
                current.add_holder(from);
            }
            if current.digest.version >= entry.digest.version {
                return false;
            }
        }
        let left_incarnation = member
            .received
            .take()
            .and_then(|received| received.left_incarnation);
        member.received = Some(ReceivedDigest {
            digest: entry.digest.clone(),
            made_at_ms: now_ms.saturating_sub(age_ms),
            holders: vec![from.clone()],
            left_incarnation,
        });
        true
    }

    /// Marks an incarnation of an instance as leaving. Returns whether this is new.
    pub fn mark_leaving(&mut self, instance: &InstanceName, incarnation: Incarnation) -> bool {
        let received = self
            .members
            .get_mut(instance)
            .and_then(|member| member.received.as_mut());
        match received {
            Some(received) if received.left_incarnation != Some(incarnation) => {
                received.left_incarnation = Some(incarnation);
                true
            }
            _ => false,
        }
    }

    /// Returns the digest of an instance to send to `to`, unless `to` is known to have
    /// it.
    pub fn digest_for(
        &self,
        now_ms: u64,
        instance: &InstanceName,
        to: &InstanceName,
    ) -> Option<AgedDigest> {
        let received = self.members.get(instance)?.received.as_ref()?;
        if to == instance || received.holders.contains(to) {
            return None;
        }
        received.aged(now_ms)
    }

    /// Iterates over all digests that have not expired.
    pub fn digests(&self, now_ms: u64) -> impl Iterator<Item = AgedDigest> {
        let digests = self
            .members
            .values()
            .filter_map(|member| member.received.as_ref());
        digests.filter_map(move |received| received.aged(now_ms))
    }

    /// Removes the members that are not listed and whose digest has expired.
    pub fn evict_expired(&mut self, now_ms: u64) {
        self.members.retain(|_, member| {
            let is_fresh = member
                .age_ms(now_ms)
                .is_some_and(|age| age <= DIGEST_EXPIRY_MS);
            member.listed.is_some() || is_fresh
        });
    }

    fn entry(&mut self, now_ms: u64, instance: &InstanceName) -> &mut Member {
        let entry = self.members.entry(instance.clone());
        entry.or_insert(Member {
            listed: None,
            listed_since_ms: now_ms,
            received: None,
        })
    }
}

impl ReceivedDigest {
    fn add_holder(&mut self, holder: &InstanceName) {
        if !self.holders.contains(holder) {
            self.holders.push(holder.clone());
        }
    }

    fn aged(&self, now_ms: u64) -> Option<AgedDigest> {
        let age_ms = now_ms.saturating_sub(self.made_at_ms);
        (age_ms <= DIGEST_EXPIRY_MS).then(|| AgedDigest {
            digest: self.digest.clone(),
            age_ms: age_ms as u32,
        })
    }
}

/// Returns a version that is newer than `old`, for an incarnation that takes over a
/// name.
pub fn version_after(old: Version, incarnation: Incarnation) -> Version {
    Version {
        generation: old.generation.saturating_add(1),
        incarnation,
        seq: 0,
    }
}
