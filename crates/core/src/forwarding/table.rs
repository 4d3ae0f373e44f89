//! Finds the route of a request, and the workspace of a key.

use std::{collections::HashMap, sync::Arc};

use super::{Route, RoutingConfig, Service};
use crate::ids::{PoolName, WorkspaceName};

/// Why a request has no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unroutable {
    /// No route takes its host and path.
    NoRoute,
    /// Its route asks for a key, and it has none that is known.
    UnknownKey,
}

/// A workspace as a request's key names it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Holder {
    name: WorkspaceName,
    priority: Option<u8>,
}

/// A routing configuration, arranged for lookups.
#[derive(Debug)]
pub struct RouteTable {
    config: Arc<RoutingConfig>,
    /// Routes of each host, those with the longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    holders: HashMap<String, Holder>,
    services: HashMap<PoolName, Service>,
}

/// What a request was matched with.
#[derive(Clone, Debug)]
pub struct Matched {
    /// Its route.
    pub route: Arc<Route>,
    /// Workspace of its key.
    pub workspace: Option<WorkspaceName>,
    /// Its rank, 0 being the most urgent.
    pub priority: u8,
}

impl RouteTable {
    /// Arranges `config` for lookups.
    pub fn new(config: Arc<RoutingConfig>) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let holders = config.workspaces.iter().flat_map(|workspace| {
            let holder = Holder {
                name: workspace.name.clone(),
                priority: workspace.priority,
            };
            let keys = workspace.keys.iter();
            keys.map(move |key| (key.clone(), holder.clone()))
        });
        let services = config.services.iter();
        Self {
            holders: holders.collect(),
            services: services
                .map(|service| (service.name.clone(), service.clone()))
                .collect(),
            hosts,
            config,
        }
    }

    /// Returns the configuration that it was made of.
    pub fn config(&self) -> &Arc<RoutingConfig> {
        &self.config
    }

    /// Returns the number of its version.
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &PoolName) -> Option<&Service> {
        self.services.get(name)
    }

    /// Finds the route of a request to `host` and `path` whose caller presents
    /// `key`: of the routes of its host the one with the longest prefix.
    ///
    /// # Errors
    ///
    /// Returns why it has none.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Result<Matched, Unroutable> {
        let host = without_port(host).to_ascii_lowercase();
        let routes = self.hosts.get(&host).ok_or(Unroutable::NoRoute)?;
        let route = routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
            .ok_or(Unroutable::NoRoute)?;
        let holder = key.and_then(|key| self.holders.get(key));
        if holder.is_none() && !route.is_public && !self.holders.is_empty() {
            return Err(Unroutable::UnknownKey);
        }
        Ok(Matched {
            workspace: holder.map(|holder| holder.name.clone()),
            priority: holder
                .and_then(|holder| holder.priority)
                .unwrap_or(route.priority),
            route: Arc::clone(route),
        })
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
