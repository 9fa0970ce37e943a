//! Which servers are ready, suspect, leaving or dead, from all that is heard about them.
//!
//! The platform's list lags, heartbeats get lost, and calls fail for reasons of their own; each
//! source moves a member only as far as it can be trusted. A member that flaps needs more and
//! more good signs in a row before it is ready again, so work does not move to and fro.

use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::ids::Incarnation;

use crate::fleet::State;

/// The bad signs in a row that make a ready member suspect.
const MISSES_TO_SUSPECT: u32 = 2;
/// How long a suspect member without a good sign is kept before it counts as dead.
const DEAD_AFTER: Duration = Duration::from_secs(10);
/// How long a flap raises the number of good signs that are needed.
const FLAP_MEMORY: Duration = Duration::from_secs(60);
/// The most good signs in a row that are needed.
const MAX_PROOF: u32 = 16;

/// The state of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// It runs.
    Live,
    /// It will be stopped.
    Leaving,
    /// It is gone.
    Gone,
}

/// What an agent says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// It takes new work.
    Ready,
    /// It takes nothing new.
    Leaving,
    /// Its server does not answer.
    Ailing,
}

/// Something heard about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// The platform's list changed.
    Listed(Listed),
    /// A heartbeat was answered.
    Heartbeat(Incarnation, Said),
    /// A heartbeat was not answered in time.
    Missed,
    /// Work was refused because the agent of this life is leaving.
    RefusedLeaving(Incarnation),
    /// Work was done.
    Worked,
    /// Work got no answer, or the server failed.
    Failed,
    /// A connection was refused: no process takes messages at the address.
    Unreachable,
}

#[derive(Clone, Debug)]
struct Member {
    state: State,
    listed: Listed,
    leaving: bool,
    ailing: bool,
    incarnation: Option<Incarnation>,
    bad: u32,
    good: u32,
    flaps: u32,
    turned: Moment,
}

impl Member {
    fn new(now: Moment) -> Self {
        Member {
            state: State::Suspect,
            listed: Listed::Live,
            leaving: false,
            ailing: false,
            incarnation: None,
            bad: 0,
            good: 0,
            flaps: 0,
            turned: now,
        }
    }

    fn take(&mut self, now: Moment, sign: Sign) {
        match sign {
            Sign::Listed(listed) => self.list(now, listed),
            Sign::Heartbeat(incarnation, said) => self.hear(now, incarnation, said),
            Sign::RefusedLeaving(incarnation) => {
                if self.incarnation.is_none_or(|known| known == incarnation) {
                    self.leaving = true;
                }
            }
            Sign::Worked => self.good(now),
            Sign::Missed | Sign::Failed => self.bad(now, 1),
            Sign::Unreachable => self.bad(now, MISSES_TO_SUSPECT),
        }
    }

    fn list(&mut self, now: Moment, listed: Listed) {
        if self.listed == Listed::Gone && listed == Listed::Live {
            *self = Member::new(now);
        }
        self.listed = listed;
    }

    fn hear(&mut self, now: Moment, incarnation: Incarnation, said: Said) {
        let fresh = self.incarnation != Some(incarnation);
        if fresh {
            self.incarnation = Some(incarnation);
            self.leaving = false;
            self.bad = 0;
        }
        self.ailing = said == Said::Ailing;
        match said {
            Said::Ready => {
                if self.leaving {
                    self.leaving = false;
                    self.turn(now, State::Suspect);
                }
                self.good(now);
            }
            Said::Leaving => self.leaving = true,
            Said::Ailing => self.bad(now, MISSES_TO_SUSPECT),
        }
    }

    fn good(&mut self, now: Moment) {
        self.bad = 0;
        if self.ailing || self.state == State::Ready {
            return;
        }
        self.good += 1;
        if self.good >= self.proof(now) {
            self.turn(now, State::Ready);
        }
    }

    fn bad(&mut self, now: Moment, count: u32) {
        self.good = 0;
        self.bad = self.bad.saturating_add(count);
        if self.state == State::Ready && self.bad >= MISSES_TO_SUSPECT {
            if now.since(self.turned) > FLAP_MEMORY {
                self.flaps = 0;
            }
            self.flaps += 1;
            self.turn(now, State::Suspect);
        }
    }

    /// Returns the good signs in a row that make the member ready.
    fn proof(&self, now: Moment) -> u32 {
        if self.flaps == 0 || now.since(self.turned) > FLAP_MEMORY {
            return 1;
        }
        (1 << (self.flaps - 1).min(8)).min(MAX_PROOF)
    }

    fn turn(&mut self, now: Moment, state: State) {
        if self.state == state {
            return;
        }
        self.state = state;
        self.turned = now;
        self.good = 0;
        self.bad = 0;
    }

    fn tick(&mut self, now: Moment) {
        let silent = self.bad > 0 && self.good == 0;
        if self.state == State::Suspect && silent && now.since(self.turned) > DEAD_AFTER {
            self.turn(now, State::Dead);
        }
    }

    fn state(&self) -> State {
        match (self.listed, self.leaving) {
            (Listed::Gone, _) => State::Dead,
            _ if self.state == State::Dead => State::Dead,
            (Listed::Leaving, _) | (_, true) => State::Leaving,
            _ => self.state,
        }
    }
}

/// A change of a member's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    /// The VM.
    pub vm: String,
    /// The state that it has now.
    pub state: State,
}

/// The members known to a process.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: Map<String, Member>,
}

impl Membership {
    /// Creates an empty membership.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the state of a VM, if it is known.
    pub fn state(&self, vm: &str) -> Option<State> {
        self.members.get(vm).map(Member::state)
    }

    /// Takes in a sign; returns the change that it caused.
    pub fn take(&mut self, now: Moment, vm: &str, sign: Sign) -> Option<Turn> {
        if !self.members.contains_key(vm) {
            self.members.insert(vm.to_owned(), Member::new(now));
        }
        let member = self.members.get_mut(vm)?;
        let before = member.state();
        member.take(now, sign);
        turn(vm, before, member.state())
    }

    /// Takes in that time passed; returns the changes that it caused.
    pub fn tick(&mut self, now: Moment) -> Vec<Turn> {
        let mut turns = Vec::new();
        for (vm, member) in &mut self.members {
            let before = member.state();
            member.tick(now);
            turns.extend(turn(vm, before, member.state()));
        }
        turns
    }

    /// Forgets a VM that is gone for good.
    pub fn forget(&mut self, vm: &str) {
        self.members.remove(vm);
    }
}

fn turn(vm: &str, before: State, state: State) -> Option<Turn> {
    (before != state).then(|| Turn {
        vm: vm.to_owned(),
        state,
    })
}
