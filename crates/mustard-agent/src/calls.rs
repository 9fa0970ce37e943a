//! Handles calls of the plain service beside the agent.

use std::sync::Arc;

use metrics::counter;
use tokio::sync::oneshot;

use mustard_backend::BackendError;
use mustard_backend::service::{PlainService, ServiceAnswer, ServiceCall};
use mustard_core::ids::Seq;
use mustard_net::shutdown::RequestGuard;
use mustard_proto::Refusal;
use mustard_proto::agent::{Call, CallAnswer, SettleKey, VoidAnswer, VoidKey};

use crate::claims::CallClients;
use crate::metric_names;
use crate::session::Result;
use crate::worker::Worker;

/// Makes a call. `seq` is the newest catalogue change that the sender knows; a sender that knows
/// less than this agent is refused.
///
/// # Errors
///
/// [`Refusal::execution`] tells whether the service may have run the call.
pub async fn call(worker: &Worker, seq: Seq, call: Call) -> Result<CallAnswer> {
    let have = worker.shared.process.newest_seq();
    if seq < have {
        return Err(Refusal::StaleCatalogue { have });
    }
    check_service(worker, &call.service)?;
    if call.deadline_ms == 0 {
        return Err(Refusal::Expired);
    }
    let guard = worker.shared.gate.admit().ok_or(Refusal::Leaving)?;
    let result = match call.key {
        Some(_) => call_with_key(worker, call, guard).await,
        None => call_without_key(worker, call).await,
    };
    let name = result.as_ref().map_or_else(Refusal::name, |_| "done");
    counter!(metric_names::CALLS, "result" => name).increment(1);
    result
}

/// Closes a key whose call has not run, so that it never runs.
///
/// # Errors
///
/// See [`Claims::void`](crate::claims::Claims::void).
pub async fn void(worker: &Worker, message: &VoidKey) -> Result<VoidAnswer> {
    check_service(worker, &message.service)?;
    worker.shared.claims.void(&worker.server, message).await
}

/// Settles a key that is in doubt.
///
/// # Errors
///
/// See [`Claims::settle`](crate::claims::Claims::settle).
pub async fn settle(worker: &Worker, message: &SettleKey) -> Result<VoidAnswer> {
    check_service(worker, &message.service)?;
    worker.shared.claims.settle(&worker.server, message).await
}

fn check_service(worker: &Worker, service: &str) -> Result<()> {
    if worker.shared.settings.service.as_deref() == Some(service) {
        return Ok(());
    }
    let what = service.to_owned();
    Err(Refusal::NotHeld { what })
}

/// Makes a call with an idempotency key; it runs to its end even if the entry process disconnects.
async fn call_with_key(worker: &Worker, call: Call, guard: RequestGuard) -> Result<CallAnswer> {
    let (sender, receiver) = oneshot::channel();
    let shared = Arc::clone(&worker.shared);
    let clients = CallClients {
        service: worker.server.clone(),
        table: worker.table.clone(),
        liveness: worker.clone(),
    };
    tokio::task::spawn_local(async move {
        let result = shared.claims.call(&clients, call).await;
        drop(guard);
        let _ = sender.send(result);
    });
    receiver.await.unwrap_or(Err(Refusal::InDoubt))
}

/// Makes a call without an idempotency key; nothing is recorded about it.
async fn call_without_key(worker: &Worker, call: Call) -> Result<CallAnswer> {
    let outgoing = ServiceCall {
        method: call.method,
        path: call.path,
        content_type: call.content_type,
        reference: None,
        body: call.body,
        timeout_ms: call.deadline_ms,
    };
    let answer = worker
        .server
        .call(outgoing)
        .await
        .map_err(|e| to_refusal(&e))?;
    Ok(into_answer(answer, false))
}

/// Converts the complete answer of the service to the answer for the entry process.
pub fn into_answer(answer: ServiceAnswer, replayed: bool) -> CallAnswer {
    CallAnswer {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body,
        replayed,
    }
}

/// Converts the error of a call to the refusal for the entry process.
pub fn to_refusal(e: &BackendError) -> Refusal {
    Refusal::ServerFailed {
        ran: e.execution(),
        detail: e.to_string(),
        suspects: Vec::new(),
    }
}
