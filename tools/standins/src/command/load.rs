//! Subcommand `load`.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use error_stack::{Report, ResultExt};

use super::numbers::number;
use super::{all, millis, one};
use crate::error::StandinError;
use crate::load::{Load, LoadKind, LoadSettings, Phase, RetryMode, Route};

/// Flags of the subcommand.
pub fn command() -> Command {
    Command::new("load")
        .about("Caller load; prints a JSON report")
        .arg(
            Arg::new("entry")
                .long("entry")
                .action(ArgAction::Append)
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Caller face of a node, or a backend server with --direct"),
        )
        .arg(Arg::new("direct").long("direct").action(ArgAction::SetTrue))
        .arg(
            Arg::new("kind")
                .long("kind")
                .action(ArgAction::Append)
                .required(true)
                .value_parser(value_parser!(LoadKind))
                .help("name=METHOD,service,/path,share,weight[,deadline_ms]"),
        )
        .arg(number("seed", "1"))
        .arg(number("rate", "100").help("Arrivals in a second"))
        .arg(number("duration-ms", "5000"))
        .arg(number("tries", "1"))
        .arg(number("timeout-ms", "10000"))
        .arg(
            Arg::new("retry")
                .long("retry")
                .value_parser(value_parser!(RetryMode))
                .default_value("at_once"),
        )
        .arg(Arg::new("name").long("name").default_value("load"))
}

/// Sends the load and prints the report.
///
/// # Errors
///
/// Passes on what [`Load::run`] reports.
pub async fn run(matches: &ArgMatches) -> Result<(), Report<StandinError>> {
    let report = Load::run(settings(matches)).await?;
    let text = serde_json::to_string_pretty(&report).change_context(StandinError::Answer)?;
    println!("{text}");
    Ok(())
}

fn settings(matches: &ArgMatches) -> LoadSettings {
    let default = LoadSettings::default();
    let entries = all(matches, "entry");
    LoadSettings {
        seed: one(matches, "seed").unwrap_or(default.seed),
        name: one(matches, "name").unwrap_or(default.name),
        route: if matches.get_flag("direct") {
            Route::Direct(entries)
        } else {
            Route::Nodes(entries)
        },
        kinds: all(matches, "kind"),
        phases: vec![Phase {
            rate: one::<u64>(matches, "rate").unwrap_or_default() as f64,
            duration: millis(matches, "duration-ms").unwrap_or(Duration::from_secs(1)),
        }],
        tries: one::<u64>(matches, "tries").unwrap_or(1) as u32,
        retry: one(matches, "retry").unwrap_or_default(),
        timeout: millis(matches, "timeout-ms").unwrap_or(default.timeout),
        interval: default.interval,
    }
}
