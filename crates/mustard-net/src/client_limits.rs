//! The limits of what a process holds for its clients.

use std::fmt;

use rustix::process::{Resource, getrlimit};

/// The largest and the smallest size of the buffer for received bytes of a connection, in bytes.
pub(crate) const MAX_RECEIVE_BUFFER: usize = 64 * 1024;
const MIN_RECEIVE_BUFFER: usize = 4 * 1024;
/// The part of the budget that only requests with small bodies may use.
const SMALL_SHARE: f64 = 0.25;

/// The limits of a worker thread, as a builder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    bytes: usize,
    connections: usize,
    per_listener: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            bytes: 64 * 1024 * 1024,
            connections: 1_024,
            per_listener: 256,
        }
    }
}

impl ClientLimits {
    /// Sets the number of bytes held for all clients together.
    #[must_use]
    pub fn bytes(mut self, bytes: usize) -> Self {
        self.bytes = bytes;
        self
    }

    /// Sets the number of connections of the main listener.
    #[must_use]
    pub fn connections(mut self, count: usize) -> Self {
        self.connections = count;
        self
    }

    /// Sets the number of connections of each other listener.
    #[must_use]
    pub fn per_listener(mut self, count: usize) -> Self {
        self.per_listener = count;
        self
    }

    /// Returns the limits of one of `workers` threads that divide what a process with one listener may hold. At
    /// most half of its descriptors are for clients.
    pub fn per_worker(bytes: usize, connections: usize, workers: usize) -> Self {
        let descriptors = getrlimit(Resource::Nofile).current;
        let descriptors = descriptors.map_or(usize::MAX, |d| d as usize) / 2 / workers;
        ClientLimits::default()
            .bytes(bytes / workers)
            .connections(connections.min(descriptors))
    }

    /// Returns the limit on the bytes held for all clients together.
    pub fn max_bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the largest body for which there is room.
    pub fn largest_body(&self) -> usize {
        (self.bytes as f64 * (1.0 - SMALL_SHARE)) as usize
    }

    /// Returns the size of the buffer for received bytes of one more connection beside `open` others, in bytes.
    ///
    /// The operating system holds what arrived and isn't read, up to twice this size. The buffers shrink with the
    /// number of connections, so that their sum grows with its logarithm only.
    pub fn receive_buffer(&self, open: usize) -> usize {
        let part = self.bytes / 4 / (open + 1);
        let part = part.clamp(MIN_RECEIVE_BUFFER, MAX_RECEIVE_BUFFER);
        // Few different sizes: a listener is told each new one.
        1 << part.ilog2()
    }

    /// Returns the limit on the connections of a listener.
    pub fn max_connections(&self, listener: Listener) -> usize {
        if listener.is_main {
            self.connections
        } else {
            self.per_listener
        }
    }
}

impl fmt::Display for ClientLimits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} bytes, {} connections, {} at each further listener",
            self.bytes, self.connections, self.per_listener
        )
    }
}

/// A listener, by its name in metrics and logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listener {
    name: &'static str,
    is_main: bool,
}

impl Listener {
    /// Returns the listener on which a process takes requests of callers.
    pub const fn main(name: &'static str) -> Self {
        Listener {
            name,
            is_main: true,
        }
    }

    /// Returns the name.
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// Returns a listener for other processes or for operators.
    pub const fn other(name: &'static str) -> Self {
        Listener {
            name,
            is_main: false,
        }
    }
}
