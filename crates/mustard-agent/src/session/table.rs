//! The aggregate of all sessions of a stage.

use std::sync::Arc;
use std::time::Duration;

use mustard_core::arena::{Arena, Key};
use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Epoch, RequestId};
use mustard_proto::Refusal;
use mustard_proto::step::Step;

use super::Result;
use super::attempt::{Closed, Ended, Session, Ticket};
use super::tombstones::Tombstones;
use super::work::{Onward, Phase, Work};

const RETRY_BUSY_MS: u64 = 20;
const RETRY_FULL_MS: u64 = 250;

/// The bounds of the sessions.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The most sessions at once.
    pub sessions: usize,
    /// The most tombstones at once.
    pub tombstones: usize,
    /// How long a tombstone is kept.
    pub tombstone_life: Duration,
    /// How long a session may be silent.
    pub idle: Duration,
    /// How old the last load report of a session is before it gets another.
    pub report: Duration,
}

/// What is to be done for a step.
#[derive(Clone, Debug)]
pub enum Begin {
    /// Answer with the kept token and its position.
    Replay {
        /// The token.
        token: u32,
        /// The position of the token.
        pos: u32,
    },
    /// Run the engine, then send its output on.
    Run(Ticket),
    /// The engine ran this step before; send its kept output on.
    Resend(Ticket, Onward),
}

/// All sessions of a stage; `G` is a guard that lives as long as its session.
pub struct Sessions<G> {
    limits: Limits,
    arena: Arena<Session<G>>,
    index: Map<RequestId, Key<Session<G>>>,
    tombstones: Tombstones,
}

impl<G> Sessions<G> {
    /// Creates an empty set of sessions.
    pub fn new(limits: Limits) -> Self {
        Sessions {
            limits,
            arena: Arena::new(),
            index: Map::default(),
            tombstones: Tombstones::new(limits.tombstones, limits.tombstone_life),
        }
    }

    /// Returns the number of open sessions.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Tells whether no session is open.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// Takes in a step. A session that a newer attempt replaces is added to `closed`.
    ///
    /// `guard` yields the guard of a new session, or the refusal if none is taken.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the step is not the next one of the newest attempt, nor its last one
    /// again; nothing ran then.
    pub fn begin(
        &mut self,
        step: &Step,
        now: Moment,
        guard: impl FnOnce() -> Result<G>,
        closed: &mut Vec<Closed>,
    ) -> Result<Begin> {
        let work = Work::of(step);
        if work.len == 0 || work.end().is_none() {
            let detail = "step has no countable position".to_owned();
            return Err(Refusal::Malformed { detail });
        }
        if let Some(ended) = self
            .tombstones
            .get(step.request)
            .filter(|e| step.epoch <= *e)
        {
            let current = ended.next();
            return Err(Refusal::StaleEpoch { current });
        }
        match self.index.get(&step.request).copied() {
            Some(key) => match self.arena.get(key).map(|s| s.epoch) {
                Some(current) if step.epoch < current => Err(Refusal::StaleEpoch { current }),
                Some(current) if step.epoch == current => self.proceed(key, step, work, now),
                _ => self.open(step, work, now, guard, closed),
            },
            None => self.open(step, work, now, guard, closed),
        }
    }

    fn open(
        &mut self,
        step: &Step,
        work: Work,
        now: Moment,
        guard: impl FnOnce() -> Result<G>,
        closed: &mut Vec<Closed>,
    ) -> Result<Begin> {
        let Some(opening) = step.opening.as_ref() else {
            return Err(Refusal::NotOpen);
        };
        if step.pos != 0 {
            return Err(Refusal::Gap { expected: 0 });
        }
        if opening.deadline_ms == 0 {
            return Err(Refusal::Expired);
        }
        let replaces = self.index.contains_key(&step.request);
        if !replaces && self.arena.len() >= self.limits.sessions {
            let retry_ms = RETRY_FULL_MS;
            return Err(Refusal::Busy { retry_ms });
        }
        let guard = guard()?;
        closed.extend(self.close(step.request, Ended::Superseded, now));
        let opening = Arc::new(opening.clone());
        let session = Session {
            request: step.request,
            epoch: step.epoch,
            stage: step.stage,
            next: 0,
            phase: Phase::Engine(work),
            last: None,
            deadline: now + Duration::from_millis(opening.deadline_ms),
            opening,
            seen: now,
            reported: None,
            _guard: guard,
        };
        let ticket = session.ticket(work);
        let key = self.arena.insert(session);
        self.index.insert(step.request, key);
        Ok(Begin::Run(ticket))
    }

    fn proceed(
        &mut self,
        key: Key<Session<G>>,
        step: &Step,
        work: Work,
        now: Moment,
    ) -> Result<Begin> {
        let session = self.arena.get_mut(key).ok_or(Refusal::NotOpen)?;
        session.seen = now;
        if step.stage != session.stage {
            let detail = format!("attempt has stage {} here", session.stage);
            return Err(Refusal::Malformed { detail });
        }
        match &session.phase {
            Phase::Engine(w) | Phase::Next(w, _) if *w == work => {
                let retry_ms = RETRY_BUSY_MS;
                return Err(Refusal::Busy { retry_ms });
            }
            Phase::Kept(w, acts) if *w == work => {
                let acts = Arc::clone(acts);
                session.phase = Phase::Next(work, Arc::clone(&acts));
                let request = session.request;
                let ticket = session.ticket(work);
                return Ok(Begin::Resend(ticket, Onward { request, acts }));
            }
            _ => {}
        }
        if let Some((last, token)) = session.last
            && last == work
        {
            let pos = session.next;
            return Ok(Begin::Replay { token, pos });
        }
        let expected = session.next;
        if step.pos != expected || !matches!(session.phase, Phase::Idle) {
            return Err(Refusal::Gap { expected });
        }
        if now >= session.deadline {
            return Err(Refusal::Expired);
        }
        session.phase = Phase::Engine(work);
        Ok(Begin::Run(session.ticket(work)))
    }

    /// Records the activations that the engine made of a step.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the attempt ended in the meantime.
    pub fn ran(&mut self, ticket: &Ticket, acts: Vec<u64>, now: Moment) -> Result<Onward> {
        let session = self.current(ticket)?;
        session.seen = now;
        let acts = Arc::new(acts);
        session.phase = Phase::Next(ticket.work, Arc::clone(&acts));
        let request = session.request;
        Ok(Onward { request, acts })
    }

    /// Records the token that the last stage made of a step.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the attempt ended in the meantime.
    pub fn finish(&mut self, ticket: &Ticket, token: u32, now: Moment) -> Result<u32> {
        let session = self.current(ticket)?;
        session.seen = now;
        session.phase = Phase::Idle;
        session.next = ticket.work.pos + ticket.work.len;
        session.last = Some((ticket.work, token));
        Ok(session.next)
    }

    /// Records that the next stage gave no output; the step may be sent again.
    pub fn keep(&mut self, ticket: &Ticket) {
        if let Ok(session) = self.current(ticket)
            && let Phase::Next(work, acts) = &session.phase
        {
            session.phase = Phase::Kept(*work, Arc::clone(acts));
        }
    }

    /// Records that the engine certainly did not run a step; it may be sent again.
    ///
    /// An attempt that has not run anything yet is closed without a tombstone.
    pub fn unrun(&mut self, ticket: &Ticket) {
        let Ok(session) = self.current(ticket) else {
            return;
        };
        session.phase = Phase::Idle;
        if session.next == 0 {
            self.remove(ticket.request);
        }
    }

    /// Ends the attempt of a step, unless it ended before.
    pub fn end(&mut self, ticket: &Ticket, why: Ended, now: Moment) -> Option<Closed> {
        self.current(ticket).ok()?;
        self.close(ticket.request, why, now)
    }

    /// Ends every attempt of a request up to an epoch.
    pub fn cancel(&mut self, request: RequestId, epoch: Epoch, now: Moment) -> Option<Closed> {
        self.tombstones.insert(request, epoch, now);
        let key = *self.index.get(&request)?;
        if self.arena.get(key)?.epoch > epoch {
            return None;
        }
        self.close(request, Ended::ByEntry, now)
    }

    /// Ends the sessions whose deadline passed or that were silent for too long.
    pub fn sweep(&mut self, now: Moment) -> Vec<Closed> {
        self.tombstones.expire(now);
        let idle = self.limits.idle;
        let over: Vec<_> = self
            .arena
            .iter()
            .filter_map(|(_, s)| Some((s.request, s.over(now, idle)?)))
            .collect();
        over.into_iter()
            .filter_map(|(request, why)| self.close(request, why, now))
            .collect()
    }

    /// Tells whether the attempt of a step is due a load report, and notes that it gets one.
    pub fn report_due(&mut self, ticket: &Ticket, now: Moment) -> bool {
        let every = self.limits.report;
        let Ok(session) = self.current(ticket) else {
            return false;
        };
        let due = session.reported.is_none_or(|at| now.since(at) >= every);
        if due {
            session.reported = Some(now);
        }
        due
    }

    /// Lists the content of every request whose step the engine runs now.
    pub fn at_engine(&self) -> Vec<Fingerprint> {
        self.arena
            .iter()
            .filter(|(_, s)| matches!(s.phase, Phase::Engine(_)))
            .map(|(_, s)| s.opening.fingerprint)
            .collect()
    }

    fn current(&mut self, ticket: &Ticket) -> Result<&mut Session<G>> {
        let key = *self.index.get(&ticket.request).ok_or(Refusal::NotOpen)?;
        let session = self.arena.get_mut(key).ok_or(Refusal::NotOpen)?;
        if session.epoch != ticket.epoch {
            let current = session.epoch;
            return Err(Refusal::StaleEpoch { current });
        }
        if session.phase.work() != Some(ticket.work) {
            let expected = session.next;
            return Err(Refusal::Gap { expected });
        }
        Ok(session)
    }

    fn close(&mut self, request: RequestId, why: Ended, now: Moment) -> Option<Closed> {
        let epoch = self.remove(request)?;
        self.tombstones.insert(request, epoch, now);
        Some(Closed {
            request,
            epoch,
            why,
        })
    }

    fn remove(&mut self, request: RequestId) -> Option<Epoch> {
        let key = self.index.remove(&request)?;
        self.arena.remove(key).map(|s| s.epoch)
    }
}
