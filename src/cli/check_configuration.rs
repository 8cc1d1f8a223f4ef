//! `check --configuration`: what a node would make of a configuration, and what it changes.

use std::path::Path;

use rhubarblanding_routing::table::{Configuration, differences};
use serde::Serialize;

use super::exit::Exit;
use super::{output, route};

/// Result of checking one configuration.
#[derive(Debug, Serialize)]
struct ConfigurationReport {
    /// File name.
    checked: String,
    version: u64,
    /// Entries that a node takes out of use.
    faults: Vec<String>,
    /// Entries that a node uses, but without the expected effect.
    advice: Vec<String>,
    /// What the configuration changes, if it was compared with another one.
    changes: Option<Vec<String>>,
}

/// Checks the configuration in `path` and compares it with the one in `in_force`. Faults and advice
/// are those that a node logs when it adopts the configuration.
pub fn run(path: &Path, in_force: Option<&Path>, as_json: bool) -> Exit {
    let read = route::read(path).and_then(|new| {
        let old = in_force.map(route::read).transpose()?;
        Ok(report(path, &new, old.as_ref()))
    });
    let report = match read {
        Ok(report) => report,
        Err(reason) => {
            output::error_line(reason);
            return Exit::BadInput;
        }
    };
    match as_json {
        true => output::json(&report),
        false => print(&report),
    }
    match report.faults.is_empty() && report.advice.is_empty() {
        true => Exit::Ok,
        false => Exit::Refused,
    }
}

fn report(path: &Path, new: &Configuration, old: Option<&Configuration>) -> ConfigurationReport {
    ConfigurationReport {
        checked: path.display().to_string(),
        version: new.version.0,
        faults: texts(&new.findings),
        advice: texts(&new.advice),
        changes: old.map(|old| texts(&differences(old, new))),
    }
}

fn texts<T: ToString>(items: &[T]) -> Vec<String> {
    items.iter().map(ToString::to_string).collect()
}

fn print(report: &ConfigurationReport) {
    let ConfigurationReport { checked, .. } = report;
    for fault in &report.faults {
        output::error_line(format!("{checked}: fault: {fault}"));
    }
    for advice in &report.advice {
        output::error_line(format!("{checked}: {advice}"));
    }
    for change in report.changes.iter().flatten() {
        output::line(format!("change: {change}"));
    }
    if report.changes.as_ref().is_some_and(Vec::is_empty) {
        output::line("no change for callers");
    }
    if report.faults.is_empty() && report.advice.is_empty() {
        output::line(format!(
            "{checked}: version {:08x} is clean",
            report.version
        ));
    }
}
