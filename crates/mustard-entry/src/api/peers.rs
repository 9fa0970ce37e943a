//! Messages of other processes of the system.

use std::rc::Rc;
use std::sync::Arc;

use ntex::util::Bytes;
use ntex::web::types::PayloadConfig;
use ntex::web::{self, HttpResponse, ServiceConfig};

use mustard_catalogue::relay;
use mustard_net::server::{self, MAX_MESSAGE};
use mustard_proto::agent::{AgentInfo, AgentState, Heartbeat, Load, Role};
use mustard_proto::catalogue::{Pull, Push};
use mustard_proto::limits::{GrantAsk, Strikes};
use mustard_proto::timeline::Timeline;
use mustard_proto::{Message, Refusal};

use super::State;
use crate::app::Shared;
use crate::{harm, quotas};

/// Registers the paths of messages.
pub fn routes(config: &mut ServiceConfig) {
    let limit = || PayloadConfig::new(MAX_MESSAGE);
    let path = |path: &str| web::resource(path).state(limit());
    config
        .service(path(Timeline::PATH).route(web::post().to(timeline)))
        .service(path(Heartbeat::PATH).route(web::post().to(heartbeat)))
        .service(path(Pull::PATH).route(web::post().to(pull)))
        .service(path(Push::PATH).route(web::post().to(push)))
        .service(path(GrantAsk::PATH).route(web::post().to(grant)))
        .service(path(Strikes::PATH).route(web::post().to(strikes)));
}

/// Answers a message by a function of the message and the shared state.
fn answer<M: Message>(
    state: &State,
    body: &Bytes,
    act: impl FnOnce(&Arc<Shared>, M) -> Result<M::Answer, Refusal>,
) -> HttpResponse {
    let shared = &state.shared;
    let result = server::receive::<M>(&shared.process, body)
        .and_then(|envelope| act(shared, envelope.message));
    server::reply::<M>(&shared.process, result)
}

async fn timeline(state: State, body: Bytes) -> HttpResponse {
    server::timeline(&state.shared.process, &body)
}

async fn heartbeat(state: State, body: Bytes) -> HttpResponse {
    answer(&state, &body, |shared, _: Heartbeat| Ok(info(shared)))
}

fn info(shared: &Shared) -> AgentInfo {
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

async fn pull(state: State, body: Bytes) -> HttpResponse {
    answer(&state, &body, |shared, message: Pull| {
        Ok(relay::answer_pull(&shared.catalogue, &message))
    })
}

async fn push(state: State, body: Bytes) -> HttpResponse {
    answer(&state, &body, |shared, message: Push| {
        Ok(relay::take_push(&shared.catalogue, &message))
    })
}

async fn grant(state: State, body: Bytes) -> HttpResponse {
    answer(&state, &body, |shared, ask: GrantAsk| {
        Ok(quotas::answer(shared, &ask))
    })
}

async fn strikes(state: State, body: Bytes) -> HttpResponse {
    let worker = Rc::clone(&state);
    answer(&state, &body, |_, message: Strikes| {
        let strikes: Vec<_> = message.strikes.into_iter().map(harm::strike_of).collect();
        harm::note_strikes(&worker, &strikes);
        Ok(())
    })
}
