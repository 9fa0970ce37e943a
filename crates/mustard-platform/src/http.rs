//! HTTP client for the platform's services.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use mustard_net::CallError;
use mustard_net::http::{Answer, HttpClient, PooledClient, Request};
use mustard_net::traffic;
use mustard_proto::Execution;

use crate::errors::{PlatformError, Result};
use crate::object::ObjectStore;
use crate::table::{CommitOutcome, Row, ScanPage, Table, Txn};
use crate::vms::{VmChanges, VmList};

const JSON: &str = "application/json";
const OCTET_STREAM: &str = "application/octet-stream";
/// The retry delay reported for every unavailable service; the services' own hints aren't read.
const DEFAULT_RETRY_MS: u64 = 1_000;

/// A client of one of the platform's services over HTTP.
#[derive(Clone)]
pub struct HttpService {
    client: PooledClient,
    addr: SocketAddr,
    timeout: Duration,
    name: &'static str,
}

impl HttpService {
    /// Creates a client.
    ///
    /// `timeout` is the time for one call; `name` names the service in errors and metrics.
    pub fn new(
        client: Rc<HttpClient>,
        addr: SocketAddr,
        timeout: Duration,
        name: &'static str,
    ) -> Self {
        HttpService {
            client: PooledClient::new(client),
            addr,
            timeout,
            name,
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        media_type: &str,
        body: Vec<u8>,
    ) -> Result<Answer> {
        traffic::count_sent(self.name, path.len() + body.len());
        let request = Request {
            to: self.addr,
            method,
            path,
            content_type: media_type,
            headers: &[],
            body,
            timeout: self.timeout,
        };
        let answer = self
            .client
            .exchange(request)
            .await
            .map_err(|e| self.classify_error(&e))?;
        traffic::count_received(self.name, answer.body.len());
        // A service that answers 429 or 503 has not acted on the call.
        if matches!(answer.status, 429 | 503) {
            return Err(self.unavailable());
        }
        Ok(answer)
    }

    async fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T> {
        let body = serde_json::to_vec(body).map_err(|e| self.bad_answer(0, &e.to_string()))?;
        let answer = self.send(Method::POST, path, JSON, body).await?;
        self.parse(&answer)
    }

    fn parse<T: DeserializeOwned>(&self, answer: &Answer) -> Result<T> {
        if answer.status != 200 {
            return Err(self.bad_answer(answer.status, &String::from_utf8_lossy(&answer.body)));
        }
        serde_json::from_slice(&answer.body).map_err(|e| self.bad_answer(200, &e.to_string()))
    }

    fn classify_error(&self, e: &CallError) -> PlatformError {
        match e.execution() {
            Execution::No => self.unavailable(),
            Execution::Maybe => PlatformError::InDoubt {
                service: self.name,
                detail: e.to_string(),
            },
        }
    }

    fn unavailable(&self) -> PlatformError {
        PlatformError::Unavailable {
            service: self.name,
            retry_ms: DEFAULT_RETRY_MS,
        }
    }

    fn bad_answer(&self, status: u16, detail: &str) -> PlatformError {
        PlatformError::BadAnswer {
            service: self.name,
            status,
            detail: detail.to_owned(),
        }
    }
}

/// The request body for a read of rows by key.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
pub struct ReadRequest {
    /// The keys.
    pub keys: Vec<String>,
}

/// The request body for a scan of rows.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
pub struct ScanRequest {
    /// The prefix of the keys.
    pub prefix: String,
    /// The scan starts at the first key greater than this one.
    pub after: String,
    /// The largest number of rows to return.
    pub limit: usize,
}

impl Table for HttpService {
    async fn commit(&self, txn: Txn) -> Result<CommitOutcome> {
        self.post("/table/commit", &txn).await
    }

    async fn read(&self, keys: &[String]) -> Result<Vec<Row>> {
        self.post(
            "/table/read",
            &ReadRequest {
                keys: keys.to_vec(),
            },
        )
        .await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<ScanPage> {
        let body = ScanRequest {
            prefix: prefix.to_owned(),
            after: after.to_owned(),
            limit,
        };
        self.post("/table/scan", &body).await
    }
}

impl ObjectStore for HttpService {
    async fn put(&self, key: &str, body: Vec<u8>) -> Result<()> {
        let answer = self
            .send(Method::PUT, &format!("/objects/{key}"), OCTET_STREAM, body)
            .await?;
        match answer.status {
            200 | 201 | 204 => Ok(()),
            status => Err(self.bad_answer(status, "object was not written")),
        }
    }

    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>> {
        let answer = self
            .send(
                Method::GET,
                &format!("/objects/{key}"),
                OCTET_STREAM,
                Vec::new(),
            )
            .await?;
        match answer.status {
            200 => Ok(Some(answer.body.to_vec())),
            404 => Ok(None),
            status => Err(self.bad_answer(status, "object was not read")),
        }
    }
}

impl VmList for HttpService {
    async fn changes(&self, after: u64) -> Result<VmChanges> {
        let path = format!("/vms?after={after}");
        let answer = self.send(Method::GET, &path, JSON, Vec::new()).await?;
        self.parse(&answer)
    }
}
