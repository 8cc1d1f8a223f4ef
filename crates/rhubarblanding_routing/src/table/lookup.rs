//! Route lookup by host and path.

use rhubarblanding_core::prelude::*;

use super::{Configuration, Route};

/// Key of a route in one [`RouteTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(u32);

impl RouteKey {
    /// Returns the position of the route in its configuration.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// Routes of one configuration, ordered for lookup.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    configuration: Configuration,
    /// Routes of each host, longest prefix first.
    by_host: HashMap<String, Vec<RouteKey>>,
}

impl RouteTable {
    /// Creates the table of a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut by_host: HashMap<String, Vec<RouteKey>> = HashMap::default();
        for (i, route) in configuration.routes.iter().enumerate() {
            let keys = by_host.entry(route.host.clone()).or_default();
            keys.push(RouteKey(i as u32));
        }
        for keys in by_host.values_mut() {
            let len = |key: &RouteKey| configuration.routes[key.index()].path_prefix.len();
            keys.sort_by_key(|key| std::cmp::Reverse(len(key)));
        }
        Self {
            configuration,
            by_host,
        }
    }

    /// Returns the configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the route for a key of this table.
    pub fn route(&self, key: RouteKey) -> Option<&Route> {
        self.configuration.routes.get(key.index())
    }

    /// Finds the route with the longest matching path prefix. `host` may include a port.
    pub fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let keys = match self.by_host.get(name) {
            Some(keys) => keys,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        let matches = |key: &&RouteKey| {
            let route = &self.configuration.routes[key.index()];
            path.starts_with(&route.path_prefix)
        };
        keys.iter().find(matches).copied()
    }
}
