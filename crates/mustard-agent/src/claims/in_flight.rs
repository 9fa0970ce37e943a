//! The keys that this process works on now, so that repeats join instead of racing.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use mustard_core::collections::Map;
use mustard_core::fingerprint::Fingerprint;
use mustard_proto::Refusal;
use mustard_proto::agent::CallAnswer;

use super::Result;

/// Carries the result of a running call to those who joined it.
pub(super) type Joined = watch::Receiver<Option<Result<CallAnswer>>>;

#[derive(Debug)]
enum Slot {
    /// Somebody works on the key.
    Running(Option<Fingerprint>, Joined),
    /// The call ran and its record is being written.
    Kept(Option<Fingerprint>, Arc<CallAnswer>),
    /// The claim was given up and its row is being freed.
    Freeing,
}

/// What a newcomer to a key finds.
#[derive(Debug)]
pub(super) enum Found {
    /// Nobody works on the key; the newcomer does from now on.
    Mine(Hold),
    /// Somebody runs the call.
    Running(Joined),
    /// The call ran.
    Kept(Arc<CallAnswer>),
    /// The key is not available until the table answers.
    Freeing,
    /// The key belongs to another content.
    Reused,
}

/// What remains of a key when the work on it ends.
#[derive(Debug)]
pub(super) enum Rest {
    /// Nothing; the table has all that is known.
    Nothing,
    /// The answer, until it is written.
    Kept(Option<Fingerprint>, CallAnswer),
    /// The mark that the row is being freed.
    Freeing,
}

/// All keys in work.
#[derive(Debug, Default)]
pub(super) struct InFlight {
    slots: Mutex<Map<String, Slot>>,
}

/// The right to work on a key; dropped unfinished, it leaves those who joined in doubt.
#[derive(Debug)]
pub(super) struct Hold {
    in_flight: Arc<InFlight>,
    key: String,
    tell: watch::Sender<Option<Result<CallAnswer>>>,
    ended: bool,
}

impl InFlight {
    /// Takes a key for work, or finds who has it.
    pub(super) fn enter(self: &Arc<Self>, key: &str, content: Option<Fingerprint>) -> Found {
        let mut slots = self.lock();
        match slots.get(key) {
            Some(Slot::Running(f, _) | Slot::Kept(f, _)) if differ(*f, content) => Found::Reused,
            Some(Slot::Running(_, joined)) => Found::Running(joined.clone()),
            Some(Slot::Kept(_, answer)) => Found::Kept(Arc::clone(answer)),
            Some(Slot::Freeing) => Found::Freeing,
            None => {
                let (tell, joined) = watch::channel(None);
                slots.insert(key.to_owned(), Slot::Running(content, joined));
                Found::Mine(Hold {
                    in_flight: Arc::clone(self),
                    key: key.to_owned(),
                    tell,
                    ended: false,
                })
            }
        }
    }

    /// Forgets a key whose row has been written.
    pub(super) fn forget(&self, key: &str) {
        self.lock().remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, Map<String, Slot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells whether two contents are known and not the same.
pub(super) fn differ(a: Option<Fingerprint>, b: Option<Fingerprint>) -> bool {
    matches!((a, b), (Some(a), Some(b)) if a != b)
}

impl Hold {
    /// Ends the work on the key and tells those who joined.
    pub(super) fn end(mut self, result: Result<CallAnswer>, rest: Rest) {
        self.ended = true;
        let slot = match rest {
            Rest::Nothing => None,
            Rest::Kept(content, answer) => Some(Slot::Kept(content, Arc::new(answer))),
            Rest::Freeing => Some(Slot::Freeing),
        };
        let mut slots = self.in_flight.lock();
        match slot {
            Some(slot) => slots.insert(self.key.clone(), slot),
            None => slots.remove(&self.key),
        };
        drop(slots);
        self.tell.send_replace(Some(result));
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        if !self.ended {
            self.in_flight.forget(&self.key);
            self.tell.send_replace(Some(Err(Refusal::InDoubt)));
        }
    }
}
