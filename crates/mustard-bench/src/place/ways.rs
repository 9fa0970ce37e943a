//! The product's planner, two plain baselines, and a bound that no plan exceeds.

use mustard_core::ids::Layers;
use mustard_policy::pipeline::{
    LayerAssignment, PlacementSettings, layers_memory_share, plan_placement,
};

use super::deployment::Deployment;

/// Requests expected at once for each server.
const REQUESTS_A_SERVER: f64 = 6.0;

/// How layers are given to servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Way {
    /// The product's planner.
    Policy,
    /// The layers split equally over the servers in the order of the list, again and again.
    EqualSplit,
    /// One copy on the fastest accelerators.
    FastestCopy,
    /// Every live server's memory counts for any layer, and loads take no time.
    Bound,
}

impl Way {
    pub(super) const ALL: [Way; 4] = [Way::Policy, Way::EqualSplit, Way::FastestCopy, Way::Bound];

    pub(super) fn name(self) -> &'static str {
        match self {
            Way::Policy => "policy",
            Way::EqualSplit => "equal split",
            Way::FastestCopy => "fastest copy",
            Way::Bound => "bound",
        }
    }

    /// Returns the loads to order now, `most` at once.
    pub(super) fn orders(
        self,
        deployment: &Deployment,
        now_ms: u64,
        most: usize,
    ) -> Vec<LayerAssignment> {
        match self {
            Way::Policy => planned(deployment, now_ms, most),
            Way::EqualSplit => differing(deployment, now_ms, most, &equal_split(deployment)),
            Way::FastestCopy => differing(deployment, now_ms, most, &fastest_copy(deployment)),
            Way::Bound => Vec::new(),
        }
    }
}

fn planned(deployment: &Deployment, now_ms: u64, most: usize) -> Vec<LayerAssignment> {
    let engine = &deployment.engine;
    let servers = deployment.placement_servers(now_ms);
    let requests = REQUESTS_A_SERVER * servers.len() as f64;
    let settings = PlacementSettings {
        layers_share: layers_memory_share(engine, requests, deployment.domains as usize),
        max_orders: most,
    };
    plan_placement(engine, &servers, &settings)
}

/// Returns the orders that bring servers to what a baseline wants of them.
fn differing(
    deployment: &Deployment,
    now_ms: u64,
    most: usize,
    wanted: &[(usize, Layers)],
) -> Vec<LayerAssignment> {
    let differs = |(index, layers): &&(usize, Layers)| {
        let server = &deployment.servers[*index];
        server.ready_ms <= now_ms && server.held != Some(*layers)
    };
    let orders = wanted.iter().filter(differs).take(most);
    orders
        .map(|(index, layers)| LayerAssignment {
            index: *index,
            layers: *layers,
        })
        .collect()
}

/// Splits the layers equally over as many servers as can hold them all, for each such group.
fn equal_split(deployment: &Deployment) -> Vec<(usize, Layers)> {
    let layers = deployment.engine.layers;
    let smallest = deployment.engine.accelerators.iter();
    let capacity = smallest.map(|a| deployment.engine.capacity(a.memory_mb));
    // One layer less than the smallest holds leaves room for requests.
    let size = capacity.min().unwrap_or(1).saturating_sub(1).max(1);
    let group = layers.div_ceil(size) as usize;
    let live: Vec<usize> = live(deployment);
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
    let mut live = live(deployment);
    live.sort_by(|a, b| {
        let step_factor = |i: &usize| deployment.accelerator(*i).step_factor;
        step_factor(a).total_cmp(&step_factor(b)).then(a.cmp(b))
    });
    let mut first = 0;
    let mut wanted = Vec::new();
    for server in live {
        if first >= deployment.engine.layers {
            break;
        }
        let memory = deployment.accelerator(server).memory_mb;
        let size = deployment.engine.capacity(memory).saturating_sub(1).max(1);
        let end = (first + size).min(deployment.engine.layers);
        wanted.push((server, Layers::new(first, end)));
        first = end;
    }
    wanted
}

fn live(deployment: &Deployment) -> Vec<usize> {
    let servers = deployment.servers.iter().enumerate();
    let live = servers.filter(|(_, s)| s.back_ms.is_none());
    live.map(|(i, _)| i).collect()
}
