//! The report: measured points, fitted lines and the values at the size to extrapolate to.

mod text;
mod variable;

use error_stack::Report;
use rhubarblanding_membership::prelude::ViewMode;
use serde::Serialize;

pub use self::variable::Variable;
use super::SlopesError;
use super::baselines::{self, Baseline, BaselineCost};
use super::faults::{self, FaultCost};
use super::fit::{Line, Measured, Prediction};
use super::fleet::Point;
use super::settings::SlopesSettings;
use super::spread::{self, SpreadTimes};
use super::steady::{self, NodeCost};

/// Name of a quantity and how it is read.
type Quantity<T> = (&'static str, fn(&T) -> f64);

/// Lines through the cost of a node against one variable.
#[derive(Clone, Debug, Serialize)]
pub struct Slopes {
    /// Variable.
    pub variable: Variable,
    /// Which targets are kept in detail.
    pub view: &'static str,
    /// Measured points.
    pub costs: Vec<NodeCost>,
    /// Fitted lines.
    pub lines: Vec<FittedLine>,
}

/// One line with the value at the size to extrapolate to.
#[derive(Clone, Debug, Serialize)]
pub struct FittedLine {
    /// What was measured.
    pub quantity: &'static str,
    /// Line.
    pub line: Line,
    /// Where the line is read.
    pub at: f64,
    /// What it says there.
    pub prediction: Prediction,
}

/// Everything that was measured.
#[derive(Clone, Debug, Serialize)]
pub struct SlopesReport {
    /// Seed of everything random.
    pub seed: u64,
    /// Length of each steady measurement, in seconds.
    pub window_seconds: u64,
    /// Cost of a node against each variable.
    pub slopes: Vec<Slopes>,
    /// Time until changes are known everywhere, with the partial view.
    pub spread: Vec<SpreadTimes>,
    /// Lines through the times against the logarithm of the nodes.
    pub spread_lines: Vec<FittedLine>,
    /// Loss of an availability zone at each size.
    pub zone_loss: Vec<FaultCost>,
    /// Cut between two halves of the availability zones at each size.
    pub region_cut: Vec<FaultCost>,
    /// Other ways to spread membership, at the size to extrapolate to.
    pub baselines: Vec<BaselineCost>,
}

impl SlopesReport {
    /// Runs every measurement.
    pub fn measure(settings: &SlopesSettings) -> Result<Self, Report<SlopesError>> {
        let (partial, spread) = by_nodes(settings)?;
        let mut slopes = vec![partial];
        slopes.extend(full_view(settings)?);
        for variable in [
            Variable::Services,
            Variable::Calls,
            Variable::Tickets,
            Variable::Restarts,
        ] {
            slopes.push(by_variable(settings, variable)?);
        }
        let target = settings.target_nodes;
        let baselines = [Baseline::FullMesh, Baseline::FullState];
        let baselines = baselines.map(|baseline| baselines::cost(baseline, target));
        Ok(Self {
            seed: settings.seed,
            window_seconds: settings.window.as_secs(),
            spread_lines: spread_lines(&spread, target),
            slopes,
            spread,
            zone_loss: at_each_size(settings, faults::zone_loss)?,
            region_cut: at_each_size(settings, faults::region_cut)?,
            baselines: baselines.into_iter().collect::<Result<_, _>>()?,
        })
    }
}

fn by_nodes(settings: &SlopesSettings) -> Result<(Slopes, Vec<SpreadTimes>), Report<SlopesError>> {
    let mut costs = Vec::new();
    let mut spread = Vec::new();
    for &nodes in &settings.nodes {
        let point = Point::ordinary(nodes, ViewMode::Partial, settings.seed);
        let (cost, mut bench) = steady::measure(point, settings.window)?;
        costs.push(cost);
        spread.push(spread::measure(&mut bench, settings.repeats)?);
    }
    let at = settings.target_nodes as f64;
    let slopes = Slopes::new(
        Variable::Nodes,
        ViewMode::Partial,
        costs,
        |c| c.nodes as f64,
        at,
    );
    Ok((slopes, spread))
}

fn full_view(settings: &SlopesSettings) -> Result<Option<Slopes>, Report<SlopesError>> {
    let sizes = settings
        .nodes
        .iter()
        .filter(|nodes| **nodes <= settings.full_view_max);
    let mut costs = Vec::new();
    for &nodes in sizes {
        let point = Point::ordinary(nodes, ViewMode::Full, settings.seed);
        costs.push(steady::measure(point, settings.window)?.0);
    }
    let at = settings.target_nodes as f64;
    let slopes = Slopes::new(
        Variable::Nodes,
        ViewMode::Full,
        costs,
        |c| c.nodes as f64,
        at,
    );
    Ok((!slopes.lines.is_empty()).then_some(slopes))
}

fn by_variable(
    settings: &SlopesSettings,
    variable: Variable,
) -> Result<Slopes, Report<SlopesError>> {
    let base = Point::ordinary(settings.reference_nodes, ViewMode::Partial, settings.seed);
    let mut costs = Vec::new();
    let mut values = Vec::new();
    for value in variable.values() {
        let point = variable.set(base, *value);
        costs.push(steady::measure(point, settings.window)?.0);
        values.push(*value);
    }
    let mut values = values.into_iter();
    let x = move |_: &NodeCost| values.next().unwrap_or_default();
    Ok(Slopes::new(
        variable,
        ViewMode::Partial,
        costs,
        x,
        variable.at_target(),
    ))
}

fn at_each_size(
    settings: &SlopesSettings,
    fault: fn(Point) -> Result<FaultCost, Report<SlopesError>>,
) -> Result<Vec<FaultCost>, Report<SlopesError>> {
    let sizes = settings
        .nodes
        .iter()
        .filter(|nodes| **nodes <= settings.faults_max);
    let points = sizes.map(|nodes| {
        let point = Point::ordinary(*nodes, ViewMode::Partial, settings.seed);
        fault(point)
    });
    points.collect()
}

fn spread_lines(spread: &[SpreadTimes], target: usize) -> Vec<FittedLine> {
    let quantities: [Quantity<SpreadTimes>; 3] = [
        ("up_ms", |times| times.up_ms),
        ("leaving_ms", |times| times.leaving_ms),
        ("ticket_ms", |times| times.ticket_ms),
    ];
    let lines = quantities.into_iter().filter_map(|(quantity, value)| {
        let points = spread.iter().map(|times| Measured {
            x: (times.nodes as f64).ln(),
            y: value(times),
        });
        FittedLine::new(quantity, &points.collect::<Vec<_>>(), (target as f64).ln())
    });
    lines.collect()
}

impl Slopes {
    fn new(
        variable: Variable,
        view: ViewMode,
        costs: Vec<NodeCost>,
        mut x: impl FnMut(&NodeCost) -> f64,
        at: f64,
    ) -> Self {
        let values: Vec<_> = costs.iter().map(&mut x).collect();
        let quantities: [Quantity<NodeCost>; 5] = [
            ("messages_per_second", |cost| cost.messages_per_second),
            ("bytes_per_second", |cost| cost.bytes_per_second),
            ("core_share", |cost| cost.core_share),
            ("state_bytes", |cost| cost.state_bytes),
            ("resident_bytes", |cost| cost.resident_bytes),
        ];
        let lines = quantities.into_iter().filter_map(|(quantity, value)| {
            let points = values.iter().zip(&costs);
            let points = points.map(|(x, cost)| Measured {
                x: *x,
                y: value(cost),
            });
            FittedLine::new(quantity, &points.collect::<Vec<_>>(), at)
        });
        Self {
            lines: lines.collect(),
            variable,
            view: view.into(),
            costs,
        }
    }
}

impl FittedLine {
    fn new(quantity: &'static str, points: &[Measured], at: f64) -> Option<Self> {
        let line = Line::fit(points)?;
        Some(Self {
            quantity,
            prediction: line.predict(at),
            line,
            at,
        })
    }
}
