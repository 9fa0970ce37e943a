//! Deployments with random numbers of accelerators in each failure domain.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::deployment::{Accelerator, Engine, StepTime};
use mustard_core::ids::Layers;
use mustard_policy::pipeline::{Holder, PlacementServer};

/// The share of large, and of large and middle accelerators.
const KINDS: [f64; 2] = [0.13, 0.55];

/// One server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Server {
    pub domain: u32,
    pub kind: usize,
    /// The layers that it holds, or will hold once they are loaded.
    pub held: Option<Layers>,
    /// When its load ends, in milliseconds of the day; zero if none runs.
    pub ready_ms: u64,
    /// When it is back, in milliseconds of the day, if it is dead.
    pub back_ms: Option<u64>,
}

/// An engine and its servers.
#[derive(Clone, Debug)]
pub(super) struct Deployment {
    pub engine: Engine,
    pub servers: Vec<Server>,
    pub domains: u32,
}

impl Deployment {
    /// Draws servers; the engine has 80 layers and three kinds of accelerators.
    pub(super) fn random(seed: u64, servers: usize, domains: u32) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut draw = |i: usize| {
            let at: f64 = rng.random();
            Server {
                domain: i as u32 % domains.max(1),
                kind: KINDS.iter().filter(|k| at >= **k).count(),
                held: None,
                ready_ms: 0,
                back_ms: None,
            }
        };
        Deployment {
            engine: engine(),
            servers: (0..servers).map(&mut draw).collect(),
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

    /// Returns the servers that requests may cross.
    pub(super) fn holders(&self, now_ms: u64) -> Vec<Holder> {
        let usable = |s: &&(usize, &Server)| s.1.back_ms.is_none() && s.1.ready_ms <= now_ms;
        let holder = |(index, s): (usize, &Server)| {
            let accelerator = self.accelerator(index);
            Some(Holder {
                addr: addr(index),
                domain: s.domain,
                layers: s.held?,
                step_factor: accelerator.step_factor,
                read_factor: accelerator.read_factor,
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

/// Returns the address that stands for a server.
pub(super) fn addr(server: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (server / 250) as u8, (server % 250) as u8], 8_080))
}

/// Returns the server of an address.
pub(super) fn index_of(addr: SocketAddr) -> usize {
    match addr.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[2] as usize * 250 + ip.octets()[3] as usize,
        std::net::IpAddr::V6(_) => 0,
    }
}

/// An engine of the size that the emulated platform has.
fn engine() -> Engine {
    let accelerator = |name: &str, memory_mb, step_factor, read_factor| Accelerator {
        name: name.to_owned(),
        memory_mb,
        step_factor,
        read_factor,
    };
    Engine {
        layers: 80,
        layer_mb: 1_750.0,
        token_bytes: 459_000.0,
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
