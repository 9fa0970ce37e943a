//! Separation of suspect contents: on which servers each entry process runs them.
//!
//! A server's death shows which content caused it only if no other suspect content ran there.
//! Within one process, suspect contents take turns. Between processes the servers are divided:
//! each ready server among those with the same layers is reserved for one entry process, the first
//! by rendezvous hash that doesn't have its share yet. This needs no messages, and a server that
//! joins or leaves changes few other reservations.

use mustard_core::collections::Map;

use crate::fleet::{Fleet, Group, ServerKey, State};
use crate::subset::first_by_hash;

/// Returns the servers of a model at which the entry process `own` runs no suspect contents,
/// because they are reserved for other entry processes.
///
/// `entries` names all live entry processes. Where no ready server of a group is reserved for
/// `own`, it may use all of them.
pub fn reserved_elsewhere(
    fleet: &Fleet,
    model: &str,
    own: &str,
    entries: &[&str],
) -> Vec<ServerKey> {
    let groups = fleet.groups(model).iter();
    groups
        .flat_map(|group| reserved_in_group(fleet, group, own, entries))
        .collect()
}

fn reserved_in_group(fleet: &Fleet, group: &Group, own: &str, entries: &[&str]) -> Vec<ServerKey> {
    let (reserved, others): (Vec<_>, Vec<_>) = assign_owners(fleet, group, entries)
        .into_iter()
        .partition(|(_, owner)| *owner == own);
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
    entries: &[&'a str],
) -> Vec<(ServerKey, &'a str)> {
    let ready_vm = |key: &ServerKey| {
        let server = fleet.get(*key)?;
        let is_ready = server.stats().state() == State::Ready;
        is_ready.then(|| (server.info().vm.as_str(), *key))
    };
    let mut servers: Vec<_> = group.servers.iter().filter_map(ready_vm).collect();
    servers.sort_unstable_by_key(|(vm, _)| *vm);
    let share = servers.len().div_ceil(entries.len().max(1));
    let mut counts: Map<&str, usize> = Map::default();
    let mut owned = Vec::with_capacity(servers.len());
    for (vm, key) in servers {
        let has_room = |e: &&&str| counts.get(**e).copied().unwrap_or(0) < share;
        let candidates: Vec<&str> = entries.iter().filter(has_room).copied().collect();
        if let Some(owner) = first_by_hash(vm, &candidates) {
            *counts.entry(owner).or_default() += 1;
            owned.push((key, owner));
        }
    }
    owned
}
