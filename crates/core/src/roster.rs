//! Which instances of its zone an instance knows, how new that is, and which
//! account of an instance replaces which.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    digest::{AgedDigest, Digest, Readiness, Version},
    ids::{Incarnation, InstanceName, ZoneName},
};

/// Age from which an account is neither taken nor passed on, in ms.
pub const DIGEST_EXPIRY_MS: u64 = 60_000;
/// Zone size up to which every instance makes an account each second.
const FULL_PACE_MEMBERS: u64 = 32;
/// Least time between two accounts of an instance, in ms.
pub const LEAST_PERIOD_MS: u64 = 1_000;

/// Least time between two reads of the platform's list, in ms.
const LEAST_LIST_INTERVAL_MS: u64 = 500;
/// Time between two reads for each entry, in ms: about 6 KB/s at 96 bytes each.
const LIST_MS_PER_ENTRY: u64 = 16;

/// Returns the time between two accounts of an instance in a zone of `members`,
/// in ms. It grows with the zone, so that what a neighbour receives does not.
pub fn period_ms(members: usize) -> u64 {
    let members = (members as u64).max(FULL_PACE_MEMBERS);
    members * LEAST_PERIOD_MS / FULL_PACE_MEMBERS
}

/// Returns the time between two reads of the platform's list by one instance, in
/// ms. It grows with the list, so that what an instance reads in a second does
/// not; the instances of a zone read at different times and tell each other.
pub fn list_interval_ms(entries: usize) -> u64 {
    LEAST_LIST_INTERVAL_MS.max(entries as u64 * LIST_MS_PER_ENTRY)
}

/// Returns the age from which an instance counts as silent, in ms.
pub fn silence_timeout_ms(members: usize) -> u64 {
    3 * period_ms(members) + 2 * LEAST_PERIOD_MS
}

/// An instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its address for peers.
    pub addr: SocketAddr,
    /// Whether the list says that it is leaving.
    pub is_leaving: bool,
}

/// What an instance is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// Heard of lately and not leaving.
    Live,
    /// Leaving, by its own account, a notice or the list.
    Leaving,
    /// Heard of, but not lately.
    Silent,
    /// Listed and not heard of yet.
    Listed,
}

impl MemberState {
    /// Returns the name used by the operators' interface and in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Silent => "silent",
            Self::Listed => "listed",
        }
    }
}

/// What is known of one other instance of the zone.
#[derive(Clone, Debug)]
pub struct Member {
    listed: Option<ListedInstance>,
    listed_since_ms: u64,
    account: Option<Account>,
}

#[derive(Clone, Debug)]
struct Account {
    digest: Digest,
    made_at_ms: u64,
    holders: Vec<InstanceName>,
    left: Option<Incarnation>,
}

impl Member {
    /// Returns its newest account.
    pub fn digest(&self) -> Option<&Digest> {
        self.account.as_ref().map(|account| &account.digest)
    }

    /// Returns the age of its newest account, in ms.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let account = self.account.as_ref()?;
        Some(now_ms.saturating_sub(account.made_at_ms))
    }

    /// Returns the address to reach it at: its own word goes before the list's.
    pub fn addr(&self) -> Option<SocketAddr> {
        let own = self.account.as_ref().map(|account| account.digest.addr);
        own.or_else(|| self.listed.as_ref().map(|listed| listed.addr))
    }

    /// Tells whether the platform lists it.
    pub fn is_listed(&self) -> bool {
        self.listed.is_some()
    }

    fn is_leaving(&self) -> bool {
        let by_account = self.account.as_ref().is_some_and(|account| {
            account.digest.readiness == Readiness::Leaving
                || account.left == Some(account.digest.version.incarnation)
        });
        by_account || self.listed.as_ref().is_some_and(|listed| listed.is_leaving)
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

    /// Returns how many members are known.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Tells whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns what is known of an instance.
    pub fn get(&self, instance: &InstanceName) -> Option<&Member> {
        self.members.get(instance)
    }

    /// Returns what an instance is taken for.
    pub fn state(&self, member: &Member, now_ms: u64) -> MemberState {
        member.state(now_ms, silence_timeout_ms(self.members.len() + 1))
    }

    /// Tells whether an instance was heard of lately, leaving or not.
    pub fn is_heard(&self, member: &Member, now_ms: u64) -> bool {
        let timeout_ms = silence_timeout_ms(self.members.len() + 1);
        member
            .age_ms(now_ms)
            .is_some_and(|age_ms| age_ms <= timeout_ms)
    }

    /// Takes the platform's list of the zone, without the instance itself.
    pub fn set_listed(&mut self, now_ms: u64, listed: &[&ListedInstance]) {
        for member in self.members.values_mut() {
            member.listed = None;
        }
        for entry in listed {
            let member = self.entry(now_ms, &entry.instance);
            member.listed = Some((*entry).clone());
        }
    }

    /// Takes an account that came from `from`. Returns whether it is news.
    pub fn take(&mut self, now_ms: u64, from: &InstanceName, entry: &AgedDigest) -> bool {
        let age_ms = u64::from(entry.age_ms);
        if age_ms > DIGEST_EXPIRY_MS {
            return false;
        }
        let member = self.entry(now_ms, &entry.digest.instance);
        if let Some(known) = &mut member.account {
            if known.digest.version == entry.digest.version {
                known.add_holder(from);
            }
            if known.digest.version >= entry.digest.version {
                return false;
            }
        }
        let left = member.account.take().and_then(|account| account.left);
        member.account = Some(Account {
            digest: entry.digest.clone(),
            made_at_ms: now_ms.saturating_sub(age_ms),
            holders: vec![from.clone()],
            left,
        });
        true
    }

    /// Takes note that a run of an instance is leaving. Returns whether it is news.
    pub fn take_leaving(&mut self, instance: &InstanceName, incarnation: Incarnation) -> bool {
        let account = self
            .members
            .get_mut(instance)
            .and_then(|member| member.account.as_mut());
        match account {
            Some(account) if account.left != Some(incarnation) => {
                account.left = Some(incarnation);
                true
            }
            _ => false,
        }
    }

    /// Returns the account of an instance for `to`, unless `to` is known to have it.
    pub fn account_for(
        &self,
        now_ms: u64,
        instance: &InstanceName,
        to: &InstanceName,
    ) -> Option<AgedDigest> {
        let account = self.members.get(instance)?.account.as_ref()?;
        if to == instance || account.holders.contains(to) {
            return None;
        }
        account.aged(now_ms)
    }

    /// Iterates over every account that is young enough to be passed on.
    pub fn accounts(&self, now_ms: u64) -> impl Iterator<Item = AgedDigest> {
        let accounts = self.members.values().filter_map(|m| m.account.as_ref());
        accounts.filter_map(move |account| account.aged(now_ms))
    }

    /// Forgets who is not listed and has been silent for long.
    pub fn forget_old(&mut self, now_ms: u64) {
        self.members.retain(|_, member| {
            let is_young = member
                .age_ms(now_ms)
                .is_some_and(|age| age <= DIGEST_EXPIRY_MS);
            member.listed.is_some() || is_young
        });
    }

    fn entry(&mut self, now_ms: u64, instance: &InstanceName) -> &mut Member {
        let entry = self.members.entry(instance.clone());
        entry.or_insert(Member {
            listed: None,
            listed_since_ms: now_ms,
            account: None,
        })
    }
}

impl Account {
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

/// Returns a version that is newer than `seen`, for a run that takes over a name.
pub fn ahead_of(seen: Version, incarnation: Incarnation) -> Version {
    Version {
        generation: seen.generation.saturating_add(1),
        incarnation,
        seq: 0,
    }
}
