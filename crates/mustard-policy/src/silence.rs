//! Which servers don't answer, and which answers are only held up on the way to this process.
//!
//! A process on a slow link, or short of processor time, reads all answers late. A call that times out
//! then says nothing about the server. So once a call has timed out, another server is called as a
//! control. What arrives at a process arrives in order: if the control is answered and the earlier call
//! isn't, the server is silent. If neither is answered, nothing is known.
//!
//! A link that loses or delays single calls lets controls pass while other answers are missing. Such a link
//! shows itself: servers answer a repeated call that didn't answer the first one. [`Verdicts`] withholds
//! verdicts then, and if too many servers are silent at the same time.

use std::hash::Hash;
use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;

/// How long a verdict may wait for an answer to a control call.
const CONTROL_TIME: Duration = Duration::from_millis(150);
/// The interval between two control calls.
const CONTROL_INTERVAL: Duration = Duration::from_millis(30);

/// How long a call counts in the comparison of silent servers with those that were called.
const WINDOW: Duration = Duration::from_secs(1);
/// The share of the called servers that may be silent before the fault is assumed on this side.
const MAX_SILENT_SHARE: f64 = 1.0 / 3.0;
/// The share of the called servers that may answer only a repeated call; a link that loses a third of all
/// calls loses the first one but not the second one to 2 of 9 servers.
const MAX_REFUTED_SHARE: f64 = 1.0 / 8.0;
/// The least number of such servers from which the share counts. A single one may be slow itself.
const MIN_REFUTED: usize = 2;
/// How long one such server makes each further verdict need one more call.
const CAUTION_TIME: Duration = Duration::from_secs(3);
/// The calls that a server leaves unanswered before it is taken for silent: the first one and a repeated one.
const MIN_CALLS: u32 = 2;
/// The calls that a server answers in a row before verdicts are given again.
const MIN_ANSWERS: u32 = 2;

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

    /// Tells whether the time for a verdict on a server is over that was called first at `sent`.
    pub fn is_over(&self, now: Moment, sent: Moment, timeout: Duration) -> bool {
        now >= sent + timeout + CONTROL_TIME
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

/// The calls to one server in the last second.
#[derive(Clone, Copy, Debug, Default)]
struct Calls {
    called: Moment,
    /// When it last left a call without an answer in time.
    missed: Option<Moment>,
    /// When it answered after that.
    refuted: Option<Moment>,
    /// When it was last taken for silent.
    silent: Option<Moment>,
    /// The calls that it has answered in a row since verdicts are withheld.
    answers: u32,
}

/// Why verdicts are withheld.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Doubt {
    /// The servers that were called within a second.
    pub called: usize,
    /// Those that were found to be silent.
    pub silent: usize,
    /// Those that answered a call only when it was repeated, or after they had been found to be silent.
    pub refuted: usize,
}

/// What to do about a server that is silent by an answered control call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// It is taken for silent.
    Give,
    /// It is called once more, and so is a control after that call is overdue.
    Repeat,
    /// Nothing is known, as the fault is probably on this side.
    Withhold,
}

/// Whether a server is taken for silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ruling {
    /// What to do.
    pub action: Action,
    /// Set if verdicts are withheld from now on.
    pub doubt: Option<Doubt>,
}

/// Withholds verdicts while the fault is probably on this side; `K` identifies a server.
#[derive(Clone, Debug)]
pub struct Verdicts<K> {
    servers: Map<K, Calls>,
    /// Since when verdicts are withheld.
    withheld: Option<Moment>,
    /// When an end of that time last showed that the link is sound; the share of silent servers counts those
    /// found since, so that a whole failure domain that ends is found by and by.
    proven: Moment,
}

impl<K> Default for Verdicts<K> {
    fn default() -> Self {
        Verdicts {
            servers: Map::default(),
            withheld: None,
            proven: Moment::default(),
        }
    }
}

fn is_recent(now: Moment, at: Option<Moment>, time: Duration) -> bool {
    at.is_some_and(|at| now.since(at) < time)
}

impl<K: Copy + Eq + Hash> Verdicts<K> {
    /// Records a call for a report.
    pub fn record_call(&mut self, now: Moment, server: K) {
        let calls = self.servers.entry(server).or_default();
        calls.called = calls.called.max(now);
    }

    /// Records that a server left a call without an answer in time.
    pub fn record_miss(&mut self, now: Moment, server: K) {
        let calls = self.servers.entry(server).or_default();
        calls.missed = Some(now);
        calls.answers = 0;
    }

    /// Records the answer to a call that was sent at `sent`. Two in a row of a server that isn't suspected end
    /// the time in which verdicts are withheld.
    pub fn record_answer(&mut self, now: Moment, sent: Moment, server: K) {
        let calls = self.servers.entry(server).or_default();
        let is_suspected =
            is_recent(now, calls.missed, WINDOW) || is_recent(now, calls.silent, WINDOW);
        if is_suspected {
            calls.refuted = Some(now);
        } else if self.withheld.is_some_and(|since| sent >= since) {
            calls.answers += 1;
            if calls.answers >= MIN_ANSWERS {
                self.withheld = None;
                self.proven = now;
            }
        }
    }

    /// Returns a server that has answered the newest call but not yet enough in a row to end the time in which
    /// verdicts are withheld; it is the next to be called as a control.
    pub fn next_control(&self) -> Option<K> {
        self.withheld?;
        let proving = self.servers.iter().find(|(_, c)| c.answers > 0);
        proving.map(|(server, _)| *server)
    }

    /// Tells whether a server left a call within the last second without an answer in time.
    pub fn is_suspected(&self, now: Moment, server: K) -> bool {
        let calls = self.servers.get(&server);
        calls.is_some_and(|c| is_recent(now, c.missed, WINDOW))
    }

    /// Decides whether a server that has left a number of `calls` without an answer, while a control call was
    /// answered, is taken for silent.
    ///
    /// If another one is silent too, or if one turned out not to be, that takes one more call: a link that loses a
    /// third of all calls loses two in a row to every ninth server.
    pub fn rule(&mut self, now: Moment, server: K, calls: u32) -> Ruling {
        let ruling = |action, doubt| Ruling { action, doubt };
        self.servers.retain(|_, c| {
            let newest = [Some(c.called), c.missed, c.refuted, c.silent];
            newest.iter().any(|at| is_recent(now, *at, CAUTION_TIME))
        });
        let count = |time, moment: fn(&Calls) -> Option<Moment>| {
            let others = self.servers.iter().filter(|(s, _)| **s != server);
            others
                .filter(|(_, c)| is_recent(now, moment(c), time))
                .count()
        };
        let mut doubt = Doubt {
            called: count(WINDOW, |c| Some(c.called)) + 1,
            silent: count(WINDOW, |c| c.silent),
            refuted: count(WINDOW, |c| c.refuted),
        };
        let is_alone = doubt.silent == 0 && count(CAUTION_TIME, |c| c.refuted) == 0;
        if calls < MIN_CALLS + u32::from(!is_alone) {
            return ruling(Action::Repeat, None);
        }
        if self.withheld.is_some() {
            return ruling(Action::Withhold, None);
        }
        let is_refuted = doubt.refuted >= MIN_REFUTED
            && doubt.refuted as f64 > MAX_REFUTED_SHARE * doubt.called as f64;
        if is_refuted {
            return ruling(Action::Withhold, Some(self.withhold(now, doubt)));
        }
        self.servers.entry(server).or_default().silent = Some(now);
        doubt.silent += 1;
        let since_proof = self.servers.values().filter(|c| {
            let is_new = |at| at >= self.proven;
            is_recent(now, c.silent, WINDOW) && c.silent.is_some_and(is_new)
        });
        let is_over = since_proof.count() as f64 > MAX_SILENT_SHARE * doubt.called as f64;
        ruling(Action::Give, is_over.then(|| self.withhold(now, doubt)))
    }

    fn withhold(&mut self, now: Moment, doubt: Doubt) -> Doubt {
        self.withheld = Some(now);
        for calls in self.servers.values_mut() {
            calls.answers = 0;
        }
        doubt
    }
}
