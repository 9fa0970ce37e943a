//! Membership: which servers are ready, suspect, leaving or dead, by heartbeats, calls and the
//! platform's list of VMs.
//!
//! The platform's list lags, heartbeats get lost, and calls fail for other reasons than a dead
//! server, so each source changes a member's state only as far as it can be trusted. A flap is a
//! change from ready to suspect. With each further flap in short succession a member needs more
//! successes in a row before it is ready again, so that work does not move back and forth.

use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::ids::Incarnation;

use crate::fleet::State;

/// The number of failures in a row that makes a ready member suspect.
const FAILURES_TO_SUSPECT: u32 = 2;
/// How long after its change to suspect a member counts as dead, if its latest heartbeat or call
/// failed.
const DEAD_AFTER: Duration = Duration::from_secs(10);
/// The time without a change of state after which a member's earlier flaps no longer count.
const FLAP_WINDOW: Duration = Duration::from_secs(60);
/// The largest number of successes in a row that a member needs to be ready.
const MAX_SUCCESSES: u32 = 16;

/// The state of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It runs.
    Live,
    /// It is about to be stopped.
    Leaving,
    /// It no longer exists.
    Gone,
}

/// The state that an agent reports in its answer to a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// It accepts new work.
    Ready,
    /// It accepts no new work.
    Leaving,
    /// Its backend server does not answer.
    Ailing,
}

/// An observation about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The platform's list has a new state of the VM.
    Listed(ListedState),
    /// A heartbeat was answered, by an agent of this incarnation and with this state.
    Heartbeat(Incarnation, ReportedState),
    /// A heartbeat was not answered in time.
    HeartbeatMissed,
    /// A call for a request was refused because the agent of this incarnation is leaving; ignored if
    /// another incarnation has answered since.
    RefusedLeaving(Incarnation),
    /// A call for a request succeeded.
    CallSucceeded,
    /// A call for a request got no answer, or the server failed.
    CallFailed,
    /// A message could not be sent, for example because the connection was refused. One such failure
    /// makes a ready member suspect.
    Unreachable,
}

#[derive(Clone, Debug)]
struct Member {
    /// The state by heartbeats and calls alone: ready, suspect or dead.
    state: State,
    listed: ListedState,
    leaving: bool,
    ailing: bool,
    /// The incarnation of the agent that last answered; `None` before the first answer.
    incarnation: Option<Incarnation>,
    /// The failures since the last success, change of state or new incarnation.
    failures: u32,
    /// The successes in a row of a member that isn't ready.
    successes: u32,
    /// The changes from ready to suspect; counted anew after it was ready for [`FLAP_WINDOW`].
    flaps: u32,
    changed_at: Moment,
}

impl Member {
    fn new(now: Moment) -> Self {
        Member {
            state: State::Suspect,
            listed: ListedState::Live,
            leaving: false,
            ailing: false,
            incarnation: None,
            failures: 0,
            successes: 0,
            flaps: 0,
            changed_at: now,
        }
    }

    fn apply(&mut self, now: Moment, observation: Observation) {
        match observation {
            Observation::Listed(listed) => self.apply_listed(now, listed),
            Observation::Heartbeat(incarnation, reported) => {
                self.apply_heartbeat(now, incarnation, reported);
            }
            Observation::RefusedLeaving(incarnation) => {
                if self.incarnation.is_none_or(|known| known == incarnation) {
                    self.leaving = true;
                }
            }
            Observation::CallSucceeded => self.record_success(now),
            Observation::HeartbeatMissed | Observation::CallFailed => self.record_failures(now, 1),
            Observation::Unreachable => self.record_failures(now, FAILURES_TO_SUSPECT),
        }
    }

    fn apply_listed(&mut self, now: Moment, listed: ListedState) {
        if self.listed == ListedState::Gone && listed == ListedState::Live {
            *self = Member::new(now);
        }
        self.listed = listed;
    }

    fn apply_heartbeat(&mut self, now: Moment, incarnation: Incarnation, reported: ReportedState) {
        let is_new = self.incarnation != Some(incarnation);
        if is_new {
            self.incarnation = Some(incarnation);
            self.leaving = false;
            self.failures = 0;
        }
        self.ailing = reported == ReportedState::Ailing;
        match reported {
            ReportedState::Ready => {
                if self.leaving {
                    self.leaving = false;
                    self.set_state(now, State::Suspect);
                }
                self.record_success(now);
            }
            ReportedState::Leaving => self.leaving = true,
            ReportedState::Ailing => self.record_failures(now, FAILURES_TO_SUSPECT),
        }
    }

    fn record_success(&mut self, now: Moment) {
        self.failures = 0;
        if self.ailing || self.state == State::Ready {
            return;
        }
        self.successes += 1;
        if self.successes >= self.needed_successes(now) {
            self.set_state(now, State::Ready);
        }
    }

    fn record_failures(&mut self, now: Moment, count: u32) {
        self.successes = 0;
        self.failures = self.failures.saturating_add(count);
        if self.state == State::Ready && self.failures >= FAILURES_TO_SUSPECT {
            if now.since(self.changed_at) > FLAP_WINDOW {
                self.flaps = 0;
            }
            self.flaps += 1;
            self.set_state(now, State::Suspect);
        }
    }

    /// Returns the number of successes in a row that makes the member ready.
    fn needed_successes(&self, now: Moment) -> u32 {
        if self.flaps == 0 || now.since(self.changed_at) > FLAP_WINDOW {
            return 1;
        }
        (1 << (self.flaps - 1).min(8)).min(MAX_SUCCESSES)
    }

    fn set_state(&mut self, now: Moment, state: State) {
        if self.state == state {
            return;
        }
        self.state = state;
        self.changed_at = now;
        self.successes = 0;
        self.failures = 0;
    }

    fn tick(&mut self, now: Moment) {
        let is_failing = self.failures > 0 && self.successes == 0;
        if self.state == State::Suspect && is_failing && now.since(self.changed_at) > DEAD_AFTER {
            self.set_state(now, State::Dead);
        }
    }

    /// Returns the overall state: dead if the platform's list or the observations say so, else
    /// leaving if the list or the agent says so, else the state by heartbeats and calls.
    fn state(&self) -> State {
        match (self.listed, self.leaving) {
            (ListedState::Gone, _) => State::Dead,
            _ if self.state == State::Dead => State::Dead,
            (ListedState::Leaving, _) | (_, true) => State::Leaving,
            _ => self.state,
        }
    }
}

/// A change of a member's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateChange {
    /// The name of the VM.
    pub vm: String,
    /// Its new state.
    pub state: State,
}

/// The members that a process knows, by VM.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: Map<String, Member>,
}

impl Membership {
    /// Creates an empty membership.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the state of a VM; `None` if nothing was observed about it.
    pub fn state(&self, vm: &str) -> Option<State> {
        self.members.get(vm).map(Member::state)
    }

    /// Applies an observation; returns the change of state that it caused.
    pub fn observe(
        &mut self,
        now: Moment,
        vm: &str,
        observation: Observation,
    ) -> Option<StateChange> {
        if !self.members.contains_key(vm) {
            self.members.insert(vm.to_owned(), Member::new(now));
        }
        let member = self.members.get_mut(vm)?;
        let before = member.state();
        member.apply(now, observation);
        state_change(vm, before, member.state())
    }

    /// Applies the time that passed; returns the changes of state that it caused.
    pub fn tick(&mut self, now: Moment) -> Vec<StateChange> {
        let mut changes = Vec::new();
        for (vm, member) in &mut self.members {
            let before = member.state();
            member.tick(now);
            changes.extend(state_change(vm, before, member.state()));
        }
        changes
    }

    /// Removes a VM that is gone for good.
    pub fn forget(&mut self, vm: &str) {
        self.members.remove(vm);
    }
}

fn state_change(vm: &str, before: State, state: State) -> Option<StateChange> {
    (before != state).then(|| StateChange {
        vm: vm.to_owned(),
        state,
    })
}
