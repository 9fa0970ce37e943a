//! The gateway's metrics: one function for each of them.

use std::time::Duration;

use metrics::{counter, gauge, histogram};

use mustard_policy::demand_share::Share;
use mustard_policy::pipeline::DomainCapacity;

/// Counts a request by its outcome.
pub fn count_request(kind: &'static str, outcome: &'static str) {
    counter!("mustard_requests_total", "kind" => kind, "outcome" => outcome).increment(1);
}

/// Counts a refusal by its reason.
pub fn count_refusal(reason: &'static str) {
    counter!("mustard_refusals_total", "reason" => reason).increment(1);
}

/// Records the time from a request's arrival to the first event of a stream or to a complete
/// response.
pub fn record_first_response(kind: &'static str, took: Duration) {
    histogram!("mustard_first_seconds", "kind" => kind).record(took.as_secs_f64());
}

/// Counts a retry by its reason, or one that the retry budget refused.
pub fn count_retry(reason: &'static str) {
    counter!("mustard_retries_total", "reason" => reason).increment(1);
}

/// Sets the retries that this gateway has saved of a service's retry budget.
pub fn set_retry_budget(service: &str, remaining: f64) {
    gauge!("mustard_retry_budget_remaining", "service" => service.to_owned()).set(remaining);
}

/// Counts a second copy of a slow request when it is sent, and by its outcome: it won, was cancelled as the first
/// copy answered, or failed.
pub fn count_copy(kind: &'static str, outcome: &'static str) {
    counter!("mustard_second_copies_total", "kind" => kind, "outcome" => outcome).increment(1);
}

/// Counts a slow request that got no second copy, by the limit that didn't allow one.
pub fn count_denied_copy(kind: &'static str, limit: &'static str) {
    counter!("mustard_second_copies_denied_total", "kind" => kind, "limit" => limit).increment(1);
}

/// Counts a stream that continued on other servers, by how it was moved.
pub fn count_moved_stream(how: &'static str) {
    counter!("mustard_streams_moved_total", "how" => how).increment(1);
}

/// Counts a stream that waited for a path, by how the wait ended.
pub fn count_wait(outcome: &'static str) {
    counter!("mustard_waits_total", "outcome" => outcome).increment(1);
}

/// Records how long a stream waited for the path that it got.
pub fn record_wait(waited: Duration) {
    histogram!("mustard_wait_seconds").record(waited.as_secs_f64());
}

/// Sets the number of streams of a service that wait for a path.
pub fn set_waiting_requests(service: &str, count: usize) {
    gauge!("mustard_requests_waiting", "service" => service.to_owned()).set(count as f64);
}

/// Counts a window of a server's memory that was reduced by a refusal, or restored as the server has
/// room.
pub fn count_room(change: &'static str) {
    counter!("mustard_room_windows_total", "change" => change).increment(1);
}

/// Counts a call to the store by its result.
pub fn count_store_call(call: &'static str, result: &'static str) {
    counter!("mustard_store_calls_total", "call" => call, "result" => result).increment(1);
}

/// Counts a strike against a content, by how this gateway learned of it.
pub fn count_strike(source: &'static str) {
    counter!("mustard_strikes_total", "source" => source).increment(1);
}

/// Counts a failed attempt that was recorded at the servers of its path, by how it failed.
pub fn count_failed_attempt(failure: &'static str) {
    counter!("mustard_failed_attempts_total", "failure" => failure).increment(1);
}

/// Counts a server that was asked for a report as all of its streams paused or another gateway got no answer, and the
/// silent servers that others were told of.
pub fn count_quiet_server(event: &'static str) {
    counter!("mustard_quiet_servers_total", "event" => event).increment(1);
}

/// Counts a server that was ejected, by the evidence, or returned to use.
pub fn count_ejection(cause: &'static str) {
    counter!("mustard_server_ejections_total", "cause" => cause).increment(1);
}

/// Counts a report about a server to another gateway, by its result.
pub fn count_outlier_report(result: &'static str) {
    counter!("mustard_outlier_reports_total", "result" => result).increment(1);
}

/// Counts a message that told another gateway of ends at once, by its result.
pub fn count_news(result: &'static str) {
    counter!("mustard_strike_messages_total", "result" => result).increment(1);
}

/// Counts a strike against a segment of a prompt, by how this gateway learned of it.
pub fn count_segment_strike(source: &'static str) {
    counter!("mustard_segment_strikes_total", "source" => source).increment(1);
}

/// Counts a refusal by a server that wants nothing more for a time.
pub fn count_pause() {
    counter!("mustard_server_pauses_total").increment(1);
}

/// Counts a limit that a server named, changed or no longer names.
pub fn count_limit(change: &'static str) {
    counter!("mustard_server_limits_total", "change" => change).increment(1);
}

/// Counts an order to a server by its outcome.
pub fn count_order(op: &'static str, outcome: &'static str) {
    counter!("mustard_orders_total", "op" => op, "outcome" => outcome).increment(1);
}

/// Counts a report requested from a server, by whether it came.
pub fn count_probe(result: &'static str) {
    counter!("mustard_probes_total", "result" => result).increment(1);
}

/// Counts a report of the load of a server, by how it was requested or arrived.
pub fn count_load_report(result: &'static str, count: usize) {
    counter!("mustard_load_reports_total", "result" => result).increment(count as u64);
}

/// Sets the numbers of servers whose load is known by a recent report, and of those that are slow by it.
pub fn set_server_loads(known: usize, slow: usize) {
    gauge!("mustard_servers", "state" => "load known").set(known as f64);
    gauge!("mustard_servers", "state" => "slow").set(slow as f64);
}

/// Counts a path that crosses between failure domains, by whether the budget allows it.
pub fn count_crossing(result: &'static str) {
    counter!("mustard_crossing_paths_total", "result" => result).increment(1);
}

/// Sets the share of this gateway in the crossings between failure domains, in crossings per second, and what
/// it was computed from.
pub fn set_crossing_share(capacity: f64, share: &Share) {
    gauge!("mustard_crossing_share").set(share.fraction * capacity);
    gauge!("mustard_crossing_demand", "of" => "gateway").set(share.demand);
    gauge!("mustard_crossing_demand", "of" => "all").set(share.total);
    gauge!("mustard_crossing_gateways", "state" => "heard").set(share.heard as f64);
    gauge!("mustard_crossing_gateways", "state" => "counted").set(share.processes as f64);
}

/// Counts a task that ended although it runs for the life of the process, and was started again.
pub fn count_task_restart(task: &'static str) {
    counter!("mustard_task_restarts_total", "task" => task).increment(1);
}

/// Sets the version of the configuration that is in force.
pub fn set_config_version(version: u64) {
    gauge!("mustard_config_version").set(version as f64);
}

/// Sets the numbers of servers that requests may use and of all servers known.
pub fn set_servers(usable: usize, known: usize) {
    gauge!("mustard_servers", "state" => "usable").set(usable as f64);
    gauge!("mustard_servers", "state" => "known").set(known as f64);
}

/// Sets the number of servers that are ejected or haven't passed their trial.
pub fn set_ejected_servers(count: usize) {
    gauge!("mustard_servers", "state" => "ejected").set(count as f64);
}

/// Sets the number of requests in flight.
pub fn set_running_requests(count: usize) {
    gauge!("mustard_requests_running").set(count as f64);
}

/// Sets what the servers of a failure domain carry: requests at the same time, now and after the loss
/// of any one or two servers; tokens per second; and the numbers of layers without a holder and with
/// two.
pub fn set_domain_capacity(service: &str, domain: &str, capacity: &DomainCapacity) {
    let requests = [
        ("0", capacity.requests),
        ("1", capacity.after_one),
        ("2", capacity.after_two),
    ];
    let labels = [
        ("service", service.to_owned()),
        ("domain", domain.to_owned()),
    ];
    for (lost, value) in requests {
        let [service, domain] = labels.clone();
        let labels = [service, domain, ("lost", lost.to_owned())];
        gauge!("mustard_domain_requests", &labels).set(value);
    }
    gauge!("mustard_domain_requests_needed", &labels).set(capacity.needed);
    gauge!("mustard_domain_tokens", &labels).set(capacity.token_rate);
    gauge!("mustard_domain_layers_missing", &labels).set(f64::from(capacity.gaps));
    gauge!("mustard_domain_layers_doubled", &labels).set(f64::from(capacity.doubled));
}
