//! The keys that this process is working on, so that repeated calls join instead of racing.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use mustard_core::collections::Map;
use mustard_core::fingerprint::Fingerprint;
use mustard_proto::Refusal;
use mustard_proto::agent::CallAnswer;

use super::Result;

/// Receives the result of a running call; none until the call has finished.
pub(super) type ResultReceiver = watch::Receiver<Option<Result<CallAnswer>>>;

/// The state of a key in memory.
#[derive(Debug)]
enum Slot {
    /// A call runs, or the key is being closed. The fingerprint is missing in the second case.
    Running(Option<Fingerprint>, ResultReceiver),
    /// The call ran and its result is being written to the table. Holds the fingerprint of the
    /// request's content.
    Answered(Option<Fingerprint>, Arc<CallAnswer>),
    /// The call did not run, so its claim is released; the row is being written.
    Releasing,
}

/// The answer to a task that wants to work on a key.
#[derive(Debug)]
pub(super) enum KeyStatus {
    /// The key was idle and now belongs to the asking task.
    Acquired(KeyGuard),
    /// Another task works on the key.
    Running(ResultReceiver),
    /// The call ran and this is its answer.
    Answered(Arc<CallAnswer>),
    /// The key is not available until the table has stored its release.
    Releasing,
    /// The key is used by a request with another fingerprint.
    Reused,
}

/// What stays in memory about a key when the work on it ends.
#[derive(Debug)]
pub(super) enum RetainedState {
    /// Nothing; the table holds all that is known.
    Nothing,
    /// The answer, until it is written to the table.
    Answer(Option<Fingerprint>, CallAnswer),
    /// A mark that the claim is being released.
    Releasing,
}

/// All keys with work in flight or an unwritten result.
#[derive(Debug, Default)]
pub(super) struct InFlight {
    slots: Mutex<Map<String, Slot>>,
}

/// The exclusive right to work on a key. If it is dropped before [`KeyGuard::finish`], the calls
/// that joined get [`Refusal::InDoubt`].
#[derive(Debug)]
pub(super) struct KeyGuard {
    in_flight: Arc<InFlight>,
    key: String,
    sender: watch::Sender<Option<Result<CallAnswer>>>,
    finished: bool,
}

impl InFlight {
    /// Acquires a key, or returns the state of the work on it.
    pub(super) fn acquire(
        self: &Arc<Self>,
        key: &str,
        fingerprint: Option<Fingerprint>,
    ) -> KeyStatus {
        let mut slots = self.lock();
        match slots.get(key) {
            Some(Slot::Running(f, _) | Slot::Answered(f, _))
                if fingerprints_differ(*f, fingerprint) =>
            {
                KeyStatus::Reused
            }
            Some(Slot::Running(_, receiver)) => KeyStatus::Running(receiver.clone()),
            Some(Slot::Answered(_, answer)) => KeyStatus::Answered(Arc::clone(answer)),
            Some(Slot::Releasing) => KeyStatus::Releasing,
            None => {
                let (sender, receiver) = watch::channel(None);
                slots.insert(key.to_owned(), Slot::Running(fingerprint, receiver));
                KeyStatus::Acquired(KeyGuard {
                    in_flight: Arc::clone(self),
                    key: key.to_owned(),
                    sender,
                    finished: false,
                })
            }
        }
    }

    /// Removes a key, for example after its row has been written.
    pub(super) fn remove(&self, key: &str) {
        self.lock().remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, Map<String, Slot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells whether two fingerprints are known and not the same.
pub(super) fn fingerprints_differ(a: Option<Fingerprint>, b: Option<Fingerprint>) -> bool {
    matches!((a, b), (Some(a), Some(b)) if a != b)
}

impl KeyGuard {
    /// Ends the work on the key and sends the result to the calls that joined.
    pub(super) fn finish(mut self, result: Result<CallAnswer>, retained: RetainedState) {
        self.finished = true;
        let slot = match retained {
            RetainedState::Nothing => None,
            RetainedState::Answer(fingerprint, answer) => {
                Some(Slot::Answered(fingerprint, Arc::new(answer)))
            }
            RetainedState::Releasing => Some(Slot::Releasing),
        };
        let mut slots = self.in_flight.lock();
        match slot {
            Some(slot) => slots.insert(self.key.clone(), slot),
            None => slots.remove(&self.key),
        };
        drop(slots);
        self.sender.send_replace(Some(result));
    }
}

impl Drop for KeyGuard {
    fn drop(&mut self) {
        if !self.finished {
            self.in_flight.remove(&self.key);
            self.sender.send_replace(Some(Err(Refusal::InDoubt)));
        }
    }
}
