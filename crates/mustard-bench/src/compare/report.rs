//! The table and the JSON lines that report a comparison.

use serde::Serialize;

use super::scenario::Scenario;
use super::tally::Tally;

/// The figures of one policy in one scenario.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) scenario: &'static str,
    pub(crate) policy: &'static str,
    pub(crate) seed: u64,
    /// Upper bound on the answers per second for the offered load, in mean requests.
    pub(crate) bound_rps: f64,
    /// Requests answered completely and in time, per second.
    pub(crate) goodput_rps: f64,
    /// Goodput as a share of the bound, both measured in work.
    pub(crate) share: f64,
    /// The lowest fraction of answered requests among the customers that stay within their shares.
    pub(crate) worst_customer: f64,
    pub(crate) refused: u64,
    pub(crate) cancelled: u64,
    pub(crate) late: u64,
    pub(crate) failed: u64,
    pub(crate) first_p95_ms: f64,
    pub(crate) gap_p95_ms: f64,
    pub(crate) refusal_p99_ms: f64,
    pub(crate) recovery_p95_ms: f64,
}

impl Row {
    /// Computes the figures of a run from its tally; `bound` is in mean requests.
    pub(crate) fn new(
        scenario: &Scenario,
        policy: &'static str,
        seed: u64,
        bound: f64,
        tally: &Tally,
    ) -> Self {
        let seconds = scenario.seconds - scenario.warmup_s;
        let ms = |us: u64| us as f64 / 1e3;
        Row {
            scenario: scenario.name,
            policy,
            seed,
            bound_rps: bound / seconds,
            goodput_rps: tally.answered as f64 / seconds,
            share: tally.work / bound,
            worst_customer: worst_customer(scenario, tally),
            refused: tally.refused,
            cancelled: tally.cancelled,
            late: tally.late,
            failed: tally.failed,
            first_p95_ms: ms(tally.first_token.value_at_quantile(0.95)),
            gap_p95_ms: ms(tally.token_gaps.value_at_quantile(0.95)),
            refusal_p99_ms: ms(tally.refusals.value_at_quantile(0.99)),
            recovery_p95_ms: ms(tally.recovery.value_at_quantile(0.95)),
        }
    }
}

/// Returns the lowest fraction of answered requests among the customers with a share of 1, which
/// are the small ones.
fn worst_customer(scenario: &Scenario, tally: &Tally) -> f64 {
    scenario
        .customers
        .iter()
        .zip(&tally.customers)
        .filter(|(spec, _)| spec.share == 1)
        .map(|(_, counts)| counts.answered as f64 / counts.offered.max(1) as f64)
        .fold(1.0, f64::min)
}

/// Prints a table and then one JSON line per row.
pub(crate) fn print_rows(rows: &[Row]) -> anyhow::Result<()> {
    println!(
        "{:<19} {:<16} {:>7} {:>7} {:>6} {:>6} {:>7} {:>6} {:>6} {:>6} {:>8} {:>7} {:>8} {:>8}",
        "scenario",
        "policy",
        "bound/s",
        "good/s",
        "share",
        "worst",
        "refused",
        "cancel",
        "late",
        "failed",
        "first95",
        "gap95",
        "refuse99",
        "recov95"
    );
    for r in rows {
        println!(
            "{:<19} {:<16} {:>7.1} {:>7.1} {:>5.1}% {:>5.1}% {:>7} {:>6} {:>6} {:>6} {:>8.1} {:>7.1} {:>8.2} {:>8.1}",
            r.scenario,
            r.policy,
            r.bound_rps,
            r.goodput_rps,
            r.share * 100.0,
            r.worst_customer * 100.0,
            r.refused,
            r.cancelled,
            r.late,
            r.failed,
            r.first_p95_ms,
            r.gap_p95_ms,
            r.refusal_p99_ms,
            r.recovery_p95_ms
        );
    }
    println!();
    for row in rows {
        println!("{}", serde_json::to_string(row)?);
    }
    Ok(())
}
