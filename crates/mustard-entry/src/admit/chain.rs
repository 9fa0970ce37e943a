//! A chosen chain with the guards that count its request at each stage.

use mustard_policy::fleet::{Fleet, InFlight, ServerKey};
use mustard_policy::route::Plan;
use mustard_proto::step::Hop;

use crate::drive::Chain;

/// What a chain carries besides its agents.
#[derive(Debug, Default)]
pub struct Planned {
    /// The keys of the servers in layer order.
    pub keys: Vec<ServerKey>,
    /// The predicted time of a prefill, in microseconds.
    pub first_us: f32,
    /// The predicted time per token, in microseconds.
    pub token_us: f32,
    /// Counts the request at each stage.
    guards: Vec<InFlight>,
}

/// Turns a plan into a chain and counts its request at each stage.
///
/// Returns none if a server left the view in between.
pub fn chain_of(fleet: &Fleet, plan: &Plan) -> Option<Chain> {
    let mut hops = Vec::with_capacity(plan.hops.len());
    let mut names = Vec::with_capacity(plan.hops.len());
    for hop in &plan.hops {
        let facts = fleet.get(hop.server)?.facts();
        hops.push(Hop {
            addr: facts.addr,
            incarnation: facts.incarnation,
            layers: hop.layers,
        });
        names.push(facts.vm.clone());
    }
    Some(Chain {
        hops,
        names,
        planned: Planned {
            keys: plan.servers().collect(),
            first_us: plan.first_us,
            token_us: plan.token_us,
            guards: plan.begin(fleet),
        },
    })
}

impl Planned {
    /// Returns the number of stages that count the request.
    pub fn counted(&self) -> usize {
        self.guards.len()
    }
}
