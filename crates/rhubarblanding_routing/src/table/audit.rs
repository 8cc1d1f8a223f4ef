//! Parts of a configuration that are valid, but cannot have the effect that their author expects.

use std::collections::BTreeSet;
use std::fmt;

use rhubarblanding_core::prelude::*;
use strum::{Display, IntoStaticStr};

use super::{Configuration, RawRoute, Route};

/// Characters that a path cannot contain when it is matched.
const NOT_IN_PATHS: &[char] = &['?', '#', ' '];

/// Kind of an [`Advice`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AdviceKind {
    /// No request can ever use the entry.
    NeverUsed,
    /// Two limits exclude each other, so that one of them has no effect.
    Contradiction,
}

/// An entry without the effect that its author expects. Nodes use the configuration all the same.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Advice {
    /// Kind.
    pub kind: AdviceKind,
    /// Path of the field, for example `routes[2].host`.
    pub field: String,
    /// Description.
    pub reason: String,
}

impl fmt::Display for Advice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.field, self.kind, self.reason)
    }
}

impl Advice {
    fn never_used(field: String, reason: impl fmt::Display) -> Self {
        Self {
            kind: AdviceKind::NeverUsed,
            field,
            reason: reason.to_string(),
        }
    }

    fn contradiction(field: String, reason: impl fmt::Display) -> Self {
        Self {
            kind: AdviceKind::Contradiction,
            field,
            reason: reason.to_string(),
        }
    }
}

/// Returns the limits of a decoded route that exclude each other; validation changes them, so they
/// cannot be found afterwards.
pub(super) fn audit_limits(field: &str, raw: &RawRoute) -> Option<Advice> {
    (raw.objective_ms > raw.timeout_ms).then(|| {
        let reason = format!(
            "route {}: the objective of {} ms lies beyond the timeout of {} ms, which is used instead",
            raw.name, raw.objective_ms, raw.timeout_ms
        );
        Advice::contradiction(format!("{field}.objective"), reason)
    })
}

/// Returns the entries of a validated configuration that cannot have the expected effect.
pub(super) fn audit(configuration: &Configuration) -> Vec<Advice> {
    let mut advice = Vec::new();
    audit_routes(configuration, &mut advice);
    audit_services(configuration, &mut advice);
    audit_accounts(configuration, &mut advice);
    advice
}

fn audit_routes(configuration: &Configuration, advice: &mut Vec<Advice>) {
    let mut first_with: HashMap<(&str, &str), &Route> = HashMap::default();
    for route in &configuration.routes {
        let field = |name: &str| format!("routes.{}.{name}", route.name);
        if route.host.contains([':', '/', ' ']) {
            let reason = format!("no request names a host {:?}", route.host);
            advice.push(Advice::never_used(field("host"), reason));
        }
        if route.path_prefix.contains(NOT_IN_PATHS) {
            let reason = format!("no path contains {:?}", route.path_prefix);
            advice.push(Advice::never_used(field("path_prefix"), reason));
        }
        let place = (route.host.as_str(), route.path_prefix.as_str());
        match first_with.get(&place) {
            Some(first) => {
                let reason = format!("route {} has the same host and prefix", first.name);
                advice.push(Advice::never_used(field("path_prefix"), reason));
            }
            None => {
                first_with.insert(place, route);
            }
        }
        audit_backends(configuration, route, advice);
    }
}

fn audit_backends(configuration: &Configuration, route: &Route, advice: &mut Vec<Advice>) {
    for backend in &route.backends {
        let field = format!("routes.{}.backends.{}", route.name, backend.service);
        if backend.weight == 0 {
            advice.push(Advice::never_used(field, "the weight is 0"));
        } else if !configuration.services.contains_key(&backend.service) {
            let reason = "no such service; requests wait for a target that announces it";
            advice.push(Advice::contradiction(field, reason));
        }
    }
}

fn audit_services(configuration: &Configuration, advice: &mut Vec<Advice>) {
    let backends = configuration.routes.iter().flat_map(|r| &r.backends);
    let used = backends.filter(|backend| backend.weight > 0);
    let used: HashSet<&ServiceName> = used.map(|backend| &backend.service).collect();
    let mut unused: Vec<&ServiceName> = configuration.services.keys().collect();
    unused.retain(|name| !used.contains(name));
    unused.sort();
    for name in unused {
        let reason = "no route leads to the service";
        advice.push(Advice::never_used(format!("services.{name}"), reason));
    }
}

fn audit_accounts(configuration: &Configuration, advice: &mut Vec<Advice>) {
    let accounts = configuration.accounts.accounts();
    let routes = &configuration.routes;
    if !accounts.is_empty() && !routes.is_empty() && routes.iter().all(|route| route.anonymous) {
        let reason = "no route asks for a key";
        advice.push(Advice::never_used("accounts".to_owned(), reason));
    }
    let digests = configuration.accounts.key_digests();
    for account in accounts {
        if digests.get(&account.key).is_none_or(BTreeSet::is_empty) {
            let field = format!("accounts.{}.keys", account.name);
            advice.push(Advice::never_used(field, "the account holds no key"));
        }
        let Some(quota) = account.quota else { continue };
        if quota.burst < 1.0 && quota.rate_per_s < 1.0 {
            let reason = format!(
                "a rate of {} requests per second and a burst of {} never add up to one request at once",
                quota.rate_per_s, quota.burst
            );
            let field = format!("accounts.{}.burst", account.name);
            advice.push(Advice::contradiction(field, reason));
        }
    }
}
