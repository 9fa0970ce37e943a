//! The operators' interface to the running system: status, drain, quarantine, and the outcome of
//! idempotency keys.

use std::rc::Rc;
use std::time::Duration;

use ntex::web::types::Payload;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::info;

use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::Incarnation;
use mustard_net::CallError;
use mustard_policy::fleet::Server;
use mustard_proto::admin::{
    AgentStatus, DrainRequest, EntryState, PeerStatus, SettleAnswer, SettleOutcome, SettleRequest,
    Status,
};
use mustard_proto::agent::{AgentInfo, SetDraining, VoidAnswer, VoidKey};

use super::State;
use super::admin::{authorize_operator, receive_change};
use super::errors::{ApiError, Result};
use super::problem::RequestContext;
use crate::app::Worker;
use crate::servers::AgentRecord;

/// How long an agent may take to answer an operator's request.
const AGENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Registers the paths of the running system's operations.
pub fn routes(config: &mut ServiceConfig) {
    config
        .service(web::resource("/admin/status").route(web::get().to(status)))
        .service(web::resource("/admin/agents/{vm}/drain").route(web::post().to(drain)))
        .service(web::resource("/admin/settle").route(web::post().to(settle)))
        .service(web::resource("/admin/quarantine").route(web::get().to(list_quarantined)))
        .service(
            web::resource("/admin/quarantine/{fingerprint}")
                .route(web::delete().to(release_quarantined)),
        );
}

fn respond<T: Serialize>(context: RequestContext, result: Result<T>) -> HttpResponse {
    match result {
        Ok(value) => context.json(&value),
        Err(error) => context.refuse(&error),
    }
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| ApiError::malformed(e.to_string()))
}

async fn status(request: HttpRequest, state: State) -> HttpResponse {
    let result = authorize_operator(&state, &request).map(|_| build_status(&state));
    respond(RequestContext::new(), result)
}

fn build_status(worker: &Worker) -> Status {
    let shared = &worker.shared;
    let state = match (shared.is_draining(), shared.is_ready()) {
        (true, _) => EntryState::Draining,
        (false, true) => EntryState::Ready,
        (false, false) => EntryState::Unconfirmed,
    };
    let peer = |vm: mustard_platform::vms::Vm| PeerStatus {
        name: vm.name,
        addr: vm.addr,
        domain: vm.domain,
    };
    let mut agents: Vec<AgentStatus> = shared
        .servers
        .agents()
        .into_iter()
        .map(|record| agent_status(worker, record))
        .collect();
    agents.sort_by(|a, b| a.name.cmp(&b.name));
    Status {
        name: shared.process.name().to_owned(),
        addr: shared.addr(),
        domain: shared.settings.domain.clone(),
        incarnation: shared.process.incarnation(),
        state,
        seq: shared.catalogue.seq(),
        newest: shared.process.newest_seq(),
        // The time since the catalogue was last known to be the newest; `None` if it never was.
        confirmed_ms: shared.catalogue.confirmations().age_ms(),
        running: shared.gate.running() as u64,
        entries: shared.servers.peers().into_iter().map(peer).collect(),
        agents,
    }
}

fn agent_status(worker: &Worker, record: AgentRecord) -> AgentStatus {
    let shared = &worker.shared;
    let fleet = shared.servers.view();
    let server = fleet.find(&record.vm.name).and_then(|key| fleet.get(key));
    let now = shared.process.now();
    AgentStatus {
        running: server.map_or(0, |s| s.stats().in_flight()),
        state: record.info.as_ref().map(|i| i.state),
        role: record.info.as_ref().map(|i| i.role.clone()),
        load: record.info.map(|i| i.load).unwrap_or_default(),
        heard_ms: record.heard_at.map(|at| now.ms_since(at)),
        name: record.vm.name,
        addr: record.vm.addr,
        domain: record.vm.domain,
    }
}

async fn drain(request: HttpRequest, mut payload: Payload, state: State) -> HttpResponse {
    let worker = Rc::clone(&state);
    let result = drain_agent(&worker, &request, &mut payload).await;
    respond(RequestContext::new(), result)
}

/// Tells an agent to drain, or to take new work again if `leave` is false.
async fn drain_agent(
    worker: &Worker,
    request: &HttpRequest,
    payload: &mut Payload,
) -> Result<AgentInfo> {
    let (operator_name, body) = receive_change(worker, request, payload).await?;
    let drain_request: DrainRequest = parse_json(&body.bytes)?;
    let name = request.match_info().get("vm").unwrap_or_default();
    let shared = &worker.shared;
    let record = shared.servers.agent(name).ok_or(ApiError::NotFound {
        what: name.to_owned(),
    })?;
    info!(shared.log, "admin: Drain requested."; "agent" => name, "leave" => drain_request.leave,
        "operator" => operator_name);
    let message = SetDraining {
        leave: drain_request.leave,
    };
    let answer = worker
        .client
        .call(record.vm.addr, Incarnation(0), message, AGENT_TIMEOUT)
        .await
        .map_err(|e| agent_error(name, &e))?;
    shared.servers.record_state(name, &answer, None);
    Ok(answer)
}

async fn settle(request: HttpRequest, mut payload: Payload, state: State) -> HttpResponse {
    let worker = Rc::clone(&state);
    let result = settle_key(&worker, &request, &mut payload).await;
    respond(RequestContext::new(), result)
}

/// Closes an idempotency key as void unless its call has run or may have run.
///
/// It sends [`VoidKey`] to an agent that runs the service.
async fn settle_key(
    worker: &Worker,
    request: &HttpRequest,
    payload: &mut Payload,
) -> Result<SettleAnswer> {
    let (_, body) = receive_change(worker, request, payload).await?;
    let settle_request: SettleRequest = parse_json(&body.bytes)?;
    let shared = &worker.shared;
    let fleet = shared.servers.view();
    let now = shared.process.now();
    let key = mustard_policy::route::choose_service(
        &fleet,
        &settle_request.service,
        &[],
        now,
        &mut rand::rng(),
    );
    let server = key.ok().and_then(|key| fleet.get(key));
    let info = server.map(Server::info).ok_or(ApiError::NotFound {
        what: settle_request.service.clone(),
    })?;
    let message = VoidKey {
        owner: settle_request.owner,
        service: settle_request.service,
        key: settle_request.key,
    };
    let answer = worker
        .client
        .call(info.addr, Incarnation(0), message, AGENT_TIMEOUT)
        .await
        .map_err(|e| agent_error(&info.vm, &e))?;
    Ok(match answer {
        VoidAnswer::Voided => SettleAnswer {
            outcome: SettleOutcome::NotRun,
            status: None,
        },
        VoidAnswer::Ran(answer) => SettleAnswer {
            outcome: SettleOutcome::Done,
            status: Some(answer.status),
        },
        VoidAnswer::InDoubt => SettleAnswer {
            outcome: SettleOutcome::Unknown,
            status: None,
        },
    })
}

fn agent_error(name: &str, error: &CallError) -> ApiError {
    ApiError::AgentFailed {
        detail: format!("agent {name:?}: {error}"),
    }
}

/// A quarantined content, with the VMs whose servers died while they ran it.
#[derive(Serialize)]
struct Quarantined {
    fingerprint: Fingerprint,
    vms: Vec<String>,
}

async fn list_quarantined(request: HttpRequest, state: State) -> HttpResponse {
    let result = authorize_operator(&state, &request).map(|_| {
        let now = state.shared.process.now();
        let list = state.shared.suspects.list_quarantined(now);
        let row = |(fingerprint, vms)| Quarantined { fingerprint, vms };
        list.into_iter().map(row).collect::<Vec<_>>()
    });
    respond(RequestContext::new(), result)
}

async fn release_quarantined(request: HttpRequest, state: State) -> HttpResponse {
    let result = authorize_operator(&state, &request).and_then(|operator_name| {
        let text = request.match_info().get("fingerprint").unwrap_or_default();
        let not_found = || ApiError::NotFound {
            what: text.to_owned(),
        };
        let number = u128::from_str_radix(text, 16).map_err(|_| not_found())?;
        let now = state.shared.process.now();
        if !state.shared.suspects.clear(now, Fingerprint(number)) {
            return Err(not_found());
        }
        info!(state.shared.log, "admin: Content released from quarantine."; "content" => text,
            "operator" => operator_name);
        Ok(serde_json::json!({ "released": text }))
    });
    respond(RequestContext::new(), result)
}
