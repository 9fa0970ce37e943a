//! Names of the gateway's metrics.

use std::time::Duration;

use metrics::{counter, gauge, histogram};

/// Counts a request by its outcome.
pub fn outcome(kind: &'static str, outcome: &'static str) {
    counter!("mustard_requests_total", "kind" => kind, "outcome" => outcome).increment(1);
}

/// Counts a refusal by its reason.
pub fn refused(reason: &'static str) {
    counter!("mustard_refusals_total", "reason" => reason).increment(1);
}

/// Takes in the time to the first event of a stream or to a whole answer.
pub fn first(kind: &'static str, took: Duration) {
    histogram!("mustard_first_seconds", "kind" => kind).record(took.as_secs_f64());
}

/// Counts a further attempt by what made it necessary.
pub fn retry(reason: &'static str) {
    counter!("mustard_retries_total", "reason" => reason).increment(1);
}

/// Counts a stream that was moved by how it went on.
pub fn moved(how: &'static str) {
    counter!("mustard_streams_moved_total", "how" => how).increment(1);
}

/// Counts a call of the store by its result.
pub fn store(call: &'static str, result: &'static str) {
    counter!("mustard_store_calls_total", "call" => call, "result" => result).increment(1);
}

/// Counts an order by its outcome.
pub fn order(op: &'static str, outcome: &'static str) {
    counter!("mustard_orders_total", "op" => op, "outcome" => outcome).increment(1);
}

/// Counts a report asked of a server.
pub fn probe(result: &'static str) {
    counter!("mustard_probes_total", "result" => result).increment(1);
}

/// Sets the version of the configuration in force.
pub fn config_version(version: u64) {
    gauge!("mustard_config_version").set(version as f64);
}

/// Sets the number of servers that requests may use, of those known.
pub fn servers(usable: usize, known: usize) {
    gauge!("mustard_servers", "state" => "usable").set(usable as f64);
    gauge!("mustard_servers", "state" => "known").set(known as f64);
}

/// Sets the number of requests in flight.
pub fn running(count: usize) {
    gauge!("mustard_requests_running").set(count as f64);
}
