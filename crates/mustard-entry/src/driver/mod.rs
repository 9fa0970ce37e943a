//! Drives one completion request through the stages of its model, retrying failed attempts.
//!
//! An attempt runs over a chain of agents that together hold every layer of the model. Its first
//! step is a prefill of the prompt and of the tokens delivered before; each later step decodes one
//! token. Every attempt has an epoch above those of the earlier ones, by which agents refuse steps
//! of an attempt that was given up.
//!
//! The driver reaches its process through [`Ports`]: chains, permission for each attempt, steps and
//! the progress of the request.

mod attempt;
mod errors;
mod failure;
mod limit;
mod ports;

pub use errors::{DriveError, DriveFailure, Result};
pub use failure::{Failure, Recovery};
pub use limit::StepLimits;
pub use ports::{AttemptDenial, Chain, ChainRequest, NoChain, Ports, TokenSink};

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use mustard_core::event::EventKind;
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Epoch, RequestId};
use mustard_net::Process;
use mustard_proto::Execution;

use attempt::Attempt;

/// How long a request waits for a chain if stages may have run it already, or if its own content is
/// suspect and requests with other suspect contents occupy the servers.
const MAX_CHAIN_WAIT: Duration = Duration::from_secs(5);
/// The first pause before a chain is chosen again; it doubles up to the maximum.
const MIN_CHAIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_CHAIN_BACKOFF: Duration = Duration::from_millis(250);

/// A completion request to be run.
#[derive(Clone, Debug)]
pub struct CompletionJob {
    /// The id of the request.
    pub request: RequestId,
    /// The digest of its content.
    pub fingerprint: Fingerprint,
    /// The model.
    pub model: String,
    /// The number of layers of the model.
    pub layers: u32,
    /// The token ids of the prompt.
    pub prompt: Vec<u32>,
    /// The number of tokens to generate.
    pub wanted: u32,
    /// The priority at the engines on the servers; higher goes first.
    pub priority: u8,
    /// When the last token must be delivered.
    pub deadline: Instant,
}

/// Runs one completion request until it is answered or fails.
pub struct Driver<'a, P> {
    /// What the driver needs from its process, such as chains and permission for an attempt.
    ports: &'a P,
    process: &'a Arc<Process>,
    limits: StepLimits,
    max_attempts: u32,
    job: CompletionJob,
    tokens: Vec<u32>,
    chain_request: ChainRequest,
    execution: Execution,
    /// Since when no chain could be chosen; reset by the next token.
    stalled_since: Option<Instant>,
    backoff: Duration,
}

impl<'a, P: Ports> Driver<'a, P> {
    /// Creates the driver of a request that may take up to `max_attempts` attempts.
    pub fn new(
        ports: &'a P,
        process: &'a Arc<Process>,
        limits: StepLimits,
        max_attempts: u32,
        job: CompletionJob,
    ) -> Self {
        let chain_request = ChainRequest {
            model: job.model.clone(),
            layers: job.layers,
            positions: job.prompt.len() as u32,
            avoid: Vec::new(),
        };
        Driver {
            ports,
            process,
            limits,
            max_attempts,
            job,
            tokens: Vec::new(),
            chain_request,
            execution: Execution::No,
            stalled_since: None,
            backoff: MIN_CHAIN_BACKOFF,
        }
    }

    /// Runs attempts until every wanted token is delivered, each exactly once and in order.
    ///
    /// # Errors
    ///
    /// The error tells whether any stage may have run; the tokens delivered before it are correct.
    pub async fn run(mut self, out: &mut impl TokenSink) -> Result<()> {
        let mut epoch = Epoch(1);
        let mut last = None;
        let mut attempts = 0;
        while attempts < self.max_attempts {
            self.check_deadline()?;
            // Denied if the content is quarantined, the catalogue no longer allows the request, the
            // retry budget is used up, or the deadline passes while a suspect content waits to run
            // isolated.
            if let Err(denial) = self.ports.permit_attempt().await {
                return Err(self.fail(DriveError::denied(denial, last)));
            }
            let chain = match self.find_chain().await {
                Ok(chain) => chain,
                Err(no_chain) => return Err(self.fail(DriveError::no_chain(no_chain, last))),
            };
            // After a moment without any usable chain, agents that failed before are tried again.
            // Such attempts don't count until a token arrives; MAX_CHAIN_WAIT limits them instead.
            attempts += u32::from(self.stalled_since.is_none());
            let failure = match self.run_attempt(epoch, chain, out).await {
                Ok(()) => return Ok(()),
                Err(failure) => failure,
            };
            epoch = self.apply_failure(epoch, &failure).await?;
            last = Some(failure);
        }
        Err(self.fail(DriveError::exhausted(self.max_attempts, last)))
    }

    async fn run_attempt(
        &mut self,
        epoch: Epoch,
        chain: Chain,
        out: &mut impl TokenSink,
    ) -> std::result::Result<(), Failure> {
        self.process.emit(
            Some(self.job.request),
            EventKind::AttemptStarted {
                epoch,
                chain: chain.names.clone(),
            },
        );
        let plan = &chain.plan;
        self.limits
            .set_expected(plan.first_us, plan.token_us, self.positions());
        let mut attempt = Attempt::new(self.ports, &self.job, &self.tokens, epoch, chain);
        while (self.tokens.len() as u32) < self.job.wanted {
            let token = attempt
                .next_token(&mut self.limits, &mut self.execution)
                .await?;
            if self.tokens.is_empty() {
                self.process
                    .emit(Some(self.job.request), EventKind::FirstToken { epoch });
            }
            self.tokens.push(token);
            self.stalled_since = None;
            self.backoff = MIN_CHAIN_BACKOFF;
            out.push_token(token);
            // False if the request can't be complete before its deadline any more.
            if !self.ports.record_progress(self.tokens.len() as u32) {
                return Err(Failure::too_late());
            }
        }
        Ok(())
    }

    /// Chooses a chain; waits for one if stages may have run already, or if the request's own
    /// content is suspect and requests with other suspect contents occupy the servers.
    ///
    /// After each backoff the agents that failed before are tried again.
    async fn find_chain(&mut self) -> std::result::Result<Chain, NoChain> {
        self.chain_request.positions = self.positions();
        loop {
            let no_chain = match self.ports.choose_chain(&self.chain_request) {
                Ok(chain) => return Ok(chain),
                Err(no_chain) => no_chain,
            };
            let now = Instant::now();
            let since = *self.stalled_since.get_or_insert(now);
            let end = (since + MAX_CHAIN_WAIT).min(self.job.deadline);
            // `occupied` is set only for a request whose own content is suspect too: it can't share
            // servers with other suspect contents, but those servers become free again.
            let waits = self.execution != Execution::No || no_chain.occupied;
            if !waits || now >= end {
                return Err(no_chain);
            }
            sleep(self.backoff).await;
            self.backoff = (self.backoff * 2).min(MAX_CHAIN_BACKOFF);
            self.chain_request.avoid.clear();
        }
    }

    /// Applies the recovery of a failed attempt and returns the epoch of the next one.
    async fn apply_failure(&mut self, epoch: Epoch, failure: &Failure) -> Result<Epoch> {
        let agent = failure.agent.clone().unwrap_or_default();
        self.process.emit(
            Some(self.job.request),
            EventKind::AttemptFailed {
                epoch,
                agent,
                reason: failure.reason.clone(),
            },
        );
        match &failure.recovery {
            Recovery::GiveUp(cause) => Err(self.fail(DriveError::Refused(cause.clone()))),
            Recovery::Avoid(agents) => {
                self.chain_request.avoid.extend(agents.iter().cloned());
                Ok(epoch.next())
            }
            Recovery::Retry => Ok(epoch.next()),
            Recovery::Supersede(current) => Ok((*current).max(epoch).next()),
            Recovery::CatchUp(have) => {
                let left = self.job.deadline.saturating_duration_since(Instant::now());
                if !self.ports.catch_up(*have, left).await {
                    return Err(self.fail(DriveError::StaleCatalogue));
                }
                Ok(epoch.next())
            }
        }
    }

    fn positions(&self) -> u32 {
        (self.job.prompt.len() + self.tokens.len()) as u32
    }

    fn check_deadline(&self) -> Result<()> {
        if Instant::now() < self.job.deadline {
            return Ok(());
        }
        Err(self.fail(DriveError::Deadline))
    }

    fn fail(&self, cause: DriveError) -> errors::DriveFailure {
        errors::DriveFailure {
            cause,
            execution: self.execution,
            delivered: self.tokens.len() as u32,
        }
    }
}
