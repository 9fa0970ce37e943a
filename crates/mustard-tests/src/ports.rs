//! Ports for processes whose settings name them before they start.

use std::net::{Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// The ports below those that the system hands out by itself, so that no connection or listener
/// of another test takes one between its choice and its use.
const FIRST: u16 = 20_000;
const COUNT: u16 = 12_000;
static NEXT: AtomicU16 = AtomicU16::new(0);

/// Returns a port that is free on the first loopback addresses, 127.0.0.1 to 127.0.0.4.
pub fn free_port() -> Option<u16> {
    // Test processes that run at the same time start at different ports.
    let start = (std::process::id() % u32::from(COUNT / 100)) as u16 * 100;
    (0..COUNT).find_map(|_| {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + start.wrapping_add(step) % COUNT;
        let free = |n: u8| TcpListener::bind((Ipv4Addr::new(127, 0, 0, n), port)).is_ok();
        (1..=4).all(free).then_some(port)
    })
}
