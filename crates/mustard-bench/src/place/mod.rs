//! The `place` command: compares ways to plan which layers each server holds, over emulated days on
//! which servers die and come back empty.

mod day;
mod deployment;
mod ways;

use serde::Serialize;

use day::Day;
use deployment::Deployment;
use ways::Way;

/// Arguments of `place`.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// The seed of the first day; each day takes the next one.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many days to emulate.
    #[arg(long, default_value_t = 200)]
    days: u64,
    /// Number of servers in each deployment.
    #[arg(long, default_value_t = 38)]
    servers: usize,
    /// Number of failure domains.
    #[arg(long, default_value_t = 3)]
    domains: u32,
    /// The mean time between two deaths, in seconds.
    #[arg(long, default_value_t = 2.0)]
    deaths: f64,
    /// Streams that arrive in a second.
    #[arg(long, default_value_t = 62.0)]
    streams: f64,
    /// Prints one JSON object for each way instead of a table.
    #[arg(long)]
    json: bool,
}

/// The results of one way over all days; means unless said otherwise.
#[derive(Debug, Serialize)]
struct Row {
    way: &'static str,
    /// Milliseconds to the first token before any failure, with idle servers.
    first_ms: f64,
    /// Milliseconds between tokens before any failure, with idle servers.
    token_ms: f64,
    /// Requests that fit into the servers' memory at once before any failure.
    requests: f64,
    /// The share of streams that had a path and room in the pipes between failure domains.
    served: f64,
    /// The mean of `served` over the worst tenth of the days.
    worst: f64,
    /// Changes of failure domain on a path.
    crossings: f64,
    /// Loads ordered in a day, without those before it starts.
    loads: f64,
}

/// Runs the command.
pub(crate) fn run(args: &Args) -> anyhow::Result<()> {
    let rows: Vec<Row> = Way::ALL.iter().map(|way| measure_way(args, *way)).collect();
    if args.json {
        for row in &rows {
            println!("{}", serde_json::to_string(row)?);
        }
        return Ok(());
    }
    println!(
        "{:<14} {:>9} {:>9} {:>9} {:>8} {:>8} {:>8} {:>7}",
        "way", "first ms", "token ms", "requests", "served", "worst", "crossed", "loads"
    );
    for r in &rows {
        println!(
            "{:<14} {:>9.1} {:>9.1} {:>9.0} {:>8.4} {:>8.4} {:>8.2} {:>7.1}",
            r.way, r.first_ms, r.token_ms, r.requests, r.served, r.worst, r.crossings, r.loads
        );
    }
    Ok(())
}

/// Emulates all days with one way.
fn measure_way(args: &Args, way: Way) -> Row {
    let mut row = Row {
        way: way.name(),
        first_ms: 0.0,
        token_ms: 0.0,
        requests: 0.0,
        served: 0.0,
        worst: 0.0,
        crossings: 0.0,
        loads: 0.0,
    };
    let mut served_shares = Vec::new();
    for seed in args.seed..args.seed + args.days {
        let deployment = Deployment::random(seed, args.servers, args.domains);
        let result = Day::new(seed, deployment, way, args).run();
        row.first_ms += result.first_ms;
        row.token_ms += result.token_ms;
        row.requests += result.requests;
        row.crossings += result.crossings;
        row.loads += result.loads as f64;
        served_shares.push(result.served);
    }
    let days = served_shares.len().max(1) as f64;
    for sum in [
        &mut row.first_ms,
        &mut row.token_ms,
        &mut row.requests,
        &mut row.crossings,
        &mut row.loads,
    ] {
        *sum /= days;
    }
    served_shares.sort_by(f64::total_cmp);
    let worst = &served_shares[..served_shares.len().div_ceil(10)];
    row.served = served_shares.iter().sum::<f64>() / days;
    row.worst = worst.iter().sum::<f64>() / worst.len().max(1) as f64;
    row
}
