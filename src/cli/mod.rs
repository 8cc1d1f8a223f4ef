//! The command line: a thin client of the nodes' operator listeners, and checks that need no node.
//!
//! Exit codes are listed at [`Exit`].

mod check;
mod check_configuration;
mod client;
mod command;
mod control;
mod exit;
mod explain;
mod output;
mod route;
mod status;
mod submit;
mod ticket;

use std::ffi::OsString;
use std::process::ExitCode;

use clap::{ArgMatches, Command};

pub use exit::Exit;

/// Function that runs a daemon's subcommand with its arguments.
pub type RunDaemon = fn(&ArgMatches) -> ExitCode;

/// A subcommand that runs a daemon.
#[derive(Clone, Debug)]
struct Daemon {
    command: Command,
    run: RunDaemon,
}

/// The command line with its subcommands.
#[derive(Clone, Debug, Default)]
pub struct Cli {
    daemons: Vec<Daemon>,
}

impl Cli {
    /// Creates the command line without daemons.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a subcommand that runs a daemon.
    pub fn with_daemon(mut self, command: Command, run: RunDaemon) -> Self {
        self.daemons.push(Daemon { command, run });
        self
    }

    /// Returns the complete definition for clap.
    pub fn command(&self) -> Command {
        let daemons = self.daemons.iter().map(|daemon| daemon.command.clone());
        command::root().subcommands(daemons)
    }

    /// Parses `args`, program name first, and runs the subcommand. Invalid arguments and a missing
    /// subcommand give [`Exit::BadInput`].
    pub fn run(&self, args: impl IntoIterator<Item = OsString>) -> ExitCode {
        let matches = match self.command().try_get_matches_from(args) {
            Ok(matches) => matches,
            Err(e) => return command::print_clap_error(&e),
        };
        let Some((name, matches)) = matches.subcommand() else {
            return Exit::BadInput.into();
        };
        for daemon in &self.daemons {
            if daemon.command.get_name() == name {
                return (daemon.run)(matches);
            }
        }
        self.run_client(name, matches).into()
    }

    fn run_client(&self, name: &str, matches: &ArgMatches) -> Exit {
        match name {
            "check" => check::run(matches),
            "explain" => explain::run(matches),
            "route" => route::run(matches),
            "completions" => command::completions(self.command(), matches),
            "ticket" => match matches.subcommand() {
                Some(("submit", matches)) => client::block_on(submit::run(matches)),
                Some(("show", matches)) => client::block_on(ticket::show(matches)),
                Some(("status", matches)) => client::block_on(ticket::status(matches)),
                _ => Exit::BadInput,
            },
            "status" => client::block_on(status::run(matches)),
            "drain" => client::block_on(control::drain(matches)),
            "log-level" => client::block_on(control::log_level(matches)),
            _ => Exit::BadInput,
        }
    }
}
