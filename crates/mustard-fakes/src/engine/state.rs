//! What the engine holds: weights, sequences and waiting steps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use mustard_backend::engine::{KvCache, LoadOrder, LoadedLayers, StepOutput, StepRequest};
use mustard_core::collections::Map;
use mustard_core::ids::Fence;
use mustard_proto::agent::Load;
use mustard_proto::step::Input;

use super::event::{CacheEvent, EventLog};
use super::flags::{EngineFlags, Switch};
use super::ledger::Ledger;
use super::prefix::PrefixCache;
use super::sequence::Sequence;

const RETRY_MS: u64 = 50;
const MAX_SAMPLES: usize = 1024;
const FULL_SCALE: usize = 1000;

/// Why a step or an order is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StepRefusal {
    Position(u32),
    Fenced(Fence),
    NotHeld(String),
    Full(u64),
    BadInput,
}

pub(super) type StepResult = Result<StepOutput, StepRefusal>;

/// A step that waits for its batch.
pub(super) struct Job {
    pub(super) seq: String,
    pub(super) body: StepRequest,
    pub(super) reply: oneshot::Sender<StepResult>,
}

pub(super) struct State {
    held: LoadedLayers,
    highest: Fence,
    flags: EngineFlags,
    seqs: Map<String, Sequence>,
    pub(super) queue: Vec<Job>,
    cache: PrefixCache,
    log: EventLog,
    ledger: Ledger,
    step_us: u32,
    samples: VecDeque<(Instant, Load)>,
}

impl State {
    pub(super) fn new(flags: &EngineFlags) -> Self {
        let lag = Duration::from_millis(flags.event_lag_ms);
        let fence = (flags.fencing == Switch::On).then_some(Fence(0));
        State {
            held: LoadedLayers {
                model: flags.model.clone(),
                version: flags.version.clone(),
                layers: flags.layers.0,
                total: flags.total_layers,
                accelerator: flags.accelerator.clone(),
                fence,
            },
            highest: Fence(0),
            seqs: Map::default(),
            queue: Vec::new(),
            cache: PrefixCache::new(flags.prefix_blocks),
            log: EventLog::new(lag, flags.event_loss, flags.seed),
            ledger: Ledger::default(),
            step_us: flags.step_us as u32,
            samples: VecDeque::new(),
            flags: flags.clone(),
        }
    }

    /// Takes the steps of the next batch out of the queue, urgent ones first, at most one for
    /// each sequence. Steps that cannot run are answered at once.
    pub(super) fn next_batch(&mut self) -> Vec<Job> {
        let mut waiting = std::mem::take(&mut self.queue);
        waiting.sort_by_key(|job| std::cmp::Reverse(job.body.priority));
        let mut batch: Vec<Job> = Vec::new();
        let mut positions = 0;
        for job in waiting {
            let twice = batch.iter().any(|other| other.seq == job.seq);
            let room =
                batch.is_empty() || positions + job.body.input.len() <= self.flags.batch_positions;
            if twice || !room {
                self.queue.push(job);
                continue;
            }
            match self.admit(&job) {
                Ok(()) => {
                    positions += job.body.input.len();
                    batch.push(job);
                }
                Err(refusal) => {
                    let _ = job.reply.send(Err(refusal));
                }
            }
        }
        batch
    }

    /// Checks that a step is the next one of its sequence, and opens it at position zero.
    fn admit(&mut self, job: &Job) -> Result<(), StepRefusal> {
        let body = &job.body;
        if self.held.model.is_empty() || body.model != self.held.model {
            return Err(StepRefusal::NotHeld(body.model.clone()));
        }
        let tokens = matches!(body.input, Input::Tokens(_));
        if body.input.is_empty() || tokens != (self.held.layers.first == 0) {
            return Err(StepRefusal::BadInput);
        }
        let expected = self.seqs.get(&job.seq).map_or(0, |s| s.pos);
        if body.pos != expected {
            self.ledger.refused += 1;
            self.ledger.record(&job.seq).refused += 1;
            return Err(StepRefusal::Position(expected));
        }
        self.check_room(&job.seq, body.input.len())?;
        let fresh = || Sequence::new(self.held.layers);
        self.seqs.entry(job.seq.clone()).or_insert_with(fresh);
        Ok(())
    }

    fn check_room(&self, seq: &str, positions: usize) -> Result<(), StepRefusal> {
        let opens = !self.seqs.contains_key(seq);
        let full = opens && self.seqs.len() >= self.flags.max_seqs;
        if full || self.used() + positions > self.flags.max_positions {
            return Err(StepRefusal::Full(RETRY_MS));
        }
        Ok(())
    }

    fn used(&self) -> usize {
        self.seqs.values().map(|s| s.pos as usize).sum()
    }

    /// Returns the time that a batch takes.
    pub(super) fn batch_time(&self, batch: &[Job]) -> Duration {
        let fresh: usize = batch
            .iter()
            .filter(|job| job.body.input.len() > 1)
            .map(|job| self.uncached(job))
            .sum();
        Duration::from_micros(self.flags.step_us + self.flags.position_us * fresh as u64)
    }

    fn uncached(&self, job: &Job) -> usize {
        let known = match job.body.pos {
            0 => self.cache.known_positions(&job.body.input),
            _ => 0,
        };
        job.body.input.len().saturating_sub(known)
    }

    /// Tells whether a batch holds the token that kills the engine.
    pub(super) fn kills(&self, batch: &[Job]) -> bool {
        let Some(poison) = self.flags.poison else {
            return false;
        };
        batch.iter().any(|job| match &job.body.input {
            Input::Tokens(tokens) => tokens.contains(&poison),
            Input::Acts(_) => false,
        })
    }

    /// Runs a step whose batch time has passed.
    pub(super) fn run(&mut self, job: &Job) -> StepResult {
        // The sequence may have been cancelled, or other weights loaded, in the meantime.
        let (layers, total) = (self.held.layers, self.held.total);
        let seq = self.seqs.get_mut(&job.seq);
        let seq = seq.ok_or(StepRefusal::Position(0))?;
        if seq.pos != job.body.pos {
            return Err(StepRefusal::Position(seq.pos));
        }
        let out = seq.run(layers, layers.end == total, &job.body.input);
        let positions = job.body.input.len();
        self.ledger.steps += 1;
        self.ledger.positions += positions as u64;
        self.ledger.record(&job.seq).positions += positions as u32;
        if job.body.pos == 0 {
            let changes = self.cache.store(&job.body.input);
            changes.into_iter().for_each(|c| self.log.push(c));
        }
        Ok(out)
    }

    /// Ends a batch.
    pub(super) fn end_batch(&mut self, took: Duration) {
        self.ledger.batches += 1;
        self.step_us = took.as_micros() as u32;
        self.sample();
    }

    pub(super) fn cancel(&mut self, seq: &str) {
        if self.seqs.remove(seq).is_some() {
            self.ledger.record(seq).cancelled = true;
        }
    }

    pub(super) fn export(&self, seq: &str) -> Result<KvCache, StepRefusal> {
        let open = self.seqs.get(seq).ok_or(StepRefusal::Position(0))?;
        Ok(open.to_cache())
    }

    pub(super) fn import(&mut self, seq: &str, cache: KvCache) -> Result<(), StepRefusal> {
        if let Some(open) = self.seqs.get(seq) {
            return Err(StepRefusal::Position(open.pos));
        }
        if cache.state.len() != self.held.layers.count() as usize {
            return Err(StepRefusal::BadInput);
        }
        self.check_room(seq, cache.pos as usize)?;
        self.seqs
            .insert(seq.to_owned(), Sequence::from_cache(cache));
        Ok(())
    }

    pub(super) fn forget(&mut self) {
        self.seqs.clear();
        self.cache.clear();
    }

    /// Returns the newest load that is old enough to be known.
    pub(super) fn load(&mut self) -> Load {
        self.sample();
        let lag = Duration::from_millis(self.flags.load_lag_ms);
        while self.samples.len() > 1 && self.samples[1].0.elapsed() >= lag {
            self.samples.pop_front();
        }
        self.samples.front().map_or_else(Load::default, |s| s.1)
    }

    fn sample(&mut self) {
        let load = Load {
            running: self.seqs.len() as u32,
            queued: self.queue.len() as u32,
            step_us: self.step_us,
            prefill_us: self.flags.position_us as u32,
            memory: (self.used() * FULL_SCALE / self.flags.max_positions.max(1)) as u16,
        };
        self.samples.push_back((Instant::now(), load));
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    pub(super) fn held(&self) -> LoadedLayers {
        self.held.clone()
    }

    /// Checks an order; from then on nothing is held until it ends.
    pub(super) fn begin_order(&mut self, order: &LoadOrder) -> Result<LoadedLayers, StepRefusal> {
        let fenced = self.flags.fencing == Switch::On;
        if fenced && order.fence < self.highest {
            return Err(StepRefusal::Fenced(self.highest));
        }
        self.highest = order.fence;
        self.forget();
        let held = LoadedLayers {
            model: order.model.clone(),
            version: order.version.clone(),
            layers: order.layers,
            fence: fenced.then_some(order.fence),
            ..self.held.clone()
        };
        self.held.model = String::new();
        Ok(held)
    }

    /// Takes over what was loaded, unless a newer order came in between.
    pub(super) fn end_order(
        &mut self,
        fence: Fence,
        held: LoadedLayers,
    ) -> Result<LoadedLayers, StepRefusal> {
        if self.flags.fencing == Switch::On && fence < self.highest {
            return Err(StepRefusal::Fenced(self.highest));
        }
        self.held = held;
        Ok(self.held.clone())
    }

    pub(super) fn events(&self, after: u64) -> Vec<CacheEvent> {
        self.log.after(after)
    }

    pub(super) fn ledger(&mut self) -> &Ledger {
        self.ledger.open = self.seqs.len();
        &self.ledger
    }
}
