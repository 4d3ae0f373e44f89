//! Collects what the instances have booked, each of them once.

use std::{collections::BTreeSet, net::SocketAddr};

use savoryvane_core::ids::InstanceName;
use savoryvane_wire::admin::{CostLine, Status};

use crate::{
    admin::{self, Admin, Failures},
    error::{Error, Result},
    settings::Settings,
};

/// The books of the instances that answered, and who did not.
#[derive(Debug)]
pub(crate) struct Books {
    /// Cost lines of every instance in `instances`.
    pub(crate) lines: Vec<CostLine>,
    /// Instances whose books these are.
    pub(crate) instances: Vec<InstanceName>,
    /// Addresses that gave no answer.
    pub(crate) unreachable: Failures,
    /// Instances that are known, but were not among the addresses.
    pub(crate) not_asked: Vec<InstanceName>,
}

/// Collects the books of the instances at the addresses of `settings`.
///
/// # Errors
///
/// Fails when no instance answered, or one did not answer as it should.
pub(crate) async fn collect(settings: &Settings) -> Result<Books> {
    let admin = Admin::new(settings);
    let (mut statuses, mut unreachable) = admin::split(admin.statuses().await)?;
    keep_distinct(&mut statuses);
    let addrs: Vec<SocketAddr> = statuses.iter().map(|(addr, _)| *addr).collect();
    let (books, missed) = admin::split(admin.costs(&addrs).await)?;
    statuses.retain(|(addr, _)| books.iter().any(|(booked, _)| booked == addr));
    unreachable.extend(missed);
    if books.is_empty() {
        return Err(Error::Unreachable(unreachable));
    }
    let instances: Vec<_> = statuses.into_iter().map(|(_, s)| s.instance).collect();
    Ok(Books {
        lines: books.into_iter().flat_map(|(_, lines)| lines).collect(),
        not_asked: not_asked(admin, &instances).await,
        instances,
        unreachable,
    })
}

/// Two addresses may lead to one instance, whose book must count once.
fn keep_distinct(statuses: &mut Vec<(SocketAddr, Status)>) {
    let mut seen = BTreeSet::new();
    statuses.retain(|(_, status)| seen.insert(status.incarnation));
}

/// Without a list the sums are still right for those that were asked.
async fn not_asked(admin: Admin<'_>, asked: &[InstanceName]) -> Vec<InstanceName> {
    let views = admin.instances().await.unwrap_or_default();
    let names = views.into_iter().map(|view| view.name);
    names.filter(|name| !asked.contains(name)).collect()
}
