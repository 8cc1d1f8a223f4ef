//! Definition of the subcommands and their arguments.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::builder::{PossibleValuesParser, TypedValueParser};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use rhubarblanding_tickets::operator::LogLevel;
use uuid::Uuid;

use super::client::OperatorClient;
use super::exit::Exit;

const EXAMPLES: &str = "\
Examples:
  rhubarblanding check examples/tickets/litoral.json
  rhubarblanding ticket submit examples/tickets/litoral.json --operator 10.0.0.1:7104
  rhubarblanding ticket status 1 --operator 10.0.0.1:7104,10.0.0.2:7104
  rhubarblanding status --operator 10.0.0.1:7104 --json
  rhubarblanding drain --operator 10.0.0.1:7104

Exit codes:
  0  done: accepted, valid or printed
  1  the ticket is refused, or no valid route matches
  2  the arguments or a file are not valid
  3  the outcome is not yet known, or a ticket is not yet in force at every queried node
  4  no queried node gave an answer";

const SUBMIT_EXAMPLES: &str = "\
Examples:
  rhubarblanding ticket submit ticket.json --operator 10.0.0.1:7104
  rhubarblanding ticket submit ticket.json --operator 10.0.0.2:7104 \\
      --submission 01936d3e-7c5a-7bd1-8f0e-52a9c1d0e6b4

After exit code 3, submit again with the submission identifier that was printed: it cannot take
effect twice, through any node.";

/// Default time limit of one call, in milliseconds. A node waits for the outcome of a submission
/// for a while before it answers.
const DEFAULT_TIMEOUT_MS: &str = "10000";
/// Default time in seconds for which a submission is retried.
const DEFAULT_WAIT_S: &str = "30";

/// Returns the root command without the daemons.
pub fn root() -> Command {
    Command::new("rhubarblanding")
        .about("Overload control layer for service call graphs")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(EXAMPLES)
        .subcommand(ticket())
        .subcommand(status())
        .subcommand(drain())
        .subcommand(log_level())
        .subcommand(check())
        .subcommand(explain_command())
        .subcommand(route())
        .subcommand(completions_command())
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Traces one request through the log lines of several nodes")
        .long_about(
            "Prints the lines about one request and its calls (marked >), and the changes of \
             the nodes' views of its services and hosts around them. Lines may have a prefix \
             that names the node; without one, the file's name is used instead.",
        )
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .help("Identifier of the request"),
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Files with log lines"),
        )
}

fn route() -> Command {
    Command::new("route")
        .about("Shows which route of a configuration a request follows, and why")
        .after_help(
            "Example:\n  rhubarblanding route shop.example /orders/7 --configuration config.json",
        )
        .arg(
            Arg::new("host")
                .value_name("HOST")
                .required(true)
                .help("Host header of the request"),
        )
        .arg(
            Arg::new("path")
                .value_name("PATH")
                .required(true)
                .help("Path of the request"),
        )
        .arg(configuration_arg().required(true))
        .arg(json_arg())
}

fn configuration_arg() -> Arg {
    Arg::new("configuration")
        .long("configuration")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Configuration of `rhubarblanding mesh`, as the operators write it")
}

/// Returns the path given with `--configuration`.
pub fn configuration_path(matches: &ArgMatches) -> Option<&Path> {
    let path = matches.get_one::<PathBuf>("configuration");
    path.map(PathBuf::as_path)
}

/// Returns the path given with `--in-force`.
pub fn in_force_path(matches: &ArgMatches) -> Option<&Path> {
    let path = matches.get_one::<PathBuf>("in-force");
    path.map(PathBuf::as_path)
}

fn ticket() -> Command {
    Command::new("ticket")
        .about("Submits and shows change tickets")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(submit())
        .subcommand(
            node_subcommand("show", "Shows what a ticket set and is still in force")
                .arg(number_arg()),
        )
        .subcommand(
            node_subcommand(
                "status",
                "Shows a ticket's verdict and where it is in force",
            )
            .arg(number_arg()),
        )
}

fn submit() -> Command {
    node_subcommand("submit", "Submits a ticket file")
        .after_help(SUBMIT_EXAMPLES)
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Ticket file, - for the standard input"),
        )
        .arg(
            Arg::new("submission")
                .long("submission")
                .value_name("UUID")
                .value_parser(value_parser!(Uuid))
                .help("Identifier of an earlier submission of the same ticket"),
        )
        .arg(
            Arg::new("wait-s")
                .long("wait-s")
                .env("RHUBARBLANDING_WAIT_S")
                .value_name("SECONDS")
                .default_value(DEFAULT_WAIT_S)
                .value_parser(value_parser!(u64).range(0..=86_400))
                .help("Time for which to retry while the outcome is not known"),
        )
}

fn status() -> Command {
    node_subcommand("status", "Shows the state of nodes")
        .after_help("Example:\n  rhubarblanding status --operator 10.0.0.1:7104,10.0.0.2:7104")
}

fn drain() -> Command {
    node_subcommand("drain", "Takes one node's backend server out of service").after_help(
        "The node takes no new requests and finishes those in progress.\n\n\
         Example:\n  rhubarblanding drain --operator 10.0.0.1:7104",
    )
}

fn log_level() -> Command {
    node_subcommand("log-level", "Changes the log level of running nodes").arg(
        Arg::new("level")
            .value_name("LEVEL")
            .required(true)
            .value_parser(
                PossibleValuesParser::new(LogLevel::NAMES).try_map(|s| s.parse::<LogLevel>()),
            )
            .help("Least severe level of log lines to write"),
    )
}

fn check() -> Command {
    Command::new("check")
        .about("Checks ticket files, settings and configurations without a node")
        .after_help(
            "Examples:\n  rhubarblanding check examples/tickets/*.json\n  \
             rhubarblanding check --configuration new.json --in-force old.json\n\n\
             A configuration is clean (exit code 0), has findings (1) or cannot be read (2).",
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .num_args(1..)
                .required_unless_present_any(["settings", "configuration"])
                .value_parser(value_parser!(PathBuf))
                .help("Ticket files"),
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .action(ArgAction::SetTrue)
                .help("Check the settings of a node in the environment, RHUBARBLANDING_*"),
        )
        .arg(configuration_arg().conflicts_with_all(["file", "settings"]))
        .arg(
            Arg::new("in-force")
                .long("in-force")
                .value_name("FILE")
                .requires("configuration")
                .value_parser(value_parser!(PathBuf))
                .help("Configuration in force, to show what the new one changes"),
        )
        .arg(json_arg())
}

fn completions_command() -> Command {
    Command::new("completions")
        .about("Prints completions for a shell")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
}

/// Returns a subcommand that calls nodes and prints their answers.
fn node_subcommand(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("operator")
                .long("operator")
                .env("RHUBARBLANDING_OPERATOR")
                .value_name("IP:PORT")
                .value_delimiter(',')
                .action(ArgAction::Append)
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Operator listener of a node; may be given several times"),
        )
        .arg(
            Arg::new("timeout-ms")
                .long("timeout-ms")
                .env("RHUBARBLANDING_TIMEOUT_MS")
                .value_name("MILLISECONDS")
                .default_value(DEFAULT_TIMEOUT_MS)
                .value_parser(value_parser!(u64).range(1..=600_000))
                .help("Time limit of one call"),
        )
        .arg(json_arg())
}

fn json_arg() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print JSON")
}

fn number_arg() -> Arg {
    Arg::new("number")
        .value_name("NUMBER")
        .required(true)
        .value_parser(value_parser!(u64).range(1..))
        .help("Number of the ticket")
}

/// Returns `true` if JSON output is requested.
pub fn wants_json(matches: &ArgMatches) -> bool {
    matches.get_flag("json")
}

/// Returns a client for each `--operator` address; there is at least one.
pub fn clients(matches: &ArgMatches) -> Vec<OperatorClient> {
    let millis = matches.get_one("timeout-ms").copied().unwrap_or_default();
    let timeout = Duration::from_millis(millis);
    matches
        .get_many::<SocketAddr>("operator")
        .into_iter()
        .flatten()
        .map(|addr| OperatorClient::new(*addr, timeout))
        .collect()
}

/// Prints the help, the version or an argument error, as reported by clap.
pub fn print_clap_error(error: &clap::Error) -> ExitCode {
    // The output may be a closed pipe.
    let _ = error.print();
    match error.use_stderr() {
        true => Exit::BadInput.into(),
        false => Exit::Ok.into(),
    }
}

/// Prints the completions of `root` for a shell.
pub fn completions(mut root: Command, matches: &ArgMatches) -> Exit {
    let Some(shell) = matches.get_one::<Shell>("shell") else {
        return Exit::BadInput;
    };
    let mut script = Vec::new();
    clap_complete::generate(*shell, &mut root, "rhubarblanding", &mut script);
    super::output::line(String::from_utf8_lossy(&script).trim_end());
    Exit::Ok
}
