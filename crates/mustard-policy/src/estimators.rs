//! Online estimators that learn from observations; all but [`QuantileEstimator`] can be shared by
//! threads without a lock.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Packs two values into one word, so that both are updated by one atomic operation.
fn pack(high: f32, low: f32) -> u64 {
    u64::from(high.to_bits()) << 32 | u64::from(low.to_bits())
}

fn unpack(bits: u64) -> (f32, f32) {
    (
        f32::from_bits((bits >> 32) as u32),
        f32::from_bits(bits as u32),
    )
}

/// An exponentially weighted moving average, with the number of its observations.
#[derive(Debug)]
pub struct Ewma {
    /// The mean and the count.
    bits: AtomicU64,
    weight: f32,
}

impl Ewma {
    /// Creates a mean that starts at a prior; after the first `1 / weight` observations each has
    /// about the weight `weight`.
    ///
    /// The first observations weigh more, so that the prior fades quickly.
    pub fn new(prior: f32, weight: f32) -> Self {
        Ewma {
            bits: AtomicU64::new(pack(prior, 0.0)),
            weight,
        }
    }

    /// Returns the mean.
    pub fn get(&self) -> f32 {
        unpack(self.bits.load(Ordering::Relaxed)).0
    }

    /// Returns the number of observations, at most `1 / weight`.
    pub fn count(&self) -> f32 {
        unpack(self.bits.load(Ordering::Relaxed)).1
    }

    /// Adds an observation; one that isn't finite is ignored.
    pub fn observe(&self, x: f32) {
        if !x.is_finite() {
            return;
        }
        let next = |bits| {
            let (mean, count) = unpack(bits);
            let count = (count + 1.0).min(1.0 / self.weight);
            Some(pack(mean + (x - mean) / (count + 1.0), count))
        };
        let _ = self
            .bits
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
    }
}

/// An estimate of the lowest recent values: it falls fast and rises slowly.
#[derive(Debug)]
pub struct RunningMinimum {
    /// The minimum; the other half is unused.
    bits: AtomicU64,
}

impl RunningMinimum {
    /// The weight of an observation below the minimum.
    const FALL_WEIGHT: f32 = 0.2;
    /// The weight of an observation above it.
    const RISE_WEIGHT: f32 = 0.000_5;

    /// Creates a minimum that starts at a prior.
    pub fn new(prior: f32) -> Self {
        RunningMinimum {
            bits: AtomicU64::new(pack(prior, 0.0)),
        }
    }

    /// Returns the minimum.
    pub fn get(&self) -> f32 {
        unpack(self.bits.load(Ordering::Relaxed)).0
    }

    /// Adds an observation; one that isn't finite is ignored.
    pub fn observe(&self, x: f32) {
        if !x.is_finite() {
            return;
        }
        let next = |bits| {
            let (minimum, _) = unpack(bits);
            let weight = if x < minimum {
                Self::FALL_WEIGHT
            } else {
                Self::RISE_WEIGHT
            };
            Some(pack(minimum + weight * (x - minimum), 0.0))
        };
        let _ = self
            .bits
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
    }
}

/// A line `base + slope * x`, fitted to observations by normalized least mean squares.
#[derive(Debug)]
pub struct LinearEstimator {
    /// The base and the slope.
    bits: AtomicU64,
    count: AtomicU32,
    x_scale: f32,
    min_rate: f32,
}

impl LinearEstimator {
    /// The prior weighs as much as this number of observations.
    const PRIOR_COUNT: f32 = 10.0;

    /// Creates an estimator from a prior; `x_scale` is a usual value of `x`, and `min_rate` the
    /// least learning rate: the part of its error that an observation corrects. The first
    /// observations correct more.
    pub fn new(base: f32, slope: f32, x_scale: f32, min_rate: f32) -> Self {
        LinearEstimator {
            bits: AtomicU64::new(pack(base, slope)),
            count: AtomicU32::new(0),
            x_scale,
            min_rate,
        }
    }

    /// Returns base and slope.
    pub fn get(&self) -> (f32, f32) {
        unpack(self.bits.load(Ordering::Relaxed))
    }

    /// Returns the value at `x`.
    pub fn predict(&self, x: f32) -> f32 {
        let (base, slope) = self.get();
        base + slope * x
    }

    /// Resets the learning rate to that of the first observations, for values that changed
    /// suddenly.
    pub fn restart(&self) {
        self.count.store(0, Ordering::Relaxed);
    }

    /// Adds the value `y` observed at `x`; base and slope never become negative.
    pub fn observe(&self, x: f32, y: f32) {
        if !(x.is_finite() && y.is_finite()) {
            return;
        }
        let scaled_x = x / self.x_scale;
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        let rate = (1.0 / (count as f32 + Self::PRIOR_COUNT)).max(self.min_rate);
        let next = |bits| {
            let (base, slope) = unpack(bits);
            let step = rate * (y - base - slope * x) / (1.0 + scaled_x * scaled_x);
            let base = (base + step).max(0.0);
            let slope = (slope + step * scaled_x / self.x_scale).max(0.0);
            Some(pack(base, slope))
        };
        let _ = self
            .bits
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
    }
}

/// Estimates a quantile of a ratio: each observation moves the estimate a small step up or down.
#[derive(Clone, Copy, Debug)]
pub struct QuantileEstimator {
    value: f32,
    quantile: f32,
    step: f32,
    min: f32,
    max: f32,
}

impl QuantileEstimator {
    /// Creates an estimate of a quantile, such as 0.95, that stays within `min..=max`. Each
    /// observation moves the estimate by a part of `step`.
    pub fn new(quantile: f32, step: f32, min: f32, max: f32) -> Self {
        QuantileEstimator {
            value: min.max(1.0),
            quantile,
            step,
            min,
            max,
        }
    }

    /// Returns the estimate.
    pub fn get(&self) -> f32 {
        self.value
    }

    /// Adds an observation.
    pub fn observe(&mut self, x: f32) {
        let delta = if x > self.value {
            self.step * self.quantile
        } else {
            -self.step * (1.0 - self.quantile)
        };
        self.value = (self.value + delta).clamp(self.min, self.max);
    }
}
