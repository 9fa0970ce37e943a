//! Compares the token latency of drafts through an entry process with that of calling the stages
//! directly.

use std::rc::Rc;
use std::time::Duration;

use anyhow::{bail, ensure};
use hdrhistogram::Histogram;
use ntex::rt::{DefaultRuntime, System};
use serde_json::{Value, json};
use tokio::time::Instant;

use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Epoch, Incarnation, RequestId};
use mustard_net::{MessageClient, Process, http};
use mustard_proto::agent::{Heartbeat, Role};
use mustard_proto::step::{AttemptParams, Cancel, ChainStage, Input, Step};

use super::Args;
use super::fleet::{Fleet, MODEL};
use super::requests::{DRAFT_TOKENS, PROMPT_TOKENS, add_stages, load_args};
use crate::load::{self, Arrival, Ending, Kind};

/// Drafts that are sent first and not measured.
const WARMUP_DRAFTS: usize = 5;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Token latencies of one way to run drafts, in microseconds.
struct TokenLatencies {
    /// Until the first token.
    first: Histogram<u64>,
    /// Between tokens.
    gap: Histogram<u64>,
}

impl TokenLatencies {
    fn new() -> anyhow::Result<Self> {
        Ok(TokenLatencies {
            first: Histogram::new(3)?,
            gap: Histogram::new(3)?,
        })
    }

    fn record(&mut self, first: Duration, gaps: &[Duration]) -> anyhow::Result<()> {
        self.first.record(first.as_micros() as u64)?;
        for gap in gaps {
            self.gap.record(gap.as_micros() as u64)?;
        }
        Ok(())
    }

    fn json(&self) -> Value {
        let quantiles = |h: &Histogram<u64>| {
            json!({
                "p50": h.value_at_quantile(0.5),
                "p95": h.value_at_quantile(0.95),
                "p99": h.value_at_quantile(0.99),
            })
        };
        json!({ "first_us": quantiles(&self.first), "gap_us": quantiles(&self.gap) })
    }
}

/// Runs drafts in turn through an entry process and by steps sent to the stages directly.
pub(super) fn compare_tokens(args: &Args, fleet: &mut Fleet) -> anyhow::Result<Value> {
    let drafts = args.sizes(&[40], &[200])[0];
    add_stages(fleet, &[])?;
    let args = Rc::new(load_args(fleet));
    let agents: Vec<_> = fleet.stages.iter().map(|s| s.agent.addr()).collect();
    let system = System::new("tokens", DefaultRuntime);
    let (through, direct) = system.block_on(async move {
        let client = MessageClient::new(Process::new("bench", 4));
        let http = http::new_client();
        let chain = fetch_chain(&client, &agents).await?;
        let (mut through, mut direct) = (TokenLatencies::new()?, TokenLatencies::new()?);
        for number in 0..drafts + WARMUP_DRAFTS {
            let arrival = Arrival {
                number: 0,
                offset: Duration::ZERO,
                kind: Kind::Draft,
                salt: rand::random(),
            };
            let due = Instant::now();
            let result = load::send(http.clone(), Rc::clone(&args), arrival, due).await;
            ensure!(
                result.ending == Ending::Good,
                "a draft ended {:?}",
                result.ending
            );
            let (first, gaps) = draft_directly(&client, &chain).await?;
            if number >= WARMUP_DRAFTS {
                through.record(result.first_token.unwrap_or_default(), &result.token_gaps)?;
                direct.record(first, &gaps)?;
            }
        }
        Ok::<_, anyhow::Error>((through, direct))
    })?;
    let value = json!({ "through_entry": through.json(), "directly": direct.json() });
    println!("tokens over three stages: {value}\n");
    Ok(value)
}

/// Asks the agents for their layers and returns the path over them.
async fn fetch_chain(
    client: &MessageClient,
    agents: &[std::net::SocketAddr],
) -> anyhow::Result<Vec<ChainStage>> {
    let mut chain = Vec::new();
    for addr in agents {
        let from = "bench".to_owned();
        let heartbeat = Heartbeat { from };
        let info = client
            .call(*addr, Incarnation(0), heartbeat, CALL_TIMEOUT)
            .await?;
        let Role::Stage { layers, .. } = info.role else {
            bail!("the agent at {addr} holds no layers");
        };
        chain.push(ChainStage {
            addr: *addr,
            incarnation: info.incarnation,
            layers,
        });
    }
    Ok(chain)
}

/// Runs one draft without an entry process and returns the time to its first token and those
/// between tokens.
async fn draft_directly(
    client: &MessageClient,
    chain: &[ChainStage],
) -> anyhow::Result<(Duration, Vec<Duration>)> {
    let request = RequestId::random();
    let salt: u32 = rand::random();
    let prompt: Vec<u32> = (0..PROMPT_TOKENS)
        .map(|i| salt.wrapping_add(i) % 32_000)
        .collect();
    let params = AttemptParams {
        chain: chain.to_vec(),
        model: MODEL.to_owned(),
        fingerprint: Fingerprint::of(&[&salt.to_le_bytes()]),
        priority: 0,
        deadline_ms: 60_000,
    };
    let mut step = Step {
        request,
        epoch: Epoch(1),
        stage: 0,
        pos: 0,
        input: Input::Tokens(prompt),
        params: Some(params),
        limit_ms: 5_000,
    };
    let begin = Instant::now();
    let mut last = begin;
    let mut first = Duration::ZERO;
    let mut gaps = Vec::with_capacity(DRAFT_TOKENS as usize);
    for number in 0..DRAFT_TOKENS {
        let pos = step.pos + step.input.len() as u32;
        let head = &chain[0];
        let output = client
            .call(head.addr, head.incarnation, step.clone(), CALL_TIMEOUT)
            .await?;
        let now = Instant::now();
        match number {
            0 => first = now - begin,
            _ => gaps.push(now - last),
        }
        last = now;
        step.pos = pos;
        step.input = Input::Tokens(vec![output.token]);
        step.params = None;
    }
    let epoch = Epoch(1);
    for hop in chain {
        let cancel = Cancel { request, epoch };
        client
            .call(hop.addr, hop.incarnation, cancel, CALL_TIMEOUT)
            .await?;
    }
    Ok((first, gaps))
}
