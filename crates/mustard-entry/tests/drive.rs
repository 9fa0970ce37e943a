//! The driver against modelled agents that crash, lose, repeat and refuse.
#![allow(clippy::unwrap_used)]

use std::cell::RefCell;
use std::time::Duration;

use bolero::{TypeGenerator, check};
use tokio::time::Instant;

use mustard_core::collections::{Map, Set};
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Epoch, Incarnation, Layers, RequestId, Seq};
use mustard_entry::admit::Planned;
use mustard_entry::drive::{
    Chain, Deliver, Driver, Failed, Job, NoChain, Ports, StepLimits, Veto, Want,
};
use mustard_net::{CallError, Process};
use mustard_proto::step::{Hop, Input, Output, Step};
use mustard_proto::{Ran, Refusal};

const STAGES: usize = 3;
const REPLICAS: usize = 3;
const PROMPT: [u32; 4] = [7, 1, 7, 3];
const MAX_TOKENS: u32 = 6;

/// What happens to one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, TypeGenerator)]
enum Fault {
    None,
    /// Nothing arrives at the given stage, and the sender knows.
    NotSent(u8),
    /// Nothing arrives at the given stage, and the sender does not know.
    Lost(u8),
    /// The step runs everywhere and its answer is lost.
    AnswerLost,
    /// The given stage forgets everything before the step arrives.
    Crash(u8),
    /// The given stage takes no new work.
    Leaving(u8),
    /// The given stage has seen a newer catalogue.
    Stale(u8),
    /// The answer to an earlier step comes in place of this one's.
    Crossed,
    /// The step arrives twice.
    Twice,
    /// An earlier step of any attempt arrives once more before this one.
    Late(u8),
}

#[derive(Default)]
struct Stage {
    /// Next position and digest by attempt; the last output for a repeated step.
    open: Map<u64, (u32, u64, u32, Vec<u64>)>,
    ended: Set<u64>,
    newest: u64,
}

/// The agents as the driver sees them.
struct Model {
    faults: RefCell<Vec<Fault>>,
    stages: RefCell<Vec<Vec<Stage>>>,
    sent: RefCell<Vec<(Vec<usize>, Step)>>,
    last: RefCell<Option<Output>>,
    ran: RefCell<bool>,
    running: RefCell<Set<u64>>,
}

fn mix(digest: u64, value: u64) -> u64 {
    (digest ^ value)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(29)
}

/// The tokens that a correct pipeline generates.
fn reference(count: u32) -> Vec<u32> {
    let mut digests = [0; STAGES];
    let mut tokens: Vec<u32> = PROMPT.to_vec();
    let mut done = 0;
    while (tokens.len() - PROMPT.len()) < count as usize {
        let mut value = 0;
        while done < tokens.len() {
            value = u64::from(tokens[done]);
            for digest in &mut digests {
                *digest = mix(*digest, value);
                value = *digest;
            }
            done += 1;
        }
        tokens.push(value as u32 % 1_000);
    }
    tokens.split_off(PROMPT.len())
}

impl Model {
    fn new(faults: &[Fault]) -> Self {
        let row = || (0..REPLICAS).map(|_| Stage::default()).collect();
        Model {
            faults: RefCell::new(faults.to_vec()),
            stages: RefCell::new((0..STAGES).map(|_| row()).collect()),
            sent: RefCell::default(),
            last: RefCell::default(),
            ran: RefCell::new(false),
            running: RefCell::default(),
        }
    }

    /// Runs a step through the stages from `from` on.
    fn pass(&self, chain: &[usize], step: &Step, until: usize) -> Result<Output, Refusal> {
        let Input::Tokens(tokens) = &step.input else {
            panic!("the first stage takes tokens")
        };
        let mut values: Vec<u64> = tokens.iter().map(|t| u64::from(*t)).collect();
        for (place, replica) in chain.iter().enumerate().take(until) {
            let mut stages = self.stages.borrow_mut();
            let stage = &mut stages[place][*replica];
            values = stage
                .run(step, values)
                .map_err(|cause| nest(place, cause))?;
            *self.ran.borrow_mut() = true;
        }
        Ok(Output {
            token: *values.last().unwrap() as u32 % 1_000,
            pos: step.pos + tokens.len() as u32,
            loads: Vec::new(),
        })
    }
}

fn nest(place: usize, cause: Refusal) -> Refusal {
    if place == 0 {
        return cause;
    }
    Refusal::NextFailed {
        stage: place as u32,
        cause: Box::new(cause),
    }
}

impl Stage {
    fn run(&mut self, step: &Step, values: Vec<u64>) -> Result<Vec<u64>, Refusal> {
        let epoch = step.epoch.0;
        if self.ended.contains(&epoch) || epoch < self.newest {
            return Err(Refusal::StaleEpoch {
                current: Epoch(self.newest.max(epoch)),
            });
        }
        if step.opening.is_some() && step.pos == 0 {
            self.newest = epoch;
            self.open.entry(epoch).or_default();
        }
        let (next, digest, start, kept) = self.open.get_mut(&epoch).ok_or(Refusal::NotOpen)?;
        if *next > 0 && step.pos == *start {
            return Ok(kept.clone());
        }
        if step.pos != *next {
            return Err(Refusal::Gap { expected: *next });
        }
        *start = *next;
        *next += values.len() as u32;
        kept.clear();
        for value in values {
            *digest = mix(*digest, value);
            kept.push(*digest);
        }
        Ok(kept.clone())
    }
}

fn place_of(stage: u8) -> usize {
    stage as usize % STAGES
}

impl Ports for Model {
    fn choose(&self, want: &Want) -> Result<Chain, NoChain> {
        let name = |stage: usize, replica: usize| format!("{stage}-{replica}");
        let mut chain = Chain {
            hops: Vec::new(),
            names: Vec::new(),
            planned: Planned::default(),
        };
        for stage in 0..STAGES {
            let free = (0..REPLICAS).find(|r| !want.avoid.contains(&name(stage, *r)));
            let replica = free.ok_or(NoChain {
                retry: Duration::from_secs(1),
                held: false,
            })?;
            chain.names.push(name(stage, replica));
            chain.hops.push(Hop {
                addr: "127.0.0.1:1".parse().unwrap(),
                incarnation: Incarnation(replica as u64),
                layers: Layers::new(stage as u32, stage as u32 + 1),
            });
        }
        Ok(chain)
    }

    async fn step(&self, chain: &Chain, step: Step, _: Duration) -> Result<Output, CallError> {
        let fault = self.faults.borrow_mut().pop().unwrap_or(Fault::None);
        let replicas: Vec<usize> = chain
            .hops
            .iter()
            .map(|h| h.incarnation.0 as usize)
            .collect();
        self.running.borrow_mut().insert(step.epoch.0);
        self.sent
            .borrow_mut()
            .push((replicas.clone(), step.clone()));
        let refused = |place: usize, cause| {
            // The stages before the one that refuses run the step.
            let before = self.pass(&replicas, &step, place);
            Err(CallError::Refused(match before {
                Ok(_) => nest(place, cause),
                Err(earlier) => earlier,
            }))
        };
        match fault {
            Fault::NotSent(s) if place_of(s) == 0 => {
                return Err(CallError::NotSent("refused".to_owned()));
            }
            Fault::Lost(s) if place_of(s) == 0 => return Err(CallError::TimedOut(1)),
            Fault::NotSent(s) => {
                let cause = Refusal::NoAnswer {
                    ran: Ran::No,
                    detail: "refused".to_owned(),
                };
                return refused(place_of(s), cause);
            }
            Fault::Lost(s) => {
                let cause = Refusal::NoAnswer {
                    ran: Ran::Maybe,
                    detail: "late".to_owned(),
                };
                return refused(place_of(s), cause);
            }
            Fault::Leaving(s) => return refused(place_of(s), Refusal::Leaving),
            Fault::Stale(s) => {
                return refused(place_of(s), Refusal::StaleCatalogue { have: Seq(9) });
            }
            Fault::Crash(s) => {
                let place = place_of(s);
                self.stages.borrow_mut()[place][replicas[place]] = Stage::default();
            }
            Fault::AnswerLost => {
                let _ = self.pass(&replicas, &step, STAGES);
                return Err(CallError::TimedOut(1));
            }
            Fault::Twice => {
                let _ = self.pass(&replicas, &step, STAGES);
            }
            Fault::Late(n) => {
                let sent = self.sent.borrow();
                let (chain, old) = &sent[n as usize % sent.len()];
                let _ = self.pass(chain, old, STAGES);
            }
            Fault::None | Fault::Crossed => {}
        }
        let output = self
            .pass(&replicas, &step, STAGES)
            .map_err(CallError::Refused)?;
        let earlier = self.last.borrow_mut().replace(output.clone());
        match (fault, earlier) {
            (Fault::Crossed, Some(earlier)) => Ok(earlier),
            _ => Ok(output),
        }
    }

    async fn probe(&self, _: &Chain) -> Vec<String> {
        Vec::new()
    }

    fn cancel(&self, chain: &Chain, _: RequestId, epoch: Epoch) {
        self.running.borrow_mut().remove(&epoch.0);
        for (place, hop) in chain.hops.iter().enumerate() {
            let stage = &mut self.stages.borrow_mut()[place][hop.incarnation.0 as usize];
            stage.ended.insert(epoch.0);
        }
    }

    fn learn(&self, _: &Chain, _: u32, _: Duration, _: &Output) {}

    fn blame(&self, _: &str, _: &CallError) {}

    async fn allow(&self) -> Result<(), Veto> {
        Ok(())
    }

    fn on_time(&self, _: u32) -> bool {
        true
    }

    async fn catch_up(&self, _: Seq, _: Duration) -> bool {
        true
    }
}

struct Tokens(Vec<u32>);

impl Deliver for Tokens {
    fn deliver(&mut self, token: u32) {
        self.0.push(token);
    }
}

fn run(model: &Model, wanted: u32) -> (Result<(), Failed>, Vec<u32>) {
    let process = Process::new("entry", 16);
    let limits = StepLimits {
        step: Duration::from_secs(1),
        prefill: Duration::from_secs(1),
        factor: 8.0,
        usual: Duration::ZERO,
        per_position: Duration::ZERO,
    };
    let job = Job {
        request: RequestId(1),
        fingerprint: Fingerprint(1),
        model: "tiny".to_owned(),
        layers: STAGES as u32,
        prompt: PROMPT.to_vec(),
        wanted,
        priority: 1,
        deadline: Instant::now() + Duration::from_secs(600),
    };
    let mut tokens = Tokens(Vec::new());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    let driver = Driver::new(model, &process, limits, 8, job);
    let result = runtime.block_on(driver.run(&mut tokens));
    (result, tokens.0)
}

/// Whatever happens, what is delivered is a prefix of the right answer, an answer that ends
/// well is whole, "not run" is true, and no attempt is left running.
#[test]
fn run_faults() {
    check!()
        .with_type::<Vec<Fault>>()
        .with_iterations(3_000)
        .for_each(|faults| {
            let model = Model::new(faults);
            let (result, tokens) = run(&model, MAX_TOKENS);
            let right = reference(MAX_TOKENS);
            assert_eq!(tokens, right[..tokens.len()], "a token is wrong");
            match result {
                Ok(()) => assert_eq!(tokens.len(), right.len()),
                Err(failed) => {
                    assert_eq!(failed.delivered as usize, tokens.len());
                    let ran = *model.ran.borrow();
                    assert!(failed.ran == Ran::Maybe || !ran, "\"not run\" is false");
                }
            }
            assert!(model.running.borrow().is_empty(), "an attempt is left");
        });
}

#[test]
fn run_plain() {
    let model = Model::new(&[]);
    let (result, tokens) = run(&model, MAX_TOKENS);
    assert!(result.is_ok());
    assert_eq!(tokens, reference(MAX_TOKENS));
    assert_eq!(model.sent.borrow().len(), MAX_TOKENS as usize);
}

/// A refusal before any stage ran is reported as not run, with a time to come back.
#[test]
fn run_all_leaving() {
    let model = Model::new(&[Fault::Leaving(0); 3]);
    let (result, tokens) = run(&model, MAX_TOKENS);
    let failed = result.unwrap_err();
    assert!(tokens.is_empty());
    assert_eq!(failed.ran, Ran::No);
}
