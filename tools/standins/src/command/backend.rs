//! Subcommand `backend`.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use error_stack::Report;

use super::{all, millis, one, wait_for_end};
use crate::backend::{
    Backend, BackendSettings, CallPlan, CallSettings, DirectTarget, Distribution,
};
use crate::error::StandinError;

/// Flags of the subcommand.
pub fn command() -> Command {
    let number = |name: &'static str| Arg::new(name).long(name).value_parser(value_parser!(u64));
    Command::new("backend")
        .about("Backend server with slots and service times")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:0"),
        )
        .arg(
            Arg::new("node")
                .long("node")
                .value_parser(value_parser!(SocketAddr))
                .help("Local face of the node"),
        )
        .arg(
            Arg::new("announced-address")
                .long("announced-address")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(number("slots").default_value("4"))
        .arg(number("announced-slots"))
        .arg(number("shed-above"))
        .arg(number("service-time-us").default_value("5000"))
        .arg(
            Arg::new("distribution")
                .long("distribution")
                .value_parser(value_parser!(Distribution))
                .default_value("uniform"),
        )
        .arg(number("cold-start-ms").default_value("0"))
        .arg(
            Arg::new("cold-factor")
                .long("cold-factor")
                .value_parser(value_parser!(f64))
                .default_value("1"),
        )
        .arg(
            Arg::new("ignore-deadline")
                .long("ignore-deadline")
                .action(clap::ArgAction::SetTrue),
        )
        .arg(number("seed").default_value("1"))
        .arg(
            Arg::new("call")
                .long("call")
                .action(clap::ArgAction::Append)
                .value_parser(value_parser!(CallPlan))
                .help("Downstream call: [METHOD ]service:/path"),
        )
        .arg(
            Arg::new("direct")
                .long("direct")
                .action(clap::ArgAction::Append)
                .value_parser(value_parser!(DirectTarget))
                .help("Backend server called without a node: service=IP:PORT"),
        )
        .arg(number("call-retries").default_value("0"))
        .arg(number("retry-budget-percent"))
        .arg(number("call-timeout-ms").default_value("10000"))
}

/// Runs until the process is told to end.
///
/// # Errors
///
/// Passes on what [`Backend::start`] reports.
pub async fn run(matches: &ArgMatches) -> Result<(), Report<StandinError>> {
    let backend = Backend::start(settings(matches)).await?;
    println!("backend listens on {}", backend.address());
    wait_for_end().await?;
    backend.stop().await;
    Ok(())
}

/// Flags that give `cfg` to the subcommand.
pub fn args(cfg: &BackendSettings) -> Vec<String> {
    let mut args = vec!["backend".to_owned()];
    let mut flag = |name: &str, value: String| args.extend([format!("--{name}"), value]);
    flag("listen", cfg.listen.to_string());
    if let Some(address) = cfg.announced_address {
        flag("announced-address", address.to_string());
    }
    flag("slots", cfg.slots.to_string());
    flag("service-time-us", cfg.service_time.as_micros().to_string());
    flag("distribution", cfg.distribution.to_string());
    flag("cold-start-ms", cfg.cold_start.as_millis().to_string());
    flag("cold-factor", cfg.cold_factor.to_string());
    flag("seed", cfg.seed.to_string());
    flag("call-retries", cfg.calls.retries.to_string());
    flag("call-timeout-ms", cfg.calls.timeout.as_millis().to_string());
    let optional = [
        ("announced-slots", cfg.announced_slots),
        ("shed-above", cfg.shed_above),
        ("retry-budget-percent", cfg.calls.retry_budget_percent),
    ];
    for (name, value) in optional {
        value
            .into_iter()
            .for_each(|value| flag(name, value.to_string()));
    }
    cfg.calls
        .node
        .into_iter()
        .for_each(|node| flag("node", node.to_string()));
    cfg.calls
        .plan
        .iter()
        .for_each(|plan| flag("call", plan.to_string()));
    for target in &cfg.calls.direct {
        flag("direct", format!("{}={}", target.service, target.address));
    }
    if !cfg.check_deadline {
        args.push("--ignore-deadline".to_owned());
    }
    args
}

/// Settings that the flags give.
pub fn settings(matches: &ArgMatches) -> BackendSettings {
    let default = BackendSettings::default();
    let count = |name| one::<u64>(matches, name).map(|value| value as u32);
    BackendSettings {
        listen: one(matches, "listen").unwrap_or(default.listen),
        announced_address: one(matches, "announced-address"),
        slots: count("slots").unwrap_or(default.slots),
        announced_slots: count("announced-slots"),
        shed_above: count("shed-above"),
        service_time: one(matches, "service-time-us")
            .map_or(default.service_time, Duration::from_micros),
        distribution: one(matches, "distribution").unwrap_or_default(),
        cold_start: millis(matches, "cold-start-ms").unwrap_or_default(),
        cold_factor: one(matches, "cold-factor").unwrap_or(default.cold_factor),
        check_deadline: !matches.get_flag("ignore-deadline"),
        seed: one(matches, "seed").unwrap_or(default.seed),
        calls: CallSettings {
            plan: all(matches, "call"),
            node: one(matches, "node"),
            direct: all(matches, "direct"),
            retries: count("call-retries").unwrap_or_default(),
            retry_budget_percent: count("retry-budget-percent"),
            timeout: millis(matches, "call-timeout-ms").unwrap_or(default.calls.timeout),
        },
    }
}
