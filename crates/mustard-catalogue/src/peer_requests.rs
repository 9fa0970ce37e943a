//! Answers messages in which peers push catalogue changes or ask for them.

use mustard_proto::catalogue::{PullAnswer, PullChanges, PushAnswer, PushChanges};

use crate::store::CatalogueStore;

/// Applies the changes that a peer pushed.
///
/// Changes that came into force wake the synchronization, which pushes them on to other peers;
/// changes that do not follow those in force wake it to fetch the missing ones.
pub fn answer_push(store: &CatalogueStore, push: &PushChanges) -> PushAnswer {
    let applied = store.apply(&push.changes);
    if let Some(last) = push.changes.last() {
        if store.seq() >= last.seq {
            store.confirmations().record_peer(push.confirmed_ms);
        } else {
            store.process().observe(store.process().tick(), last.seq);
        }
    }
    if applied.gap || !applied.changes.is_empty() {
        store.wake_sync();
    }
    PushAnswer { seq: store.seq() }
}

/// Returns the changes that a peer lacks.
pub fn answer_pull(store: &CatalogueStore, pull: &PullChanges) -> PullAnswer {
    PullAnswer {
        confirmed_ms: store.confirmations().age_ms(),
        delta: store.changes_after(pull.after),
    }
}
