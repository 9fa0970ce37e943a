//! Builds a chain from a chosen route and counts its request as in flight at each stage.

use mustard_policy::fleet::{Fleet, InFlight, ServerKey};
use mustard_policy::route::Plan;
use mustard_proto::step::ChainStage;

use crate::driver::Chain;

/// The servers of a chain, the predicted times, and the guards that count the request as in flight.
#[derive(Debug, Default)]
pub struct ChainPlan {
    /// The keys of the servers in the fleet, in layer order.
    pub keys: Vec<ServerKey>,
    /// The predicted time to the first token, in microseconds.
    pub first_us: f32,
    /// The predicted time per token, in microseconds.
    pub token_us: f32,
    /// Guards that count the request as in flight at each stage until they are dropped.
    guards: Vec<InFlight>,
}

/// Builds the chain of a route and counts its request as in flight at each stage.
///
/// Returns `None` if a server was removed from the fleet after the route was chosen.
pub fn build_chain(fleet: &Fleet, plan: &Plan) -> Option<Chain> {
    let mut hops = Vec::with_capacity(plan.stages.len());
    let mut names = Vec::with_capacity(plan.stages.len());
    for stage in &plan.stages {
        let info = fleet.get(stage.server)?.info();
        hops.push(ChainStage {
            addr: info.addr,
            incarnation: info.incarnation,
            layers: stage.layers,
        });
        names.push(info.vm.clone());
    }
    Some(Chain {
        hops,
        names,
        plan: ChainPlan {
            keys: plan.servers().collect(),
            first_us: plan.first_us,
            token_us: plan.token_us,
            guards: plan.start_request(fleet),
        },
    })
}

impl ChainPlan {
    /// Returns the number of stages at which the request is counted.
    pub fn stage_count(&self) -> usize {
        self.guards.len()
    }
}
