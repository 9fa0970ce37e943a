//! Which servers an entry process knows in detail.
//!
//! Each server is known by the same number of entry processes of its failure domain, those that
//! come first by rendezvous hash, so load spreads evenly over servers and few pairs change when
//! a process or server joins or leaves. A process that this leaves without enough servers for
//! some layers of a model adds the servers that come first by its own hash.

use std::hash::Hasher;

use rustc_hash::FxHasher;

use mustard_core::collections::Map;

/// The least number of servers that a process knows for the same work, if there are as many.
const MIN_PER_GROUP: usize = 3;

/// An entry process as a candidate.
#[derive(Clone, Copy, Debug)]
pub struct Process<'a> {
    /// The name.
    pub name: &'a str,
    /// The failure domain.
    pub domain: &'a str,
}

/// A server as a candidate.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The VM.
    pub vm: &'a str,
    /// The failure domain.
    pub domain: &'a str,
    /// Equal for servers that do the same work, such as layers of a model.
    pub group: u64,
}

/// Returns the indices of the servers that a process knows, in ascending order.
///
/// `size` is the number of servers that a process should know; with fewer servers in all, it
/// knows every one.
pub fn choose(
    own: Process,
    processes: &[Process],
    servers: &[Candidate],
    size: usize,
) -> Vec<usize> {
    if servers.len() <= size {
        return (0..servers.len()).collect();
    }
    let near: Vec<Process> = processes
        .iter()
        .copied()
        .filter(|p| p.domain == own.domain)
        .collect();
    let in_domain = servers.iter().filter(|s| s.domain == own.domain).count();
    let known_by = (size * near.len().max(1)).div_ceil(in_domain.max(1));
    let mut chosen = vec![false; servers.len()];
    for (i, server) in servers.iter().enumerate() {
        chosen[i] = server.domain == own.domain && is_first(own, &near, server, known_by);
    }
    cover(own, servers, &mut chosen);
    (0..servers.len()).filter(|&i| chosen[i]).collect()
}

/// Returns the process that comes first for an item by rendezvous hash.
pub fn first_by_hash<'a>(item: &str, processes: &[&'a str]) -> Option<&'a str> {
    let ranked = |process: &&'a str| (rank(item, process), *process);
    processes.iter().copied().max_by_key(ranked)
}

/// Tells whether a process is among the first `count` for a server.
fn is_first(own: Process, near: &[Process], server: &Candidate, count: usize) -> bool {
    let own_rank = rank(own.name, server.vm);
    let before = near
        .iter()
        .filter(|p| (rank(p.name, server.vm), p.name) > (own_rank, own.name))
        .count();
    before < count
}

/// Adds servers to each group that has too few.
fn cover(own: Process, servers: &[Candidate], chosen: &mut [bool]) {
    let mut groups: Map<u64, Vec<usize>> = Map::default();
    for (i, server) in servers.iter().enumerate() {
        groups.entry(server.group).or_default().push(i);
    }
    for members in groups.values_mut() {
        let have = members.iter().filter(|&&i| chosen[i]).count();
        let missing = MIN_PER_GROUP.saturating_sub(have);
        if missing == 0 {
            continue;
        }
        members.retain(|&i| !chosen[i]);
        members.sort_by_key(|&i| {
            let server = &servers[i];
            let far = server.domain != own.domain;
            (far, rank(server.vm, own.name), server.vm)
        });
        for &i in members.iter().take(missing) {
            chosen[i] = true;
        }
    }
}

fn rank(a: &str, b: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(a.as_bytes());
    hasher.write_u8(0);
    hasher.write(b.as_bytes());
    mix(hasher.finish())
}

/// Spreads every bit of a hash over all bits of the result.
pub(crate) fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
