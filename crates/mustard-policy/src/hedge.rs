//! Second copies of slow requests: when one may be sent, and how many.
//!
//! A second copy of a request is sent to another server once the request takes longer than 95 in 100
//! requests of its route. Copies shorten the slowest answers if single servers are slow, and lengthen all
//! answers if the whole service is. They are therefore limited in three ways that hold at the same time: to
//! a share of the requests, to a rate over all gateways, and to half of what is left of the retry budget.
//! None is sent while the service has no room.

use std::time::Duration;

use thiserror::Error;

use mustard_core::catalogue::Class;
use mustard_core::clock::Moment;
use mustard_core::collections::Map;

use crate::budget_share::RetryBudgetShare;

/// The share of a route's requests that complete before a second copy would be sent.
const DELAY_QUANTILE: f64 = 0.95;
/// The measured times from which the quantile is taken, the latest ones. Among 128, six are longer than
/// it; fewer would make it depend on single requests, more would keep it high long after a slow phase.
const MAX_TIMES: usize = 128;
/// The least number of measured times for the quantile to be used.
const MIN_TIMES: usize = 50;
/// The part of the target after which a copy is sent before enough times are measured.
const UNMEASURED_SHARE: f64 = 0.5;
/// The part of the target before which no copy is sent.
const MIN_DELAY_SHARE: f64 = 0.25;
/// The copies that all gateways may save up together, and the most that one of them may.
const TOTAL_RESERVE: f64 = 20.0;
const MAX_RESERVE: f64 = 5.0;
/// How long a refusal for lack of room keeps copies from being sent. At twice the capacity, every second
/// request is refused, which a gateway with half a request per second notices every 4 s.
const NO_ROOM_TIME: Duration = Duration::from_secs(10);
/// The largest share that operators may set; it is also that of the retry budget.
const MAX_SHARE: f64 = 0.2;
/// The largest rate that operators may set; it is beyond what the retry budget allows.
const MAX_RATE: f64 = 1_000.0;

/// Why settings are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// The share is out of range.
    #[error("--hedge-share is {0}, but must be from 0 to {MAX_SHARE}")]
    Share(f64),
    /// The rate is out of range.
    #[error("--hedge-rate is {0}, but must be from 0 to {MAX_RATE} per second")]
    Rate(f64),
    /// Copies of streams are enabled although none may be sent.
    #[error("--hedge-streams has no effect, as --hedge-share or --hedge-rate is 0")]
    NoStreams,
}

/// The limits that operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The share of a service's requests that may get a second copy; none are sent if it is 0.
    pub share: f64,
    /// The second copies per second of a service over all gateways.
    pub rate: f64,
    /// Whether streams get second copies.
    pub streams: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            share: 0.05,
            rate: 20.0,
            streams: false,
        }
    }
}

impl Settings {
    /// Checks the values.
    ///
    /// # Errors
    ///
    /// Returns the first value that is out of range or has no effect.
    pub fn check(&self) -> Result<(), SettingsError> {
        if !(0.0..=MAX_SHARE).contains(&self.share) {
            return Err(SettingsError::Share(self.share));
        }
        if !(0.0..=MAX_RATE).contains(&self.rate) {
            return Err(SettingsError::Rate(self.rate));
        }
        if self.streams && !self.is_enabled() {
            return Err(SettingsError::NoStreams);
        }
        Ok(())
    }

    /// Returns whether second copies may be sent at all.
    pub fn is_enabled(&self) -> bool {
        self.share > 0.0 && self.rate > 0.0
    }
}

/// What keeps a second copy from being sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// Requests of the service wait for a server.
    Waiting,
    /// The servers have no room.
    NoRoom,
    /// Servers ended under the content or a segment of the prompt.
    Suspect,
    /// The request has no attempt left.
    Attempts,
    /// The share of requests is used up.
    Share,
    /// The rate over all gateways is used up.
    Rate,
    /// Half of what is left of the retry budget is used up.
    RetryBudget,
}

impl Denial {
    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Denial::Waiting => "requests wait",
            Denial::NoRoom => "no room",
            Denial::Suspect => "suspect content",
            Denial::Attempts => "no attempt left",
            Denial::Share => "share",
            Denial::Rate => "rate",
            Denial::RetryBudget => "retry budget",
        }
    }
}

/// The state of a request and its service that decides on a second copy.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Requests of the service that wait in this gateway.
    pub waiting: usize,
    /// The load of the servers with the copy added, as a share of what they run at the same time; estimated
    /// for all gateways.
    pub load: f64,
    /// Whether servers ended under the content or a segment of the prompt.
    pub is_suspect: bool,
    /// The attempts that the request has left.
    pub attempts_left: u32,
}

/// When a second copy is sent, and on what this is based.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delay {
    /// The time after the first copy was sent.
    pub wait: Duration,
    /// The measured times that it is based on; half of the target is used if they are too few.
    pub times: usize,
}

/// The latest times of a route's requests.
#[derive(Clone, Debug, Default)]
struct RouteTimes {
    times: Vec<Duration>,
    /// Where the next time is stored once there are [`MAX_TIMES`].
    next: usize,
}

impl RouteTimes {
    fn record(&mut self, took: Duration) {
        if self.times.len() < MAX_TIMES {
            self.times.push(took);
        } else {
            self.times[self.next] = took;
            self.next = (self.next + 1) % MAX_TIMES;
        }
    }

    fn quantile(&self) -> Option<Duration> {
        if self.times.len() < MIN_TIMES {
            return None;
        }
        let mut times = self.times.clone();
        let rank = (DELAY_QUANTILE * times.len() as f64).ceil() as usize;
        Some(*times.select_nth_unstable(rank - 1).1)
    }
}

/// Decides on the second copies of a service's requests in one gateway.
#[derive(Clone, Debug)]
pub struct HedgePolicy {
    settings: Settings,
    /// The largest number of gateways ever counted. One that isn't heard from may still send copies.
    gateways: usize,
    /// The copies that the share of requests allows now.
    saved: f64,
    /// When this gateway sent its last copy, or started.
    spent_at: Moment,
    /// When a server last refused a request for lack of room.
    refused_at: Option<Moment>,
    routes: Map<String, RouteTimes>,
}

impl HedgePolicy {
    /// Creates the policy of one of `gateways` gateways, whose process started at `now`. It has no copies saved, so
    /// that a restart doesn't give back what was spent.
    pub fn new(settings: Settings, gateways: usize, now: Moment) -> Self {
        HedgePolicy {
            settings,
            gateways: gateways.max(1),
            saved: 0.0,
            spent_at: now,
            refused_at: None,
            routes: Map::default(),
        }
    }

    /// Records the number of gateways counted; a smaller one than before changes nothing.
    pub fn observe_gateways(&mut self, gateways: usize) {
        self.gateways = self.gateways.max(gateways);
        self.saved = self.saved.min(reserve(self.gateways));
    }

    /// Records a request, which adds its share of a second copy.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + self.settings.share).min(reserve(self.gateways));
    }

    /// Records that a server refused a request for lack of room.
    pub fn record_refusal(&mut self, now: Moment) {
        self.refused_at = Some(now);
    }

    /// Records the time from sending a request of a route to its answer or first event. If a request ended
    /// otherwise after its second copy was due, the time until then is recorded: it is at least as long.
    pub fn record_time(&mut self, route: &str, took: Duration) {
        if let Some(times) = self.routes.get_mut(route) {
            times.record(took);
        } else {
            let mut times = RouteTimes::default();
            times.record(took);
            self.routes.insert(route.to_owned(), times);
        }
    }

    /// Returns when a second copy of a request is sent; `None` if the request isn't repeatable, has the
    /// class [`Class::Batch`], or if second copies are turned off.
    pub fn delay(
        &self,
        route: &str,
        target: Duration,
        class: Class,
        is_repeatable: bool,
    ) -> Option<Delay> {
        if !is_repeatable || class == Class::Batch || !self.settings.is_enabled() {
            return None;
        }
        let times = self.routes.get(route);
        let wait = times.and_then(RouteTimes::quantile);
        let wait = wait.unwrap_or_else(|| target.mul_f64(UNMEASURED_SHARE));
        Some(Delay {
            wait: wait.max(target.mul_f64(MIN_DELAY_SHARE)),
            times: times.map_or(0, |t| t.times.len()),
        })
    }

    /// Returns what keeps a second copy from being sent now.
    ///
    /// # Errors
    ///
    /// Returns the first condition or limit that doesn't hold.
    pub fn check(
        &self,
        now: Moment,
        conditions: &Conditions,
        budget: &RetryBudgetShare,
    ) -> Result<(), Denial> {
        let was_refused = self
            .refused_at
            .is_some_and(|at| now.since(at) < NO_ROOM_TIME);
        let has_room = !was_refused && conditions.load <= 1.0;
        let limits = [
            (conditions.waiting == 0, Denial::Waiting),
            (has_room, Denial::NoRoom),
            (!conditions.is_suspect, Denial::Suspect),
            (conditions.attempts_left > 0, Denial::Attempts),
            (self.saved >= 1.0, Denial::Share),
            (
                self.settings.rate > 0.0 && now.since(self.spent_at) >= self.interval(),
                Denial::Rate,
            ),
            (budget.has_copy(), Denial::RetryBudget),
        ];
        limits
            .iter()
            .try_for_each(|(holds, denial)| if *holds { Ok(()) } else { Err(*denial) })
    }

    /// Takes one second copy out of all limits if they allow it.
    ///
    /// # Errors
    ///
    /// Returns the first condition or limit that doesn't hold; none is charged then.
    pub fn try_spend(
        &mut self,
        now: Moment,
        conditions: &Conditions,
        budget: &mut RetryBudgetShare,
    ) -> Result<(), Denial> {
        self.check(now, conditions, budget)?;
        if !budget.try_spend_copy(now) {
            return Err(Denial::RetryBudget);
        }
        self.saved -= 1.0;
        self.spent_at = now;
        Ok(())
    }

    /// Returns the least time between two copies of this gateway.
    fn interval(&self) -> Duration {
        let interval = self.gateways as f64 / self.settings.rate;
        Duration::from_secs_f64(interval.min(MAX_INTERVAL))
    }

    /// Returns the second copies that the share of requests allows now.
    pub fn saved(&self) -> f64 {
        self.saved
    }
}

/// The longest time between two copies of a gateway in seconds, so that a tiny rate doesn't overflow.
const MAX_INTERVAL: f64 = 1e6;

/// Returns the most copies that the share of requests may save up in one of several gateways.
fn reserve(gateways: usize) -> f64 {
    (TOTAL_RESERVE / gateways as f64).clamp(1.0, MAX_RESERVE)
}
