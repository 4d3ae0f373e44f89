//! Looks up the route of a request and the workspace of a key.

use std::{collections::HashMap, sync::Arc};

use super::{Route, RoutingConfig, Service};
use crate::ids::{PoolName, WorkspaceName};

/// Reason why no route was matched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unroutable {
    /// No route matches the host and path.
    NoRoute,
    /// The route requires a key, and the request has no known one.
    UnknownKey,
}

/// The workspace that owns a key.
#[derive(Clone, Debug, PartialEq, Eq)]
struct KeyOwner {
    name: WorkspaceName,
    priority: Option<u8>,
}

/// A routing configuration, indexed for lookups.
#[derive(Debug)]
pub struct RouteTable {
    config: Arc<RoutingConfig>,
    /// Routes of each host, those with the longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    key_owners: HashMap<String, KeyOwner>,
    services: HashMap<PoolName, Service>,
}

/// Result of matching a request.
#[derive(Clone, Debug)]
pub struct Matched {
    /// Route of the request.
    pub route: Arc<Route>,
    /// Workspace of the request's key.
    pub workspace: Option<WorkspaceName>,
    /// Rank of the request, 0 being the most urgent.
    pub priority: u8,
}

impl RouteTable {
    /// Indexes `config`.
    pub fn new(config: Arc<RoutingConfig>) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let workspaces = config.workspaces.iter().flatten();
        let key_owners = workspaces.flat_map(|workspace| {
            let owner = KeyOwner {
                name: workspace.name.clone(),
                priority: workspace.priority,
            };
            let keys = workspace.keys.iter();
            keys.map(move |key| (key.clone(), owner.clone()))
        });
        let services = config.services.iter();
        Self {
            key_owners: key_owners.collect(),
            services: services
                .map(|service| (service.name.clone(), service.clone()))
                .collect(),
            hosts,
            config,
        }
    }

    /// Returns the indexed configuration.
    pub fn config(&self) -> &Arc<RoutingConfig> {
        &self.config
    }

    /// Returns the version number of the configuration.
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &PoolName) -> Option<&Service> {
        self.services.get(name)
    }

    /// Finds the route of a request to `host` and `path` whose caller presents `key`: the route
    /// of the host with the longest matching prefix.
    ///
    /// # Errors
    ///
    /// Fails if no route matches, or if the route requires a key and `key` is not known.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Result<Matched, Unroutable> {
        let host = without_port(host).to_ascii_lowercase();
        let routes = self.hosts.get(&host).ok_or(Unroutable::NoRoute)?;
        let route = routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
            .ok_or(Unroutable::NoRoute)?;
        let owner = key.and_then(|key| self.key_owners.get(key));
        let needs_key = !route.is_public && self.config.workspaces.is_some();
        if owner.is_none() && needs_key {
            return Err(Unroutable::UnknownKey);
        }
        Ok(Matched {
            workspace: owner.map(|owner| owner.name.clone()),
            priority: owner
                .and_then(|owner| owner.priority)
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
