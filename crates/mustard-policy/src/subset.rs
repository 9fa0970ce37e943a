//! Choice of the subset of servers that an entry process uses.
//!
//! Each server is in the subsets of the same number of entry processes of its failure domain,
//! those that come first by rendezvous hash. Load thus spreads evenly over the servers, and few
//! pairs of process and server change when one of them joins or leaves. A process that gets too few
//! servers for some layers of a model this way adds the servers that rank first for it.

use std::hash::Hasher;

use rustc_hash::FxHasher;

use mustard_core::collections::Map;

/// The least number of servers of a group in a subset, if the group has that many.
const MIN_PER_GROUP: usize = 3;

/// An entry process, as it takes part in the choice.
#[derive(Clone, Copy, Debug)]
pub struct EntryProcess<'a> {
    /// The name of the process.
    pub name: &'a str,
    /// The name of its failure domain.
    pub domain: &'a str,
}

/// A server that may be in a subset.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The name of the server's VM.
    pub vm: &'a str,
    /// The name of its failure domain.
    pub domain: &'a str,
    /// A number that is equal for servers with the same work, such as the same layers of a model.
    pub group: u64,
}

/// Returns the indices of the servers in the subset of `own_process`, in ascending order.
///
/// `size` is the wanted size of the subset; if there are no more servers, it has all of them.
pub fn choose_subset(
    own_process: EntryProcess,
    processes: &[EntryProcess],
    servers: &[Candidate],
    size: usize,
) -> Vec<usize> {
    if servers.len() <= size {
        return (0..servers.len()).collect();
    }
    let same_domain: Vec<EntryProcess> = processes
        .iter()
        .copied()
        .filter(|p| p.domain == own_process.domain)
        .collect();
    let server_count = servers
        .iter()
        .filter(|s| s.domain == own_process.domain)
        .count();
    let processes_per_server = (size * same_domain.len().max(1)).div_ceil(server_count.max(1));
    let mut chosen = vec![false; servers.len()];
    for (i, server) in servers.iter().enumerate() {
        chosen[i] = server.domain == own_process.domain
            && ranks_first(own_process, &same_domain, server, processes_per_server);
    }
    fill_groups(own_process, servers, &mut chosen);
    (0..servers.len()).filter(|&i| chosen[i]).collect()
}

/// Returns the process that ranks first for an item by rendezvous hash.
pub fn first_by_hash<'a>(item: &str, processes: &[&'a str]) -> Option<&'a str> {
    let ranked = |process: &&'a str| (rank(item, process), *process);
    processes.iter().copied().max_by_key(ranked)
}

/// Returns the place of a process in the order by rendezvous hash for an item, counted from zero.
pub fn rank_by_hash(item: &str, own_name: &str, others: &[&str]) -> usize {
    let own_rank = (rank(item, own_name), own_name);
    let before = others.iter().filter(|o| (rank(item, o), **o) > own_rank);
    before.count()
}

/// Returns whether a process ranks among the first `count` for a server; `processes` are those of
/// the server's failure domain.
fn ranks_first(
    own_process: EntryProcess,
    processes: &[EntryProcess],
    server: &Candidate,
    count: usize,
) -> bool {
    let own_rank = rank(own_process.name, server.vm);
    let before = processes
        .iter()
        .filter(|p| (rank(p.name, server.vm), p.name) > (own_rank, own_process.name))
        .count();
    before < count
}

/// Adds servers to the subset from each group of which it has too few.
fn fill_groups(own_process: EntryProcess, servers: &[Candidate], chosen: &mut [bool]) {
    let mut groups: Map<u64, Vec<usize>> = Map::default();
    for (i, server) in servers.iter().enumerate() {
        groups.entry(server.group).or_default().push(i);
    }
    for members in groups.values_mut() {
        let present = members.iter().filter(|&&i| chosen[i]).count();
        let missing = MIN_PER_GROUP.saturating_sub(present);
        if missing == 0 {
            continue;
        }
        members.retain(|&i| !chosen[i]);
        members.sort_by_key(|&i| {
            let server = &servers[i];
            let is_remote = server.domain != own_process.domain;
            (is_remote, rank(server.vm, own_process.name), server.vm)
        });
        for &i in members.iter().take(missing) {
            chosen[i] = true;
        }
    }
}

/// Returns the rendezvous hash of two names.
fn rank(a: &str, b: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(a.as_bytes());
    hasher.write_u8(0);
    hasher.write(b.as_bytes());
    mix_bits(hasher.finish())
}

/// Mixes the bits of a hash so that each one affects all bits of the result.
pub(crate) fn mix_bits(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
