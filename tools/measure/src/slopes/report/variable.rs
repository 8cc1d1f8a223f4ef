//! What the cost of a node is measured against.

use serde::Serialize;

use crate::slopes::fleet::Point;

/// What the cost of a node is measured against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Variable {
    /// Nodes of the fleet.
    Nodes,
    /// Services at a fixed number of nodes.
    Services,
    /// Other services that each service calls.
    Calls,
    /// Tickets a day.
    Tickets,
    /// Restarts of targets a day.
    Restarts,
}

impl Variable {
    /// Values to measure at.
    pub(super) fn values(self) -> &'static [f64] {
        match self {
            Self::Nodes => &[],
            Self::Services => &[8.0, 15.0, 30.0, 60.0],
            Self::Calls => &[1.0, 3.0, 6.0, 10.0, 14.0],
            Self::Tickets => &[0.0, 5_000.0, 10_000.0, 20_000.0, 40_000.0],
            Self::Restarts => &[0.0, 630.0, 2_520.0, 5_040.0, 10_080.0],
        }
    }

    /// Value at 6,700 targets in 250 services.
    pub(super) fn at_target(self) -> f64 {
        match self {
            Self::Nodes => 6_700.0,
            Self::Services => 250.0,
            Self::Calls => 5.0,
            Self::Tickets => 5_000.0,
            Self::Restarts => 630.0,
        }
    }

    /// `point` with `value` for this variable.
    pub(super) fn set(self, mut point: Point, value: f64) -> Point {
        match self {
            Self::Nodes => point.nodes = value as usize,
            Self::Services => point.services = value as usize,
            Self::Calls => point.calls = value as usize,
            Self::Tickets => point.tickets_per_day = value,
            Self::Restarts => point.restarts_per_day = value,
        }
        point
    }
}
