//! The admission queue of one model, and its waiting and admitted requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_net::Process;
use mustard_policy::admission::{
    Admission, Decision, Forecast, Offer, Progress, Refusal, Settings, Ticket,
};
use mustard_policy::fleet::Fleet;
use mustard_policy::route::{Affinity, Query, RouteError, choose_plan};

use super::chain::build_chain;
use super::{AdmissionError, Result};
use crate::driver::Chain;
use crate::servers::Servers;

/// When a caller should retry if a layer has no available server.
const NO_SERVER_RETRY: Duration = Duration::from_millis(500);
/// Prompt prefixes remembered per model, to route a prompt to servers that may have its prefix
/// cached.
const MAX_PREFIXES: usize = 4_096;

/// What admission needs to know about a completion request.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The model.
    pub model: String,
    /// The number of layers of the model.
    pub layers: u32,
    /// The token ids of the prompt.
    pub prompt: Vec<u32>,
    /// The customer with its share of the work, the class, the tokens to generate and the
    /// deadline.
    pub offer: Offer,
}

/// A waiting request and the channel to which its answer is sent.
struct Waiter {
    request: AdmissionRequest,
    sender: oneshot::Sender<Result<Chain>>,
}

struct State {
    admission: Admission,
    waiters: Map<Ticket, Waiter>,
    affinity: Affinity,
    rng: SmallRng,
}

/// The queue of one model.
pub(super) struct Queue {
    process: Arc<Process>,
    servers: Arc<Servers>,
    state: Mutex<State>,
}

impl Queue {
    pub(super) fn new(
        process: Arc<Process>,
        servers: Arc<Servers>,
        settings: Settings,
    ) -> Arc<Self> {
        Arc::new(Queue {
            process,
            servers,
            state: Mutex::new(State {
                admission: Admission::new(settings),
                waiters: Map::default(),
                affinity: Affinity::new(MAX_PREFIXES),
                rng: SmallRng::from_os_rng(),
            }),
        })
    }

    /// Adds a request to the queue, or refuses it if it can't be answered in time.
    pub(super) fn enqueue(
        self: &Arc<Self>,
        now: Moment,
        request: AdmissionRequest,
    ) -> Result<QueuedRequest> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        let ticket = state
            .admission
            .offer(now, request.offer.clone())
            .map_err(|r| late_error(&r))?;
        state.waiters.insert(ticket, Waiter { request, sender });
        Ok(QueuedRequest {
            guard: TicketGuard {
                queue: Arc::clone(self),
                ticket,
            },
            receiver,
        })
    }

    /// Admits every waiting request for which a chain has capacity.
    pub(super) fn dispatch(&self, now: Moment) {
        let mut answers = Vec::new();
        {
            let fleet = self.servers.view();
            let state = &mut *self.lock();
            while state.dispatch_round(&fleet, now, &mut answers) {}
        }
        // Receivers on other threads take the lock too, so it is released before they are woken.
        for (sender, answer) in answers {
            let _ = sender.send(answer);
        }
    }

    /// Calls [`Queue::dispatch`] if any request waits.
    pub(super) fn dispatch_if_waiting(&self, now: Moment) {
        if self.waiting() > 0 {
            self.dispatch(now);
        }
    }

    pub(super) fn waiting(&self) -> usize {
        self.lock().admission.waiting()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

type Answers = Vec<(oneshot::Sender<Result<Chain>>, Result<Chain>)>;

impl State {
    /// Polls admission once; returns whether a request was removed because a layer has no server,
    /// so that the requests behind it can be considered.
    fn dispatch_round(&mut self, fleet: &Fleet, now: Moment, answers: &mut Answers) -> bool {
        let State {
            admission,
            waiters,
            affinity,
            rng,
        } = self;
        let max_token_us = admission.max_token_us();
        let mut chains: Map<Ticket, Chain> = Map::default();
        let mut unservable = None;
        let decisions = admission.poll(now, |ticket| {
            let request = &waiters.get(&ticket)?.request;
            let positions = request.prompt.len() as u32;
            let query = Query::new(
                &request.model,
                request.layers,
                positions,
                request.offer.tokens,
            )
            .max_token_us(max_token_us)
            .prefer(affinity.find(&request.model, &request.prompt));
            let plan = match choose_plan(fleet, &query, now, rng) {
                Ok(plan) => plan,
                Err(RouteError::NoServer { layer }) => {
                    unservable = Some((ticket, layer));
                    return None;
                }
                Err(_) => return None,
            };
            let keys: Vec<_> = plan.servers().collect();
            affinity.insert(&request.model, &request.prompt, &keys);
            chains.insert(ticket, build_chain(fleet, &plan)?);
            Some(Forecast::from(&plan))
        });
        for (ticket, decision) in decisions {
            let Some(waiter) = waiters.remove(&ticket) else {
                continue;
            };
            let answer = match (decision, chains.remove(&ticket)) {
                (Decision::Run, Some(chain)) => Ok(chain),
                (Decision::Refuse(refusal), _) => Err(late_error(&refusal)),
                (Decision::Run, None) => continue,
            };
            answers.push((waiter.sender, answer));
        }
        let Some((ticket, layer)) = unservable else {
            return false;
        };
        admission.abandon(ticket);
        if let Some(waiter) = waiters.remove(&ticket) {
            let retry = NO_SERVER_RETRY;
            answers.push((
                waiter.sender,
                Err(AdmissionError::NoServer { layer, retry }),
            ));
        }
        true
    }
}

fn late_error(refusal: &Refusal) -> AdmissionError {
    AdmissionError::NotAdmitted {
        reason: refusal.reason.name(),
        retry: refusal.retry_after,
    }
}

/// The ticket of a request; dropping it removes the request from its queue.
struct TicketGuard {
    queue: Arc<Queue>,
    ticket: Ticket,
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        let now = self.queue.process.now();
        {
            let mut state = self.queue.lock();
            state.waiters.remove(&self.ticket);
            state.admission.abandon(self.ticket);
        }
        self.queue.dispatch_if_waiting(now);
    }
}

/// A request that waits in its queue.
pub(super) struct QueuedRequest {
    guard: TicketGuard,
    receiver: oneshot::Receiver<Result<Chain>>,
}

impl QueuedRequest {
    pub(super) async fn wait(self) -> Result<AdmittedRequest> {
        let QueuedRequest { guard, receiver } = self;
        let answer = receiver.await.unwrap_or(Err(AdmissionError::NotAdmitted {
            reason: "queue_full",
            retry: NO_SERVER_RETRY,
        }));
        Ok(AdmittedRequest {
            chain: Some(answer?),
            guard,
        })
    }
}

/// An admitted request; dropping it ends the request in its queue.
pub struct AdmittedRequest {
    chain: Option<Chain>,
    guard: TicketGuard,
}

impl AdmittedRequest {
    /// Returns the chain chosen at admission on the first call, `None` later.
    pub fn take_chain(&mut self) -> Option<Chain> {
        self.chain.take()
    }

    /// Records the tokens delivered so far; returns whether the rest can meet the deadline.
    pub fn record_progress(&self, delivered: u32) -> bool {
        let now = self.guard.queue.process.now();
        let mut state = self.guard.queue.lock();
        state
            .admission
            .record_progress(self.guard.ticket, now, delivered)
            == Progress::OnTime
    }

    /// Records that the request was answered completely.
    pub fn finish(self, tokens: u32) {
        let now = self.guard.queue.process.now();
        let mut state = self.guard.queue.lock();
        state.admission.finish(self.guard.ticket, now, tokens);
    }
}
