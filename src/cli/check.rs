//! `check`: validates ticket files and settings without a node.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use rhubarblanding_node::prelude::{RawSettings, Settings};
use rhubarblanding_tickets::prelude::*;
use serde::Serialize;
use uuid::Uuid;

use super::exit::Exit;
use super::{check_configuration, command, output, submit};

/// Result of checking one file or the settings.
#[derive(Debug, Serialize)]
struct CheckReport {
    /// File name, or `settings in the environment`.
    checked: String,
    /// Number of the ticket, if it is valid.
    ticket: Option<u64>,
    /// One line for each fault.
    faults: Vec<String>,
}

/// Checks every given file, and the settings if requested, or a configuration.
pub fn run(matches: &ArgMatches) -> Exit {
    let files = matches.get_many::<PathBuf>("file").into_iter().flatten();
    let mut reports: Vec<_> = files.map(|path| check_ticket(path)).collect();
    if matches.get_flag("settings") {
        reports.push(check_settings());
    }
    let as_json = command::wants_json(matches);
    if let Some(path) = command::configuration_path(matches) {
        return check_configuration::run(path, command::in_force_path(matches), as_json);
    }
    match as_json {
        true => output::json(&reports),
        false => reports.iter().for_each(print),
    }
    match reports.iter().all(|report| report.faults.is_empty()) {
        true => Exit::Ok,
        false => Exit::BadInput,
    }
}

fn check_ticket(path: &Path) -> CheckReport {
    let checked = path.display().to_string();
    let ticket = submit::read_ticket(path).and_then(|ticket| {
        // A ticket that is refused for an empty document is refused for every document.
        let submission = SubmissionId(Uuid::nil());
        let refused = |reason: TicketRefusal| vec![format!("{checked}: {reason}")];
        apply(&Document::default(), &ticket, submission).map_err(refused)?;
        Ok(ticket)
    });
    match ticket {
        Ok(ticket) => CheckReport {
            checked,
            ticket: Some(ticket.number.0),
            faults: Vec::new(),
        },
        Err(faults) => CheckReport {
            checked,
            ticket: None,
            faults,
        },
    }
}

fn check_settings() -> CheckReport {
    let command = rhubarblanding_node::settings::command();
    let checked = "settings in the environment".to_owned();
    let faults = match command.try_get_matches_from(["node"]) {
        Ok(matches) => match Settings::try_from(RawSettings::from(&matches)) {
            Ok(_) => Vec::new(),
            Err(errors) => errors.to_string().lines().map(str::to_owned).collect(),
        },
        Err(e) => vec![e.to_string()],
    };
    CheckReport {
        checked,
        ticket: None,
        faults,
    }
}

fn print(report: &CheckReport) {
    report.faults.iter().for_each(output::error_line);
    match (report.faults.is_empty(), report.ticket) {
        (false, _) => {}
        (true, Some(number)) => {
            output::line(format!("{}: ticket {number} is valid", report.checked))
        }
        (true, None) => output::line(format!("{}: valid", report.checked)),
    }
}
