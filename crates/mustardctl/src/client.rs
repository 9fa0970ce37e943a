//! Calls of the operators' interface of an entry process.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::client::Client as HttpClient;
use ntex::http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::time::{self, Instant};

use mustard_core::outcome::Outcome;
use mustard_net::http::{self, Answer, Request};
use mustard_proto::Ran;

use crate::cli::Cli;
use crate::errors::{CtlError, Refused, Result, Usage};

const CALL_LIMIT: Duration = Duration::from_secs(10);
const RETRY_PAUSE: Duration = Duration::from_millis(300);
const JSON: &str = "application/json";

/// Asks entry processes, the next one when one does not answer.
pub struct Client {
    http: HttpClient,
    entries: Vec<SocketAddr>,
    bearer: String,
    wait: Duration,
}

impl Client {
    /// Creates the client that the arguments describe.
    pub async fn new(cli: &Cli) -> Result<Self> {
        let key = cli.key.as_ref().ok_or(CtlError::Usage(Usage::NoKey))?;
        Ok(Client {
            http: http::new_client().await,
            entries: cli.entry.clone(),
            bearer: format!("Bearer {key}"),
            wait: Duration::from_secs(cli.wait),
        })
    }

    /// Reads a resource.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let answer = self.any(Method::GET, path, &[]).await?;
        Ok(serde_json::from_slice(&answer.body)?)
    }

    /// Sends a request that may be repeated, and sends it again during an outage.
    ///
    /// # Errors
    ///
    /// Returns the last refusal once the time for repeating is over.
    pub async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T> {
        let body = serde_json::to_vec(body)?;
        let end = Instant::now() + self.wait;
        let mut doubt = false;
        loop {
            let e = match self.any(method.clone(), path, &body).await {
                Ok(answer) => return parse(&answer.body),
                Err(e) => e,
            };
            doubt |= leaves_doubt(&e);
            if !is_passing(&e) {
                return Err(e);
            }
            if Instant::now() + RETRY_PAUSE > end {
                return Err(if doubt { in_doubt(e) } else { e });
            }
            time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn any(&self, method: Method, path: &str, body: &[u8]) -> Result<Answer> {
        let mut last = None;
        for entry in &self.entries {
            match self.one(*entry, method.clone(), path, body).await {
                Err(CtlError::NoAnswer(e)) => {
                    // An earlier entry may have acted, which a later one that was not reached
                    // must not hide.
                    if last
                        .as_ref()
                        .is_none_or(|l: &mustard_net::CallError| l.ran() == Ran::No)
                    {
                        last = Some(e);
                    }
                }
                other => return other,
            }
        }
        let none = || mustard_net::CallError::NotSent("no entry process is given".to_owned());
        Err(CtlError::NoAnswer(last.unwrap_or_else(none)))
    }

    async fn one(&self, to: SocketAddr, method: Method, path: &str, body: &[u8]) -> Result<Answer> {
        let request = Request {
            to,
            method,
            path,
            content_type: JSON,
            headers: &[("authorization", &self.bearer)],
            body: body.to_vec(),
            limit: CALL_LIMIT,
        };
        let answer = http::exchange(&self.http, request)
            .await
            .map_err(CtlError::NoAnswer)?;
        if (200..300).contains(&answer.status) {
            return Ok(answer);
        }
        let problem = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        let status = answer.status;
        Err(CtlError::Refused(Box::new(Refused { status, problem })))
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    // An empty body stands for null, so that answers without content parse as unit.
    let body = if body.is_empty() { b"null" } else { body };
    Ok(serde_json::from_slice(body)?)
}

fn leaves_doubt(e: &CtlError) -> bool {
    match e {
        CtlError::NoAnswer(e) => e.ran() == Ran::Maybe,
        CtlError::Refused(r) => r.outcome() == Outcome::Unknown,
        _ => false,
    }
}

fn is_passing(e: &CtlError) -> bool {
    match e {
        CtlError::NoAnswer(_) => true,
        CtlError::Refused(r) => matches!(r.status, 429 | 502 | 503 | 504),
        _ => false,
    }
}

/// Turns a last refusal into one that leaves the outcome open, because an earlier send did.
fn in_doubt(e: CtlError) -> CtlError {
    let CtlError::Refused(mut refused) = e else {
        return CtlError::NoAnswer(mustard_net::CallError::Lost(e.to_string()));
    };
    refused.problem["outcome"] = json!(Outcome::Unknown);
    CtlError::Refused(refused)
}
