//! Ends the attempt of a step whose sender disconnects while the step is running.

use crate::session::{EndReason, StepHandle};
use crate::worker::Worker;

/// Guards a running step: if it is dropped while armed, it ends the attempt and cancels its
/// sequence at the engine.
pub(super) struct StepGuard<'a> {
    worker: &'a Worker,
    handle: Option<StepHandle>,
}

impl<'a> StepGuard<'a> {
    pub(super) fn new(worker: &'a Worker, handle: StepHandle) -> Self {
        let handle = Some(handle);
        StepGuard { worker, handle }
    }

    /// Disarms the guard after the step has ended by itself.
    pub(super) fn disarm(&mut self) {
        self.handle = None;
    }
}

impl Drop for StepGuard<'_> {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else {
            return;
        };
        let shared = &self.worker.shared;
        let now = shared.process.now();
        let ended = shared
            .sessions()
            .end_attempt(&handle, EndReason::Abandoned, now);
        self.worker.cancel_sessions(ended);
    }
}
