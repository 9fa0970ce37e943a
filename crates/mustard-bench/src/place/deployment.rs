//! Emulated deployments whose servers have accelerators drawn at random.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::deployment::{Accelerator, Engine, ServerKey, StepTime};
use mustard_core::ids::Layers;
use mustard_policy::pipeline::{LayerHolder, PlacementServer};

/// Cumulative shares of the kinds of accelerators: large, large and middle; the rest is small.
const CUMULATIVE_SHARES: [f64; 2] = [0.13, 0.55];

/// One server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Server {
    pub domain: u32,
    /// The index of its accelerator in the engine's list.
    pub kind: usize,
    /// The layers that it holds, or will hold once they are loaded.
    pub held: Option<Layers>,
    /// When its last load ends or ended, in milliseconds of the day; zero if no load was ordered since
    /// the start of the day or its last death.
    pub ready_ms: u64,
    /// When it comes back, in milliseconds of the day; absent while it is live.
    pub back_ms: Option<u64>,
}

/// An engine and the servers that run it.
#[derive(Clone, Debug)]
pub(super) struct Deployment {
    pub engine: Engine,
    pub servers: Vec<Server>,
    pub domains: u32,
}

impl Deployment {
    /// Draws the servers' accelerators and spreads the servers over the domains in turn.
    pub(super) fn random(seed: u64, servers: usize, domains: u32) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut draw_server = |i: usize| {
            let draw: f64 = rng.random();
            Server {
                domain: i as u32 % domains.max(1),
                kind: CUMULATIVE_SHARES.iter().filter(|k| draw >= **k).count(),
                held: None,
                ready_ms: 0,
                back_ms: None,
            }
        };
        Deployment {
            engine: emulated_engine(),
            servers: (0..servers).map(&mut draw_server).collect(),
            domains: domains.max(1),
        }
    }

    pub(super) fn accelerator(&self, server: usize) -> &Accelerator {
        &self.engine.accelerators[self.servers[server].kind]
    }

    /// Returns the servers as the planner sees them.
    pub(super) fn placement_servers(&self, now_ms: u64) -> Vec<PlacementServer> {
        let live = |(_, s): &(usize, &Server)| s.back_ms.is_none();
        let placement_server = |(index, s): (usize, &Server)| PlacementServer {
            index,
            domain: s.domain,
            memory_mb: self.accelerator(index).memory_mb,
            step_factor: self.accelerator(index).step_factor,
            held: s.held,
            accepts_orders: s.ready_ms <= now_ms,
            is_staying: true,
        };
        let servers = self.servers.iter().enumerate();
        servers.filter(live).map(placement_server).collect()
    }

    /// Returns the servers that hold loaded layers and can be part of a path.
    pub(super) fn holders(&self, now_ms: u64) -> Vec<LayerHolder> {
        let usable = |s: &&(usize, &Server)| s.1.back_ms.is_none() && s.1.ready_ms <= now_ms;
        let holder = |(index, s): (usize, &Server)| {
            let accelerator = self.accelerator(index);
            Some(LayerHolder {
                server: ServerKey::from_index(index as u32),
                addr: addr(index),
                domain: s.domain,
                layers: s.held?,
                step_factor: accelerator.step_factor,
                prompt_factor: accelerator.prompt_factor,
                takes_requests: true,
                memory_share: 0.0,
            })
        };
        let servers = self.servers.iter().enumerate();
        servers.filter(|s| usable(&s)).filter_map(holder).collect()
    }

    /// Returns the memory left for requests at a server, in megabytes.
    pub(super) fn room_mb(&self, server: usize) -> f64 {
        let layers = self.servers[server].held.map_or(0, Layers::count);
        self.accelerator(server).memory_mb - f64::from(layers) * self.engine.layer_mb
    }
}

/// Returns a made-up address that identifies a server by its index.
fn addr(server: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (server / 250) as u8, (server % 250) as u8], 8_080))
}

/// Returns an engine of 80 layers with the accelerators of the emulated platform.
fn emulated_engine() -> Engine {
    let accelerator = |name: &str, memory_mb, step_factor, prompt_factor| Accelerator {
        name: name.to_owned(),
        memory_mb,
        step_factor,
        prompt_factor,
    };
    Engine {
        layers: 80,
        layer_mb: 1_750.0,
        kv_token_bytes: 459_000.0,
        step_time: StepTime {
            base_ms: 0.85,
            sequence_ms: 0.003,
            prompt_rate: 353_000.0,
        },
        slots: 192,
        activation_bytes: 22_900.0,
        pipe_mbps: 7_900.0,
        load_time: Duration::from_secs(14),
        parallel_loads: 6,
        mean_prompt: 772.0,
        mean_answer: 154.0,
        accelerators: vec![
            accelerator("large", 36_000.0, 3.1, 3.2),
            accelerator("middle", 21_600.0, 16.0, 8.2),
            accelerator("small", 14_400.0, 15.0, 15.0),
        ],
    }
}
