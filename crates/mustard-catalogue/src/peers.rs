//! Calls to other entry processes for catalogue synchronization.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;

use mustard_core::ids::Incarnation;
use mustard_net::{CallError, MessageClient};
use mustard_proto::catalogue::{PullAnswer, PullChanges, PushAnswer, PushChanges};

/// Sends catalogue messages to peer processes.
#[allow(async_fn_in_trait)]
pub trait Peers {
    /// Identifies a peer.
    type Id: Clone;

    /// Returns at most `count` distinct peers, picked at random.
    fn pick(&self, count: usize) -> Vec<Self::Id>;

    /// Sends changes to a peer.
    async fn push(&self, to: &Self::Id, push: PushChanges) -> Result<PushAnswer, CallError>;

    /// Asks a peer for changes.
    async fn pull(&self, to: &Self::Id, pull: PullChanges) -> Result<PullAnswer, CallError>;
}

/// Peers reached over HTTP; `list` returns the addresses of the currently known peers.
pub struct HttpPeers<F> {
    client: MessageClient,
    timeout: Duration,
    list: F,
}

impl<F: Fn() -> Vec<SocketAddr>> HttpPeers<F> {
    /// Creates the peers; `timeout` limits each call.
    pub fn new(client: MessageClient, timeout: Duration, list: F) -> Self {
        HttpPeers {
            client,
            timeout,
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

    async fn push(&self, to: &SocketAddr, push: PushChanges) -> Result<PushAnswer, CallError> {
        self.client
            .call(*to, Incarnation(0), push, self.timeout)
            .await
    }

    async fn pull(&self, to: &SocketAddr, pull: PullChanges) -> Result<PullAnswer, CallError> {
        self.client
            .call(*to, Incarnation(0), pull, self.timeout)
            .await
    }
}
