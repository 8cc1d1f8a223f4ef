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

/// Result of a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteMatch {
    /// The route of the request.
    Route(RouteKey),
    /// The request belongs, or may belong, to a route that is not valid.
    Unusable,
    /// No route matches.
    Unknown,
}

impl RouteMatch {
    /// Returns the key of a valid route.
    pub fn key(self) -> Option<RouteKey> {
        match self {
            Self::Route(key) => Some(key),
            Self::Unusable | Self::Unknown => None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Slot {
    Route(RouteKey),
    /// Index in [`Configuration::unusable`].
    Unusable(u32),
}

/// Routes of one configuration, ordered for lookup.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    configuration: Configuration,
    /// Routes of each host, longest prefix first.
    by_host: HashMap<String, Vec<Slot>>,
}

fn prefix(configuration: &Configuration, slot: Slot) -> &str {
    match slot {
        Slot::Route(key) => &configuration.routes[key.index()].path_prefix,
        Slot::Unusable(i) => &configuration.unusable[i as usize].path_prefix,
    }
}

impl RouteTable {
    /// Creates the table of a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut by_host: HashMap<String, Vec<Slot>> = HashMap::default();
        for (i, route) in configuration.routes.iter().enumerate() {
            let slots = by_host.entry(route.host.clone()).or_default();
            slots.push(Slot::Route(RouteKey(i as u32)));
        }
        for (i, route) in configuration.unusable.iter().enumerate() {
            let slots = by_host.entry(route.host.clone()).or_default();
            slots.push(Slot::Unusable(i as u32));
        }
        for slots in by_host.values_mut() {
            // The sort is stable: of two routes with one prefix the valid one is found.
            slots.sort_by_key(|slot| std::cmp::Reverse(prefix(&configuration, *slot).len()));
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

    /// Iterates over all valid routes that match, longest prefix first.
    pub fn matching(&self, host: &str, path: &str) -> impl Iterator<Item = &Route> {
        let matching = self
            .slots(host)
            .filter(move |slot| self.begins(**slot, path));
        matching.filter_map(|slot| match slot {
            Slot::Route(key) => self.route(*key),
            Slot::Unusable(_) => None,
        })
    }

    fn begins(&self, slot: Slot, path: &str) -> bool {
        path.starts_with(prefix(&self.configuration, slot))
    }

    /// Iterates over the routes of `host`, longest prefix first.
    fn slots(&self, host: &str) -> impl Iterator<Item = &Slot> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let slots = self
            .by_host
            .get(name)
            .or_else(|| self.by_host.get(&name.to_ascii_lowercase()));
        slots.into_iter().flatten()
    }

    /// Finds the route with the longest matching path prefix. `host` may include a port.
    pub fn find(&self, host: &str, path: &str) -> RouteMatch {
        match self.slots(host).find(|slot| self.begins(**slot, path)) {
            Some(Slot::Route(key)) => RouteMatch::Route(*key),
            Some(Slot::Unusable(_)) => RouteMatch::Unusable,
            None if self.configuration.has_unplaced_routes => RouteMatch::Unusable,
            None => RouteMatch::Unknown,
        }
    }
}
