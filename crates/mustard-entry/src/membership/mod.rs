//! Keeps the set of servers current from the platform's list and from heartbeats.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use slog::{info, warn};
use tokio::time::sleep;

use mustard_core::event::EventKind;
use mustard_platform::http::HttpService;
use mustard_platform::vms::VmList;
use mustard_proto::agent::Heartbeat;

use crate::app::Worker;
use crate::routing::Known;

const MAX_BACKOFF: u32 = 5;
const JITTER: f64 = 0.2;

/// Returns a duration that varies by a fifth, so that processes do not act in step.
pub fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(1.0 - JITTER..1.0 + JITTER))
}

/// Follows the platform's list of VMs; pauses grow while it does not answer.
pub async fn follow_list(worker: Rc<Worker>, list: HttpService) {
    let shared = &worker.shared;
    let pause = Duration::from_millis(shared.settings.members.list_ms);
    let mut version = 0;
    let mut failures = 0;
    loop {
        match list.changes(version).await {
            Ok(changes) => {
                note_list(&worker, failures > 0, true);
                failures = 0;
                version = changes.version;
                for vm in changes.vms {
                    shared.routing.list(vm);
                }
            }
            Err(e) => {
                if failures == 0 {
                    warn!(shared.log, "members: List of VMs does not answer."; "error" => %e);
                    note_list(&worker, true, false);
                }
                failures = (failures + 1).min(MAX_BACKOFF);
            }
        }
        sleep(jitter(pause * 2_u32.pow(failures))).await;
    }
}

fn note_list(worker: &Worker, changed: bool, up: bool) {
    if !changed {
        return;
    }
    let service = "vms".to_owned();
    worker
        .shared
        .process
        .emit(None, EventKind::PlatformState { service, up });
}

/// Asks each agent for its state, each at its own pace.
pub async fn watch_agents(worker: Rc<Worker>) {
    let pause = Duration::from_millis(worker.shared.settings.members.heartbeat_ms);
    loop {
        for known in worker.shared.routing.all() {
            let due = worker.shared.process.now().since(known.heard) >= pause;
            if known.info.is_none() || known.silent || due {
                ntex::rt::spawn(ask(Rc::clone(&worker), known, pause));
            }
        }
        sleep(jitter(pause / 2)).await;
    }
}

async fn ask(worker: Rc<Worker>, known: Known, limit: Duration) {
    let shared = &worker.shared;
    let from = shared.process.name().to_owned();
    let any = mustard_core::ids::Incarnation(0);
    let answer = worker
        .client
        .call(known.vm.addr, any, Heartbeat { from }, limit)
        .await;
    let name = known.vm.name.clone();
    match answer {
        Ok(info) => {
            if known.info.is_none() {
                info!(shared.log, "members: Agent joined."; "agent" => &name);
                shared.process.emit(
                    None,
                    EventKind::AgentJoined {
                        agent: name.clone(),
                    },
                );
            }
            shared.routing.heard(&name, info);
        }
        Err(e) => {
            if !known.silent {
                warn!(shared.log, "members: Agent does not answer."; "agent" => &name, "error" => %e);
                shared.process.emit(
                    None,
                    EventKind::AgentLost {
                        agent: name.clone(),
                    },
                );
            }
            shared.routing.silent(&name);
        }
    }
}
