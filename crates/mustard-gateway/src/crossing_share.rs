//! The crossings between failure domains that this gateway may use: its share of what the bandwidth carries,
//! and the messages by which gateways report their demand.
//!
//! Where crossings are scarce for a service, shares follow demand; otherwise they are even, and messages hold
//! no reports. Design: `docs/design/crossing-shares.md`.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::info;

use mustard_core::clock::Moment;
use mustard_core::deployment::Engine;
use mustard_policy::demand_share::{DemandReport, DemandShares, MAX_AGE, Share};
use mustard_policy::pipeline::{CrossingBudget, are_crossings_scarce, crossing_capacity};

use crate::app::App;
use crate::log_limit::Topic;
use crate::metric;

/// The most reports in a message; 24 of them take about 600 bytes.
const MAX_REPORTS: usize = 24;
/// The least time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// The relative change of the share from which it is logged.
const LOG_CHANGE: f64 = 0.2;

/// The demand of one gateway in a message.
#[derive(Debug, Serialize, Deserialize)]
struct ReportMessage {
    #[serde(rename = "f")]
    from: SocketAddr,
    /// The crossings per second that its requests ask for.
    #[serde(rename = "r")]
    rate: f32,
    #[serde(rename = "a")]
    age_ms: u64,
}

/// The demand for crossings in a message between gateways; empty where they aren't scarce.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct CrossingMessage {
    /// The number of gateways of which the sender has a recent report.
    #[serde(rename = "n")]
    gateways: usize,
    #[serde(rename = "r")]
    reports: Vec<ReportMessage>,
}

impl CrossingMessage {
    /// Returns whether the message says nothing.
    pub fn is_empty(&self) -> bool {
        self.gateways == 0 && self.reports.is_empty()
    }
}

/// The crossings that this gateway may use.
#[derive(Debug)]
pub struct Crossings {
    budget: CrossingBudget,
    shares: DemandShares<SocketAddr>,
    logged: Share,
    logged_at: Option<Moment>,
}

impl Crossings {
    /// Creates the state of a gateway that knows of no demand.
    pub fn new(own_addr: SocketAddr, now: Moment) -> Self {
        Crossings {
            budget: CrossingBudget::new(now),
            shares: DemandShares::new(own_addr),
            logged: Share::default(),
            logged_at: None,
        }
    }

    /// Records whether a request that crosses began in time.
    pub fn record_start(&mut self, now: Moment, in_time: bool) {
        self.budget.record_start(now, in_time);
    }

    /// Records that an attempt that crosses ended without an event after `waited`.
    pub fn record_no_start(&mut self, now: Moment, waited: Duration, target: Duration) {
        self.budget.record_no_start(now, waited, target);
    }

    /// Returns whether a share is to be logged, and records that it is.
    fn log_due(&mut self, now: Moment, share: &Share) -> bool {
        let change = (share.fraction - self.logged.fraction).abs();
        let is_due =
            change > LOG_CHANGE * self.logged.fraction || share.processes != self.logged.processes;
        let is_allowed = self
            .logged_at
            .is_none_or(|at| now.since(at) >= LOG_INTERVAL);
        if is_due && is_allowed {
            self.logged = *share;
            self.logged_at = Some(now);
        }
        is_due && is_allowed
    }
}

/// Takes the crossings of a path out of this gateway's share; tells whether they were there. A request that
/// asks again while it waits counts once as demand.
pub fn take(app: &App, engine: &Engine, service: &str, request: &str, crossings: u32) -> bool {
    let now = app.now();
    let domains = app.fleet.borrow().domain_count();
    let capacity = crossing_capacity(engine, domains);
    let is_scarce = is_scarce(app, engine, service);
    let known = known_count(app);
    let state = &mut *app.crossings.borrow_mut();
    let rate = if is_scarce {
        state.shares.record_ask(now, request, crossings);
        capacity * state.shares.share(now, capacity, known).fraction
    } else {
        capacity / app.gateway_count() as f64
    };
    let is_allowed = state.budget.take(now, rate, crossings);
    if is_allowed && is_scarce {
        state.shares.record_grant(request);
    }
    is_allowed
}

/// Returns the demand to be sent to another gateway, and publishes the share in metrics and log.
pub fn message(app: &App) -> CrossingMessage {
    let Some(capacity) = scarce_capacity(app) else {
        return CrossingMessage::default();
    };
    let now = app.now();
    let known = known_count(app);
    let state = &mut *app.crossings.borrow_mut();
    let share = state.shares.share(now, capacity, known);
    metric::set_crossing_share(capacity, &share);
    if state.log_due(now, &share)
        && let Some(log) = app.log.logger_for(Topic::Share)
    {
        info!(log, "crossings: This gateway's share changed.";
            "share_s" => share.fraction * capacity, "capacity_s" => capacity,
            "demand_s" => share.demand, "total_demand_s" => share.total,
            "heard" => share.heard, "gateways" => share.processes,
            "age_ms" => share.age.as_millis() as u64);
    }
    let reports = state.shares.reports_to_share(now, MAX_REPORTS);
    CrossingMessage {
        gateways: share.heard,
        reports: reports
            .into_iter()
            .map(|r| ReportMessage {
                from: r.from,
                rate: r.rate as f32,
                age_ms: now.ms_since(r.at),
            })
            .collect(),
    }
}

/// Applies the demand that another gateway has sent.
pub fn apply_message(app: &App, message: CrossingMessage) {
    let now = app.now();
    let shares = &mut app.crossings.borrow_mut().shares;
    for report in message.reports {
        let age = Duration::from_millis(report.age_ms);
        if age < MAX_AGE {
            let report = DemandReport {
                from: report.from,
                rate: f64::from(report.rate),
                at: now - age,
            };
            shares.apply_report(now, report);
        }
    }
    shares.observe_processes(message.gateways);
}

/// Returns the capacity of the service with the fewest crossings per second among those for which they are
/// scarce; `None` if there is no such service.
fn scarce_capacity(app: &App) -> Option<f64> {
    let config = app.config()?;
    let domains = app.fleet.borrow().domain_count();
    let scarce = config.services().filter_map(|service| {
        let engine = service.engine.as_ref()?;
        is_scarce(app, engine, &service.name).then(|| crossing_capacity(engine, domains))
    });
    scarce.min_by(f64::total_cmp)
}

/// Returns whether crossings are scarce for a service.
pub(crate) fn is_scarce(app: &App, engine: &Engine, service: &str) -> bool {
    let fleet = app.fleet.borrow();
    let servers = fleet.iter().filter(|(_, s)| s.entry.service == service);
    are_crossings_scarce(engine, servers.count(), fleet.domain_count())
}

/// Returns the number of gateways that this one knows of, this one included.
fn known_count(app: &App) -> usize {
    let peers = app.peers.borrow();
    peers.total().unwrap_or(peers.known_count() + 1)
}
