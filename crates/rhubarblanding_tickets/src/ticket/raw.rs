//! Tickets as written in JSON, before validation.

use std::collections::BTreeMap;
use std::fmt;
use std::marker::PhantomData;

use rhubarblanding_core::names::ServiceName;
use serde::de::{Deserializer, Error, MapAccess, Visitor};
use serde::{Deserialize, Serialize};

use crate::spec::{BackendSpec, KindSpec, ServiceSpec};

/// Ticket as written in a file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTicket {
    /// Number of the ticket.
    pub ticket: u64,
    /// Complete new state of each service that is set.
    #[serde(default, deserialize_with = "unique_map")]
    pub services: BTreeMap<String, RawService>,
    /// Services that are removed.
    #[serde(default)]
    pub remove_services: Vec<String>,
}

/// State of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Settings of the backend servers.
    #[serde(default)]
    pub backend: RawBackend,
    /// Kinds of request; earlier ones are matched before later ones.
    pub kinds: Vec<RawKind>,
}

/// Settings of backend servers; omitted fields take their defaults.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawBackend {
    /// Requests that one backend server is expected to run at a time.
    pub expected_slots: Option<u64>,
    /// Maximum time in milliseconds for a draining backend server to finish its requests.
    pub drain_limit_ms: Option<u64>,
    /// Time in milliseconds over which a new backend server's share of the load rises to the full
    /// share.
    pub slow_start_ms: Option<u64>,
}

/// One kind of request; omitted optional fields take their defaults.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawKind {
    /// Name within the service.
    pub name: String,
    /// Method, or `*`.
    pub method: String,
    /// Path pattern, such as `/loans/*` or `/archives/**`.
    pub path: String,
    /// `idempotent` or `non_idempotent`.
    pub idempotency: String,
    /// `background`, `normal`, `high` or `critical`.
    pub importance: Option<String>,
    /// Weight of one complete request in goodput.
    pub weight: Option<u64>,
    /// Maximum number of retries over the whole call tree of a root request.
    pub retry_allowance: Option<u64>,
    /// Default deadline in milliseconds of a request whose caller sets none.
    pub deadline_ms: Option<u64>,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: Option<u64>,
    /// Maximum size in bytes of an answer that is kept for repeats of its idempotency key.
    pub max_kept_answer_bytes: Option<u64>,
}

fn millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl From<&BackendSpec> for RawBackend {
    fn from(spec: &BackendSpec) -> Self {
        Self {
            expected_slots: Some(spec.expected_slots.into()),
            drain_limit_ms: Some(millis(spec.drain_limit)),
            slow_start_ms: Some(millis(spec.slow_start)),
        }
    }
}

impl From<&KindSpec> for RawKind {
    fn from(spec: &KindSpec) -> Self {
        Self {
            name: spec.name.to_string(),
            method: spec.method.to_string(),
            path: spec.path.to_string(),
            idempotency: spec.idempotency.to_string(),
            importance: Some(spec.importance.to_string()),
            weight: Some(spec.weight.into()),
            retry_allowance: Some(spec.limits.retry_allowance.into()),
            deadline_ms: Some(millis(spec.limits.deadline)),
            max_body_bytes: Some(spec.limits.max_body_bytes),
            max_kept_answer_bytes: Some(spec.limits.max_kept_answer_bytes),
        }
    }
}

impl From<&ServiceSpec> for RawService {
    fn from(spec: &ServiceSpec) -> Self {
        Self {
            backend: RawBackend::from(&spec.backend),
            kinds: spec.kinds().iter().map(RawKind::from).collect(),
        }
    }
}

impl From<ServiceSpec> for RawService {
    fn from(spec: ServiceSpec) -> Self {
        Self::from(&spec)
    }
}

impl From<&super::Ticket> for RawTicket {
    fn from(ticket: &super::Ticket) -> Self {
        let services = ticket.services.iter();
        Self {
            ticket: ticket.number.0,
            services: services
                .map(|(name, spec)| (name.to_string(), RawService::from(spec)))
                .collect(),
            remove_services: ticket
                .remove_services
                .iter()
                .map(ServiceName::to_string)
                .collect(),
        }
    }
}

/// Deserializes a map and rejects duplicate keys.
fn unique_map<'de, D, V>(deserializer: D) -> Result<BTreeMap<String, V>, D::Error>
where
    D: Deserializer<'de>,
    V: Deserialize<'de>,
{
    deserializer.deserialize_map(UniqueMap(PhantomData))
}

struct UniqueMap<V>(PhantomData<V>);

impl<'de, V: Deserialize<'de>> Visitor<'de> for UniqueMap<V> {
    type Value = BTreeMap<String, V>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a map")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Self::Value, A::Error> {
        let mut map = BTreeMap::new();
        while let Some((key, value)) = access.next_entry::<String, V>()? {
            if map.insert(key.clone(), value).is_some() {
                return Err(A::Error::custom(format_args!("`{key}` is named twice")));
            }
        }
        Ok(map)
    }
}
