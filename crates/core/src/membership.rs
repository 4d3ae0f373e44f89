//! Which instances there are and what state they are in, by digests that pass
//! from neighbour to neighbour.
//!
//! The state machine is ticked every [`TICK_MS`]; each tick passes on what is
//! new to the neighbours that are not known to have it.

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
    roster::{LEAST_PERIOD_MS, ListedInstance, MemberState, Roster, ahead_of, period_ms},
    zones::Zones,
};

use view::View;

pub use event::{Action, Contact, Event, Gossip, Identity, OwnState};
pub use propagation::Propagation;

/// Time between two ticks, in ms.
pub const TICK_MS: u64 = 200;
/// Time between two digests of the zone to another one, in ms.
const ZONE_PERIOD_MS: u64 = 1_000;
/// Time between two computations of who is where when nothing is known to have
/// changed, in ms.
const VIEW_PERIOD_MS: u64 = 1_000;
/// Age from which a leaving notice is neither taken nor passed on, in ms.
const NOTICE_EXPIRY_MS: u64 = 20_000;
/// Time for which a leaving notice is remembered, in ms. It is longer, so that
/// one that goes round is not taken for a new one.
const NOTICE_MEMORY_MS: u64 = 40_000;

/// Knowledge of the other instances and zones.
#[derive(Debug)]
pub struct Membership {
    me: Identity,
    started_ms: u64,
    version: Version,
    own: OwnState,
    own_made_ms: Option<u64>,
    is_own_changed: bool,
    is_superseded: bool,
    listed: Vec<ListedInstance>,
    roster: Roster,
    zones: Zones,
    notices: BTreeMap<Leaver, u64>,
    news: BTreeSet<InstanceName>,
    zone_news: BTreeSet<ZoneName>,
    zone_sent_ms: Option<u64>,
    view: View,
    view_made_ms: Option<u64>,
}

impl Membership {
    /// Creates the knowledge of an instance that has just started.
    pub fn new(now_ms: u64, me: Identity) -> Self {
        let version = Version {
            generation: me.started_at_s,
            incarnation: me.incarnation,
            seq: 0,
        };
        let view = View {
            live: vec![me.instance.clone()],
            ..View::default()
        };
        Self {
            me,
            started_ms: now_ms,
            version,
            own: OwnState::default(),
            own_made_ms: None,
            is_own_changed: true,
            is_superseded: false,
            listed: Vec::new(),
            roster: Roster::default(),
            zones: Zones::default(),
            notices: BTreeMap::new(),
            news: BTreeSet::new(),
            zone_news: BTreeSet::new(),
            zone_sent_ms: None,
            view,
            view_made_ms: None,
        }
    }

    /// Takes an event and returns what has to happen.
    pub fn on_event(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now_ms, &mut actions),
            Event::Listed(listed) => self.take_list(now_ms, listed, &mut actions),
            Event::PeerConnected(peer) => self.greet(now_ms, &peer, &mut actions),
            Event::OwnStateChanged(own) => self.take_own(now_ms, own, &mut actions),
            Event::Digests { from, batch } => {
                self.take_digests(now_ms, &from, batch, &mut actions);
            }
            Event::Leaving { from, notice } => {
                self.take_notice(now_ms, from.as_ref(), notice, &mut actions);
            }
            Event::Zones { from, zones } => self.take_zones(now_ms, &from, zones, &mut actions),
        }
        actions
    }

    fn tick(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.notices
            .retain(|_, known_ms| now_ms.saturating_sub(*known_ms) <= NOTICE_MEMORY_MS);
        let is_due = |made: Option<u64>, period: u64| made.is_none_or(|at| now_ms >= at + period);
        if is_due(self.view_made_ms, VIEW_PERIOD_MS) {
            self.roster.forget_old(now_ms);
            self.renew_view(now_ms, actions);
        }
        let period_ms = match self.is_own_changed {
            true => LEAST_PERIOD_MS,
            false => period_ms(self.roster.len() + 1),
        };
        if is_due(self.own_made_ms, period_ms) && !self.is_superseded {
            self.make_account(now_ms);
        }
        self.pass_on(now_ms, actions);
        if is_due(self.zone_sent_ms, ZONE_PERIOD_MS) {
            self.zone_sent_ms = Some(now_ms);
            self.send_zone(now_ms, actions);
        }
    }

    fn make_account(&mut self, now_ms: u64) {
        self.version.seq += 1;
        self.own_made_ms = Some(now_ms);
        self.is_own_changed = false;
        self.news.insert(self.me.instance.clone());
    }

    fn own_digest(&self, now_ms: u64) -> Option<AgedDigest> {
        let made_ms = self.own_made_ms?;
        Some(AgedDigest {
            digest: Digest {
                instance: self.me.instance.clone(),
                version: self.version,
                addr: self.me.addr,
                readiness: self.own.readiness,
                config_next: self.own.config_next,
                claims_next: self.own.claims_next,
                load: self.own.load,
            },
            age_ms: now_ms.saturating_sub(made_ms) as u32,
        })
    }

    fn pass_on(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let news = std::mem::take(&mut self.news);
        let zone_news = std::mem::take(&mut self.zone_news);
        for to in &self.view.neighbours {
            let entries: Vec<_> = news
                .iter()
                .filter_map(|name| self.account_for(now_ms, name, to))
                .collect();
            if !entries.is_empty() {
                actions.push(self.digests_to(to, entries));
            }
            let zones: Vec<_> = zone_news
                .iter()
                .filter_map(|zone| self.zones.digest_for(now_ms, zone, to))
                .collect();
            if !zones.is_empty() {
                actions.push(send(to, Gossip::Zones(zones)));
            }
        }
    }

    fn account_for(
        &self,
        now_ms: u64,
        name: &InstanceName,
        to: &InstanceName,
    ) -> Option<AgedDigest> {
        if *name == self.me.instance {
            return self.own_digest(now_ms);
        }
        self.roster.account_for(now_ms, name, to)
    }

    fn digests_to(&self, to: &InstanceName, entries: Vec<AgedDigest>) -> Action {
        let zone = self.me.zone.clone();
        send(to, Gossip::Digests(DigestBatch { zone, entries }))
    }

    /// A peer that was just reached gets everything, since either side may have
    /// missed anything.
    fn greet(&mut self, now_ms: u64, peer: &InstanceName, actions: &mut Vec<Action>) {
        if !self.view.neighbours.contains(peer) {
            return;
        }
        let others = self.roster.accounts(now_ms);
        let entries: Vec<_> = others.chain(self.own_digest(now_ms)).collect();
        if !entries.is_empty() {
            actions.push(self.digests_to(peer, entries));
        }
    }

    fn take_own(&mut self, now_ms: u64, own: OwnState, actions: &mut Vec<Action>) {
        let begins_leaving =
            own.readiness == Readiness::Leaving && self.own.readiness != Readiness::Leaving;
        self.is_own_changed |=
            own.readiness != self.own.readiness || own.config_next != self.own.config_next;
        self.own = own;
        if begins_leaving {
            let leaver = Leaver::Instance {
                instance: self.me.instance.clone(),
                incarnation: self.me.incarnation,
            };
            let notice = LeavingNotice { leaver, age_ms: 0 };
            self.take_notice(now_ms, None, notice, actions);
            self.renew_view(now_ms, actions);
        }
    }

    fn take_list(&mut self, now_ms: u64, listed: Vec<ListedInstance>, actions: &mut Vec<Action>) {
        if listed == self.listed {
            return;
        }
        self.listed = listed;
        let of_zone: Vec<_> = self
            .listed
            .iter()
            .filter(|l| l.zone == self.me.zone && l.instance != self.me.instance)
            .collect();
        self.roster.set_listed(now_ms, &of_zone);
        self.renew_view(now_ms, actions);
    }

    fn take_digests(
        &mut self,
        now_ms: u64,
        from: &InstanceName,
        batch: DigestBatch,
        actions: &mut Vec<Action>,
    ) {
        if batch.zone != self.me.zone {
            return;
        }
        let mut is_view_old = false;
        for entry in &batch.entries {
            if entry.digest.instance == self.me.instance {
                self.meet_own_name(now_ms, entry, actions);
                continue;
            }
            let name = &entry.digest.instance;
            let before = self.state_of(now_ms, name);
            if self.roster.take(now_ms, from, entry) {
                self.news.insert(name.clone());
                is_view_old |= before != self.state_of(now_ms, name);
            }
        }
        if is_view_old {
            self.renew_view(now_ms, actions);
        }
    }

    fn state_of(&self, now_ms: u64, name: &InstanceName) -> Option<MemberState> {
        let member = self.roster.get(name)?;
        Some(self.roster.state(member, now_ms))
    }

    /// Another run's account under this name that is ahead of this run's was
    /// either made before this one started, and is outdone, or by a run that
    /// lives, and then this one is the old one.
    fn meet_own_name(&mut self, now_ms: u64, entry: &AgedDigest, actions: &mut Vec<Action>) {
        let seen = entry.digest.version;
        if seen.incarnation == self.me.incarnation || seen < self.version {
            return;
        }
        let running_ms = now_ms.saturating_sub(self.started_ms);
        if u64::from(entry.age_ms) > running_ms {
            self.version = ahead_of(seen, self.me.incarnation);
            self.is_own_changed = true;
        } else if !self.is_superseded {
            self.is_superseded = true;
            actions.push(Action::Superseded);
        }
    }

    fn take_notice(
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
        let known_ms = now_ms.saturating_sub(age_ms);
        self.notices.insert(notice.leaver.clone(), known_ms);
        match &notice.leaver {
            Leaver::Backend(backend) => {
                actions.push(Action::BackendLeaving(backend.clone()));
                self.zone_sent_ms = None;
            }
            Leaver::Instance {
                instance,
                incarnation,
            } => {
                if self.roster.take_leaving(instance, *incarnation) {
                    self.renew_view(now_ms, actions);
                }
            }
        }
        let others = self.view.neighbours.iter();
        for to in others.filter(|to| Some(*to) != from) {
            actions.push(send(to, Gossip::Leaving(notice.clone())));
        }
    }

    fn take_zones(
        &mut self,
        now_ms: u64,
        from: &InstanceName,
        zones: Vec<ZoneDigest>,
        actions: &mut Vec<Action>,
    ) {
        for digest in &zones {
            if digest.zone == self.me.zone {
                continue;
            }
            if self.zones.take(now_ms, from, digest) {
                self.zone_news.insert(digest.zone.clone());
            }
            for entry in &digest.leaving {
                let notice = LeavingNotice {
                    leaver: Leaver::Backend(entry.backend.clone()),
                    age_ms: entry.age_ms,
                };
                self.take_notice(now_ms, Some(from), notice, actions);
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
