//! HTTP clients of engines and plain services.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::client::Client as HttpClient;
use ntex::http::Method;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use mustard_core::ids::Fence;
use mustard_net::CallError;
use mustard_net::http::{Answer, CLOSE, Request, exchange};
use mustard_proto::agent::Load;

use crate::engine::{Engine, Held, KvCache, LoadOrder, SeqId, StepBody, StepOut};
use crate::errors::{BackendError, Result};
use crate::service::{PlainService, ServiceAnswer, ServiceCall};

const JSON: &str = "application/json";
const REFERENCE: &str = "x-reference";
const SHORT_LIMIT: Duration = Duration::from_secs(2);
const ORDER_LIMIT: Duration = Duration::from_secs(120);

/// An engine's refusal: status 409 with `position` or `fence`, 404 with `missing`, 503 with
/// `retry_ms`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineRefusal {
    /// The position expected.
    pub position: Option<u32>,
    /// The highest fencing number seen.
    pub fence: Option<Fence>,
    /// What the engine does not hold.
    pub missing: Option<String>,
    /// When to come back, in milliseconds.
    pub retry_ms: Option<u64>,
}

/// A backend server over HTTP.
#[derive(Clone)]
pub struct HttpBackend {
    client: Rc<HttpClient>,
    fresh: Rc<HttpClient>,
    addr: SocketAddr,
}

impl HttpBackend {
    /// Creates a client of the server at an address.
    ///
    /// Calls that carry a reference use `fresh`, which must be used for nothing else: each of
    /// them has a connection of its own. A kept connection may be closed by the server while a
    /// call is sent on it, and whether that call arrived can't be told.
    pub fn new(client: Rc<HttpClient>, fresh: Rc<HttpClient>, addr: SocketAddr) -> Self {
        HttpBackend {
            client,
            fresh,
            addr,
        }
    }

    /// Tells whether the server accepts connections.
    pub async fn reachable(&self) -> bool {
        let connect = tokio::net::TcpStream::connect(self.addr);
        let connected = tokio::time::timeout(SHORT_LIMIT, connect).await;
        matches!(connected, Ok(Ok(_)))
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Answer> {
        let to = self.addr;
        let request = Request {
            to,
            method,
            path,
            content_type: JSON,
            headers: &[],
            body,
            limit,
        };
        exchange(&self.client, request).await.map_err(sort_error)
    }

    async fn json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
        limit: Duration,
    ) -> Result<T> {
        let body = serde_json::to_vec(body).map_err(|e| bad(0, &e.to_string()))?;
        let answer = self.send(method, path, body, limit).await?;
        if answer.status != 200 {
            return Err(sort_refusal(&answer));
        }
        serde_json::from_slice(&answer.body).map_err(|e| bad(200, &e.to_string()))
    }
}

fn bad(status: u16, detail: &str) -> BackendError {
    BackendError::BadAnswer {
        status,
        detail: detail.to_owned(),
    }
}

fn sort_error(e: CallError) -> BackendError {
    match e {
        CallError::NotSent(detail) => BackendError::Unreachable(detail),
        CallError::Lost(detail) => BackendError::Broken(detail),
        other => BackendError::NoAnswer(other.to_string()),
    }
}

fn sort_refusal(answer: &Answer) -> BackendError {
    let Ok(refusal) = serde_json::from_slice::<EngineRefusal>(&answer.body) else {
        return bad(answer.status, &String::from_utf8_lossy(&answer.body));
    };
    match (answer.status, refusal) {
        (
            409,
            EngineRefusal {
                position: Some(expected),
                ..
            },
        ) => BackendError::Position { expected },
        (
            409,
            EngineRefusal {
                fence: Some(highest),
                ..
            },
        ) => BackendError::Fenced { highest },
        (
            404,
            EngineRefusal {
                missing: Some(what),
                ..
            },
        ) => BackendError::NotHeld(what),
        (
            503,
            EngineRefusal {
                retry_ms: Some(retry_ms),
                ..
            },
        ) => BackendError::Full { retry_ms },
        (status, _) => bad(status, &String::from_utf8_lossy(&answer.body)),
    }
}

impl Engine for HttpBackend {
    async fn step(&self, seq: SeqId, body: StepBody, limit_ms: u64) -> Result<StepOut> {
        let path = format!("/v1/sequences/{seq}/step");
        self.json(Method::POST, &path, &body, Duration::from_millis(limit_ms))
            .await
    }

    async fn cancel(&self, seq: SeqId) -> Result<()> {
        let path = format!("/v1/sequences/{seq}");
        self.send(Method::DELETE, &path, Vec::new(), SHORT_LIMIT)
            .await
            .map(|_| ())
    }

    async fn export(&self, seq: SeqId) -> Result<KvCache> {
        let path = format!("/v1/sequences/{seq}/kv");
        self.json(Method::GET, &path, &(), SHORT_LIMIT).await
    }

    async fn import(&self, seq: SeqId, cache: KvCache) -> Result<()> {
        let path = format!("/v1/sequences/{seq}/kv");
        self.json(Method::PUT, &path, &cache, SHORT_LIMIT).await
    }

    async fn load(&self) -> Result<Load> {
        self.json(Method::GET, "/v1/load", &(), SHORT_LIMIT).await
    }

    async fn held(&self) -> Result<Held> {
        self.json(Method::GET, "/v1/held", &(), SHORT_LIMIT).await
    }

    async fn order(&self, order: LoadOrder) -> Result<Held> {
        self.json(Method::POST, "/v1/orders", &order, ORDER_LIMIT)
            .await
    }
}

impl PlainService for HttpBackend {
    async fn call(&self, call: ServiceCall) -> Result<ServiceAnswer> {
        let method = call.method.parse().map_err(|_| bad(0, &call.method))?;
        let reference = call.reference.as_deref();
        let headers = reference.map(|r| [(REFERENCE, r), CLOSE]);
        let client = match reference {
            Some(_) => &self.fresh,
            None => &self.client,
        };
        let request = Request {
            to: self.addr,
            method,
            path: &call.path,
            content_type: &call.content_type,
            headers: headers.as_ref().map_or(&[], |h| h.as_slice()),
            body: call.body,
            limit: Duration::from_millis(call.limit_ms),
        };
        let answer = exchange(client, request).await.map_err(sort_error)?;
        Ok(into_service(answer))
    }

    async fn lookup(&self, reference: &str) -> Result<Option<ServiceAnswer>> {
        let path = format!("/lookup?reference={reference}");
        let answer = self
            .send(Method::GET, &path, Vec::new(), SHORT_LIMIT)
            .await?;
        match answer.status {
            200 => Ok(Some(into_service(answer))),
            404 => Ok(None),
            status => Err(bad(status, &String::from_utf8_lossy(&answer.body))),
        }
    }
}

fn into_service(answer: Answer) -> ServiceAnswer {
    let Answer {
        status,
        content_type,
        body,
    } = answer;
    ServiceAnswer {
        status,
        content_type,
        body: body.to_vec(),
    }
}
