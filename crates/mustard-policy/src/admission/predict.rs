//! Predictions that learn: usual times, their margin, and the rate at which work starts.

use std::time::Duration;

use mustard_core::clock::Moment;

use super::types::Forecast;
use crate::learn::Quantile;

const FORECAST_WEIGHT: f32 = 0.05;
const MARGIN_SHARE: f32 = 0.95;
const MARGIN_STEP: f32 = 0.02;
/// The share of times between tokens that may exceed the wanted one.
const GAP_EXCESS: f32 = 0.05;
/// The number of times between tokens and the time that one correction of the pace looks at.
const GAP_COUNT: u32 = 50;
const GAP_WINDOW: Duration = Duration::from_millis(100);
const PACE_DOWN: f32 = 0.05;
const PACE_UP: f32 = 0.01;
const PACE_LOW: f32 = 0.25;
const PACE_HIGH: f32 = 0.9;
const PACE_START: f32 = 0.6;
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
    pace: Pace,
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
            pace: Pace::default(),
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

    /// Takes in a time between two tokens and the wanted one.
    pub(super) fn gap(&mut self, now: Moment, gap: Duration, wanted: Duration) {
        self.pace.observe(now, gap > wanted);
    }

    /// Returns the share of the wanted time between tokens that a forecast may reach.
    pub(super) fn pace(&self) -> f32 {
        self.pace.share
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

/// Keeps the share of late tokens at its target by the pace that forecasts may reach.
#[derive(Debug)]
struct Pace {
    share: f32,
    count: u32,
    late: u32,
    since: Moment,
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            share: PACE_START,
            count: 0,
            late: 0,
            since: Moment::default(),
        }
    }
}

impl Pace {
    fn observe(&mut self, now: Moment, late: bool) {
        self.count += 1;
        self.late += u32::from(late);
        if self.count < GAP_COUNT || now.since(self.since) < GAP_WINDOW {
            return;
        }
        let excess = self.late as f32 / self.count as f32 / GAP_EXCESS - 1.0;
        // Additive up and multiplicative down lets entry processes converge to equal parts.
        let next = if excess > 0.0 {
            self.share * (1.0 - PACE_DOWN * excess.min(1.0))
        } else {
            self.share + PACE_UP
        };
        self.share = next.clamp(PACE_LOW, PACE_HIGH);
        (self.count, self.late, self.since) = (0, 0, now);
    }
}
