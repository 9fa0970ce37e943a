//! Starts the agent, serves and stops it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use ntex::server::Server;
use ntex::web::{self, App};

use mustard_net::daemon::Daemon;
use mustard_net::shutdown::Gate;
use mustard_net::{Process, http, log, metric};
use mustard_platform::http::HttpService;

use crate::claims::{Keeper, Pace};
use crate::errors::{AgentError, Result};
use crate::server;
use crate::settings::AgentSettings;
use crate::shared::Shared;
use crate::watch;
use crate::worker::Worker;

/// Header fields of one message.
const MAX_HEADERS: usize = 64;

/// Runs the agent until it is told to stop and returns the exit code.
///
/// # Errors
///
/// Returns an error if the agent does not start.
pub async fn run(settings: AgentSettings) -> Result<u8> {
    let log = log::root(&settings.log, &settings.vm);
    let process = Process::new(&settings.vm, settings.events);
    let gate = Gate::new();
    let handle = metric::install()?;
    let listen = settings.listen;
    let (notice, grace) = (settings.notice(), settings.grace());
    let (keeper, writer) = Keeper::new(table(&settings).await, pace(&settings));
    tokio::task::spawn_local(writer.run());
    let shared = Shared::new(
        Arc::clone(&process),
        Arc::clone(&gate),
        settings,
        log.clone(),
        keeper,
    );
    // The role is known before the first heartbeat is answered.
    let worker = Worker::new(Arc::clone(&shared)).await;
    watch::look(&worker).await;
    tokio::task::spawn_local(watch::watch(worker.clone()));
    tokio::task::spawn_local(watch::sweep(worker.clone()));
    tokio::task::spawn_local(watch::sweep_claims(worker.clone()));
    tokio::task::spawn_local(watch::recall_fence(worker));
    let (daemon, listener) = Daemon::new(process, gate, log)
        .bind(listen)
        .map_err(|source| AgentError::Bind {
            addr: listen,
            source,
        })?;
    shared.claims.listens(daemon.addr());
    let server = serve(&shared, &handle, listener)?;
    let drained = daemon.drain(notice, grace, || shared.stop()).await?;
    let code = drained
        .finish(async {
            server.stop(true).await;
        })
        .await;
    Ok(code)
}

async fn table(settings: &AgentSettings) -> HttpService {
    let http = Rc::new(http::new_client().await);
    let limit = Duration::from_millis(settings.claims.table_ms);
    HttpService::new(http, settings.table, limit, "table")
}

fn pace(settings: &AgentSettings) -> Pace {
    Pace {
        batch: settings.claims.batch,
        linger: Duration::from_millis(settings.claims.linger_ms),
    }
}

fn serve(
    shared: &Arc<Shared>,
    handle: &PrometheusHandle,
    listener: std::net::TcpListener,
) -> Result<Server> {
    let workers = shared.settings.workers;
    let shared = Arc::clone(shared);
    let handle = handle.clone();
    let server = web::HttpServer::new(async move || {
        let worker = Worker::new(Arc::clone(&shared)).await;
        App::new()
            .state(worker)
            .state(handle.clone())
            .configure(server::configure)
    })
    .workers(workers)
    .disable_signals()
    .config(mustard_net::server::config("agent", MAX_HEADERS))
    .listen(listener)?
    .run();
    Ok(server)
}
