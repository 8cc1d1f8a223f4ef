//! What lives for one version of the operators' configuration.

use std::sync::Arc;

use rand::Rng;
use rhubarblanding_core::prelude::*;
use rhubarblanding_node::process::parking::{Mutex, lock};
use rhubarblanding_routing::table::{Backend, Configuration, Route, RouteKey, RouteTable, Split};

/// One version of the configuration in force.
#[derive(Debug)]
pub struct Version {
    table: RouteTable,
    splits: Vec<Mutex<Split>>,
}

impl Version {
    /// Puts a configuration into the form that requests use.
    pub fn new(configuration: Configuration, rng: &mut impl Rng) -> Self {
        let table = RouteTable::new(configuration);
        let routes = &table.configuration().routes;
        let splits = routes
            .iter()
            .map(|route| Mutex::new(Split::new(route, rng.random_range(0..1_000))))
            .collect();
        Self { table, splits }
    }

    /// Number of the version.
    pub fn number(&self) -> DocVersion {
        self.table.configuration().version
    }

    /// The configuration.
    pub fn configuration(&self) -> &Configuration {
        self.table.configuration()
    }
}

/// A route of the version under which a request was taken.
#[derive(Clone, Debug)]
pub struct ChosenRoute {
    version: Arc<Version>,
    key: RouteKey,
}

impl ChosenRoute {
    /// Finds the route of a request.
    pub fn find(version: &Arc<Version>, host: &str, path: &str) -> Option<Self> {
        let key = version.table.find(host, path)?;
        Some(Self {
            version: Arc::clone(version),
            key,
        })
    }

    /// The route.
    pub fn route(&self) -> &Route {
        &self.version.table.configuration().routes[self.key.index()]
    }

    /// Number of the version.
    pub fn version(&self) -> DocVersion {
        self.version.number()
    }

    /// Chooses the service that serves the next request of the route.
    pub fn next_backend(&self) -> &Backend {
        let index = lock(&self.version.splits[self.key.index()]).next_index();
        &self.route().backends[index]
    }
}
