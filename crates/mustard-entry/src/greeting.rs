//! How an entry process makes itself known to the others.
//!
//! The platform's list reaches each process at its own pace. A process that joins introduces
//! itself to those it finds there before it serves, so they share strikes with it from then on,
//! and it learns the strikes that count already.

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

/// How long a process may take to answer; it keeps a joining process from serving.
const GREETING_LIMIT: Duration = Duration::from_millis(500);

/// The entry processes that were greeted, by name, and whether they answered.
pub type Greeted = Map<String, bool>;

/// Greets the entry processes of the platform's list that did not answer a greeting yet, all at
/// once.
pub async fn greet_new(worker: &Rc<Worker>, greeted: &mut Greeted) {
    let peers = worker.shared.servers.peers();
    greeted.retain(|name, _| peers.iter().any(|p| p.name == *name));
    let new = peers
        .into_iter()
        .filter(|p| greeted.get(&p.name) != Some(&true));
    let asks: Vec<_> = new
        .map(|peer| {
            (
                peer.name.clone(),
                ntex::rt::spawn(greet(Rc::clone(worker), peer)),
            )
        })
        .collect();
    for (name, ask) in asks {
        let Ok(result) = ask.await else {
            continue;
        };
        let is_first = greeted.insert(name.clone(), result.is_ok()).is_none();
        if let (Err(e), true) = (result, is_first) {
            warn!(worker.shared.log, "members: Entry did not answer a greeting.";
                "entry" => name, "error" => %e);
        }
    }
}

/// Greets a process and takes in its strikes.
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
        .call(peer.addr, Incarnation(0), message, GREETING_LIMIT);
    suspects::take_strikes(&worker, answer.await?);
    Ok(())
}

/// Takes in a process that introduced itself and returns the strikes that count here.
pub fn answer(worker: &Rc<Worker>, message: Greeting) -> Strikes {
    let own = suspects::all_strikes(worker);
    info!(worker.shared.log, "members: Entry introduced itself."; "entry" => &message.name);
    worker.shared.servers.meet(Vm {
        name: message.name,
        kind: VmKind::Entry,
        addr: message.addr,
        domain: message.domain,
        state: VmState::Live,
    });
    suspects::take_strikes(worker, message.strikes);
    own
}
