//! Tasks that follow the platform's list of VMs and send heartbeats to agents.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use slog::{info, warn};
use tokio::time::{Instant, sleep};

use mustard_core::event::EventKind;
use mustard_core::ids::Incarnation;
use mustard_net::CallError;
use mustard_platform::http::HttpService;
use mustard_platform::vms::VmList;
use mustard_policy::membership::Observation;
use mustard_proto::agent::Heartbeat;

use super::record::AgentRecord;
use crate::app::Worker;
use crate::greeting::{GreetedPeers, greet_new};

/// How many times the pause between reads of the list doubles while they fail, at most.
const MAX_DOUBLINGS: u32 = 4;
/// The largest random change of a pause, as a share of it.
const JITTER: f64 = 0.2;
/// The minimum pause between two rounds of heartbeats.
const MIN_PAUSE: Duration = Duration::from_millis(10);

/// Varies a duration randomly by up to [`JITTER`], so that processes don't act at the same time.
fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(1.0 - JITTER..1.0 + JITTER))
}

/// Follows the platform's list of VMs, with exponential backoff while it does not answer; never
/// returns.
pub async fn follow_list(worker: Rc<Worker>, list: HttpService) {
    let shared = &worker.shared;
    let pause = Duration::from_millis(shared.settings.members.list_ms);
    let mut version = 0;
    let mut failures: u32 = 0;
    let mut greeted = GreetedPeers::default();
    loop {
        match list.changes(version).await {
            Ok(changes) => {
                if failures > 0 {
                    info!(shared.log, "members: List of VMs answers again.");
                    emit_platform_state(&worker, true);
                }
                failures = 0;
                // A list that lost its data restarts at a lower version, so the version is adopted
                // even if it goes down.
                version = changes.version;
                let changed = !changes.vms.is_empty();
                for vm in changes.vms {
                    shared.servers.update_listed(vm);
                }
                if changed {
                    shared.servers.choose_subset();
                }
                greet_new(&worker, &mut greeted).await;
                shared.set_vms_listed();
            }
            Err(e) => {
                if failures == 0 {
                    warn!(shared.log, "members: List of VMs does not answer."; "error" => %e);
                    emit_platform_state(&worker, false);
                }
                failures = (failures + 1).min(MAX_DOUBLINGS);
            }
        }
        sleep(jitter(pause * 2_u32.pow(failures))).await;
    }
}

fn emit_platform_state(worker: &Worker, up: bool) {
    let service = "vms".to_owned();
    let process = &worker.shared.process;
    process.emit(None, EventKind::PlatformState { service, up });
}

/// Sends heartbeats to the agents that are due, and updates what changes with time; never returns.
pub async fn watch_agents(worker: Rc<Worker>) {
    let members = &worker.shared.settings.members;
    let pause = Duration::from_millis(members.heartbeat_ms);
    loop {
        for record in worker
            .shared
            .servers
            .due_heartbeats(pause, members.heartbeats)
        {
            ntex::rt::spawn(send_heartbeat(Rc::clone(&worker), record, pause));
        }
        worker.shared.servers.tick();
        sleep(jitter(pause / 4).max(MIN_PAUSE)).await;
    }
}

async fn send_heartbeat(worker: Rc<Worker>, record: AgentRecord, limit: Duration) {
    let servers = &worker.shared.servers;
    let from = worker.shared.process.name().to_owned();
    let started = Instant::now();
    let answer = worker
        .client
        .call(record.vm.addr, Incarnation(0), Heartbeat { from }, limit)
        .await;
    let name = &record.vm.name;
    match answer {
        Ok(info) => servers.record_state(name, &info, Some(started.elapsed())),
        Err(CallError::NotSent(_) | CallError::NoListener(_)) => {
            servers.record_observation(name, Observation::Unreachable);
        }
        Err(_) => servers.record_observation(name, Observation::HeartbeatMissed),
    }
}
