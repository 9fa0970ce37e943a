//! Fits straight lines to measured points.

use std::fmt;

/// A measured point: a count and a cost.
pub(super) type Point = (f64, f64);

/// A line `slope × count + base` fitted by least squares.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Line {
    /// Cost of one more of what is counted.
    pub(super) slope: f64,
    /// Cost at a count of zero.
    pub(super) base: f64,
    /// The root of the mean squared distance of the points from the line.
    pub(super) residual: f64,
}

impl Line {
    /// Fits a line; it is flat if all counts are equal.
    pub(super) fn fit(points: &[Point]) -> Self {
        let n = points.len().max(1) as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let sum_xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let base = mean_y - slope * mean_x;
        let squares = points.iter().map(|p| (p.1 - base - slope * p.0).powi(2));
        let residual = (squares.sum::<f64>() / n).sqrt();
        Line {
            slope,
            base,
            residual,
        }
    }

    /// Returns the cost at a count.
    pub(super) fn at(self, count: f64) -> f64 {
        self.slope * count + self.base
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.4} x count + {:.3} (residual {:.3})",
            self.slope, self.base, self.residual
        )
    }
}
