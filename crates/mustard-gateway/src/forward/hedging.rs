//! Second copies of slow requests; the policy is [`hedge`](mustard_policy::hedge).

use std::time::Duration;

use slog::info;

use mustard_core::catalogue::Class;
use mustard_core::collections::Map;
use mustard_core::deployment::ServerKey;
use mustard_policy::hedge::{Conditions, Delay, Denial, HedgePolicy, Settings};

use crate::app::App;
use crate::log_limit::Topic;
use crate::{metric, retry_budget, strikes};

use super::AdmittedRequest;

/// The policies of all services in this gateway.
#[derive(Debug)]
pub struct Hedging {
    settings: Settings,
    /// The policy of each service, by its name.
    policies: Map<String, HedgePolicy>,
    /// The requests of each service that wait for a path, in the queue by priority or searching on their own,
    /// by its name.
    waiting: Map<String, usize>,
}

impl Hedging {
    /// Creates the state, without services.
    pub fn new(settings: Settings) -> Self {
        Hedging {
            settings,
            policies: Map::default(),
            waiting: Map::default(),
        }
    }
}

/// Counts a request as waiting for a path until it is dropped.
pub(super) struct WaitGuard<'a> {
    app: &'a App,
    service: &'a str,
}

impl<'a> WaitGuard<'a> {
    pub(super) fn begin(app: &'a App, service: &'a str) -> Self {
        let mut hedging = app.hedging.borrow_mut();
        *hedging.waiting.entry(service.to_owned()).or_default() += 1;
        WaitGuard { app, service }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut hedging = self.app.hedging.borrow_mut();
        if let Some(waiting) = hedging.waiting.get_mut(self.service) {
            *waiting = waiting.saturating_sub(1);
        }
    }
}

/// Returns whether streams get second copies.
pub(super) fn includes_streams(app: &App) -> bool {
    app.hedging.borrow().settings.streams
}

/// Calls a function with the policy of a service, created at first use.
fn with_policy<T>(app: &App, service: &str, use_policy: impl FnOnce(&mut HedgePolicy) -> T) -> T {
    let gateways = app.peers.borrow().total_or_known();
    let mut hedging = app.hedging.borrow_mut();
    let settings = hedging.settings;
    if !hedging.policies.contains_key(service) {
        let policy = HedgePolicy::new(settings, gateways, app.started_at);
        hedging.policies.insert(service.to_owned(), policy);
    }
    let policy = hedging.policies.get_mut(service);
    let policy = policy.expect("it was inserted above");
    policy.observe_gateways(gateways);
    use_policy(policy)
}

/// Records a request of a service, which adds its share of a second copy.
pub(super) fn record_request(app: &App, service: &str) {
    with_policy(app, service, HedgePolicy::record_request);
}

/// Records that a server refused a request with a status; 429 and 503 say that it had no room.
pub(super) fn record_refusal(app: &App, request: &AdmittedRequest, status: u16) {
    if matches!(status, 429 | 503) {
        let now = app.now();
        with_policy(app, &request.service.name, |p| p.record_refusal(now));
    }
}

/// Records the time from sending a request to its answer or first event, or how long it took at least.
pub(super) fn record_time(app: &App, request: &AdmittedRequest, took: Duration) {
    with_policy(app, &request.service.name, |p| {
        p.record_time(&request.route.name, took);
    });
}

/// Returns when a second copy of a repeatable request is sent.
pub(super) fn delay(app: &App, request: &AdmittedRequest) -> Option<Delay> {
    let route = &request.route;
    with_policy(app, &request.service.name, |p| {
        p.delay(&route.name, route.target_latency, Class::Interactive, true)
    })
}

/// A request whose second copy is due.
pub(super) struct DueCopy<'a> {
    pub(super) app: &'a App,
    pub(super) request: &'a AdmittedRequest,
    /// The kind of request, for metrics.
    pub(super) kind: &'static str,
    pub(super) delay: Delay,
    pub(super) conditions: Conditions,
}

impl<'a> DueCopy<'a> {
    /// Collects what decides on the copy; `load` is that of the servers with the copy added.
    pub(super) fn new(
        app: &'a App,
        request: &'a AdmittedRequest,
        kind: &'static str,
        delay: Delay,
        load: f64,
        attempts_left: u32,
    ) -> Self {
        let waiting = app
            .hedging
            .borrow()
            .waiting
            .get(&request.service.name)
            .copied();
        DueCopy {
            app,
            request,
            kind,
            delay,
            conditions: Conditions {
                waiting: waiting.unwrap_or(0),
                load,
                is_suspect: strikes::is_suspect(app, request),
                attempts_left,
            },
        }
    }

    /// Returns whether all limits allow the copy.
    pub(super) fn is_allowed(&self) -> bool {
        let (app, service) = (self.app, &self.request.service.name);
        let now = app.now();
        let checked = retry_budget::with_share(app, service, |budget| {
            with_policy(app, service, |p| p.check(now, &self.conditions, budget))
        });
        checked.map_err(|denial| self.deny(denial.name())).is_ok()
    }

    /// Takes the copy out of all limits; returns whether they allow it.
    pub(super) fn spend(&self, server: ServerKey) -> bool {
        let (app, service) = (self.app, &self.request.service.name);
        let now = app.now();
        let spent: Result<f64, Denial> = retry_budget::with_share(app, service, |budget| {
            with_policy(app, service, |p| {
                p.try_spend(now, &self.conditions, budget)?;
                Ok(p.saved())
            })
        });
        match spent {
            Ok(saved) => {
                metric::count_copy(self.kind, "sent");
                if let Some(log) = app.log.logger_for(Topic::Copy) {
                    info!(log, "hedge: A second copy was sent."; "request" => &self.request.params.id,
                        "server" => app.fleet.borrow().format_server(server), "route" => &self.request.route.name,
                        "after_ms" => self.delay.wait.as_millis() as u64, "times" => self.delay.times,
                        "load" => self.conditions.load, "share_left" => saved,
                        "view_ms" => app.list_age_ms());
                }
                true
            }
            Err(denial) => {
                self.deny(denial.name());
                false
            }
        }
    }

    /// Counts and logs that no copy is sent.
    pub(super) fn deny(&self, reason: &'static str) {
        metric::count_denied_copy(self.kind, reason);
        if let Some(log) = self.app.log.logger_for(Topic::Copy) {
            info!(log, "hedge: No second copy."; "request" => &self.request.params.id,
                "reason" => reason, "route" => &self.request.route.name,
                "after_ms" => self.delay.wait.as_millis() as u64, "times" => self.delay.times,
                "load" => self.conditions.load, "view_ms" => self.app.list_age_ms());
        }
    }

    /// Counts and logs which copy answered; the other one is cancelled then, or has failed before.
    pub(super) fn record_winner(&self, is_second: bool, has_failed: bool) {
        let outcome = match (is_second, has_failed) {
            (true, _) => "won",
            (false, false) => "cancelled",
            (false, true) => "failed",
        };
        metric::count_copy(self.kind, outcome);
        if let Some(log) = self.app.log.logger_for(Topic::Copy) {
            info!(log, "hedge: A copy answered."; "request" => &self.request.params.id,
                "second_won" => is_second,
                "other" => if has_failed { "failed" } else { "cancelled" },
                "took_ms" => self.app.now().ms_since(self.request.arrived));
        }
    }

    /// Counts and logs that no copy answered.
    pub(super) fn record_failure(&self) {
        metric::count_copy(self.kind, "failed");
        if let Some(log) = self.app.log.logger_for(Topic::Copy) {
            info!(log, "hedge: No copy answered."; "request" => &self.request.params.id,
                "took_ms" => self.app.now().ms_since(self.request.arrived));
        }
    }
}

/// Returns the load of a plain service's usable servers with one more request, as a share of their slots.
///
/// Of each other gateway, as many requests are assumed as this one runs beside the request in question.
pub(super) fn plain_load(app: &App, service: &str) -> f64 {
    let now = app.now();
    let fleet = app.fleet.borrow();
    let servers = fleet.iter().map(|(_, s)| s);
    let usable = servers.filter(|s| s.entry.service == service && s.is_usable(now));
    let (running, slots) = usable.fold((0, 0.0), |(running, slots), s| {
        (running + s.running, slots + f64::from(s.entry.slots))
    });
    let others = f64::from(running.saturating_sub(1)) * app.gateway_count() as f64;
    (others + 2.0) / slots.max(1.0)
}
