//! Starts the daemon, runs it and stops it.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use ntex::server::Server;
use ntex::web::{self, App, HttpServer};

use mustard_catalogue::{HttpPeers, SyncOptions, Syncer};
use mustard_net::daemon::Daemon;
use mustard_net::{Process, log, server};

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
    let http_server = start_server(&shared, listener)?;
    start_tasks(&shared).await;
    let drain = &shared.settings.drain;
    let notice = Duration::from_millis(drain.notice_ms);
    let grace = Duration::from_millis(drain.grace_ms);
    let stopped = daemon
        .drain(notice, grace, || shared.set_draining())
        .await?;
    Ok(stopped.finish(http_server.stop(true)).await)
}

fn start_server(shared: &Arc<Shared>, listener: TcpListener) -> Result<Server> {
    let limits = &shared.settings.limits;
    let state = Arc::clone(shared);
    let factory = async move || {
        App::new()
            .state(Worker::new(Arc::clone(&state)).await)
            .configure(api::routes)
            .default_service(web::to(api::not_found))
    };
    let server = HttpServer::new(factory)
        .workers(shared.settings.workers)
        .maxconn(limits.connections)
        .disable_signals()
        .config(server::config("entry", limits.headers))
        .listen(listener)?
        .run();
    Ok(server)
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
