//! Sends one draft and reads the streamed answer.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::http::Method;
use serde_json::{Value, json};
use tokio::time::Instant;

use mustard_net::forward::ForwardedResponse;
use mustard_net::http::{self, Request};

use super::Args;
use super::arrivals::{Arrival, Kind};
use super::tally::{Ending, RequestResult};

/// How long past its deadline an answer is still read, so that late ones are told from broken ones.
const LATE_SLACK: Duration = Duration::from_secs(10);

/// What has been read of an answer so far.
#[derive(Default)]
struct Stream {
    /// Bytes not yet parsed.
    buffer: Vec<u8>,
    /// When each token arrived.
    tokens: Vec<Instant>,
    /// The number of tokens that the answer itself reports.
    token_count: Option<u64>,
    /// Whether the end mark was read.
    done: bool,
    /// The outcome named by an error event or by a refusal.
    outcome: Option<String>,
}

/// Sends a draft and reads its answer to the end.
pub(super) async fn send(
    to: SocketAddr,
    args: &Args,
    arrival: &Arrival,
    due: Instant,
) -> RequestResult {
    let limit = Duration::from_millis(args.deadline_ms) + LATE_SLACK;
    let body = body(args, arrival);
    let bearer = format!("Bearer {}", args.key);
    let request = Request {
        to,
        method: Method::POST,
        path: "/v1/completions",
        content_type: "application/json",
        headers: &[("authorization", &bearer)],
        body: body.to_string().into_bytes(),
        timeout: limit,
    };
    let mut stream = Stream::default();
    let exchange = async {
        let response = http::send(&request).await.ok()?;
        Some(stream.read(response).await)
    };
    let status = tokio::time::timeout(limit, exchange).await.ok().flatten();
    stream.finish(status, args, due)
}

fn body(args: &Args, arrival: &Arrival) -> Value {
    // Prompts share their first half, so that prefix caches get hits.
    let shared = args.prompt / 2;
    let token = |i: u32| match i < shared {
        true => i % 97,
        false => arrival.salt.wrapping_add(i) % 32_000,
    };
    let prompt: Vec<u32> = (0..args.prompt.max(1)).map(token).collect();
    json!({
        "model": args.model,
        "prompt": prompt,
        "max_tokens": args.tokens,
        "stream": true,
        "deadline_ms": args.deadline_ms,
    })
}

impl Stream {
    /// Reads the answer and returns its status code.
    async fn read(&mut self, mut response: ForwardedResponse) -> u16 {
        let status = response.status;
        while let Ok(Some(chunk)) = response.body.next_chunk().await {
            self.buffer.extend_from_slice(&chunk);
            if status == 200 {
                self.parse_lines();
            }
        }
        if status != 200 {
            self.parse_problem();
        }
        status
    }

    fn parse_lines(&mut self) {
        while let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            if let Some(data) = line.trim_ascii().strip_prefix(b"data: ") {
                self.parse_event(data);
            }
        }
    }

    fn parse_event(&mut self, data: &[u8]) {
        if data == b"[DONE]" {
            self.done = true;
            return;
        }
        let Ok(event) = serde_json::from_slice::<Value>(data) else {
            return;
        };
        if let Some(outcome) = event["error"]["outcome"].as_str() {
            self.outcome = Some(outcome.to_owned());
        }
        if let Some(count) = event["usage"]["completion_tokens"].as_u64() {
            self.token_count = Some(count);
        }
        let text = event["choices"][0]["text"].as_str();
        if text.is_some_and(|t| !t.is_empty()) {
            self.tokens.push(Instant::now());
        }
    }

    fn parse_problem(&mut self) {
        let problem: Value = serde_json::from_slice(&self.buffer).unwrap_or_default();
        self.outcome = problem["outcome"].as_str().map(str::to_owned);
    }

    /// Judges the answer; `status` is absent if there was none or it took too long.
    fn finish(self, status: Option<u16>, args: &Args, due: Instant) -> RequestResult {
        let latency = due.elapsed();
        let tokens = self.tokens.len() as u64;
        let is_whole = status == Some(200) && self.done && self.token_count == Some(tokens);
        let in_time = latency <= Duration::from_millis(args.deadline_ms);
        let ending = match (is_whole, in_time) {
            (true, true) => Ending::Good,
            (true, false) => Ending::Late,
            _ => ending_of(self.outcome.as_deref()),
        };
        let token_gaps = self.tokens.windows(2).map(|w| w[1] - w[0]).collect();
        RequestResult {
            first_token: self.tokens.first().map(|at| *at - due),
            token_gaps,
            tokens,
            ..RequestResult::new(Kind::Draft, ending, latency)
        }
    }
}

/// Returns the ending for the outcome that a refusal or an error event names.
pub(super) fn ending_of(outcome: Option<&str>) -> Ending {
    match outcome {
        Some("not_run") => Ending::NotRun,
        Some("unknown") => Ending::Unknown,
        Some("partial") => Ending::Partial,
        _ => Ending::Broken,
    }
}
