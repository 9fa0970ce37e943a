//! Calls the HTTP interface for operators (`/admin`) of the entry processes.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::time::{self, Instant};

use mustard_core::outcome::Outcome;
use mustard_net::http::{self, Answer, HttpClient, Request};
use mustard_proto::Execution;

use crate::cli::Cli;
use crate::errors::{CtlError, Refusal, Result, UsageError};

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const RETRY_DELAY: Duration = Duration::from_millis(300);
const JSON: &str = "application/json";

/// A client of the operators' interface that tries the next entry process if one does not answer.
pub struct AdminClient {
    http: HttpClient,
    entry_addrs: Vec<SocketAddr>,
    bearer: String,
    retry_time: Duration,
}

impl AdminClient {
    /// Creates a client from the command line arguments.
    ///
    /// # Errors
    ///
    /// Returns [`UsageError::NoKey`] if the operator's key is not given.
    pub async fn new(cli: &Cli) -> Result<Self> {
        let key = cli.key.as_ref().ok_or(CtlError::Usage(UsageError::NoKey))?;
        Ok(AdminClient {
            http: http::new_client(),
            entry_addrs: cli.entry.clone(),
            bearer: format!("Bearer {key}"),
            retry_time: Duration::from_secs(cli.wait),
        })
    }

    /// Reads a resource. Tries each entry process once, until one answers.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let answer = self.call_any(Method::GET, path, &[]).await?;
        Ok(serde_json::from_slice(&answer.body)?)
    }

    /// Sends an idempotent request, and retries it after temporary errors for the time given by
    /// `--wait`.
    ///
    /// # Errors
    ///
    /// Returns an error that is not temporary at once, and the last temporary one when the time is
    /// over. If an earlier attempt may have run, the outcome in this last error is
    /// changed to unknown.
    pub async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T> {
        let body = serde_json::to_vec(body)?;
        let deadline = Instant::now() + self.retry_time;
        let mut outcome_unknown = false;
        loop {
            let e = match self.call_any(method.clone(), path, &body).await {
                Ok(answer) => return parse_body(&answer.body),
                Err(e) => e,
            };
            outcome_unknown |= may_have_run(&e);
            if !is_temporary(&e) {
                return Err(e);
            }
            if Instant::now() + RETRY_DELAY > deadline {
                return Err(if outcome_unknown {
                    with_unknown_outcome(e)
                } else {
                    e
                });
            }
            time::sleep(RETRY_DELAY).await;
        }
    }

    async fn call_any(&self, method: Method, path: &str, body: &[u8]) -> Result<Answer> {
        let mut failure = None;
        for entry in &self.entry_addrs {
            match self.call_entry(*entry, method.clone(), path, body).await {
                Err(CtlError::NoAnswer(e)) => {
                    // An error after which the request may have run is not replaced by the error
                    // of a later entry process.
                    if failure
                        .as_ref()
                        .is_none_or(|kept: &mustard_net::CallError| {
                            kept.execution() == Execution::No
                        })
                    {
                        failure = Some(e);
                    }
                }
                other => return other,
            }
        }
        let no_entry = || mustard_net::CallError::NotSent("no entry process is given".to_owned());
        Err(CtlError::NoAnswer(failure.unwrap_or_else(no_entry)))
    }

    async fn call_entry(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<Answer> {
        let request = Request {
            to,
            method,
            path,
            content_type: JSON,
            headers: &[("authorization", &self.bearer)],
            body: body.to_vec(),
            timeout: CALL_TIMEOUT,
        };
        let answer = http::exchange(&self.http, request)
            .await
            .map_err(CtlError::NoAnswer)?;
        if (200..300).contains(&answer.status) {
            return Ok(answer);
        }
        let problem = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        let status = answer.status;
        Err(CtlError::Refused(Box::new(Refusal { status, problem })))
    }
}

fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    // An empty body is parsed as null, so that answers without content parse as the unit type.
    let body = if body.is_empty() { b"null" } else { body };
    Ok(serde_json::from_slice(body)?)
}

fn may_have_run(e: &CtlError) -> bool {
    match e {
        CtlError::NoAnswer(e) => e.execution() == Execution::Maybe,
        CtlError::Refused(r) => r.outcome() == Outcome::Unknown,
        _ => false,
    }
}

fn is_temporary(e: &CtlError) -> bool {
    match e {
        CtlError::NoAnswer(_) => true,
        CtlError::Refused(r) => matches!(r.status, 429 | 502 | 503 | 504),
        _ => false,
    }
}

/// Changes the outcome of an error to unknown, because an earlier attempt may have run.
fn with_unknown_outcome(e: CtlError) -> CtlError {
    let CtlError::Refused(mut refusal) = e else {
        return CtlError::NoAnswer(mustard_net::CallError::Lost(e.to_string()));
    };
    refusal.problem["outcome"] = json!(Outcome::Unknown);
    CtlError::Refused(refusal)
}
