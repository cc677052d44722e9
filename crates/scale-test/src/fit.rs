//! A straight line through points, by least squares.

use serde::{Deserialize, Serialize};

/// A point in the plane.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// What it is placed by.
    pub x: f64,
    /// What was measured there.
    pub y: f64,
}

/// A straight line.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// How much `y` rises with `x`.
    pub slope: f64,
    /// Where the line is at 0.
    pub offset: f64,
    /// The furthest that a point is from the line.
    pub largest_error: f64,
}

impl Line {
    /// Where the line is at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.slope * x + self.offset
    }
}

/// The line, or none where the points do not give one.
pub fn fit(points: &[Point]) -> Option<Line> {
    if points.len() < 2 {
        return None;
    }
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
    if spread == 0.0 {
        return None;
    }
    let together: f64 = points
        .iter()
        .map(|point| (point.x - mean_x) * (point.y - mean_y))
        .sum();
    let slope = together / spread;
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
