//! Command line of the `rhubarblanding_measure` program.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use error_stack::{Report, ResultExt};
use rhubarblanding_standins::command::numbers::number;
use rhubarblanding_standins::command::wait_for_end;
use rhubarblanding_standins::error::StandinError;

use crate::output::{Format, Row, render};
use crate::preset::Preset;
use crate::recovery::Trigger;
use crate::system::System;
use crate::{cost, drain, latency, overload, recovery, slopes};

/// The whole command line.
pub fn command() -> Command {
    Command::new("rhubarblanding_measure")
        .about("Measures goodput, recovery, latency and drain on real processes")
        .subcommand_required(true)
        .subcommand(case("overload", "Goodput from half to ten times the capacity").arg(system()))
        .subcommand(
            case("recovery", "Time until goodput is back after a trigger")
                .arg(system())
                .arg(trigger()),
        )
        .subcommand(case(
            "latency",
            "Latency added to a call, against direct calls",
        ))
        .subcommand(case(
            "cost",
            "Processor time and memory of calls at the nodes on their path",
        ))
        .subcommand(case("drain", "Goodput lost while a target leaves").arg(system()))
        .subcommand(slopes::command())
}

fn case(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(number("seed", "1").help("Seed of arrivals and service times"))
        .arg(
            Arg::new("preset")
                .long("preset")
                .value_parser(value_parser!(Preset))
                .default_value("litoral")
                .help("Deployment"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints JSON lines"),
        )
}

fn system() -> Arg {
    Arg::new("system")
        .long("system")
        .action(ArgAction::Append)
        .value_parser(value_parser!(System))
        .help("System to measure; all of them unless given")
}

fn trigger() -> Arg {
    Arg::new("trigger")
        .long("trigger")
        .value_parser(value_parser!(Trigger))
        .default_value("deep-slow")
        .help("Event that pushes the deployment into overload")
}

/// Runs the program.
pub fn main() -> ExitCode {
    let matches = command().get_matches();
    let result = tokio::runtime::Runtime::new()
        .change_context(StandinError::Process)
        .and_then(|runtime| runtime.block_on(run_until_told(&matches)));
    match result {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the case, and ends it with its child processes when the process is told to end.
async fn run_until_told(matches: &ArgMatches) -> Result<String, Report<StandinError>> {
    tokio::select! {
        result = run(matches) => result,
        ended = wait_for_end() => {
            ended?;
            Err(Report::new(StandinError::Process).attach("told to end"))
        }
    }
}

async fn run(matches: &ArgMatches) -> Result<String, Report<StandinError>> {
    match matches.subcommand() {
        Some(("overload", args)) => {
            let rows = overload::run(&systems(args), preset(args), seed(args)).await?;
            Ok(text(args, &rows))
        }
        Some(("recovery", args)) => {
            let trigger = args.get_one("trigger").copied();
            let trigger = trigger.unwrap_or(Trigger::DeepSlow);
            let rows = recovery::run(&systems(args), trigger, preset(args), seed(args)).await?;
            Ok(text(args, &rows))
        }
        Some(("latency", args)) => {
            let rows = latency::run(preset(args), seed(args)).await?;
            Ok(text(args, &rows))
        }
        Some(("cost", args)) => {
            let rows = cost::run(preset(args), seed(args)).await?;
            Ok(text(args, &rows))
        }
        Some(("drain", args)) => {
            let rows = drain::run(&systems(args), preset(args), seed(args)).await?;
            Ok(text(args, &rows))
        }
        Some((slopes::NAME, args)) => {
            let report = slopes::run(args).change_context(StandinError::Settings)?;
            Ok(report)
        }
        _ => Err(Report::new(StandinError::Settings).attach("no such case")),
    }
}

fn text<R: Row>(args: &ArgMatches, rows: &[R]) -> String {
    let format = match args.get_flag("json") {
        true => Format::Json,
        false => Format::Table,
    };
    render(format, rows)
}

fn systems(args: &ArgMatches) -> Vec<System> {
    match args.get_many("system") {
        Some(systems) => systems.copied().collect(),
        None => System::ALL.to_vec(),
    }
}

fn preset(args: &ArgMatches) -> Preset {
    args.get_one("preset").copied().unwrap_or_default()
}

fn seed(args: &ArgMatches) -> u64 {
    args.get_one("seed").copied().unwrap_or_default()
}
