//! Controls which layers of the model each server holds.
//!
//! Every gateway can do this. One whose plan has orders to send acquires the lease, sends them with
//! the lease's fencing token and releases the lease, so that the steady state costs no calls to
//! the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::Method;
use rand::Rng;
use slog::{info, warn};
use tokio::time::sleep;

use mustard_adapter::orders::{self, Outcome};
use mustard_adapter::servers::decode_report;
use mustard_adapter::{requests, responses};
use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::deployment::{Config, Engine, ServerReport, Service};
use mustard_core::ids::{Fence, Layers};
use mustard_net::CallError;
use mustard_net::forward::exchange_unpooled;
use mustard_net::http::{Answer, Request, exchange};
use mustard_platform::lease::{HeldLease, Lease, LeaseOptions};
use mustard_policy::pipeline::{
    CapacityServer, DomainCapacity, LayerAssignment, PlacementServer, PlacementSettings,
    are_crossings_scarce, domain_capacities, domain_requests, layers_memory_share, plan_capacity,
    plan_placement,
};

use crate::app::App;
use crate::fleet::{ServerKey, ServerProcess};
use crate::limits;
use crate::log_limit::Topic;
use crate::metric;
use crate::server_probe::probe_faulty_server;

/// The interval between two runs of the planner.
const PLAN_INTERVAL: Duration = Duration::from_millis(300);
/// The term of the lease; another gateway can take over from a dead holder after it.
const LEASE_TERM: Duration = Duration::from_millis(1_200);
/// A lease with less time left than this is renewed before orders are sent.
const MIN_LEASE_LEFT: Duration = Duration::from_millis(400);
/// How long the number of servers must stay the same before the first plan.
const SETTLE_TIME: Duration = Duration::from_millis(1_300);
/// A gateway waits this long times its rank before it acquires the lease, so that few contend for
/// it. The rank is the number of live peers whose addresses sort before its own.
const RANK_DELAY: Duration = Duration::from_millis(250);
/// The highest rank that counts for the delay.
const MAX_RANK: usize = 4;
/// The highest rank that counts for the delay between two attempts.
const MAX_RETRY_RANK: usize = 16;
/// The timeout of a call that fetches a report or sends an order.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// The age of a loading server's report at which a new one is fetched.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(900);
/// Concurrent requests assumed for each server, since the load isn't known.
const REQUESTS_PER_SERVER: f64 = 6.0;
/// The same for a plan by the capacity of each failure domain. It counts requests once for all holders of
/// a layer, so that it can leave room for the peak: 141 streams per second of 2.2 s at 1.7 times before 59
/// servers, 186 at 1.55 times before 56.
const PEAK_REQUESTS_PER_SERVER: f64 = 10.0;
/// The most orders sent at once before the first request arrives, when loading slows no request
/// down.
const INITIAL_ORDERS: usize = 256;
const JSON: &str = "application/json";

/// An order for a server to hold layers.
struct PlannedOrder {
    server: ServerProcess,
    layers: Layers,
    /// The layers that the server held according to the plan's input.
    held: Option<Layers>,
    load_time: Duration,
}

/// What a plan by the capacity of each failure domain is made from.
#[derive(Debug, PartialEq)]
struct PlanInput {
    servers: Vec<CapacityServer>,
    /// The requests that each domain has to run at the same time.
    needed: f64,
    max_orders: usize,
}

/// The last plan of a service by the capacity of each failure domain. It is made again only from
/// other input, as the layout of many servers takes milliseconds of a whole core.
#[derive(Debug, Default)]
struct CapacityPlan {
    made: Option<(Engine, PlanInput)>,
    orders: Vec<LayerAssignment>,
    capacities: Vec<DomainCapacity>,
}

impl CapacityPlan {
    /// Returns the orders for the given input, and states what each domain carries if that changed.
    fn update(
        &mut self,
        app: &App,
        service: &Service,
        engine: &Engine,
        input: PlanInput,
    ) -> &[LayerAssignment] {
        let is_same = |(e, i): &(Engine, PlanInput)| e == engine && *i == input;
        if self.made.as_ref().is_some_and(is_same) {
            return &self.orders;
        }
        self.orders = plan_capacity(engine, &input.servers, input.needed, input.max_orders);
        let capacities = domain_capacities(engine, &input.servers, input.needed);
        for capacity in &capacities {
            if !self.capacities.contains(capacity) {
                state_capacity(app, &service.name, capacity);
            }
        }
        self.capacities = capacities;
        self.made = Some((engine.clone(), input));
        &self.orders
    }
}

/// Logs what a failure domain carries, and sets the gauges of it.
fn state_capacity(app: &App, service: &str, capacity: &DomainCapacity) {
    let fleet = app.fleet.borrow();
    let name = fleet.domain_name(capacity.domain);
    metric::set_domain_capacity(service, name, capacity);
    if let Some(log) = app.log.logger_for(Topic::Order) {
        info!(log, "placement: The capacity of a failure domain changed."; "service" => service,
            "domain" => name,
            "needed" => capacity.needed.round(), "requests" => capacity.requests.round(),
            "tokens_s" => capacity.token_rate.round(), "bottleneck" => capacity.bottleneck,
            "gaps" => capacity.gaps, "doubled" => capacity.doubled,
            "after_one" => capacity.after_one.round(), "after_two" => capacity.after_two.round(),
            "safe_pairs" => capacity.safe_pairs);
    }
}

/// Plans and orders placements for the life of the process.
pub async fn run(app: Rc<App>) {
    let options = LeaseOptions {
        name: "placement".to_owned(),
        holder: app.incarnation,
        term: LEASE_TERM,
    };
    let mut lease = Lease::new(app.store.clone(), options);
    let mut last_count = (0, app.now());
    let mut planned_since = None;
    let mut idle_since = None;
    let mut era = app.store.era();
    let mut next_attempt = Moment::default();
    let mut plans = Map::default();
    loop {
        sleep(PLAN_INTERVAL).await;
        if app.stop.is_set() {
            release_lease(&app, &mut lease).await;
            continue;
        }
        if app.store.era() != era {
            era = app.store.era();
            lease.discard_term();
        }
        let expired = app.fleet.borrow_mut().expire_missing(app.now());
        if expired > 0 {
            app.changed.notify_waiters();
        }
        let count = app.fleet.borrow().iter().count();
        if count != last_count.0 {
            last_count = (count, app.now());
        }
        // At startup the list fills within seconds. A plan for an incomplete list leaves gaps and
        // places duplicates badly, and later plans don't move servers only to even out the layers.
        let settle_time = if app.had_request.get() {
            Duration::ZERO
        } else {
            SETTLE_TIME
        };
        if count == 0 || app.now().since(last_count.1) < settle_time || !app.is_ready() {
            continue;
        }
        check_loads(&app);
        let planned = plan_orders(&app, &mut plans);
        if planned.is_empty() {
            planned_since = None;
            // While servers load, their rows still show them as empty to other gateways, so the
            // lease is kept.
            if !app.fleet.borrow().is_loading(app.now()) {
                release_lease(&app, &mut lease).await;
                reserve_fence(&app, &mut lease, &mut idle_since).await;
            }
            continue;
        }
        idle_since = None;
        let waited = app.now().since(*planned_since.get_or_insert(app.now()));
        if waited < RANK_DELAY * app.peers.borrow().rank().min(MAX_RANK) as u32 {
            continue;
        }
        if app.now() < next_attempt {
            continue;
        }
        let Some(grant) = acquire_lease(&app, &mut lease).await else {
            next_attempt = app.now() + retry_delay(&app);
            continue;
        };
        send_orders(&app, &mut lease, grant, planned).await;
    }
}

/// Fetches reports of the servers that carry out orders of this gateway, so that one that never
/// finishes shows.
fn check_loads(app: &Rc<App>) {
    let now = app.now();
    let oldest = now - LOAD_CHECK_INTERVAL;
    let servers: Vec<ServerProcess> = {
        let fleet = app.fleet.borrow();
        let unreported = fleet
            .iter()
            .filter(|(_, s)| s.is_load_unreported(now, oldest) && !s.is_paused(now));
        unreported.map(|(key, s)| s.process(key)).collect()
    };
    for server in servers {
        let app = Rc::clone(app);
        ntex::rt::spawn(async move {
            // A server that doesn't answer shows elsewhere.
            let _ = fetch_report(&app, &server, CallKind::Pooled, CALL_TIMEOUT).await;
        });
    }
}

fn plan_orders(app: &App, plans: &mut Map<String, CapacityPlan>) -> Vec<PlannedOrder> {
    let Some(config) = app.config() else {
        return Vec::new();
    };
    let services = config
        .services()
        .filter_map(|s| Some((s, s.engine.as_ref()?)));
    services
        .flat_map(|(s, engine)| plan_service(app, s, engine, plans))
        .collect()
}

fn plan_service(
    app: &App,
    service: &Service,
    engine: &Engine,
    plans: &mut Map<String, CapacityPlan>,
) -> Vec<PlannedOrder> {
    let now = app.now();
    let fleet = app.fleet.borrow();
    let candidates = fleet.placement_servers(&service.name, engine, now);
    let servers: Vec<_> = candidates.iter().map(|(_, s)| s.clone()).collect();
    let mut domains: Vec<u32> = servers.iter().map(|s| s.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    let count = servers.len() as f64;
    let loading = candidates
        .iter()
        .filter(|(k, _)| fleet.get(*k).is_some_and(|s| s.is_loading(now)));
    let max_orders = if app.had_request.get() {
        (engine.parallel_loads as usize).saturating_sub(loading.count())
    } else {
        INITIAL_ORDERS
    };
    let planned = if are_crossings_scarce(engine, servers.len(), domains.len()) {
        let weigh = |(key, server): &(ServerKey, PlacementServer)| {
            let accelerator = fleet.get(*key)?.entry.accelerator.as_deref()?;
            Some(CapacityServer {
                server: server.clone(),
                prompt_factor: engine.accelerator(accelerator)?.prompt_factor,
            })
        };
        let input = PlanInput {
            servers: candidates.iter().filter_map(weigh).collect(),
            needed: domain_requests(PEAK_REQUESTS_PER_SERVER * count, domains.len()),
            max_orders,
        };
        let last = plans.entry(service.name.clone()).or_default();
        last.update(app, service, engine, input).to_vec()
    } else {
        plans.remove(&service.name);
        let requests = REQUESTS_PER_SERVER * count;
        let settings = PlacementSettings {
            layers_share: layers_memory_share(engine, requests, domains.len()),
            max_orders,
        };
        plan_placement(engine, &servers, &settings)
    };
    let orders = planned.iter().filter_map(|order| {
        let (key, server) = candidates.iter().find(|(_, s)| s.index == order.index)?;
        let share = f64::from(order.layers.count()) / f64::from(engine.layers.max(1));
        Some(PlannedOrder {
            server: fleet.process(*key)?,
            layers: order.layers,
            held: server.held,
            load_time: engine.load_time.mul_f64(share),
        })
    });
    orders.collect()
}

/// Returns the time until the next attempt to acquire a lease that another gateway holds: no term
/// ends sooner. All gateways together would otherwise read its row many times a term, and write it at the
/// same moment once it is over.
fn retry_delay(app: &App) -> Duration {
    let rank = app.peers.borrow().rank().min(MAX_RETRY_RANK);
    let spread: f64 = app.rng.borrow_mut().random();
    LEASE_TERM + RANK_DELAY.mul_f64(rank as f64 * spread)
}

/// The permission to send orders.
#[derive(Clone, Copy, Debug)]
pub struct OrderGrant {
    /// The fencing token that the orders carry.
    pub fence: Fence,
    /// When the lease ends; `None` if orders are sent under the last fencing token while the store is
    /// unavailable.
    pub until: Option<Moment>,
}

impl From<HeldLease> for OrderGrant {
    fn from(held: HeldLease) -> Self {
        OrderGrant {
            fence: held.fence,
            until: Some(held.until),
        }
    }
}

impl OrderGrant {
    /// Tells whether the lease has ended; the process may have been paused since it was acquired.
    pub fn has_ended(self, now: Moment) -> bool {
        self.until.is_some_and(|until| now >= until)
    }
}

async fn acquire_lease(app: &App, lease: &mut Lease<mustard_adapter::Store>) -> Option<OrderGrant> {
    let now = app.now();
    if let Some(held) = lease.held(now)
        && now.until(held.until) > MIN_LEASE_LEFT
    {
        return Some(held.into());
    }
    match lease.renew_or_acquire(&app.clock).await {
        Ok(held) => {
            metric::count_store_call("lease", if held.is_some() { "held" } else { "busy" });
            let grant = OrderGrant::from(held?);
            if let Some(log) = app.log.logger_for(Topic::Order) {
                info!(log, "placement: The lease is held."; "fence" => grant.fence.0);
            }
            Some(grant)
        }
        Err(e) => {
            metric::count_store_call("lease", "failed");
            // Replacing lost layers can't wait for the store. A server refuses this fencing token
            // if it has accepted an order with a higher one from another gateway.
            let last = lease.last_fence();
            if let Some(log) = app.log.logger_for(Topic::Order) {
                warn!(log, "placement: The lease can't be acquired."; "error" => %e,
                    "last_fence" => last.map(|f| f.0));
            }
            last.map(|fence| OrderGrant { fence, until: None })
        }
    }
}

/// Acquires the lease once while there is nothing to order, so that this process has a fencing
/// token already if the store is unavailable when layers are lost.
///
/// Only the gateways with the lowest ranks do so. The one with rank 0 is the last, since it is the
/// first to send orders, and servers refuse fencing tokens below the highest that they have seen.
async fn reserve_fence(
    app: &App,
    lease: &mut Lease<mustard_adapter::Store>,
    idle_since: &mut Option<Moment>,
) {
    let rank = app.peers.borrow().rank();
    if lease.last_fence().is_some() || rank >= MAX_RANK || !app.node.require_fence {
        return;
    }
    let waited = app.now().since(*idle_since.get_or_insert(app.now()));
    if waited >= RANK_DELAY * (MAX_RANK - rank) as u32 {
        *idle_since = None;
        acquire_lease(app, lease).await;
    }
}

async fn release_lease(app: &App, lease: &mut Lease<mustard_adapter::Store>) {
    if lease.held(app.now()).is_none() {
        return;
    }
    let result = lease.release().await;
    if let Some(log) = app.log.logger_for(Topic::Order) {
        info!(log, "placement: The lease is released."; "result" => ?result);
    }
}

/// Sends all orders concurrently; releases the lease if a server has seen a higher fencing token.
async fn send_orders(
    app: &Rc<App>,
    lease: &mut Lease<mustard_adapter::Store>,
    grant: OrderGrant,
    planned: Vec<PlannedOrder>,
) {
    let tasks: Vec<_> = planned
        .into_iter()
        .map(|order| {
            let app = Rc::clone(app);
            ntex::rt::spawn(async move { order_layers(&app, grant, order).await })
        })
        .collect();
    let mut fenced = false;
    for task in tasks {
        fenced |= matches!(task.await, Ok(Some(Outcome::Fenced)));
    }
    if fenced {
        release_lease(app, lease).await;
        lease.discard_fence();
    }
}

async fn order_layers(app: &Rc<App>, grant: OrderGrant, order: PlannedOrder) -> Option<Outcome> {
    let report = match fetch_report(app, &order.server, CallKind::Pooled, CALL_TIMEOUT).await {
        Ok(report) => report,
        Err(e) => {
            app.fleet
                .borrow_mut()
                .record_silence(app.now(), order.server.key);
            if let Some(log) = app.log.logger_for(Topic::Order) {
                warn!(log, "placement: A server sent no report."; "server" => %order.server.addr,
                    "error" => %e);
            }
            return None;
        }
    };
    let now = app.now();
    // The plan was made from the server's row, which is older than this report.
    let held = report.held.map(|h| h.layers);
    if report.busy || held != order.held {
        if report.busy
            && let Some(server) = app.fleet.borrow_mut().get_mut(order.server.key)
        {
            server.mark_ordered_elsewhere(now, order.layers);
        }
        if let Some(log) = app.log.logger_for(Topic::Order) {
            info!(log, "placement: A server's state differs from the plan.";
                "server" => %order.server.addr, "busy" => report.busy,
                "memory_used" => report.memory_used,
                "held" => held.map(|h| h.to_string()));
        }
        return None;
    }
    if grant.has_ended(now) {
        if let Some(log) = app.log.logger_for(Topic::Order) {
            warn!(log, "placement: The lease ended before an order was sent.";
                "server" => %order.server.addr, "fence" => grant.fence.0);
        }
        return None;
    }
    let fence = app.node.require_fence.then_some(grant.fence);
    let body = orders::encode_place(order.layers, fence, report.order_count);
    let outcome = send_order(app, &order.server, body)
        .await
        .map(|(outcome, _)| outcome);
    if matches!(outcome, Ok(Outcome::Moved)) {
        probe_faulty_server(app, order.server.key);
    }
    if matches!(outcome, Ok(Outcome::Begun | Outcome::Done) | Err(_))
        && let Some(server) = app.fleet.borrow_mut().get_mut(order.server.key)
    {
        // An order whose answer was lost may still be executed.
        server.begin_loading(now, order.layers, order.load_time);
    }
    let text = outcome
        .as_ref()
        .map_or_else(ToString::to_string, |o| format!("{o:?}"));
    if let Some(log) = app.log.logger_for(Topic::Order) {
        info!(log, "placement: A server was ordered to hold layers."; "server" => %order.server.addr,
            "layers" => %order.layers, "fence" => fence.map(|f| f.0), "outcome" => text);
    }
    metric::count_order(
        "place",
        if outcome.is_ok() {
            "answered"
        } else {
            "unanswered"
        },
    );
    outcome.ok()
}

/// Sends an order to a server, which no other one at its address carries out; returns the outcome, and the server
/// that a refusal names as the cause.
///
/// # Errors
///
/// After an error other than [`CallError::NotSent`] or [`CallError::NoListener`] the server may still execute the order.
pub async fn send_order(
    app: &App,
    to: &ServerProcess,
    body: Vec<u8>,
) -> std::result::Result<(Outcome, Option<SocketAddr>), CallError> {
    let request = Request {
        to: to.addr,
        method: Method::POST,
        path: orders::ORDER_PATH,
        content_type: JSON,
        headers: &[requests::identity_header(&to.id)],
        body,
        timeout: CALL_TIMEOUT,
    };
    let answer = exchange(&app.client, request).await?;
    Ok((
        orders::decode_outcome(answer.status),
        orders::parse_faulty_server(&answer.body),
    ))
}

/// Which connection a call for a report uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// One that is kept for further calls.
    Pooled,
    /// One of its own.
    Unpooled,
}

/// Fetches a server's report and records it in the fleet.
///
/// # Errors
///
/// Returns an error if the server doesn't answer in time or the answer isn't a report. The error is
/// [`CallError::Status`] with [`orders::MISDIRECTED`] if another process has the server's address.
pub async fn fetch_report(
    app: &App,
    server: &ServerProcess,
    kind: CallKind,
    timeout: Duration,
) -> std::result::Result<Rc<ServerReport>, CallError> {
    let request = Request {
        to: server.addr,
        method: Method::GET,
        path: orders::REPORT_PATH,
        content_type: JSON,
        headers: &[requests::identity_header(&server.id)],
        body: Vec::new(),
        timeout,
    };
    let sent = app.now();
    let result = match kind {
        CallKind::Pooled => exchange(&app.client, request).await,
        CallKind::Unpooled => exchange_unpooled(&request).await,
    };
    metric::count_probe(if result.is_ok() { "answered" } else { "silent" });
    if result.is_ok() {
        app.answers.borrow_mut().record_answer(sent);
    }
    if matches!(result, Err(CallError::NoListener(_))) {
        app.fleet
            .borrow_mut()
            .record_no_listener(app.now(), server.key);
    }
    let answer = result?;
    if answer.status == orders::MISDIRECTED {
        app.fleet
            .borrow_mut()
            .record_replaced(app.now(), server.key);
    }
    if answer.status != 200 {
        return Err(CallError::Status(answer.status));
    }
    let report = decode_report(&answer.body).map_err(|e| CallError::Lost(e.to_string()))?;
    let report = Rc::new(report);
    let sender = app
        .fleet
        .borrow_mut()
        .record_report(app.now(), server.key, Rc::clone(&report));
    if ![0, server.started_ms].contains(&report.started_ms) {
        if sender.is_none() {
            identify_later_process(app, server, &report, timeout).await;
        }
        return Err(CallError::Status(orders::MISDIRECTED));
    }
    // Only requests show the end of a limit, as a report need not name it.
    if let Some(limit) = responses::request_limit(&answer.headers) {
        limits::record_answer(app, server.key, Some(limit));
    }
    if responses::announces_leaving(&answer.headers) {
        record_leaving(app, server);
    }
    Ok(report)
}

/// Finds out whether a process that no row names, and that answered at a server's address, is that server,
/// restarted.
async fn identify_later_process(
    app: &App,
    server: &ServerProcess,
    report: &Rc<ServerReport>,
    timeout: Duration,
) {
    let path = {
        let fleet = app.fleet.borrow();
        let config = app.config();
        let service = fleet.get(server.key).map(|s| s.entry.service.clone());
        service.and_then(|name| Some(config?.service(&name)?.health_path.clone()))
    };
    let Some(path) = path else {
        return;
    };
    let answer = call_health(app, server.addr, &path, timeout).await;
    let is_same = answer.is_ok_and(|a| responses::server_id(&a.headers) == Some(&server.id));
    if let Some(log) = app.log.logger_for(Topic::Server) {
        info!(log, "servers: Another process answers."; "server" => %server.addr,
            "process" => %server, "started_ms" => report.started_ms, "same_id" => is_same);
    }
    if is_same {
        let now = app.now();
        app.fleet.borrow_mut().record_restart(now, server, report);
        app.changed.notify_waiters();
    }
}

/// Calls the health check of the server at an address, whose answer names the server.
///
/// # Errors
///
/// Returns an error if there is no answer in time.
pub async fn call_health(
    app: &App,
    to: SocketAddr,
    path: &str,
    timeout: Duration,
) -> std::result::Result<Answer, CallError> {
    let request = Request {
        to,
        method: Method::GET,
        path,
        content_type: "text/plain",
        headers: &[],
        body: Vec::new(),
        timeout,
    };
    let result = exchange(&app.client, request).await;
    metric::count_probe(if result.is_ok() { "answered" } else { "silent" });
    result
}

/// Records that a server's report says that it is leaving.
fn record_leaving(app: &App, server: &ServerProcess) {
    if app.fleet.borrow_mut().record_leaving(server)
        && let Some(log) = app.log.logger_for(Topic::Server)
    {
        info!(log, "servers: Leaving, as a report says."; "server" => %server.addr);
    }
}

/// Returns the engine of a service; `None` for a plain service, whose servers hold no layers.
pub fn engine_of<'a>(config: &'a Config, service: &str) -> Option<&'a Engine> {
    config.service(service)?.engine.as_ref()
}
