//! Starts the agent, runs its HTTP server and stops it.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use ntex::web::App;
use slog::{error, info};

use mustard_net::daemon::Daemon;
use mustard_net::shutdown::RequestGate;
use mustard_net::{Listener, Process, accept, http, log, metric};
use mustard_platform::http::HttpService;

use crate::background_tasks;
use crate::claims::{BatchOptions, WriteQueue};
use crate::errors::{AgentError, Result};
use crate::server;
use crate::settings::AgentSettings;
use crate::shared::Shared;
use crate::worker::Worker;

/// The most header fields of one message.
const MAX_HEADERS: usize = 64;

/// Runs the agent until it is told to stop and returns the exit code.
///
/// # Errors
///
/// Returns an error if the agent does not start.
pub async fn run(settings: AgentSettings) -> Result<u8> {
    let log = log::root(&settings.log, &settings.vm);
    let process = Process::new(&settings.vm, settings.events);
    let gate = RequestGate::new();
    let metrics_handle = metric::install()?;
    let listen = settings.listen;
    // After the first refusal of new work the process runs for at least `notice`, and it ends after
    // `grace` although work is still running.
    let (notice, grace) = (settings.notice(), settings.grace());
    let (write_queue, writer) = WriteQueue::new(new_table(&settings), batch_options(&settings));
    tokio::task::spawn_local(writer.run());
    let shared = Shared::new(
        Arc::clone(&process),
        Arc::clone(&gate),
        settings,
        log.clone(),
        write_queue,
    );
    // A heartbeat reports the role of the backend server, so the role is read before the first
    // heartbeat can be answered.
    let worker = Worker::new(Arc::clone(&shared)).await;
    background_tasks::check_server(&worker).await;
    tokio::task::spawn_local(background_tasks::watch_server(worker.clone()));
    tokio::task::spawn_local(background_tasks::sweep_sessions(worker.clone()));
    tokio::task::spawn_local(background_tasks::sweep_claims(worker.clone()));
    tokio::task::spawn_local(background_tasks::load_fence(worker));
    let (daemon, listener) = Daemon::new(process, gate, log)
        .bind(listen)
        .map_err(|source| AgentError::Bind {
            addr: listen,
            source,
        })?;
    shared.claims.set_address(daemon.addr());
    start_workers(&shared, &metrics_handle, &listener)?;
    let drained_daemon = daemon.drain(notice, grace, || shared.begin_stop()).await?;
    let code = drained_daemon.finish(accept::flush_responses()).await;
    Ok(code)
}

fn new_table(settings: &AgentSettings) -> HttpService {
    let http = Rc::new(http::new_client());
    let timeout = Duration::from_millis(settings.claims.table_ms);
    HttpService::new(http, settings.table, timeout, "table")
}

fn batch_options(settings: &AgentSettings) -> BatchOptions {
    BatchOptions {
        max_rows: settings.claims.batch,
        linger: Duration::from_millis(settings.claims.linger_ms),
    }
}

/// Starts the threads that handle messages.
fn start_workers(
    shared: &Arc<Shared>,
    metrics_handle: &PrometheusHandle,
    listener: &TcpListener,
) -> Result<()> {
    let limits = shared.settings.client_limits();
    info!(shared.log, "clients: Limits of each thread."; "limits" => %limits);
    let workers = shared.settings.workers;
    let shared = Arc::clone(shared);
    let metrics_handle = metrics_handle.clone();
    accept::start_workers(workers, listener, move |socket| {
        serve_connections(Arc::clone(&shared), metrics_handle.clone(), socket)
    })?;
    Ok(())
}

async fn serve_connections(
    shared: Arc<Shared>,
    metrics_handle: PrometheusHandle,
    socket: TcpListener,
) {
    let worker = Worker::new(Arc::clone(&shared)).await;
    let clients = Rc::clone(&worker.clients);
    ntex::rt::spawn(Rc::clone(&clients).keep_gauges());
    let app = App::new()
        .state(worker)
        .state(metrics_handle)
        .configure(server::configure);
    let config = mustard_net::server::config("agent", MAX_HEADERS);
    let Err(e) = accept::serve(socket, clients, Listener::main("agent"), config, app).await;
    error!(shared.log, "agent: A thread stopped serving."; "error" => %e);
}
