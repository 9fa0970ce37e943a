//! Predictions that learn: usual times, their margin, and the rate at which work starts.

use std::time::Duration;

use mustard_core::clock::Moment;

use super::types::Forecast;
use crate::learn::Quantile;

const FORECAST_WEIGHT: f32 = 0.05;
const MARGIN_SHARE: f32 = 0.95;
const MARGIN_STEP: f32 = 0.02;
const MARGIN_LOW: f32 = 1.0;
const MARGIN_HIGH: f32 = 4.0;
/// The backlogged time over which the rate of started work is averaged at once.
const RATE_WINDOW: Duration = Duration::from_millis(200);
const RATE_WEIGHT: f64 = 0.2;

/// Learned expectations of one queue.
#[derive(Debug)]
pub(super) struct Predictor {
    usual: Option<Forecast>,
    margin: Quantile,
    rate: Option<f64>,
    window: Duration,
    started: f64,
    seen: Moment,
}

impl Predictor {
    pub(super) fn new() -> Self {
        Predictor {
            usual: None,
            margin: Quantile::new(MARGIN_SHARE, MARGIN_STEP, MARGIN_LOW, MARGIN_HIGH),
            rate: None,
            window: Duration::ZERO,
            started: 0.0,
            seen: Moment::default(),
        }
    }

    /// Returns the usual forecast of recent requests.
    pub(super) fn usual(&self) -> Option<Forecast> {
        self.usual
    }

    /// Returns the time that a forecast stands for, with the learned margin.
    pub(super) fn time(&self, forecast: Forecast, tokens: u32) -> Duration {
        let us = forecast.total_us(tokens) * self.margin.get();
        Duration::from_micros(us as u64)
    }

    /// Returns the learned margin.
    pub(super) fn margin(&self) -> f32 {
        self.margin.get()
    }

    /// Takes in the forecast and the cost of a request that starts.
    pub(super) fn start(&mut self, forecast: Forecast, cost: f64) {
        self.started += cost;
        let usual = self.usual.get_or_insert(forecast);
        usual.first_us += FORECAST_WEIGHT * (forecast.first_us - usual.first_us);
        usual.token_us += FORECAST_WEIGHT * (forecast.token_us - usual.token_us);
    }

    /// Takes in how long a request took compared to its forecast.
    pub(super) fn finish(&mut self, predicted_us: f32, took: Duration) {
        if predicted_us > 0.0 {
            self.margin.observe(took.as_micros() as f32 / predicted_us);
        }
    }

    /// Takes in that time passed, with requests waiting through it or not.
    pub(super) fn pass(&mut self, now: Moment, backlogged: bool) {
        let passed = now.since(self.seen);
        self.seen = now;
        if !backlogged {
            self.window = Duration::ZERO;
            self.started = 0.0;
            return;
        }
        self.window += passed;
        if self.window < RATE_WINDOW {
            return;
        }
        let rate = self.started / self.window.as_secs_f64();
        let old = self.rate.unwrap_or(rate);
        self.rate = Some(old + RATE_WEIGHT * (rate - old));
        self.window = Duration::ZERO;
        self.started = 0.0;
    }

    /// Returns the cost that starts per second while requests wait, once known.
    pub(super) fn rate(&self) -> Option<f64> {
        self.rate.filter(|r| *r > 0.0)
    }
}
