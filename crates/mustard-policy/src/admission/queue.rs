//! The queue of one model at one entry process.

use std::time::Duration;

use mustard_core::arena::Arena;
use mustard_core::catalogue::Class;
use mustard_core::clock::Moment;
use mustard_core::collections::Map;

use super::customer::{Customer, Rank, cost};
use super::predict::Predictor;
use super::types::{Ask, Decision, Forecast, Progress, Reason, Refusal, Result, Settings, Ticket};
use super::window::Window;

/// The shortest time after which a refused caller is told to come back.
const MIN_RETRY: Duration = Duration::from_millis(100);
/// How often waiting requests are looked through for hopeless ones.
const SWEEP_EVERY: Duration = Duration::from_millis(10);
/// The number of tokens after which the pace of a running request is trusted.
const PACE_TOKENS: u32 = 4;
/// The share of the observed time per token that a running request may come down to.
const BEST_PACE: f64 = 0.7;

/// The factor by which a chain may exceed its floor where that is above the wanted pace.
const FLOOR_STRETCH: f32 = 1.5;
/// The share of the time up to the latest start that a request may be predicted to wait.
const PATIENCE: f64 = 0.45;
/// The time for which a customer that was idle goes before others.
const CREDIT: Duration = Duration::from_millis(500);
/// The rounds of the search for a wait during which others' arrivals are counted too.
const WAIT_ROUNDS: u32 = 4;
const MAX_WAIT_S: f64 = 1e6;

/// A request under admission's eye.
#[derive(Debug)]
pub struct Request {
    ask: Ask,
    rank: Rank,
    run: Option<Run>,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    started: Moment,
    forecast: Forecast,
    first: Option<Moment>,
    last: Moment,
}

/// Decides about the requests of one model at one entry process.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    requests: Arena<Request>,
    customers: Map<String, Customer>,
    predictor: Predictor,
    window: Window,
    waiting: usize,
    virtual_now: f64,
    offers: u64,
    swept: Moment,
}

impl Admission {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> Self {
        Admission {
            settings,
            requests: Arena::new(),
            customers: Map::default(),
            predictor: Predictor::new(),
            window: Window::new(),
            waiting: 0,
            virtual_now: 0.0,
            offers: 0,
            swept: Moment::default(),
        }
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the learned ratio of real to predicted times that 95 in 100 requests keep.
    pub fn margin(&self) -> f32 {
        self.predictor.margin()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.requests.len() - self.waiting
    }

    /// Returns the number of requests that may run at once, as learned.
    pub fn window(&self) -> usize {
        self.window.size()
    }

    /// Returns the predicted time per token that a chain may reach, in microseconds.
    pub fn pace_us(&self) -> f32 {
        self.settings.gap.as_micros() as f32
    }

    /// Returns the ask of a request.
    pub fn ask(&self, ticket: Ticket) -> Option<&Ask> {
        self.requests.get(ticket).map(|r| &r.ask)
    }

    /// Takes in a request; it waits until a poll decides.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request can't be answered in time.
    pub fn offer(&mut self, now: Moment, ask: Ask) -> Result<Ticket> {
        self.predictor.pass(now, self.waiting > 0);
        self.offers += 1;
        let rank = (ask.class, ask.deadline, self.offers);
        self.check(now, &ask, &rank)?;
        let cost = cost(&ask);
        let name = ask.customer.clone();
        let share = f64::from(ask.share);
        let run = None;
        let ticket = self.requests.insert(Request { ask, rank, run });
        let begin = self.begin_tag(self.customers.get(&name));
        let customer = self.customers.entry(name).or_default();
        customer.share = share;
        customer.tag = begin;
        customer.push(now, rank, ticket, cost);
        self.waiting += 1;
        Ok(ticket)
    }

    /// Decides about waiting requests, in turn order.
    ///
    /// `plan` chooses a chain for a request and returns its forecast, or none if no chain has
    /// room; then nothing more starts in this poll.
    pub fn poll(
        &mut self,
        now: Moment,
        mut plan: impl FnMut(Ticket) -> Option<Forecast>,
    ) -> Vec<(Ticket, Decision)> {
        self.predictor.pass(now, self.waiting > 0);
        let mut decisions = Vec::new();
        self.sweep(now, &mut decisions);
        while self.running() < self.window.size() {
            let Some(ticket) = self.next() else {
                break;
            };
            let Some(forecast) = plan(ticket) else {
                break;
            };
            let decision = self.decide(now, ticket, forecast);
            decisions.push((ticket, decision));
        }
        decisions
    }

    /// Takes in that a running request delivered tokens, and tells whether it is still on time.
    pub fn progress(&mut self, ticket: Ticket, now: Moment, delivered: u32) -> Progress {
        let running = self.running();
        let Some(request) = self.requests.get_mut(ticket) else {
            return Progress::OnTime;
        };
        let Some(run) = &mut request.run else {
            return Progress::OnTime;
        };
        let first = *run.first.get_or_insert(now);
        if delivered > 1 {
            let gap = now.since(run.last).as_micros() as f32;
            let wanted = self.settings.gap.as_micros() as f32;
            let late = gap > wanted.max(run.forecast.floor_us * FLOOR_STRETCH);
            self.window.observe(now, late, running);
        }
        run.last = now;
        let left = f64::from(request.ask.tokens.saturating_sub(delivered));
        let pace = if delivered > PACE_TOKENS {
            now.since(first).as_secs_f64() / f64::from(delivered - 1)
        } else {
            0.0
        };
        let end = now + Duration::from_secs_f64(left * pace * BEST_PACE);
        if end > request.ask.deadline {
            Progress::Hopeless
        } else {
            Progress::OnTime
        }
    }

    /// Ends a request that was answered whole, and learns from the time it took.
    pub fn finish(&mut self, ticket: Ticket, now: Moment, tokens: u32) {
        if let Some(run) = self.forget(ticket) {
            let predicted = run.forecast.total_us(tokens);
            self.predictor.finish(predicted, now.since(run.started));
        }
    }

    /// Ends a request that failed or whose caller is gone, waiting or running.
    pub fn abandon(&mut self, ticket: Ticket) {
        self.forget(ticket);
    }

    fn check(&self, now: Moment, ask: &Ask, rank: &Rank) -> Result<()> {
        if self.waiting >= self.settings.max_queue {
            return Err(refusal(Reason::QueueFull, MIN_RETRY));
        }
        let wait = self.wait(ask, rank);
        let room = self.room(now, ask);
        let Some(room) = room else {
            return Err(refusal(Reason::Deadline, wait));
        };
        let allowed = self.allowed_wait(ask, room);
        if wait > allowed {
            return Err(refusal(Reason::Busy, wait - allowed));
        }
        Ok(())
    }

    /// Returns the time that a request can wait before its deadline is out of reach.
    fn room(&self, now: Moment, ask: &Ask) -> Option<Duration> {
        let usual = self.predictor.usual();
        let time = usual.map_or(Duration::ZERO, |f| self.predictor.time(f, ask.tokens));
        let left = now.until(ask.deadline);
        left.checked_sub(time).filter(|d| !d.is_zero())
    }

    fn allowed_wait(&self, ask: &Ask, room: Duration) -> Duration {
        match ask.class {
            Class::Interactive => room.min(self.settings.max_wait),
            Class::Deadline | Class::Batch => room.mul_f64(PATIENCE),
        }
    }

    /// Predicts how long a request waits behind those that go before it.
    fn wait(&self, ask: &Ask, rank: &Rank) -> Duration {
        let Some(rate) = self.predictor.rate() else {
            return Duration::ZERO;
        };
        if self.waiting == 0 {
            return Duration::ZERO;
        }
        let share = f64::from(ask.share);
        let own = self.customers.get(&ask.customer);
        let ahead = own.map_or(0.0, |c| c.ahead(rank));
        let begin = self.begin_tag(own);
        let tag = begin + ahead / share;
        let others = |wait: f64| -> f64 {
            let busy = self.customers.iter().filter(|(_, c)| !c.is_empty());
            busy.filter(|(name, _)| **name != ask.customer)
                .map(|(_, c)| c.before(tag, wait))
                .sum()
        };
        let longer = |wait: f64, _| (ahead + others(wait)) / rate;
        let wait = (0..WAIT_ROUNDS).fold(0.0, longer);
        Duration::from_secs_f64(wait.min(MAX_WAIT_S))
    }

    /// Returns the virtual time at which a customer's next request starts to count.
    ///
    /// A customer that was idle goes before others for a while, up to a bound.
    fn begin_tag(&self, customer: Option<&Customer>) -> f64 {
        match customer {
            Some(c) if !c.is_empty() => c.tag,
            Some(c) => c.tag.max(self.virtual_now - self.credit()),
            None => self.virtual_now - self.credit(),
        }
    }

    /// Returns the virtual time that passes in [`CREDIT`] while requests wait.
    fn credit(&self) -> f64 {
        let busy = self.customers.values().filter(|c| !c.is_empty());
        let shares: f64 = busy.map(|c| c.share).sum();
        let rate = self.predictor.rate().unwrap_or(0.0);
        rate * CREDIT.as_secs_f64() / shares.max(1.0)
    }

    /// Returns the request that goes next over all customers.
    fn next(&self) -> Option<Ticket> {
        self.customers
            .values()
            .filter_map(|c| {
                let (rank, ticket) = c.head()?;
                Some((rank.0 == Class::Batch, c.tag, ticket))
            })
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)))
            .map(|(_, _, ticket)| ticket)
    }

    fn decide(&mut self, now: Moment, ticket: Ticket, forecast: Forecast) -> Decision {
        let Some(ask) = self.ask(ticket).cloned() else {
            return Decision::Refuse(refusal(Reason::Deadline, MIN_RETRY));
        };
        let end = now + self.predictor.time(forecast, ask.tokens);
        self.dequeue(ticket);
        if end > ask.deadline {
            self.requests.remove(ticket);
            return Decision::Refuse(refusal(Reason::Deadline, MIN_RETRY));
        }
        let cost = cost(&ask);
        self.predictor.start(forecast, cost);
        if let Some(customer) = self.customers.get_mut(&ask.customer) {
            self.virtual_now = self.virtual_now.max(customer.tag);
            customer.charge(cost);
        }
        if let Some(request) = self.requests.get_mut(ticket) {
            request.run = Some(Run {
                started: now,
                forecast,
                first: None,
                last: now,
            });
        }
        Decision::Run
    }

    /// Refuses every waiting request that can't be answered in time any more.
    fn sweep(&mut self, now: Moment, decisions: &mut Vec<(Ticket, Decision)>) {
        if now.since(self.swept) < SWEEP_EVERY {
            return;
        }
        self.swept = now;
        let waits = |r: &Request| r.run.is_none() && self.room(now, &r.ask).is_none();
        let hopeless: Vec<Ticket> = self
            .requests
            .iter()
            .filter(|(_, r)| waits(r))
            .map(|(ticket, _)| ticket)
            .collect();
        for ticket in hopeless {
            self.forget(ticket);
            let refused = refusal(Reason::Deadline, MIN_RETRY);
            decisions.push((ticket, Decision::Refuse(refused)));
        }
    }

    fn forget(&mut self, ticket: Ticket) -> Option<Run> {
        self.dequeue(ticket);
        self.requests.remove(ticket)?.run
    }

    fn dequeue(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get(ticket) else {
            return;
        };
        if request.run.is_some() {
            return;
        }
        if let Some(customer) = self.customers.get_mut(&request.ask.customer) {
            customer.remove(&request.rank);
        }
        self.waiting -= 1;
    }
}

fn refusal(reason: Reason, retry_after: Duration) -> Refusal {
    let retry_after = retry_after.max(MIN_RETRY);
    Refusal {
        reason,
        retry_after,
    }
}
