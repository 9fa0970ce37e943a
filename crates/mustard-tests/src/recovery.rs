//! Measures how long a caller's stream stands still when a stage fails.

use std::fmt;
use std::time::{Duration, Instant};

use mustard_core::ids::Layers;

use crate::caller::expected_text;
use crate::cluster::Cluster;
use crate::errors::Result;
use crate::plan::{MODEL, Plan};

const PROMPT: [u32; 4] = [3, 1, 4, 1];
const TOKENS: usize = 60;
const FAULT_AT: usize = 20;
const MIDDLE: Layers = Layers::new(4, 8);
const STEP_US: &str = "3000";

/// A failure of a stage in the middle of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The VM dies: engine and agent end at once.
    VmKilled,
    /// The engine dies and its agent lives on.
    EngineKilled,
    /// The agent stands still.
    AgentFrozen,
}

impl Failure {
    /// All failures.
    pub const ALL: [Failure; 3] = [
        Failure::VmKilled,
        Failure::EngineKilled,
        Failure::AgentFrozen,
    ];

    fn bring_about(self, cluster: &mut Cluster, stage: usize) -> Result<()> {
        let node = &mut cluster.stages[stage];
        match self {
            Failure::VmKilled => node.kill(),
            Failure::EngineKilled => node.server.kill(),
            Failure::AgentFrozen => node.agent.freeze(),
        }
    }
}

/// The times from a failure to the caller's next token.
#[derive(Clone, Debug)]
pub struct Gaps {
    failure: Failure,
    sorted: Vec<Duration>,
    wrong: usize,
}

impl Gaps {
    /// Returns the number of streams that were not whole or not equal to the reference.
    pub fn wrong(&self) -> usize {
        self.wrong
    }

    fn at(&self, hundredth: usize) -> u128 {
        let rank = (self.sorted.len() * hundredth).div_ceil(100).max(1);
        self.sorted.get(rank - 1).map_or(0, Duration::as_millis)
    }
}

impl fmt::Display for Gaps {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (p50, p95, max) = (self.at(50), self.at(95), self.at(100));
        let kind = format!("{:?}", self.failure);
        let n = self.sorted.len();
        write!(
            f,
            "{kind:<14} {n:>4} {p50:>7} {p95:>7} {max:>7} {:>6}",
            self.wrong
        )
    }
}

/// Brings a failure about in a number of streams, each over a new cluster.
pub fn measure(failure: Failure, rounds: usize) -> Result<Gaps> {
    let mut gaps = Gaps {
        failure,
        sorted: Vec::new(),
        wrong: 0,
    };
    for _ in 0..rounds {
        let (gap, right) = stream(failure)?;
        gaps.sorted.extend(gap);
        gaps.wrong += usize::from(!right);
    }
    gaps.sorted.sort();
    Ok(gaps)
}

/// Streams one draft; returns the gap and whether the draft is whole and right.
fn stream(failure: Failure) -> Result<(Option<Duration>, bool)> {
    let plan = Plan::new().entries(1).services(0).replicas(2);
    let mut cluster = Cluster::start(&plan.engine(&["--step-us", STEP_US]))?;
    let caller = cluster.caller(0);
    let mut failed = None;
    let mut gap = None;
    let mut fault = Ok(());
    let draft = caller.stream_with(MODEL, &PROMPT, TOKENS, |token| {
        if token == FAULT_AT
            && let Some(stage) = cluster.busy_stage(MIDDLE)
        {
            fault = failure.bring_about(&mut cluster, stage);
            failed = Some(Instant::now());
        } else if gap.is_none() {
            gap = failed.map(|at: Instant| at.elapsed());
        }
    })?;
    fault?;
    let right = draft.text == expected_text(cluster.layers(), &PROMPT, TOKENS);
    Ok((gap, draft.is_whole() && right))
}
