//! The `node` subcommand: runs a node until it receives SIGTERM or SIGINT.

use std::process::ExitCode;

use clap::ArgMatches;
use rhubarblanding_node::prelude::*;
use rhubarblanding_node::process::logs;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::daemon::{EXIT_BAD_SETTINGS, EXIT_NOT_STARTED, SetupError};

/// Returns the definition of the subcommand.
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
