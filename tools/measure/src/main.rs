//! Measurements of goodput, recovery, latency and control cost.

mod slopes;

use std::process::ExitCode;

use clap::Command;

fn main() -> ExitCode {
    let command = Command::new("rhubarblanding_measure")
        .about("Measures goodput, recovery, latency and control cost")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(slopes::command());
    let result = match command.get_matches().subcommand() {
        Some((slopes::NAME, matches)) => slopes::run(matches),
        _ => Ok(()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
