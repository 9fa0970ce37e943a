//! The ways to plan placements: the product's planner, two plain baselines, and an upper bound that
//! no plan exceeds.

use mustard_core::ids::Layers;
use mustard_policy::pipeline::{
    LayerAssignment, PlacementSettings, layers_memory_share, plan_placement,
};

use super::deployment::Deployment;

/// Requests that the planner expects at once for each server.
const REQUESTS_PER_SERVER: f64 = 6.0;

/// How layers are given to servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Way {
    /// The product's planner.
    Policy,
    /// The layers split into ranges of equal size, given to the live servers in turn.
    EqualSplit,
    /// One copy of the layers on the fastest accelerators.
    FastestCopy,
    /// An upper bound: every live server's memory counts for any layer, and loads take no time.
    Bound,
}

impl Way {
    pub(super) const ALL: [Way; 4] = [Way::Policy, Way::EqualSplit, Way::FastestCopy, Way::Bound];

    /// Returns the stable name used in reports.
    pub(super) fn name(self) -> &'static str {
        match self {
            Way::Policy => "policy",
            Way::EqualSplit => "equal split",
            Way::FastestCopy => "fastest copy",
            Way::Bound => "bound",
        }
    }

    /// Returns the loads to order now, at most `max_orders`.
    pub(super) fn orders(
        self,
        deployment: &Deployment,
        now_ms: u64,
        max_orders: usize,
    ) -> Vec<LayerAssignment> {
        match self {
            Way::Policy => plan_orders(deployment, now_ms, max_orders),
            Way::EqualSplit => {
                baseline_orders(deployment, now_ms, max_orders, &equal_split(deployment))
            }
            Way::FastestCopy => {
                baseline_orders(deployment, now_ms, max_orders, &fastest_copy(deployment))
            }
            Way::Bound => Vec::new(),
        }
    }
}

fn plan_orders(deployment: &Deployment, now_ms: u64, max_orders: usize) -> Vec<LayerAssignment> {
    let engine = &deployment.engine;
    let servers = deployment.placement_servers(now_ms);
    let requests = REQUESTS_PER_SERVER * servers.len() as f64;
    let settings = PlacementSettings {
        layers_share: layers_memory_share(engine, requests, deployment.domains as usize),
        max_orders,
    };
    plan_placement(engine, &servers, &settings)
}

/// Returns loads for the servers that don't hold the layers that a baseline assigns to them.
fn baseline_orders(
    deployment: &Deployment,
    now_ms: u64,
    max_orders: usize,
    assigned: &[(usize, Layers)],
) -> Vec<LayerAssignment> {
    let differs = |(index, layers): &&(usize, Layers)| {
        let server = &deployment.servers[*index];
        server.ready_ms <= now_ms && server.held != Some(*layers)
    };
    let orders = assigned.iter().filter(differs).take(max_orders);
    orders
        .map(|(index, layers)| LayerAssignment {
            index: *index,
            layers: *layers,
        })
        .collect()
}

/// Assigns the layers in ranges of equal size (the last may be shorter) to each complete group of
/// live servers; the servers left over are assigned none.
fn equal_split(deployment: &Deployment) -> Vec<(usize, Layers)> {
    let layers = deployment.engine.layers;
    let accelerators = deployment.engine.accelerators.iter();
    let capacity = accelerators.map(|a| deployment.engine.capacity(a.memory_mb));
    // One layer less than the smallest accelerator holds leaves room for requests.
    let size = capacity.min().unwrap_or(1).saturating_sub(1).max(1);
    let group = layers.div_ceil(size) as usize;
    let live: Vec<usize> = live_servers(deployment);
    let whole = live.len() / group * group;
    let range = |at: usize| {
        let first = (at % group) as u32 * size;
        Layers::new(first, (first + size).min(layers))
    };
    let split = live[..whole].iter().enumerate();
    split.map(|(at, server)| (*server, range(at))).collect()
}

/// Fills the fastest servers one after the other until every layer is held once.
fn fastest_copy(deployment: &Deployment) -> Vec<(usize, Layers)> {
    let mut live = live_servers(deployment);
    live.sort_by(|a, b| {
        let step_factor = |i: &usize| deployment.accelerator(*i).step_factor;
        step_factor(a).total_cmp(&step_factor(b)).then(a.cmp(b))
    });
    let mut first = 0;
    let mut assigned = Vec::new();
    for server in live {
        if first >= deployment.engine.layers {
            break;
        }
        let memory = deployment.accelerator(server).memory_mb;
        let size = deployment.engine.capacity(memory).saturating_sub(1).max(1);
        let end = (first + size).min(deployment.engine.layers);
        assigned.push((server, Layers::new(first, end)));
        first = end;
    }
    assigned
}

fn live_servers(deployment: &Deployment) -> Vec<usize> {
    let servers = deployment.servers.iter().enumerate();
    let live = servers.filter(|(_, s)| s.back_ms.is_none());
    live.map(|(i, _)| i).collect()
}
