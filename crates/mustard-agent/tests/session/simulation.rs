//! A simulated chain of stages: engines that check nothing, and a network that the test controls.

use std::time::Duration;

use mustard_agent::session::{
    EndReason, EndedSession, SessionLimits, Sessions, StepAction, StepHandle, check_params,
};
use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Epoch, Incarnation, Layers, RequestId};
use mustard_fakes::digest;
use mustard_proto::step::{AttemptParams, ChainStage, Input, Step};
use mustard_proto::{Execution, Refusal};

pub(crate) const STAGE_COUNT: usize = 3;
pub(crate) const LAYERS_PER_STAGE: u32 = 2;
pub(crate) const TOTAL_LAYERS: u32 = STAGE_COUNT as u32 * LAYERS_PER_STAGE;

type Reply = Result<u32, Refusal>;
type SeqKey = (RequestId, Epoch);

/// A stage that waits for the answer of the next one to a step.
#[derive(Clone, Debug)]
pub(crate) struct WaitingStage {
    stage: usize,
    incarnation: Incarnation,
    handle: StepHandle,
}

/// The way back of an answer: the entry process that sent the step, and the stages that forwarded
/// it.
#[derive(Clone, Debug)]
pub(crate) struct ReplyPath {
    pub(crate) request: RequestId,
    pub(crate) epoch: Epoch,
    pub(crate) pos: u32,
    pub(crate) waiting: Vec<WaitingStage>,
}

/// A message in flight. `Engine` stands for a step that was sent to an engine and has not run.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Step {
        stage: usize,
        step: Step,
        reply_path: ReplyPath,
    },
    Engine {
        stage: usize,
        incarnation: Incarnation,
        handle: StepHandle,
        input: Input,
        reply_path: ReplyPath,
    },
    Reply {
        reply_path: ReplyPath,
        reply: Reply,
    },
    Cancel {
        stage: usize,
        request: RequestId,
        epoch: Epoch,
    },
}

/// An agent with its engine, which runs every step that it is given.
struct Stage {
    incarnation: Incarnation,
    sessions: Sessions<()>,
    sequences: Map<SeqKey, Vec<u64>>,
}

pub(crate) struct Simulation {
    stages: Vec<Stage>,
    pub(crate) in_flight: Vec<Message>,
    pub(crate) now: Moment,
    /// Answers that have reached an entry process, by request, epoch and position.
    pub(crate) answers: Vec<(RequestId, Epoch, u32, Reply)>,
}

fn sessions() -> Sessions<()> {
    Sessions::new(SessionLimits {
        sessions: 4,
        tombstones: 1_000,
        tombstone_ttl: Duration::from_secs(3_600),
        idle_timeout: Duration::from_secs(20),
        report_interval: Duration::from_secs(1),
    })
}

pub(crate) fn layers(stage: usize) -> Layers {
    let first = stage as u32 * LAYERS_PER_STAGE;
    Layers::new(first, first + LAYERS_PER_STAGE)
}

impl Simulation {
    pub(crate) fn new() -> Self {
        let stage = |i: usize| Stage {
            incarnation: Incarnation(1 + i as u64),
            sessions: sessions(),
            sequences: Map::default(),
        };
        Simulation {
            stages: (0..STAGE_COUNT).map(stage).collect(),
            in_flight: Vec::new(),
            now: Moment(0),
            answers: Vec::new(),
        }
    }

    pub(crate) fn params(&self) -> AttemptParams {
        let to_chain_stage = |(i, s): (usize, &Stage)| ChainStage {
            addr: "127.0.0.1:1".parse().unwrap(),
            incarnation: s.incarnation,
            layers: layers(i),
        };
        AttemptParams {
            chain: self.stages.iter().enumerate().map(to_chain_stage).collect(),
            model: "m".into(),
            fingerprint: Fingerprint(1),
            priority: 1,
            deadline_ms: 10_000_000,
        }
    }

    /// Restarts an agent without its sessions; its engine keeps running.
    pub(crate) fn crash_agent(&mut self, stage: usize) {
        let stage = &mut self.stages[stage];
        stage.incarnation = Incarnation(stage.incarnation.0 + STAGE_COUNT as u64);
        stage.sessions = sessions();
    }

    /// Restarts an engine without its sequences.
    pub(crate) fn crash_engine(&mut self, stage: usize) {
        self.stages[stage].sequences.clear();
    }

    pub(crate) fn advance_time(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        for i in 0..STAGE_COUNT {
            let ended = self.stages[i].sessions.sweep(self.now);
            self.drop_sequences(i, ended);
        }
    }

    /// Drops the sequences of ended sessions from the engine of a stage.
    fn drop_sequences(&mut self, stage: usize, ended: impl IntoIterator<Item = EndedSession>) {
        for session in ended {
            self.stages[stage]
                .sequences
                .remove(&(session.request, session.epoch));
        }
    }

    pub(crate) fn deliver(&mut self, message: Message) {
        match message {
            Message::Step {
                stage,
                step,
                reply_path,
            } => self.receive_step(stage, step, reply_path),
            Message::Engine {
                stage,
                incarnation,
                handle,
                input,
                reply_path,
            } => {
                if self.stages[stage].incarnation == incarnation {
                    self.run_engine(stage, handle, input, reply_path);
                }
            }
            Message::Reply { reply_path, reply } => self.receive_reply(reply_path, reply),
            Message::Cancel {
                stage,
                request,
                epoch,
            } => {
                let ended = self.stages[stage].sessions.cancel(request, epoch, self.now);
                self.drop_sequences(stage, ended);
            }
        }
    }

    fn send_reply(&mut self, reply_path: ReplyPath, reply: Reply) {
        self.in_flight.push(Message::Reply { reply_path, reply });
    }

    fn receive_step(&mut self, i: usize, mut step: Step, reply_path: ReplyPath) {
        let stage = &mut self.stages[i];
        if let Some(params) = &step.params {
            let stage_index = step.stage;
            let checked = check_params(
                params,
                stage_index,
                stage.incarnation,
                "m",
                layers(i),
                TOTAL_LAYERS,
            );
            if let Err(r) = checked {
                return self.send_reply(reply_path, Err(r));
            }
        }
        let mut ended = Vec::new();
        let action = stage.sessions.begin(&step, self.now, || Ok(()), &mut ended);
        self.drop_sequences(i, ended);
        match action {
            Err(r) => self.send_reply(reply_path, Err(r)),
            Ok(StepAction::Replay { token, .. }) => self.send_reply(reply_path, Ok(token)),
            Ok(StepAction::Run(handle)) => {
                let input = std::mem::replace(&mut step.input, Input::Tokens(Vec::new()));
                let incarnation = self.stages[i].incarnation;
                self.in_flight.push(Message::Engine {
                    stage: i,
                    incarnation,
                    handle,
                    input,
                    reply_path,
                });
            }
            Ok(StepAction::Resend(handle, out)) => self.forward(i, handle, &out.acts, reply_path),
        }
    }

    fn run_engine(&mut self, i: usize, handle: StepHandle, input: Input, reply_path: ReplyPath) {
        let key = (handle.request, handle.epoch);
        let sequences = &mut self.stages[i].sequences;
        if handle.step_id.pos == 0 {
            sequences
                .entry(key)
                .or_insert_with(|| vec![0; LAYERS_PER_STAGE as usize]);
        }
        let Some(states) = sequences.get_mut(&key) else {
            let ended =
                self.stages[i]
                    .sessions
                    .end_attempt(&handle, EndReason::EngineFailed, self.now);
            self.drop_sequences(i, ended);
            return self.send_reply(reply_path, Err(Refusal::NotOpen));
        };
        let acts = run_layers(layers(i).first, handle.step_id.pos, states, input);
        if handle.next_stage().is_none() {
            let token = digest::token(*acts.last().unwrap());
            let done = self.stages[i]
                .sessions
                .record_token(&handle, token, self.now);
            return self.send_reply(reply_path, done.map(|_| token));
        }
        match self.stages[i]
            .sessions
            .record_activations(&handle, acts, self.now)
        {
            Ok(out) => self.forward(i, handle, &out.acts, reply_path),
            Err(r) => self.send_reply(reply_path, Err(r)),
        }
    }

    fn forward(&mut self, i: usize, handle: StepHandle, acts: &[u64], mut reply_path: ReplyPath) {
        let params = (handle.step_id.pos == 0).then(|| handle.params.as_ref().clone());
        let step = Step {
            request: handle.request,
            epoch: handle.epoch,
            stage: handle.stage + 1,
            pos: handle.step_id.pos,
            input: Input::Activations(acts.to_vec()),
            params,
            limit_ms: 1_000,
        };
        let incarnation = self.stages[i].incarnation;
        let stage = i;
        reply_path.waiting.push(WaitingStage {
            stage,
            incarnation,
            handle,
        });
        self.in_flight.push(Message::Step {
            stage: i + 1,
            step,
            reply_path,
        });
    }

    fn receive_reply(&mut self, mut reply_path: ReplyPath, reply: Reply) {
        let Some(waiting_stage) = reply_path.waiting.pop() else {
            let ReplyPath {
                request,
                epoch,
                pos,
                ..
            } = reply_path;
            self.answers.push((request, epoch, pos, reply));
            return;
        };
        let stage = &mut self.stages[waiting_stage.stage];
        if stage.incarnation != waiting_stage.incarnation {
            return;
        }
        match reply {
            Ok(token) => {
                // A second reply to the same step finds the step finished.
                if stage
                    .sessions
                    .record_token(&waiting_stage.handle, token, self.now)
                    .is_ok()
                {
                    self.send_reply(reply_path, Ok(token));
                }
            }
            Err(cause) => {
                stage.sessions.keep_activations(&waiting_stage.handle);
                let next = waiting_stage.handle.stage + 1;
                let cause = Box::new(cause);
                self.send_reply(reply_path, Err(Refusal::NextFailed { stage: next, cause }));
            }
        }
    }

    /// Drops a step or reply; the waiting stage or entry process sees a call without an answer.
    pub(crate) fn lose_answer(&mut self, message: Message) {
        let detail = "lost".to_owned();
        let ran = Execution::Maybe;
        let reply = Err(Refusal::NoAnswer { ran, detail });
        match message {
            Message::Step { reply_path, .. } | Message::Reply { reply_path, .. } => {
                self.in_flight.push(Message::Reply { reply_path, reply });
            }
            Message::Engine { .. } => self.in_flight.push(message),
            Message::Cancel { .. } => {}
        }
    }

    /// Ends the attempt of a step whose sender disconnects while the engine runs it.
    pub(crate) fn abandon_step(&mut self, message: Message) {
        let Message::Engine {
            stage,
            incarnation,
            handle,
            input,
            reply_path,
        } = message
        else {
            return self.in_flight.push(message);
        };
        if self.stages[stage].incarnation == incarnation {
            let ended =
                self.stages[stage]
                    .sessions
                    .end_attempt(&handle, EndReason::Abandoned, self.now);
            self.drop_sequences(stage, ended);
        }
        // The engine may still run the step, as it has been sent.
        self.in_flight.push(Message::Engine {
            stage,
            incarnation,
            handle,
            input,
            reply_path,
        });
    }
}

fn run_layers(first: u32, pos: u32, states: &mut [u64], input: Input) -> Vec<u64> {
    let acts = match input {
        Input::Tokens(tokens) => tokens.into_iter().map(digest::embed).collect(),
        Input::Activations(acts) => acts,
    };
    let run = |(n, x): (usize, u64)| {
        let layer = |x, (l, state): (usize, &mut u64)| {
            digest::run_layer(first + l as u32, pos + n as u32, state, x)
        };
        states.iter_mut().enumerate().fold(x, layer)
    };
    acts.into_iter().enumerate().map(run).collect()
}
