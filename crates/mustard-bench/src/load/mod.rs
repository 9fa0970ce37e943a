//! The `load` command: open-loop arrivals against running processes.
//!
//! Every latency counts from the moment at which the request was due, not from the moment at
//! which it was sent, so that a stall of the system is not hidden by requests that wait for it.

mod arrivals;
mod booking;
mod draft;
mod report;
mod tally;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, anyhow};
use ntex::rt::{DefaultRuntime, System};
use tokio::time::{Instant, sleep_until};

use mustard_net::http::{self, HttpClient};

pub(crate) use arrivals::Scenario;
pub(crate) use arrivals::{Arrival, Kind};
pub(crate) use tally::{Ending, RequestResult, Tally};

/// How long to wait for outstanding answers after the last arrival.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(60);

/// Arguments of `load`.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct Args {
    /// The entry processes; requests go to them in turn.
    #[arg(long, required = true, value_delimiter = ',')]
    pub(crate) entry: Vec<SocketAddr>,
    /// The customer's bearer key.
    #[arg(long, default_value = "peachtree-demo")]
    pub(crate) key: String,
    /// The catalogue entry of drafts.
    #[arg(long, default_value = "caption")]
    pub(crate) model: String,
    /// The catalogue entry of the plain service.
    #[arg(long, default_value = "placements")]
    pub(crate) service: String,
    /// How requests arrive.
    #[arg(long, value_enum, default_value = "steady")]
    pub(crate) scenario: Scenario,
    /// Mean arrivals a second.
    #[arg(long, default_value_t = 20.0)]
    pub(crate) rate: f64,
    /// How long requests arrive, in seconds.
    #[arg(long, default_value_t = 20)]
    pub(crate) seconds: u64,
    /// Tokens of one draft.
    #[arg(long, default_value_t = 32)]
    pub(crate) tokens: u32,
    /// Tokens of one prompt.
    #[arg(long, default_value_t = 64)]
    pub(crate) prompt: u32,
    /// The deadline of each request, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    pub(crate) deadline_ms: u64,
    /// The share of bookings among the requests.
    #[arg(long, default_value_t = 0.05)]
    pub(crate) bookings: f64,
    /// The share of status reads among the requests.
    #[arg(long, default_value_t = 0.05)]
    pub(crate) reads: f64,
    /// Number of sending threads.
    #[arg(long, default_value_t = 2)]
    pub(crate) threads: usize,
    /// The seed of arrivals, prompts and idempotency keys.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
}

/// Runs the command.
pub(crate) fn run(args: &Args) -> anyhow::Result<()> {
    let started = Instant::now();
    let tally = offer(args)?;
    report::print(args, &tally, started.elapsed());
    Ok(())
}

/// Offers the load that the arguments describe and returns the results of all requests.
pub(crate) fn offer(args: &Args) -> anyhow::Result<Tally> {
    let all = arrivals::schedule(args);
    let threads = args.threads.max(1);
    // All threads share one start, slightly in the future so that each of them is ready by then.
    let start = Instant::now() + Duration::from_millis(200);
    let handles = (0..threads).map(|index| {
        let share: Vec<Arrival> = all.iter().skip(index).step_by(threads).cloned().collect();
        let args = args.clone();
        std::thread::spawn(move || {
            System::new("load", DefaultRuntime).block_on(send_arrivals(args, share, start))
        })
    });
    let handles: Vec<_> = handles.collect();
    let mut total = Tally::new();
    for handle in handles {
        let tally = handle
            .join()
            .map_err(|_| anyhow!("a sending thread panicked"))?;
        total
            .merge(&tally)
            .context("cannot merge the tallies of two threads")?;
    }
    Ok(total)
}

/// Sends the requests of one thread, each when it is due, and waits for their answers.
async fn send_arrivals(args: Args, arrivals: Vec<Arrival>, start: Instant) -> Tally {
    let client = http::new_client();
    let args = Rc::new(args);
    let mut tasks = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        let due = start + arrival.offset;
        sleep_until(due).await;
        let request = send(client.clone(), Rc::clone(&args), arrival, due);
        tasks.push(ntex::rt::spawn(request));
    }
    let mut tally = Tally::new();
    let end = Instant::now() + LAST_ANSWERS_TIMEOUT;
    for task in tasks {
        match tokio::time::timeout_at(end, task).await {
            Ok(Ok(result)) => tally.add_request(&result),
            _ => tally.add_lost(),
        }
    }
    tally
}

/// Sends one request, waits for its end and returns how it ended.
pub(crate) async fn send(
    client: HttpClient,
    args: Rc<Args>,
    arrival: Arrival,
    due: Instant,
) -> RequestResult {
    let to = args.entry[arrival.number % args.entry.len()];
    match arrival.kind {
        Kind::Draft => draft::send(to, &args, &arrival, due).await,
        Kind::Booking => booking::book(&client, to, &args, &arrival, due).await,
        Kind::Read => booking::read(&client, to, &args, due).await,
    }
}
