//! Orders to load layers, protected by fencing tokens and executed when no session is open.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use tokio::sync::oneshot;
use tokio::time;

use mustard_backend::BackendError;
use mustard_backend::engine::{Engine, LoadOrder, LoadedLayers};
use mustard_core::event::EventKind;
use mustard_proto::agent::{AgentInfo, LoadLayers};
use mustard_proto::{Execution, Refusal};

use crate::background_tasks;
use crate::metric_names;
use crate::session::Result;
use crate::settings::ServerKind;
use crate::shared::Shared;
use crate::worker::Worker;

const SESSION_POLL: Duration = Duration::from_millis(20);
const ROLE_CHANGE_RETRY_MS: u64 = 500;

/// Executes an order after the open sessions have ended.
///
/// # Errors
///
/// [`Refusal::Fenced`] if a higher fencing token was seen before the order reached the engine.
pub async fn execute_order(worker: &Worker, order: LoadLayers) -> Result<AgentInfo> {
    let shared = Arc::clone(&worker.shared);
    if shared.settings.kind != ServerKind::Engine {
        let what = order.model;
        return Err(Refusal::NotHeld { what });
    }
    let guard = shared.gate.admit().ok_or(Refusal::Leaving)?;
    // The order runs in a task of its own, so it continues if the sender disconnects. Only a
    // higher fencing token stops it.
    let (result_tx, result_rx) = oneshot::channel();
    let worker = worker.clone();
    tokio::task::spawn_local(async move {
        let result = apply_order(&worker, &order).await;
        drop(guard);
        record_result(&worker, &order, &result);
        let _ = result_tx.send(result);
    });
    let detail = "order was not finished".to_owned();
    let ran = Execution::Maybe;
    result_rx
        .await
        .unwrap_or(Err(Refusal::NoAnswer { ran, detail }))
}

fn record_result(worker: &Worker, order: &LoadLayers, result: &Result<AgentInfo>) {
    let shared = &worker.shared;
    let fence = order.fence;
    let name = result.as_ref().map_or_else(Refusal::name, |_| "done");
    counter!(metric_names::ORDERS, "result" => name).increment(1);
    slog::info!(shared.log, "order: Order ended."; "fence" => fence.0, "result" => name);
    match result {
        Ok(_) => {
            let order = format!("{} {} {}", order.model, order.version, order.layers);
            shared
                .process
                .emit(None, EventKind::OrderDone { fence, order });
        }
        Err(Refusal::Fenced { highest }) => {
            let highest = *highest;
            shared
                .process
                .emit(None, EventKind::OrderFenced { fence, highest });
        }
        Err(_) => {}
    }
}

async fn apply_order(worker: &Worker, order: &LoadLayers) -> Result<AgentInfo> {
    let shared = &worker.shared;
    shared.fence.raise(&worker.table, order.fence).await?;
    let held = worker.server.loaded_layers().await.map_err(into_refusal)?;
    if !already_holds(&held, order) {
        let _role_change = RoleChange::begin(shared)?;
        wait_until_idle(worker, order).await?;
        load_layers(worker, order).await?;
    }
    background_tasks::check_server(worker).await;
    Ok(shared.info())
}

fn already_holds(held: &LoadedLayers, order: &LoadLayers) -> bool {
    // An engine that checks fencing tokens must see each higher one, even for the same layers.
    let fence_known = held.fence.is_none_or(|f| f >= order.fence);
    let same_weights = held.model == order.model && held.version == order.version;
    fence_known && same_weights && held.layers == order.layers
}

/// Waits until no session is open, or until a higher fencing token replaces the order.
async fn wait_until_idle(worker: &Worker, order: &LoadLayers) -> Result<()> {
    while !worker.shared.sessions().is_empty() {
        worker.shared.fence.check(order.fence)?;
        time::sleep(SESSION_POLL).await;
    }
    // A higher fencing token may have arrived since the last check.
    worker.shared.fence.check(order.fence)
}

async fn load_layers(worker: &Worker, order: &LoadLayers) -> Result<()> {
    let order = LoadOrder {
        fence: order.fence,
        model: order.model.clone(),
        version: order.version.clone(),
        layers: order.layers,
    };
    worker
        .server
        .load_layers(order)
        .await
        .map(|_| ())
        .map_err(into_refusal)
}

fn into_refusal(e: BackendError) -> Refusal {
    match e {
        BackendError::Fenced { highest } => Refusal::Fenced { highest },
        other => Refusal::ServerFailed {
            ran: other.execution(),
            detail: other.to_string(),
            suspects: Vec::new(),
        },
    }
}

/// Refuses new attempts while the role of the engine changes; they are accepted again on drop.
struct RoleChange<'a> {
    shared: &'a Shared,
}

impl<'a> RoleChange<'a> {
    fn begin(shared: &'a Shared) -> Result<Self> {
        if shared.role_changing.swap(true, Ordering::AcqRel) {
            let retry_ms = ROLE_CHANGE_RETRY_MS;
            return Err(Refusal::Busy { retry_ms });
        }
        Ok(RoleChange { shared })
    }
}

impl Drop for RoleChange<'_> {
    fn drop(&mut self) {
        self.shared.role_changing.store(false, Ordering::Release);
    }
}
