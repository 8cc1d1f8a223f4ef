//! Checked state of one service: its kinds of request and its backend servers.

mod backend;
mod kind;
mod pattern;

use serde::{Deserialize, Serialize};

pub use backend::BackendSpec;
pub use kind::{KindLimits, KindSpec};
pub use pattern::{InvalidPattern, MethodPattern, PathPattern};

use crate::ticket::{InvalidTicket, RawService};

/// What a ticket says about one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawService", into = "RawService")]
pub struct ServiceSpec {
    /// Settings of the backend servers.
    pub backend: BackendSpec,
    kinds: Vec<KindSpec>,
    default_read: KindSpec,
    default_write: KindSpec,
}

impl ServiceSpec {
    /// Creates the state of a service; earlier kinds are matched before later ones.
    pub fn new(backend: BackendSpec, kinds: Vec<KindSpec>) -> Self {
        Self {
            backend,
            kinds,
            default_read: KindSpec::default_read(),
            default_write: KindSpec::default_write(),
        }
    }

    /// The kinds that the ticket names, in the order in which they are matched.
    pub fn kinds(&self) -> &[KindSpec] {
        &self.kinds
    }

    /// Kind of a request with this method and path.
    ///
    /// The first kind that matches is taken. A request that matches none is of a default kind
    /// of normal importance: idempotent for `GET` and `HEAD`, non-idempotent for all else. The
    /// path may carry a query, which is not looked at. Nothing is allocated.
    pub fn classify(&self, method: &str, path: &str) -> &KindSpec {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let matching = |kind: &&KindSpec| kind.method.matches(method) && kind.path.matches(path);
        match (self.kinds.iter().find(matching), method) {
            (Some(kind), _) => kind,
            (None, "GET" | "HEAD") => &self.default_read,
            (None, _) => &self.default_write,
        }
    }
}

impl TryFrom<RawService> for ServiceSpec {
    type Error = InvalidTicket;

    fn try_from(raw: RawService) -> Result<Self, Self::Error> {
        crate::ticket::check_service(raw)
    }
}
