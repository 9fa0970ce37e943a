//! Every layer runs once per token and in order, whatever faults the network and the agents have.
//!
//! A layer that runs a position twice, skips one or runs it out of order changes its state and so
//! the tokens, which are compared with those of an undisturbed run.
#![allow(clippy::unwrap_used)]

mod simulation;

use std::time::Duration;

use bolero::{TypeGenerator, check, produce};

use mustard_agent::session::{SessionLimits, Sessions, StepAction};
use mustard_core::clock::Moment;
use mustard_core::ids::{Epoch, RequestId};
use mustard_fakes::reference;
use mustard_proto::Refusal;
use mustard_proto::step::{Input, Step};

use simulation::{Message, ReplyPath, STAGE_COUNT, Simulation, TOTAL_LAYERS};

const TOKEN_COUNT: usize = 6;
/// Repeats of a step after a failed stage, before the entry process starts a new attempt.
const MAX_REPEATS: u32 = 2;
const MAX_FINISH_ROUNDS: usize = 4_000;

/// An action of the network, an entry process, a fault or the clock. Numbers are taken modulo the
/// number of choices.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Op {
    Deliver {
        index: u8,
    },
    DeliverAll {
        count: u8,
    },
    Duplicate {
        index: u8,
    },
    Lose {
        index: u8,
    },
    /// The sender of a step disconnects while the engine runs the step.
    Abandon {
        index: u8,
    },
    Repeat {
        entry: u8,
    },
    Restart {
        entry: u8,
    },
    CrashAgent {
        stage: u8,
    },
    CrashEngine {
        stage: u8,
    },
    /// Advances the clock by tenths of a second.
    Advance {
        tenths: u8,
    },
}

/// An entry process that drives one request.
struct Entry {
    request: RequestId,
    prompt: Vec<u32>,
    delivered: Vec<u32>,
    epoch: Epoch,
    last_step: Option<Step>,
    repeats: u32,
}

impl Entry {
    fn new(request: u128, prompt: &[u32]) -> Self {
        Entry {
            request: RequestId(request),
            prompt: prompt.to_vec(),
            delivered: Vec::new(),
            epoch: Epoch(0),
            last_step: None,
            repeats: 0,
        }
    }

    fn is_done(&self) -> bool {
        self.delivered.len() >= TOKEN_COUNT
    }

    /// Cancels the current attempt and starts a new one from the prompt and the delivered tokens.
    fn restart(&mut self, simulation: &mut Simulation) {
        for stage in 0..STAGE_COUNT {
            let (request, epoch) = (self.request, self.epoch);
            simulation.in_flight.push(Message::Cancel {
                stage,
                request,
                epoch,
            });
        }
        self.epoch = self.epoch.next();
        self.repeats = 0;
        let tokens = [&self.prompt[..], &self.delivered].concat();
        let params = Some(simulation.params());
        let step = self.step(0, tokens);
        self.send(simulation, Step { params, ..step });
    }

    fn step(&self, pos: u32, tokens: Vec<u32>) -> Step {
        Step {
            request: self.request,
            epoch: self.epoch,
            stage: 0,
            pos,
            input: Input::Tokens(tokens),
            params: None,
            limit_ms: 1_000,
        }
    }

    fn send(&mut self, simulation: &mut Simulation, step: Step) {
        let reply_path = ReplyPath {
            request: self.request,
            epoch: self.epoch,
            pos: step.pos,
            waiting: Vec::new(),
        };
        self.last_step = Some(step.clone());
        simulation.in_flight.push(Message::Step {
            stage: 0,
            step,
            reply_path,
        });
    }

    /// Sends the last step again, as an entry process does after a lost answer.
    fn repeat(&mut self, simulation: &mut Simulation) {
        if let Some(step) = self.last_step.clone() {
            self.send(simulation, step);
        }
    }

    fn receive_reply(
        &mut self,
        simulation: &mut Simulation,
        epoch: Epoch,
        pos: u32,
        reply: &Result<u32, Refusal>,
    ) {
        let current = self.last_step.as_ref().is_some_and(|s| s.pos == pos) && epoch == self.epoch;
        if !current || self.is_done() {
            return;
        }
        match reply {
            Ok(token) => {
                self.delivered.push(*token);
                let at = (self.prompt.len() + self.delivered.len() - 1) as u32;
                let step = self.step(at, vec![*token]);
                self.send(simulation, step);
            }
            Err(Refusal::Busy { .. }) => {}
            Err(Refusal::NextFailed { .. }) if self.repeats < MAX_REPEATS => {
                self.repeats += 1;
                self.repeat(simulation);
            }
            Err(_) => self.restart(simulation),
        }
    }
}

fn deliver_answers(simulation: &mut Simulation, entries: &mut [Entry]) {
    for (request, epoch, pos, reply) in std::mem::take(&mut simulation.answers) {
        let entry = entries.iter_mut().find(|e| e.request == request).unwrap();
        entry.receive_reply(simulation, epoch, pos, &reply);
    }
}

fn take_message(simulation: &mut Simulation, index: u8) -> Option<Message> {
    let len = simulation.in_flight.len();
    (len > 0).then(|| simulation.in_flight.swap_remove(usize::from(index) % len))
}

fn apply_op(simulation: &mut Simulation, entries: &mut [Entry], op: Op) {
    let entry = |e: u8| usize::from(e) % 2;
    let stage = |s: u8| usize::from(s) % STAGE_COUNT;
    match op {
        Op::Deliver { index: i } => {
            if let Some(message) = take_message(simulation, i) {
                simulation.deliver(message);
            }
        }
        Op::DeliverAll { count } => {
            for _ in 0..count % 32 {
                let Some(message) = take_message(simulation, 0) else {
                    break;
                };
                simulation.deliver(message);
                deliver_answers(simulation, entries);
            }
        }
        Op::Duplicate { index: i } => {
            if let Some(message) = take_message(simulation, i) {
                // An agent sends a step to its engine only once, so that call isn't duplicated.
                if !matches!(message, Message::Engine { .. }) {
                    simulation.in_flight.push(message.clone());
                }
                simulation.in_flight.push(message);
            }
        }
        Op::Lose { index: i } => {
            if let Some(message) = take_message(simulation, i) {
                simulation.lose_answer(message);
            }
        }
        Op::Abandon { index: i } => {
            if let Some(message) = take_message(simulation, i) {
                simulation.abandon_step(message);
            }
        }
        Op::Repeat { entry: e } => entries[entry(e)].repeat(simulation),
        Op::Restart { entry: e } => entries[entry(e)].restart(simulation),
        Op::CrashAgent { stage: s } => simulation.crash_agent(stage(s)),
        Op::CrashEngine { stage: s } => simulation.crash_engine(stage(s)),
        Op::Advance { tenths } => simulation.advance_time(u64::from(tenths) * 100),
    }
    deliver_answers(simulation, entries);
}

/// Delivers messages without faults and restarts stuck requests until every request is complete.
fn finish_requests(simulation: &mut Simulation, entries: &mut [Entry]) {
    for _ in 0..MAX_FINISH_ROUNDS {
        if entries.iter().all(Entry::is_done) {
            return;
        }
        match take_message(simulation, 0) {
            Some(message) => simulation.deliver(message),
            None => {
                let open = entries.iter_mut().filter(|e| !e.is_done());
                open.for_each(|e| e.restart(simulation));
            }
        }
        deliver_answers(simulation, entries);
    }
    panic!("requests did not complete");
}

#[test]
fn begin_any_schedule() {
    check!()
        .with_generator(produce::<Vec<Op>>().with().len(10..150usize))
        .with_iterations(2_000)
        .for_each(|ops| {
            let mut simulation = Simulation::new();
            let mut entries = [Entry::new(1, &[5, 6, 7]), Entry::new(2, &[8])];
            for e in &mut entries {
                e.restart(&mut simulation);
            }
            for op in ops {
                apply_op(&mut simulation, &mut entries, *op);
            }
            finish_requests(&mut simulation, &mut entries);
            for e in &entries {
                let expected_tokens =
                    reference::expected_tokens(TOTAL_LAYERS, &e.prompt, TOKEN_COUNT);
                assert_eq!(e.delivered, expected_tokens);
            }
        });
}

fn limits() -> SessionLimits {
    SessionLimits {
        sessions: 2,
        tombstones: 3,
        tombstone_ttl: Duration::from_secs(10),
        idle_timeout: Duration::from_secs(5),
        report_interval: Duration::from_secs(1),
    }
}

fn first_step(request: u128, epoch: u64) -> Step {
    Step {
        request: RequestId(request),
        epoch: Epoch(epoch),
        stage: 0,
        pos: 0,
        input: Input::Tokens(vec![1]),
        params: Some(Simulation::new().params()),
        limit_ms: 100,
    }
}

fn begin(sessions: &mut Sessions<()>, step: &Step, now: u64) -> Result<StepAction, Refusal> {
    let now = Moment::from_millis(now);
    sessions.begin(step, now, || Ok(()), &mut Vec::new())
}

/// A refused step leaves its session as it was, so the next valid step is still accepted.
#[test]
fn begin_refuses_without_change() {
    let mut sessions = Sessions::new(limits());
    let Ok(StepAction::Run(first)) = begin(&mut sessions, &first_step(1, 5), 0) else {
        panic!("an attempt has to open");
    };
    let busy = begin(&mut sessions, &first_step(1, 5), 0).unwrap_err();
    assert!(matches!(busy, Refusal::Busy { .. }));
    sessions.record_token(&first, 9, Moment(0)).unwrap();
    let stale = begin(&mut sessions, &first_step(1, 4), 0).unwrap_err();
    assert_eq!(stale, Refusal::StaleEpoch { current: Epoch(5) });
    let next = |pos| Step {
        pos,
        params: None,
        ..first_step(1, 5)
    };
    let gap = begin(&mut sessions, &next(2), 0).unwrap_err();
    assert_eq!(gap, Refusal::Gap { expected: 1 });
    let other = Step {
        input: Input::Tokens(vec![2]),
        ..first_step(1, 5)
    };
    assert_eq!(
        begin(&mut sessions, &other, 0).unwrap_err(),
        Refusal::Gap { expected: 1 }
    );
    let overflow = Step {
        pos: u32::MAX,
        ..next(0)
    };
    assert!(matches!(
        begin(&mut sessions, &overflow, 0),
        Err(Refusal::Malformed { .. })
    ));
    let unopened = Step {
        params: None,
        ..first_step(2, 1)
    };
    assert_eq!(
        begin(&mut sessions, &unopened, 0).unwrap_err(),
        Refusal::NotOpen
    );
    let leaving = || Err(Refusal::Leaving);
    let refused = sessions.begin(&first_step(1, 6), Moment(0), leaving, &mut Vec::new());
    assert_eq!(refused.unwrap_err(), Refusal::Leaving);
    assert!(matches!(
        begin(&mut sessions, &next(1), 0),
        Ok(StepAction::Run(_))
    ));
}

/// The numbers of open sessions and of tombstones are bounded.
#[test]
fn begin_within_limits() {
    let mut sessions = Sessions::new(limits());
    assert!(begin(&mut sessions, &first_step(1, 1), 0).is_ok());
    assert!(begin(&mut sessions, &first_step(2, 1), 0).is_ok());
    let full = begin(&mut sessions, &first_step(3, 1), 0).unwrap_err();
    assert!(matches!(full, Refusal::Busy { .. }));
    assert!(sessions.cancel(RequestId(1), Epoch(1), Moment(0)).is_some());
    let late = begin(&mut sessions, &first_step(1, 1), 0).unwrap_err();
    assert_eq!(late, Refusal::StaleEpoch { current: Epoch(2) });
    assert!(begin(&mut sessions, &first_step(3, 1), 0).is_ok());
    // Above the limit of three the oldest tombstone is dropped, so request 1 opens again.
    for request in 10..13 {
        sessions.cancel(RequestId(request), Epoch(1), Moment(0));
    }
    sessions.cancel(RequestId(2), Epoch(1), Moment(0));
    assert!(begin(&mut sessions, &first_step(1, 1), 0).is_ok());
}

/// The idle time counts from the end of the last step; a running step is not idle.
#[test]
fn sweep_ends_idle_sessions() {
    let mut sessions = Sessions::new(limits());
    let Ok(StepAction::Run(handle)) = begin(&mut sessions, &first_step(1, 1), 0) else {
        panic!("an attempt has to open");
    };
    assert!(
        sessions.sweep(Moment::from_millis(6_000)).is_empty(),
        "its step runs"
    );
    sessions
        .record_token(&handle, 1, Moment::from_millis(6_000))
        .unwrap();
    assert_eq!(sessions.sweep(Moment::from_millis(12_000)).len(), 1);
    assert!(sessions.is_empty());
}
