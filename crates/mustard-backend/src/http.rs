//! The HTTP client of a backend server, for engines and plain services.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::Method;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use mustard_core::ids::Fence;
use mustard_net::CallError;
use mustard_net::http::{Answer, CONNECTION_CLOSE, HttpClient, Request, exchange};
use mustard_proto::agent::Load;

use crate::engine::{Engine, KvCache, LoadOrder, LoadedLayers, SeqId, StepOutput, StepRequest};
use crate::errors::{BackendError, Result};
use crate::service::{PlainService, ServiceAnswer, ServiceCall};

const JSON_TYPE: &str = "application/json";
const REFERENCE_HEADER: &str = "x-reference";
/// The timeout of calls that an engine or service answers without running a model.
const SHORT_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout of an order, which an engine answers only after it has loaded the weights.
const ORDER_TIMEOUT: Duration = Duration::from_secs(120);

/// The JSON body of an engine's refusal.
///
/// Status 409 comes with `position` or `fence`, 404 with `missing`, 503 with `retry_ms`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineRefusal {
    /// The position that the engine expects next; zero if the sequence is not open.
    pub position: Option<u32>,
    /// The highest fencing token that the engine has seen.
    pub fence: Option<Fence>,
    /// The model or the layers that the engine does not hold.
    pub missing: Option<String>,
    /// The time after which to retry, in milliseconds, if the engine has no room now.
    pub retry_ms: Option<u64>,
}

/// The HTTP client of one backend server.
#[derive(Clone)]
pub struct HttpBackend {
    client: Rc<HttpClient>,
    unpooled: Rc<HttpClient>,
    addr: SocketAddr,
}

impl HttpBackend {
    /// Creates a client of the backend server at an address.
    ///
    /// Calls of plain services use `unpooled`, on a new connection each, and nothing else may
    /// use that client. The backend server may close a kept connection while a call is being sent
    /// on it, and then it can't be known whether the call arrived; and it may write an answer twice, which
    /// would be taken for that to the next call.
    pub fn new(client: Rc<HttpClient>, unpooled: Rc<HttpClient>, addr: SocketAddr) -> Self {
        HttpBackend {
            client,
            unpooled,
            addr,
        }
    }

    /// Tells whether the backend server accepts connections.
    pub async fn is_reachable(&self) -> bool {
        let connect = tokio::net::TcpStream::connect(self.addr);
        let connected = tokio::time::timeout(SHORT_TIMEOUT, connect).await;
        matches!(connected, Ok(Ok(_)))
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Answer> {
        let to = self.addr;
        let request = Request {
            to,
            method,
            path,
            content_type: JSON_TYPE,
            headers: &[],
            body,
            timeout,
        };
        exchange(&self.client, request)
            .await
            .map_err(classify_error)
    }

    async fn call_json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T> {
        let body = serde_json::to_vec(body).map_err(|e| bad_answer(0, &e.to_string()))?;
        let answer = self.send(method, path, body, timeout).await?;
        if answer.status != 200 {
            return Err(classify_refusal(&answer));
        }
        serde_json::from_slice(&answer.body).map_err(|e| bad_answer(200, &e.to_string()))
    }
}

fn bad_answer(status: u16, detail: &str) -> BackendError {
    BackendError::BadAnswer {
        status,
        detail: detail.to_owned(),
    }
}

fn classify_error(e: CallError) -> BackendError {
    match e {
        CallError::NotSent(detail) | CallError::NoListener(detail) => {
            BackendError::Unreachable(detail)
        }
        CallError::Lost(detail) => BackendError::ConnectionBroken(detail),
        other => BackendError::NoAnswer(other.to_string()),
    }
}

fn classify_refusal(answer: &Answer) -> BackendError {
    let Ok(refusal) = serde_json::from_slice::<EngineRefusal>(&answer.body) else {
        return bad_answer(answer.status, &String::from_utf8_lossy(&answer.body));
    };
    match (answer.status, refusal) {
        (
            409,
            EngineRefusal {
                position: Some(expected),
                ..
            },
        ) => BackendError::WrongPosition { expected },
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
        ) => BackendError::NoRoom { retry_ms },
        (status, _) => bad_answer(status, &String::from_utf8_lossy(&answer.body)),
    }
}

impl Engine for HttpBackend {
    async fn step(&self, seq: SeqId, body: StepRequest, limit_ms: u64) -> Result<StepOutput> {
        let path = format!("/v1/sequences/{seq}/step");
        self.call_json(Method::POST, &path, &body, Duration::from_millis(limit_ms))
            .await
    }

    async fn cancel(&self, seq: SeqId) -> Result<()> {
        let path = format!("/v1/sequences/{seq}");
        self.send(Method::DELETE, &path, Vec::new(), SHORT_TIMEOUT)
            .await
            .map(|_| ())
    }

    async fn export(&self, seq: SeqId) -> Result<KvCache> {
        let path = format!("/v1/sequences/{seq}/kv");
        self.call_json(Method::GET, &path, &(), SHORT_TIMEOUT).await
    }

    async fn import(&self, seq: SeqId, cache: KvCache) -> Result<()> {
        let path = format!("/v1/sequences/{seq}/kv");
        self.call_json(Method::PUT, &path, &cache, SHORT_TIMEOUT)
            .await
    }

    async fn load(&self) -> Result<Load> {
        self.call_json(Method::GET, "/v1/load", &(), SHORT_TIMEOUT)
            .await
    }

    async fn loaded_layers(&self) -> Result<LoadedLayers> {
        self.call_json(Method::GET, "/v1/held", &(), SHORT_TIMEOUT)
            .await
    }

    async fn load_layers(&self, order: LoadOrder) -> Result<LoadedLayers> {
        self.call_json(Method::POST, "/v1/orders", &order, ORDER_TIMEOUT)
            .await
    }
}

impl PlainService for HttpBackend {
    async fn call(&self, call: ServiceCall) -> Result<ServiceAnswer> {
        let method = call
            .method
            .parse()
            .map_err(|_| bad_answer(0, &call.method))?;
        let reference = call.reference.as_deref().map(|r| (REFERENCE_HEADER, r));
        let headers: Vec<_> = [CONNECTION_CLOSE].into_iter().chain(reference).collect();
        let request = Request {
            to: self.addr,
            method,
            path: &call.path,
            content_type: &call.content_type,
            headers: &headers,
            body: call.body,
            timeout: Duration::from_millis(call.timeout_ms),
        };
        let answer = exchange(&self.unpooled, request)
            .await
            .map_err(classify_error)?;
        Ok(into_service_answer(answer))
    }

    async fn lookup(&self, reference: &str) -> Result<Option<ServiceAnswer>> {
        let path = format!("/lookup?reference={reference}");
        let answer = self
            .send(Method::GET, &path, Vec::new(), SHORT_TIMEOUT)
            .await?;
        match answer.status {
            200 => Ok(Some(into_service_answer(answer))),
            404 => Ok(None),
            status => Err(bad_answer(status, &String::from_utf8_lossy(&answer.body))),
        }
    }
}

fn into_service_answer(answer: Answer) -> ServiceAnswer {
    let Answer {
        status,
        content_type,
        body,
        ..
    } = answer;
    ServiceAnswer {
        status,
        content_type,
        body: body.to_vec(),
    }
}
