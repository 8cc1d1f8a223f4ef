//! Straight line through measured points, and what it says outside of them.

use serde::Serialize;

/// Factor from the standard error to a 95 % interval, for few degrees of freedom.
const STUDENT_T_95: [f64; 10] = [12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23];

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Measured {
    /// Variable.
    pub x: f64,
    /// What was measured.
    pub y: f64,
}

/// Least-squares line `y = intercept + slope * x`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Value at `x = 0`.
    pub intercept: f64,
    /// Change of the value with `x`.
    pub slope: f64,
    /// Measured minus fitted value at each point.
    pub residuals: Vec<f64>,
    mean_x: f64,
    spread_x: f64,
}

/// Value that a line predicts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Prediction {
    /// Value.
    pub value: f64,
    /// Half of the 95 % interval of a single further measurement.
    pub error: f64,
}

impl Line {
    /// Fits a line to at least three points.
    pub fn fit(points: &[Measured]) -> Option<Self> {
        if points.len() < 3 {
            return None;
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.y).sum::<f64>() / count;
        let spread_x = points.iter().map(|p| (p.x - mean_x).powi(2)).sum::<f64>();
        if spread_x == 0.0 {
            return None;
        }
        let joint = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y));
        let slope = joint.sum::<f64>() / spread_x;
        let intercept = mean_y - slope * mean_x;
        let residuals = points
            .iter()
            .map(|p| p.y - intercept - slope * p.x)
            .collect();
        Some(Self {
            intercept,
            slope,
            residuals,
            mean_x,
            spread_x,
        })
    }

    /// Standard deviation of the residuals.
    pub fn residual_deviation(&self) -> f64 {
        let squares = self.residuals.iter().map(|r| r * r).sum::<f64>();
        (squares / self.freedom() as f64).sqrt()
    }

    /// Value at `x` with its error.
    pub fn predict(&self, x: f64) -> Prediction {
        let count = self.residuals.len() as f64;
        let distance = (x - self.mean_x).powi(2) / self.spread_x;
        let standard_error = self.residual_deviation() * (1.0 + 1.0 / count + distance).sqrt();
        let last = STUDENT_T_95.len() - 1;
        Prediction {
            value: self.intercept + self.slope * x,
            error: STUDENT_T_95[(self.freedom() - 1).min(last)] * standard_error,
        }
    }

    fn freedom(&self) -> usize {
        self.residuals.len() - 2
    }
}
