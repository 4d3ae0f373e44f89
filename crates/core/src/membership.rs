//! Membership and state of instances, by gossip of digests between neighbours.
//!
//! The state machine is ticked every [`TICK_MS`]. Each tick forwards new digests to
//! the neighbours that are not known to have them.

mod event;
mod propagation;
mod query;
mod view;
mod zone;

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    digest::{
        AgedDigest, Digest, DigestBatch, Leaver, LeavingNotice, Readiness, Version, ZoneDigest,
    },
    ids::{InstanceName, ZoneName},
    roster::{
        ListedInstance, MIN_DIGEST_INTERVAL_MS, MemberState, Roster, digest_interval_ms,
        version_after,
    },
    zones::Zones,
};

use view::View;

pub use event::{Action, Contact, Event, Gossip, Identity, OwnState};
pub use propagation::Propagation;

/// Time between two ticks, in ms.
pub const TICK_MS: u64 = 200;
/// Time between two digests of the zone to other zones, in ms.
const ZONE_DIGEST_INTERVAL_MS: u64 = 1_000;
/// Time between two computations of the view without a known change, in ms.
const VIEW_INTERVAL_MS: u64 = 1_000;
/// Age above which a leaving notice is neither accepted nor forwarded, in ms.
const NOTICE_EXPIRY_MS: u64 = 20_000;
/// Time for which a leaving notice is retained, in ms. It is longer than the expiry,
/// so that a notice that still circulates is recognised as known.
const NOTICE_RETENTION_MS: u64 = 40_000;

/// Membership state of one instance: the other instances and zones it knows.
#[derive(Debug)]
pub struct Membership {
    identity: Identity,
    started_ms: u64,
    version: Version,
    own_state: OwnState,
    own_digest_ms: Option<u64>,
    has_own_change: bool,
    is_superseded: bool,
    listed: Vec<ListedInstance>,
    roster: Roster,
    zones: Zones,
    notices: BTreeMap<Leaver, u64>,
    changed_members: BTreeSet<InstanceName>,
    changed_zones: BTreeSet<ZoneName>,
    zone_sent_ms: Option<u64>,
    view: View,
    view_updated_ms: Option<u64>,
}

impl Membership {
    /// Creates the state of an instance that has just started.
    pub fn new(now_ms: u64, identity: Identity) -> Self {
        let version = Version {
            generation: identity.started_at_s,
            incarnation: identity.incarnation,
            seq: 0,
        };
        let view = View {
            live: vec![identity.instance.clone()],
            ..View::default()
        };
        Self {
            identity,
            started_ms: now_ms,
            version,
            own_state: OwnState::default(),
            own_digest_ms: None,
            has_own_change: true,
            is_superseded: false,
            listed: Vec::new(),
            roster: Roster::default(),
            zones: Zones::default(),
            notices: BTreeMap::new(),
            changed_members: BTreeSet::new(),
            changed_zones: BTreeSet::new(),
            zone_sent_ms: None,
            view,
            view_updated_ms: None,
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn on_event(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now_ms, &mut actions),
            Event::Listed(listed) => self.on_listed(now_ms, listed, &mut actions),
            Event::PeerConnected(peer) => self.send_all_digests(now_ms, &peer, &mut actions),
            Event::OwnStateChanged(own_state) => self.on_own_state(now_ms, own_state, &mut actions),
            Event::Digests { from, batch } => {
                self.on_digests(now_ms, &from, batch, &mut actions);
            }
            Event::Leaving { from, notice } => {
                self.on_leaving_notice(now_ms, from.as_ref(), notice, &mut actions);
            }
            Event::Zones { from, zones } => self.on_zones(now_ms, &from, zones, &mut actions),
        }
        actions
    }

    fn tick(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.notices.retain(|_, first_known_ms| {
            now_ms.saturating_sub(*first_known_ms) <= NOTICE_RETENTION_MS
        });
        let is_due = |last_ms: Option<u64>, interval_ms: u64| {
            last_ms.is_none_or(|last_ms| now_ms >= last_ms + interval_ms)
        };
        if is_due(self.view_updated_ms, VIEW_INTERVAL_MS) {
            self.roster.evict_expired(now_ms);
            self.update_view(now_ms, actions);
        }
        let digest_interval_ms = match self.has_own_change {
            true => MIN_DIGEST_INTERVAL_MS,
            false => digest_interval_ms(self.roster.len() + 1),
        };
        if is_due(self.own_digest_ms, digest_interval_ms) && !self.is_superseded {
            self.update_own_digest(now_ms);
        }
        self.forward_changes(now_ms, actions);
        if is_due(self.zone_sent_ms, ZONE_DIGEST_INTERVAL_MS) {
            self.zone_sent_ms = Some(now_ms);
            self.send_zone(now_ms, actions);
        }
    }

    fn update_own_digest(&mut self, now_ms: u64) {
        self.version.seq += 1;
        self.own_digest_ms = Some(now_ms);
        self.has_own_change = false;
        self.changed_members.insert(self.identity.instance.clone());
    }

    fn own_digest(&self, now_ms: u64) -> Option<AgedDigest> {
        let made_ms = self.own_digest_ms?;
        Some(AgedDigest {
            digest: Digest {
                instance: self.identity.instance.clone(),
                version: self.version,
                addr: self.identity.addr,
                readiness: self.own_state.readiness,
                config_next: self.own_state.config_next,
                claims_next: self.own_state.claims_next,
                load: self.own_state.load,
            },
            age_ms: now_ms.saturating_sub(made_ms) as u32,
        })
    }

    fn forward_changes(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let changed_members = std::mem::take(&mut self.changed_members);
        let changed_zones = std::mem::take(&mut self.changed_zones);
        for to in &self.view.neighbours {
            let entries: Vec<_> = changed_members
                .iter()
                .filter_map(|name| self.digest_for(now_ms, name, to))
                .collect();
            if !entries.is_empty() {
                actions.push(self.digest_message(to, entries));
            }
            let zones: Vec<_> = changed_zones
                .iter()
                .filter_map(|zone| self.zones.digest_for(now_ms, zone, to))
                .collect();
            if !zones.is_empty() {
                actions.push(send(to, Gossip::Zones(zones)));
            }
        }
    }

    fn digest_for(
        &self,
        now_ms: u64,
        name: &InstanceName,
        to: &InstanceName,
    ) -> Option<AgedDigest> {
        if *name == self.identity.instance {
            return self.own_digest(now_ms);
        }
        self.roster.digest_for(now_ms, name, to)
    }

    fn digest_message(&self, to: &InstanceName, entries: Vec<AgedDigest>) -> Action {
        let zone = self.identity.zone.clone();
        send(to, Gossip::Digests(DigestBatch { zone, entries }))
    }

    /// Sends all digests to a newly connected peer, because either side may have
    /// missed any of them.
    fn send_all_digests(&mut self, now_ms: u64, peer: &InstanceName, actions: &mut Vec<Action>) {
        if !self.view.neighbours.contains(peer) {
            return;
        }
        let others = self.roster.digests(now_ms);
        let entries: Vec<_> = others.chain(self.own_digest(now_ms)).collect();
        if !entries.is_empty() {
            actions.push(self.digest_message(peer, entries));
        }
    }

    fn on_own_state(&mut self, now_ms: u64, own_state: OwnState, actions: &mut Vec<Action>) {
        let starts_leaving = own_state.readiness == Readiness::Leaving
            && self.own_state.readiness != Readiness::Leaving;
        self.has_own_change |= own_state.readiness != self.own_state.readiness
            || own_state.config_next != self.own_state.config_next;
        self.own_state = own_state;
        if starts_leaving {
            let leaver = Leaver::Instance {
                instance: self.identity.instance.clone(),
                incarnation: self.identity.incarnation,
            };
            let notice = LeavingNotice { leaver, age_ms: 0 };
            self.on_leaving_notice(now_ms, None, notice, actions);
            self.update_view(now_ms, actions);
        }
    }

    fn on_listed(&mut self, now_ms: u64, listed: Vec<ListedInstance>, actions: &mut Vec<Action>) {
        if listed == self.listed {
            return;
        }
        self.listed = listed;
        let zone_instances: Vec<_> = self
            .listed
            .iter()
            .filter(|instance| {
                instance.zone == self.identity.zone && instance.instance != self.identity.instance
            })
            .collect();
        self.roster.set_listed(now_ms, &zone_instances);
        self.update_view(now_ms, actions);
    }

    fn on_digests(
        &mut self,
        now_ms: u64,
        from: &InstanceName,
        batch: DigestBatch,
        actions: &mut Vec<Action>,
    ) {
        if batch.zone != self.identity.zone {
            return;
        }
        let mut has_state_change = false;
        for entry in &batch.entries {
            if entry.digest.instance == self.identity.instance {
                self.on_digest_of_own_name(now_ms, entry, actions);
                continue;
            }
            let name = &entry.digest.instance;
            let old_state = self.state_of(now_ms, name);
            if self.roster.apply_digest(now_ms, from, entry) {
                self.changed_members.insert(name.clone());
                has_state_change |= old_state != self.state_of(now_ms, name);
            }
        }
        if has_state_change {
            self.update_view(now_ms, actions);
        }
    }

    fn state_of(&self, now_ms: u64, name: &InstanceName) -> Option<MemberState> {
        let member = self.roster.get(name)?;
        Some(self.roster.state(member, now_ms))
    }

    /// Handles a digest of another incarnation under this instance's name with a
    /// newer version. If it was made before this incarnation started, this one raises
    /// its version above it. Otherwise the other incarnation is alive and supersedes
    /// this one.
    fn on_digest_of_own_name(
        &mut self,
        now_ms: u64,
        entry: &AgedDigest,
        actions: &mut Vec<Action>,
    ) {
        let other_version = entry.digest.version;
        if other_version.incarnation == self.identity.incarnation || other_version < self.version {
            return;
        }
        let uptime_ms = now_ms.saturating_sub(self.started_ms);
        if u64::from(entry.age_ms) > uptime_ms {
            self.version = version_after(other_version, self.identity.incarnation);
            self.has_own_change = true;
        } else if !self.is_superseded {
            self.is_superseded = true;
            actions.push(Action::Superseded);
        }
    }

    fn on_leaving_notice(
        &mut self,
        now_ms: u64,
        from: Option<&InstanceName>,
        notice: LeavingNotice,
        actions: &mut Vec<Action>,
    ) {
        let age_ms = u64::from(notice.age_ms);
        if age_ms > NOTICE_EXPIRY_MS || self.notices.contains_key(&notice.leaver) {
            return;
        }
        let first_known_ms = now_ms.saturating_sub(age_ms);
        self.notices.insert(notice.leaver.clone(), first_known_ms);
        match &notice.leaver {
            Leaver::Backend(backend) => {
                actions.push(Action::BackendLeaving(backend.clone()));
                self.zone_sent_ms = None;
            }
            Leaver::Instance {
                instance,
                incarnation,
            } => {
                if self.roster.mark_leaving(instance, *incarnation) {
                    self.update_view(now_ms, actions);
                }
            }
        }
        let others = self.view.neighbours.iter();
        for to in others.filter(|to| Some(*to) != from) {
            actions.push(send(to, Gossip::Leaving(notice.clone())));
        }
    }

    fn on_zones(
        &mut self,
        now_ms: u64,
        from: &InstanceName,
        zones: Vec<ZoneDigest>,
        actions: &mut Vec<Action>,
    ) {
        for digest in &zones {
            if digest.zone == self.identity.zone {
                continue;
            }
            if self.zones.apply_digest(now_ms, from, digest) {
                self.changed_zones.insert(digest.zone.clone());
            }
            for entry in &digest.leaving {
                let notice = LeavingNotice {
                    leaver: Leaver::Backend(entry.backend.clone()),
                    age_ms: entry.age_ms,
                };
                self.on_leaving_notice(now_ms, Some(from), notice, actions);
            }
        }
    }
}

fn send(to: &InstanceName, gossip: Gossip) -> Action {
    Action::Send {
        to: to.clone(),
        gossip,
    }
}
