//! Arguments of the measurement.

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command};
use error_stack::{Report, ensure};
use rhubarblanding_standins::command::numbers::{number, value};

use super::SlopesError;

/// Name of the subcommand.
pub const NAME: &str = "slopes";

/// Least number of nodes: two for each of the 19 availability zones.
const MIN_NODES: usize = 38;
/// Least number of nodes for the other variables: one for each of up to 60 services.
const MIN_REFERENCE_NODES: usize = 60;

/// What to measure.
#[derive(Clone, Debug)]
pub struct SlopesSettings {
    /// Numbers of nodes.
    pub nodes: Vec<usize>,
    /// Greatest number of nodes for the full view.
    pub full_view_max: usize,
    /// Greatest number of nodes for the faults.
    pub faults_max: usize,
    /// Number of nodes at which the other variables are varied.
    pub reference_nodes: usize,
    /// Size to extrapolate to, in nodes.
    pub target_nodes: usize,
    /// Length of each steady measurement.
    pub window: Duration,
    /// Number of changes of each kind that are timed.
    pub repeats: usize,
    /// Seed of everything random.
    pub seed: u64,
    /// Whether the report is JSON.
    pub json: bool,
}

/// The subcommand.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Cost of membership against nodes, services and changes a day")
        .arg(
            number("nodes", "50,100,200,400,800")
                .value_delimiter(',')
                .help("Numbers of nodes"),
        )
        .arg(number("full-view-max", "800").help("Greatest number of nodes for the full view"))
        .arg(number("faults-max", "800").help("Greatest number of nodes for the faults"))
        .arg(number("reference-nodes", "400").help("Nodes at which the other variables are varied"))
        .arg(number("target-nodes", "6700").help("Nodes to extrapolate to"))
        .arg(number("seconds", "120").help("Length of each steady measurement, in seconds"))
        .arg(number("repeats", "10").help("Number of changes of each kind that are timed"))
        .arg(number("seed", "1").help("Seed of everything random"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the report as JSON"),
        )
}

impl TryFrom<&ArgMatches> for SlopesSettings {
    type Error = Report<SlopesError>;

    fn try_from(matches: &ArgMatches) -> Result<Self, Self::Error> {
        let nodes = matches.get_many::<u64>("nodes").into_iter().flatten();
        let settings = Self {
            nodes: nodes.map(|count| *count as usize).collect(),
            full_view_max: value(matches, "full-view-max") as usize,
            faults_max: value(matches, "faults-max") as usize,
            reference_nodes: value(matches, "reference-nodes") as usize,
            target_nodes: value(matches, "target-nodes") as usize,
            window: Duration::from_secs(value(matches, "seconds")),
            repeats: value(matches, "repeats") as usize,
            seed: value(matches, "seed"),
            json: matches.get_flag("json"),
        };
        let sizes = settings.nodes.iter();
        ensure!(
            sizes.min().is_some_and(|least| *least >= MIN_NODES),
            Report::new(SlopesError::Settings).attach(format!("--nodes: at least {MIN_NODES}"))
        );
        ensure!(
            settings.reference_nodes >= MIN_REFERENCE_NODES,
            Report::new(SlopesError::Settings)
                .attach(format!("--reference-nodes: at least {MIN_REFERENCE_NODES}"))
        );
        ensure!(
            settings.nodes.len() >= 3,
            Report::new(SlopesError::Settings).attach("--nodes: at least 3 sizes")
        );
        ensure!(
            !settings.window.is_zero() && settings.repeats > 0,
            Report::new(SlopesError::Settings).attach("--seconds, --repeats: at least 1")
        );
        Ok(settings)
    }
}
