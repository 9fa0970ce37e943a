//! Forwards requests from callers: reads and admits a request, then sends it to a server or over a
//! path of servers.

mod events;
mod hedging;
mod open_stream;
mod plain;
mod plain_server;
mod response;
mod send;
mod stream;
mod waiting;

pub use events::{Event, EventParser};
pub use hedging::Hedging;
pub use response::GatewayResponse;
pub use waiting::{RequestPriority, WaitingQueues};

use std::rc::Rc;
use std::time::Duration;

use ntex::http::header::CONTENT_LENGTH;
use ntex::http::{HeaderMap, Method, Payload, Request, Response};
use ntex::util::Bytes;
use rand::Rng;
use slog::info;
use tokio::time::{Instant, timeout, timeout_at};

use mustard_adapter::requests::{self, RequestParams};
use mustard_core::clock::Moment;
use mustard_core::deployment::{Config, PathPart, Route, RouteKind, ServerKey, Service};
use mustard_core::fingerprint::Fingerprint;
use mustard_net::client_body::{BodyError, ClientBody, read_body};
use mustard_net::client_budget::BodyGuard;
use mustard_net::shutdown::RequestGuard;
use mustard_policy::pipeline::RequestDemand;
use mustard_policy::quarantine::Content;

use crate::app::App;
use crate::log_limit::Topic;
use crate::metric;
use crate::retry_budget;
use crate::strikes::{QUARANTINE_RETRY_AFTER, is_quarantined};

/// Time limit for reading the body of a request that names no time budget.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The largest body while no configuration is known.
const DEFAULT_BODY_BYTES: usize = 4 * 1024 * 1024;
/// How long a request waits for the configuration and the list of servers after a start; the first
/// responses from the store and from peers arrive within a tenth of a second.
const STARTUP_WAIT: Duration = Duration::from_millis(500);
/// Retry delay for callers while the configuration, or the service of a route in it, is missing.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay for callers while the configuration isn't confirmed.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay for callers whose request finds no room.
const ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay for callers of a gateway that is stopping; short, as they retry at another one.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The reason of refusals because servers ended under the content or a segment of the prompt.
const ENDS_SERVERS: &str = "content ends servers";

/// A request that was read in full and admitted.
pub struct AdmittedRequest {
    /// The parameters decoded from the headers.
    pub params: RequestParams,
    /// The HTTP method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The headers as received.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Counts the body as held until dropped.
    pub body_guard: BodyGuard,
    /// The route that matched host and path.
    pub route: Route,
    /// The service chosen by the weights of the route's services.
    pub service: Service,
    /// The customer's name; `None` on a public route without a known key, or if the configuration
    /// names no customers.
    pub customer: Option<String>,
    /// The priority; `None` if requests to the service aren't admitted by priority.
    pub priority: Option<RequestPriority>,
    /// What a repeated request is recognized by: the digest of key, host, path, body and prompt, and as its variant
    /// that of these, the method and the query.
    pub content: Content,
    /// What other requests may share: all segments of the prompt but the last one, and the content without
    /// its prompt. Empty without a prompt.
    pub segments: Rc<[Fingerprint]>,
    /// When the request arrived.
    pub arrived: Moment,
    /// When the caller stops waiting for the response.
    pub deadline: Moment,
    /// Counts the request as running until dropped.
    pub guard: RequestGuard,
}

impl AdmittedRequest {
    /// Returns the expected number of tokens in the response: the caller's estimate or else the
    /// mean of the engine, at most what the caller allows.
    fn expected_tokens(&self) -> f64 {
        let mean = self.service.engine.as_ref().map(|e| e.mean_answer);
        let likely = self.params.likely_tokens.or(mean).unwrap_or(f64::INFINITY);
        likely.min(self.params.answer_tokens).max(1.0)
    }

    /// Returns the tokens and the failure domain by which a path is chosen.
    pub fn demand(&self, domain: u32) -> RequestDemand {
        RequestDemand {
            prompt: self.params.prompt_tokens.max(1.0),
            answer: self.expected_tokens(),
            domain,
        }
    }
}

/// Returns the tokens for which a request takes memory.
pub fn memory_tokens(demand: &RequestDemand) -> f64 {
    // On average over its duration, a request holds half of the response.
    demand.prompt + demand.answer / 2.0
}

/// Returns the memory that a request takes on each server of its path, in tokens times layers.
pub fn memory_per_server(
    parts: &[PathPart],
    demand: &RequestDemand,
) -> impl Iterator<Item = (ServerKey, f64)> {
    let tokens = memory_tokens(demand);
    parts
        .iter()
        .map(move |p| (p.server, tokens * f64::from(p.layers.count())))
}

/// Handles a caller's request. Always returns `Ok`; the HTTP service requires an error type.
pub async fn handle(app: Rc<App>, mut request: Request) -> std::io::Result<Response> {
    app.had_request.set(true);
    let arrived = app.now();
    let payload = request.take_payload();
    let io = request.io().cloned();
    let response = match admit(&app, &request, payload, arrived).await {
        Ok(admitted) => match admitted.route.kind {
            RouteKind::Stream { .. } => stream::run(&app, admitted, io).await,
            _ => plain::run(&app, admitted).await,
        },
        Err(response) => response.respond(&app),
    };
    Ok(response)
}

/// Reads a request and checks that it may run.
async fn admit(
    app: &Rc<App>,
    request: &Request,
    payload: Payload,
    arrived: Moment,
) -> Result<AdmittedRequest, GatewayResponse> {
    let headers = request.headers();
    let (guard, params) = check_head(app, request)?;
    let body = receive_body(app, payload, &params).await;
    let body = body.map_err(|r| r.for_request(&params))?;
    let not_run =
        |reason, retry_after| GatewayResponse::not_run(reason, retry_after).for_request(&params);
    // A body may end long after its head. What is sent on as late as this may be cut at the end of the grace time.
    if app.gate.is_closed() {
        return Err(GatewayResponse::not_run("stopping", STOP_RETRY_AFTER).for_request(&params));
    }
    let config = wait_for_config(app).await;
    let config = config.ok_or_else(|| not_run("no configuration", STARTUP_RETRY_AFTER))?;
    let path = request.uri().path();
    let (route, customer) = authorize(app, &config, path, &params)?;
    let service = choose_service(app, &config, route);
    let service = service.ok_or_else(|| not_run("no service", STARTUP_RETRY_AFTER))?;
    let own_priority = params.key.and_then(|k| config.customer(k)?.priority);
    let priority = RequestPriority::of(&config, route, &service.name, own_priority);
    let fingerprint = compute_fingerprint(&params, path, &body.bytes);
    let (content, segments) = match params.prompt {
        Some(prompt) => {
            let content = [fingerprint.0.to_le_bytes(), prompt.0.to_le_bytes()];
            let segments = params.segments.iter().copied().chain([fingerprint]);
            (
                Fingerprint::of(&[&content[0], &content[1]]),
                segments.collect(),
            )
        }
        None => (fingerprint, Rc::clone(&params.segments)),
    };
    let content = Content {
        fingerprint: content,
        variant: Some(compute_variant(content, request)),
    };
    if is_quarantined(app, content) {
        return Err(not_run(ENDS_SERVERS, QUARANTINE_RETRY_AFTER));
    }
    let now = app.now();
    retry_budget::with_share(app, &service.name, |s| s.record_request(now));
    hedging::record_request(app, &service.name);
    let left = route.timeout.min(params.budget.unwrap_or(route.timeout));
    Ok(AdmittedRequest {
        method: request.method().clone(),
        path: request
            .uri()
            .path_and_query()
            .map_or(path, |p| p.as_str())
            .to_owned(),
        headers: headers.clone(),
        body: body.bytes,
        body_guard: body.guard,
        service: service.clone(),
        customer,
        priority,
        content,
        segments,
        arrived,
        deadline: arrived + left,
        guard,
        route: route.clone(),
        params,
    })
}

/// Refuses a request whose head already tells that it can't be served. Returns its parameters and the guard that
/// counts it as running.
fn check_head(
    app: &App,
    request: &Request,
) -> Result<(RequestGuard, RequestParams), GatewayResponse> {
    let guard = app.gate.admit();
    let guard = guard.ok_or_else(|| GatewayResponse::not_run("stopping", STOP_RETRY_AFTER))?;
    let headers = request.headers();
    let params = requests::decode(headers).map_err(|_| GatewayResponse::new("no id", 400))?;
    let announced = headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok());
    let announced = announced.and_then(|v| v.trim().parse::<u64>().ok());
    if announced.is_some_and(|size| size > body_limit(app) as u64) {
        return Err(large_body().for_request(&params));
    }
    // Unless the configuration is confirmed, a newer one may have the route or the key; it may come with the body.
    if let Some(config) = app.config().filter(|_| app.is_config_confirmed()) {
        authorize(app, &config, request.uri().path(), &params)?;
    }
    Ok((guard, params))
}

/// Returns the size of the largest body, in bytes.
fn body_limit(app: &App) -> usize {
    app.config().map_or(DEFAULT_BODY_BYTES, |c| c.body_limit)
}

fn large_body() -> GatewayResponse {
    GatewayResponse::new("large body", 413)
}

/// Waits until the configuration and the list of servers are known, at most [`STARTUP_WAIT`];
/// returns the configuration if there is one.
///
/// Callers connect as soon as a restarted process listens, a moment before it has read both.
async fn wait_for_config(app: &App) -> Option<Rc<Config>> {
    let until = Instant::now() + STARTUP_WAIT;
    loop {
        let changed = app.changed.notified();
        let config = app.config();
        if config.is_some() && app.list_read.get() {
            return config;
        }
        if timeout_at(until, changed).await.is_err() {
            return app.config();
        }
    }
}

/// Returns the route of a path and the customer's name; `None` if the route is public and the key unknown, or
/// if the configuration names no customers.
fn authorize<'a>(
    app: &App,
    config: &'a Config,
    path: &str,
    params: &RequestParams,
) -> Result<(&'a Route, Option<String>), GatewayResponse> {
    let Some(route) = config.route(&params.host, path) else {
        return Err(refuse_by_config(app, "no route", 404).for_request(params));
    };
    if !config.has_customers() {
        return Ok((route, None));
    }
    let customer = params.key.and_then(|k| config.customer(k));
    match customer {
        Some(c) => Ok((route, Some(c.name.clone()))),
        None if route.public => Ok((route, None)),
        None => Err(refuse_by_config(app, "unknown key", 401).for_request(params)),
    }
}

/// Returns the refusal of what the configuration in force doesn't allow. Unless it is confirmed, a newer one
/// may allow it.
fn refuse_by_config(app: &App, reason: &'static str, status: u16) -> GatewayResponse {
    if app.is_config_confirmed() {
        GatewayResponse::new(reason, status)
    } else {
        GatewayResponse::not_run("unconfirmed configuration", UNCONFIRMED_RETRY_AFTER)
    }
}

/// Returns the digest by which a request counts as the same content as an earlier one.
fn compute_fingerprint(params: &RequestParams, path: &str, body: &[u8]) -> Fingerprint {
    let key = params.key.map_or(0, |k| k.0).to_le_bytes();
    Fingerprint::of(&[&key, params.host.as_bytes(), path.as_bytes(), body])
}

/// Returns the digest by which requests with the same content are told apart.
fn compute_variant(content: Fingerprint, request: &Request) -> Fingerprint {
    let query = request.uri().query().unwrap_or_default();
    Fingerprint::of(&[
        &content.0.to_le_bytes(),
        request.method().as_str().as_bytes(),
        query.as_bytes(),
    ])
}

/// Chooses a service at random by the weights of the route's services.
fn choose_service<'a>(app: &App, config: &'a Config, route: &Route) -> Option<&'a Service> {
    let total: f64 = route.services.iter().map(|s| s.weight).sum();
    let mut pick = app.rng.borrow_mut().random::<f64>() * total;
    for weighted in &route.services {
        if pick < weighted.weight {
            return config.service(&weighted.service);
        }
        pick -= weighted.weight;
    }
    config.service(&route.services.last()?.service)
}

/// Reads the body of a request within its time limit.
async fn receive_body(
    app: &App,
    mut payload: Payload,
    params: &RequestParams,
) -> Result<ClientBody, GatewayResponse> {
    let limit = params.budget.unwrap_or(BODY_TIMEOUT);
    let reading = read_body(&app.clients, &mut payload, body_limit(app));
    let Ok(body) = timeout(limit, reading).await else {
        return Err(GatewayResponse::new("slow body", 408));
    };
    body.map_err(|error| match error {
        BodyError::Broken => GatewayResponse::new("broken body", 400),
        BodyError::Stalled => GatewayResponse::new("stalled body", 408),
        BodyError::TooLarge => large_body(),
        BodyError::NoRoom => GatewayResponse::not_run("no room for the body", ROOM_RETRY_AFTER),
    })
}

/// Takes one retry out of the service's retry budget; returns whether it is allowed.
fn spend_retry(app: &App, request: &AdmittedRequest) -> bool {
    let now = app.now();
    let allowed = retry_budget::with_share(app, &request.service.name, |s| s.try_spend(now));
    metric::count_retry(if allowed { "failed" } else { "budget empty" });
    allowed
}

/// Logs and counts a request that was served.
fn record_served(app: &App, request: &AdmittedRequest, kind: &'static str, attempts: u32) {
    metric::count_request(kind, "served");
    if let Some(log) = app.log.logger_for(Topic::Served) {
        info!(log, "request: Served."; "request" => &request.params.id,
            "route" => &request.route.name, "took_ms" => app.now().ms_since(request.arrived),
            "attempts" => attempts);
    }
}
