//! This gateway's share of the retry budget of each service, and what was spent of it, in log and metrics.

use std::time::Duration;

use slog::info;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_policy::budget_share::{Budget, RetryBudgetShare, Usage};

use crate::app::App;
use crate::log_limit::Topic;
use crate::metric;

/// The least time between two log lines of a service.
const LOG_INTERVAL: Duration = Duration::from_millis(250);

/// The share of each service, by the service's name.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    services: Map<String, ServiceBudget>,
}

#[derive(Debug)]
struct ServiceBudget {
    share: RetryBudgetShare,
    /// What was spent when the share was last logged.
    logged: Usage,
    logged_at: Moment,
}

impl ServiceBudget {
    /// Returns whether a retry was allowed or refused since the last log line and another line is due; records
    /// that it is logged.
    fn log_due(&mut self, now: Moment) -> bool {
        let usage = self.share.usage();
        let idle = Usage {
            requests: usage.requests,
            ..self.logged
        };
        let is_due = usage != idle && now.since(self.logged_at) >= LOG_INTERVAL;
        if is_due {
            self.logged = usage;
            self.logged_at = now;
        }
        is_due
    }
}

/// Calls a function with this gateway's share of the retry budget of a service, created at first use.
pub fn with_share<T>(
    app: &App,
    service: &str,
    use_share: impl FnOnce(&mut RetryBudgetShare) -> T,
) -> T {
    let now = app.now();
    let services = &mut app.retry_budgets.borrow_mut().services;
    if !services.contains_key(service) {
        let budget = Budget {
            ratio: app.node.retry_ratio,
            slack: app.node.retry_slack,
            window: app.node.retry_window,
        };
        let state = ServiceBudget {
            share: RetryBudgetShare::new(budget, app.started_at),
            logged: Usage::default(),
            logged_at: Moment::default(),
        };
        services.insert(service.to_owned(), state);
    }
    let state = services.get_mut(service).expect("it was inserted above");
    // A gateway that wasn't heard from lately may still spend its share.
    if let Some(total) = app.peers.borrow().total() {
        state.share.observe_processes(total);
    }
    state.share.advance(now);
    let result = use_share(&mut state.share);
    if state.log_due(now) {
        report(app, service, &state.share, now);
    }
    result
}

/// Publishes what was spent of a share since the process started.
fn report(app: &App, service: &str, share: &RetryBudgetShare, now: Moment) {
    let usage = share.usage();
    metric::set_retry_budget(service, share.remaining());
    if let Some(log) = app.log.logger_for(Topic::Share) {
        info!(log, "retries: Spent from the budget."; "service" => service,
            "requests" => usage.requests, "retries" => usage.retries, "copies" => usage.copies,
            "refused" => usage.refused, "remaining" => share.remaining(),
            "gateways" => share.processes(), "up_ms" => now.ms_since(app.started_at));
    }
}
