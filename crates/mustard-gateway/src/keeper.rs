//! Keeps the layers of the model on the servers.
//!
//! Any gateway may do it. One that sees something to order takes the lease, gives the orders
//! under its fencing number and releases it, so that a calm day costs no call of the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::Method;
use slog::{info, warn};
use tokio::time::sleep;

use mustard_adapter::orders::{self, Outcome};
use mustard_adapter::servers::decode_report;
use mustard_core::clock::Moment;
use mustard_core::deployment::{Config, Engine, Report, Service};
use mustard_core::ids::{Fence, Layers};
use mustard_net::CallError;
use mustard_net::http::{Request, exchange};
use mustard_platform::lease::{Lease, LeaseOptions};
use mustard_policy::pipeline::{Placement, initial_fill, plan};

use crate::app::App;
use crate::fleet::ServerKey;
use crate::journal::Topic;
use crate::metric;

/// The pause between two looks at the plan.
const PAUSE: Duration = Duration::from_millis(300);
/// The term of the lease; a holder that dies is replaced after it.
const TERM: Duration = Duration::from_millis(2_500);
/// A lease that lasts less than this is renewed before orders are given.
const FRESH: Duration = Duration::from_millis(800);
/// How long the list must not grow before the first plan.
const SETTLE: Duration = Duration::from_millis(1_300);
/// How much longer than the one before it a gateway waits until it takes the lease itself.
const TURN: Duration = Duration::from_millis(600);
/// The gateways that wait for each other at most.
const MAX_TURNS: usize = 4;
/// The time for one report or order.
const CALL_LIMIT: Duration = Duration::from_millis(400);
/// Requests expected at once for each server while nothing is known of the load.
const REQUESTS_A_SERVER: f64 = 6.0;
/// Orders given at once before the first request arrives, when loads are cheap.
const EARLY_ORDERS: usize = 256;
const JSON: &str = "application/json";

/// One order that is due.
struct Due {
    server: ServerKey,
    addr: SocketAddr,
    layers: Layers,
    /// What the plan took the server to hold.
    held: Option<Layers>,
    time: Duration,
}

/// Looks after the placement for the life of the process.
pub async fn run(app: Rc<App>) {
    let options = LeaseOptions {
        name: "placement".to_owned(),
        holder: app.life,
        term: TERM,
    };
    let mut lease = Lease::new(app.store.clone(), options);
    let mut known = (0, app.now());
    let mut since = None;
    let mut idle = None;
    loop {
        sleep(PAUSE).await;
        let gone = app.fleet.borrow_mut().expire(app.now());
        if gone > 0 {
            app.changed.notify_waiters();
        }
        let count = app.fleet.borrow().iter().count();
        if count != known.0 {
            known = (count, app.now());
        }
        // At the start the list fills within seconds; a plan for a part of it has gaps and doubles
        // in the wrong places, and no later plan moves servers for a mere imbalance.
        let settle = if app.asked.get() {
            Duration::ZERO
        } else {
            SETTLE
        };
        if count == 0 || app.now().since(known.1) < settle || !app.is_ready() {
            continue;
        }
        let due = due(&app);
        if due.is_empty() {
            since = None;
            // While loads go on, others see servers that look empty and are not.
            if !app.fleet.borrow().is_loading(app.now()) {
                release(&app, &mut lease).await;
                take_number(&app, &mut lease, &mut idle).await;
            }
            continue;
        }
        idle = None;
        let waited = app.now().since(*since.get_or_insert(app.now()));
        if waited < TURN * app.peers.borrow().rank().min(MAX_TURNS) as u32 {
            continue;
        }
        let Some(fence) = hold(&app, &mut lease).await else {
            continue;
        };
        give(&app, &mut lease, fence, due).await;
    }
}

fn due(app: &App) -> Vec<Due> {
    let Some(config) = app.config() else {
        return Vec::new();
    };
    let services = config
        .services()
        .filter_map(|s| Some((s, s.engine.as_ref()?)));
    services
        .flat_map(|(s, engine)| due_for(app, s, engine))
        .collect()
}

fn due_for(app: &App, service: &Service, engine: &Engine) -> Vec<Due> {
    let now = app.now();
    let fleet = app.fleet.borrow();
    let sites = fleet.sites(&service.name, engine, now);
    let list: Vec<_> = sites.iter().map(|(_, s)| s.clone()).collect();
    let mut domains: Vec<u32> = list.iter().map(|s| s.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    let requests = REQUESTS_A_SERVER * list.len() as f64;
    let loading = sites
        .iter()
        .filter(|(k, _)| fleet.get(*k).is_some_and(|s| s.loading.is_some()));
    let moves = if app.asked.get() {
        (engine.parallel_loads as usize).saturating_sub(loading.count())
    } else {
        EARLY_ORDERS
    };
    let placement = Placement {
        fill: initial_fill(engine, requests, domains.len()),
        moves,
    };
    let moves = plan(engine, &list, &placement);
    let orders = moves.iter().filter_map(|m| {
        let (key, site) = sites.iter().find(|(_, s)| s.index == m.index)?;
        let share = f64::from(m.layers.count()) / f64::from(engine.layers.max(1));
        Some(Due {
            server: *key,
            addr: fleet.get(*key)?.entry.addr,
            layers: m.layers,
            held: site.held,
            time: engine.load.mul_f64(share),
        })
    });
    orders.collect()
}

async fn hold(app: &App, lease: &mut Lease<mustard_adapter::Store>) -> Option<Fence> {
    let now = app.now();
    if let Some(held) = lease.held(now)
        && now.until(held.until) > FRESH
    {
        return Some(held.fence);
    }
    match lease.poll(&app.clock).await {
        Ok(held) => {
            metric::store("lease", if held.is_some() { "held" } else { "busy" });
            let fence = held?.fence;
            if let Some(log) = app.journal.admit(Topic::Order) {
                info!(log, "keeper: The lease is held."; "fence" => fence.0);
            }
            Some(fence)
        }
        Err(e) => {
            metric::store("lease", "failed");
            // Lost layers can't wait for the store. A server refuses the number if another
            // gateway has ordered it under a higher one.
            let last = lease.last_fence();
            if let Some(log) = app.journal.admit(Topic::Order) {
                warn!(log, "keeper: The lease can't be taken."; "error" => %e,
                    "last_fence" => last.map(|f| f.0));
            }
            last
        }
    }
}

/// Takes the lease once while nothing is to be ordered, so that this process has a number of its
/// own should the store be away when layers are lost.
///
/// Only the gateways that would order first do so, the first one last: a server refuses numbers
/// below the highest that it has seen.
async fn take_number(
    app: &App,
    lease: &mut Lease<mustard_adapter::Store>,
    idle: &mut Option<Moment>,
) {
    let rank = app.peers.borrow().rank();
    if lease.last_fence().is_some() || rank >= MAX_TURNS || !app.node.fenced {
        return;
    }
    let waited = app.now().since(*idle.get_or_insert(app.now()));
    if waited >= TURN * (MAX_TURNS - rank) as u32 {
        *idle = None;
        hold(app, lease).await;
    }
}

async fn release(app: &App, lease: &mut Lease<mustard_adapter::Store>) {
    if lease.held(app.now()).is_none() {
        return;
    }
    let result = lease.release().await;
    if let Some(log) = app.journal.admit(Topic::Order) {
        info!(log, "keeper: The lease is released."; "result" => ?result);
    }
}

/// Gives all orders at once; after a refusal for an old number the lease is given up.
async fn give(
    app: &Rc<App>,
    lease: &mut Lease<mustard_adapter::Store>,
    fence: Fence,
    due: Vec<Due>,
) {
    let fence = app.node.fenced.then_some(fence);
    let tasks: Vec<_> = due
        .into_iter()
        .map(|order| {
            let app = Rc::clone(app);
            ntex::rt::spawn(async move { order_one(&app, fence, order).await })
        })
        .collect();
    let mut fenced = false;
    for task in tasks {
        fenced |= matches!(task.await, Ok(Some(Outcome::Fenced)));
    }
    if fenced {
        release(app, lease).await;
        lease.forget();
    }
}

async fn order_one(app: &App, fence: Option<Fence>, due: Due) -> Option<Outcome> {
    let report = match ask(app, due.addr, CALL_LIMIT).await {
        Ok(report) => report,
        Err(e) => {
            app.fleet.borrow_mut().silent(app.now(), due.addr);
            if let Some(log) = app.journal.admit(Topic::Order) {
                warn!(log, "keeper: A server gives no report."; "server" => %due.addr,
                    "error" => %e);
            }
            return None;
        }
    };
    let now = app.now();
    // The plan knew the server from its row, which is older than this report.
    let held = report.held.map(|h| h.layers);
    if report.busy || held != due.held {
        if report.busy
            && let Some(server) = app.fleet.borrow_mut().get_mut(due.server)
        {
            server.wait_for_row(now, due.layers);
        }
        if let Some(log) = app.journal.admit(Topic::Order) {
            info!(log, "keeper: A server isn't as planned with."; "server" => %due.addr,
                "busy" => report.busy, "held" => held.map(|h| h.to_string()));
        }
        return None;
    }
    let body = orders::place(due.layers, fence, report.orders);
    let outcome = send(app, due.addr, body).await.map(|(outcome, _)| outcome);
    if matches!(outcome, Ok(Outcome::Begun | Outcome::Done) | Err(_))
        && let Some(server) = app.fleet.borrow_mut().get_mut(due.server)
    {
        // An order without an answer may still be carried out.
        server.begin_loading(now, due.layers, due.time);
    }
    let text = outcome
        .as_ref()
        .map_or_else(ToString::to_string, |o| format!("{o:?}"));
    if let Some(log) = app.journal.admit(Topic::Order) {
        info!(log, "keeper: A server was ordered to hold layers."; "server" => %due.addr,
            "layers" => %due.layers, "fence" => fence.map(|f| f.0), "outcome" => text);
    }
    metric::order(
        "place",
        if outcome.is_ok() {
            "answered"
        } else {
            "unanswered"
        },
    );
    outcome.ok()
}

/// Sends an order to a server; returns with the outcome the server that a refusal blames.
///
/// # Errors
///
/// After an error other than [`CallError::NotSent`] the server may still carry it out.
pub async fn send(
    app: &App,
    to: SocketAddr,
    body: Vec<u8>,
) -> std::result::Result<(Outcome, Option<SocketAddr>), CallError> {
    let request = Request {
        to,
        method: Method::POST,
        path: orders::PATH,
        content_type: JSON,
        headers: &[],
        body,
        limit: CALL_LIMIT,
    };
    let answer = exchange(&app.client, request).await?;
    Ok((orders::outcome(answer.status), orders::blamed(&answer.body)))
}

/// Asks a server for its state and takes it in.
///
/// # Errors
///
/// Returns an error if it gives no answer in time, or one that isn't a report.
pub async fn ask(
    app: &App,
    to: SocketAddr,
    limit: Duration,
) -> std::result::Result<Rc<Report>, CallError> {
    let request = Request {
        to,
        method: Method::GET,
        path: orders::REPORT_PATH,
        content_type: JSON,
        headers: &[],
        body: Vec::new(),
        limit,
    };
    let result = exchange(&app.client, request).await;
    metric::probe(if result.is_ok() { "answered" } else { "silent" });
    let answer = result?;
    if answer.status != 200 {
        return Err(CallError::Status(answer.status));
    }
    let report = decode_report(&answer.body).map_err(|e| CallError::Lost(e.to_string()))?;
    let report = Rc::new(report);
    app.fleet
        .borrow_mut()
        .report(app.now(), to, Rc::clone(&report));
    Ok(report)
}

/// Returns the engine of a service, if its servers hold layers.
pub fn engine_of<'a>(config: &'a Config, service: &str) -> Option<&'a Engine> {
    config.service(service)?.engine.as_ref()
}
