//! Answers to peers that hand over or ask for changes.

use mustard_proto::catalogue::{Pull, Pulled, Push, Pushed};

use crate::store::Store;

/// Takes changes from a peer.
///
/// Changes that do not follow those in force start a round of the synchronization instead.
pub fn take_push(store: &Store, push: &Push) -> Pushed {
    let applied = store.apply(&push.changes);
    if let Some(last) = push.changes.last() {
        if store.seq() >= last.seq {
            store.confirm().by_peer(push.confirmed_ms);
        } else {
            store.process().observe(store.process().tick(), last.seq);
        }
    }
    if applied.gap || !applied.changes.is_empty() {
        store.wake();
    }
    Pushed { seq: store.seq() }
}

/// Answers a peer that asks for changes.
pub fn answer_pull(store: &Store, pull: &Pull) -> Pulled {
    Pulled {
        confirmed_ms: store.confirm().age_ms(),
        delta: store.delta(pull.after),
    }
}
