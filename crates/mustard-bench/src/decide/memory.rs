//! Resident memory per server and per customer.

use std::fmt;
use std::fs;

use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::{chain, queue};

const SERVERS: usize = 1_000;
const CUSTOMERS: usize = 20_000;
const PAGE: u64 = 4_096;
const LINK_BYTES: u64 = 8;

/// Bytes per server and per customer.
#[derive(Debug, Serialize)]
pub(crate) struct Memory {
    /// Without the table of links.
    server_bytes: u64,
    /// The table of links between this many servers.
    servers: usize,
    links_bytes: u64,
    /// With two waiting requests.
    customer_bytes: u64,
}

impl fmt::Display for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "memory: {} bytes per server, {} bytes of links for {} servers, {} bytes per customer",
            self.server_bytes, self.links_bytes, self.servers, self.customer_bytes
        )
    }
}

/// Measures by the growth of the resident set.
pub(crate) fn measure(rng: &mut ChaCha8Rng) -> Memory {
    let before = resident();
    let fleet = chain::fleet(SERVERS, rng);
    let side = fleet.0.links().side() as u64;
    let links_bytes = side * side * LINK_BYTES;
    let servers = resident().saturating_sub(before + links_bytes);
    let before = resident();
    let admission = queue::filled(2 * CUSTOMERS, CUSTOMERS, rng);
    let customers = resident().saturating_sub(before);
    drop((fleet, admission));
    Memory {
        server_bytes: servers / SERVERS as u64,
        servers: SERVERS,
        links_bytes,
        customer_bytes: customers / CUSTOMERS as u64,
    }
}

fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0_u64) * PAGE
}
