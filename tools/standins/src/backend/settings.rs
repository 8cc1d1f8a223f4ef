//! Settings of the backend server stand-in.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

use error_stack::Report;
use http::Method;
use rhubarblanding_core::names::ServiceName;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::error::StandinError;

/// Shape of the service time distribution.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Distribution {
    /// Always the mean.
    Fixed,
    /// Between half and one and a half times the mean.
    #[default]
    Uniform,
    /// Exponential, cut at ten times the mean.
    Exponential,
}

/// One downstream call that a backend server makes for each request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPlan {
    /// Method of the call; without one, that of the request that causes the call.
    pub method: Option<Method>,
    /// Service that is called.
    pub service: ServiceName,
    /// Path and query of the call, from the first `/`.
    pub path: String,
}

impl FromStr for CallPlan {
    type Err = Report<StandinError>;

    /// Reads `service:/path`, `METHOD service:/path` or `* service:/path`.
    fn from_str(raw: &str) -> Result<Self, Self::Err> {
        let invalid = || {
            Report::new(StandinError::Settings).attach(format!(
                "call `{raw}`: must read `[METHOD|* ]service:/path`"
            ))
        };
        let (method, rest) = raw.split_once(' ').unwrap_or(("GET", raw));
        let (service, path) = rest.split_once(':').ok_or_else(invalid)?;
        if !path.starts_with('/') {
            return Err(invalid());
        }
        Ok(Self {
            method: match method {
                "*" => None,
                method => Some(method.parse().map_err(|_| invalid())?),
            },
            service: ServiceName::try_from(service).map_err(|_| invalid())?,
            path: path.to_owned(),
        })
    }
}

impl fmt::Display for CallPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let method = self.method.as_ref().map_or("*", Method::as_str);
        write!(f, "{method} {}:{}", self.service, self.path)
    }
}

/// A backend server that is called without a node between.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectTarget {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Address of the backend server.
    pub address: SocketAddr,
}

impl FromStr for DirectTarget {
    type Err = Report<StandinError>;

    /// Reads `service=IP:PORT`.
    fn from_str(raw: &str) -> Result<Self, Self::Err> {
        let invalid = || {
            Report::new(StandinError::Settings)
                .attach(format!("direct `{raw}`: must read `service=IP:PORT`"))
        };
        let (service, address) = raw.split_once('=').ok_or_else(invalid)?;
        Ok(Self {
            service: ServiceName::try_from(service).map_err(|_| invalid())?,
            address: address.parse().map_err(|_| invalid())?,
        })
    }
}

/// What the backend server does with its downstream calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallSettings {
    /// Calls made for each request, one after the other.
    pub plan: Vec<CallPlan>,
    /// Local face of the node that carries the calls.
    pub node: Option<SocketAddr>,
    /// Backend servers that are called directly when there is no node.
    pub direct: Vec<DirectTarget>,
    /// Repeats of a failed call, sent at once.
    pub retries: u32,
    /// Share of calls that may be repeated, in percent; no bound if absent.
    pub retry_budget_percent: Option<u32>,
    /// Time after which a call is given up.
    pub timeout: Duration,
}

impl Default for CallSettings {
    fn default() -> Self {
        Self {
            plan: Vec::new(),
            node: None,
            direct: Vec::new(),
            retries: 0,
            retry_budget_percent: None,
            timeout: Duration::from_secs(10),
        }
    }
}

/// Settings of one backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendSettings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Address named in the announcement, if it is not the one listened on.
    pub announced_address: Option<SocketAddr>,
    /// Requests that run at a time; others wait inside the backend server.
    pub slots: u32,
    /// Slots named in the announcement, if they differ from the real ones.
    pub announced_slots: Option<u32>,
    /// Requests, running or waiting, above which the backend server sheds.
    pub shed_above: Option<u32>,
    /// Mean time of its own work for a request.
    pub service_time: Duration,
    /// Shape of the service time.
    pub distribution: Distribution,
    /// Time after the start in which work is slower.
    pub cold_start: Duration,
    /// Factor on the service time at the start, falling to 1 over the cold start.
    pub cold_factor: f64,
    /// Whether a passed deadline prevents the start of a request.
    pub check_deadline: bool,
    /// Seed of the service times and of the choice of direct targets.
    pub seed: u64,
    /// Downstream calls.
    pub calls: CallSettings,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            announced_address: None,
            slots: 4,
            announced_slots: None,
            shed_above: None,
            service_time: Duration::from_millis(5),
            distribution: Distribution::default(),
            cold_start: Duration::ZERO,
            cold_factor: 1.0,
            check_deadline: true,
            seed: 1,
            calls: CallSettings::default(),
        }
    }
}
