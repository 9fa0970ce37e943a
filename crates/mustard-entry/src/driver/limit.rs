//! Time limits of steps, derived from a moving average of step times.

use std::time::Duration;

/// The weight of the newest step in the moving average.
const SMOOTHING: f64 = 0.2;

/// The time limits of the steps of one completion request.
#[derive(Clone, Debug)]
pub struct StepLimits {
    /// The minimum time limit of a decode step.
    pub step: Duration,
    /// The minimum time limit of a prefill.
    pub prefill: Duration,
    /// The multiple of the expected time after which a step times out.
    pub factor: f64,
    /// The expected time of a decode step; zero if not known yet.
    pub usual: Duration,
    /// The expected time of one position of a prefill.
    pub per_position: Duration,
}

impl StepLimits {
    /// Returns the time limit of a step over `positions` positions.
    pub fn limit_for(&self, positions: u32) -> Duration {
        if positions <= 1 {
            return self.step.max(self.usual.mul_f64(self.factor));
        }
        let expected = self.usual + self.per_position * positions;
        self.prefill.max(expected.mul_f64(self.factor))
    }

    /// Sets the expected times from the predictions for a chain, in microseconds.
    ///
    /// `first_us` is the time of a prefill of `positions` positions.
    pub fn set_expected(&mut self, first_us: f32, token_us: f32, positions: u32) {
        let micros = |us: f32| Duration::from_micros(us.max(0.0) as u64);
        self.usual = micros(token_us);
        self.per_position = micros(first_us) / positions.max(1);
    }

    /// Adds the time of a finished decode step to the moving average.
    pub fn observe(&mut self, took: Duration) {
        if self.usual.is_zero() {
            self.usual = took;
            return;
        }
        self.usual = self.usual.mul_f64(1.0 - SMOOTHING) + took.mul_f64(SMOOTHING);
    }
}
