//! Messages of other processes of the system.

use ntex::util::Bytes;
use ntex::web::{self, HttpResponse, ServiceConfig};

use mustard_net::server;
use mustard_proto::Message;
use mustard_proto::agent::{AgentInfo, AgentState, Heartbeat, Load, Role};
use mustard_proto::timeline::Timeline;

use super::State;

/// Registers the paths of messages.
pub fn routes(config: &mut ServiceConfig) {
    config
        .service(web::resource(Timeline::PATH).route(web::post().to(timeline)))
        .service(web::resource(Heartbeat::PATH).route(web::post().to(heartbeat)));
}

async fn timeline(state: State, body: Bytes) -> HttpResponse {
    server::timeline(&state.shared.process, &body)
}

async fn heartbeat(state: State, body: Bytes) -> HttpResponse {
    let shared = &state.shared;
    let result = server::receive::<Heartbeat>(&shared.process, &body).map(|_| AgentInfo {
        vm: shared.process.name().to_owned(),
        domain: shared.settings.domain.clone(),
        incarnation: shared.process.incarnation(),
        state: if shared.is_ready() {
            AgentState::Ready
        } else {
            AgentState::Leaving
        },
        role: Role::Idle,
        load: Load {
            running: shared.gate.running() as u32,
            ..Load::default()
        },
    });
    server::reply::<Heartbeat>(&shared.process, result)
}
