//! Prints a run's results as tables and a JSON line.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Map, Value, json};

use super::Args;
use super::arrivals::Kind;
use super::tally::{ENDINGS, Tally};

const KINDS: [(Kind, &str); 3] = [
    (Kind::Draft, "drafts"),
    (Kind::Booking, "bookings"),
    (Kind::Read, "reads"),
];

/// Prints the results of a run that took `took`.
pub(super) fn print(args: &Args, tally: &Tally, took: Duration) {
    print!("{:<10}", "");
    for ending in ENDINGS {
        print!("{:>9}", ending.name());
    }
    println!();
    for (kind, name) in KINDS {
        print!("{name:<10}");
        for ending in ENDINGS {
            print!("{:>9}", tally.count(kind, ending));
        }
        println!();
    }
    println!();
    println!(
        "{:<14}{:>9}{:>9}{:>9}{:>9}",
        "ms", "p50", "p95", "p99", "max"
    );
    for (name, histogram) in latencies(tally) {
        print!("{name:<14}");
        for at in percentiles(histogram) {
            print!("{at:>9.2}");
        }
        println!();
    }
    let tokens = tally.good_tokens as f64 / args.seconds.max(1) as f64;
    println!(
        "\ngood tokens/s {tokens:.1}, run of {:.1} s\n",
        took.as_secs_f64()
    );
    println!("{}", json_line(args, tally, tokens));
}

fn latencies(tally: &Tally) -> [(&'static str, &Histogram<u64>); 4] {
    [
        ("first token", &tally.first_token),
        ("between", &tally.token_gap),
        ("whole", &tally.latency),
        ("refusal", &tally.refusal),
    ]
}

/// Returns p50, p95, p99 and maximum in milliseconds.
fn percentiles(histogram: &Histogram<u64>) -> [f64; 4] {
    let ms = |us: u64| us as f64 / 1_000.0;
    [
        ms(histogram.value_at_quantile(0.5)),
        ms(histogram.value_at_quantile(0.95)),
        ms(histogram.value_at_quantile(0.99)),
        ms(histogram.max()),
    ]
}

fn json_line(args: &Args, tally: &Tally, tokens: f64) -> Value {
    let mut endings = Map::new();
    for ending in ENDINGS {
        endings.insert(ending.name().to_owned(), json!(tally.total(ending)));
    }
    let mut millis = Map::new();
    for (name, histogram) in latencies(tally) {
        let [p50, p95, p99, max] = percentiles(histogram);
        let value = json!({ "p50": p50, "p95": p95, "p99": p99, "max": max });
        millis.insert(name.replace(' ', "_"), value);
    }
    json!({
        "command": "load",
        "scenario": format!("{:?}", args.scenario),
        "rate": args.rate,
        "seconds": args.seconds,
        "tokens": args.tokens,
        "prompt": args.prompt,
        "seed": args.seed,
        "good_tokens_per_s": tokens,
        "endings": endings,
        "ms": millis,
    })
}
