//! The loop that runs batches: every ready step joins the next one.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;

use crate::fault::Faults;

use super::flags::EngineFlags;
use super::state::{Job, State};

const KILLED: i32 = 1;

/// What the server and the batch loop share.
pub(super) struct Shared {
    pub(super) flags: EngineFlags,
    pub(super) faults: Faults,
    state: Mutex<State>,
    ready: Condvar,
    closed: AtomicBool,
}

impl Shared {
    pub(super) fn new(flags: EngineFlags) -> Self {
        Shared {
            state: Mutex::new(State::new(&flags)),
            faults: Faults::default(),
            ready: Condvar::new(),
            closed: AtomicBool::new(false),
            flags,
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn submit(&self, job: Job) {
        self.lock().queue.push(job);
        self.ready.notify_one();
    }

    /// Ends the batch loop.
    pub(super) fn close(&self) {
        let _state = self.lock();
        self.closed.store(true, Ordering::SeqCst);
        self.ready.notify_all();
    }

    /// Waits for the steps of the next batch; none once the engine is closed.
    fn wait_batch(&self) -> Option<Vec<Job>> {
        let mut state = self.lock();
        while !self.closed.load(Ordering::SeqCst) {
            let batch = state.next_batch();
            if !batch.is_empty() {
                return Some(batch);
            }
            // A step of a sequence that is in no batch waits for nothing, so the queue is empty.
            state = self
                .ready
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        None
    }
}

/// Runs batches until the engine is closed.
pub(super) fn run(shared: &Shared) {
    while let Some(batch) = shared.wait_batch() {
        while let Some(left) = shared.faults.frozen() {
            thread::sleep(left);
        }
        let (time, kills) = {
            let state = shared.lock();
            (state.batch_time(&batch), state.kills(&batch))
        };
        let time = shared.faults.stretch(time);
        thread::sleep(time);
        if kills {
            std::process::exit(KILLED);
        }
        let mut state = shared.lock();
        let done: Vec<_> = batch.iter().map(|job| state.run(job)).collect();
        state.end_batch(time);
        drop(state);
        for (job, result) in batch.into_iter().zip(done) {
            let _ = job.reply.send(result);
        }
    }
}
