//! Decoded and validated forms of a configuration.

use std::fmt;
use std::time::Duration;

use rhubarblanding_accounts::directory::{AccountDirectory, RawAccounts};
use rhubarblanding_core::names::InvalidName;
use rhubarblanding_core::prelude::*;

use super::audit::{self, Advice};

/// Decoded configuration, not yet validated.
#[derive(Clone, Default)]
pub struct RawConfiguration {
    /// Version; later ones are greater.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RawRoute>,
    /// Routes that could not be decoded.
    pub undecoded: Vec<RawUndecodedRoute>,
    /// Services.
    pub services: Vec<RawService>,
    /// Client accounts.
    pub accounts: RawAccounts,
    /// Limits for clients.
    pub limits: RawLimits,
    /// Faults found while decoding.
    pub findings: Vec<ConfigurationError>,
}

/// Requests that a route which could not be decoded would match.
#[derive(Clone, Debug, Default)]
pub struct RawUndecodedRoute {
    /// Position among all routes of the configuration.
    pub position: usize,
    /// Host, if it could be decoded.
    pub host: Option<String>,
    /// Prefix of the path, if it could be decoded.
    pub path_prefix: Option<String>,
}

/// Decoded route.
#[derive(Clone, Debug, Default)]
pub struct RawRoute {
    /// Name.
    pub name: String,
    /// Host, without a port.
    pub host: String,
    /// Prefix of the path.
    pub path_prefix: String,
    /// `true` if a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a client waits for an answer, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective, in milliseconds; 0 if there is none.
    pub objective_ms: u64,
    /// Urgency; 0 is the most urgent.
    pub rank: u64,
    /// Maximum number of targets to which one request may be sent.
    pub max_attempts: u64,
    /// `true` if requests need no key, even if the configuration names accounts.
    pub anonymous: bool,
    /// Services that share the requests.
    pub backends: Vec<RawBackend>,
}

/// Decoded service of a route, with its weight.
#[derive(Clone, Debug, Default)]
pub struct RawBackend {
    /// Service.
    pub service: String,
    /// Share of the requests, in proportion to the other weights.
    pub weight: u64,
}

/// Decoded service.
#[derive(Clone, Debug, Default)]
pub struct RawService {
    /// Name.
    pub name: String,
    /// Maximum number of connections to one target, 0 if it is not limited.
    pub max_connections: u64,
}

/// Decoded limits; 0 selects the default.
#[derive(Clone, Copy, Debug, Default)]
pub struct RawLimits {
    /// Maximum size of the head of a request, in bytes.
    pub header_bytes: u64,
    /// Maximum size of the body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time to receive the head of a request, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Fault in a part of a configuration. The other parts remain valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationError {
    /// Path of the invalid field, for example `routes[2].host`.
    pub field: String,
    /// Description of the fault.
    pub reason: String,
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

impl std::error::Error for ConfigurationError {}

/// Service of a route, with its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Service.
    pub service: ServiceName,
    /// Share of the requests, in proportion to the other weights.
    pub weight: u32,
}

/// Rule that forwards matching requests to one or more services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host in lower case, without a port.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Idempotency of the requests.
    pub idempotency: Idempotency,
    /// Longest time that a client waits for an answer.
    pub timeout: Duration,
    /// Latency objective, at most `timeout`.
    pub objective: Duration,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Maximum number of targets to which one request may be sent.
    pub max_attempts: u32,
    /// `true` if requests need no key, even if the configuration names accounts.
    pub anonymous: bool,
    /// Services that share the requests, at least one of them with a weight above 0.
    pub backends: Vec<Backend>,
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Maximum number of connections to one target, 0 if it is not limited.
    pub max_connections: u32,
}

/// Limits for client connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of the head of a request, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time to receive the head of a request.
    pub header_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Requests of a route that is in the configuration but not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnusableRoute {
    /// Host in lower case, without a port.
    pub host: String,
    /// Prefix of the path.
    pub path_prefix: String,
}

/// Validated configuration.
///
/// A fault in one route takes only that route out of use: its requests are refused, and all other
/// routes are served.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version; later ones are greater.
    pub version: DocVersion,
    /// Valid routes.
    pub routes: Vec<Route>,
    /// Routes with a fault.
    pub unusable: Vec<UnusableRoute>,
    /// `true` if the host of some route is unknown, so that any request without a valid route may
    /// belong to it.
    pub has_unplaced_routes: bool,
    /// Faults in the configuration.
    pub findings: Vec<ConfigurationError>,
    /// Entries that are valid but cannot have the effect that their author expects.
    pub advice: Vec<Advice>,
    /// Services.
    pub services: HashMap<ServiceName, ServiceSpec>,
    /// Client accounts.
    pub accounts: AccountDirectory,
    /// Limits for clients.
    pub limits: ClientLimits,
}

fn error(field: impl Into<String>, reason: impl fmt::Display) -> ConfigurationError {
    ConfigurationError {
        field: field.into(),
        reason: reason.to_string(),
    }
}

fn service_name(field: &str, raw: String) -> Result<ServiceName, ConfigurationError> {
    ServiceName::try_from(raw).map_err(|e: InvalidName| error(field, e))
}

impl From<RawConfiguration> for Configuration {
    fn from(raw: RawConfiguration) -> Self {
        let mut checked = Self {
            version: DocVersion(raw.version),
            routes: Vec::with_capacity(raw.routes.len()),
            limits: raw.limits.into(),
            findings: raw.findings,
            ..Self::default()
        };
        for (i, service) in raw.services.into_iter().enumerate() {
            checked.add_service(&format!("services[{i}].name"), service);
        }
        let is_undecoded = |i: &usize| raw.undecoded.iter().any(|route| route.position == *i);
        let positions = (0..).filter(|i| !is_undecoded(i));
        for (i, route) in positions.zip(raw.routes) {
            checked.add_route(&format!("routes[{i}]"), route);
        }
        for route in raw.undecoded {
            checked.add_unusable(route.host, route.path_prefix);
        }
        let (accounts, findings) = AccountDirectory::from_raw(raw.accounts);
        let findings = findings.into_iter();
        checked
            .findings
            .extend(findings.map(|e| error(format!("accounts{}", e.field), e.reason)));
        checked.accounts = accounts;
        let advice = audit::audit(&checked);
        checked.advice.extend(advice);
        checked
    }
}

impl Configuration {
    fn add_service(&mut self, field: &str, raw: RawService) {
        match service_name(field, raw.name) {
            Ok(name) => {
                let max_connections = u32::try_from(raw.max_connections).unwrap_or(u32::MAX);
                self.services.insert(name, ServiceSpec { max_connections });
            }
            Err(e) => self.findings.push(e),
        }
    }

    fn add_route(&mut self, field: &str, raw: RawRoute) {
        let (host, path_prefix) = (raw.host.clone(), raw.path_prefix.clone());
        self.advice.extend(audit::audit_limits(field, &raw));
        match validate_route(field, raw) {
            Ok(route) => self.routes.push(route),
            Err(e) => {
                self.findings.push(e);
                self.add_unusable(Some(host), Some(path_prefix));
            }
        }
    }

    /// Adds a route with a fault. Without a prefix it may match any path of its host.
    fn add_unusable(&mut self, host: Option<String>, path_prefix: Option<String>) {
        match host.filter(|host| !host.is_empty()) {
            Some(host) => self.unusable.push(UnusableRoute {
                host: host.to_ascii_lowercase(),
                path_prefix: path_prefix.unwrap_or_default(),
            }),
            None => self.has_unplaced_routes = true,
        }
    }
}

fn validate_route(field: &str, raw: RawRoute) -> Result<Route, ConfigurationError> {
    if raw.host.is_empty() {
        return Err(error(format!("{field}.host"), "must not be empty"));
    }
    let prefix = &raw.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        let reason = "must begin and end with a slash";
        return Err(error(format!("{field}.path_prefix"), reason));
    }
    if raw.timeout_ms == 0 {
        return Err(error(format!("{field}.timeout"), "must be above 0"));
    }
    let mut backends = Vec::with_capacity(raw.backends.len());
    for (i, backend) in raw.backends.into_iter().enumerate() {
        let field = format!("{field}.backends[{i}]");
        backends.push(Backend {
            service: service_name(&format!("{field}.service"), backend.service)?,
            weight: u32::try_from(backend.weight)
                .map_err(|e| error(format!("{field}.weight"), e))?,
        });
    }
    if backends.iter().all(|backend| backend.weight == 0) {
        let reason = "must name a service with a weight above 0";
        return Err(error(format!("{field}.backends"), reason));
    }
    let timeout = Duration::from_millis(raw.timeout_ms);
    let objective = match raw.objective_ms {
        0 => timeout,
        millis => Duration::from_millis(millis).min(timeout),
    };
    Ok(Route {
        name: raw.name,
        host: raw.host.to_ascii_lowercase(),
        path_prefix: raw.path_prefix,
        idempotency: match raw.idempotent {
            true => Idempotency::Idempotent,
            false => Idempotency::NonIdempotent,
        },
        timeout,
        objective,
        rank: u8::try_from(raw.rank).unwrap_or(u8::MAX),
        max_attempts: u32::try_from(raw.max_attempts).unwrap_or(u32::MAX).max(1),
        anonymous: raw.anonymous,
        backends,
    })
}

impl From<RawLimits> for ClientLimits {
    fn from(raw: RawLimits) -> Self {
        let default = Self::default();
        let bytes = |value: u64, default: usize| match value {
            0 => default,
            value => usize::try_from(value).unwrap_or(usize::MAX),
        };
        let time = |millis: u64, default: Duration| match millis {
            0 => default,
            millis => Duration::from_millis(millis),
        };
        Self {
            header_bytes: bytes(raw.header_bytes, default.header_bytes),
            body_bytes: bytes(raw.body_bytes, default.body_bytes),
            header_timeout: time(raw.header_timeout_ms, default.header_timeout),
            idle_timeout: time(raw.idle_timeout_ms, default.idle_timeout),
        }
    }
}
