//! A straight line through measured points.

use std::fmt;

/// A cost as base plus slope times size.
#[derive(Debug)]
pub(crate) struct Slope {
    name: String,
    base: f64,
    slope: f64,
    /// The largest distance of a point from the line.
    residual: f64,
}

impl Slope {
    /// Fits a line by least squares; none for fewer than three points.
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
        let distance = |p: &(f64, f64)| (p.1 - base - slope * p.0).abs();
        Some(Slope {
            name: name.to_owned(),
            base,
            slope,
            residual: points.iter().map(distance).fold(0.0, f64::max),
        })
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {:.2} us + {:.4} us x size, residual {:.2} us",
            self.name, self.base, self.slope, self.residual
        )
    }
}
