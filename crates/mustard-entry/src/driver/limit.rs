//! Time limits of steps, derived from their expected times.
//!
//! The expected time of a decode step starts at the prediction for the chain and follows the steps
//! that finish, as a moving average. That of a prefill is the prediction alone.

use std::time::Duration;

/// The weight of the newest decode step in the moving average.
const SMOOTHING: f64 = 0.2;

/// The time limits of the steps of one completion request.
#[derive(Clone, Debug)]
pub struct StepLimits {
    /// The shortest time limit of a decode step.
    pub min_decode: Duration,
    /// The shortest time limit of a prefill.
    pub min_prefill: Duration,
    /// The multiple of the expected time after which a step times out.
    pub factor: f64,
    /// The expected time of a decode step; zero until a prediction or a finished step gives it.
    pub decode_time: Duration,
    /// The expected time of a prefill per position.
    pub position_time: Duration,
}

impl StepLimits {
    /// Returns the time limit of a step over `positions` positions: a decode step has one, a
    /// prefill has more.
    ///
    /// A prefill is expected to take the predicted time of its positions and that of one decode
    /// step more.
    pub fn limit_for(&self, positions: u32) -> Duration {
        if positions <= 1 {
            return self.min_decode.max(self.decode_time.mul_f64(self.factor));
        }
        let expected = self.decode_time + self.position_time * positions;
        self.min_prefill.max(expected.mul_f64(self.factor))
    }

    /// Sets the expected times from the predictions for a chain, in microseconds.
    ///
    /// `first_us` is the time to the first token, that is, of the prefill of `positions`
    /// positions; `token_us` is the time per token after it.
    pub fn set_expected(&mut self, first_us: f32, token_us: f32, positions: u32) {
        let micros = |us: f32| Duration::from_micros(us.max(0.0) as u64);
        self.decode_time = micros(token_us);
        self.position_time = micros(first_us) / positions.max(1);
    }

    /// Adds the time of a finished decode step to the moving average.
    pub fn observe(&mut self, took: Duration) {
        if self.decode_time.is_zero() {
            self.decode_time = took;
            return;
        }
        self.decode_time = self.decode_time.mul_f64(1.0 - SMOOTHING) + took.mul_f64(SMOOTHING);
    }
}
