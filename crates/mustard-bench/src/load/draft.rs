//! One streamed draft.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::client::{Client as HttpClient, ClientResponse};
use ntex::http::Method;
use ntex::util::stream_recv;
use serde_json::{Value, json};
use tokio::time::Instant;

use mustard_net::http::{self, Request};

use super::Args;
use super::arrivals::{Arrival, Kind};
use super::tally::{Ending, Finished};

/// Time beyond the deadline after which an answer is given up.
const SLACK: Duration = Duration::from_secs(10);

/// What the stream has shown so far.
#[derive(Default)]
struct Stream {
    rest: Vec<u8>,
    tokens: Vec<Instant>,
    counted: Option<u64>,
    done: bool,
    outcome: Option<String>,
}

/// Sends a draft and reads it to its end.
pub(super) async fn send(
    client: &HttpClient,
    to: SocketAddr,
    args: &Args,
    arrival: &Arrival,
    due: Instant,
) -> Finished {
    let limit = Duration::from_millis(args.deadline_ms) + SLACK;
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
    let whole = async {
        let mut response = http::send(client, request).await.ok()?;
        stream.read(&mut response).await
    };
    let status = tokio::time::timeout(limit, whole).await.ok().flatten();
    stream.finish(status, args, due)
}

fn body(args: &Args, arrival: &Arrival) -> Value {
    // Prompts share their first half, so that prefix caches have something to find.
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
    async fn read(&mut self, response: &mut ClientResponse) -> Option<u16> {
        let status = response.status().as_u16();
        while let Some(Ok(chunk)) = stream_recv(response).await {
            self.rest.extend_from_slice(&chunk);
            if status == 200 {
                self.take_lines();
            }
        }
        if status != 200 {
            self.take_problem();
        }
        Some(status)
    }

    fn take_lines(&mut self) {
        while let Some(end) = self.rest.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.rest.drain(..=end).collect();
            if let Some(data) = line.trim_ascii().strip_prefix(b"data: ") {
                self.take_event(data);
            }
        }
    }

    fn take_event(&mut self, data: &[u8]) {
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
            self.counted = Some(count);
        }
        let text = event["choices"][0]["text"].as_str();
        if text.is_some_and(|t| !t.is_empty()) {
            self.tokens.push(Instant::now());
        }
    }

    fn take_problem(&mut self) {
        let problem: Value = serde_json::from_slice(&self.rest).unwrap_or_default();
        self.outcome = problem["outcome"].as_str().map(str::to_owned);
    }

    fn finish(self, status: Option<u16>, args: &Args, due: Instant) -> Finished {
        let whole = due.elapsed();
        let tokens = self.tokens.len() as u64;
        let is_whole = status == Some(200) && self.done && self.counted == Some(tokens);
        let in_time = whole <= Duration::from_millis(args.deadline_ms);
        let ending = match (is_whole, in_time) {
            (true, true) => Ending::Good,
            (true, false) => Ending::Late,
            _ => ending_of(self.outcome.as_deref()),
        };
        let gaps = self.tokens.windows(2).map(|w| w[1] - w[0]).collect();
        Finished {
            first: self.tokens.first().map(|at| *at - due),
            gaps,
            tokens,
            ..Finished::new(Kind::Draft, ending, whole)
        }
    }
}

/// Returns the ending that the outcome of a refusal stands for.
pub(super) fn ending_of(outcome: Option<&str>) -> Ending {
    match outcome {
        Some("not_run") => Ending::NotRun,
        Some("unknown") => Ending::Unknown,
        Some("partial") => Ending::Partial,
        _ => Ending::Broken,
    }
}
