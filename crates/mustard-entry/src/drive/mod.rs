//! Drives one draft through its stages, over as many attempts as it takes.

mod attempt;
mod errors;
mod failure;
mod limit;
mod ports;

pub use errors::{DriveError, Failed, Result};
pub use failure::{Failure, Verdict};
pub use limit::StepLimits;
pub use ports::{Chain, Deliver, NoChain, Ports, Veto, Want};

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use mustard_core::event::EventKind;
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Epoch, RequestId};
use mustard_net::Process;
use mustard_proto::Ran;

use attempt::Attempt;

/// How long a broken-off draft waits for servers that hold every layer.
const CHAIN_PATIENCE: Duration = Duration::from_secs(5);
const CHAIN_PAUSE: Duration = Duration::from_millis(20);
const MAX_CHAIN_PAUSE: Duration = Duration::from_millis(250);

/// A draft to be generated.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request.
    pub request: RequestId,
    /// The digest of its content.
    pub fingerprint: Fingerprint,
    /// The model.
    pub model: String,
    /// The layers that every token must cross.
    pub layers: u32,
    /// The tokens of the prompt.
    pub prompt: Vec<u32>,
    /// The number of tokens to generate.
    pub wanted: u32,
    /// The priority at the engines.
    pub priority: u8,
    /// When the whole answer must be there.
    pub deadline: Instant,
}

/// Drives one draft to its end.
pub struct Driver<'a, P> {
    ports: &'a P,
    process: &'a Arc<Process>,
    limits: StepLimits,
    attempts: u32,
    job: Job,
    tokens: Vec<u32>,
    want: Want,
    ran: Ran,
    /// Since when no chain of sound servers holds every layer.
    stalled: Option<Instant>,
    pause: Duration,
}

impl<'a, P: Ports> Driver<'a, P> {
    /// Creates the driver of a draft.
    pub fn new(
        ports: &'a P,
        process: &'a Arc<Process>,
        limits: StepLimits,
        attempts: u32,
        job: Job,
    ) -> Self {
        let want = Want {
            model: job.model.clone(),
            layers: job.layers,
            positions: job.prompt.len() as u32,
            avoid: Vec::new(),
        };
        Driver {
            ports,
            process,
            limits,
            attempts,
            job,
            tokens: Vec::new(),
            want,
            ran: Ran::No,
            stalled: None,
            pause: CHAIN_PAUSE,
        }
    }

    /// Runs attempts until every wanted token is delivered, each exactly once and in order.
    ///
    /// # Errors
    ///
    /// The error says whether any stage may have run; what was delivered before is correct.
    pub async fn run(mut self, out: &mut impl Deliver) -> Result<()> {
        let mut epoch = Epoch(1);
        let mut last = None;
        let mut attempts = 0;
        while attempts < self.attempts {
            self.check_deadline()?;
            if let Err(veto) = self.ports.allow().await {
                return Err(self.fail(DriveError::vetoed(veto, last)));
            }
            let chain = match self.choose().await {
                Ok(chain) => chain,
                Err(none) => return Err(self.fail(DriveError::no_chain(none, last))),
            };
            // While a layer has no sound server, time bounds the attempts and not their number.
            attempts += u32::from(self.stalled.is_none());
            let failure = match self.attempt(epoch, chain, out).await {
                Ok(()) => return Ok(()),
                Err(failure) => failure,
            };
            epoch = self.learn(epoch, &failure).await?;
            last = Some(failure);
        }
        Err(self.fail(DriveError::exhausted(self.attempts, last)))
    }

    async fn attempt(
        &mut self,
        epoch: Epoch,
        chain: Chain,
        out: &mut impl Deliver,
    ) -> std::result::Result<(), Failure> {
        self.process.emit(
            Some(self.job.request),
            EventKind::AttemptStarted {
                epoch,
                chain: chain.names.clone(),
            },
        );
        let planned = &chain.planned;
        self.limits
            .expect(planned.first_us, planned.token_us, self.positions());
        let mut attempt = Attempt::open(self.ports, &self.job, &self.tokens, epoch, chain);
        while (self.tokens.len() as u32) < self.job.wanted {
            let token = attempt.step(&mut self.limits, &mut self.ran).await?;
            if self.tokens.is_empty() {
                self.process
                    .emit(Some(self.job.request), EventKind::FirstToken { epoch });
            }
            self.tokens.push(token);
            self.stalled = None;
            self.pause = CHAIN_PAUSE;
            out.deliver(token);
            if !self.ports.on_time(self.tokens.len() as u32) {
                return Err(Failure::hopeless());
            }
        }
        Ok(())
    }

    /// Chooses a chain; once stages have run, waits a while for one to become available.
    ///
    /// The agents under suspicion are tried again after pauses that grow.
    async fn choose(&mut self) -> std::result::Result<Chain, NoChain> {
        self.want.positions = self.positions();
        loop {
            let none = match self.ports.choose(&self.want) {
                Ok(chain) => return Ok(chain),
                Err(none) => none,
            };
            let now = Instant::now();
            let since = *self.stalled.get_or_insert(now);
            let end = (since + CHAIN_PATIENCE).min(self.job.deadline);
            // Servers that other suspects hold come free again.
            let waits = self.ran != Ran::No || none.held;
            if !waits || now >= end {
                return Err(none);
            }
            sleep(self.pause).await;
            self.pause = (self.pause * 2).min(MAX_CHAIN_PAUSE);
            self.want.avoid.clear();
        }
    }

    /// Takes in what a failed attempt shows and returns the epoch of the next one.
    async fn learn(&mut self, epoch: Epoch, failure: &Failure) -> Result<Epoch> {
        let agent = failure.agent.clone().unwrap_or_default();
        self.process.emit(
            Some(self.job.request),
            EventKind::AttemptFailed {
                epoch,
                agent,
                reason: failure.reason.clone(),
            },
        );
        match &failure.verdict {
            Verdict::Final(cause) => Err(self.fail(DriveError::Refused(cause.clone()))),
            Verdict::Avoid(suspects) => {
                self.want.avoid.extend(suspects.iter().cloned());
                Ok(epoch.next())
            }
            Verdict::Again => Ok(epoch.next()),
            Verdict::Supersede(current) => Ok((*current).max(epoch).next()),
            Verdict::CatchUp(have) => {
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

    fn fail(&self, cause: DriveError) -> errors::Failed {
        errors::Failed {
            cause,
            ran: self.ran,
            delivered: self.tokens.len() as u32,
        }
    }
}
