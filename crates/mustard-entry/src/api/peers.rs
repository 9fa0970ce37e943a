//! Handlers for messages from other processes of the system.

use std::rc::Rc;
use std::time::Duration;

use ntex::web::types::Payload;
use ntex::web::{self, HttpResponse, ServiceConfig};

use mustard_catalogue::peer_requests;
use mustard_net::server::{self, MAX_MESSAGE_BYTES};
use mustard_proto::agent::{AgentInfo, AgentState, Heartbeat, Load, Role};
use mustard_proto::catalogue::{PullChanges, PushChanges};
use mustard_proto::limits::{GrantRequest, Greeting, Strikes};
use mustard_proto::timeline::{TimelineAnswer, TimelineRequest};
use mustard_proto::{Message, Refusal};

use super::{ApiError, State, body};
use crate::app::{Shared, Worker};
use crate::{greeting, quotas, suspects};

/// How long the body of a message may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Registers the paths of messages from other processes.
pub fn routes(config: &mut ServiceConfig) {
    let path = |path: &str| web::resource(path);
    config
        .service(path(TimelineRequest::PATH).route(web::post().to(timeline)))
        .service(path(Heartbeat::PATH).route(web::post().to(heartbeat)))
        .service(path(PullChanges::PATH).route(web::post().to(pull)))
        .service(path(PushChanges::PATH).route(web::post().to(push)))
        .service(path(GrantRequest::PATH).route(web::post().to(grant)))
        .service(path(Strikes::PATH).route(web::post().to(strikes)))
        .service(path(Greeting::PATH).route(web::post().to(greeting)));
}

/// Reads a message, passes it to `handler` and sends the handler's answer.
async fn answer_message<M: Message>(
    state: State,
    mut payload: Payload,
    handler: impl FnOnce(&Rc<Worker>, M) -> M::Answer,
) -> HttpResponse {
    let worker = Rc::clone(&state);
    let process = &worker.shared.process;
    let result = match body::read(&worker, &mut payload, MAX_MESSAGE_BYTES, BODY_TIMEOUT).await {
        Ok(body) => server::receive::<M>(process, &body.bytes).map(|e| handler(&worker, e.message)),
        Err(error) => Err(body_refusal(&error)),
    };
    server::reply::<M>(process, result)
}

fn body_refusal(error: &ApiError) -> Refusal {
    match error {
        ApiError::BodyTooLarge { limit } => Refusal::TooLarge {
            limit: *limit as u64,
        },
        ApiError::NoRoom { retry } => Refusal::Busy {
            retry_ms: retry.as_millis() as u64,
        },
        other => Refusal::Malformed {
            detail: other.to_string(),
        },
    }
}

async fn timeline(state: State, payload: Payload) -> HttpResponse {
    answer_message(state, payload, |worker, wanted: TimelineRequest| {
        let timeline = worker.shared.process.timeline();
        TimelineAnswer {
            events: timeline.after(wanted.after, wanted.request),
        }
    })
    .await
}

async fn heartbeat(state: State, payload: Payload) -> HttpResponse {
    answer_message(state, payload, |worker, _: Heartbeat| {
        process_info(&worker.shared)
    })
    .await
}

/// Returns the state of this entry process, in the form in which agents report theirs.
fn process_info(shared: &Shared) -> AgentInfo {
    let state = match shared.is_ready() {
        true => AgentState::Ready,
        false => AgentState::Leaving,
    };
    AgentInfo {
        vm: shared.process.name().to_owned(),
        domain: shared.settings.domain.clone(),
        incarnation: shared.process.incarnation(),
        state,
        role: Role::Idle,
        load: Load {
            running: shared.gate.running() as u32,
            queued: shared.admissions.waiting() as u32,
            ..Load::default()
        },
    }
}

async fn pull(state: State, payload: Payload) -> HttpResponse {
    answer_message(state, payload, |worker, message: PullChanges| {
        peer_requests::answer_pull(&worker.shared.catalogue, &message)
    })
    .await
}

async fn push(state: State, payload: Payload) -> HttpResponse {
    answer_message(state, payload, |worker, message: PushChanges| {
        peer_requests::answer_push(&worker.shared.catalogue, &message)
    })
    .await
}

async fn grant(state: State, payload: Payload) -> HttpResponse {
    answer_message(state, payload, |worker, request: GrantRequest| {
        quotas::answer_grant_request(&worker.shared, &request)
    })
    .await
}

async fn strikes(state: State, payload: Payload) -> HttpResponse {
    answer_message(state, payload, |worker, message: Strikes| {
        suspects::receive_strikes(worker, message);
    })
    .await
}

async fn greeting(state: State, payload: Payload) -> HttpResponse {
    answer_message(state, payload, greeting::answer_greeting).await
}
