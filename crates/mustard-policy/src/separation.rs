//! Where each entry process runs suspect contents.
//!
//! A death shows which content caused it only if no other suspect ran at the server. Within one
//! process suspects take turns; between processes the servers are divided: among the ready servers
//! with the same layers each is reserved for one entry process, the first by rendezvous hash that has
//! no more than its share yet. No message is needed for it, and a server that joins or leaves
//! moves few others.

use mustard_core::collections::Map;

use crate::fleet::{Fleet, Group, ServerKey, State};
use crate::subset::first_by_hash;

/// Returns the servers of a model at which `own` runs no suspect contents, as they are reserved
/// for other entry processes.
///
/// `entries` names all live entry processes. Nothing is withheld where no server that is ready
/// would be left.
pub fn reserved_elsewhere(
    fleet: &Fleet,
    model: &str,
    own: &str,
    entries: &[&str],
) -> Vec<ServerKey> {
    let groups = fleet.groups(model).iter();
    groups
        .flat_map(|group| reserved_in(fleet, group, own, entries))
        .collect()
}

fn reserved_in(fleet: &Fleet, group: &Group, own: &str, entries: &[&str]) -> Vec<ServerKey> {
    let (kept, withheld): (Vec<_>, Vec<_>) = owners(fleet, group, entries)
        .into_iter()
        .partition(|(_, owner)| *owner == own);
    if kept.is_empty() {
        return Vec::new();
    }
    withheld.into_iter().map(|(key, _)| key).collect()
}

/// Assigns each ready server of a group to an entry process, none more than its share rounded up.
fn owners<'a>(fleet: &Fleet, group: &Group, entries: &[&'a str]) -> Vec<(ServerKey, &'a str)> {
    let named = |key: &ServerKey| {
        let server = fleet.get(*key)?;
        let is_ready = server.live().state() == State::Ready;
        is_ready.then(|| (server.facts().vm.as_str(), *key))
    };
    let mut servers: Vec<_> = group.servers.iter().filter_map(named).collect();
    servers.sort_unstable_by_key(|(vm, _)| *vm);
    let share = servers.len().div_ceil(entries.len().max(1));
    let mut taken: Map<&str, usize> = Map::default();
    let mut owned = Vec::with_capacity(servers.len());
    for (vm, key) in servers {
        let free = |e: &&&str| taken.get(**e).copied().unwrap_or(0) < share;
        let candidates: Vec<&str> = entries.iter().filter(free).copied().collect();
        if let Some(owner) = first_by_hash(vm, &candidates) {
            *taken.entry(owner).or_default() += 1;
            owned.push((key, owner));
        }
    }
    owned
}
