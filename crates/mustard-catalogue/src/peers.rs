//! The other entry processes, as the synchronization sees them.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;

use mustard_core::ids::Incarnation;
use mustard_net::{CallError, Client};
use mustard_proto::catalogue::{Pull, Pulled, Push, Pushed};

/// Calls of peer processes.
#[allow(async_fn_in_trait)]
pub trait Peers {
    /// Names a peer.
    type Id: Clone;

    /// Draws at most `count` different peers at random.
    fn pick(&self, count: usize) -> Vec<Self::Id>;

    /// Hands changes to a peer.
    async fn push(&self, to: &Self::Id, push: Push) -> Result<Pushed, CallError>;

    /// Asks a peer for changes.
    async fn pull(&self, to: &Self::Id, pull: Pull) -> Result<Pulled, CallError>;
}

/// Peers over HTTP; `list` gives the addresses of the others as known now.
pub struct HttpPeers<F> {
    client: Client,
    limit: Duration,
    list: F,
}

impl<F: Fn() -> Vec<SocketAddr>> HttpPeers<F> {
    /// Creates the client; `limit` is the time for one call.
    pub fn new(client: Client, limit: Duration, list: F) -> Self {
        HttpPeers {
            client,
            limit,
            list,
        }
    }
}

impl<F: Fn() -> Vec<SocketAddr>> Peers for HttpPeers<F> {
    type Id = SocketAddr;

    fn pick(&self, count: usize) -> Vec<SocketAddr> {
        let all = (self.list)();
        all.choose_multiple(&mut rand::rng(), count)
            .copied()
            .collect()
    }

    async fn push(&self, to: &SocketAddr, push: Push) -> Result<Pushed, CallError> {
        self.client
            .call(*to, Incarnation(0), push, self.limit)
            .await
    }

    async fn pull(&self, to: &SocketAddr, pull: Pull) -> Result<Pulled, CallError> {
        self.client
            .call(*to, Incarnation(0), pull, self.limit)
            .await
    }
}
