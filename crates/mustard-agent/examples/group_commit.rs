//! Measures bookings per second against table transactions per second for several batch sizes.
//!
//! For each batch size, starts an agent with the fake service and the fake platform and keeps a
//! fixed number of calls in flight, each with a new key.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use clap::Parser;

use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Incarnation, RequestId};
use mustard_net::{CallError, MessageClient, Process};
use mustard_proto::agent::Call;
use mustard_tests::child::Child;
use mustard_tests::http::HttpRequest;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Measures bookings per second against table transactions per second.
#[derive(Debug, Parser)]
struct Options {
    /// Batch sizes, in rows.
    #[arg(long, value_delimiter = ',', default_value = "2,8,64")]
    batch: Vec<usize>,
    /// Calls in flight.
    #[arg(long, default_value_t = 64)]
    flight: usize,
    /// Time for each batch size, in seconds.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Delay of each request to the table, in milliseconds.
    #[arg(long, default_value_t = 5)]
    table_ms: u64,
    /// Writes per second that the table accepts.
    #[arg(long, default_value_t = 500)]
    writes: u32,
}

#[derive(Default)]
struct CallStats {
    latencies_us: Vec<u64>,
    refused: u64,
}

#[ntex::main]
async fn main() -> anyhow::Result<()> {
    let options = Options::parse();
    let dir = std::env::temp_dir().join(format!("group-commit-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    println!("batch  bookings/s  refused/s  commits/s  reads/s  rows/commit  p50 ms  p99 ms");
    for batch in &options.batch {
        measure_batch(&options, *batch, &dir).await?;
    }
    std::fs::remove_dir_all(&dir)?;
    Ok(())
}

async fn measure_batch(options: &Options, batch: usize, dir: &Path) -> anyhow::Result<()> {
    let writes = ["--writes-rate".to_owned(), options.writes.to_string()];
    let platform = Child::start("fake-platform", "platform", &writes, dir)?;
    let slow_table = format!(r#"{{"part":"table","delay_ms":{}}}"#, options.table_ms);
    HttpRequest::post(platform.addr(), "/control", slow_table).send()?;
    let service = Child::start("fake-service", "service", &[], dir)?;
    let settings = format!(
        "vm = \"a\"\ndomain = \"d\"\nlisten = \"127.0.0.1:0\"\nkind = \"service\"\n\
         server = \"{}\"\nservice = \"s\"\ntable = \"{}\"\n[claims]\nbatch = {batch}\n\
         [log]\nlevel = \"error\"\n",
        service.addr(),
        platform.addr()
    );
    let file = dir.join("agent.toml");
    std::fs::write(&file, settings)?;
    let args = ["--config".to_owned(), file.display().to_string()];
    let agent = Child::start("mustard-agent", "agent", &args, dir)?;
    let start = Instant::now();
    let stats = run_load(options, agent.addr()).await;
    report(batch, start.elapsed(), stats, agent.addr())
}

async fn run_load(options: &Options, agent: SocketAddr) -> CallStats {
    let process = Process::new("bench", 16);
    let client = MessageClient::new(process);
    let end = Instant::now() + Duration::from_secs(options.seconds);
    let workers: Vec<_> = (0..options.flight)
        .map(|_| tokio::task::spawn_local(book_until(client.clone(), agent, end)))
        .collect();
    let mut total = CallStats::default();
    for worker in workers {
        let part = worker.await.unwrap_or_default();
        total.latencies_us.extend(part.latencies_us);
        total.refused += part.refused;
    }
    total
}

async fn book_until(client: MessageClient, agent: SocketAddr, end: Instant) -> CallStats {
    static NEXT_ID: AtomicU64 = AtomicU64::new(0);
    let mut stats = CallStats::default();
    while Instant::now() < end {
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let start = Instant::now();
        match client
            .call(agent, Incarnation(0), new_call(id), CALL_TIMEOUT)
            .await
        {
            Ok(_) => stats.latencies_us.push(start.elapsed().as_micros() as u64),
            Err(e) => {
                stats.refused += 1;
                back_off(&e).await;
            }
        }
    }
    stats
}

async fn back_off(e: &CallError) {
    let retry_ms = match e {
        CallError::Refused(r) => r.retry_ms().unwrap_or_default(),
        _ => 0,
    };
    tokio::time::sleep(Duration::from_millis(retry_ms.max(1))).await;
}

fn new_call(id: u64) -> Call {
    Call {
        request: RequestId(u128::from(id)),
        entry: "s".into(),
        owner: "o".into(),
        service: "s".into(),
        key: Some(id.to_string()),
        fingerprint: Fingerprint(u128::from(id)),
        method: "POST".into(),
        path: "/pages/1".into(),
        content_type: "application/json".into(),
        body: b"{}".to_vec(),
        deadline_ms: 5_000,
    }
}

fn report(
    batch: usize,
    elapsed: Duration,
    mut stats: CallStats,
    agent: SocketAddr,
) -> anyhow::Result<()> {
    let text = HttpRequest::get(agent, "/metrics").send()?.body;
    let read_metric = |name: &str| -> f64 {
        let line = text.lines().find(|l| l.starts_with(name));
        let value = line.and_then(|l| l.rsplit(' ').next());
        value.and_then(|v| v.parse().ok()).unwrap_or(0.0)
    };
    stats.latencies_us.sort_unstable();
    let percentile_ms = |share: f64| {
        let index = (stats.latencies_us.len() as f64 * share) as usize;
        stats.latencies_us.get(index).copied().unwrap_or_default() as f64 / 1e3
    };
    let seconds = elapsed.as_secs_f64();
    let commits = read_metric("mustard_agent_table_commits_total");
    println!(
        "{batch:>5}  {:>10.0}  {:>9.0}  {:>9.0}  {:>7.0}  {:>11.1}  {:>6.1}  {:>6.1}",
        stats.latencies_us.len() as f64 / seconds,
        stats.refused as f64 / seconds,
        commits / seconds,
        read_metric("mustard_agent_table_reads_total") / seconds,
        // Each call writes its row twice: the claim, then the result.
        2.0 * stats.latencies_us.len() as f64 / commits.max(1.0),
        percentile_ms(0.5),
        percentile_ms(0.99),
    );
    Ok(())
}
