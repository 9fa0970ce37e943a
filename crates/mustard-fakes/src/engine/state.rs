//! The engine's state: weights, sequences and queued steps.

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

/// The time after which to retry a step that found the memory full.
const FULL_RETRY_MS: u64 = 50;
const MAX_LOAD_SAMPLES: usize = 1024;
/// Reports of memory in use are in thousandths.
const MEMORY_SCALE: usize = 1000;

/// Why a step, an import or an order is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StepRefusal {
    /// The sequence's next position is this one; zero if it isn't open.
    Position(u32),
    /// The order's fencing token is below this one.
    Fenced(Fence),
    /// This model isn't loaded.
    NotHeld(String),
    /// The memory is full; retry after this many milliseconds.
    Full(u64),
    /// The input doesn't fit the layers that are loaded.
    BadInput,
}

pub(super) type StepResult = Result<StepOutput, StepRefusal>;

/// A step that waits for its batch, with the channel for its result.
pub(super) struct PendingStep {
    pub(super) seq: String,
    pub(super) body: StepRequest,
    pub(super) reply: oneshot::Sender<StepResult>,
}

/// What is loaded, the open sequences, the queue and the records.
pub(super) struct EngineState {
    held: LoadedLayers,
    highest_fence: Fence,
    flags: EngineFlags,
    sequences: Map<String, Sequence>,
    pub(super) queue: Vec<PendingStep>,
    cache: PrefixCache,
    event_log: EventLog,
    ledger: Ledger,
    step_us: u32,
    load_samples: VecDeque<(Instant, Load)>,
}

impl EngineState {
    pub(super) fn new(flags: &EngineFlags) -> Self {
        let lag = Duration::from_millis(flags.event_lag_ms);
        let fence = (flags.fencing == Switch::On).then_some(Fence(0));
        EngineState {
            held: LoadedLayers {
                model: flags.model.clone(),
                version: flags.version.clone(),
                layers: flags.layers.0,
                total: flags.total_layers,
                accelerator: flags.accelerator.clone(),
                fence,
            },
            highest_fence: Fence(0),
            sequences: Map::default(),
            queue: Vec::new(),
            cache: PrefixCache::new(flags.prefix_blocks),
            event_log: EventLog::new(lag, flags.event_loss, flags.seed),
            ledger: Ledger::default(),
            step_us: flags.step_us as u32,
            load_samples: VecDeque::new(),
            flags: flags.clone(),
        }
    }

    /// Takes the steps of the next batch out of the queue: highest priority first and at most
    /// one for each sequence. Steps that can't run are refused at once.
    pub(super) fn next_batch(&mut self) -> Vec<PendingStep> {
        let mut waiting = std::mem::take(&mut self.queue);
        waiting.sort_by_key(|step| std::cmp::Reverse(step.body.priority));
        let mut batch: Vec<PendingStep> = Vec::new();
        let mut positions = 0;
        for step in waiting {
            let duplicate = batch.iter().any(|other| other.seq == step.seq);
            let fits =
                batch.is_empty() || positions + step.body.input.len() <= self.flags.batch_positions;
            if duplicate || !fits {
                self.queue.push(step);
                continue;
            }
            match self.admit(&step) {
                Ok(()) => {
                    positions += step.body.input.len();
                    batch.push(step);
                }
                Err(refusal) => {
                    let _ = step.reply.send(Err(refusal));
                }
            }
        }
        batch
    }

    /// Checks that a step can run now, and opens its sequence if it isn't open yet.
    fn admit(&mut self, step: &PendingStep) -> Result<(), StepRefusal> {
        let body = &step.body;
        if self.held.model.is_empty() || body.model != self.held.model {
            return Err(StepRefusal::NotHeld(body.model.clone()));
        }
        let tokens = matches!(body.input, Input::Tokens(_));
        if body.input.is_empty() || tokens != (self.held.layers.first == 0) {
            return Err(StepRefusal::BadInput);
        }
        let expected = self.sequences.get(&step.seq).map_or(0, |s| s.pos);
        if body.pos != expected {
            self.ledger.refused += 1;
            self.ledger.record(&step.seq).refused += 1;
            return Err(StepRefusal::Position(expected));
        }
        self.check_capacity(&step.seq, body.input.len())?;
        let new_sequence = || Sequence::new(self.held.layers);
        self.sequences
            .entry(step.seq.clone())
            .or_insert_with(new_sequence);
        Ok(())
    }

    /// Checks that the memory has room for more positions of a sequence, which may be new.
    fn check_capacity(&self, seq: &str, positions: usize) -> Result<(), StepRefusal> {
        let is_new = !self.sequences.contains_key(seq);
        let full = is_new && self.sequences.len() >= self.flags.max_seqs;
        if full || self.used_positions() + positions > self.flags.max_positions {
            return Err(StepRefusal::Full(FULL_RETRY_MS));
        }
        Ok(())
    }

    fn used_positions(&self) -> usize {
        self.sequences.values().map(|s| s.pos as usize).sum()
    }

    /// Returns the time that a batch takes before the slow factor.
    pub(super) fn batch_time(&self, batch: &[PendingStep]) -> Duration {
        let prefilled: usize = batch
            .iter()
            .filter(|step| step.body.input.len() > 1)
            .map(|step| self.uncached_positions(step))
            .sum();
        Duration::from_micros(self.flags.step_us + self.flags.position_us * prefilled as u64)
    }

    fn uncached_positions(&self, step: &PendingStep) -> usize {
        let cached = match step.body.pos {
            0 => self.cache.cached_positions(&step.body.input),
            _ => 0,
        };
        step.body.input.len().saturating_sub(cached)
    }

    /// Tells whether a batch contains the token that crashes the engine.
    pub(super) fn is_poisoned(&self, batch: &[PendingStep]) -> bool {
        let Some(poison) = self.flags.poison else {
            return false;
        };
        batch.iter().any(|step| match &step.body.input {
            Input::Tokens(tokens) => tokens.contains(&poison),
            Input::Activations(_) => false,
        })
    }

    /// Runs a step at the end of its batch's time.
    pub(super) fn run_step(&mut self, step: &PendingStep) -> StepResult {
        // Since its admission the sequence may have been cancelled, or dropped by a load order.
        let (layers, total) = (self.held.layers, self.held.total);
        let seq = self.sequences.get_mut(&step.seq);
        let seq = seq.ok_or(StepRefusal::Position(0))?;
        if seq.pos != step.body.pos {
            return Err(StepRefusal::Position(seq.pos));
        }
        let out = seq.run(layers, layers.end == total, &step.body.input);
        let positions = step.body.input.len();
        self.ledger.steps += 1;
        self.ledger.positions += positions as u64;
        self.ledger.record(&step.seq).positions += positions as u32;
        if step.body.pos == 0 {
            let changes = self.cache.insert(&step.body.input);
            changes.into_iter().for_each(|c| self.event_log.push(c));
        }
        Ok(out)
    }

    /// Records the end of a batch that took some time.
    pub(super) fn end_batch(&mut self, took: Duration) {
        self.ledger.batches += 1;
        self.step_us = took.as_micros() as u32;
        self.record_load();
    }

    /// Closes a sequence and records that it was cancelled.
    pub(super) fn cancel(&mut self, seq: &str) {
        if self.sequences.remove(seq).is_some() {
            self.ledger.record(seq).cancelled = true;
        }
    }

    /// Returns a copy of a sequence's cache.
    pub(super) fn export(&self, seq: &str) -> Result<KvCache, StepRefusal> {
        let open = self.sequences.get(seq).ok_or(StepRefusal::Position(0))?;
        Ok(open.to_cache())
    }

    /// Opens a sequence with a cache that another engine exported.
    pub(super) fn import(&mut self, seq: &str, cache: KvCache) -> Result<(), StepRefusal> {
        if let Some(open) = self.sequences.get(seq) {
            return Err(StepRefusal::Position(open.pos));
        }
        if cache.state.len() != self.held.layers.count() as usize {
            return Err(StepRefusal::BadInput);
        }
        self.check_capacity(seq, cache.pos as usize)?;
        self.sequences
            .insert(seq.to_owned(), Sequence::from_cache(cache));
        Ok(())
    }

    /// Drops all sequences and the prefix cache.
    pub(super) fn clear(&mut self) {
        self.sequences.clear();
        self.cache.clear();
    }

    /// Returns the newest load report that is at least as old as the lag, or else the oldest one.
    pub(super) fn load(&mut self) -> Load {
        self.record_load();
        let lag = Duration::from_millis(self.flags.load_lag_ms);
        while self.load_samples.len() > 1 && self.load_samples[1].0.elapsed() >= lag {
            self.load_samples.pop_front();
        }
        self.load_samples
            .front()
            .map_or_else(Load::default, |s| s.1)
    }

    fn record_load(&mut self) {
        let load = Load {
            running: self.sequences.len() as u32,
            queued: self.queue.len() as u32,
            step_us: self.step_us,
            prefill_us: self.flags.position_us as u32,
            memory: (self.used_positions() * MEMORY_SCALE / self.flags.max_positions.max(1)) as u16,
        };
        self.load_samples.push_back((Instant::now(), load));
        if self.load_samples.len() > MAX_LOAD_SAMPLES {
            self.load_samples.pop_front();
        }
    }

    pub(super) fn held(&self) -> LoadedLayers {
        self.held.clone()
    }

    /// Checks a load order and unloads the weights; returns what `end_order` is to take over.
    pub(super) fn begin_order(&mut self, order: &LoadOrder) -> Result<LoadedLayers, StepRefusal> {
        let fenced = self.flags.fencing == Switch::On;
        if fenced && order.fence < self.highest_fence {
            return Err(StepRefusal::Fenced(self.highest_fence));
        }
        self.highest_fence = order.fence;
        self.clear();
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

    /// Takes over what was loaded, unless a newer order arrived in the meantime.
    pub(super) fn end_order(
        &mut self,
        fence: Fence,
        held: LoadedLayers,
    ) -> Result<LoadedLayers, StepRefusal> {
        if self.flags.fencing == Switch::On && fence < self.highest_fence {
            return Err(StepRefusal::Fenced(self.highest_fence));
        }
        self.held = held;
        Ok(self.held.clone())
    }

    pub(super) fn events(&self, after: u64) -> Vec<CacheEvent> {
        self.event_log.published_after(after)
    }

    pub(super) fn ledger(&mut self) -> &Ledger {
        self.ledger.open = self.sequences.len();
        &self.ledger
    }
}
