//! Software versions that have served a service recently enough for callers to take up streams
//! that began then.
//!
//! An instance that has known the register without a gap for that long, and has seen one version
//! only, knows the version of a stream that has no record.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::{
    Position, RoutingConfig,
    stream_records::{MAX_CALLER_WAIT_MS, RECORD_MARGIN_MS},
};
use crate::ids::{PoolName, SoftwareVersion};

/// Age of the register from which it counts as unknown, in ms: a new version may serve already.
const MAX_REGISTER_AGE_MS: u64 = 2_000;
/// Time for which a version counts after it was seen last, and for which the register has to be
/// known, in ms: a stream may begin somewhat later than its server was seen.
const WINDOW_MS: u64 = MAX_CALLER_WAIT_MS + RECORD_MARGIN_MS + MAX_REGISTER_AGE_MS;

/// Versions that have served a service, as far as an instance knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServedVersions {
    /// Only this one.
    One(SoftwareVersion),
    /// More than one, or streams of a route may have begun at more than one service.
    Several,
    /// Unknown: it has started recently, or did not know the register for a while.
    Unknown,
}

/// When a version was registered last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sight {
    /// It is registered now.
    Registered,
    /// It was registered until this time, in ms.
    Until(u64),
}

impl Sight {
    /// Returns whether callers may still take up streams that began at the version.
    fn counts(self, now_ms: u64) -> bool {
        match self {
            Self::Registered => true,
            Self::Until(until_ms) => now_ms < until_ms + WINDOW_MS,
        }
    }
}

/// Software versions and targets of routes that an instance has seen.
#[derive(Debug, Default)]
pub struct ServedSoftware {
    /// Versions of each service; none stands for an unknown version.
    services: HashMap<PoolName, BTreeMap<Option<SoftwareVersion>, Sight>>,
    /// Services that each route goes to.
    routes: HashMap<String, Vec<PoolName>>,
    /// Time of the last change of a route's services, in ms.
    moved_at_ms: Option<u64>,
    /// Since when the register is known without a gap, in ms.
    known_since_ms: Option<u64>,
    /// Latest time at which the register is known to have been current, in ms.
    current_at_ms: u64,
    /// What an earlier instance knew.
    inherited: Option<Inherited>,
}

/// Knowledge of an earlier instance, which holds as long as the register and the services of
/// routes are known without a gap since.
#[derive(Debug)]
struct Inherited {
    /// Version that alone had served each service.
    services: BTreeMap<PoolName, SoftwareVersion>,
    /// Time from which this instance knows what followed, in ms.
    since_ms: u64,
}

/// Versions that alone have served, as an instance stores it for the ones after it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoleVersions {
    /// Version that alone has served each service.
    pub services: BTreeMap<PoolName, SoftwareVersion>,
    /// Version of the configuration that said which services the routes lead to.
    pub config_version: u64,
    /// Position of the first record of the register that was not known.
    pub register: Position,
}

impl ServedSoftware {
    /// Records that the register was current `register_age_ms` ago.
    pub fn on_register_age(&mut self, now_ms: u64, register_age_ms: u64) {
        let current_at_ms = now_ms.saturating_sub(register_age_ms);
        if current_at_ms > self.current_at_ms + MAX_REGISTER_AGE_MS {
            // Nothing is known of the time in between, for example of a freeze.
            self.known_since_ms = None;
        }
        self.current_at_ms = self.current_at_ms.max(current_at_ms);
        if register_age_ms > MAX_REGISTER_AGE_MS {
            self.known_since_ms = None;
        } else {
            self.known_since_ms.get_or_insert(now_ms);
        }
    }

    /// Records the versions of all servers that are registered from now on.
    pub fn on_registered<'a>(
        &mut self,
        now_ms: u64,
        servers: impl Iterator<Item = (&'a PoolName, Option<&'a SoftwareVersion>)>,
    ) {
        for versions in self.services.values_mut() {
            for sight in versions.values_mut() {
                if *sight == Sight::Registered {
                    *sight = Sight::Until(now_ms);
                }
            }
            versions.retain(|_, sight| sight.counts(now_ms));
        }
        for (service, software) in servers {
            let versions = match self.services.get_mut(service) {
                Some(versions) => versions,
                None => self.services.entry(service.clone()).or_default(),
            };
            versions.insert(software.cloned(), Sight::Registered);
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }

    /// Records the services of the routes of a new configuration.
    pub fn on_routes(&mut self, now_ms: u64, config: &RoutingConfig) {
        let routes = config.routes.iter().map(|route| {
            let targets = route.targets.iter().filter(|target| target.weight > 0);
            let services = targets.map(|target| target.service.clone());
            (route.name.clone(), services.collect())
        });
        let routes: HashMap<String, Vec<PoolName>> = routes.collect();
        let mut before = self.routes.iter();
        let has_moved = before.any(|(name, services)| routes.get(name) != Some(services));
        if has_moved || self.moved_at_ms.is_none() {
            self.moved_at_ms = Some(now_ms);
        }
        self.routes = routes;
    }

    /// Returns the versions at which streams of `route` that go to `service` may have begun.
    pub fn versions(&self, now_ms: u64, route: &str, service: &PoolName) -> ServedVersions {
        match self.routes.get(route).map(Vec::as_slice) {
            None => ServedVersions::Unknown,
            Some([target]) if target == service => self.versions_of(now_ms, service),
            Some(_) => ServedVersions::Several,
        }
    }

    /// Returns the versions at which streams that began at `service` may have begun.
    pub fn versions_of(&self, now_ms: u64, service: &PoolName) -> ServedVersions {
        let served = self.services.get(service).into_iter().flatten();
        let mut served = served.filter(|(_, sight)| sight.counts(now_ms));
        let first = served.next().map(|(version, _)| version);
        if served.next().is_some() {
            return ServedVersions::Several;
        }
        let is_covered =
            |since_ms: Option<u64>| since_ms.is_some_and(|ms| now_ms >= ms + WINDOW_MS);
        match first {
            Some(Some(version))
                if (is_covered(self.known_since_ms) && is_covered(self.moved_at_ms))
                    || self.inherits(service, version) =>
            {
                ServedVersions::One(version.clone())
            }
            _ => ServedVersions::Unknown,
        }
    }

    /// Returns the version that alone has served each service, where that is known.
    pub fn sole_versions(&self, now_ms: u64) -> BTreeMap<PoolName, SoftwareVersion> {
        let services = self.services.keys();
        let sole = services.filter_map(|service| match self.versions_of(now_ms, service) {
            ServedVersions::One(version) => Some((service.clone(), version)),
            ServedVersions::Several | ServedVersions::Unknown => None,
        });
        sole.collect()
    }

    /// Takes over which versions alone had served up to now, from an instance whose knowledge
    /// this one continues without a gap.
    pub fn inherit(&mut self, now_ms: u64, services: BTreeMap<PoolName, SoftwareVersion>) {
        self.inherited = Some(Inherited {
            services,
            since_ms: now_ms,
        });
    }

    /// Returns whether `version` alone has served `service`, by what an earlier instance knew.
    fn inherits(&self, service: &PoolName, version: &SoftwareVersion) -> bool {
        self.inherited.as_ref().is_some_and(|inherited| {
            let is_continued =
                |since_ms: Option<u64>| since_ms.is_some_and(|ms| ms <= inherited.since_ms);
            inherited.services.get(service) == Some(version)
                && is_continued(self.known_since_ms)
                && is_continued(self.moved_at_ms)
        })
    }
}
