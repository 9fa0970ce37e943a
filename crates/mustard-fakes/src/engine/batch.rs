//! The batch loop: every queued step joins the next batch in which it fits.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;

use crate::fault::Faults;

use super::flags::EngineFlags;
use super::state::{EngineState, PendingStep};

const POISONED_EXIT_CODE: i32 = 1;

/// The engine as the HTTP server and the thread of the batch loop share it.
pub(super) struct SharedEngine {
    pub(super) flags: EngineFlags,
    pub(super) faults: Faults,
    state: Mutex<EngineState>,
    step_queued: Condvar,
    closed: AtomicBool,
}

impl SharedEngine {
    pub(super) fn new(flags: EngineFlags) -> Self {
        SharedEngine {
            state: Mutex::new(EngineState::new(&flags)),
            faults: Faults::default(),
            step_queued: Condvar::new(),
            closed: AtomicBool::new(false),
            flags,
        }
    }

    /// Locks the engine's state.
    pub(super) fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a step and wakes the batch loop.
    pub(super) fn submit(&self, step: PendingStep) {
        self.lock().queue.push(step);
        self.step_queued.notify_one();
    }

    /// Stops the batch loop.
    pub(super) fn close(&self) {
        let _state = self.lock();
        self.closed.store(true, Ordering::SeqCst);
        self.step_queued.notify_all();
    }

    /// Waits for the steps of the next batch; returns none once the engine is closed.
    fn wait_for_batch(&self) -> Option<Vec<PendingStep>> {
        let mut state = self.lock();
        while !self.closed.load(Ordering::SeqCst) {
            let batch = state.next_batch();
            if !batch.is_empty() {
                return Some(batch);
            }
            // `next_batch` keeps a step back only if another one joins the batch, so the queue is
            // empty here.
            state = self
                .step_queued
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        None
    }
}

/// Runs batches until the engine is closed.
pub(super) fn run_batches(shared: &SharedEngine) {
    while let Some(batch) = shared.wait_for_batch() {
        while let Some(left) = shared.faults.freeze_left() {
            thread::sleep(left);
        }
        let (time, poisoned) = {
            let state = shared.lock();
            (state.batch_time(&batch), state.is_poisoned(&batch))
        };
        let time = shared.faults.scale_time(time);
        thread::sleep(time);
        if poisoned {
            std::process::exit(POISONED_EXIT_CODE);
        }
        let mut state = shared.lock();
        let results: Vec<_> = batch.iter().map(|step| state.run_step(step)).collect();
        state.end_batch(time);
        drop(state);
        for (step, result) in batch.into_iter().zip(results) {
            let _ = step.reply.send(result);
        }
    }
}
