//! Definition of the flags of a node.

use clap::{Arg, ArgAction, Command};

struct Flag {
    name: &'static str,
    env: &'static str,
    value: &'static str,
    help: &'static str,
    default: Option<&'static str>,
}

const FLAGS: &[Flag] = &[
    Flag {
        name: "service",
        env: "RHUBARBLANDING_SERVICE",
        value: "NAME",
        help: "Service of the backend server on this host",
        default: None,
    },
    Flag {
        name: "zone",
        env: "RHUBARBLANDING_ZONE",
        value: "NAME",
        help: "Availability zone of this host",
        default: None,
    },
    Flag {
        name: "caller-listen",
        env: "RHUBARBLANDING_CALLER_LISTEN",
        value: "IP:PORT",
        help: "Address for callers",
        default: None,
    },
    Flag {
        name: "local-listen",
        env: "RHUBARBLANDING_LOCAL_LISTEN",
        value: "IP:PORT",
        help: "Loopback address for the backend server",
        default: None,
    },
    Flag {
        name: "peer-listen",
        env: "RHUBARBLANDING_PEER_LISTEN",
        value: "IP:PORT",
        help: "Address for other nodes; names this host without peer-advertise",
        default: None,
    },
    Flag {
        name: "peer-advertise",
        env: "RHUBARBLANDING_PEER_ADVERTISE",
        value: "IP:PORT",
        help: "Address under which other nodes reach this one, if it is not peer-listen",
        default: None,
    },
    Flag {
        name: "operator-listen",
        env: "RHUBARBLANDING_OPERATOR_LISTEN",
        value: "IP:PORT",
        help: "Address for operators",
        default: None,
    },
    Flag {
        name: "backend",
        env: "RHUBARBLANDING_BACKEND",
        value: "IP:PORT",
        help: "Address of the backend server",
        default: None,
    },
    Flag {
        name: "store",
        env: "RHUBARBLANDING_STORE",
        value: "IP:PORT",
        help: "Address of the platform's key-value service",
        default: None,
    },
    Flag {
        name: "log-level",
        env: "RHUBARBLANDING_LOG_LEVEL",
        value: "LEVEL",
        help: "off, error, warn, info, debug or trace",
        default: Some("info"),
    },
    Flag {
        name: "log-format",
        env: "RHUBARBLANDING_LOG_FORMAT",
        value: "FORMAT",
        help: "text or json",
        default: Some("text"),
    },
    Flag {
        name: "drain-limit-s",
        env: "RHUBARBLANDING_DRAIN_LIMIT_S",
        value: "SECONDS",
        help: "Longest wait of a stop for requests in progress; waits for all without it",
        default: None,
    },
    Flag {
        name: "statsd",
        env: "RHUBARBLANDING_STATSD",
        value: "IP:PORT",
        help: "Address that receives the counters as statsd datagrams",
        default: None,
    },
    Flag {
        name: "threads",
        env: "RHUBARBLANDING_THREADS",
        value: "COUNT",
        help: "Worker threads, 1 to 64",
        default: Some("2"),
    },
];

fn arg(flag: &'static Flag) -> Arg {
    let arg = Arg::new(flag.name)
        .long(flag.name)
        .env(flag.env)
        .value_name(flag.value)
        .help(flag.help);
    match flag.default {
        Some(default) => arg.default_value(default),
        None => arg,
    }
}

fn seed_arg() -> Arg {
    Arg::new("seed")
        .long("seed")
        .env("RHUBARBLANDING_SEEDS")
        .value_name("IP:PORT")
        .value_delimiter(',')
        .action(ArgAction::Append)
        .help("Peer address of a node to contact first; may be given several times")
}

/// The `node` command with all its flags.
pub fn command() -> Command {
    Command::new("node")
        .about("Runs the node beside a backend server")
        .args(FLAGS.iter().map(arg))
        .arg(seed_arg())
}
