//! One server as one gateway sees it.

use std::rc::Rc;
use std::time::Duration;

use mustard_core::arena::Key;
use mustard_core::clock::Moment;
use mustard_core::deployment::{Engine, Held, Life, Report, ServerEntry};
use mustard_core::ids::Layers;
use mustard_policy::pipeline::{Holder, Site};
use mustard_policy::suspicion::Suspicion;

use super::Turn;

/// Names a server in the fleet.
pub type ServerKey = Key<Server>;

/// How long a server without a row gets requests that no other can serve; shorter than the time
/// for which a leaving server goes on serving.
const LAST_RESORT: Duration = Duration::from_millis(1_700);
/// How long a reported slowness is believed.
const PACE_AGE: Duration = Duration::from_millis(3_000);
/// How long a server that is out of use stays covered by the plan; a process that restarts is
/// back within a few seconds, and loading its layers elsewhere takes about as long.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// How long a row lags behind what its server holds: a heartbeat and the time of the feed.
const ROW_LAG: Duration = Duration::from_millis(1_500);
/// The time after which an order without effect is given up, over the time to load.
const ORDER_MARGIN: Duration = Duration::from_millis(4_000);

/// Layers that a server was ordered to hold.
#[derive(Clone, Copy, Debug)]
pub struct Loading {
    /// The layers.
    pub layers: Layers,
    /// When the order is given up.
    pub until: Moment,
}

/// A server, what it said and what was seen of it.
#[derive(Clone, Debug)]
pub struct Server {
    /// What it says of itself.
    pub entry: ServerEntry,
    /// The index of its failure domain.
    pub domain: u32,
    /// Whether it is left out for a while.
    pub suspicion: Suspicion,
    /// When its row vanished, if that is not yet certain.
    pub missing: Option<Moment>,
    /// What it was ordered to hold.
    pub loading: Option<Loading>,
    /// Memory in use by this gateway's requests, in tokens times layers.
    pub used: f64,
    /// This gateway's requests that it runs.
    pub running: u32,
    /// When it last failed to answer.
    pub silent: Option<Moment>,
    /// What it last answered, and when.
    pub reported: Option<(Moment, Rc<Report>)>,
}

impl Server {
    /// Creates a server that was just listed.
    pub fn new(_now: Moment, entry: ServerEntry, domain: u32) -> Self {
        Server {
            entry,
            domain,
            suspicion: Suspicion::default(),
            missing: None,
            loading: None,
            used: 0.0,
            running: 0,
            silent: None,
            reported: None,
        }
    }

    /// Takes in a newer row.
    pub fn update(&mut self, now: Moment, entry: ServerEntry) -> Turn {
        let reborn = entry.born != self.entry.born;
        let left = entry.life == Life::Leaving && self.entry.life == Life::Ready;
        let holds = entry.held != self.entry.held;
        self.missing = None;
        if reborn {
            *self = Server {
                used: self.used,
                running: self.running,
                ..Server::new(now, entry, self.domain)
            };
            return Turn::Joined;
        }
        // A server never takes back that it is leaving within one life.
        let life = self.entry.life;
        self.entry = entry;
        if life == Life::Leaving {
            self.entry.life = Life::Leaving;
        }
        let loaded = self.loading.is_some_and(|l| self.holds(l.layers));
        if loaded {
            self.loading = None;
            self.suspicion.clear();
        }
        match (left, holds) {
            (true, _) => Turn::Left,
            (false, true) => Turn::Holds,
            _ => Turn::Same,
        }
    }

    /// Takes in what the server answered just now.
    pub fn take_report(&mut self, now: Moment, report: Rc<Report>) {
        if report.born != 0 && self.entry.born != 0 && report.born < self.entry.born {
            return;
        }
        if self.silent.take().is_some() {
            self.suspicion.clear();
        }
        self.entry.held = report.held;
        if self.loading.is_some_and(|l| self.holds(l.layers)) {
            self.loading = None;
        }
        self.reported = Some((now, report));
    }

    /// Tells whether new requests may be sent to it.
    pub fn is_usable(&self, now: Moment) -> bool {
        self.is_staying()
            && self.silent.is_none()
            && self.missing.is_none()
            && !self.suspicion.is_out(now)
    }

    /// Tells whether it has not announced that it is leaving.
    pub fn is_staying(&self) -> bool {
        self.entry.life == Life::Ready
    }

    /// Tells whether new requests may be sent to it where no listed server will do.
    ///
    /// Its row vanished while the store was in trouble, and it may still come back.
    pub fn is_last_resort(&self, now: Moment) -> bool {
        let missing = self.missing.is_none_or(|m| now.since(m) < LAST_RESORT);
        self.is_staying() && self.silent.is_none() && missing && !self.suspicion.is_out(now)
    }

    /// Returns the layers that it holds.
    pub fn layers(&self) -> Option<Held> {
        self.entry.held
    }

    fn holds(&self, layers: Layers) -> bool {
        self.entry.held.is_some_and(|h| h.layers == layers)
    }

    fn slowness(&self, now: Moment) -> f64 {
        let fresh = self
            .reported
            .as_ref()
            .filter(|(at, _)| now.since(*at) < PACE_AGE);
        fresh.map_or(1.0, |(_, report)| report.pace.max(1.0))
    }

    /// Returns the server as a request sees it, if it holds layers.
    pub fn holder(&self, engine: &Engine, now: Moment, gateways: f64) -> Option<Holder> {
        let held = self.entry.held?;
        if self.is_loading(now) {
            // It is giving up what it holds.
            return None;
        }
        let accelerator = engine.accelerator(self.entry.accelerator.as_deref()?)?;
        let slow = self.slowness(now);
        let layers_mb = f64::from(held.layers.count()) * engine.layer_mb;
        let room_mb = (accelerator.memory_mb - layers_mb).max(1.0);
        let used_mb = self.used * gateways * engine.token_layer_mb();
        Some(Holder {
            addr: self.entry.addr,
            domain: self.domain,
            layers: held.layers,
            pace: accelerator.pace * slow,
            read_factor: accelerator.read_factor * slow,
            used: used_mb / room_mb,
        })
    }

    /// Returns the server as the placement sees it, unless its accelerator isn't known.
    pub fn site(&self, index: usize, engine: &Engine, now: Moment) -> Option<Site> {
        let accelerator = engine.accelerator(self.entry.accelerator.as_deref()?)?;
        let loading = self.loading.filter(|l| now < l.until);
        let lost = self.silent.is_some_and(|s| now.since(s) >= PATIENCE);
        Some(Site {
            index,
            domain: self.domain,
            memory_mb: accelerator.memory_mb,
            pace: accelerator.pace,
            held: loading
                .map(|l| l.layers)
                .or(self.entry.held.map(|h| h.layers)),
            free: loading.is_none() && self.silent.is_none() && self.missing.is_none(),
            stays: self.entry.life == Life::Ready && !lost,
        })
    }

    /// Takes in that another process has just ordered something of the server, whose row will
    /// show it soon.
    pub fn wait_for_row(&mut self, now: Moment, layers: Layers) {
        self.loading = Some(Loading {
            layers,
            until: now + ROW_LAG,
        });
    }

    /// Tells whether an order is being carried out.
    pub fn is_loading(&self, now: Moment) -> bool {
        self.loading.is_some_and(|l| now < l.until)
    }

    /// Takes in that the server was ordered to hold layers.
    pub fn begin_loading(&mut self, now: Moment, layers: Layers, time: Duration) {
        self.loading = Some(Loading {
            layers,
            until: now + time + ORDER_MARGIN,
        });
    }
}
