//! Settings of the caller load.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use http::Method;
use rhubarblanding_core::importance::Idempotency;
use rhubarblanding_core::names::ServiceName;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::error::StandinError;

/// What a client does after a failed attempt.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RetryMode {
    /// Sends the request again at once.
    #[default]
    AtOnce,
    /// Waits for the time that the answer gives, and does not repeat when told never to.
    AfterAdvice,
}

/// How the requests reach the service.
#[derive(Clone, Debug)]
pub enum Route {
    /// Through the caller faces of nodes.
    Nodes(Vec<SocketAddr>),
    /// Straight to backend servers of the service.
    Direct(Vec<SocketAddr>),
}

impl Route {
    /// Addresses to which requests are sent in turn.
    pub fn addresses(&self) -> &[SocketAddr] {
        match self {
            Self::Nodes(addresses) | Self::Direct(addresses) => addresses,
        }
    }
}

/// One kind of request.
#[derive(Clone, Debug)]
pub struct LoadKind {
    /// Name in the report.
    pub name: String,
    /// Service that is asked.
    pub service: ServiceName,
    /// Method of the request.
    pub method: Method,
    /// Path and query, from the first `/`.
    pub path: String,
    /// Share of the arrivals, relative to the other kinds.
    pub share: f64,
    /// Worth of one completed request in goodput.
    pub weight: f64,
    /// Whether requests carry an idempotency key.
    pub idempotency: Idempotency,
    /// Time after which the caller has no more use for the answer, over all attempts.
    pub deadline: Option<Duration>,
}

impl FromStr for LoadKind {
    type Err = Report<StandinError>;

    /// Reads `name=METHOD,service,/path,share,weight[,deadline_ms]`.
    ///
    /// Kinds with a method other than `GET` are non-idempotent.
    fn from_str(raw: &str) -> Result<Self, Self::Err> {
        let expected = "must read `name=METHOD,service,/path,share,weight[,deadline_ms]`";
        let invalid =
            || Report::new(StandinError::Settings).attach(format!("kind `{raw}`: {expected}"));
        let (name, rest) = raw.split_once('=').ok_or_else(invalid)?;
        let fields: Vec<&str> = rest.split(',').collect();
        let [method, service, path, share, weight, deadline @ ..] = fields.as_slice() else {
            return Err(invalid());
        };
        let method: Method = method.parse().map_err(|_| invalid())?;
        let idempotency = if method == Method::GET {
            Idempotency::Idempotent
        } else {
            Idempotency::NonIdempotent
        };
        let deadline = match deadline {
            [] => None,
            [ms] => Some(
                ms.parse()
                    .map(Duration::from_millis)
                    .map_err(|_| invalid())?,
            ),
            _ => return Err(invalid()),
        };
        Ok(Self {
            name: name.to_owned(),
            service: ServiceName::try_from(*service)
                .change_context(StandinError::Settings)
                .attach_with(|| format!("kind `{raw}`"))?,
            method,
            path: (*path).to_owned(),
            share: share.parse().map_err(|_| invalid())?,
            weight: weight.parse().map_err(|_| invalid())?,
            idempotency,
            deadline,
        })
    }
}

/// A stretch of time with one arrival rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Phase {
    /// Mean number of arrivals in a second.
    pub rate: f64,
    /// Length of the phase.
    pub duration: Duration,
}

/// Settings of one load.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Seed of arrivals and kinds.
    pub seed: u64,
    /// Beginning of each request identifier; tells the loads of one test apart.
    pub name: String,
    /// Way to the service.
    pub route: Route,
    /// Kinds of requests.
    pub kinds: Vec<LoadKind>,
    /// Arrival rates, one phase after the other.
    pub phases: Vec<Phase>,
    /// Greatest number of attempts for a request, the first included.
    pub tries: u32,
    /// What a client does after a failed attempt.
    pub retry: RetryMode,
    /// Time after which an attempt is given up.
    pub timeout: Duration,
    /// Length of one interval of the goodput series.
    pub interval: Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            name: "load".to_owned(),
            route: Route::Nodes(Vec::new()),
            kinds: Vec::new(),
            phases: Vec::new(),
            tries: 1,
            retry: RetryMode::default(),
            timeout: Duration::from_secs(10),
            interval: Duration::from_millis(100),
        }
    }
}
