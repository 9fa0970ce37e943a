//! Introduces a joining entry process to the others.
//!
//! The platform's list of VMs reaches each entry process at a different time. Before it serves, a
//! joining entry process sends a greeting to those on the list. From then on they send it new
//! strikes, and their answers contain the strikes so far.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};

use mustard_core::collections::Map;
use mustard_core::ids::Incarnation;
use mustard_net::CallError;
use mustard_platform::vms::{Vm, VmKind, VmState};
use mustard_proto::limits::{Greeting, Strikes};

use crate::app::Worker;
use crate::suspects;

/// The timeout of a greeting; a joining process does not serve while it waits for answers.
const GREETING_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether each greeted entry process has answered, by name.
pub type GreetedPeers = Map<String, bool>;

/// Greets, concurrently, the known entry processes that have not answered a greeting yet.
///
/// Logs only the first failure of each.
pub async fn greet_new(worker: &Rc<Worker>, greeted: &mut GreetedPeers) {
    let peers = worker.shared.servers.peers();
    greeted.retain(|name, _| peers.iter().any(|p| p.name == *name));
    let unanswered = peers
        .into_iter()
        .filter(|p| greeted.get(&p.name) != Some(&true));
    let greetings: Vec<_> = unanswered
        .map(|peer| {
            (
                peer.name.clone(),
                ntex::rt::spawn(greet(Rc::clone(worker), peer)),
            )
        })
        .collect();
    for (name, greeting) in greetings {
        let Ok(result) = greeting.await else {
            continue;
        };
        let is_first = greeted.insert(name.clone(), result.is_ok()).is_none();
        if let (Err(e), true) = (result, is_first) {
            warn!(worker.shared.log, "members: Entry process did not answer a greeting.";
                "entry" => name, "error" => %e);
        }
    }
}

/// Greets an entry process and records the strikes in its answer.
async fn greet(worker: Rc<Worker>, peer: Vm) -> Result<(), CallError> {
    let shared = &worker.shared;
    let message = Greeting {
        name: shared.process.name().to_owned(),
        domain: shared.settings.domain.clone(),
        addr: shared.addr(),
        strikes: suspects::all_strikes(&worker),
    };
    let answer = worker
        .client
        .call(peer.addr, Incarnation(0), message, GREETING_TIMEOUT);
    suspects::receive_strikes(&worker, answer.await?);
    Ok(())
}

/// Records an entry process that introduced itself, with its strikes, and returns the strikes that
/// this process knew before.
pub fn answer_greeting(worker: &Rc<Worker>, message: Greeting) -> Strikes {
    let strikes_here = suspects::all_strikes(worker);
    info!(worker.shared.log, "members: Entry process introduced itself."; "entry" => &message.name);
    worker.shared.servers.add_peer(Vm {
        name: message.name,
        kind: VmKind::Entry,
        addr: message.addr,
        domain: message.domain,
        state: VmState::Live,
    });
    suspects::receive_strikes(worker, message.strikes);
    strikes_here
}
