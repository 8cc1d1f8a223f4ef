//! Stand-in for the platform's key-value service. It keeps everything in memory.
//!
//! [`StoreServer`] runs inside a test; [`command`] and [`run`] make a program of it. Faults are
//! switched by [`StoreServer::set_faults`] or `POST /v1/faults`, open connections go silent by
//! [`StoreServer::silence_connections`] or `POST /v1/silence`, and `GET /v1/calls` counts calls.

mod faults;
mod kv;
mod routes;
mod server;

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command, value_parser};

pub use faults::{Calls, Faults, OutageMode};
pub use kv::{Kv, Put, Snapshot};
pub use server::StoreServer;

/// Address that the program listens on unless told otherwise.
const DEFAULT_LISTEN: &str = "127.0.0.1:7400";

/// The `store` subcommand.
pub fn command() -> Command {
    Command::new("store")
        .about("Key-value service in memory: compare-and-swap, leases and watches")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("ADDR")
                .default_value(DEFAULT_LISTEN)
                .value_parser(value_parser!(SocketAddr))
                .help("Address to listen on"),
        )
}

/// Runs the `store` subcommand until the process is ended.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn run(matches: &ArgMatches) -> std::io::Result<()> {
    let addr = matches
        .get_one::<SocketAddr>("listen")
        .copied()
        .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let server = StoreServer::start(addr).await?;
    println!("store listens on {}", server.addr());
    std::future::pending().await
}
