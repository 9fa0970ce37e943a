//! The operators' interface to the running system: status, drain, settle and quarantine.

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
    AgentStatus, DrainAsk, EntryState, PeerStatus, Settle, Settled, SettledAs, Status,
};
use mustard_proto::agent::{AgentInfo, Drain, Void, VoidAnswer};

use super::State;
use super::admin::{operator, read};
use super::errors::{ApiError, Result};
use super::problem::Answer;
use crate::app::Worker;
use crate::servers::Known;

const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Registers the operators' paths.
pub fn routes(config: &mut ServiceConfig) {
    config
        .service(web::resource("/admin/status").route(web::get().to(status)))
        .service(web::resource("/admin/agents/{vm}/drain").route(web::post().to(drain)))
        .service(web::resource("/admin/settle").route(web::post().to(settle)))
        .service(web::resource("/admin/quarantine").route(web::get().to(quarantine)))
        .service(web::resource("/admin/quarantine/{fingerprint}").route(web::delete().to(release)));
}

fn respond<T: Serialize>(answer: Answer, result: Result<T>) -> HttpResponse {
    match result {
        Ok(value) => answer.json(&value),
        Err(error) => answer.refuse(&error),
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| ApiError::malformed(e.to_string()))
}

async fn status(request: HttpRequest, state: State) -> HttpResponse {
    let result = operator(&state, &request).map(|_| status_of(&state));
    respond(Answer::new(), result)
}

fn status_of(worker: &Worker) -> Status {
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
        .map(|known| agent_of(worker, known))
        .collect();
    agents.sort_by(|a, b| a.name.cmp(&b.name));
    Status {
        name: shared.process.name().to_owned(),
        addr: shared.addr(),
        domain: shared.settings.domain.clone(),
        incarnation: shared.process.incarnation(),
        state,
        seq: shared.catalogue.seq(),
        newest: shared.process.newest(),
        confirmed_ms: shared.catalogue.confirm().age_ms(),
        running: shared.gate.running() as u64,
        entries: shared.servers.peers().into_iter().map(peer).collect(),
        agents,
    }
}

fn agent_of(worker: &Worker, known: Known) -> AgentStatus {
    let shared = &worker.shared;
    let fleet = shared.servers.view();
    let server = fleet.find(&known.vm.name).and_then(|key| fleet.get(key));
    let now = shared.process.now();
    AgentStatus {
        running: server.map_or(0, |s| s.live().own()),
        state: known.info.as_ref().map(|i| i.state),
        role: known.info.as_ref().map(|i| i.role.clone()),
        load: known.info.map(|i| i.load).unwrap_or_default(),
        heard_ms: known.heard.map(|at| now.ms_since(at)),
        name: known.vm.name,
        addr: known.vm.addr,
        domain: known.vm.domain,
    }
}

async fn drain(request: HttpRequest, mut payload: Payload, state: State) -> HttpResponse {
    let worker = Rc::clone(&state);
    let result = drain_agent(&worker, &request, &mut payload).await;
    respond(Answer::new(), result)
}

async fn drain_agent(
    worker: &Worker,
    request: &HttpRequest,
    payload: &mut Payload,
) -> Result<AgentInfo> {
    let body = read(worker, payload).await?;
    let author = operator(worker, request)?;
    let ask: DrainAsk = parse(&body)?;
    let name = request.match_info().get("vm").unwrap_or_default();
    let shared = &worker.shared;
    let known = shared.servers.agent(name).ok_or(ApiError::Missing {
        what: name.to_owned(),
    })?;
    info!(shared.log, "admin: Drain asked for."; "agent" => name, "leave" => ask.leave,
        "operator" => author);
    let message = Drain { leave: ask.leave };
    let answer = worker
        .client
        .call(known.vm.addr, Incarnation(0), message, CALL_LIMIT)
        .await
        .map_err(|e| failed(name, &e))?;
    shared.servers.heard(name, &answer, None);
    Ok(answer)
}

async fn settle(request: HttpRequest, mut payload: Payload, state: State) -> HttpResponse {
    let worker = Rc::clone(&state);
    let result = settle_key(&worker, &request, &mut payload).await;
    respond(Answer::new(), result)
}

async fn settle_key(
    worker: &Worker,
    request: &HttpRequest,
    payload: &mut Payload,
) -> Result<Settled> {
    let body = read(worker, payload).await?;
    operator(worker, request)?;
    let ask: Settle = parse(&body)?;
    let shared = &worker.shared;
    let fleet = shared.servers.view();
    let now = shared.process.now();
    let key =
        mustard_policy::route::choose_service(&fleet, &ask.service, &[], now, &mut rand::rng());
    let server = key.ok().and_then(|key| fleet.get(key));
    let facts = server.map(Server::facts).ok_or(ApiError::Missing {
        what: ask.service.clone(),
    })?;
    let message = Void {
        owner: ask.owner,
        service: ask.service,
        key: ask.key,
    };
    let answer = worker
        .client
        .call(facts.addr, Incarnation(0), message, CALL_LIMIT)
        .await
        .map_err(|e| failed(&facts.vm, &e))?;
    Ok(match answer {
        VoidAnswer::Voided => Settled {
            outcome: SettledAs::NotRun,
            status: None,
        },
        VoidAnswer::Ran(answer) => Settled {
            outcome: SettledAs::Done,
            status: Some(answer.status),
        },
        VoidAnswer::InDoubt => Settled {
            outcome: SettledAs::Unknown,
            status: None,
        },
    })
}

fn failed(name: &str, error: &CallError) -> ApiError {
    ApiError::AgentFailed {
        detail: format!("agent {name:?}: {error}"),
    }
}

/// A quarantined content as operators see it.
#[derive(Serialize)]
struct Quarantined {
    fingerprint: Fingerprint,
    vms: Vec<String>,
}

async fn quarantine(request: HttpRequest, state: State) -> HttpResponse {
    let result = operator(&state, &request).map(|_| {
        let now = state.shared.process.now();
        let list = state.shared.suspects.list(now);
        let row = |(fingerprint, vms)| Quarantined { fingerprint, vms };
        list.into_iter().map(row).collect::<Vec<_>>()
    });
    respond(Answer::new(), result)
}

async fn release(request: HttpRequest, state: State) -> HttpResponse {
    let result = operator(&state, &request).and_then(|author| {
        let text = request.match_info().get("fingerprint").unwrap_or_default();
        let missing = || ApiError::Missing {
            what: text.to_owned(),
        };
        let number = u128::from_str_radix(text, 16).map_err(|_| missing())?;
        let now = state.shared.process.now();
        if !state.shared.suspects.clear(now, Fingerprint(number)) {
            return Err(missing());
        }
        info!(state.shared.log, "admin: Quarantine ended."; "content" => text,
            "operator" => author);
        Ok(serde_json::json!({ "released": text }))
    });
    respond(Answer::new(), result)
}
