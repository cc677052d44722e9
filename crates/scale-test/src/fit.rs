//! Linear least-squares fit.

use serde::{Deserialize, Serialize};

/// Data point.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Independent variable.
    pub x: f64,
    /// Measured value at `x`.
    pub y: f64,
}

/// Fitted line.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Slope of the line.
    pub slope: f64,
    /// Value of the line at 0.
    pub offset: f64,
    /// Largest distance of a point from the line, along `y`.
    pub largest_error: f64,
}

impl Line {
    /// Returns the value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.slope * x + self.offset
    }
}

/// Returns the fitted line, or `None` if the points do not determine one.
pub fn fit(points: &[Point]) -> Option<Line> {
    if points.len() < 2 {
        return None;
    }
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
    let sum_xx: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
    if sum_xx == 0.0 {
        return None;
    }
    let sum_xy: f64 = points
        .iter()
        .map(|point| (point.x - mean_x) * (point.y - mean_y))
        .sum();
    let slope = sum_xy / sum_xx;
    let mut line = Line {
        slope,
        offset: mean_y - slope * mean_x,
        largest_error: 0.0,
    };
    let errors = points
        .iter()
        .map(|point| (point.y - line.at(point.x)).abs());
    line.largest_error = errors.fold(0.0, f64::max);
    Some(line)
}
