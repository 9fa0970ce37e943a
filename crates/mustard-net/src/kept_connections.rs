//! Connections that a client keeps for further calls.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use mustard_core::collections::Map;

use crate::forward::Connection;

/// How long an idle connection is kept.
pub(crate) const KEEP_TIME: Duration = Duration::from_secs(15);
/// The interval at which connections to addresses that aren't called any longer are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// The idle connections of a client, by the address that they lead to.
#[derive(Debug)]
pub(crate) struct KeptConnections {
    /// Those to an address in the order in which they became idle.
    idle: Map<SocketAddr, Vec<Idle>>,
    swept: Instant,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

impl Default for KeptConnections {
    fn default() -> Self {
        KeptConnections {
            idle: Map::default(),
            swept: Instant::now(),
        }
    }
}

impl KeptConnections {
    /// Takes the connection to an address that became idle last and can still be used.
    pub(crate) fn take(&mut self, to: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        self.sweep(now);
        let list = self.idle.get_mut(&to)?;
        while let Some(idle) = list.pop() {
            // What comes unasked belongs to no request.
            if now.duration_since(idle.since) < KEEP_TIME && idle.connection.is_silent() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Keeps a connection on which the last call was answered.
    pub(crate) fn keep(&mut self, to: SocketAddr, connection: Connection) {
        let since = Instant::now();
        let list = self.idle.entry(to).or_default();
        list.push(Idle { connection, since });
    }

    fn sweep(&mut self, now: Instant) {
        if now.duration_since(self.swept) < SWEEP_INTERVAL {
            return;
        }
        self.swept = now;
        self.idle.retain(|_, list| {
            list.retain(|idle| now.duration_since(idle.since) < KEEP_TIME);
            !list.is_empty()
        });
    }
}
