//! Command line of the `rhubarblanding_standins` program.

pub mod backend;
pub mod load;
pub mod numbers;
pub mod relay;

use std::time::Duration;

use clap::{ArgMatches, Command};
use error_stack::{Report, ResultExt};
use tokio::signal::unix::{SignalKind, signal};

use crate::error::StandinError;
use crate::store;

/// The whole command line.
pub fn command() -> Command {
    Command::new("rhubarblanding_standins")
        .about("Stand-ins for tests")
        .subcommand_required(true)
        .subcommand(backend::command())
        .subcommand(load::command())
        .subcommand(store::command())
        .subcommand(relay::command())
}

/// Runs the subcommand that `matches` names.
///
/// # Errors
///
/// Passes on what the subcommand reports.
pub async fn run(matches: &ArgMatches) -> Result<(), Report<StandinError>> {
    match matches.subcommand() {
        Some(("backend", matches)) => backend::run(matches).await,
        Some(("load", matches)) => load::run(matches).await,
        Some(("store", matches)) => store::run(matches)
            .await
            .change_context(StandinError::Listen),
        Some(("relay", matches)) => relay::run(matches).await,
        _ => Err(Report::new(StandinError::Settings).attach("no such subcommand")),
    }
}

/// Value of a flag that is given at most once.
pub(crate) fn one<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Option<T> {
    matches.get_one::<T>(name).cloned()
}

/// Values of a flag that may be repeated.
pub(crate) fn all<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches
        .get_many::<T>(name)
        .map(|values| values.cloned().collect())
        .unwrap_or_default()
}

/// Value of a flag in milliseconds.
pub(crate) fn millis(matches: &ArgMatches, name: &str) -> Option<Duration> {
    one(matches, name).map(Duration::from_millis)
}

/// Waits until the process is told to end.
///
/// # Errors
///
/// [`StandinError::Process`] if the signals cannot be listened for.
pub async fn wait_for_end() -> Result<(), Report<StandinError>> {
    let context = |_| Report::new(StandinError::Process);
    let mut terminate = signal(SignalKind::terminate()).map_err(context)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(context)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
