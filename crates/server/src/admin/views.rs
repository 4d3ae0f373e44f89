//! Views of the instance and the fleet for operators.

use savoryvane_core::{ids::Offset, objects::Object, roster::ListedInstance};
use savoryvane_wire::admin::{BackendView, HistoryEntry, InstanceView, Reach, Status};

use crate::{instance::Shared, members, phase::Phase};

/// Returns the status of this instance.
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

/// Counts the instances that are known to have applied the change at `offset`.
/// Instances of other zones are known only through the digest of their zone.
pub(super) fn reach(shared: &Shared, offset: Offset) -> Reach {
    members::announce_own_state(shared);
    let propagation = shared.members.membership().propagation(offset);
    Reach {
        offset,
        in_force: propagation.in_force,
        listed: propagation.listed,
        missing: propagation.missing,
    }
}

/// Returns the objects of the configuration in force.
pub(super) fn objects(shared: &Shared) -> Vec<Object> {
    shared.configuration.state().objects().collect()
}

/// Returns the recorded changes with their results.
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

/// Returns the known state of all instances, this one first.
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
    let remote = membership
        .listed()
        .iter()
        .filter(|listed| listed.zone != *own_zone);
    views.extend(remote.map(|listed| {
        let zone = membership.zones().get(&listed.zone);
        let is_known_live = zone.is_some_and(|zone| zone.digest().silent == 0);
        InstanceView {
            name: listed.instance.clone(),
            zone: listed.zone.clone(),
            state: remote_state(listed, is_known_live).to_owned(),
            config_next: zone.map(|zone| zone.digest().config_min),
            age_ms: zone.map(|zone| zone.age_ms(now_ms)),
        }
    }));
    views
}

/// Returns the state of an instance in another zone. Only the digest of that zone
/// is known: its instances count as live if the digest reports none as silent.
fn remote_state(listed: &ListedInstance, is_known_live: bool) -> &'static str {
    match (listed.is_leaving, is_known_live) {
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

/// Returns the known state of the backend servers.
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
