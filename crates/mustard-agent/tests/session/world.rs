//! A chain of stages with engines that check nothing, and a network told by the test.

use std::time::Duration;

use mustard_agent::session::{Begin, Closed, Ended, Limits, Sessions, Ticket, check_opening};
use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Epoch, Incarnation, Layers, RequestId};
use mustard_fakes::digest;
use mustard_proto::step::{Hop, Input, Opening, Step};
use mustard_proto::{Ran, Refusal};

pub(crate) const STAGES: usize = 3;
pub(crate) const LAYERS_EACH: u32 = 2;
pub(crate) const TOTAL: u32 = STAGES as u32 * LAYERS_EACH;

type Reply = Result<u32, Refusal>;
type SeqKey = (RequestId, Epoch);

/// A step of a stage that waits for the next stage.
#[derive(Clone, Debug)]
pub(crate) struct Frame {
    stage: usize,
    life: Incarnation,
    ticket: Ticket,
}

/// Who waits for an answer: the entry, and above it the stages that the step came through.
#[derive(Clone, Debug)]
pub(crate) struct Waiter {
    pub(crate) request: RequestId,
    pub(crate) epoch: Epoch,
    pub(crate) pos: u32,
    pub(crate) frames: Vec<Frame>,
}

#[derive(Clone, Debug)]
pub(crate) enum Msg {
    Step {
        stage: usize,
        step: Step,
        waiter: Waiter,
    },
    Engine {
        stage: usize,
        life: Incarnation,
        ticket: Ticket,
        input: Input,
        waiter: Waiter,
    },
    Reply {
        waiter: Waiter,
        reply: Reply,
    },
    Cancel {
        stage: usize,
        request: RequestId,
        epoch: Epoch,
    },
}

/// An agent with its engine. The engine folds whatever it is given.
struct Stage {
    life: Incarnation,
    sessions: Sessions<()>,
    engine: Map<SeqKey, Vec<u64>>,
}

pub(crate) struct World {
    stages: Vec<Stage>,
    pub(crate) net: Vec<Msg>,
    pub(crate) now: Moment,
    /// Answers that reached an entry.
    pub(crate) arrived: Vec<(RequestId, Epoch, u32, Reply)>,
}

fn sessions() -> Sessions<()> {
    Sessions::new(Limits {
        sessions: 4,
        tombstones: 1_000,
        tombstone_life: Duration::from_secs(3_600),
        idle: Duration::from_secs(20),
        report: Duration::from_secs(1),
    })
}

pub(crate) fn layers(stage: usize) -> Layers {
    let first = stage as u32 * LAYERS_EACH;
    Layers::new(first, first + LAYERS_EACH)
}

impl World {
    pub(crate) fn new() -> Self {
        let stage = |i: usize| Stage {
            life: Incarnation(1 + i as u64),
            sessions: sessions(),
            engine: Map::default(),
        };
        World {
            stages: (0..STAGES).map(stage).collect(),
            net: Vec::new(),
            now: Moment(0),
            arrived: Vec::new(),
        }
    }

    pub(crate) fn opening(&self) -> Opening {
        let hop = |(i, s): (usize, &Stage)| Hop {
            addr: "127.0.0.1:1".parse().unwrap(),
            incarnation: s.life,
            layers: layers(i),
        };
        Opening {
            chain: self.stages.iter().enumerate().map(hop).collect(),
            model: "m".into(),
            fingerprint: Fingerprint(1),
            priority: 1,
            deadline_ms: 10_000_000,
        }
    }

    /// Restarts an agent with an empty memory; its engine lives on.
    pub(crate) fn crash_agent(&mut self, stage: usize) {
        let stage = &mut self.stages[stage];
        stage.life = Incarnation(stage.life.0 + STAGES as u64);
        stage.sessions = sessions();
    }

    pub(crate) fn crash_engine(&mut self, stage: usize) {
        self.stages[stage].engine.clear();
    }

    pub(crate) fn advance(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        for i in 0..STAGES {
            let closed = self.stages[i].sessions.sweep(self.now);
            self.drop_sequences(i, closed);
        }
    }

    fn drop_sequences(&mut self, stage: usize, closed: impl IntoIterator<Item = Closed>) {
        for c in closed {
            self.stages[stage].engine.remove(&(c.request, c.epoch));
        }
    }

    pub(crate) fn deliver(&mut self, msg: Msg) {
        match msg {
            Msg::Step {
                stage,
                step,
                waiter,
            } => self.take_step(stage, step, waiter),
            Msg::Engine {
                stage,
                life,
                ticket,
                input,
                waiter,
            } => {
                if self.stages[stage].life == life {
                    self.run_engine(stage, ticket, input, waiter);
                }
            }
            Msg::Reply { waiter, reply } => self.take_reply(waiter, reply),
            Msg::Cancel {
                stage,
                request,
                epoch,
            } => {
                let closed = self.stages[stage].sessions.cancel(request, epoch, self.now);
                self.drop_sequences(stage, closed);
            }
        }
    }

    fn answer(&mut self, waiter: Waiter, reply: Reply) {
        self.net.push(Msg::Reply { waiter, reply });
    }

    fn take_step(&mut self, i: usize, mut step: Step, waiter: Waiter) {
        let stage = &mut self.stages[i];
        if let Some(opening) = &step.opening {
            let place = step.stage;
            let held = check_opening(opening, place, stage.life, "m", layers(i), TOTAL);
            if let Err(r) = held {
                return self.answer(waiter, Err(r));
            }
        }
        let mut closed = Vec::new();
        let begun = stage
            .sessions
            .begin(&step, self.now, || Ok(()), &mut closed);
        self.drop_sequences(i, closed);
        match begun {
            Err(r) => self.answer(waiter, Err(r)),
            Ok(Begin::Replay { token, .. }) => self.answer(waiter, Ok(token)),
            Ok(Begin::Run(ticket)) => {
                let input = std::mem::replace(&mut step.input, Input::Tokens(Vec::new()));
                let life = self.stages[i].life;
                self.net.push(Msg::Engine {
                    stage: i,
                    life,
                    ticket,
                    input,
                    waiter,
                });
            }
            Ok(Begin::Resend(ticket, onward)) => self.send_on(i, ticket, &onward.acts, waiter),
        }
    }

    fn run_engine(&mut self, i: usize, ticket: Ticket, input: Input, waiter: Waiter) {
        let key = (ticket.request, ticket.epoch);
        let engine = &mut self.stages[i].engine;
        if ticket.work.pos == 0 {
            engine
                .entry(key)
                .or_insert_with(|| vec![0; LAYERS_EACH as usize]);
        }
        let Some(states) = engine.get_mut(&key) else {
            let closed = self.stages[i]
                .sessions
                .end(&ticket, Ended::Broken, self.now);
            self.drop_sequences(i, closed);
            return self.answer(waiter, Err(Refusal::NotOpen));
        };
        let acts = fold(layers(i).first, ticket.work.pos, states, input);
        if ticket.next_hop().is_none() {
            let token = digest::token(*acts.last().unwrap());
            let done = self.stages[i].sessions.finish(&ticket, token, self.now);
            return self.answer(waiter, done.map(|_| token));
        }
        match self.stages[i].sessions.ran(&ticket, acts, self.now) {
            Ok(onward) => self.send_on(i, ticket, &onward.acts, waiter),
            Err(r) => self.answer(waiter, Err(r)),
        }
    }

    fn send_on(&mut self, i: usize, ticket: Ticket, acts: &[u64], mut waiter: Waiter) {
        let opening = (ticket.work.pos == 0).then(|| ticket.opening.as_ref().clone());
        let step = Step {
            request: ticket.request,
            epoch: ticket.epoch,
            stage: ticket.stage + 1,
            pos: ticket.work.pos,
            input: Input::Acts(acts.to_vec()),
            opening,
            limit_ms: 1_000,
        };
        let life = self.stages[i].life;
        let stage = i;
        waiter.frames.push(Frame {
            stage,
            life,
            ticket,
        });
        self.net.push(Msg::Step {
            stage: i + 1,
            step,
            waiter,
        });
    }

    fn take_reply(&mut self, mut waiter: Waiter, reply: Reply) {
        let Some(frame) = waiter.frames.pop() else {
            let Waiter {
                request,
                epoch,
                pos,
                ..
            } = waiter;
            self.arrived.push((request, epoch, pos, reply));
            return;
        };
        let stage = &mut self.stages[frame.stage];
        if stage.life != frame.life {
            return;
        }
        match reply {
            Ok(token) => {
                // A second reply to the same step finds the step finished.
                if stage
                    .sessions
                    .finish(&frame.ticket, token, self.now)
                    .is_ok()
                {
                    self.answer(waiter, Ok(token));
                }
            }
            Err(cause) => {
                stage.sessions.keep(&frame.ticket);
                let next = frame.ticket.stage + 1;
                let cause = Box::new(cause);
                self.answer(waiter, Err(Refusal::NextFailed { stage: next, cause }));
            }
        }
    }

    /// Loses the answer of a later stage: the waiting stage sees no answer instead.
    pub(crate) fn lose(&mut self, msg: Msg) {
        let detail = "lost".to_owned();
        let ran = Ran::Maybe;
        let reply = Err(Refusal::NoAnswer { ran, detail });
        match msg {
            Msg::Step { waiter, .. } | Msg::Reply { waiter, .. } => {
                self.net.push(Msg::Reply { waiter, reply });
            }
            Msg::Engine { .. } => self.net.push(msg),
            Msg::Cancel { .. } => {}
        }
    }

    /// Ends the attempt of a step whose caller went away while the engine ran it.
    pub(crate) fn abandon(&mut self, msg: Msg) {
        let Msg::Engine {
            stage,
            life,
            ticket,
            input,
            waiter,
        } = msg
        else {
            return self.net.push(msg);
        };
        if self.stages[stage].life == life {
            let closed = self.stages[stage]
                .sessions
                .end(&ticket, Ended::Abandoned, self.now);
            self.drop_sequences(stage, closed);
        }
        // The engine may still run what it was given.
        self.net.push(Msg::Engine {
            stage,
            life,
            ticket,
            input,
            waiter,
        });
    }
}

fn fold(first: u32, pos: u32, states: &mut [u64], input: Input) -> Vec<u64> {
    let acts = match input {
        Input::Tokens(tokens) => tokens.into_iter().map(digest::embed).collect(),
        Input::Acts(acts) => acts,
    };
    let run = |(n, x): (usize, u64)| {
        let layer = |x, (l, state): (usize, &mut u64)| {
            digest::run_layer(first + l as u32, pos + n as u32, state, x)
        };
        states.iter_mut().enumerate().fold(x, layer)
    };
    acts.into_iter().enumerate().map(run).collect()
}
