//! Time limits of steps, derived from what steps usually take.

use std::time::Duration;

const WEIGHT: f64 = 0.2;

/// Limits the time of the steps of one draft.
#[derive(Clone, Debug)]
pub struct StepLimits {
    /// The shortest limit of a decode step.
    pub step: Duration,
    /// The shortest limit of a prefill.
    pub prefill: Duration,
    /// How many times the usual time a step may take.
    pub factor: f64,
    /// The usual time of a decode step.
    pub usual: Duration,
    /// The usual time of one prefilled position.
    pub per_position: Duration,
}

impl StepLimits {
    /// Returns the limit of a step over a number of positions.
    pub fn of(&self, positions: u32) -> Duration {
        if positions <= 1 {
            return self.step.max(self.usual.mul_f64(self.factor));
        }
        let expected = self.usual + self.per_position * positions;
        self.prefill.max(expected.mul_f64(self.factor))
    }

    /// Takes over the predicted times of a chain, in microseconds.
    pub fn expect(&mut self, first_us: f32, token_us: f32, positions: u32) {
        let micros = |us: f32| Duration::from_micros(us.max(0.0) as u64);
        self.usual = micros(token_us);
        self.per_position = micros(first_us) / positions.max(1);
    }

    /// Takes in the time of a finished decode step.
    pub fn observe(&mut self, took: Duration) {
        if self.usual.is_zero() {
            self.usual = took;
            return;
        }
        self.usual = self.usual.mul_f64(1.0 - WEIGHT) + took.mul_f64(WEIGHT);
    }
}
