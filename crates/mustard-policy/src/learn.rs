//! Estimators that learn from observations without a lock.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

fn pack(a: f32, b: f32) -> u64 {
    u64::from(a.to_bits()) << 32 | u64::from(b.to_bits())
}

fn unpack(bits: u64) -> (f32, f32) {
    (
        f32::from_bits((bits >> 32) as u32),
        f32::from_bits(bits as u32),
    )
}

/// An exponentially weighted mean and the number of its observations.
#[derive(Debug)]
pub struct Ewma {
    bits: AtomicU64,
    weight: f32,
}

impl Ewma {
    /// Creates a mean that starts at a prior and moves by `weight` with each observation.
    ///
    /// The first observations weigh more, so the prior fades quickly.
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

    /// Returns the number of observations, up to `1 / weight`.
    pub fn count(&self) -> f32 {
        unpack(self.bits.load(Ordering::Relaxed)).1
    }

    /// Takes in an observation.
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

/// A floor that follows the least of recent observations: down fast, up slowly.
#[derive(Debug)]
pub struct Floor {
    bits: AtomicU64,
}

impl Floor {
    const DOWN: f32 = 0.2;
    const UP: f32 = 0.000_5;

    /// Creates a floor that starts at a prior.
    pub fn new(prior: f32) -> Self {
        Floor {
            bits: AtomicU64::new(pack(prior, 0.0)),
        }
    }

    /// Returns the floor.
    pub fn get(&self) -> f32 {
        unpack(self.bits.load(Ordering::Relaxed)).0
    }

    /// Takes in an observation.
    pub fn observe(&self, x: f32) {
        if !x.is_finite() {
            return;
        }
        let next = |bits| {
            let (floor, _) = unpack(bits);
            let weight = if x < floor { Self::DOWN } else { Self::UP };
            Some(pack(floor + weight * (x - floor), 0.0))
        };
        let _ = self
            .bits
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
    }
}

/// A line `base + slope * x` that follows observations by normalized least mean squares.
#[derive(Debug)]
pub struct Line {
    bits: AtomicU64,
    count: AtomicU32,
    scale: f32,
    rate: f32,
}

impl Line {
    /// The number of observations that the prior stands for.
    const PRIOR_COUNT: f32 = 10.0;

    /// Creates a line; `scale` is a usual value of `x` and `rate` the least part of an error by
    /// which an observation moves the line. The first observations move it further.
    pub fn new(base: f32, slope: f32, scale: f32, rate: f32) -> Self {
        Line {
            bits: AtomicU64::new(pack(base, slope)),
            count: AtomicU32::new(0),
            scale,
            rate,
        }
    }

    /// Returns base and slope.
    pub fn get(&self) -> (f32, f32) {
        unpack(self.bits.load(Ordering::Relaxed))
    }

    /// Returns the value at `x`.
    pub fn at(&self, x: f32) -> f32 {
        let (base, slope) = self.get();
        base + slope * x
    }

    /// Lets the next observations move the line as far as the first ones did.
    pub fn restart(&self) {
        self.count.store(0, Ordering::Relaxed);
    }

    /// Takes in the value `y` observed at `x`; base and slope never become negative.
    pub fn observe(&self, x: f32, y: f32) {
        if !(x.is_finite() && y.is_finite()) {
            return;
        }
        let u = x / self.scale;
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        let rate = (1.0 / (count as f32 + Self::PRIOR_COUNT)).max(self.rate);
        let next = |bits| {
            let (base, slope) = unpack(bits);
            let step = rate * (y - base - slope * x) / (1.0 + u * u);
            let base = (base + step).max(0.0);
            let slope = (slope + step * u / self.scale).max(0.0);
            Some(pack(base, slope))
        };
        let _ = self
            .bits
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
    }
}

/// Follows a quantile of a ratio by small steps up and down.
#[derive(Clone, Copy, Debug)]
pub struct Quantile {
    value: f32,
    share: f32,
    step: f32,
    low: f32,
    high: f32,
}

impl Quantile {
    /// Creates a follower of the quantile `share` that stays within `low..=high`.
    pub fn new(share: f32, step: f32, low: f32, high: f32) -> Self {
        Quantile {
            value: low.max(1.0),
            share,
            step,
            low,
            high,
        }
    }

    /// Returns the estimate.
    pub fn get(&self) -> f32 {
        self.value
    }

    /// Takes in an observation.
    pub fn observe(&mut self, x: f32) {
        let delta = if x > self.value {
            self.step * self.share
        } else {
            -self.step * (1.0 - self.share)
        };
        self.value = (self.value + delta).clamp(self.low, self.high);
    }
}
