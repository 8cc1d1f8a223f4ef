//! The `mesh` subcommand: runs a node with the settings of the users' platform.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use clap::builder::FalseyValueParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use error_stack::{Report, ResultExt};
use rhubarblanding_mesh::prelude::Mesh;
use rhubarblanding_mesh::settings::MeshSettings;
use rhubarblanding_node::process::json_lines;
use rhubarblanding_platform::{LocalSettings, Platform};

use crate::daemon::{EXIT_BAD_SETTINGS, EXIT_NOT_STARTED, SetupError};

/// Default port for metrics.
const METRICS_PORT: &str = "9464";

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    Command::new("mesh")
        .about("Runs a node beside a target of the users' platform")
        .long_about(
            "Runs a node beside a target of the users' platform. Its settings are read from the \
             file that the platform names in the environment, and read again when it changes.",
        )
        .arg(
            Arg::new("metrics-port")
                .long("metrics-port")
                .env("RHUBARBLANDING_METRICS_PORT")
                .default_value(METRICS_PORT)
                .value_parser(value_parser!(u16))
                .help("Port on the host's address for metrics as text"),
        )
        .arg(
            Arg::new("peer-advertise")
                .long("peer-advertise")
                .env("RHUBARBLANDING_PEER_ADVERTISE")
                .value_parser(value_parser!(SocketAddr))
                .help("Address at which other nodes reach this one, if not its listen address"),
        )
        .arg(
            Arg::new("placement-by-speed")
                .long("placement-by-speed")
                .env("RHUBARBLANDING_PLACEMENT_BY_SPEED")
                .action(ArgAction::SetTrue)
                .value_parser(FalseyValueParser::new())
                .help("Send requests to the servers of a service by their learned speed"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .env("RHUBARBLANDING_LOG_LEVEL")
                .default_value("info")
                .value_parser(["error", "warn", "info", "debug", "trace"])
                .help("Least severe level of log lines to write"),
        )
}

/// Runs the node and returns the exit code of the process.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let metrics_port = matches.get_one("metrics-port").copied();
    let local = LocalSettings {
        metrics_port: metrics_port.unwrap_or_default(),
        advertised: matches.get_one("peer-advertise").copied(),
        places_by_speed: matches.get_flag("placement-by-speed"),
    };
    let level = matches
        .get_one::<String>("log-level")
        .and_then(|level| level.parse().ok())
        .unwrap_or(log::LevelFilter::Info);
    let settings = match rhubarblanding_platform::read(local) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    match start(settings, local, level) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(EXIT_NOT_STARTED)
        }
    }
}

fn start(
    settings: MeshSettings,
    local: LocalSettings,
    level: log::LevelFilter,
) -> Result<(), Report<SetupError>> {
    let logger = json_lines::start(level).change_context(SetupError::Logger)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(SetupError::Runtime)?;
    let result = runtime.block_on(async {
        let protocol = Arc::new(Platform::default());
        let source =
            Box::new(move || rhubarblanding_platform::read(local).map_err(|e| e.to_string()));
        let mesh = Mesh::start(settings, protocol, source).change_context(SetupError::Node)?;
        mesh.run().await;
        Ok(())
    });
    logger.flush();
    result
}
