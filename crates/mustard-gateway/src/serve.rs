//! Starts the listeners and tasks of the daemon, and stops them on a signal.

use std::convert::Infallible;
use std::future::Future;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use ntex::http::{Method, Request, Response};
use ntex::service::fn_service;
use slog::{Logger, error, info, warn};
use tokio::signal::unix::{SignalKind, signal};

use mustard_adapter::NodeSettings;
use mustard_adapter::store::FollowedTable;
use mustard_net::client_body::{BodyError, read_body};
use mustard_net::log::{self, LogFormat, LogOptions, LogOutput};
use mustard_net::shutdown::{self, RequestGate};
use mustard_net::supervise::supervise;
use mustard_net::{ClientLimits, Listener, accept, server};
use mustard_policy::hedge;

use crate::app::{App, StopFlag};
use crate::errors::{GatewayError, Result};
use crate::log_limit::Topic;
use crate::{
    address_watch, evidence, forward, metric, own_rows, peers, placement, server_load,
    server_probe, store_watch, stream_watch, strike_news,
};

/// How long new requests are still accepted after a stop signal. The load balancer checks readiness
/// every second and removes a VM after two failed checks, so until then it may still send some.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_600);
/// The part of the platform's grace time that is kept free for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// The most headers that a request may have.
const MAX_HEADERS: usize = 96;
/// The interval at which gauge metrics are set.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);
/// The most connections that wait to be accepted, for each listener.
const LISTEN_BACKLOG: i32 = 1_024;

/// Options from the command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// The port on which metrics are served.
    pub metrics_port: u16,
    /// The least severe level that is logged.
    pub log_level: String,
    /// The limits on second copies of slow requests.
    pub hedge: hedge::Settings,
    /// The limits of what is held for clients.
    pub clients: ClientLimits,
}

/// Runs the daemon until a stop signal, then exits the process with the exit code of the stop.
///
/// # Errors
///
/// Returns an error if a listener can't be opened or signal handlers can't be installed.
pub async fn run(
    node: NodeSettings,
    options: &Options,
    handle: PrometheusHandle,
) -> Result<Infallible> {
    let log_options = LogOptions {
        format: LogFormat::Json,
        level: options.log_level.clone(),
        output: LogOutput::Stdout,
    };
    let log = log::root(&log_options, &node.name);
    let gate = RequestGate::new();
    let stop = Arc::<StopFlag>::default();
    info!(log, "hedge: Limits of second copies."; "share" => options.hedge.share,
        "rate" => options.hedge.rate, "streams" => options.hedge.streams);
    info!(log, "gateway: Started."; "domain" => &node.domain,
        "callers" => %node.caller_addr, "version" => env!("CARGO_PKG_VERSION"));
    info!(log, "clients: Limits."; "limits" => %options.clients);
    let app = App::new(
        node.clone(),
        log.clone(),
        Arc::clone(&gate),
        Arc::clone(&stop),
        options.hedge,
        options.clients,
    )
    .await;
    listen(&app, options, handle)?;
    start_tasks(&app);
    let on_stop_signal = || {
        stop.set();
        info!(log, "gateway: Draining."; "running" => gate.running());
    };
    ntex::rt::spawn(log_changed_settings(node.clone(), log.clone()));
    let grace = node.grace.saturating_sub(EXIT_MARGIN);
    let ending = shutdown::wait_for_drain(&gate, DRAIN_NOTICE, grace, on_stop_signal).await?;
    info!(log, "gateway: Stopped."; "stop" => ?ending, "running" => gate.running());
    // Leaves the log writer time to flush. It isn't joined: a reader of the output that has
    // stopped reading must not keep the process from exiting.
    tokio::time::sleep(EXIT_MARGIN / 4).await;
    std::process::exit(i32::from(ending.exit_code()))
}

/// Reads the settings file again at each reload signal, and logs whether it differs from the
/// settings in use.
///
/// The platform may change only the `bounds` in the file, such as the grace time and the retry
/// budget, while the process runs. The process goes on with the settings that it read at its start,
/// so the log line tells operators that a change needs a restart.
async fn log_changed_settings(node: NodeSettings, log: Logger) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        warn!(log, "gateway: The reload signal can't be handled.");
        return;
    };
    while hangup.recv().await.is_some() {
        match NodeSettings::load() {
            Ok(new) => info!(log, "gateway: Settings read again, changes need a restart.";
                "changed" => new != node),
            Err(e) => warn!(log, "gateway: The settings can't be read again."; "error" => %e),
        }
    }
}

/// Opens the listeners for callers, readiness checks, peers (the other gateways) and metrics, and serves them on
/// the calling thread.
fn listen(app: &Rc<App>, options: &Options, metrics: PrometheusHandle) -> Result<()> {
    let node = &app.node;
    let own_addr = |port| SocketAddr::new(node.ip, port);
    let metrics_addr = SocketAddr::new(IpAddr::from([0, 0, 0, 0]), options.metrics_port);
    let callers = bind(node.caller_addr)?;
    let ready = bind(node.readiness_addr)?;
    let peers = bind(own_addr(node.peer_port))?;
    let metrics_listener = bind(metrics_addr)?;
    let state = Rc::clone(app);
    let handle = move |r: Request| forward::handle(Rc::clone(&state), r);
    start_listener(app, callers, Listener::main("callers"), handle);
    let state = Rc::clone(app);
    let handle = move |r: Request| answer_ready(Rc::clone(&state), r);
    start_listener(app, ready, Listener::other("ready"), handle);
    let state = Rc::clone(app);
    let handle = move |r: Request| answer_peer(Rc::clone(&state), r);
    start_listener(app, peers, Listener::other("peers"), handle);
    let handle = move |_: Request| {
        let text = metrics.render();
        async move { Ok(Response::Ok().body(text)) }
    };
    start_listener(app, metrics_listener, Listener::other("metrics"), handle);
    Ok(())
}

/// Starts the task that serves the connections of a listener.
fn start_listener<H>(app: &Rc<App>, socket: TcpListener, listener: Listener, handle: H)
where
    H: AsyncFn(Request) -> std::io::Result<Response> + Clone + 'static,
{
    let config = server::config("gateway", MAX_HEADERS);
    let app = Rc::clone(app);
    ntex::rt::spawn(async move {
        let budget = Rc::clone(&app.clients);
        let served = accept::serve(socket, budget, listener, config, fn_service(handle)).await;
        if let (Err(e), Some(log)) = (served, app.log.logger_for(Topic::Dependency)) {
            error!(log, "gateway: A listener failed."; "listener" => listener.name(), "error" => %e);
        }
    });
}

fn bind(addr: SocketAddr) -> Result<TcpListener> {
    ntex::server::bind_addr(addr, LISTEN_BACKLOG)
        .and_then(|list| {
            let first = list.into_iter().next();
            let listener = first.ok_or(std::io::ErrorKind::Other)?;
            server::limit_buffers(&listener)?;
            Ok(listener)
        })
        .map_err(|source| GatewayError::Listen { addr, source })
}

fn start_tasks(app: &Rc<App>) {
    keep_running(app, "configuration", |app| {
        store_watch::run(app, FollowedTable::Operators)
    });
    keep_running(app, "servers", |app| {
        store_watch::run(app, FollowedTable::Servers)
    });
    keep_running(app, "placement", placement::run);
    keep_running(app, "streams", stream_watch::run);
    keep_running(app, "silent_servers", server_probe::retry_silent_servers);
    keep_running(app, "address_watch", address_watch::run);
    keep_running(app, "peers", peers::run);
    keep_running(app, "strike_news", strike_news::run);
    keep_running(app, "own_rows", own_rows::run);
    keep_running(app, "evidence", evidence::write);
    keep_running(app, "kept_evidence", evidence::read);
    keep_running(app, "server_load", server_load::run);
    keep_running(app, "gauges", set_gauges);
}

/// Runs a task for the life of the process, also if it panics.
fn keep_running<F>(app: &Rc<App>, name: &'static str, run: impl Fn(Rc<App>) -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    let (started, ended) = (Rc::clone(app), Rc::clone(app));
    let task = supervise(
        move || run(Rc::clone(&started)),
        move |end| {
            metric::count_task_restart(name);
            if let Some(log) = ended.log.logger_for(Topic::Dependency) {
                error!(log, "gateway: A task ended and is started again."; "task" => name,
                    "end" => ?end);
            }
        },
    );
    ntex::rt::spawn(task);
}

async fn set_gauges(app: Rc<App>) {
    loop {
        tokio::time::sleep(GAUGE_INTERVAL).await;
        let now = app.now();
        let (usable, known, ejected) = {
            let fleet = app.fleet.borrow();
            let usable = fleet.iter().filter(|(_, s)| s.is_usable(now)).count();
            (usable, fleet.iter().count(), fleet.ejected_count())
        };
        metric::set_servers(usable, known);
        metric::set_ejected_servers(ejected);
        metric::set_running_requests(app.gate.running());
        app.clients.update_gauges();
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
    let is_news = request.path() == strike_news::PATH;
    if request.method() != Method::POST || !(is_news || request.path() == peers::PATH) {
        return Ok(Response::NotFound().finish());
    }
    let mut payload = request.take_payload();
    let received = read_body(&app.clients, &mut payload, peers::MAX_MESSAGE_BYTES);
    let received = match received.await {
        Ok(received) => received,
        Err(error) => {
            return Ok(match error {
                BodyError::TooLarge => Response::PayloadTooLarge().finish(),
                BodyError::Broken => Response::BadRequest().finish(),
                BodyError::Stalled | BodyError::NoRoom => Response::ServiceUnavailable().finish(),
            });
        }
    };
    let body = &received.bytes;
    if is_news {
        return Ok(if strike_news::handle_message(&app, body) {
            Response::Ok().finish()
        } else {
            Response::BadRequest().finish()
        });
    }
    Ok(match peers::handle_message(&app, body) {
        Some(bytes) => Response::Ok()
            .content_type(peers::MEDIA_TYPE)
            .body(peers::message_body(bytes)),
        None => Response::BadRequest().finish(),
    })
}
