//! Bookings and status reads of the plain service.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::http::Method;
use serde_json::{Value, json};
use tokio::time::Instant;

use mustard_net::http::{self, HttpClient, Request};

use super::Args;
use super::arrivals::{Arrival, Kind};
use super::draft::ending_of;
use super::tally::{Ending, RequestResult};

/// A request to the plain service.
struct Call<'a> {
    method: Method,
    path: &'a str,
    /// The idempotency key; absent for reads.
    key: Option<&'a str>,
    body: Vec<u8>,
}

/// Sends one booking under its own idempotency key and waits for the answer.
pub(super) async fn book(
    client: &HttpClient,
    to: SocketAddr,
    args: &Args,
    arrival: &Arrival,
    due: Instant,
) -> RequestResult {
    let key = format!("load-{}-{}-{}", args.seed, arrival.number, arrival.salt);
    let body = json!({ "strip": arrival.number, "page": arrival.salt % 64 });
    let call = Call {
        method: Method::POST,
        path: &format!("/v1/services/{}/book", args.service),
        key: Some(&key),
        body: body.to_string().into_bytes(),
    };
    let ending = send(client, to, args, call, due).await;
    RequestResult::new(Kind::Booking, ending, due.elapsed())
}

/// Sends one status read and waits for the answer.
pub(super) async fn read(
    client: &HttpClient,
    to: SocketAddr,
    args: &Args,
    due: Instant,
) -> RequestResult {
    let call = Call {
        method: Method::GET,
        path: &format!("/v1/services/{}/status", args.service),
        key: None,
        body: Vec::new(),
    };
    let ending = send(client, to, args, call, due).await;
    RequestResult::new(Kind::Read, ending, due.elapsed())
}

async fn send(
    client: &HttpClient,
    to: SocketAddr,
    args: &Args,
    call: Call<'_>,
    due: Instant,
) -> Ending {
    let bearer = format!("Bearer {}", args.key);
    let deadline = args.deadline_ms.to_string();
    let mut headers = vec![
        ("authorization", bearer.as_str()),
        ("x-deadline-ms", deadline.as_str()),
    ];
    headers.extend(call.key.map(|key| ("idempotency-key", key)));
    let limit = Duration::from_millis(args.deadline_ms);
    let request = Request {
        to,
        method: call.method,
        path: call.path,
        content_type: "application/json",
        headers: &headers,
        body: call.body,
        timeout: limit,
    };
    let Ok(answer) = http::exchange(client, request).await else {
        return Ending::Broken;
    };
    if (200..300).contains(&answer.status) {
        return match due.elapsed() <= limit {
            true => Ending::Good,
            false => Ending::Late,
        };
    }
    let problem: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    ending_of(problem["outcome"].as_str())
}
