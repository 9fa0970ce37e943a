//! Measures how long a caller's stream stalls when a stage fails.

use std::fmt;
use std::time::{Duration, Instant};

use mustard_core::ids::Layers;

use crate::caller::expected_text;
use crate::cluster::Cluster;
use crate::errors::Result;
use crate::plan::{MODEL, Plan};

const PROMPT: [u32; 4] = [3, 1, 4, 1];
const TOKEN_COUNT: usize = 60;
/// The token after which the failure is injected.
const FAULT_TOKEN: usize = 20;
const MIDDLE_LAYERS: Layers = Layers::new(4, 8);
const STEP_US: &str = "3000";

/// A failure of a stage in the middle of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The VM fails: the engine and its agent are killed.
    VmKilled,
    /// The engine is killed; its agent keeps running.
    EngineKilled,
    /// The agent is suspended (`SIGSTOP`).
    AgentFrozen,
}

impl Failure {
    /// All failures, in the order of the report.
    pub const ALL: [Failure; 3] = [
        Failure::VmKilled,
        Failure::EngineKilled,
        Failure::AgentFrozen,
    ];

    fn inject(self, cluster: &mut Cluster, stage: usize) -> Result<()> {
        let node = &mut cluster.stages[stage];
        match self {
            Failure::VmKilled => node.kill(),
            Failure::EngineKilled => node.server.kill(),
            Failure::AgentFrozen => node.agent.freeze(),
        }
    }
}

/// The times from a failure to the caller's next token; displays as a row of the report.
#[derive(Clone, Debug)]
pub struct GapReport {
    failure: Failure,
    sorted_gaps: Vec<Duration>,
    wrong_streams: usize,
}

impl GapReport {
    /// Returns the number of streams that were incomplete or differed from the reference text.
    pub fn wrong_streams(&self) -> usize {
        self.wrong_streams
    }

    fn percentile_ms(&self, percent: usize) -> u128 {
        let rank = (self.sorted_gaps.len() * percent).div_ceil(100).max(1);
        self.sorted_gaps
            .get(rank - 1)
            .map_or(0, Duration::as_millis)
    }
}

impl fmt::Display for GapReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (p50, p95, max) = (
            self.percentile_ms(50),
            self.percentile_ms(95),
            self.percentile_ms(100),
        );
        let name = format!("{:?}", self.failure);
        let n = self.sorted_gaps.len();
        write!(
            f,
            "{name:<14} {n:>4} {p50:>7} {p95:>7} {max:>7} {:>6}",
            self.wrong_streams
        )
    }
}

/// Injects a failure into `rounds` streams, each on a new cluster.
pub fn measure_gaps(failure: Failure, rounds: usize) -> Result<GapReport> {
    let mut report = GapReport {
        failure,
        sorted_gaps: Vec::new(),
        wrong_streams: 0,
    };
    for _ in 0..rounds {
        let (gap, is_correct) = run_stream(failure)?;
        report.sorted_gaps.extend(gap);
        report.wrong_streams += usize::from(!is_correct);
    }
    report.sorted_gaps.sort();
    Ok(report)
}

/// Streams one draft; returns the gap after the failure and whether the draft is complete and
/// correct. The gap is `None` if no middle stage was busy at the token of the failure.
fn run_stream(failure: Failure) -> Result<(Option<Duration>, bool)> {
    let plan = Plan::new().entries(1).services(0).replicas(2);
    let mut cluster = Cluster::start(&plan.engine_flags(&["--step-us", STEP_US]))?;
    let caller = cluster.caller(0);
    let mut failed_at = None;
    let mut gap = None;
    let mut injected = Ok(());
    let draft = caller.stream_with(MODEL, &PROMPT, TOKEN_COUNT, |token| {
        if token == FAULT_TOKEN
            && let Some(stage) = cluster.busy_stage(MIDDLE_LAYERS)
        {
            injected = failure.inject(&mut cluster, stage);
            failed_at = Some(Instant::now());
        } else if gap.is_none() {
            gap = failed_at.map(|at: Instant| at.elapsed());
        }
    })?;
    injected?;
    let is_correct = draft.text == expected_text(cluster.layers(), &PROMPT, TOKEN_COUNT);
    Ok((gap, draft.is_whole() && is_correct))
}
