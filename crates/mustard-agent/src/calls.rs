//! Calls of the plain service.

use metrics::counter;

use mustard_backend::BackendError;
use mustard_backend::service::{PlainService, ServiceAnswer, ServiceCall};
use mustard_core::ids::Seq;
use mustard_proto::Refusal;
use mustard_proto::agent::{Call, CallAnswer};

use crate::names;
use crate::session::Result;
use crate::worker::Worker;

/// Makes a call; `seq` is the newest catalogue change of the sender.
///
/// # Errors
///
/// [`Refusal::ran`] tells whether the service may have run the call.
pub async fn call(worker: &Worker, seq: Seq, call: Call) -> Result<CallAnswer> {
    let have = worker.shared.process.newest();
    if seq < have {
        return Err(Refusal::StaleCatalogue { have });
    }
    if worker.shared.settings.service.as_deref() != Some(call.service.as_str()) {
        let what = call.service;
        return Err(Refusal::NotHeld { what });
    }
    if call.deadline_ms == 0 {
        return Err(Refusal::Expired);
    }
    let _pass = worker.shared.gate.enter().ok_or(Refusal::Leaving)?;
    let result = plain(worker, call).await;
    let name = result.as_ref().map_or_else(Refusal::name, |_| "done");
    counter!(names::CALLS, "result" => name).increment(1);
    result
}

async fn plain(worker: &Worker, call: Call) -> Result<CallAnswer> {
    let out = ServiceCall {
        method: call.method,
        path: call.path,
        content_type: call.content_type,
        reference: None,
        body: call.body,
        limit_ms: call.deadline_ms,
    };
    let answer = worker.server.call(out).await.map_err(|e| refuse(&e))?;
    Ok(into_answer(answer, false))
}

/// Describes the whole answer of the service to the entry.
pub fn into_answer(answer: ServiceAnswer, replayed: bool) -> CallAnswer {
    CallAnswer {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body,
        replayed,
    }
}

/// Describes a failed call to the entry.
pub fn refuse(e: &BackendError) -> Refusal {
    Refusal::ServerFailed {
        ran: e.ran(),
        detail: e.to_string(),
        suspects: 0,
    }
}
