//! What operators are shown of an instance and of what it knows.

use savoryvane_core::{ids::Offset, objects::Object, roster::ListedInstance};
use savoryvane_wire::admin::{BackendView, HistoryEntry, InstanceView, Reach, Status};

use crate::{instance::Shared, members, phase::Phase};

/// Returns what this instance says of itself.
pub(super) fn status(shared: &Shared) -> Status {
    let phase = shared.phases.current();
    let progress = shared.configuration.progress(shared.clock.now_ms());
    Status {
        instance: shared.settings.instance.clone(),
        incarnation: shared.incarnation,
        zone: shared.settings.zone.clone(),
        ready: phase == Phase::Serving,
        leaving: phase >= Phase::Leaving,
        config_next: progress.next,
        config_age_ms: progress.age_ms.unwrap_or(u64::MAX),
        in_flight: shared.in_flight(),
    }
}

/// Counts what is known to have an offset in force. Instances of other zones are
/// known by their zone's digest only.
pub(super) fn reach(shared: &Shared, offset: Offset) -> Reach {
    members::announce_own_state(shared);
    let spread = shared.members.membership().propagation(offset);
    Reach {
        offset,
        in_force: spread.in_force,
        listed: spread.listed,
        missing: spread.missing,
    }
}

/// Returns the objects of the configuration in force.
pub(super) fn objects(shared: &Shared) -> Vec<Object> {
    shared.configuration.state().objects().collect()
}

/// Returns the changes that are remembered, as decided.
pub(super) fn history(shared: &Shared) -> Vec<HistoryEntry> {
    let state = shared.configuration.state();
    let entries = state.history().map(|entry| HistoryEntry {
        offset: entry.offset,
        id: entry.id.clone(),
        operator: entry.operator.clone(),
        result: entry.verdict.to_string(),
    });
    entries.collect()
}

/// Returns what is known of the instances, this one first.
pub(super) fn instances(shared: &Shared) -> Vec<InstanceView> {
    let now_ms = shared.clock.now_ms();
    let membership = shared.members.membership();
    let mut views = vec![own_view(shared)];
    views.extend(
        membership
            .members(now_ms)
            .map(|(name, member, state)| InstanceView {
                name: name.clone(),
                zone: shared.settings.zone.clone(),
                state: state.as_str().to_owned(),
                config_next: member.digest().map(|digest| digest.config_next),
                age_ms: member.age_ms(now_ms),
            }),
    );
    let own_zone = &shared.settings.zone;
    let others = membership.listed().iter().filter(|l| l.zone != *own_zone);
    views.extend(others.map(|listed| {
        let zone = membership.zones().get(&listed.zone);
        let is_known = zone.is_some_and(|zone| zone.digest().silent == 0);
        InstanceView {
            name: listed.instance.clone(),
            zone: listed.zone.clone(),
            state: far_state(listed, is_known).to_owned(),
            config_next: zone.map(|zone| zone.digest().config_min),
            age_ms: zone.map(|zone| zone.age_ms(now_ms)),
        }
    }));
    views
}

/// Of another zone only the digest is known: its instances are live when it says
/// that none is silent.
fn far_state(listed: &ListedInstance, is_known: bool) -> &'static str {
    match (listed.is_leaving, is_known) {
        (true, _) => "leaving",
        (false, true) => "live",
        (false, false) => "listed",
    }
}

fn own_view(shared: &Shared) -> InstanceView {
    let state = if shared.phases.is_leaving() {
        "leaving"
    } else {
        "live"
    };
    InstanceView {
        name: shared.settings.instance.clone(),
        zone: shared.settings.zone.clone(),
        state: state.to_owned(),
        config_next: Some(shared.configuration.state().next()),
        age_ms: Some(0),
    }
}

/// Returns what is known of the backend servers.
pub(super) fn backends(shared: &Shared) -> Vec<BackendView> {
    let now_ms = shared.clock.now_ms();
    let fleet = shared.fleet();
    let views = fleet.statuses(now_ms).map(|status| BackendView {
        name: status.name,
        pool: status.pool,
        zone: status.zone,
        state: status.state.as_str().to_owned(),
        in_flight: status.in_flight,
        reported: status.reported,
        age_ms: status.age_ms,
    });
    views.collect()
}
