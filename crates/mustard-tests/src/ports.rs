//! Ports for processes whose settings must name them before the start.

use std::net::{Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// The range lies below the system's ephemeral ports, so that no connection or listener of
/// another test takes a port between its choice and its use.
const FIRST_PORT: u16 = 20_000;
const PORT_COUNT: u16 = 12_000;
static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns a port that is free on the loopback addresses 127.0.0.1 to 127.0.0.4, or `None` if the
/// range has no such port.
pub fn free_port() -> Option<u16> {
    // Concurrent test processes start their search at different ports.
    let start = (std::process::id() % u32::from(PORT_COUNT / 100)) as u16 * 100;
    (0..PORT_COUNT).find_map(|_| {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + start.wrapping_add(offset) % PORT_COUNT;
        let is_free = |n: u8| TcpListener::bind((Ipv4Addr::new(127, 0, 0, n), port)).is_ok();
        (1..=4).all(is_free).then_some(port)
    })
}
