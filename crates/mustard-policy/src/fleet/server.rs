//! One server: its facts, its state and what was learned about it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering};

use mustard_core::arena::Key;
use mustard_core::clock::Moment;
use mustard_core::ids::{Incarnation, Layers};

use crate::learn::{Ewma, Floor, Line};

/// Addresses a server of a [`Fleet`](super::Fleet).
pub type ServerKey = Key<Server>;

const PRIOR_STEP_US: f32 = 2_000.0;
const PRIOR_SLOPE_US: f32 = 20.0;
const PRIOR_PREFILL_US: f32 = 50.0;
const PRIOR_CALL_US: f32 = 5_000.0;
const PRIOR_ENTRY_US: f32 = 300.0;
const USUAL_WORK: f32 = 32.0;
const STEP_RATE: f32 = 0.001;
/// The weight of a step in the short-term mean, which reveals a server that turned slow.
const RECENT_WEIGHT: f32 = 0.1;
/// The share of the short-term mean below which a prediction never falls.
const RECENT_SHARE: f32 = 0.5;
/// The factor between the short-term mean and the line at which the server counts as changed,
/// and the line is learned anew.
const TURNED: f32 = 3.0;
/// The factor over its prediction at which a step's time is cut off before it is learned from.
const OUTLIER: f32 = 3.0;
/// The age at which learned delay counts half, so that an avoided server is tried again.
const LEARNED_HALF_US: f32 = 1_000_000.0;
const EWMA_WEIGHT: f32 = 0.05;
const FULL_WEIGHT: u32 = 1_000;
const FULL_MEMORY: u32 = 970;
/// The age at which a load report counts half.
const REPORT_HALF_US: f32 = 500_000.0;

/// What a server does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It runs layers of a model.
    Stage {
        /// The model.
        model: String,
        /// The layers held; a chain uses all of them or none.
        layers: Layers,
        /// The kind of accelerator.
        accelerator: String,
    },
    /// It is a plain service.
    Service {
        /// The service.
        service: String,
    },
    /// It holds nothing yet.
    Idle,
}

/// What is known for certain about a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Facts {
    /// The VM, which names the server.
    pub vm: String,
    /// Where its agent takes messages.
    pub addr: SocketAddr,
    /// The failure domain.
    pub domain: String,
    /// The life of its agent.
    pub incarnation: Incarnation,
    /// What it does.
    pub role: Role,
}

/// Whether a server may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum State {
    /// It takes new work.
    Ready,
    /// It may have failed; it gets new work only where no other server can do it.
    Suspect,
    /// It ends what runs and takes nothing new.
    Leaving,
    /// It is gone.
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

/// A load report of a server, which arrives with a lag.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Sequences or calls in flight, of all entry processes.
    pub running: u32,
    /// Sequences or calls that wait.
    pub queued: u32,
    /// Share of the memory for sequences in use, in thousandths.
    pub memory: u32,
}

/// The counters and estimates of one life of a server, shared by all views.
#[derive(Debug)]
pub struct Live {
    state: AtomicU8,
    weight: AtomicU32,
    own: AtomicU32,
    others: AtomicU32,
    memory: AtomicU32,
    reported: AtomicU64,
    step: Line,
    floor: Floor,
    recent: Ewma,
    observed: AtomicU64,
    prefill: Ewma,
    entry: Ewma,
    call: Ewma,
}

impl Default for Live {
    fn default() -> Self {
        Live::with_prior(PRIOR_STEP_US, PRIOR_SLOPE_US, PRIOR_PREFILL_US)
    }
}

impl Live {
    /// Creates estimates that start from a prior, in microseconds.
    pub fn with_prior(step: f32, slope: f32, prefill: f32) -> Self {
        Live {
            state: AtomicU8::new(State::Ready as u8),
            weight: AtomicU32::new(FULL_WEIGHT),
            own: AtomicU32::new(0),
            others: AtomicU32::new(0),
            memory: AtomicU32::new(0),
            reported: AtomicU64::new(0),
            step: Line::new(step, slope, USUAL_WORK, STEP_RATE),
            floor: Floor::new(step + slope),
            recent: Ewma::new(step + slope, RECENT_WEIGHT),
            observed: AtomicU64::new(0),
            prefill: Ewma::new(prefill, EWMA_WEIGHT),
            entry: Ewma::new(PRIOR_ENTRY_US, EWMA_WEIGHT),
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

    /// Returns the share of usual work that the server should get, above zero and up to one.
    pub fn weight(&self) -> f32 {
        match self.weight.load(Ordering::Relaxed) {
            FULL_WEIGHT => 1.0,
            weight => weight as f32 / FULL_WEIGHT as f32,
        }
    }

    /// Sets the share of usual work, as a breaker in slow start gives it.
    pub fn set_weight(&self, weight: f32) {
        let weight = (weight * FULL_WEIGHT as f32) as u32;
        self.weight
            .store(weight.clamp(1, FULL_WEIGHT), Ordering::Relaxed);
    }

    /// Returns the requests of this process in flight at the server.
    pub fn own(&self) -> u32 {
        self.own.load(Ordering::Relaxed)
    }

    /// Takes in a load report received now.
    pub fn report(&self, now: Moment, report: Report) {
        let others = report.running + report.queued;
        let others = others.saturating_sub(self.own());
        self.others.store(others, Ordering::Relaxed);
        self.memory.store(report.memory, Ordering::Relaxed);
        self.reported.store(now.0, Ordering::Relaxed);
    }

    /// Estimates the work at the server: own work in flight and, fading with the age of the
    /// last report, that of other processes.
    pub fn work(&self, now: Moment) -> f32 {
        let own = self.own() as f32;
        let others = self.others.load(Ordering::Relaxed);
        if others == 0 {
            return own;
        }
        own + others as f32 * self.trust(now)
    }

    /// Tells whether the last report leaves no memory for another sequence.
    #[inline]
    pub fn is_full(&self, now: Moment) -> bool {
        self.memory.load(Ordering::Relaxed) >= FULL_MEMORY && self.trust(now) > 0.5
    }

    fn trust(&self, now: Moment) -> f32 {
        fade(now, &self.reported, REPORT_HALF_US)
    }

    /// Takes in the time of one decode step at the server, in microseconds.
    pub fn observe_step(&self, now: Moment, us: f32) {
        let work = self.work(now);
        let ratio = self.recent.get() / self.step.at(work).max(1.0);
        if !(1.0 / TURNED..TURNED).contains(&ratio) {
            self.step.restart();
        }
        let most = self.step.at(work).max(self.recent.get()) * OUTLIER;
        self.step.observe(work, us.min(most));
        self.recent.observe(us);
        self.floor.observe(us);
        self.observed.store(now.0, Ordering::Relaxed);
    }

    /// Takes in the time of one prefilled position, in microseconds.
    pub fn observe_prefill(&self, us: f32) {
        self.prefill.observe(us);
    }

    /// Takes in the round trip between this process and the server, in microseconds.
    pub fn observe_entry(&self, us: f32) {
        self.entry.observe(us);
    }

    /// Takes in the time of a call of a plain service, in microseconds.
    pub fn observe_call(&self, us: f32) {
        self.call.observe(us);
    }

    /// Predicts the time of one decode step with `work` requests in flight, in microseconds.
    ///
    /// What was learned fades towards the floor while nothing new is observed.
    pub fn step_us(&self, now: Moment, work: f32) -> f32 {
        let learned = self.step.at(work).max(self.recent.get() * RECENT_SHARE);
        let floor = self.floor.get();
        let trust = fade(now, &self.observed, LEARNED_HALF_US);
        floor + (learned - floor).max(0.0) * trust
    }

    /// Returns the time of a decode step without other work, in microseconds.
    pub fn floor_us(&self) -> f32 {
        self.floor.get()
    }

    /// Returns base and slope of the decode step over the work in flight, in microseconds.
    pub fn step_line(&self) -> (f32, f32) {
        self.step.get()
    }

    /// Returns the time of one prefilled position, in microseconds.
    pub fn prefill_us(&self) -> f32 {
        self.prefill.get()
    }

    /// Returns the round trip between this process and the server, in microseconds.
    pub fn entry_us(&self) -> f32 {
        self.entry.get()
    }

    /// Returns the time of a call of a plain service, in microseconds.
    pub fn call_us(&self) -> f32 {
        self.call.get()
    }
}

/// Returns how much an observation counts now: one when fresh, half at the age `half_us`.
fn fade(now: Moment, seen: &AtomicU64, half_us: f32) -> f32 {
    let age = now.0.saturating_sub(seen.load(Ordering::Relaxed)) as f32;
    half_us / (half_us + age)
}

/// A server of a view.
#[derive(Clone, Debug)]
pub struct Server {
    facts: Arc<Facts>,
    live: Arc<Live>,
    domain: u16,
}

impl Server {
    /// Creates a server from its facts, its estimates and the number of its failure domain.
    pub fn new(facts: Facts, live: Arc<Live>, domain: u16) -> Self {
        Server {
            facts: Arc::new(facts),
            live,
            domain,
        }
    }

    /// Returns the number of the failure domain within the view.
    pub fn domain(&self) -> u16 {
        self.domain
    }

    /// Returns the facts.
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// Returns the counters and estimates.
    pub fn live(&self) -> &Arc<Live> {
        &self.live
    }

    /// Counts a request in flight until the guard is dropped.
    pub fn begin(&self) -> InFlight {
        self.live.own.fetch_add(1, Ordering::Relaxed);
        InFlight {
            live: Arc::clone(&self.live),
        }
    }
}

/// Counts one request at a server; dropping it ends the count.
#[derive(Debug)]
pub struct InFlight {
    live: Arc<Live>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.live.own.fetch_sub(1, Ordering::Relaxed);
    }
}
