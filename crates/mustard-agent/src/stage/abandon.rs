//! Ends the attempt of a step whose caller goes away while it runs.

use crate::session::{Ended, Ticket};
use crate::worker::Worker;

/// Guards a running step; dropped while armed, it ends the attempt and cancels its sequence.
pub(super) struct Running<'a> {
    worker: &'a Worker,
    ticket: Option<Ticket>,
}

impl<'a> Running<'a> {
    pub(super) fn new(worker: &'a Worker, ticket: Ticket) -> Self {
        let ticket = Some(ticket);
        Running { worker, ticket }
    }

    /// Leaves the attempt open; the step came to its end.
    pub(super) fn disarm(&mut self) {
        self.ticket = None;
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let shared = &self.worker.shared;
        let now = shared.process.now();
        let closed = shared.sessions().end(&ticket, Ended::Abandoned, now);
        self.worker.cancel_all(closed);
    }
}
