//! Routing state of one version of the operators' configuration.

use std::sync::Arc;

use rand::Rng;
use rhubarblanding_core::prelude::*;
use rhubarblanding_node::process::parking::{Mutex, lock};
use rhubarblanding_routing::table::{
    Backend, Configuration, Route, RouteKey, RouteMatch, RouteTable, Split,
};

/// Active version of the configuration, with its route table and traffic splits.
#[derive(Debug)]
pub struct Version {
    table: RouteTable,
    splits: Vec<Mutex<Split>>,
}

impl Version {
    /// Builds the route table and the traffic splits of a configuration.
    pub fn new(configuration: Configuration, rng: &mut impl Rng) -> Self {
        let table = RouteTable::new(configuration);
        let routes = &table.configuration().routes;
        let splits = routes
            .iter()
            .map(|route| Mutex::new(Split::new(route, rng.random_range(0..1_000))))
            .collect();
        Self { table, splits }
    }

    /// Returns the number of the version.
    pub fn number(&self) -> DocVersion {
        self.table.configuration().version
    }

    /// Returns the configuration.
    pub fn configuration(&self) -> &Configuration {
        self.table.configuration()
    }
}

/// Route of a request, in the version that was active when the request arrived.
#[derive(Clone, Debug)]
pub struct ChosenRoute {
    version: Arc<Version>,
    key: RouteKey,
}

impl ChosenRoute {
    /// Finds the route of a request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownRoute`] or [`ErrorKind::UnusableRoute`].
    pub fn find(version: &Arc<Version>, host: &str, path: &str) -> Result<Self, ErrorKind> {
        match version.table.find(host, path) {
            RouteMatch::Route(key) => Ok(Self {
                version: Arc::clone(version),
                key,
            }),
            RouteMatch::Unusable => Err(ErrorKind::UnusableRoute),
            RouteMatch::Unknown => Err(ErrorKind::UnknownRoute),
        }
    }

    /// Returns the route.
    pub fn route(&self) -> &Route {
        &self.version.table.configuration().routes[self.key.index()]
    }

    /// Returns the number of the version.
    pub fn version(&self) -> DocVersion {
        self.version.number()
    }

    /// Chooses the service for the next request of the route.
    pub fn next_backend(&self) -> &Backend {
        let index = lock(&self.version.splits[self.key.index()]).next_index();
        &self.route().backends[index]
    }
}
