//! Runs the driver against modelled agents that crash, lose, duplicate and refuse steps.
#![allow(clippy::unwrap_used)]

use std::cell::RefCell;
use std::time::Duration;

use bolero::{TypeGenerator, check};
use tokio::time::Instant;

use mustard_core::collections::{Map, Set};
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Epoch, Incarnation, Layers, RequestId, Seq};
use mustard_entry::admission::ChainPlan;
use mustard_entry::driver::{
    AttemptDenial, Chain, ChainRequest, CompletionJob, DriveFailure, Driver, NoChain, Ports,
    StepLimits, TokenSink,
};
use mustard_net::{CallError, Process};
use mustard_proto::step::{ChainStage, Input, Output, Step};
use mustard_proto::{Execution, Refusal};

const STAGES: usize = 3;
const REPLICAS: usize = 3;
const PROMPT: [u32; 4] = [7, 1, 7, 3];
const MAX_TOKENS: u32 = 6;

/// The fault injected into one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, TypeGenerator)]
enum Fault {
    None,
    /// The step does not arrive at the given stage, and the sender knows it was not run.
    NotSent(u8),
    /// The step does not arrive at the given stage, and the sender can't tell whether it was run.
    Lost(u8),
    /// The step runs at all stages and its answer is lost.
    AnswerLost,
    /// The given stage restarts and loses its state before the step arrives.
    Crash(u8),
    /// The given stage is leaving and takes no new work.
    Leaving(u8),
    /// The given stage has a newer catalogue.
    StaleCatalogue(u8),
    /// The answer to an earlier step arrives in place of this one's.
    EarlierAnswer,
    /// The step arrives twice.
    Duplicate,
    /// An earlier step of any attempt arrives again before this one.
    Replay(u8),
}

#[derive(Default)]
struct StageAgent {
    /// By epoch: the next position, the digest, and the start and output of the last step, which
    /// are kept to answer a repeated step.
    attempts: Map<u64, (u32, u64, u32, Vec<u64>)>,
    cancelled: Set<u64>,
    newest_epoch: u64,
}

/// The modelled agents, with `REPLICAS` for each stage.
struct ModelAgents {
    faults: RefCell<Vec<Fault>>,
    stages: RefCell<Vec<Vec<StageAgent>>>,
    sent_steps: RefCell<Vec<(Vec<usize>, Step)>>,
    last_output: RefCell<Option<Output>>,
    ran: RefCell<bool>,
    running_epochs: RefCell<Set<u64>>,
}

fn mix(digest: u64, value: u64) -> u64 {
    (digest ^ value)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(29)
}

/// Returns the tokens that a correct pipeline generates.
fn reference(count: u32) -> Vec<u32> {
    let mut digests = [0; STAGES];
    let mut tokens: Vec<u32> = PROMPT.to_vec();
    let mut consumed = 0;
    while (tokens.len() - PROMPT.len()) < count as usize {
        let mut value = 0;
        while consumed < tokens.len() {
            value = u64::from(tokens[consumed]);
            for digest in &mut digests {
                *digest = mix(*digest, value);
                value = *digest;
            }
            consumed += 1;
        }
        tokens.push(value as u32 % 1_000);
    }
    tokens.split_off(PROMPT.len())
}

impl ModelAgents {
    fn new(faults: &[Fault]) -> Self {
        let new_replicas = || (0..REPLICAS).map(|_| StageAgent::default()).collect();
        ModelAgents {
            faults: RefCell::new(faults.to_vec()),
            stages: RefCell::new((0..STAGES).map(|_| new_replicas()).collect()),
            sent_steps: RefCell::default(),
            last_output: RefCell::default(),
            ran: RefCell::new(false),
            running_epochs: RefCell::default(),
        }
    }

    /// Runs a step through the first `stage_count` stages.
    fn run_stages(
        &self,
        chain: &[usize],
        step: &Step,
        stage_count: usize,
    ) -> Result<Output, Refusal> {
        let Input::Tokens(tokens) = &step.input else {
            panic!("the first stage takes tokens")
        };
        let mut values: Vec<u64> = tokens.iter().map(|t| u64::from(*t)).collect();
        for (index, replica) in chain.iter().enumerate().take(stage_count) {
            let mut stages = self.stages.borrow_mut();
            let stage = &mut stages[index][*replica];
            values = stage
                .run(step, values)
                .map_err(|cause| nest_refusal(index, cause))?;
            *self.ran.borrow_mut() = true;
        }
        Ok(Output {
            token: *values.last().unwrap() as u32 % 1_000,
            pos: step.pos + tokens.len() as u32,
            loads: Vec::new(),
        })
    }
}

fn nest_refusal(index: usize, cause: Refusal) -> Refusal {
    if index == 0 {
        return cause;
    }
    Refusal::NextFailed {
        stage: index as u32,
        cause: Box::new(cause),
    }
}

impl StageAgent {
    fn run(&mut self, step: &Step, values: Vec<u64>) -> Result<Vec<u64>, Refusal> {
        let epoch = step.epoch.0;
        if self.cancelled.contains(&epoch) || epoch < self.newest_epoch {
            return Err(Refusal::StaleEpoch {
                current: Epoch(self.newest_epoch.max(epoch)),
            });
        }
        if step.params.is_some() && step.pos == 0 {
            self.newest_epoch = epoch;
            self.attempts.entry(epoch).or_default();
        }
        let (next, digest, start, outputs) =
            self.attempts.get_mut(&epoch).ok_or(Refusal::NotOpen)?;
        if *next > 0 && step.pos == *start {
            return Ok(outputs.clone());
        }
        if step.pos != *next {
            return Err(Refusal::Gap { expected: *next });
        }
        *start = *next;
        *next += values.len() as u32;
        outputs.clear();
        for value in values {
            *digest = mix(*digest, value);
            outputs.push(*digest);
        }
        Ok(outputs.clone())
    }
}

fn stage_index(stage: u8) -> usize {
    stage as usize % STAGES
}

impl Ports for ModelAgents {
    fn choose_chain(&self, chain_request: &ChainRequest) -> Result<Chain, NoChain> {
        let name = |stage: usize, replica: usize| format!("{stage}-{replica}");
        let mut chain = Chain {
            hops: Vec::new(),
            names: Vec::new(),
            plan: ChainPlan::default(),
        };
        for stage in 0..STAGES {
            let free = (0..REPLICAS).find(|r| !chain_request.avoid.contains(&name(stage, *r)));
            let replica = free.ok_or(NoChain {
                retry: Duration::from_secs(1),
                occupied: false,
            })?;
            chain.names.push(name(stage, replica));
            chain.hops.push(ChainStage {
                addr: "127.0.0.1:1".parse().unwrap(),
                incarnation: Incarnation(replica as u64),
                layers: Layers::new(stage as u32, stage as u32 + 1),
            });
        }
        Ok(chain)
    }

    async fn run_step(&self, chain: &Chain, step: Step, _: Duration) -> Result<Output, CallError> {
        let fault = self.faults.borrow_mut().pop().unwrap_or(Fault::None);
        let replicas: Vec<usize> = chain
            .hops
            .iter()
            .map(|h| h.incarnation.0 as usize)
            .collect();
        self.running_epochs.borrow_mut().insert(step.epoch.0);
        self.sent_steps
            .borrow_mut()
            .push((replicas.clone(), step.clone()));
        let refused = |index: usize, cause| {
            // The stages before the refusing one run the step.
            let before = self.run_stages(&replicas, &step, index);
            Err(CallError::Refused(match before {
                Ok(_) => nest_refusal(index, cause),
                Err(earlier) => earlier,
            }))
        };
        match fault {
            Fault::NotSent(s) if stage_index(s) == 0 => {
                return Err(CallError::NotSent("refused".to_owned()));
            }
            Fault::Lost(s) if stage_index(s) == 0 => return Err(CallError::TimedOut(1)),
            Fault::NotSent(s) => {
                let cause = Refusal::NoAnswer {
                    ran: Execution::No,
                    detail: "refused".to_owned(),
                };
                return refused(stage_index(s), cause);
            }
            Fault::Lost(s) => {
                let cause = Refusal::NoAnswer {
                    ran: Execution::Maybe,
                    detail: "late".to_owned(),
                };
                return refused(stage_index(s), cause);
            }
            Fault::Leaving(s) => return refused(stage_index(s), Refusal::Leaving),
            Fault::StaleCatalogue(s) => {
                return refused(stage_index(s), Refusal::StaleCatalogue { have: Seq(9) });
            }
            Fault::Crash(s) => {
                let index = stage_index(s);
                self.stages.borrow_mut()[index][replicas[index]] = StageAgent::default();
            }
            Fault::AnswerLost => {
                let _ = self.run_stages(&replicas, &step, STAGES);
                return Err(CallError::TimedOut(1));
            }
            Fault::Duplicate => {
                let _ = self.run_stages(&replicas, &step, STAGES);
            }
            Fault::Replay(n) => {
                let sent_steps = self.sent_steps.borrow();
                let (chain, old_step) = &sent_steps[n as usize % sent_steps.len()];
                let _ = self.run_stages(chain, old_step, STAGES);
            }
            Fault::None | Fault::EarlierAnswer => {}
        }
        let output = self
            .run_stages(&replicas, &step, STAGES)
            .map_err(CallError::Refused)?;
        let earlier = self.last_output.borrow_mut().replace(output.clone());
        match (fault, earlier) {
            (Fault::EarlierAnswer, Some(earlier)) => Ok(earlier),
            _ => Ok(output),
        }
    }

    async fn probe_agents(&self, _: &Chain) -> Vec<String> {
        Vec::new()
    }

    fn cancel_attempt(&self, chain: &Chain, _: RequestId, epoch: Epoch) {
        self.running_epochs.borrow_mut().remove(&epoch.0);
        for (index, hop) in chain.hops.iter().enumerate() {
            let stage = &mut self.stages.borrow_mut()[index][hop.incarnation.0 as usize];
            stage.cancelled.insert(epoch.0);
        }
    }

    fn record_step(&self, _: &Chain, _: u32, _: Duration, _: &Output) {}

    fn report_failure(&self, _: &str, _: &CallError) {}

    async fn permit_attempt(&self) -> Result<(), AttemptDenial> {
        Ok(())
    }

    fn record_progress(&self, _: u32) -> bool {
        true
    }

    async fn catch_up(&self, _: Seq, _: Duration) -> bool {
        true
    }
}

struct Tokens(Vec<u32>);

impl TokenSink for Tokens {
    fn push_token(&mut self, token: u32) {
        self.0.push(token);
    }
}

fn run(model: &ModelAgents, wanted: u32) -> (Result<(), DriveFailure>, Vec<u32>) {
    let process = Process::new("entry", 16);
    let limits = StepLimits {
        min_decode: Duration::from_secs(1),
        min_prefill: Duration::from_secs(1),
        factor: 8.0,
        decode_time: Duration::ZERO,
        position_time: Duration::ZERO,
    };
    let job = CompletionJob {
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

/// Guards against wrong, repeated or missing tokens after retries, a false "not run", and attempts
/// left running at agents. Random faults are injected into the steps of one request.
#[test]
fn run_faults() {
    check!()
        .with_type::<Vec<Fault>>()
        .with_iterations(3_000)
        .for_each(|faults| {
            let model = ModelAgents::new(faults);
            let (result, tokens) = run(&model, MAX_TOKENS);
            let expected = reference(MAX_TOKENS);
            assert_eq!(tokens, expected[..tokens.len()], "a token is wrong");
            match result {
                Ok(()) => assert_eq!(tokens.len(), expected.len()),
                Err(failed) => {
                    assert_eq!(failed.delivered as usize, tokens.len());
                    let ran = *model.ran.borrow();
                    assert!(
                        failed.execution == Execution::Maybe || !ran,
                        "\"not run\" is false"
                    );
                }
            }
            assert!(
                model.running_epochs.borrow().is_empty(),
                "an attempt is left"
            );
        });
}

#[test]
fn run_without_faults() {
    let model = ModelAgents::new(&[]);
    let (result, tokens) = run(&model, MAX_TOKENS);
    assert!(result.is_ok());
    assert_eq!(tokens, reference(MAX_TOKENS));
    assert_eq!(model.sent_steps.borrow().len(), MAX_TOKENS as usize);
}

/// A request that all agents of the first stage refuse is reported as not run.
#[test]
fn run_all_leaving() {
    let model = ModelAgents::new(&[Fault::Leaving(0); 3]);
    let (result, tokens) = run(&model, MAX_TOKENS);
    let failed = result.unwrap_err();
    assert!(tokens.is_empty());
    assert_eq!(failed.execution, Execution::No);
}
