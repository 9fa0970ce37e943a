//! Background tasks: checks of the backend server, and the sweeps of sessions and claim rows.

use std::sync::Arc;
use std::time::Duration;

use metrics::gauge;
use tokio::time;

use mustard_backend::engine::Engine;
use mustard_core::event::EventKind;
use mustard_proto::agent::{AgentState, Load};

use crate::claims::ClaimSweeper;
use crate::metric_names;
use crate::settings::ServerKind;
use crate::shared::ServerState;
use crate::worker::Worker;

const CHECK_PERIOD: Duration = Duration::from_millis(250);
const SWEEP_PERIOD: Duration = Duration::from_millis(200);

/// Checks the backend server periodically until the process ends.
pub async fn watch_server(worker: Worker) {
    loop {
        check_server(&worker).await;
        time::sleep(add_jitter(CHECK_PERIOD)).await;
    }
}

/// Loads the highest fencing token from the table, with retries until it succeeds. An agent beside
/// a plain service gets no orders and has no token to load.
pub async fn load_fence(worker: Worker) {
    if worker.shared.settings.kind != ServerKind::Engine {
        return;
    }
    while let Err(r) = worker.shared.fence.load(&worker.table).await {
        let wait = Duration::from_millis(r.retry_ms().unwrap_or_default());
        time::sleep(add_jitter(wait.max(CHECK_PERIOD))).await;
    }
}

/// Ends expired sessions periodically until the process ends.
pub async fn sweep_sessions(worker: Worker) {
    loop {
        time::sleep(SWEEP_PERIOD).await;
        let now = worker.shared.process.now();
        let ended = worker.shared.sessions().sweep(now);
        worker.cancel_sessions(ended);
        gauge!(metric_names::SESSIONS).set(worker.shared.sessions().len() as f64);
        let leaving = worker.shared.state() == AgentState::Leaving;
        gauge!(metric_names::LEAVING).set(f64::from(u8::from(leaving)));
    }
}

/// Deletes the rows of old keys periodically until the process ends.
pub async fn sweep_claims(worker: Worker) {
    let settings = &worker.shared.settings;
    let Some(service) = settings.service.clone() else {
        return;
    };
    let period = Duration::from_millis(settings.claims.sweep_ms);
    let retention = Duration::from_millis(settings.claims.retain_ms);
    let sweeper = ClaimSweeper {
        service,
        retention,
        period,
    };
    let incarnation = worker.shared.process.incarnation();
    loop {
        time::sleep(add_jitter(period)).await;
        let now_ms = worker.shared.process.wall_ms();
        match sweeper.run(&worker.table, incarnation, now_ms).await {
            Ok(Some(report)) => {
                gauge!(metric_names::DOUBTFUL_CLAIMS).set(report.doubtful as f64);
                slog::info!(worker.shared.log, "claims: Deleted rows of old keys.";
                    "read" => report.read, "deleted" => report.deleted,
                    "doubtful" => report.doubtful);
            }
            Ok(None) => {}
            Err(e) => slog::info!(worker.shared.log, "claims: Sweep failed."; "cause" => %e),
        }
    }
}

/// Checks once whether the backend server answers, what it holds and how loaded it is.
pub async fn check_server(worker: &Worker) {
    let shared = &worker.shared;
    let state = match shared.settings.kind {
        ServerKind::Engine => check_engine(worker).await,
        ServerKind::Service => ServerState {
            up: is_reachable(worker).await,
            held: None,
            load: Load::default(),
        },
    };
    let up = state.up;
    gauge!(metric_names::SERVER_UP).set(f64::from(u8::from(up)));
    let before = shared.server.swap(Arc::new(state));
    if before.up != up {
        let service = "server".to_owned();
        shared
            .process
            .emit(None, EventKind::PlatformState { service, up });
        slog::info!(shared.log, "watch: State of the backend server changed."; "up" => up);
    }
}

async fn check_engine(worker: &Worker) -> ServerState {
    match worker.server.loaded_layers().await {
        Ok(held) => ServerState {
            up: true,
            held: Some(held),
            load: worker.server.load().await.unwrap_or_default(),
        },
        Err(_) => ServerState {
            // The layers last seen stay, so that running attempts are still checked against them.
            held: worker.shared.server.load().held.clone(),
            ..ServerState::default()
        },
    }
}

async fn is_reachable(worker: &Worker) -> bool {
    worker.server.is_reachable().await
}

/// Returns a random duration that differs from `base` by at most a quarter.
fn add_jitter(base: Duration) -> Duration {
    base.mul_f64(0.75 + rand::random::<f64>() / 2.0)
}
