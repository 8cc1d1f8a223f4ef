//! Subcommand `relay`.

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command, value_parser};
use error_stack::Report;

use super::{one, wait_for_end};
use crate::error::StandinError;
use crate::relay::{Relay, RelaySettings};

/// Flags of the subcommand.
pub fn command() -> Command {
    let address = |name: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(SocketAddr))
    };
    Command::new("relay")
        .about("TCP relay that freezes, cuts and delays connections")
        .arg(address("listen").required(true))
        .arg(address("target").required(true))
        .arg(address("control").help("HTTP control face: POST /control, GET /counts"))
}

/// Runs until the process is told to end.
///
/// # Errors
///
/// Passes on what [`Relay::start`] reports.
pub async fn run(matches: &ArgMatches) -> Result<(), Report<StandinError>> {
    let default = RelaySettings::default();
    let cfg = RelaySettings {
        listen: one(matches, "listen").unwrap_or(default.listen),
        target: one(matches, "target").unwrap_or(default.target),
        control: one(matches, "control"),
    };
    let relay = Relay::start(cfg).await?;
    println!("relay listens on {}", relay.address());
    wait_for_end().await
}
