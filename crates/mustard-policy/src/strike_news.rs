//! Which processes are told at once that a server ended under a content.
//!
//! Servers may end under a content at one process each, while they end under hundreds of others too. So that
//! these ends add up, each is told to the few processes that collect those of the content: its collectors,
//! which all processes choose alike by rendezvous hash. A process that finds that a content may no longer
//! run tells all others.

use mustard_core::fingerprint::Fingerprint;

use crate::subset::first_by_hash;

/// The number of collectors; some of them may be unreachable, or unknown to other processes.
const COLLECTORS: usize = 3;

/// What other processes are to be told; `T` is the evidence of one end.
#[derive(Clone, Debug)]
pub struct StrikeNews<T> {
    seen: Vec<(Fingerprint, T)>,
    settled: Vec<Fingerprint>,
}

impl<T> Default for StrikeNews<T> {
    fn default() -> Self {
        StrikeNews {
            seen: Vec::new(),
            settled: Vec::new(),
        }
    }
}

impl<T: Clone> StrikeNews<T> {
    /// Records an end that this process has seen.
    pub fn record_seen(&mut self, content: Fingerprint, strike: T) {
        self.seen.push((content, strike));
    }

    /// Records that this process has found that a content may no longer run.
    pub fn record_settled(&mut self, content: Fingerprint) {
        if !self.settled.contains(&content) {
            self.settled.push(content);
        }
    }

    /// Returns whether there is nothing to be told.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty() && self.settled.is_empty()
    }

    /// Removes the ends that were seen here, and returns those that each of `peers` collects, by the peer's
    /// index. `own_name` and `peers` are the names of the processes that are alive.
    pub fn take_seen(&mut self, own_name: &str, peers: &[&str]) -> Vec<(usize, Vec<T>)> {
        let mut told: Vec<(usize, Vec<T>)> = Vec::new();
        for (content, strike) in self.seen.drain(..) {
            for peer in collectors(content, own_name, peers) {
                match told.iter_mut().find(|(p, _)| *p == peer) {
                    Some((_, strikes)) => strikes.push(strike.clone()),
                    None => told.push((peer, vec![strike.clone()])),
                }
            }
        }
        told
    }

    /// Removes the contents that may no longer run, and returns them.
    pub fn take_settled(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.settled)
    }
}

/// Returns the indices of the peers that collect the ends under a content.
fn collectors(content: Fingerprint, own_name: &str, peers: &[&str]) -> Vec<usize> {
    let item = content.to_string();
    let mut names: Vec<&str> = peers.to_vec();
    names.push(own_name);
    let mut chosen = Vec::new();
    for _ in 0..COLLECTORS {
        let Some(first) = first_by_hash(&item, &names) else {
            break;
        };
        names.retain(|n| *n != first);
        chosen.extend(peers.iter().position(|p| *p == first));
    }
    chosen
}
