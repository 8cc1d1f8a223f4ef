//! The `rhubarblanding` command.

use std::process::ExitCode;

use clap::Command;

mod node_command;

fn main() -> ExitCode {
    let matches = Command::new("rhubarblanding")
        .subcommand_required(true)
        .subcommand(node_command::command())
        .get_matches();
    match matches.subcommand() {
        Some(("node", matches)) => node_command::run(matches),
        _ => ExitCode::FAILURE,
    }
}
