//! The fair queue of one model at one entry process.

use std::time::Duration;

use mustard_core::arena::Arena;
use mustard_core::catalogue::Class;
use mustard_core::clock::Moment;
use mustard_core::collections::Map;

use super::concurrency::ConcurrencyWindow;
use super::customer::{Customer, Rank, request_cost};
use super::predictor::Predictor;
use super::types::{
    Decision, Forecast, Offer, Progress, Reason, Refusal, Result, Settings, Ticket,
};

/// The shortest time after which a refused client is told to try again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The time between two scans for waiting requests that can't be answered in time any more.
const SCAN_INTERVAL: Duration = Duration::from_millis(10);
/// A running request's time per token, its pace, is used only after more tokens than this.
const MIN_PACE_TOKENS: u32 = 4;
/// A running request is expected to need at least this part of its observed time per token for each
/// remaining token.
const MIN_PACE_SHARE: f64 = 0.7;

/// The factor over the chain's time per token without other requests up to which a token gap is in
/// time, even if that exceeds the target gap.
const FLOOR_TOLERANCE: f32 = 1.5;
/// The longest predicted wait of a request that isn't interactive, as a part of its slack: the time
/// that it can wait and still be answered by its deadline.
const MAX_WAIT_SHARE: f64 = 0.45;
/// The time for which a customer that had no requests waiting goes before others.
const IDLE_CREDIT: Duration = Duration::from_millis(500);
/// The iterations of the wait prediction: arrivals of other customers lengthen the wait, and a
/// longer wait lets more of them arrive.
const WAIT_ITERATIONS: u32 = 4;
/// Keeps a wait that is predicted from a tiny start rate within the range of `Duration`.
const MAX_WAIT_S: f64 = 1e6;

/// A waiting or running request.
#[derive(Debug)]
pub struct Request {
    offer: Offer,
    rank: Rank,
    /// None while the request waits.
    run: Option<Run>,
}

/// The progress of a running request.
#[derive(Clone, Copy, Debug)]
struct Run {
    started: Moment,
    forecast: Forecast,
    first_token: Option<Moment>,
    last_token: Moment,
}

/// Admits the requests of one model at one entry process.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    requests: Arena<Request>,
    customers: Map<String, Customer>,
    predictor: Predictor,
    window: ConcurrencyWindow,
    waiting: usize,
    /// The largest virtual time that a customer had when a request of it started.
    virtual_now: f64,
    offer_count: u64,
    last_scan: Moment,
}

impl Admission {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> Self {
        Admission {
            settings,
            requests: Arena::new(),
            customers: Map::default(),
            predictor: Predictor::new(),
            window: ConcurrencyWindow::new(),
            waiting: 0,
            virtual_now: 0.0,
            offer_count: 0,
            last_scan: Moment::default(),
        }
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the ratio of actual to forecast times that 95 in 100 requests don't exceed.
    pub fn margin(&self) -> f32 {
        self.predictor.margin()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.requests.len() - self.waiting
    }

    /// Returns the number of requests that may run at once at present.
    pub fn max_running(&self) -> usize {
        self.window.size()
    }

    /// Returns the longest predicted time per token with which a chain may be chosen, in
    /// microseconds.
    pub fn max_token_us(&self) -> f32 {
        self.settings.target_gap.as_micros() as f32
    }

    /// Returns a request as it was offered; none if it has ended.
    pub fn offered(&self, ticket: Ticket) -> Option<&Offer> {
        self.requests.get(ticket).map(|r| &r.offer)
    }

    /// Queues a request until a poll decides about it.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the queue is full, the wait would be too long, or the request can't be
    /// answered in time.
    pub fn offer(&mut self, now: Moment, offer: Offer) -> Result<Ticket> {
        self.predictor.record_time(now, self.waiting > 0);
        self.offer_count += 1;
        let rank = (offer.class, offer.deadline, self.offer_count);
        self.check_offer(now, &offer, &rank)?;
        let cost = request_cost(&offer);
        let name = offer.customer.clone();
        let share = f64::from(offer.share);
        let run = None;
        let ticket = self.requests.insert(Request { offer, rank, run });
        let start = self.virtual_start(self.customers.get(&name));
        let customer = self.customers.entry(name).or_default();
        customer.share = share;
        customer.virtual_time = start;
        customer.push(now, rank, ticket, cost);
        self.waiting += 1;
        Ok(ticket)
    }

    /// Starts or refuses waiting requests, in the order of the fair queue.
    ///
    /// `plan` chooses a chain for a request and returns its forecast, or none if no chain has
    /// capacity; then nothing more starts in this poll.
    pub fn poll(
        &mut self,
        now: Moment,
        mut plan: impl FnMut(Ticket) -> Option<Forecast>,
    ) -> Vec<(Ticket, Decision)> {
        self.predictor.record_time(now, self.waiting > 0);
        let mut decisions = Vec::new();
        self.refuse_late(now, &mut decisions);
        while self.running() < self.window.size() {
            let Some(ticket) = self.next_ticket() else {
                break;
            };
            let Some(forecast) = plan(ticket) else {
                break;
            };
            let decision = self.start_or_refuse(now, ticket, forecast);
            decisions.push((ticket, decision));
        }
        decisions
    }

    /// Records that a running request has delivered `delivered` tokens in all, and returns whether
    /// it can still be answered in time.
    pub fn record_progress(&mut self, ticket: Ticket, now: Moment, delivered: u32) -> Progress {
        let running = self.running();
        let Some(request) = self.requests.get_mut(ticket) else {
            return Progress::OnTime;
        };
        let Some(run) = &mut request.run else {
            return Progress::OnTime;
        };
        let first_token = *run.first_token.get_or_insert(now);
        if delivered > 1 {
            let gap_us = now.since(run.last_token).as_micros() as f32;
            let target_us = self.settings.target_gap.as_micros() as f32;
            let late = gap_us > target_us.max(run.forecast.floor_us * FLOOR_TOLERANCE);
            self.window.observe_gap(now, late, running);
        }
        run.last_token = now;
        let remaining = f64::from(request.offer.tokens.saturating_sub(delivered));
        let pace_s = if delivered > MIN_PACE_TOKENS {
            now.since(first_token).as_secs_f64() / f64::from(delivered - 1)
        } else {
            0.0
        };
        let end = now + Duration::from_secs_f64(remaining * pace_s * MIN_PACE_SHARE);
        if end > request.offer.deadline {
            Progress::TooLate
        } else {
            Progress::OnTime
        }
    }

    /// Ends a request that was answered completely, and updates the prediction by the time it took.
    pub fn finish(&mut self, ticket: Ticket, now: Moment, tokens: u32) {
        if let Some(run) = self.remove_request(ticket) {
            let forecast_us = run.forecast.total_us(tokens);
            self.predictor
                .record_finish(forecast_us, now.since(run.started));
        }
    }

    /// Ends a waiting or running request that failed or whose client has disconnected.
    pub fn abandon(&mut self, ticket: Ticket) {
        self.remove_request(ticket);
    }

    fn check_offer(&self, now: Moment, offer: &Offer, rank: &Rank) -> Result<()> {
        if self.waiting >= self.settings.max_queue {
            return Err(new_refusal(Reason::QueueFull, MIN_RETRY_DELAY));
        }
        let wait = self.predict_wait(offer, rank);
        let slack = self.slack(now, offer);
        let Some(slack) = slack else {
            return Err(new_refusal(Reason::Deadline, wait));
        };
        let allowed = self.allowed_wait(offer, slack);
        if wait > allowed {
            return Err(new_refusal(Reason::Busy, wait - allowed));
        }
        Ok(())
    }

    /// Returns the slack: how long a request can wait and still be answered in time; none if it is
    /// too late.
    fn slack(&self, now: Moment, offer: &Offer) -> Option<Duration> {
        let forecast = self.predictor.mean_forecast();
        let duration = forecast.map_or(Duration::ZERO, |f| {
            self.predictor.predict_duration(f, offer.tokens)
        });
        let remaining = now.until(offer.deadline);
        remaining.checked_sub(duration).filter(|d| !d.is_zero())
    }

    fn allowed_wait(&self, offer: &Offer, slack: Duration) -> Duration {
        match offer.class {
            Class::Interactive => slack.min(self.settings.max_wait),
            Class::Deadline | Class::Batch => slack.mul_f64(MAX_WAIT_SHARE),
        }
    }

    /// Predicts how long a request waits behind those that go before it: earlier ones of its
    /// customer, and those of other customers until their virtual times pass its own.
    fn predict_wait(&self, offer: &Offer, rank: &Rank) -> Duration {
        let Some(rate) = self.predictor.start_rate() else {
            return Duration::ZERO;
        };
        if self.waiting == 0 {
            return Duration::ZERO;
        }
        let share = f64::from(offer.share);
        let customer = self.customers.get(&offer.customer);
        let own_cost = customer.map_or(0.0, |c| c.cost_ahead(rank));
        let start = self.virtual_start(customer);
        let virtual_end = start + own_cost / share;
        let others_cost = |wait: f64| -> f64 {
            let backlogged = self.customers.iter().filter(|(_, c)| !c.is_empty());
            backlogged
                .filter(|(name, _)| **name != offer.customer)
                .map(|(_, c)| c.cost_before(virtual_end, wait))
                .sum()
        };
        let next_wait = |wait: f64, _| (own_cost + others_cost(wait)) / rate;
        let wait = (0..WAIT_ITERATIONS).fold(0.0, next_wait);
        Duration::from_secs_f64(wait.min(MAX_WAIT_S))
    }

    /// Returns the virtual time from which a customer's next request counts.
    fn virtual_start(&self, customer: Option<&Customer>) -> f64 {
        Customer::virtual_start(customer, self.virtual_now, self.idle_credit())
    }

    /// Returns the virtual time that passes during [`IDLE_CREDIT`] while requests wait.
    fn idle_credit(&self) -> f64 {
        let backlogged = self.customers.values().filter(|c| !c.is_empty());
        let shares: f64 = backlogged.map(|c| c.share).sum();
        let rate = self.predictor.start_rate().unwrap_or(0.0);
        rate * IDLE_CREDIT.as_secs_f64() / shares.max(1.0)
    }

    /// Returns the request that goes next: that of the customer with the least virtual time, and
    /// a batch request only if nothing else waits.
    fn next_ticket(&self) -> Option<Ticket> {
        self.customers
            .values()
            .filter_map(|c| {
                let (rank, ticket) = c.first()?;
                Some((rank.0 == Class::Batch, c.virtual_time, ticket))
            })
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)))
            .map(|(_, _, ticket)| ticket)
    }

    fn start_or_refuse(&mut self, now: Moment, ticket: Ticket, forecast: Forecast) -> Decision {
        let Some(offer) = self.offered(ticket).cloned() else {
            return Decision::Refuse(new_refusal(Reason::Deadline, MIN_RETRY_DELAY));
        };
        let end = now + self.predictor.predict_duration(forecast, offer.tokens);
        self.dequeue_request(ticket);
        if end > offer.deadline {
            self.requests.remove(ticket);
            return Decision::Refuse(new_refusal(Reason::Deadline, MIN_RETRY_DELAY));
        }
        let cost = request_cost(&offer);
        self.predictor.record_start(forecast, cost);
        if let Some(customer) = self.customers.get_mut(&offer.customer) {
            self.virtual_now = self.virtual_now.max(customer.virtual_time);
            customer.charge_cost(cost);
        }
        if let Some(request) = self.requests.get_mut(ticket) {
            request.run = Some(Run {
                started: now,
                forecast,
                first_token: None,
                last_token: now,
            });
        }
        Decision::Run
    }

    /// Refuses every waiting request that can't be answered in time any more.
    fn refuse_late(&mut self, now: Moment, decisions: &mut Vec<(Ticket, Decision)>) {
        if now.since(self.last_scan) < SCAN_INTERVAL {
            return;
        }
        self.last_scan = now;
        let is_late = |r: &Request| r.run.is_none() && self.slack(now, &r.offer).is_none();
        let late: Vec<Ticket> = self
            .requests
            .iter()
            .filter(|(_, r)| is_late(r))
            .map(|(ticket, _)| ticket)
            .collect();
        for ticket in late {
            self.remove_request(ticket);
            let refusal = new_refusal(Reason::Deadline, MIN_RETRY_DELAY);
            decisions.push((ticket, Decision::Refuse(refusal)));
        }
    }

    fn remove_request(&mut self, ticket: Ticket) -> Option<Run> {
        self.dequeue_request(ticket);
        self.requests.remove(ticket)?.run
    }

    fn dequeue_request(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get(ticket) else {
            return;
        };
        if request.run.is_some() {
            return;
        }
        if let Some(customer) = self.customers.get_mut(&request.offer.customer) {
            customer.remove(&request.rank);
        }
        self.waiting -= 1;
    }
}

fn new_refusal(reason: Reason, retry_after: Duration) -> Refusal {
    let retry_after = retry_after.max(MIN_RETRY_DELAY);
    Refusal {
        reason,
        retry_after,
    }
}
