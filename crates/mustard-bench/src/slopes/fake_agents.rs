//! Fake agents that only answer heartbeats, many of them on one thread of the bench.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use anyhow::anyhow;
use ntex::rt::{DefaultRuntime, System};
use ntex::util::Bytes;
use ntex::web::{self, App, HttpResponse, HttpServer};

use mustard_core::ids::Layers;
use mustard_net::{Process, server};
use mustard_proto::Message;
use mustard_proto::agent::{AgentInfo, AgentState, Heartbeat, Load, Role};

use super::fleet::DOMAIN;

/// Starts `count` agents on ports of the loopback interface; they run until the bench ends.
pub(super) fn start(count: usize) -> anyhow::Result<Vec<SocketAddr>> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<std::io::Result<_>>()?;
    let addrs = listeners
        .iter()
        .map(TcpListener::local_addr)
        .collect::<std::io::Result<_>>()?;
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        System::new("agents", DefaultRuntime).block_on(serve(listeners, sender));
    });
    receiver
        .recv()
        .map_err(|_| anyhow!("the bench's fake agents did not start"))?;
    Ok(addrs)
}

/// Answers on all listeners until the bench ends; reports on `started` that it runs.
async fn serve(listeners: Vec<TcpListener>, started: std::sync::mpsc::Sender<()>) {
    let process = Process::new("agents", 4);
    let mut server = HttpServer::new(async move || {
        App::new()
            .state(Arc::clone(&process))
            .service(web::resource(Heartbeat::PATH).route(web::post().to(answer_heartbeat)))
    })
    .workers(1)
    .disable_signals();
    for listener in listeners {
        match server.listen(listener) {
            Ok(next) => server = next,
            Err(_) => return,
        }
    }
    let running = server.run();
    let _ = started.send(());
    let _ = running.await;
}

async fn answer_heartbeat(process: web::types::State<Arc<Process>>, body: Bytes) -> HttpResponse {
    let result = server::receive::<Heartbeat>(&process, &body).map(|_| AgentInfo {
        vm: "agent-of-bench".to_owned(),
        domain: DOMAIN.to_owned(),
        incarnation: process.incarnation(),
        state: AgentState::Ready,
        role: Role::Stage {
            model: "model-1".to_owned(),
            version: "1".to_owned(),
            layers: Layers::new(0, 48),
            accelerator: "fake".to_owned(),
        },
        load: Load {
            running: 3,
            queued: 1,
            step_us: 20_000,
            prefill_us: 300,
            memory: 500,
        },
    });
    server::reply::<Heartbeat>(&process, result)
}
