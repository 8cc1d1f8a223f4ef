//! The `rhubarblanding` command.

use std::process::ExitCode;

use rhubarblanding::cli::Cli;

mod daemon;
mod mesh_command;
mod node_command;

fn main() -> ExitCode {
    Cli::new()
        .with_daemon(node_command::command(), node_command::run)
        .with_daemon(mesh_command::command(), mesh_command::run)
        .run(std::env::args_os())
}
