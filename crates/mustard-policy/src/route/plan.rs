//! What a request needs of a chain, and the chain chosen for it.

use mustard_core::ids::Layers;

use crate::admission::Forecast;
use crate::fleet::{Fleet, InFlight, Server, ServerKey};

/// A chain that has a prefix of the prompt in its caches.
#[derive(Clone, Copy, Debug)]
pub struct CachedChain<'a> {
    /// The servers in layer order.
    pub servers: &'a [ServerKey],
    /// The length of the cached prefix, in positions; each token of the prompt is one position.
    pub positions: u32,
}

/// What a request needs of a chain, and which servers it may use.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    pub(super) model: &'a str,
    pub(super) layers: u32,
    pub(super) prompt: u32,
    pub(super) tokens: u32,
    pub(super) max_token_us: f32,
    pub(super) exclude: &'a [ServerKey],
    pub(super) cached: Option<CachedChain<'a>>,
}

impl<'a> Query<'a> {
    /// Creates a query for a model of `layers` layers, with `prompt` positions to prefill and
    /// `tokens` tokens to generate.
    pub fn new(model: &'a str, layers: u32, prompt: u32, tokens: u32) -> Self {
        Query {
            model,
            layers,
            prompt,
            tokens,
            max_token_us: f32::INFINITY,
            exclude: &[],
            cached: None,
        }
    }

    /// Sets the longest time per token, in microseconds, that a chain may take with this request.
    pub fn max_token_us(mut self, us: f32) -> Self {
        self.max_token_us = us;
        self
    }

    /// Excludes servers, such as those that failed an earlier attempt.
    pub fn exclude(mut self, servers: &'a [ServerKey]) -> Self {
        self.exclude = servers;
        self
    }

    /// Prefers a chain that has a prefix of the prompt cached, as long as none of its servers has
    /// much more work than the mean of the servers with the same layers.
    pub fn prefer(mut self, cached: Option<CachedChain<'a>>) -> Self {
        self.cached = cached;
        self
    }
}

/// One stage of a chosen chain: a server and the layers that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanStage {
    /// The server.
    pub server: ServerKey,
    /// The layers that the server runs.
    pub layers: Layers,
}

/// A chosen chain with its predicted times.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The stages in layer order.
    pub stages: Vec<PlanStage>,
    /// The predicted time to the first token, in microseconds.
    pub first_us: f32,
    /// The predicted time per token, in microseconds.
    pub token_us: f32,
    /// The time per token that the chain would take if its servers had no other requests, in
    /// microseconds.
    pub floor_us: f32,
}

impl Plan {
    /// Counts the request as in flight at each stage until the guards are dropped.
    pub fn start_request(&self, fleet: &Fleet) -> Vec<InFlight> {
        self.servers()
            .filter_map(|key| fleet.get(key))
            .map(Server::start_request)
            .collect()
    }

    /// Returns an iterator over the servers, in layer order.
    pub fn servers(&self) -> impl Iterator<Item = ServerKey> {
        self.stages.iter().map(|stage| stage.server)
    }
}

impl From<&Plan> for Forecast {
    fn from(plan: &Plan) -> Self {
        Forecast {
            floor_us: plan.floor_us,
            ..Forecast::new(plan.first_us, plan.token_us)
        }
    }
}
