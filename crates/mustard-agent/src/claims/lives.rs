//! Asks whether a claimant is gone.

use std::net::SocketAddr;

use mustard_core::ids::Incarnation;

/// Knows of the lives of other processes.
#[allow(async_fn_in_trait)]
pub trait Lives {
    /// Tells whether a life of the process at an address has ended, as far as can be seen.
    ///
    /// The answer only decides whether to wait for the claimant's own result. A call is never
    /// made again on the strength of it.
    async fn ended(&self, addr: SocketAddr, life: Incarnation) -> bool;
}

/// What a call with an idempotency key is made with.
#[derive(Clone, Debug)]
pub struct Ports<S, T, L> {
    /// The plain service.
    pub service: S,
    /// The platform's table.
    pub table: T,
    /// What is known of other processes.
    pub lives: L,
}
