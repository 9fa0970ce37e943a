//! Asks whether a claimant is gone.

use std::net::SocketAddr;

use mustard_core::ids::Incarnation;

/// What can be seen of a life of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It answers.
    Alive,
    /// Its address refuses connections or belongs to another life.
    Ended,
    /// It gives no answer.
    Unknown,
}

/// Knows of the lives of other processes.
#[allow(async_fn_in_trait)]
pub trait Liveness {
    /// Looks at a life of the process at an address.
    ///
    /// The answer only decides how long to wait for the claimant's own result. A call is never
    /// made again on the strength of it.
    async fn look(&self, addr: SocketAddr, life: Incarnation) -> Life;
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
