//! Background tasks: the state of the backend server and the sweep of sessions.

use std::sync::Arc;
use std::time::Duration;

use metrics::gauge;
use tokio::time;

use mustard_backend::engine::Engine;
use mustard_core::event::EventKind;
use mustard_proto::agent::{AgentState, Load};

use crate::claims::Sweeper;
use crate::names;
use crate::settings::ServerKind;
use crate::shared::Server;
use crate::worker::Worker;

const WATCH_EVERY: Duration = Duration::from_millis(250);
const SWEEP_EVERY: Duration = Duration::from_millis(200);

/// Watches the backend server until the process ends.
pub async fn watch(worker: Worker) {
    loop {
        look(&worker).await;
        time::sleep(jittered(WATCH_EVERY)).await;
    }
}

/// Reads the highest fencing number back, as often as it takes.
pub async fn recall_fence(worker: Worker) {
    if worker.shared.settings.kind != ServerKind::Engine {
        return;
    }
    while let Err(r) = worker.shared.fence.recall(&worker.table).await {
        let wait = Duration::from_millis(r.retry_ms().unwrap_or_default());
        time::sleep(jittered(wait.max(WATCH_EVERY))).await;
    }
}

/// Ends expired sessions until the process ends.
pub async fn sweep(worker: Worker) {
    loop {
        time::sleep(SWEEP_EVERY).await;
        let now = worker.shared.process.now();
        let closed = worker.shared.sessions().sweep(now);
        worker.cancel_all(closed);
        gauge!(names::SESSIONS).set(worker.shared.sessions().len() as f64);
        let leaving = worker.shared.state() == AgentState::Leaving;
        gauge!(names::LEAVING).set(f64::from(u8::from(leaving)));
    }
}

/// Deletes rows of old keys until the process ends.
pub async fn sweep_claims(worker: Worker) {
    let settings = &worker.shared.settings;
    let Some(service) = settings.service.clone() else {
        return;
    };
    let every = Duration::from_millis(settings.claims.sweep_ms);
    let retain = Duration::from_millis(settings.claims.retain_ms);
    let sweeper = Sweeper {
        service,
        retain,
        every,
    };
    let me = worker.shared.process.incarnation();
    loop {
        time::sleep(jittered(every)).await;
        let now = worker.shared.process.wall_ms();
        match sweeper.run(&worker.table, me, now).await {
            Ok(Some(swept)) => {
                gauge!(names::DOUBTFUL).set(swept.doubtful as f64);
                slog::info!(worker.shared.log, "claims: Swept old keys.";
                    "read" => swept.read, "deleted" => swept.deleted, "doubtful" => swept.doubtful);
            }
            Ok(None) => {}
            Err(e) => slog::info!(worker.shared.log, "claims: Sweep failed."; "cause" => %e),
        }
    }
}

/// Asks the backend server once for what it holds and how loaded it is.
pub async fn look(worker: &Worker) {
    let shared = &worker.shared;
    let seen = match shared.settings.kind {
        ServerKind::Engine => engine(worker).await,
        ServerKind::Service => Server {
            up: answers(worker).await,
            held: None,
            load: Load::default(),
        },
    };
    let up = seen.up;
    gauge!(names::SERVER_UP).set(f64::from(u8::from(up)));
    let before = shared.server.swap(Arc::new(seen));
    if before.up != up {
        let service = "server".to_owned();
        shared
            .process
            .emit(None, EventKind::PlatformState { service, up });
        slog::info!(shared.log, "watch: Server changed."; "up" => up);
    }
}

async fn engine(worker: &Worker) -> Server {
    match worker.server.held().await {
        Ok(held) => Server {
            up: true,
            held: Some(held),
            load: worker.server.load().await.unwrap_or_default(),
        },
        Err(_) => Server {
            // The layers held are kept, so that running attempts are judged by them.
            held: worker.shared.server.load().held.clone(),
            ..Server::default()
        },
    }
}

async fn answers(worker: &Worker) -> bool {
    worker.server.reachable().await
}

fn jittered(base: Duration) -> Duration {
    base.mul_f64(0.75 + rand::random::<f64>() / 2.0)
}
