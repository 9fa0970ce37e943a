//! Predicts how long requests take and how fast waiting work starts, from earlier requests.

use std::time::Duration;

use mustard_core::clock::Moment;

use super::types::Forecast;
use crate::estimators::QuantileEstimator;

/// The weight of the newest forecast in the mean.
const FORECAST_WEIGHT: f32 = 0.05;
/// The margin is the ratio of actual to forecast times that this share of requests doesn't exceed.
const MARGIN_QUANTILE: f32 = 0.95;
const MARGIN_STEP: f32 = 0.02;
const MIN_MARGIN: f32 = 1.0;
const MAX_MARGIN: f32 = 4.0;
/// The time over which the start rate is measured once; requests must wait throughout.
const RATE_WINDOW: Duration = Duration::from_millis(200);
/// The weight of the newest measurement in the start rate.
const RATE_WEIGHT: f64 = 0.2;

/// Estimates of one queue.
#[derive(Debug)]
pub(super) struct Predictor {
    mean_forecast: Option<Forecast>,
    /// The ratio of actual to forecast times.
    margin: QuantileEstimator,
    /// The cost, in tokens, of the requests started per second while others wait.
    start_rate: Option<f64>,
    /// The length of the current rate window so far.
    window_time: Duration,
    /// The cost of the requests started in the current rate window, in tokens.
    window_cost: f64,
    last_update: Moment,
}

impl Predictor {
    pub(super) fn new() -> Self {
        Predictor {
            mean_forecast: None,
            margin: QuantileEstimator::new(MARGIN_QUANTILE, MARGIN_STEP, MIN_MARGIN, MAX_MARGIN),
            start_rate: None,
            window_time: Duration::ZERO,
            window_cost: 0.0,
            last_update: Moment::default(),
        }
    }

    /// Returns the mean forecast of recent requests; none before the first request has started.
    pub(super) fn mean_forecast(&self) -> Option<Forecast> {
        self.mean_forecast
    }

    /// Returns how long a request takes by its forecast, including the margin.
    pub(super) fn predict_duration(&self, forecast: Forecast, tokens: u32) -> Duration {
        let us = forecast.total_us(tokens) * self.margin.get();
        Duration::from_micros(us as u64)
    }

    /// Returns the ratio of actual to forecast times that 95 in 100 requests don't exceed.
    pub(super) fn margin(&self) -> f32 {
        self.margin.get()
    }

    /// Records the forecast and the cost of a request that starts.
    pub(super) fn record_start(&mut self, forecast: Forecast, cost: f64) {
        self.window_cost += cost;
        let mean = self.mean_forecast.get_or_insert(forecast);
        mean.first_us += FORECAST_WEIGHT * (forecast.first_us - mean.first_us);
        mean.token_us += FORECAST_WEIGHT * (forecast.token_us - mean.token_us);
    }

    /// Records how long a request took; `forecast_us` is its forecast time without the margin.
    pub(super) fn record_finish(&mut self, forecast_us: f32, actual: Duration) {
        if forecast_us > 0.0 {
            self.margin.observe(actual.as_micros() as f32 / forecast_us);
        }
    }

    /// Records that time passed, and whether requests were waiting meanwhile.
    ///
    /// The start rate is measured only while requests wait; otherwise it would show how much work
    /// was offered, not how much can start.
    pub(super) fn record_time(&mut self, now: Moment, backlogged: bool) {
        let elapsed = now.since(self.last_update);
        self.last_update = now;
        if !backlogged {
            self.window_time = Duration::ZERO;
            self.window_cost = 0.0;
            return;
        }
        self.window_time += elapsed;
        if self.window_time < RATE_WINDOW {
            return;
        }
        let rate = self.window_cost / self.window_time.as_secs_f64();
        let old = self.start_rate.unwrap_or(rate);
        self.start_rate = Some(old + RATE_WEIGHT * (rate - old));
        self.window_time = Duration::ZERO;
        self.window_cost = 0.0;
    }

    /// Returns the cost, in tokens, of the requests started per second while others wait; none if it
    /// is zero or not measured yet.
    pub(super) fn start_rate(&self) -> Option<f64> {
        self.start_rate.filter(|r| *r > 0.0)
    }
}
