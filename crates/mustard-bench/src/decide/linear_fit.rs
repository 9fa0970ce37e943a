//! Least-squares line through measured costs.

use std::fmt;

/// A cost in microseconds, as base plus slope times size.
#[derive(Debug)]
pub(crate) struct LinearFit {
    name: String,
    base: f64,
    slope: f64,
    /// The largest absolute deviation of a point from the line.
    residual: f64,
}

impl LinearFit {
    /// Fits a line to points of size and microseconds; returns `None` for fewer than three.
    pub(crate) fn fit(name: &str, points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < 3 {
            return None;
        }
        let n = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let base = mean_y - slope * mean_x;
        let deviation = |p: &(f64, f64)| (p.1 - base - slope * p.0).abs();
        Some(LinearFit {
            name: name.to_owned(),
            base,
            slope,
            residual: points.iter().map(deviation).fold(0.0, f64::max),
        })
    }
}

impl fmt::Display for LinearFit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {:.2} us + {:.4} us x size, residual {:.2} us",
            self.name, self.base, self.slope, self.residual
        )
    }
}
