//! Orders to load layers: fenced, and carried out when no sequence runs.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use tokio::sync::oneshot;
use tokio::time;

use mustard_backend::BackendError;
use mustard_backend::engine::{Engine, Held, LoadOrder};
use mustard_core::event::EventKind;
use mustard_proto::agent::{AgentInfo, Order};
use mustard_proto::{Ran, Refusal};

use crate::names;
use crate::session::Result;
use crate::settings::ServerKind;
use crate::shared::Shared;
use crate::watch;
use crate::worker::Worker;

const POLL: Duration = Duration::from_millis(20);
const RETRY_MS: u64 = 500;

/// Carries an order out; running sequences end first.
///
/// # Errors
///
/// [`Refusal::Fenced`] if a higher number was seen before the order reached the engine.
pub async fn order(worker: &Worker, order: Order) -> Result<AgentInfo> {
    let shared = Arc::clone(&worker.shared);
    if shared.settings.kind != ServerKind::Engine {
        let what = order.model;
        return Err(Refusal::NotHeld { what });
    }
    let pass = shared.gate.enter().ok_or(Refusal::Leaving)?;
    // An order goes on when its sender goes away: the fencing number decides over it.
    let (tell, told) = oneshot::channel();
    let worker = worker.clone();
    tokio::task::spawn_local(async move {
        let result = fenced(&worker, &order).await;
        drop(pass);
        note(&worker, &order, &result);
        let _ = tell.send(result);
    });
    let detail = "order was not finished".to_owned();
    let ran = Ran::Maybe;
    told.await.unwrap_or(Err(Refusal::NoAnswer { ran, detail }))
}

fn note(worker: &Worker, order: &Order, result: &Result<AgentInfo>) {
    let shared = &worker.shared;
    let fence = order.fence;
    let name = result.as_ref().map_or_else(Refusal::name, |_| "done");
    counter!(names::ORDERS, "result" => name).increment(1);
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

async fn fenced(worker: &Worker, order: &Order) -> Result<AgentInfo> {
    let shared = &worker.shared;
    shared.fence.raise(&worker.table, order.fence).await?;
    let held = worker.server.held().await.map_err(refuse)?;
    if !holds(&held, order) {
        let _changing = Changing::begin(shared)?;
        quiet(worker, order).await?;
        load(worker, order).await?;
    }
    watch::look(worker).await;
    Ok(shared.info())
}

fn holds(held: &Held, order: &Order) -> bool {
    // An engine that checks numbers is told every higher one.
    let told = held.fence.is_none_or(|f| f >= order.fence);
    let same = held.model == order.model && held.version == order.version;
    told && same && held.layers == order.layers
}

/// Waits until no sequence runs.
async fn quiet(worker: &Worker, order: &Order) -> Result<()> {
    while !worker.shared.sessions().is_empty() {
        worker.shared.fence.check(order.fence)?;
        time::sleep(POLL).await;
    }
    // A higher number may have come in the meantime.
    worker.shared.fence.check(order.fence)
}

async fn load(worker: &Worker, order: &Order) -> Result<()> {
    let order = LoadOrder {
        fence: order.fence,
        model: order.model.clone(),
        version: order.version.clone(),
        layers: order.layers,
    };
    worker.server.order(order).await.map(|_| ()).map_err(refuse)
}

fn refuse(e: BackendError) -> Refusal {
    match e {
        BackendError::Fenced { highest } => Refusal::Fenced { highest },
        other => Refusal::ServerFailed {
            ran: other.ran(),
            detail: other.to_string(),
            suspects: Vec::new(),
        },
    }
}

/// Keeps new attempts out while the role changes; dropped, it lets them in again.
struct Changing<'a> {
    shared: &'a Shared,
}

impl<'a> Changing<'a> {
    fn begin(shared: &'a Shared) -> Result<Self> {
        if shared.changing.swap(true, Ordering::AcqRel) {
            let retry_ms = RETRY_MS;
            return Err(Refusal::Busy { retry_ms });
        }
        Ok(Changing { shared })
    }
}

impl Drop for Changing<'_> {
    fn drop(&mut self) {
        self.shared.changing.store(false, Ordering::Release);
    }
}
