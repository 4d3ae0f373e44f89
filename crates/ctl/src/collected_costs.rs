//! Collects the cost lines of all instances, each instance once.

use std::{collections::BTreeSet, net::SocketAddr};

use savoryvane_core::ids::InstanceName;
use savoryvane_wire::admin::{CostLine, Status};

use crate::{
    admin::{self, Admin, Failures},
    error::{Error, Result},
    settings::Settings,
};

/// Cost lines of the instances that responded, and the instances that are missing.
#[derive(Debug)]
pub(crate) struct CollectedCosts {
    /// Cost lines of every instance in `instances`.
    pub(crate) lines: Vec<CostLine>,
    /// Instances that the lines come from.
    pub(crate) instances: Vec<InstanceName>,
    /// Addresses that did not respond.
    pub(crate) unreachable: Failures,
    /// Known instances that are not among the addresses.
    pub(crate) not_asked: Vec<InstanceName>,
}

/// Collects the cost lines of the instances at the addresses in `settings`.
///
/// # Errors
///
/// Returns an error when no instance responds or a response is invalid.
pub(crate) async fn collect(settings: &Settings) -> Result<CollectedCosts> {
    let admin = Admin::new(settings);
    let (mut statuses, mut unreachable) = admin::split_unreachable(admin.statuses().await)?;
    remove_duplicates(&mut statuses);
    let addrs: Vec<SocketAddr> = statuses.iter().map(|(addr, _)| *addr).collect();
    let (costs, failures) = admin::split_unreachable(admin.costs(&addrs).await)?;
    statuses.retain(|(addr, _)| costs.iter().any(|(responded, _)| responded == addr));
    unreachable.extend(failures);
    if costs.is_empty() {
        return Err(Error::Unreachable(unreachable));
    }
    let instances: Vec<_> = statuses.into_iter().map(|(_, s)| s.instance).collect();
    Ok(CollectedCosts {
        lines: costs.into_iter().flat_map(|(_, lines)| lines).collect(),
        not_asked: not_asked(admin, &instances).await,
        instances,
        unreachable,
    })
}

/// Removes repeated instances: two addresses may belong to one instance, whose costs
/// must count once.
fn remove_duplicates(statuses: &mut Vec<(SocketAddr, Status)>) {
    let mut seen = BTreeSet::new();
    statuses.retain(|(_, status)| seen.insert(status.incarnation));
}

/// Returns the known instances that are not in `queried`, or none when the list of
/// instances is unavailable: the sums are still correct for the queried instances.
async fn not_asked(admin: Admin<'_>, queried: &[InstanceName]) -> Vec<InstanceName> {
    let views = admin.instances().await.unwrap_or_default();
    let names = views.into_iter().map(|view| view.name);
    names.filter(|name| !queried.contains(name)).collect()
}
