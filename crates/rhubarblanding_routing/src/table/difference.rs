//! What a new configuration changes for callers, compared with the one in force.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use rhubarblanding_accounts::directory::{Account, KeyDigest};
use rhubarblanding_core::prelude::*;

use super::{ClientLimits, Configuration, Route};

/// One change between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Requests, service or account that the change concerns.
    pub subject: String,
    /// What changes.
    pub change: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.subject, self.change)
    }
}

/// Returns what `new` changes, by requests, services, accounts and limits.
pub fn differences(old: &Configuration, new: &Configuration) -> Vec<Difference> {
    let mut all = Vec::new();
    if new.version <= old.version {
        let (new, old) = (new.version.0, old.version.0);
        all.push(Difference {
            subject: "version".to_owned(),
            change: format!("{new:08x} is not above {old:08x}, so that no node adopts it"),
        });
    }
    compare_routes(old, new, &mut all);
    compare_services(old, new, &mut all);
    compare_accounts(old, new, &mut all);
    compare_limits(&old.limits, &new.limits, &mut all);
    all
}

type Place<'a> = (&'a str, &'a str);

/// Routes by host and prefix; of two with the same place the first is in use.
fn by_place(configuration: &Configuration) -> BTreeMap<Place<'_>, &Route> {
    let mut routes = BTreeMap::new();
    for route in &configuration.routes {
        let place = (route.host.as_str(), route.path_prefix.as_str());
        routes.entry(place).or_insert(route);
    }
    routes
}

/// Route that requests of `place` follow if there is none for just this place.
fn enclosing<'a>(routes: &BTreeMap<Place<'a>, &'a Route>, place: Place<'_>) -> Option<&'a Route> {
    let (host, prefix) = place;
    let ends = prefix.match_indices('/').map(|(i, _)| &prefix[..=i]);
    let shorter = ends.filter(|end| end.len() < prefix.len());
    let mut found = shorter.filter_map(|end| routes.get(&(host, end)));
    found.next_back().copied()
}

fn compare_routes(old: &Configuration, new: &Configuration, all: &mut Vec<Difference>) {
    let (before, after) = (by_place(old), by_place(new));
    let places: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    for place in places {
        let was = before.get(place).copied();
        let is = after.get(place).copied();
        let change = match (was, is) {
            (Some(was), Some(is)) => changed(was, is),
            (None, Some(is)) => {
                let was = enclosing(&before, *place);
                let was = was.map_or("refused with 404", |_| "part of a shorter prefix");
                Some(format!("new, to {}; until now {was}", services(is)))
            }
            (Some(_), None) => Some(match enclosing(&after, *place) {
                Some(route) => format!(
                    "dropped; now to {} by route {}",
                    services(route),
                    route.name
                ),
                None => "dropped; now refused with 404".to_owned(),
            }),
            (None, None) => None,
        };
        let (host, prefix) = place;
        all.extend(change.map(|change| Difference {
            subject: format!("requests to {host}{prefix}"),
            change,
        }));
    }
}

/// Describes the changes of a route, `None` if there are none for callers.
fn changed(was: &Route, is: &Route) -> Option<String> {
    let mut parts = Vec::new();
    let mut compare = |name: &str, was: String, is: String| {
        if was != is {
            parts.push(format!("{name} {was} -> {is}"));
        }
    };
    compare("services", services(was), services(is));
    compare("runs", runs(was).to_owned(), runs(is).to_owned());
    compare(
        "timeout",
        format!("{:?}", was.timeout),
        format!("{:?}", is.timeout),
    );
    compare(
        "objective",
        format!("{:?}", was.objective),
        format!("{:?}", is.objective),
    );
    compare("rank", was.rank.to_string(), is.rank.to_string());
    compare(
        "targets at most",
        was.max_attempts.to_string(),
        is.max_attempts.to_string(),
    );
    compare("key", needs_key(was).to_owned(), needs_key(is).to_owned());
    (!parts.is_empty()).then(|| parts.join(", "))
}

fn runs(route: &Route) -> &'static str {
    match route.idempotency {
        Idempotency::Idempotent => "more than once",
        Idempotency::NonIdempotent => "at most once",
    }
}

fn needs_key(route: &Route) -> &'static str {
    match route.anonymous {
        true => "not needed",
        false => "needed where there are accounts",
    }
}

/// Services of a route, with their shares if there are several.
fn services(route: &Route) -> String {
    let total: f64 = route.backends.iter().map(|b| f64::from(b.weight)).sum();
    let used = route.backends.iter().filter(|backend| backend.weight > 0);
    let parts = used.map(|backend| {
        let percent = f64::from(backend.weight) / total * 100.0;
        match percent >= 100.0 {
            true => backend.service.to_string(),
            false => format!("{} {percent:.1} %", backend.service),
        }
    });
    parts.collect::<Vec<_>>().join(" + ")
}

fn compare_services(old: &Configuration, new: &Configuration, all: &mut Vec<Difference>) {
    let names: BTreeSet<_> = old.services.keys().chain(new.services.keys()).collect();
    for name in names {
        let change = match (old.services.get(name), new.services.get(name)) {
            (Some(was), Some(is)) if was != is => format!(
                "connections at most {} -> {}",
                was.max_connections, is.max_connections
            ),
            (None, Some(_)) => "new".to_owned(),
            (Some(_), None) => "dropped".to_owned(),
            _ => continue,
        };
        all.push(Difference {
            subject: format!("service {name}"),
            change,
        });
    }
}

fn compare_accounts(old: &Configuration, new: &Configuration, all: &mut Vec<Difference>) {
    let (before, after) = (old.accounts.key_digests(), new.accounts.key_digests());
    let names: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    let none = BTreeSet::new();
    for key in names {
        let held = before.get(key).unwrap_or(&none);
        let holds = after.get(key).unwrap_or(&none);
        let (was, is) = (old.accounts.get(*key), new.accounts.get(*key));
        let mut parts = Vec::new();
        match (was, is) {
            (None, Some(_)) => parts.push("new".to_owned()),
            (Some(_), None) => parts.push("dropped".to_owned()),
            (Some(was), Some(is)) => parts.extend(changed_limits(was, is)),
            (None, None) => {}
        }
        parts.extend(keys("gains", holds.difference(held)));
        parts.extend(keys("loses", held.difference(holds)));
        if let Some(account) = is.or(was)
            && !parts.is_empty()
        {
            all.push(Difference {
                subject: format!("account {}", account.name),
                change: parts.join(", "),
            });
        }
    }
}

fn changed_limits(was: &Account, is: &Account) -> Vec<String> {
    let rank = |account: &Account| match account.rank {
        Some(rank) => rank.to_string(),
        None => "of the route".to_owned(),
    };
    let quota = |account: &Account| match account.quota {
        Some(quota) => format!("{}/s, burst {}", quota.rate_per_s, quota.burst),
        None => "none".to_owned(),
    };
    let mut parts = Vec::new();
    if was.rank != is.rank {
        parts.push(format!("rank {} -> {}", rank(was), rank(is)));
    }
    if was.quota != is.quota {
        parts.push(format!("quota {} -> {}", quota(was), quota(is)));
    }
    parts
}

fn keys<'a>(verb: &str, digests: impl Iterator<Item = &'a KeyDigest>) -> Option<String> {
    let digests: Vec<String> = digests.map(ToString::to_string).collect();
    (!digests.is_empty()).then(|| format!("{verb} keys {}", digests.join(" ")))
}

fn compare_limits(old: &ClientLimits, new: &ClientLimits, all: &mut Vec<Difference>) {
    let mut compare = |subject: &str, was: String, is: String| {
        if was != is {
            all.push(Difference {
                subject: format!("limit of {subject}"),
                change: format!("{was} -> {is}"),
            });
        }
    };
    let bytes = |size: usize| format!("{size} bytes");
    let time = |limit: Duration| format!("{limit:?}");
    compare("heads", bytes(old.header_bytes), bytes(new.header_bytes));
    compare("bodies", bytes(old.body_bytes), bytes(new.body_bytes));
    compare(
        "time for heads",
        time(old.header_timeout),
        time(new.header_timeout),
    );
    compare(
        "idle connections",
        time(old.idle_timeout),
        time(new.idle_timeout),
    );
}
