//! `route`: finds the route that a request follows in a configuration, and tells why.

use std::path::Path;

use clap::ArgMatches;
use rhubarblanding_core::prelude::Idempotency;
use rhubarblanding_mesh::protocol::Protocol;
use rhubarblanding_platform::Platform;
use rhubarblanding_routing::table::{Configuration, Route, RouteMatch, RouteTable};
use serde::Serialize;

use super::exit::Exit;
use super::{command, output};

/// Answer to a query.
#[derive(Debug, Serialize)]
struct RouteReport {
    version: u64,
    /// Answer that a node gives: `forwarded`, or the status of its refusal.
    outcome: &'static str,
    route: Option<RouteDetails>,
    /// Routes of the host that match too, with a shorter prefix.
    shadowed: Vec<String>,
    /// Faults in the configuration.
    findings: Vec<String>,
}

#[derive(Debug, Serialize)]
struct RouteDetails {
    name: String,
    host: String,
    path_prefix: String,
    idempotent: bool,
    rank: u8,
    timeout_ms: u128,
    objective_ms: u128,
    max_attempts: u32,
    /// Services with their share of the requests, in percent.
    services: Vec<(String, f64)>,
}

/// Prints the route of the given host and path.
pub fn run(matches: &ArgMatches) -> Exit {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let configuration = match command::configuration_path(matches).map(read) {
        Some(Ok(configuration)) => configuration,
        Some(Err(reason)) => {
            output::error_line(reason);
            return Exit::BadInput;
        }
        None => return Exit::BadInput,
    };
    let report = query(configuration, &text("host"), &text("path"));
    match command::wants_json(matches) {
        true => output::json(&report),
        false => print(&report),
    }
    match report.route {
        Some(_) => Exit::Ok,
        None => Exit::Refused,
    }
}

/// Reads a configuration of the users' platform.
///
/// # Errors
///
/// Fails with the file, the invalid field and the reason.
pub fn read(path: &Path) -> Result<Configuration, String> {
    let name = path.display();
    let raw = std::fs::read(path).map_err(|e| format!("{name}: {e}"))?;
    let decoded = Platform::default().configuration(&raw);
    decoded.map_err(|e| format!("{name}: {e}"))
}

fn query(configuration: Configuration, host: &str, path: &str) -> RouteReport {
    let table = RouteTable::new(configuration);
    let found = table.find(host, path);
    let route = found.key().and_then(|key| table.route(key));
    let shadowed = table.matching(host, path);
    let shadowed = shadowed.filter(|other| route.is_some_and(|route| *other != route));
    let shadowed = shadowed.map(|route| format!("{} {}", route.name, route.path_prefix));
    let configuration = table.configuration();
    RouteReport {
        version: configuration.version.0,
        outcome: match found {
            RouteMatch::Route(_) => "forwarded",
            RouteMatch::Unusable => "503 unusable_route",
            RouteMatch::Unknown => "404 unknown_route",
        },
        route: route.map(details),
        shadowed: shadowed.collect(),
        findings: configuration
            .findings
            .iter()
            .map(ToString::to_string)
            .collect(),
    }
}

fn details(route: &Route) -> RouteDetails {
    let total: f64 = route.backends.iter().map(|b| f64::from(b.weight)).sum();
    let share = |weight: u32| (f64::from(weight) / total * 1_000.0).round() / 10.0;
    let services = route.backends.iter();
    RouteDetails {
        name: route.name.clone(),
        host: route.host.clone(),
        path_prefix: route.path_prefix.clone(),
        idempotent: route.idempotency == Idempotency::Idempotent,
        rank: route.rank,
        timeout_ms: route.timeout.as_millis(),
        objective_ms: route.objective.as_millis(),
        max_attempts: route.max_attempts,
        services: services
            .map(|backend| (backend.service.to_string(), share(backend.weight)))
            .collect(),
    }
}

fn print(report: &RouteReport) {
    output::line(format!(
        "version {:08x}: {}",
        report.version, report.outcome
    ));
    if let Some(route) = &report.route {
        output::line(format!(
            "route {}: longest prefix {} of host {}",
            route.name, route.path_prefix, route.host
        ));
        for (service, share) in &route.services {
            output::line(format!("  to {service}: {share} %"));
        }
        output::line(format!(
            "  {}, rank {}, objective {} ms, timeout {} ms, at most {} targets",
            match route.idempotent {
                true => "may run more than once",
                false => "runs at most once",
            },
            route.rank,
            route.objective_ms,
            route.timeout_ms,
            route.max_attempts
        ));
    }
    for other in &report.shadowed {
        output::line(format!("also matches, with a shorter prefix: {other}"));
    }
    for finding in &report.findings {
        output::line(format!("fault: {finding}"));
    }
}
