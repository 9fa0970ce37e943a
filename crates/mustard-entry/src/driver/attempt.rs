//! One attempt at a request: its steps run over one chain of agents under one epoch. Dropping it
//! cancels it at the agents.

use std::time::Duration;

use tokio::time::Instant;

use mustard_core::ids::Epoch;
use mustard_net::CallError;
use mustard_proto::step::{AttemptParams, Input, Output, Step};
use mustard_proto::{Execution, Refusal};

use super::CompletionJob;
use super::failure::{Failure, Recovery, merge_execution};
use super::limit::StepLimits;
use super::ports::{Chain, Ports};

/// An attempt in progress; dropping it cancels it at every agent of its chain.
pub(super) struct Attempt<'a, P: Ports> {
    ports: &'a P,
    job: CompletionJob,
    epoch: Epoch,
    chain: Chain,
    /// The position of the next step's first token.
    pos: u32,
    /// The token ids of the next step.
    input: Vec<u32>,
    /// Whether a step was sent, so that the agents may know the attempt.
    step_sent: bool,
}

impl<'a, P: Ports> Attempt<'a, P> {
    /// Creates an attempt whose first step is a prefill of the prompt and the delivered tokens.
    pub(super) fn new(
        ports: &'a P,
        job: &CompletionJob,
        delivered: &[u32],
        epoch: Epoch,
        chain: Chain,
    ) -> Self {
        let mut input = job.prompt.clone();
        input.extend_from_slice(delivered);
        Attempt {
            ports,
            job: job.clone(),
            epoch,
            chain,
            pos: 0,
            input,
            step_sent: false,
        }
    }

    /// Runs the next step and returns its token.
    pub(super) async fn next_token(
        &mut self,
        limits: &mut StepLimits,
        execution: &mut Execution,
    ) -> Result<u32, Failure> {
        let started = Instant::now();
        let count = self.input.len() as u32;
        let left = self.job.deadline.saturating_duration_since(started);
        if left.is_zero() {
            return Err(self.expired());
        }
        let limit = limits.limit_for(count).min(left);
        let step = self.build_step(limit, left);
        // From here on the agents may know the attempt, even if no answer comes, so its
        // cancellation must be sent to them.
        self.step_sent = true;
        match self.ports.run_step(&self.chain, step, limit).await {
            Ok(output) => {
                *execution = Execution::Maybe;
                let took = started.elapsed();
                if count == 1 {
                    limits.observe(took);
                }
                let token = self.accept_output(&output, count)?;
                self.ports.record_step(&self.chain, count, took, &output);
                Ok(token)
            }
            Err(error) => {
                *execution = merge_execution(*execution, error.execution());
                Err(self.classify(&error).await)
            }
        }
    }

    fn build_step(&mut self, limit: Duration, left: Duration) -> Step {
        let params = (!self.step_sent).then(|| AttemptParams {
            chain: self.chain.hops.clone(),
            model: self.job.model.clone(),
            fingerprint: self.job.fingerprint,
            priority: self.job.priority,
            deadline_ms: left.as_millis() as u64,
        });
        Step {
            request: self.job.request,
            epoch: self.epoch,
            stage: 0,
            pos: self.pos,
            input: Input::Tokens(self.input.clone()),
            params,
            limit_ms: limit.as_millis().max(1) as u32,
        }
    }

    fn accept_output(&mut self, output: &Output, count: u32) -> Result<u32, Failure> {
        let next = self.pos + count;
        if output.pos != next {
            return Err(Failure::wrong_position(&self.chain, next, output.pos));
        }
        self.pos = next;
        self.input.clear();
        self.input.push(output.token);
        Ok(output.token)
    }

    async fn classify(&self, error: &CallError) -> Failure {
        let mut failure = Failure::from_error(&self.chain, error);
        if matches!(error, CallError::TimedOut(_)) {
            // A timeout does not show which agent of the chain failed.
            let silent = self.ports.probe_agents(&self.chain).await;
            if !silent.is_empty() {
                failure.agent = silent.first().cloned();
                failure.recovery = Recovery::Avoid(silent);
            }
        }
        if let Recovery::Avoid(agents) = &failure.recovery {
            for name in agents {
                self.ports.report_failure(name, error);
            }
        }
        failure
    }

    fn expired(&self) -> Failure {
        Failure {
            agent: None,
            reason: Refusal::Expired.to_string(),
            recovery: Recovery::GiveUp(Refusal::Expired),
        }
    }
}

impl<P: Ports> Drop for Attempt<'_, P> {
    fn drop(&mut self) {
        if self.step_sent {
            self.ports
                .cancel_attempt(&self.chain, self.job.request, self.epoch);
        }
    }
}
