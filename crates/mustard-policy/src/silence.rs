//! Which servers don't answer, and which answers are only held up on the way to this process.
//!
//! A process on a slow link, or short of processor time, reads all answers late. A call that times out
//! then says nothing about the server. So once a call has timed out, another server is called as a
//! control. What arrives at a process arrives in order: if the control is answered and the earlier call
//! isn't, the server is silent. If neither is answered, nothing is known.

use std::time::Duration;

use mustard_core::clock::Moment;

/// How long a verdict may wait for an answer to a control call.
const CONTROL_TIME: Duration = Duration::from_millis(150);
/// The interval between two control calls.
const CONTROL_INTERVAL: Duration = Duration::from_millis(30);

/// What is known of a server that was called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may still answer in time, or the control call may.
    Pending,
    /// It didn't answer, while another server answered a later call.
    Silent,
    /// No server answered, so that the fault is on this side.
    Unknown,
}

/// The answered calls of this process, and its control calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerLog {
    newest_sent: Moment,
    last_control: Option<Moment>,
}

impl AnswerLog {
    /// Records the answer to a call that was sent at a moment.
    pub fn record_answer(&mut self, sent: Moment) {
        self.newest_sent = self.newest_sent.max(sent);
    }

    /// Judges a server that has not answered a call yet; `timeout` is the time within which a live
    /// server answers.
    pub fn judge(&self, now: Moment, sent: Moment, timeout: Duration) -> Verdict {
        let overdue = sent + timeout;
        if self.newest_sent > overdue {
            Verdict::Silent
        } else if now < overdue + CONTROL_TIME {
            Verdict::Pending
        } else {
            Verdict::Unknown
        }
    }

    /// Tells whether another server is to be called as a control for a call that timed out, and records
    /// that it is. All calls that time out at about the same time share one control.
    pub fn begin_control(&mut self, now: Moment) -> bool {
        let is_due = self
            .last_control
            .is_none_or(|at| now.since(at) >= CONTROL_INTERVAL);
        if is_due {
            self.last_control = Some(now);
        }
        is_due
    }
}
