//! The daemon's life from its settings to its exit code.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use ntex::web::{self, App, HttpServer};
use slog::{info, warn};
use tokio::time::sleep;

use mustard_net::daemon::Daemon;
use mustard_net::{Client, Process, log, server};
use mustard_platform::http::HttpService;

use crate::api;
use crate::app::{Shared, Worker};
use crate::errors::Result;
use crate::membership;
use crate::settings::Settings;

const RING_EVENTS: usize = 65_536;
const LOAD_PAUSE: Duration = Duration::from_millis(500);

/// Runs the daemon until a planned stop and returns its exit code.
///
/// # Errors
///
/// Returns an error if the settings or the port are at fault.
pub async fn run(settings: Settings, metrics: PrometheusHandle) -> Result<u8> {
    let operators = settings.operator_keys()?;
    let process = Process::new(&settings.name, RING_EVENTS);
    let logger = log::root(&settings.log, &settings.name);
    let shared = Shared::new(Arc::clone(&process), settings, operators, logger, metrics);
    let daemon = Daemon::new(process, Arc::clone(&shared.gate), shared.log.clone());
    let (daemon, listener) = daemon.bind(shared.settings.listen)?;
    let running = listen(&shared, listener)?;
    start_tasks(&shared).await;
    let drain = &shared.settings.drain;
    let notice = Duration::from_millis(drain.notice_ms);
    let grace = Duration::from_millis(drain.grace_ms);
    let stopped = daemon
        .drain(notice, grace, || shared.set_ready(false))
        .await?;
    Ok(stopped.finish(running.stop(true)).await)
}

fn listen(shared: &Arc<Shared>, listener: std::net::TcpListener) -> Result<ntex::server::Server> {
    let limits = &shared.settings.limits;
    let config = server::config("entry", limits.headers);
    let workers = shared.settings.workers;
    let connections = limits.connections;
    let state = Arc::clone(shared);
    let factory = async move || {
        let worker = Worker {
            client: Client::new(Arc::clone(&state.process)).await,
            shared: Arc::clone(&state),
        };
        App::new()
            .state(Rc::new(worker))
            .configure(api::routes)
            .default_service(web::to(api::not_found))
    };
    let server = HttpServer::new(factory)
        .workers(workers)
        .maxconn(connections)
        .disable_signals()
        .config(config)
        .listen(listener)?
        .run();
    Ok(server)
}

async fn start_tasks(shared: &Arc<Shared>) {
    let worker = Rc::new(Worker {
        client: Client::new(Arc::clone(&shared.process)).await,
        shared: Arc::clone(shared),
    });
    let platform = &shared.settings.platform;
    let limit = Duration::from_millis(platform.limit_ms);
    let http = Rc::new(worker.client.http().clone());
    let table = HttpService::new(Rc::clone(&http), platform.table, limit, "table");
    let list = HttpService::new(http, platform.vms, limit, "vms");
    ntex::rt::spawn(membership::follow_list(Rc::clone(&worker), list));
    ntex::rt::spawn(membership::watch_agents(Rc::clone(&worker)));
    ntex::rt::spawn(load_catalogue(worker, table));
}

async fn load_catalogue(worker: Rc<Worker>, table: HttpService) {
    let shared = &worker.shared;
    loop {
        match shared.catalogue.load(&table).await {
            Ok(()) => {
                if !shared.gate.is_closed() && !shared.is_ready() {
                    info!(shared.log, "catalogue: Loaded."; "seq" => shared.catalogue.current().seq().0);
                    shared.set_ready(true);
                }
            }
            Err(e) => warn!(shared.log, "catalogue: Table does not answer."; "error" => %e),
        }
        sleep(membership::jitter(LOAD_PAUSE)).await;
    }
}
