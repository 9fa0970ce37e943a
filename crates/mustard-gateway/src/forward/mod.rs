//! One request's way: route, key, body, then a server or a path of servers.

mod attempt;
mod frames;
mod open;
mod plain;
mod reply;
mod stream;

pub use frames::{Frame, Frames};
pub use reply::Refusal;

use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::{HeaderMap, Method, Payload, Request, Response};
use ntex::util::{Bytes, BytesMut};
use rand::Rng;
use slog::info;
use tokio::time::{Instant, timeout, timeout_at};

use mustard_adapter::asks::{self, Ask};
use mustard_core::clock::Moment;
use mustard_core::deployment::{Config, Kind, Part, Route, Service};
use mustard_core::fingerprint::Fingerprint;
use mustard_net::shutdown::Pass;
use mustard_policy::pipeline::Demand;
use mustard_policy::quarantine::Standing;

use crate::app::App;
use crate::journal::Topic;
use crate::metric;

/// The time for the body of a request to arrive when the request doesn't say how long it waits.
const BODY_LIMIT: Duration = Duration::from_secs(10);
/// The largest body while no configuration says so, in bytes.
const BODY_SIZE: usize = 4 * 1024 * 1024;
/// How long a request waits for a gateway that has just started; the first answers of the store
/// and of the peers come within a tenth of a second.
const START_HOLD: Duration = Duration::from_millis(500);
/// When to come back to a gateway that knows no configuration yet.
const START_WAIT: Duration = Duration::from_millis(500);
/// When to come back, to another gateway, from one that has stopped taking requests.
const STOP_WAIT: Duration = Duration::from_millis(50);
/// When to come back with a content that ends servers.
const QUARANTINE_WAIT: Duration = Duration::from_secs(10);

/// A request that is allowed and read.
pub struct Job {
    /// What the headers say.
    pub ask: Ask,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The headers as they came.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The route.
    pub route: Route,
    /// The service that the route's split chose.
    pub service: Service,
    /// The customer's name.
    pub customer: Option<String>,
    /// The digest of customer, path and body.
    pub content: Fingerprint,
    /// When the request arrived.
    pub arrived: Moment,
    /// When it needs no answer any more.
    pub deadline: Moment,
    /// Counts the request as running.
    pub pass: Pass,
}

impl Job {
    /// Returns the number of tokens that the answer is expected to have.
    fn likely_answer(&self) -> f64 {
        let usual = self.service.engine.as_ref().map(|e| e.usual_answer);
        let likely = self.ask.likely_tokens.or(usual).unwrap_or(f64::INFINITY);
        likely.min(self.ask.answer_tokens).max(1.0)
    }

    /// Returns what the request needs of the servers on its path.
    pub fn demand(&self, domain: u32) -> Demand {
        Demand {
            prompt: self.ask.prompt_tokens.max(1.0),
            answer: self.likely_answer(),
            domain,
        }
    }
}

/// Returns the memory that a request takes at each part of its path, in tokens times layers.
pub fn parts_memory(parts: &[Part], demand: &Demand) -> impl Iterator<Item = (SocketAddr, f64)> {
    // Half of the answer is written at the mean moment.
    let tokens = demand.prompt + demand.answer / 2.0;
    parts
        .iter()
        .map(move |p| (p.addr, tokens * f64::from(p.layers.count())))
}

/// Answers a caller's request; the error type is what the server's handler asks for, and no
/// request ends with one.
pub async fn handle(app: Rc<App>, mut request: Request) -> std::io::Result<Response> {
    app.asked.set(true);
    let arrived = app.now();
    let payload = request.take_payload();
    let io = request.io().cloned();
    let response = match admit(&app, &request, payload, arrived).await {
        Ok(job) => match job.route.kind {
            Kind::Stream { .. } => stream::run(&app, job, io).await,
            _ => plain::run(&app, job).await,
        },
        Err(refusal) => refusal.respond(&app),
    };
    Ok(response)
}

async fn admit(
    app: &Rc<App>,
    request: &Request,
    payload: Payload,
    arrived: Moment,
) -> Result<Job, Refusal> {
    let pass = app
        .gate
        .enter()
        .ok_or_else(|| Refusal::not_run("stopping", STOP_WAIT))?;
    let headers = request.headers();
    let ask = asks::decode(headers);
    // The body is read before anything is refused: closing a connection with unread bytes resets
    // it, and the caller never sees the answer.
    let limit = app.config().map_or(BODY_SIZE, |c| c.body_limit);
    let wait = ask.as_ref().ok().and_then(|a| a.budget);
    let body = timeout(wait.unwrap_or(BODY_LIMIT), read(payload, limit)).await;
    let ask = ask.map_err(|_| Refusal::new("no id", 400))?;
    let body = body.map_err(|_| Refusal::new("slow body", 408).of(&ask))??;
    let not_run = |reason, wait| Refusal::not_run(reason, wait).of(&ask);
    let config = wait_for_start(app).await;
    let config = config.ok_or_else(|| not_run("no configuration", START_WAIT))?;
    let path = request.uri().path();
    let Some(route) = config.route(&ask.host, path) else {
        return Err(Refusal::new("no route", 404).of(&ask));
    };
    let customer = authorize(&config, route, &ask)?;
    let service = choose_service(app, &config, route);
    let service = service.ok_or_else(|| not_run("no service", START_WAIT))?;
    let content = content(&ask, path, &body);
    let standing = app.quarantine.borrow().standing(app.now(), content);
    if let Standing::Quarantined(_) = standing {
        return Err(not_run("content ends servers", QUARANTINE_WAIT));
    }
    let now = app.now();
    app.with_allowance(&service.name, |a| a.request(now));
    let left = route.timeout.min(ask.budget.unwrap_or(route.timeout));
    Ok(Job {
        method: request.method().clone(),
        path: request
            .uri()
            .path_and_query()
            .map_or(path, |p| p.as_str())
            .to_owned(),
        headers: headers.clone(),
        body,
        service: service.clone(),
        customer,
        content,
        arrived,
        deadline: arrived + left,
        pass,
        route: route.clone(),
        ask,
    })
}

/// Returns the configuration once it and the list of servers are known.
///
/// Callers connect as soon as a process that restarted listens, a moment before it has read them.
async fn wait_for_start(app: &App) -> Option<Rc<Config>> {
    let until = Instant::now() + START_HOLD;
    loop {
        let changed = app.changed.notified();
        let config = app.config();
        if config.is_some() && app.listed.get() {
            return config;
        }
        if timeout_at(until, changed).await.is_err() {
            return app.config();
        }
    }
}

/// Returns the customer's name, or none on a public route.
fn authorize(config: &Config, route: &Route, ask: &Ask) -> Result<Option<String>, Refusal> {
    if !config.has_customers() {
        return Ok(None);
    }
    let customer = ask.key.and_then(|k| config.customer(k));
    match customer {
        Some(c) => Ok(Some(c.name.clone())),
        None if route.public => Ok(None),
        None => Err(Refusal::new("unknown key", 401).of(ask)),
    }
}

/// Digests what makes a request the same as an earlier one.
fn content(ask: &Ask, path: &str, body: &[u8]) -> Fingerprint {
    let key = ask.key.map_or(0, |k| k.0).to_le_bytes();
    Fingerprint::of(&[&key, ask.host.as_bytes(), path.as_bytes(), body])
}

fn choose_service<'a>(app: &App, config: &'a Config, route: &Route) -> Option<&'a Service> {
    let total: f64 = route.splits.iter().map(|s| s.weight).sum();
    let mut point = app.rng.borrow_mut().random::<f64>() * total;
    for split in &route.splits {
        if point < split.weight {
            return config.service(&split.service);
        }
        point -= split.weight;
    }
    config.service(&route.splits.last()?.service)
}

async fn read(mut payload: Payload, limit: usize) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    while let Some(chunk) = poll_fn(|cx| payload.poll_recv(cx)).await {
        let chunk = chunk.map_err(|_| Refusal::new("broken body", 400))?;
        if body.len() + chunk.len() > limit {
            return Err(Refusal::new("large body", 413));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Takes a further attempt out of the retry budget.
fn spend(app: &App, job: &Job) -> bool {
    let now = app.now();
    let allowed = app.with_allowance(&job.service.name, |a| a.spend(now));
    metric::retry(if allowed { "failed" } else { "budget empty" });
    allowed
}

/// Logs and counts that a request ended well.
fn note_served(app: &App, job: &Job, kind: &'static str, attempts: u32) {
    metric::outcome(kind, "served");
    if let Some(log) = app.journal.admit(Topic::Served) {
        info!(log, "request: Served."; "request" => &job.ask.id, "route" => &job.route.name,
            "took_ms" => app.now().ms_since(job.arrived),
            "attempts" => attempts);
    }
}
