//! The daemon's life from its settings to its exit code.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use ntex::http::{HttpService, Method, Request, Response};
use ntex::server::Server;
use slog::{Logger, info, warn};
use tokio::signal::unix::{SignalKind, signal};

use mustard_adapter::Node;
use mustard_adapter::store::Followed;
use mustard_net::log::{self, LogFormat, LogOptions, LogOutput};
use mustard_net::server;
use mustard_net::shutdown::{self, Gate};

use crate::app::{App, Stopping};
use crate::errors::{GatewayError, Result};
use crate::{forward, metric, peers, placement, store_watch, stream_watch};

/// How long requests are taken after a stop signal: the balancer asks each second and takes a VM
/// out after two misses.
const NOTICE: Duration = Duration::from_millis(2_600);
/// The part of the platform's grace that is left for the end of the process.
const END_MARGIN: Duration = Duration::from_millis(400);
const MAX_HEADERS: usize = 96;
/// The pause between two settings of the gauges.
const GAUGE_PAUSE: Duration = Duration::from_secs(1);
const BACKLOG: i32 = 1_024;

/// Settings from the command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// The port on which metrics are served.
    pub metrics_port: u16,
    /// The least severe level that is logged.
    pub log_level: String,
}

/// What the serving thread needs to create its state.
#[derive(Clone)]
struct Seed {
    node: Node,
    log: Logger,
    gate: Arc<Gate>,
    stopping: Arc<Stopping>,
}

thread_local! {
    /// The state of the serving thread; all listeners share it.
    static STATE: RefCell<Option<Rc<App>>> = const { RefCell::new(None) };
}

/// Runs the daemon until a planned stop and ends the process with its exit code.
///
/// # Errors
///
/// Returns an error if a port can't be opened or signals can't be awaited.
pub async fn run(node: Node, options: &Options, handle: PrometheusHandle) -> Result<Infallible> {
    let log_options = LogOptions {
        format: LogFormat::Json,
        level: options.log_level.clone(),
        output: LogOutput::Stdout,
    };
    let seed = Seed {
        log: log::root(&log_options, &node.name),
        gate: Gate::new(),
        stopping: Arc::default(),
        node,
    };
    let log = seed.log.clone();
    info!(log, "gateway: Started."; "domain" => &seed.node.domain,
        "callers" => %seed.node.callers, "version" => env!("CARGO_PKG_VERSION"));
    let _running = listen(&seed, options, handle)?;
    let stopping = Arc::clone(&seed.stopping);
    let unready = || {
        stopping.begin();
        info!(log, "gateway: Draining."; "running" => seed.gate.running());
    };
    ntex::rt::spawn(follow_settings(seed.node.clone(), log.clone()));
    let grace = seed.node.grace.saturating_sub(END_MARGIN);
    let stop = shutdown::wait(&seed.gate, NOTICE, grace, unready).await?;
    info!(log, "gateway: Stopped."; "stop" => ?stop, "running" => seed.gate.running());
    // Gives the writer of the log a moment. It isn't waited for: whoever reads the output may
    // have stopped, and the end of the process must not hang on that.
    tokio::time::sleep(END_MARGIN / 4).await;
    std::process::exit(i32::from(stop.exit_code()))
}

/// Reads the settings again when the platform says that they changed.
///
/// What they hold is fixed for the life of a process but for the bounds, which a process takes in
/// when it starts; a change is logged so that an operator knows to restart.
async fn follow_settings(node: Node, log: Logger) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        warn!(log, "gateway: The reload signal can't be awaited.");
        return;
    };
    while hangup.recv().await.is_some() {
        match Node::load() {
            Ok(new) => info!(log, "gateway: Settings read again."; "changed" => new != node),
            Err(e) => warn!(log, "gateway: Settings can't be read again."; "error" => %e),
        }
    }
}

fn listen(seed: &Seed, options: &Options, handle: PrometheusHandle) -> Result<Server> {
    let node = &seed.node;
    let own = |port| SocketAddr::new(node.ip, port);
    let metrics_addr = SocketAddr::new(IpAddr::from([0, 0, 0, 0]), options.metrics_port);
    let callers = bind(node.callers)?;
    let ready = bind(node.readiness)?;
    let gossip = bind(own(node.peer_port))?;
    let scrapes = bind(metrics_addr)?;
    let (a, b, c, d) = (seed.clone(), seed.clone(), seed.clone(), seed.clone());
    let config = server::config("gateway", MAX_HEADERS);
    let server = ntex::server::build()
        .workers(1)
        .backlog(BACKLOG)
        .disable_signals()
        .listen("callers", callers, async move |_| {
            let app = state(&a).await;
            HttpService::h1(move |r: Request| forward::handle(Rc::clone(&app), r))
        })?
        .listen("ready", ready, async move |_| {
            let app = state(&b).await;
            HttpService::h1(move |r: Request| answer_ready(Rc::clone(&app), r))
        })?
        .listen("gossip", gossip, async move |_| {
            let app = state(&c).await;
            HttpService::h1(move |r: Request| answer_peer(Rc::clone(&app), r))
        })?
        .listen("metrics", scrapes, async move |_| {
            let _ = state(&d).await;
            let handle = handle.clone();
            HttpService::h1(move |_: Request| {
                let text = handle.render();
                async move { Ok::<Response, std::io::Error>(Response::Ok().body(text)) }
            })
        })?
        .config("callers", config.clone())
        .config("ready", config.clone())
        .config("gossip", config.clone())
        .config("metrics", config)
        .run();
    Ok(server)
}

fn bind(addr: SocketAddr) -> Result<TcpListener> {
    ntex::server::bind_addr(addr, BACKLOG)
        .and_then(|list| {
            list.into_iter()
                .next()
                .ok_or_else(|| std::io::ErrorKind::Other.into())
        })
        .map_err(|source| GatewayError::Port { addr, source })
}

/// Returns the state of this thread, with its tasks started.
async fn state(seed: &Seed) -> Rc<App> {
    if let Some(app) = STATE.with_borrow(Clone::clone) {
        return app;
    }
    let (gate, stopping) = (Arc::clone(&seed.gate), Arc::clone(&seed.stopping));
    let app = App::new(seed.node.clone(), seed.log.clone(), gate, stopping).await;
    // Another listener may have created it meanwhile.
    if let Some(app) = STATE.with_borrow(Clone::clone) {
        return app;
    }
    STATE.set(Some(Rc::clone(&app)));
    start_tasks(&app);
    app
}

fn start_tasks(app: &Rc<App>) {
    ntex::rt::spawn(store_watch::run(Rc::clone(app), Followed::Operators));
    ntex::rt::spawn(store_watch::run(Rc::clone(app), Followed::Servers));
    ntex::rt::spawn(placement::run(Rc::clone(app)));
    ntex::rt::spawn(stream_watch::run(Rc::clone(app)));
    ntex::rt::spawn(stream_watch::recall(Rc::clone(app)));
    ntex::rt::spawn(peers::run(Rc::clone(app)));
    ntex::rt::spawn(peers::register(Rc::clone(app)));
    ntex::rt::spawn(set_gauges(Rc::clone(app)));
}

async fn set_gauges(app: Rc<App>) {
    loop {
        tokio::time::sleep(GAUGE_PAUSE).await;
        let now = app.now();
        let (usable, known) = {
            let fleet = app.fleet.borrow();
            let usable = fleet.iter().filter(|(_, s)| s.is_usable(now)).count();
            (usable, fleet.iter().count())
        };
        metric::servers(usable, known);
        metric::running(app.gate.running());
    }
}

async fn answer_ready(app: Rc<App>, _request: Request) -> std::io::Result<Response> {
    let response = if app.is_ready() {
        Response::Ok().finish()
    } else {
        Response::ServiceUnavailable().finish()
    };
    Ok(response)
}

async fn answer_peer(app: Rc<App>, mut request: Request) -> std::io::Result<Response> {
    if request.method() != Method::POST || request.path() != peers::PATH {
        return Ok(Response::NotFound().finish());
    }
    let mut payload = request.take_payload();
    let mut body = Vec::new();
    while let Some(Ok(chunk)) = std::future::poll_fn(|cx| payload.poll_recv(cx)).await {
        body.extend_from_slice(&chunk);
        if body.len() > peers::MAX_MESSAGE {
            return Ok(Response::PayloadTooLarge().finish());
        }
    }
    Ok(match peers::answer(&app, &body) {
        Some(bytes) => Response::Ok()
            .content_type(peers::media())
            .body(peers::body(bytes)),
        None => Response::BadRequest().finish(),
    })
}
