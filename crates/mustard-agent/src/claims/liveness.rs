//! Probes whether the process that made a claim still runs.

use std::net::SocketAddr;

use mustard_core::ids::Incarnation;

/// What a probe of a process found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// The process answers.
    Alive,
    /// Its address refuses connections, or another incarnation answers there.
    Ended,
    /// The process does not answer.
    Unknown,
}

/// Probes other processes.
#[allow(async_fn_in_trait)]
pub trait LivenessProbe {
    /// Probes the given incarnation of the process at an address.
    ///
    /// The result only decides how long to wait for the claimant's own result. It is never a
    /// reason to make the call again.
    async fn probe(&self, addr: SocketAddr, incarnation: Incarnation) -> Liveness;
}

/// The clients through which a call with an idempotency key reaches other processes.
#[derive(Clone, Debug)]
pub struct CallClients<S, T, L> {
    /// The client of the plain service.
    pub service: S,
    /// The client of the platform's table.
    pub table: T,
    /// The probe of the processes that made claims.
    pub liveness: L,
}
