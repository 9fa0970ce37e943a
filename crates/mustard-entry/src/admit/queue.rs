//! The queue of one model and the places of its requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_net::Process;
use mustard_policy::admission::{
    Admission, Ask, Decision, Forecast, Progress, Refusal, Settings, Ticket,
};
use mustard_policy::fleet::Fleet;
use mustard_policy::route::{Affinity, Query, RouteError, choose};

use super::plan::chain_of;
use super::{Refused, Result};
use crate::drive::Chain;
use crate::servers::Servers;

const NO_SERVER_RETRY: Duration = Duration::from_millis(500);
const PREFIXES: usize = 4_096;

/// What a request asks of admission.
#[derive(Clone, Debug)]
pub struct Wish {
    /// The model.
    pub model: String,
    /// The layers that every token must cross.
    pub layers: u32,
    /// The tokens of the prompt.
    pub prompt: Vec<u32>,
    /// Customer, share, class, tokens and deadline.
    pub ask: Ask,
}

struct Waiter {
    wish: Wish,
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
                affinity: Affinity::new(PREFIXES),
                rng: SmallRng::from_os_rng(),
            }),
        })
    }

    /// Takes a request into the queue.
    pub(super) fn offer(self: &Arc<Self>, now: Moment, wish: Wish) -> Result<Place> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        let ticket = state
            .admission
            .offer(now, wish.ask.clone())
            .map_err(|r| late(&r))?;
        state.waiters.insert(ticket, Waiter { wish, sender });
        Ok(Place {
            held: Held {
                queue: Arc::clone(self),
                ticket,
            },
            receiver,
        })
    }

    /// Starts every waiting request that a chain has room for.
    pub(super) fn pump(&self, now: Moment) {
        let mut answers = Vec::new();
        {
            let fleet = self.servers.view();
            let state = &mut *self.lock();
            while state.pass(&fleet, now, &mut answers) {}
        }
        // The receivers run on other threads; the lock is free when they wake.
        for (sender, answer) in answers {
            let _ = sender.send(answer);
        }
    }

    /// Starts waiting requests, if there are any.
    pub(super) fn pump_waiting(&self, now: Moment) {
        if self.waiting() > 0 {
            self.pump(now);
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
    /// Decides once; tells whether a request without servers was taken out and others may go.
    fn pass(&mut self, fleet: &Fleet, now: Moment, answers: &mut Answers) -> bool {
        let State {
            admission,
            waiters,
            affinity,
            rng,
        } = self;
        let pace = admission.pace_us();
        let mut chains: Map<Ticket, Chain> = Map::default();
        let mut lacking = None;
        let decisions = admission.poll(now, |ticket| {
            let wish = &waiters.get(&ticket)?.wish;
            let prompt = wish.prompt.len() as u32;
            let query = Query::new(&wish.model, wish.layers, prompt, wish.ask.tokens)
                .pace(pace)
                .prefer(affinity.find(&wish.model, &wish.prompt));
            let plan = match choose(fleet, &query, now, rng) {
                Ok(plan) => plan,
                Err(RouteError::NoServer { layer }) => {
                    lacking = Some((ticket, layer));
                    return None;
                }
                Err(_) => return None,
            };
            let keys: Vec<_> = plan.servers().collect();
            affinity.insert(&wish.model, &wish.prompt, &keys);
            chains.insert(ticket, chain_of(fleet, &plan)?);
            Some(Forecast::from(&plan))
        });
        for (ticket, decision) in decisions {
            let Some(waiter) = waiters.remove(&ticket) else {
                continue;
            };
            let answer = match (decision, chains.remove(&ticket)) {
                (Decision::Run, Some(chain)) => Ok(chain),
                (Decision::Refuse(refusal), _) => Err(late(&refusal)),
                (Decision::Run, None) => continue,
            };
            answers.push((waiter.sender, answer));
        }
        let Some((ticket, layer)) = lacking else {
            return false;
        };
        admission.abandon(ticket);
        if let Some(waiter) = waiters.remove(&ticket) {
            let retry = NO_SERVER_RETRY;
            answers.push((waiter.sender, Err(Refused::NoServer { layer, retry })));
        }
        true
    }
}

fn late(refusal: &Refusal) -> Refused {
    Refused::Late {
        reason: refusal.reason.name(),
        retry: refusal.retry_after,
    }
}

/// A request's ticket; dropping it ends the request in its queue.
struct Held {
    queue: Arc<Queue>,
    ticket: Ticket,
}

impl Drop for Held {
    fn drop(&mut self) {
        let now = self.queue.process.now();
        {
            let mut state = self.queue.lock();
            state.waiters.remove(&self.ticket);
            state.admission.abandon(self.ticket);
        }
        self.queue.pump_waiting(now);
    }
}

/// A request in its queue.
pub(super) struct Place {
    held: Held,
    receiver: oneshot::Receiver<Result<Chain>>,
}

impl Place {
    pub(super) async fn wait(self) -> Result<Admitted> {
        let Place { held, receiver } = self;
        let answer = receiver.await.unwrap_or(Err(Refused::Late {
            reason: "queue_full",
            retry: NO_SERVER_RETRY,
        }));
        Ok(Admitted {
            chain: Some(answer?),
            held,
        })
    }
}

/// A running request; dropping it ends the request in its queue.
pub struct Admitted {
    chain: Option<Chain>,
    held: Held,
}

impl Admitted {
    /// Returns the chain chosen at admission, once.
    pub fn chain(&mut self) -> Option<Chain> {
        self.chain.take()
    }

    /// Takes in that tokens were delivered; tells whether the rest can still come in time.
    pub fn progress(&self, delivered: u32) -> bool {
        let now = self.held.queue.process.now();
        let mut state = self.held.queue.lock();
        state.admission.progress(self.held.ticket, now, delivered) == Progress::OnTime
    }

    /// Takes in that the request was answered whole.
    pub fn finish(self, tokens: u32) {
        let now = self.held.queue.process.now();
        let mut state = self.held.queue.lock();
        state.admission.finish(self.held.ticket, now, tokens);
    }
}
