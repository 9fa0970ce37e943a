//! Separation of suspect contents: on which servers each entry process runs them.
//!
//! The content of a request is suspect if a server died while it ran that content, because the
//! content may have crashed the server; see [`quarantine`](crate::quarantine). A further death
//! shows which content caused it only if no other suspect content ran at that server. Within one
//! entry process, new requests with suspect contents run one at a time. Between entry processes,
//! the servers are divided: each ready server among those with the same layers is reserved for one
//! process, the first by rendezvous hash that doesn't have its share yet. This needs no messages,
//! and a server that joins or leaves changes few other reservations.

use mustard_core::collections::Map;

use crate::fleet::{Fleet, Group, ServerKey, State};
use crate::subset::first_by_hash;

/// Returns the servers of a model at which the entry process `own_name` runs no suspect contents,
/// because they are reserved for other entry processes.
///
/// `processes` names all live entry processes. If no ready server of a group is reserved for
/// `own_name`, that process may use all servers of the group.
pub fn reserved_elsewhere(
    fleet: &Fleet,
    model: &str,
    own_name: &str,
    processes: &[&str],
) -> Vec<ServerKey> {
    let groups = fleet.groups(model).iter();
    groups
        .flat_map(|group| reserved_in_group(fleet, group, own_name, processes))
        .collect()
}

fn reserved_in_group(
    fleet: &Fleet,
    group: &Group,
    own_name: &str,
    processes: &[&str],
) -> Vec<ServerKey> {
    let (reserved, others): (Vec<_>, Vec<_>) = assign_owners(fleet, group, processes)
        .into_iter()
        .partition(|(_, owner)| *owner == own_name);
    if reserved.is_empty() {
        return Vec::new();
    }
    others.into_iter().map(|(key, _)| key).collect()
}

/// Assigns each ready server of a group to an entry process; none gets more than its share,
/// rounded up.
fn assign_owners<'a>(
    fleet: &Fleet,
    group: &Group,
    processes: &[&'a str],
) -> Vec<(ServerKey, &'a str)> {
    let ready_vm = |key: &ServerKey| {
        let server = fleet.get(*key)?;
        let is_ready = server.stats().state() == State::Ready;
        is_ready.then(|| (server.info().vm.as_str(), *key))
    };
    let mut servers: Vec<_> = group.servers.iter().filter_map(ready_vm).collect();
    servers.sort_unstable_by_key(|(vm, _)| *vm);
    let share = servers.len().div_ceil(processes.len().max(1));
    let mut counts: Map<&str, usize> = Map::default();
    let mut owned = Vec::with_capacity(servers.len());
    for (vm, key) in servers {
        let has_room = |e: &&&str| counts.get(**e).copied().unwrap_or(0) < share;
        let candidates: Vec<&str> = processes.iter().filter(has_room).copied().collect();
        if let Some(owner) = first_by_hash(vm, &candidates) {
            *counts.entry(owner).or_default() += 1;
            owned.push((key, owner));
        }
    }
    owned
}
