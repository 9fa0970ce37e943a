//! Resident memory per server and per customer.

use std::fmt;
use std::fs;

use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::{admission, chain};

const SERVERS: usize = 1_000;
const CUSTOMERS: usize = 20_000;
/// The page size in which `/proc/self/statm` counts, assumed to be 4 KiB.
const PAGE_BYTES: u64 = 4_096;
/// One `AtomicU64` for each cell of the table of links.
const LINK_BYTES: u64 = 8;

/// Bytes per server and per customer.
#[derive(Debug, Serialize)]
pub(crate) struct Memory {
    /// Excludes the table of links.
    server_bytes: u64,
    /// The number of servers in the table of links.
    servers: usize,
    /// The whole table of links.
    links_bytes: u64,
    /// Includes two waiting requests.
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

/// Measures how much the resident set grows with servers and customers.
pub(crate) fn measure(rng: &mut ChaCha8Rng) -> Memory {
    let before = resident_bytes();
    let fleet = chain::random_fleet(SERVERS, rng);
    let slot_count = fleet.0.links().slot_count() as u64;
    let links_bytes = slot_count * slot_count * LINK_BYTES;
    let fleet_bytes = resident_bytes().saturating_sub(before + links_bytes);
    let before = resident_bytes();
    let admission = admission::filled_admission(2 * CUSTOMERS, CUSTOMERS, rng);
    let admission_bytes = resident_bytes().saturating_sub(before);
    drop((fleet, admission));
    Memory {
        server_bytes: fleet_bytes / SERVERS as u64,
        servers: SERVERS,
        links_bytes,
        customer_bytes: admission_bytes / CUSTOMERS as u64,
    }
}

/// Returns the resident set size of this process, or 0 if it can't be read.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0_u64) * PAGE_BYTES
}
