//! Validated state of one service: its kinds of request and its backend servers.

mod backend;
mod kind;
mod pattern;

use serde::{Deserialize, Serialize};

pub use backend::BackendSpec;
pub use kind::{KindLimits, KindSpec};
pub use pattern::{InvalidPattern, MethodPattern, PathPattern};

use crate::ticket::{InvalidTicket, RawService};

/// State of one service, as set by a ticket.
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

    /// Returns the kinds that the ticket lists, in the order in which they are matched.
    pub fn kinds(&self) -> &[KindSpec] {
        &self.kinds
    }

    /// Returns the kind of a request with this method and path.
    ///
    /// The first kind that matches is used. A request that matches none is of a default kind of
    /// normal importance: idempotent for `GET` and `HEAD`, non-idempotent for all other methods.
    /// A query in the path is ignored. Nothing is allocated.
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
