//! Whatever the network and the agents do, every layer runs once per token and in order.
#![allow(clippy::unwrap_used)]

mod world;

use std::time::Duration;

use bolero::{TypeGenerator, check, produce};

use mustard_agent::session::{Begin, Limits, Sessions};
use mustard_core::clock::Moment;
use mustard_core::ids::{Epoch, RequestId};
use mustard_fakes::reference;
use mustard_proto::Refusal;
use mustard_proto::step::{Input, Step};

use world::{Msg, STAGES, TOTAL, Waiter, World};

const TOKENS: usize = 6;
const REPEATS: u32 = 2;
const SETTLE_ROUNDS: usize = 4_000;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Op {
    Deliver { pick: u8 },
    DeliverAll { count: u8 },
    Duplicate { pick: u8 },
    Lose { pick: u8 },
    Abandon { pick: u8 },
    Repeat { entry: u8 },
    Restart { entry: u8 },
    CrashAgent { stage: u8 },
    CrashEngine { stage: u8 },
    Advance { seconds: u8 },
}

/// An entry that drives one request.
struct Entry {
    request: RequestId,
    prompt: Vec<u32>,
    delivered: Vec<u32>,
    epoch: Epoch,
    last: Option<Step>,
    repeats: u32,
}

impl Entry {
    fn new(request: u128, prompt: &[u32]) -> Self {
        Entry {
            request: RequestId(request),
            prompt: prompt.to_vec(),
            delivered: Vec::new(),
            epoch: Epoch(0),
            last: None,
            repeats: 0,
        }
    }

    fn is_done(&self) -> bool {
        self.delivered.len() >= TOKENS
    }

    /// Starts a new attempt over prompt and delivered tokens; old ones are cancelled.
    fn restart(&mut self, world: &mut World) {
        for stage in 0..STAGES {
            let (request, epoch) = (self.request, self.epoch);
            world.net.push(Msg::Cancel {
                stage,
                request,
                epoch,
            });
        }
        self.epoch = self.epoch.next();
        self.repeats = 0;
        let tokens = [&self.prompt[..], &self.delivered].concat();
        let opening = Some(world.opening());
        let step = self.step(0, tokens);
        self.send(world, Step { opening, ..step });
    }

    fn step(&self, pos: u32, tokens: Vec<u32>) -> Step {
        Step {
            request: self.request,
            epoch: self.epoch,
            stage: 0,
            pos,
            input: Input::Tokens(tokens),
            opening: None,
            limit_ms: 1_000,
        }
    }

    fn send(&mut self, world: &mut World, step: Step) {
        let waiter = Waiter {
            request: self.request,
            epoch: self.epoch,
            pos: step.pos,
            frames: Vec::new(),
        };
        self.last = Some(step.clone());
        world.net.push(Msg::Step {
            stage: 0,
            step,
            waiter,
        });
    }

    /// Sends the last step again, as after a lost answer.
    fn repeat(&mut self, world: &mut World) {
        if let Some(step) = self.last.clone() {
            self.send(world, step);
        }
    }

    fn take(&mut self, world: &mut World, epoch: Epoch, pos: u32, reply: &Result<u32, Refusal>) {
        let current = self.last.as_ref().is_some_and(|s| s.pos == pos) && epoch == self.epoch;
        if !current || self.is_done() {
            return;
        }
        match reply {
            Ok(token) => {
                self.delivered.push(*token);
                let at = (self.prompt.len() + self.delivered.len() - 1) as u32;
                let step = self.step(at, vec![*token]);
                self.send(world, step);
            }
            Err(Refusal::Busy { .. }) => {}
            Err(Refusal::NextFailed { .. }) if self.repeats < REPEATS => {
                self.repeats += 1;
                self.repeat(world);
            }
            Err(_) => self.restart(world),
        }
    }
}

fn take_answers(world: &mut World, entries: &mut [Entry]) {
    for (request, epoch, pos, reply) in std::mem::take(&mut world.arrived) {
        let entry = entries.iter_mut().find(|e| e.request == request).unwrap();
        entry.take(world, epoch, pos, &reply);
    }
}

fn pick(world: &mut World, pick: u8) -> Option<Msg> {
    let len = world.net.len();
    (len > 0).then(|| world.net.swap_remove(usize::from(pick) % len))
}

fn apply(world: &mut World, entries: &mut [Entry], op: Op) {
    let entry = |e: u8| usize::from(e) % 2;
    let stage = |s: u8| usize::from(s) % STAGES;
    match op {
        Op::Deliver { pick: p } => {
            if let Some(msg) = pick(world, p) {
                world.deliver(msg);
            }
        }
        Op::DeliverAll { count } => {
            for _ in 0..count % 32 {
                let Some(msg) = pick(world, 0) else { break };
                world.deliver(msg);
                take_answers(world, entries);
            }
        }
        Op::Duplicate { pick: p } => {
            if let Some(msg) = pick(world, p) {
                // An agent calls its engine once for a step that it runs.
                if !matches!(msg, Msg::Engine { .. }) {
                    world.net.push(msg.clone());
                }
                world.net.push(msg);
            }
        }
        Op::Lose { pick: p } => {
            if let Some(msg) = pick(world, p) {
                world.lose(msg);
            }
        }
        Op::Abandon { pick: p } => {
            if let Some(msg) = pick(world, p) {
                world.abandon(msg);
            }
        }
        Op::Repeat { entry: e } => entries[entry(e)].repeat(world),
        Op::Restart { entry: e } => entries[entry(e)].restart(world),
        Op::CrashAgent { stage: s } => world.crash_agent(stage(s)),
        Op::CrashEngine { stage: s } => world.crash_engine(stage(s)),
        Op::Advance { seconds } => world.advance(u64::from(seconds) * 100),
    }
    take_answers(world, entries);
}

/// Lets the network deliver and the entries try again until every answer is whole.
fn settle(world: &mut World, entries: &mut [Entry]) {
    for _ in 0..SETTLE_ROUNDS {
        if entries.iter().all(Entry::is_done) {
            return;
        }
        match pick(world, 0) {
            Some(msg) => world.deliver(msg),
            None => {
                let open = entries.iter_mut().filter(|e| !e.is_done());
                open.for_each(|e| e.restart(world));
            }
        }
        take_answers(world, entries);
    }
    panic!("answers did not become whole");
}

#[test]
fn begin_any_schedule() {
    check!()
        .with_generator(produce::<Vec<Op>>().with().len(10..150usize))
        .with_iterations(2_000)
        .for_each(|ops| {
            let mut world = World::new();
            let mut entries = [Entry::new(1, &[5, 6, 7]), Entry::new(2, &[8])];
            for e in &mut entries {
                e.restart(&mut world);
            }
            for op in ops {
                apply(&mut world, &mut entries, *op);
            }
            settle(&mut world, &mut entries);
            for e in &entries {
                let wanted = reference::generate(TOTAL, &e.prompt, TOKENS);
                assert_eq!(e.delivered, wanted);
            }
        });
}

fn limits() -> Limits {
    Limits {
        sessions: 2,
        tombstones: 3,
        tombstone_life: Duration::from_secs(10),
        idle: Duration::from_secs(5),
        report: Duration::from_secs(1),
    }
}

fn opening_step(request: u128, epoch: u64) -> Step {
    Step {
        request: RequestId(request),
        epoch: Epoch(epoch),
        stage: 0,
        pos: 0,
        input: Input::Tokens(vec![1]),
        opening: Some(World::new().opening()),
        limit_ms: 100,
    }
}

fn begin(sessions: &mut Sessions<()>, step: &Step, now: u64) -> Result<Begin, Refusal> {
    let now = Moment::from_millis(now);
    sessions.begin(step, now, || Ok(()), &mut Vec::new())
}

#[test]
fn begin_refuses_without_change() {
    let mut sessions = Sessions::new(limits());
    let Ok(Begin::Run(first)) = begin(&mut sessions, &opening_step(1, 5), 0) else {
        panic!("an attempt has to open");
    };
    let busy = begin(&mut sessions, &opening_step(1, 5), 0).unwrap_err();
    assert!(matches!(busy, Refusal::Busy { .. }));
    sessions.finish(&first, 9, Moment(0)).unwrap();
    let stale = begin(&mut sessions, &opening_step(1, 4), 0).unwrap_err();
    assert_eq!(stale, Refusal::StaleEpoch { current: Epoch(5) });
    let next = |pos| Step {
        pos,
        opening: None,
        ..opening_step(1, 5)
    };
    let gap = begin(&mut sessions, &next(2), 0).unwrap_err();
    assert_eq!(gap, Refusal::Gap { expected: 1 });
    let other = Step {
        input: Input::Tokens(vec![2]),
        ..opening_step(1, 5)
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
        opening: None,
        ..opening_step(2, 1)
    };
    assert_eq!(
        begin(&mut sessions, &unopened, 0).unwrap_err(),
        Refusal::NotOpen
    );
    let leaving = || Err(Refusal::Leaving);
    let refused = sessions.begin(&opening_step(1, 6), Moment(0), leaving, &mut Vec::new());
    assert_eq!(refused.unwrap_err(), Refusal::Leaving);
    assert!(matches!(
        begin(&mut sessions, &next(1), 0),
        Ok(Begin::Run(_))
    ));
}

#[test]
fn begin_within_bounds() {
    let mut sessions = Sessions::new(limits());
    assert!(begin(&mut sessions, &opening_step(1, 1), 0).is_ok());
    assert!(begin(&mut sessions, &opening_step(2, 1), 0).is_ok());
    let full = begin(&mut sessions, &opening_step(3, 1), 0).unwrap_err();
    assert!(matches!(full, Refusal::Busy { .. }));
    assert!(sessions.cancel(RequestId(1), Epoch(1), Moment(0)).is_some());
    let late = begin(&mut sessions, &opening_step(1, 1), 0).unwrap_err();
    assert_eq!(late, Refusal::StaleEpoch { current: Epoch(2) });
    assert!(begin(&mut sessions, &opening_step(3, 1), 0).is_ok());
    // Tombstones are bounded: the oldest one gives way.
    for request in 10..13 {
        sessions.cancel(RequestId(request), Epoch(1), Moment(0));
    }
    sessions.cancel(RequestId(2), Epoch(1), Moment(0));
    assert!(begin(&mut sessions, &opening_step(1, 1), 0).is_ok());
}

#[test]
fn sweep_ends_silent_sessions() {
    let mut sessions = Sessions::new(limits());
    let Ok(Begin::Run(ticket)) = begin(&mut sessions, &opening_step(1, 1), 0) else {
        panic!("an attempt has to open");
    };
    assert!(
        sessions.sweep(Moment::from_millis(6_000)).is_empty(),
        "its step runs"
    );
    sessions
        .finish(&ticket, 1, Moment::from_millis(6_000))
        .unwrap();
    assert_eq!(sessions.sweep(Moment::from_millis(12_000)).len(), 1);
    assert!(sessions.is_empty());
}
