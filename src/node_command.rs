//! The `node` subcommand: runs a node until it is told to stop.

use std::process::ExitCode;

use clap::ArgMatches;
use rhubarblanding_node::prelude::*;
use rhubarblanding_node::process::logs;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code for settings that do not hold allowed values.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Exit code for a node that could not be started.
const EXIT_NOT_STARTED: u8 = 1;

/// Definition of the subcommand.
pub fn command() -> clap::Command {
    rhubarblanding_node::settings::command()
}

/// Runs the node and returns the exit code of the process.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let settings = match Settings::try_from(RawSettings::from(matches)) {
        Ok(settings) => settings,
        Err(errors) => {
            eprint!("{errors}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    match start(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(EXIT_NOT_STARTED)
        }
    }
}

/// Why the process around a node could not be set up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SetupError {
    Logger,
    Runtime,
    Node,
}

impl std::fmt::Display for SetupError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Logger => "the log cannot be opened",
            Self::Runtime => "the runtime cannot be started",
            Self::Node => "the node cannot be started",
        })
    }
}

impl std::error::Error for SetupError {}

fn start(settings: Settings) -> Result<(), error_stack::Report<SetupError>> {
    use error_stack::ResultExt;

    let logger =
        logs::start(settings.log_level, settings.log_format).change_context(SetupError::Logger)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()
        .change_context(SetupError::Runtime)?;
    runtime.block_on(async {
        let stop = stop_signals().change_context(SetupError::Runtime)?;
        let node = Node::bind(settings, Some(logger))
            .await
            .change_context(SetupError::Node)?;
        node.run(stop.wait()).await;
        Ok(())
    })
}

struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

fn stop_signals() -> std::io::Result<StopSignals> {
    Ok(StopSignals {
        terminate: signal(SignalKind::terminate())?,
        interrupt: signal(SignalKind::interrupt())?,
    })
}

impl StopSignals {
    async fn wait(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
