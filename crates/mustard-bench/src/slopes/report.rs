//! Prints the measured series and delays, and returns them as JSON.

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use super::fit::{Line, Point};
use super::probe::Rates;
use super::propagation::TableState;

/// Costs of one process, measured at several values of one count.
pub(super) struct Series {
    /// Which process was measured.
    pub(super) role: &'static str,
    /// What was counted.
    pub(super) count: &'static str,
    points: Vec<(f64, Rates)>,
}

/// The printed name of a cost, and how to get it from the rates.
type Cost = (&'static str, fn(&Rates) -> f64);

const COSTS: [Cost; 5] = [
    ("cpu %", |r| r.cpu_percent),
    ("control kB/s", |r| r.control_kb),
    ("messages/s", |r| r.messages),
    ("table calls/s", |r| r.table_calls),
    ("resident MiB", |r| r.rss_mib),
];

impl Series {
    /// Creates a series without points.
    pub(super) fn new(role: &'static str, count: &'static str) -> Self {
        Series {
            role,
            count,
            points: Vec::new(),
        }
    }

    /// Adds what was measured at a count.
    pub(super) fn add(&mut self, count: f64, rates: Rates) {
        self.points.push((count, rates));
    }

    fn line(&self, cost: fn(&Rates) -> f64) -> Line {
        let points: Vec<Point> = self.points.iter().map(|(n, r)| (*n, cost(r))).collect();
        Line::fit(&points)
    }

    /// Prints the points and the fitted lines.
    pub(super) fn print(&self) {
        println!("{} against {}", self.role, self.count);
        print!("{:>14}", "count");
        for (name, _) in COSTS {
            print!("{name:>15}");
        }
        println!();
        for (count, rates) in &self.points {
            print!("{count:>14.0}");
            for (_, cost) in COSTS {
                print!("{:>15.3}", cost(rates));
            }
            println!();
        }
        for (name, cost) in COSTS {
            println!("    {name:<14} {}", self.line(cost));
        }
        println!();
    }

    /// Returns the fitted lines as JSON.
    pub(super) fn json(&self) -> Value {
        let lines: serde_json::Map<_, _> = COSTS
            .iter()
            .map(|(name, cost)| {
                let line = self.line(*cost);
                let value = json!({
                    "slope": line.slope,
                    "base": line.base,
                    "residual": line.residual,
                    "largest": line.at(self.points.last().map_or(0.0, |p| p.0)),
                });
                ((*name).to_owned(), value)
            })
            .collect();
        json!({ "role": self.role, "count": self.count, "lines": lines })
    }
}

/// Times from the acceptance of a change until an entry process applied it.
pub(super) struct Delays {
    /// The number of entry processes.
    pub(super) processes: usize,
    /// The table's state meanwhile.
    pub(super) state: TableState,
    /// Milliseconds, one for each change and process.
    pub(super) histogram: Histogram<u64>,
}

/// Prints the delays.
pub(super) fn print_delays(all: &[Delays]) {
    println!("ms from accepted to in force, over every change and process");
    println!(
        "{:>10}{:>12}{:>9}{:>9}{:>9}{:>9}",
        "processes", "table", "samples", "p50", "p99", "max"
    );
    for d in all {
        println!(
            "{:>10}{:>12}{:>9}{:>9}{:>9}{:>9}",
            d.processes,
            format!("{:?}", d.state),
            d.histogram.len(),
            d.histogram.value_at_quantile(0.5),
            d.histogram.value_at_quantile(0.99),
            d.histogram.max()
        );
    }
    println!();
}

/// Returns the delays as JSON.
pub(super) fn json_delays(all: &[Delays]) -> Value {
    let rows = all.iter().map(|d| {
        json!({
            "processes": d.processes,
            "table": format!("{:?}", d.state),
            "p50": d.histogram.value_at_quantile(0.5),
            "p99": d.histogram.value_at_quantile(0.99),
            "max": d.histogram.max(),
        })
    });
    Value::Array(rows.collect())
}
