//! Starts the daemon, runs it and stops it.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use ntex::web::{self, App};
use slog::{error, info};

use mustard_catalogue::{HttpPeers, SyncOptions, Syncer};
use mustard_net::daemon::Daemon;
use mustard_net::{Listener, Process, accept, log, server};

use crate::api;
use crate::app::{PlatformClients, Shared, Worker};
use crate::errors::Result;
use crate::settings::Settings;
use crate::{quotas, servers};

/// The number of events that the process keeps for timelines.
const EVENT_RING_SIZE: usize = 65_536;
/// How long another entry process may take to answer a catalogue message.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs the daemon until a planned stop and returns its exit code.
///
/// # Errors
///
/// Returns an error if the settings are invalid or the address can't be listened on.
pub async fn run(settings: Settings, metrics: PrometheusHandle) -> Result<u8> {
    let operators = settings.operator_keys()?;
    let process = Process::new(&settings.name, EVENT_RING_SIZE);
    let logger = log::root(&settings.log, &settings.name);
    let shared = Shared::new(Arc::clone(&process), settings, operators, logger, metrics);
    let daemon = Daemon::new(process, Arc::clone(&shared.gate), shared.log.clone());
    let (daemon, listener) = daemon.bind(shared.settings.listen)?;
    shared.set_addr(daemon.addr());
    start_workers(&shared, &listener)?;
    start_tasks(&shared).await;
    let drain = &shared.settings.drain;
    let notice = Duration::from_millis(drain.notice_ms);
    let grace = Duration::from_millis(drain.grace_ms);
    let stopped = daemon
        .drain(notice, grace, || shared.set_draining())
        .await?;
    Ok(stopped.finish(accept::flush_responses()).await)
}

/// Starts the worker threads, which serve the connections of the listener.
fn start_workers(shared: &Arc<Shared>, listener: &TcpListener) -> Result<()> {
    let limits = shared.settings.client_limits();
    info!(shared.log, "clients: Limits of each thread."; "limits" => %limits);
    let shared = Arc::clone(shared);
    let workers = shared.settings.workers;
    accept::start_workers(workers, listener, move |socket| {
        serve_connections(Arc::clone(&shared), socket)
    })?;
    Ok(())
}

async fn serve_connections(shared: Arc<Shared>, socket: TcpListener) {
    let worker = Worker::new(Arc::clone(&shared)).await;
    let clients = Rc::clone(&worker.clients);
    ntex::rt::spawn(Rc::clone(&clients).keep_gauges());
    let app = App::new()
        .state(worker)
        .configure(api::routes)
        .default_service(web::to(api::not_found));
    let config = server::config("entry", shared.settings.limits.headers);
    let Err(e) = accept::serve(socket, clients, Listener::main("entry"), config, app).await;
    error!(shared.log, "serve: A worker thread stopped serving."; "error" => %e);
}

/// Starts the background tasks, all on the calling thread.
async fn start_tasks(shared: &Arc<Shared>) {
    let worker = Worker::new(Arc::clone(shared)).await;
    let platform = PlatformClients::new(&shared.settings.platform, &worker.client);
    ntex::rt::spawn(servers::follow_list(Rc::clone(&worker), platform.vms));
    ntex::rt::spawn(servers::watch_agents(Rc::clone(&worker)));
    ntex::rt::spawn(quotas::renew_grants(Rc::clone(&worker)));
    let admissions = Arc::clone(&shared.admissions);
    ntex::rt::spawn(async move { admissions.run().await });
    let known = Arc::clone(&shared.servers);
    let peers = HttpPeers::new(worker.client.clone(), PEER_TIMEOUT, move || {
        known.peer_addrs()
    });
    let sync = &shared.settings.catalogue;
    let options = SyncOptions::default()
        .poll_interval(Duration::from_millis(sync.poll_ms))
        .max_backoff(Duration::from_millis(sync.backoff_ms))
        .push_fanout(sync.fanout);
    let store = Arc::clone(&shared.catalogue);
    let log = shared.log.clone();
    let syncer = Syncer::new(platform.table, platform.objects, peers, store, options, log);
    ntex::rt::spawn(async move { syncer.run().await });
}
