//! Emulates one day: servers die, come back empty, and load layers again as the plan orders.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::collections::Map;
use mustard_policy::pipeline::{LayerHolder, Path, RequestDemand, choose_path};

use super::Args;
use super::deployment::Deployment;
use super::ways::Way;

/// An emulated day lasts a minute.
const DAY_MS: u64 = 60_000;
const TICK_MS: u64 = 100;
/// Interval between two runs of the planner.
const PLAN_INTERVAL_MS: u64 = 300;
/// Delay from a server's death or return to the first order in response: detection, lease and
/// reports of the servers.
const REACTION_MS: u64 = 1_000;
/// Runs of the planner before the day starts. Loads before the first request take a tenth of the
/// usual time; here they take none and are not counted.
const INITIAL_PLANS: usize = 8;
/// How long a dead server stays away.
const DOWNTIME_MS: std::ops::Range<u64> = 2_000..20_000;
/// Probability that a death draws a second server, which dies too if it is in the same failure
/// domain.
const PAIR_PROBABILITY: f64 = 0.3;
/// Limit at which the count of requests that fit into memory ends.
const MAX_REQUESTS: usize = 2_000;
/// Time of a hop within a failure domain, in milliseconds; each stage of a path counts as one.
const HOP_MS: f64 = 0.25;

/// The result of one emulated day; [`super::Row`] explains the fields.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    pub first_ms: f64,
    pub token_ms: f64,
    pub requests: f64,
    pub served: f64,
    pub crossings: f64,
    pub loads: usize,
}

/// The state of one emulated day.
pub(super) struct Day {
    rng: ChaCha8Rng,
    deployment: Deployment,
    way: Way,
    /// Streams that arrive in a second.
    streams: f64,
    /// The mean time between two deaths, in milliseconds.
    death_ms: f64,
    /// When a server last died or came back.
    changed_ms: u64,
    loads: usize,
    crossings: f64,
}

impl Day {
    pub(super) fn new(seed: u64, deployment: Deployment, way: Way, args: &Args) -> Self {
        Day {
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            deployment,
            way,
            streams: args.streams,
            death_ms: args.deaths * 1e3,
            changed_ms: 0,
            loads: 0,
            crossings: 0.0,
        }
    }

    pub(super) fn run(mut self) -> Outcome {
        for _ in 0..INITIAL_PLANS {
            for order in self.way.orders(&self.deployment, 0, usize::MAX) {
                self.deployment.servers[order.index].held = Some(order.layers);
            }
        }
        let mut outcome = self.predict_idle();
        let mut death = self.next_death(0);
        let mut now = 0;
        let mut served = 0.0;
        while now < DAY_MS {
            self.revive(now);
            if now >= death {
                self.kill(now);
                death = self.next_death(now);
            }
            if now % PLAN_INTERVAL_MS == 0 && now >= self.changed_ms + REACTION_MS {
                self.order_loads(now);
            }
            served += self.served_share(now);
            now += TICK_MS;
        }
        outcome.served = served / (DAY_MS / TICK_MS) as f64;
        outcome.loads = self.loads;
        outcome.crossings = self.crossings / (DAY_MS / TICK_MS) as f64;
        outcome
    }

    /// Draws the time of the next death; the time between two is exponentially distributed.
    fn next_death(&mut self, now: u64) -> u64 {
        let draw: f64 = self.rng.random();
        now + (-self.death_ms * (1.0 - draw).ln()) as u64
    }

    fn kill(&mut self, now: u64) {
        let count = self.deployment.servers.len();
        let first = self.rng.random_range(0..count);
        let domain = self.deployment.servers[first].domain;
        let pair = self.rng.random_bool(PAIR_PROBABILITY);
        let second = self.rng.random_range(0..count);
        let back = now + self.rng.random_range(DOWNTIME_MS);
        for (server, hit) in [(first, true), (second, pair)] {
            let server = &mut self.deployment.servers[server];
            if hit && server.domain == domain && server.back_ms.is_none() {
                server.back_ms = Some(back);
                server.held = None;
                server.ready_ms = 0;
                self.changed_ms = now;
            }
        }
    }

    fn revive(&mut self, now: u64) {
        for server in &mut self.deployment.servers {
            if server.back_ms.is_some_and(|at| at <= now) {
                server.back_ms = None;
                self.changed_ms = now;
            }
        }
    }

    fn order_loads(&mut self, now: u64) {
        let engine = &self.deployment.engine;
        let loading = self.deployment.servers.iter();
        let loading = loading.filter(|s| s.ready_ms > now).count();
        let max_orders = (engine.parallel_loads as usize).saturating_sub(loading);
        let load_ms = engine.load_time.as_millis() as f64 / f64::from(engine.layers);
        for order in self.way.orders(&self.deployment, now, max_orders) {
            let server = &mut self.deployment.servers[order.index];
            server.held = Some(order.layers);
            server.ready_ms = now + (load_ms * f64::from(order.layers.count())) as u64;
            self.loads += 1;
        }
    }

    /// Returns the share of the streams arriving now that find a path and whose traffic between
    /// failure domains fits into the pipes.
    fn served_share(&mut self, now: u64) -> f64 {
        if self.way == Way::Bound {
            return f64::from(self.copies() >= 1.0);
        }
        let holders = self.deployment.holders(now);
        let domains = self.deployment.domains;
        let engine = self.deployment.engine.clone();
        let mut crossings = 0.0;
        let mut paths = 0.0;
        for domain in 0..domains {
            let demand = demand(&engine, domain);
            if let Some(path) = choose_path(&engine, &holders, &demand, &mut self.rng) {
                paths += 1.0;
                crossings += f64::from(path.crossings);
            }
        }
        self.crossings += crossings / f64::from(domains);
        let per_domain = self.streams / f64::from(domains);
        let bits = engine.mean_prompt * engine.activation_bytes * 8.0;
        // Each ordered pair of domains has a pipe; paths are assumed to spread evenly over them.
        let pipes = f64::from(domains * (domains - 1)).max(1.0);
        let room = pipes * engine.pipe_mbps * 1e6 / bits;
        let carried = (room / (crossings * per_domain).max(1e-9)).min(1.0);
        carried * paths / f64::from(domains)
    }

    /// Returns how many copies of all layers fit into the memory of the live servers.
    fn copies(&self) -> f64 {
        let engine = &self.deployment.engine;
        let servers = self.deployment.servers.iter().enumerate();
        let live = servers.filter(|(_, s)| s.back_ms.is_none());
        let layers = live.map(|(i, _)| engine.capacity(self.deployment.accelerator(i).memory_mb));
        f64::from(layers.sum::<u32>()) / f64::from(engine.layers)
    }

    /// Returns latency and capacity before any failure, with idle servers.
    fn predict_idle(&mut self) -> Outcome {
        match self.way {
            Way::Bound => self.upper_bound(),
            _ => self.predict_from_paths(),
        }
    }

    /// Returns what no plan exceeds: the fastest accelerator runs every layer, and all memory but
    /// that of one copy of the layers is free for requests.
    fn upper_bound(&self) -> Outcome {
        let engine = &self.deployment.engine;
        let count = self.deployment.servers.len();
        let used = (0..count).map(|i| self.deployment.accelerator(i));
        let step_factor = used
            .clone()
            .map(|a| a.step_factor)
            .fold(f64::INFINITY, f64::min);
        let prompt_factor = used.clone().map(|a| a.prompt_factor);
        let prompt_factor = prompt_factor.fold(f64::INFINITY, f64::min);
        let memory: f64 = used.map(|a| a.memory_mb).sum();
        let token_ms = engine.step_time.base_ms * step_factor;
        let room = memory - f64::from(engine.layers) * engine.layer_mb;
        Outcome {
            first_ms: engine.mean_prompt / engine.step_time.prompt_rate * 1e3 * prompt_factor
                + token_ms,
            token_ms,
            requests: room / request_mb(engine),
            ..Outcome::default()
        }
    }

    /// Returns what the chosen paths over idle servers predict, as the mean over the failure
    /// domains in which requests enter.
    fn predict_from_paths(&mut self) -> Outcome {
        let engine = self.deployment.engine.clone();
        let holders = self.deployment.holders(0);
        let mut outcome = Outcome {
            requests: self.capacity(&holders),
            ..Outcome::default()
        };
        let domains = self.deployment.domains;
        for domain in 0..domains {
            let demand = demand(&engine, domain);
            let Some(path) = choose_path(&engine, &holders, &demand, &mut self.rng) else {
                continue;
            };
            let (first, token) = self.path_times(&path);
            outcome.first_ms += first / f64::from(domains);
            outcome.token_ms += token / f64::from(domains);
        }
        outcome
    }

    /// Returns the milliseconds to the first token and between tokens on a path.
    fn path_times(&self, path: &Path) -> (f64, f64) {
        let engine = &self.deployment.engine;
        let bits = engine.mean_prompt * engine.activation_bytes * 8.0;
        let mut first = f64::from(path.crossings) * bits / (engine.pipe_mbps * 1e3);
        let mut token = 0.0;
        for part in &path.parts {
            let accelerator = self.deployment.accelerator(part.server.index());
            let share = f64::from(part.layers.count()) / f64::from(engine.layers);
            let read = engine.mean_prompt / engine.step_time.prompt_rate * 1e3;
            first += share * read * accelerator.prompt_factor + HOP_MS;
            token += share * engine.step_time.base_ms * accelerator.step_factor + HOP_MS;
        }
        (first + token, token)
    }

    /// Returns how many requests at once find a path before one needs more memory than a server
    /// has, at most [`MAX_REQUESTS`].
    fn capacity(&mut self, holders: &[LayerHolder]) -> f64 {
        let engine = self.deployment.engine.clone();
        let token_mb = engine.token_layer_mb() * (engine.mean_prompt + engine.mean_answer);
        let mut holders = holders.to_vec();
        let mut used: Map<usize, f64> = Map::default();
        for count in 0..MAX_REQUESTS {
            let domain = count as u32 % self.deployment.domains;
            let demand = demand(&engine, domain);
            let Some(path) = choose_path(&engine, &holders, &demand, &mut self.rng) else {
                return count as f64;
            };
            for part in &path.parts {
                let server = part.server.index();
                let mb = used.entry(server).or_default();
                *mb += token_mb * f64::from(part.layers.count());
                let share = *mb / self.deployment.room_mb(server).max(1.0);
                if share > 1.0 {
                    return count as f64;
                }
                if let Some(holder) = holders.iter_mut().find(|h| h.server == part.server) {
                    holder.memory_share = share;
                }
            }
        }
        MAX_REQUESTS as f64
    }
}

fn demand(engine: &mustard_core::deployment::Engine, domain: u32) -> RequestDemand {
    RequestDemand {
        prompt: engine.mean_prompt,
        answer: engine.mean_answer,
        domain,
    }
}

/// Returns the memory that a mean request takes over all layers, in megabytes.
fn request_mb(engine: &mustard_core::deployment::Engine) -> f64 {
    let tokens = engine.mean_prompt + engine.mean_answer;
    engine.token_layer_mb() * tokens * f64::from(engine.layers)
}
