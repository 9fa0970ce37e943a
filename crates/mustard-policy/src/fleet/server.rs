//! One server: its info, its state, and its counters and estimates.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering};

use mustard_core::arena::Key;
use mustard_core::clock::Moment;
use mustard_core::ids::{Incarnation, Layers};

use crate::estimators::{Ewma, LinearEstimator, RunningMinimum};

/// The key of a server in a [`Fleet`](super::Fleet).
pub type ServerKey = Key<Server>;

/// The initial estimate for the fixed part of a decode step.
const PRIOR_STEP_US: f32 = 2_000.0;
/// The initial estimate for the time that each request in flight adds to a decode step.
const PRIOR_SLOPE_US: f32 = 20.0;
/// The initial estimate for one prefilled position.
const PRIOR_PREFILL_US: f32 = 50.0;
/// The initial estimate for a call of a plain service.
const PRIOR_CALL_US: f32 = 5_000.0;
/// The initial estimate for the round trip between this process and a server.
const PRIOR_ROUND_TRIP_US: f32 = 300.0;
/// A typical number of requests in flight, the scale of that number in the line fitted to step
/// times.
const TYPICAL_WORK: f32 = 32.0;
/// The least learning rate of that line: the part of its error that one observation corrects.
const MIN_LEARNING_RATE: f32 = 0.001;
/// The weight of a step in the short-term mean, which reveals a server that has become slow.
const RECENT_WEIGHT: f32 = 0.1;
/// A step time is estimated to be at least this share of the short-term mean, so that a server that
/// has become slow is avoided before the fitted line follows. While no step is observed, this fades
/// like the rest of the estimate.
const RECENT_SHARE: f32 = 0.5;
/// The factor between the short-term mean and the fitted line, in either direction, beyond which
/// the server counts as changed and the line is fitted anew.
const CHANGE_FACTOR: f32 = 3.0;
/// The factor over the expected step time at which an observation is capped before the fit.
const OUTLIER_FACTOR: f32 = 3.0;
/// The age of the last observed step at which the delay over the floor (the step time without other
/// requests) counts half, so that a server that is avoided for its delay gets requests again.
const STEP_HALF_AGE_US: f32 = 1_000_000.0;
/// The weight of one observation in the means of prefill, round trip and call times.
const EWMA_WEIGHT: f32 = 0.05;
/// The stored weight of a server that gets its usual share of work; weights are in thousandths.
const FULL_WEIGHT: u32 = 1_000;
/// The memory in use, in thousandths, from which a server counts as full.
const FULL_MEMORY: u32 = 970;
/// The age at which a load report counts half.
const REPORT_HALF_AGE_US: f32 = 500_000.0;

/// What a server does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It is a stage: it runs layers of a model.
    Stage {
        /// The name of the model.
        model: String,
        /// The layers that it holds; a chain uses all of them or none.
        layers: Layers,
        /// The kind of its accelerator.
        accelerator: String,
    },
    /// It is a plain service.
    Service {
        /// The name of the service.
        service: String,
    },
    /// It holds nothing yet.
    Idle,
}

/// What is reported about a server, in contrast to what is estimated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerInfo {
    /// The name of its VM, which identifies the server.
    pub vm: String,
    /// The address at which its agent takes messages.
    pub addr: SocketAddr,
    /// The name of its failure domain.
    pub domain: String,
    /// The incarnation of its agent; a restarted agent has another.
    pub incarnation: Incarnation,
    /// What it does.
    pub role: Role,
}

/// Whether a server may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum State {
    /// It gets new work.
    Ready,
    /// It may have failed; it gets new work only where no other server can do it.
    Suspect,
    /// It finishes its running work and gets no new work.
    Leaving,
    /// It is gone and gets no work.
    Dead,
}

impl State {
    fn from_code(code: u8) -> Self {
        match code {
            0 => State::Ready,
            1 => State::Suspect,
            2 => State::Leaving,
            _ => State::Dead,
        }
    }
}

/// A load report of a server; it is out of date by the time that it takes to arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Sequences or calls in flight, from all entry processes.
    pub running: u32,
    /// Sequences or calls that wait in the server's queue.
    pub queued: u32,
    /// The share in use of the memory for sequences, in thousandths.
    pub memory: u32,
}

/// The counters and estimates of one incarnation of a server, shared by all views.
#[derive(Debug)]
pub struct ServerStats {
    state: AtomicU8,
    /// The share of its usual work that the server should get, in thousandths.
    weight: AtomicU32,
    /// The requests in flight from this process.
    in_flight: AtomicU32,
    /// The requests from other processes, in flight or queued, by the last report.
    other_requests: AtomicU32,
    /// The share of memory in use, in thousandths, by the last report.
    memory: AtomicU32,
    /// When the last report arrived.
    reported_at: AtomicU64,
    /// The line fitted to decode step times over the requests in flight.
    step_fit: LinearEstimator,
    /// The floor: the time of a decode step without other requests.
    min_step: RunningMinimum,
    /// The short-term mean of decode step times.
    recent_step: Ewma,
    /// When the last decode step was observed.
    observed_at: AtomicU64,
    /// The mean time per prefilled position.
    prefill: Ewma,
    /// The mean round trip between this process and the server.
    round_trip: Ewma,
    /// The mean time of a call of a plain service.
    call: Ewma,
}

impl Default for ServerStats {
    fn default() -> Self {
        ServerStats::with_prior(PRIOR_STEP_US, PRIOR_SLOPE_US, PRIOR_PREFILL_US)
    }
}

impl ServerStats {
    /// Creates estimates that start from given times, in microseconds: the fixed part of a decode
    /// step, what each request in flight adds to it, and a prefilled position.
    pub fn with_prior(step: f32, slope: f32, prefill: f32) -> Self {
        ServerStats {
            state: AtomicU8::new(State::Ready as u8),
            weight: AtomicU32::new(FULL_WEIGHT),
            in_flight: AtomicU32::new(0),
            other_requests: AtomicU32::new(0),
            memory: AtomicU32::new(0),
            reported_at: AtomicU64::new(0),
            step_fit: LinearEstimator::new(step, slope, TYPICAL_WORK, MIN_LEARNING_RATE),
            min_step: RunningMinimum::new(step + slope),
            recent_step: Ewma::new(step + slope, RECENT_WEIGHT),
            observed_at: AtomicU64::new(0),
            prefill: Ewma::new(prefill, EWMA_WEIGHT),
            round_trip: Ewma::new(PRIOR_ROUND_TRIP_US, EWMA_WEIGHT),
            call: Ewma::new(PRIOR_CALL_US, EWMA_WEIGHT),
        }
    }

    /// Returns the state.
    pub fn state(&self) -> State {
        State::from_code(self.state.load(Ordering::Relaxed))
    }

    /// Sets the state.
    pub fn set_state(&self, state: State) {
        self.state.store(state as u8, Ordering::Relaxed);
    }

    /// Returns the share of its usual work that the server should get, above zero and up to one.
    pub fn weight(&self) -> f32 {
        match self.weight.load(Ordering::Relaxed) {
            FULL_WEIGHT => 1.0,
            weight => weight as f32 / FULL_WEIGHT as f32,
        }
    }

    /// Sets the share of its usual work that the server should get; less than one while the load
    /// ramps up after its breaker has closed.
    pub fn set_weight(&self, weight: f32) {
        let weight = (weight * FULL_WEIGHT as f32) as u32;
        self.weight
            .store(weight.clamp(1, FULL_WEIGHT), Ordering::Relaxed);
    }

    /// Returns the number of requests of this process in flight at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Records a load report that was received now.
    pub fn report(&self, now: Moment, report: LoadReport) {
        let others = report.running + report.queued;
        let others = others.saturating_sub(self.in_flight());
        self.other_requests.store(others, Ordering::Relaxed);
        self.memory.store(report.memory, Ordering::Relaxed);
        self.reported_at.store(now.0, Ordering::Relaxed);
    }

    /// Estimates the work of the server, which is its number of requests in flight: those of this
    /// process and those of other processes, which weigh less the older the last report is.
    pub fn work(&self, now: Moment) -> f32 {
        let own = self.in_flight() as f32;
        let others = self.other_requests.load(Ordering::Relaxed);
        if others == 0 {
            return own;
        }
        own + others as f32 * self.report_weight(now)
    }

    /// Returns whether the last report leaves no memory for another sequence.
    #[inline]
    pub fn is_full(&self, now: Moment) -> bool {
        self.memory.load(Ordering::Relaxed) >= FULL_MEMORY && self.report_weight(now) > 0.5
    }

    /// Returns how much the last load report counts now, from one down to zero.
    fn report_weight(&self, now: Moment) -> f32 {
        age_weight(now, &self.reported_at, REPORT_HALF_AGE_US)
    }

    /// Updates the estimates with the time of one decode step at the server, in microseconds.
    pub fn observe_step(&self, now: Moment, us: f32) {
        let work = self.work(now);
        let ratio = self.recent_step.get() / self.step_fit.predict(work).max(1.0);
        if !(1.0 / CHANGE_FACTOR..CHANGE_FACTOR).contains(&ratio) {
            self.step_fit.restart();
        }
        let max_us = self.step_fit.predict(work).max(self.recent_step.get()) * OUTLIER_FACTOR;
        self.step_fit.observe(work, us.min(max_us));
        self.recent_step.observe(us);
        self.min_step.observe(us);
        self.observed_at.store(now.0, Ordering::Relaxed);
    }

    /// Updates the estimate with the time of one prefilled position, in microseconds.
    pub fn observe_prefill(&self, us: f32) {
        self.prefill.observe(us);
    }

    /// Updates the estimate with a round trip between this process and the server, in microseconds.
    pub fn observe_round_trip(&self, us: f32) {
        self.round_trip.observe(us);
    }

    /// Updates the estimate with the time of a call of a plain service, in microseconds.
    pub fn observe_call(&self, us: f32) {
        self.call.observe(us);
    }

    /// Predicts the time of one decode step with `work` requests in flight, in microseconds.
    ///
    /// The prediction falls towards the floor while no new step is observed.
    pub fn step_us(&self, now: Moment, work: f32) -> f32 {
        let estimated = self
            .step_fit
            .predict(work)
            .max(self.recent_step.get() * RECENT_SHARE);
        let floor = self.min_step.get();
        let weight = age_weight(now, &self.observed_at, STEP_HALF_AGE_US);
        floor + (estimated - floor).max(0.0) * weight
    }

    /// Returns the floor: the estimated time of a decode step without other requests, in
    /// microseconds.
    pub fn floor_us(&self) -> f32 {
        self.min_step.get()
    }

    /// Returns base and slope of the decode step's time over the requests in flight, in
    /// microseconds.
    pub fn step_fit(&self) -> (f32, f32) {
        self.step_fit.get()
    }

    /// Returns the estimated time of one prefilled position, in microseconds.
    pub fn prefill_us(&self) -> f32 {
        self.prefill.get()
    }

    /// Returns the estimated round trip between this process and the server, in microseconds.
    pub fn round_trip_us(&self) -> f32 {
        self.round_trip.get()
    }

    /// Returns the estimated time of a call of a plain service, in microseconds.
    pub fn call_us(&self) -> f32 {
        self.call.get()
    }
}

/// Returns how much an observation counts by its age: one when new, half at `half_age_us`.
fn age_weight(now: Moment, observed_at: &AtomicU64, half_age_us: f32) -> f32 {
    let age_us = now.0.saturating_sub(observed_at.load(Ordering::Relaxed)) as f32;
    half_age_us / (half_age_us + age_us)
}

/// A server in a view of the fleet.
#[derive(Clone, Debug)]
pub struct Server {
    info: Arc<ServerInfo>,
    stats: Arc<ServerStats>,
    domain: u16,
}

impl Server {
    /// Creates a server; `domain` is the index of its failure domain within the view.
    pub fn new(info: ServerInfo, stats: Arc<ServerStats>, domain: u16) -> Self {
        Server {
            info: Arc::new(info),
            stats,
            domain,
        }
    }

    /// Returns the index of the failure domain within the view.
    pub fn domain(&self) -> u16 {
        self.domain
    }

    /// Returns what is reported about the server.
    pub fn info(&self) -> &ServerInfo {
        &self.info
    }

    /// Returns the counters and estimates, which all views share.
    pub fn stats(&self) -> &Arc<ServerStats> {
        &self.stats
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn start_request(&self) -> InFlight {
        self.stats.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight {
            stats: Arc::clone(&self.stats),
        }
    }
}

/// A guard that counts one request as in flight at a server until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    stats: Arc<ServerStats>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.stats.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
