//! Admission by priority: streams that find no path wait in a queue of their service.
//!
//! The head of the queue searches for a path when servers have changed or a request has ended. The
//! requests behind it only wait until they become the head.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use slog::info;
use tokio::sync::Notify;
use tokio::time::sleep;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::deployment::{Config, Route, ServerKey};
use mustard_policy::admission::waiting::{
    Head, MAX_SEARCH_PAUSE, PathRequest, Pushed, Urgency, WaiterKey, WaitingQueue,
};
use mustard_policy::pipeline::RequestDemand;

use crate::app::App;
use crate::log_limit::Topic;
use crate::metric;

use super::AdmittedRequest;
use super::open_stream::{Attempts, MIN_WAIT, PATH_WAIT_SHARE, find_path};
use super::send::{SendError, Target};

/// The largest part of the time that is left to a caller that it is told to wait.
const MAX_RETRY_SHARE: f64 = 0.3;

/// The priority of a request to a service whose requests are admitted by priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestPriority {
    /// The customer's priority, or else the route's; 0 is the most urgent.
    pub level: u8,
    /// The number of more urgent priorities that requests to the service may have.
    pub rank: usize,
}

impl RequestPriority {
    /// Returns the priority of a request of a customer; `None` if requests to the service aren't
    /// admitted by priority.
    pub fn of(config: &Config, route: &Route, service: &str, own: Option<u8>) -> Option<Self> {
        let levels = config.priority_levels(service)?;
        let level = levels.clamp(own.unwrap_or(route.priority));
        Some(RequestPriority {
            level,
            rank: levels.rank(level),
        })
    }
}

/// The requests that wait for a path, by service.
#[derive(Default)]
pub struct WaitingQueues {
    services: RefCell<Map<String, ServiceQueue>>,
    /// Notified when a request has ended, which may leave room for another.
    freed: Notify,
}

#[derive(Default)]
struct ServiceQueue {
    queue: WaitingQueue,
    /// The request that searches, as it was last told.
    head: Option<Head>,
    /// Wakes each waiting request when it becomes the head or was dropped.
    signals: Map<WaiterKey, Rc<Notify>>,
}

impl WaitingQueues {
    /// Records that a request has ended.
    pub fn record_freed(&self) {
        self.freed.notify_waiters();
    }

    fn with<T>(&self, service: &str, use_queue: impl FnOnce(&mut ServiceQueue) -> T) -> T {
        let mut services = self.services.borrow_mut();
        if !services.contains_key(service) {
            services.insert(service.to_owned(), ServiceQueue::default());
        }
        let queue = services.get_mut(service).expect("it was inserted above");
        let result = use_queue(queue);
        metric::set_waiting_requests(service, queue.queue.len());
        result
    }
}

impl ServiceQueue {
    /// Wakes the request that has become the head, if there is a new one.
    fn update_head(&mut self) {
        let head = self.queue.head();
        let is_new = head.map(|h| h.key) != self.head.map(|h| h.key);
        self.head = head;
        if let Some(signal) = head
            .filter(|_| is_new)
            .and_then(|h| self.signals.get(&h.key))
        {
            signal.notify_one();
        }
    }

    fn forget(&mut self, key: WaiterKey) {
        self.signals.remove(&key);
        self.update_head();
    }
}

/// Keeps a request in the queue until this guard is dropped.
struct WaitGuard {
    app: Rc<App>,
    service: String,
    key: WaiterKey,
    signal: Rc<Notify>,
    /// How the wait ended; the caller has left unless this says otherwise.
    outcome: &'static str,
}

/// The place of a waiting request.
enum Place {
    Head(Head),
    Behind,
    /// The queue was full, and a more urgent request took its place.
    Dropped,
}

impl WaitGuard {
    /// Adds a request to the queue; `None` if the queue is full.
    fn enter(app: &Rc<App>, service: &str, request: PathRequest) -> Option<Self> {
        let now = app.now();
        let signal = Rc::new(Notify::new());
        let pushed = app.waiting.with(service, |s| {
            let pushed = s.queue.push(now, request);
            let (key, dropped) = match pushed {
                Pushed::Waits(key) => (key, None),
                Pushed::Replaces(key, dropped) => (key, Some(dropped)),
                Pushed::Full => return None,
            };
            s.signals.insert(key, Rc::clone(&signal));
            if let Some(signal) = dropped.and_then(|d| s.signals.remove(&d)) {
                signal.notify_one();
            }
            s.update_head();
            Some(key)
        });
        let Some(key) = pushed else {
            metric::count_wait("full");
            return None;
        };
        Some(WaitGuard {
            app: Rc::clone(app),
            service: service.to_owned(),
            key,
            signal,
            outcome: "left",
        })
    }

    fn place(&self) -> Place {
        self.app.waiting.with(&self.service, |s| {
            if !s.signals.contains_key(&self.key) {
                return Place::Dropped;
            }
            match s.head.filter(|h| h.key == self.key) {
                Some(head) => Place::Head(head),
                None => Place::Behind,
            }
        })
    }

    fn grant(mut self, head: Head) {
        let now = self.app.now();
        self.outcome = "granted";
        let queue = &self.app.waiting;
        queue.with(&self.service, |s| s.queue.grant(now, head));
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        metric::count_wait(self.outcome);
        self.app.waiting.with(&self.service, |s| {
            s.queue.remove(self.key);
            s.forget(self.key);
        });
    }
}

/// A request that is to be given a path.
pub(super) struct Wait<'a> {
    pub(super) request: &'a AdmittedRequest,
    pub(super) priority: RequestPriority,
    pub(super) attempts: &'a Attempts,
    /// Whether no server was asked before.
    pub(super) is_first: bool,
    /// Whether this gateway has delivered events of the stream.
    pub(super) is_resumed: bool,
}

impl Wait<'_> {
    /// Waits until there is a path; `None` if the request is to be refused.
    pub(super) async fn wait_for_path(&self, app: &Rc<App>) -> Option<(Target, RequestDemand)> {
        let request = self.request;
        let service = &request.service.name;
        let began = app.now();
        let wait = request.route.target_latency.mul_f64(PATH_WAIT_SHARE);
        // The caller of a resumed stream waits from now on, not since the request arrived.
        let until = if self.is_resumed {
            began + wait
        } else {
            request.arrived + wait
        };
        let path_request = PathRequest {
            customer: request.customer.clone().unwrap_or_default(),
            urgency: self.urgency(),
            tokens: request.params.prompt_tokens + request.expected_tokens(),
            until,
        };
        let must_wait = app.waiting.with(service, |s| {
            if self.is_first {
                s.queue.record_arrival(began, &path_request);
            }
            s.queue.must_wait(path_request.urgency)
        });
        if !must_wait && let Some(found) = self.search(app, false) {
            app.waiting.with(service, |s| {
                s.queue.grant_arrival(app.now(), &path_request);
                s.update_head();
            });
            return Some(found);
        }
        if app.now() >= until || self.search_interval(app, until).is_none() {
            return None;
        }
        let mut guard = WaitGuard::enter(app, service, path_request)?;
        self.log_wait(app);
        loop {
            // Registered before the search, so that it misses no change.
            let changed = app.changed.notified();
            let freed = app.waiting.freed.notified();
            let signal = Rc::clone(&guard.signal);
            let signalled = signal.notified();
            let now = app.now();
            let left = now.until(until);
            if left.is_zero() {
                guard.outcome = "expired";
                return None;
            }
            let head = match guard.place() {
                Place::Head(head) => head,
                Place::Behind => {
                    tokio::select! {
                        () = signalled => {}
                        () = sleep(left) => {}
                    }
                    continue;
                }
                Place::Dropped => {
                    guard.outcome = "dropped";
                    return None;
                }
            };
            let next_search = app.waiting.with(service, |s| s.queue.next_search());
            if now >= next_search
                && let Some(found) = self.search(app, head.is_turn)
            {
                self.log_grant(app, head, began);
                guard.grant(head);
                return Some(found);
            }
            let Some(interval) = self.search_interval(app, until) else {
                guard.outcome = "expired";
                return None;
            };
            let next_search = app.waiting.with(service, |s| s.queue.next_search());
            let pause = app.now().until(next_search);
            let woken = async {
                tokio::select! {
                    () = changed => {}
                    () = freed => {}
                }
                sleep(app.now().until(next_search)).await;
            };
            tokio::select! {
                () = woken => {}
                () = signalled => {}
                () = sleep(interval.max(pause).min(left)) => {}
            }
        }
    }

    fn urgency(&self) -> Urgency {
        if self.is_resumed {
            Urgency::Resumed
        } else {
            Urgency::New(self.priority.level)
        }
    }

    /// Searches for a path; a request whose turn it is may use the room that more urgent ones may.
    fn search(&self, app: &Rc<App>, is_turn: bool) -> Option<(Target, RequestDemand)> {
        let began = app.now();
        let is_urgent = is_turn || self.is_resumed;
        let rank = if is_urgent { 0 } else { self.priority.rank };
        let found = find_path(app, self.request, self.attempts, Some(rank));
        let service = &self.request.service.name;
        let queues = &app.waiting;
        queues.with(service, |s| {
            s.queue.record_search(app.now(), began, found.is_some());
        });
        found
    }

    /// Returns the time until the next search if nothing changes; `None` if the limits that servers name
    /// leave no room for the request in time.
    fn search_interval(&self, app: &App, until: Moment) -> Option<Duration> {
        let now = app.now();
        let fleet = app.fleet.borrow();
        let service = &self.request.service.name;
        let limit_wait = fleet.limit_wait(service, now);
        let is_late = limit_wait.is_none_or(|w| w > now.until(until));
        if is_late && fleet.is_limited(service, now) {
            return None;
        }
        Some(limit_wait.map_or(MAX_SEARCH_PAUSE, |w| w.max(MIN_WAIT)))
    }

    fn log_wait(&self, app: &App) {
        if let Some(log) = app.log.logger_for(Topic::Waiting) {
            let service = &self.request.service.name;
            let (ahead, waiting) = app
                .waiting
                .with(service, |s| (s.queue.ahead(self.urgency()), s.queue.len()));
            info!(log, "queue: A request waits for a path."; "request" => &self.request.params.id,
                "service" => service, "priority" => self.priority.level,
                "resumed" => self.is_resumed, "ahead" => ahead.saturating_sub(1),
                "waiting" => waiting, "view_ms" => app.list_age_ms());
        }
    }

    fn log_grant(&self, app: &App, head: Head, began: Moment) {
        let waited = app.now().since(began);
        metric::record_wait(waited);
        if let Some(log) = app.log.logger_for(Topic::Waiting) {
            info!(log, "queue: A waiting request got a path."; "request" => &self.request.params.id,
                "service" => &self.request.service.name, "priority" => self.priority.level,
                "resumed" => self.is_resumed, "turn" => head.is_turn,
                "waited_ms" => waited.as_millis() as u64);
        }
    }
}

/// Logs by what a server that refused a request was given a smaller window, where windows are used.
pub(super) fn log_full_server(
    app: &App,
    request: &AdmittedRequest,
    first_server: ServerKey,
    error: SendError,
) {
    let SendError::NotRun(status, named) = error else {
        return;
    };
    if request.priority.is_none() || status == 421 {
        return;
    }
    let now = app.now();
    let fleet = app.fleet.borrow();
    let Some(server) = fleet.get(named.unwrap_or(first_server)) else {
        return;
    };
    if let Some(log) = app.log.logger_for(Topic::Server) {
        let report_at = server.last_report.as_ref().map(|(at, _)| *at);
        info!(log, "room: A server refused a request for lack of room.";
            "request" => &request.params.id, "server" => %server.entry.addr,
            "used" => server.memory_used, "running" => server.running,
            "window_reduced" => server.room.is_reduced(),
            "report_age_ms" => report_at.map(|at| now.ms_since(at)));
    }
}

/// Returns when the caller of a refused request is to try again: when the requests ahead of it are
/// expected to have paths.
pub(super) fn retry_after(
    app: &App,
    request: &AdmittedRequest,
    priority: RequestPriority,
) -> Duration {
    let now = app.now();
    let random = app.rng.borrow_mut().random::<f64>();
    let urgency = Urgency::New(priority.level);
    let limit = now.until(request.deadline).mul_f64(MAX_RETRY_SHARE);
    let (delay, interval, ahead) = app.waiting.with(&request.service.name, |s| {
        let queue = &s.queue;
        (
            queue.retry_after(now, urgency, priority.rank, limit, random),
            queue.grant_interval(now),
            queue.ahead(urgency),
        )
    });
    if let Some(log) = app.log.logger_for(Topic::Waiting) {
        info!(log, "queue: A request is refused for lack of a path.";
            "request" => &request.params.id, "service" => &request.service.name,
            "priority" => priority.level, "ahead" => ahead,
            "grant_interval_ms" => interval.as_millis() as u64,
            "retry_after_ms" => delay.as_millis() as u64,
            "took_ms" => now.ms_since(request.arrived), "view_ms" => app.list_age_ms());
    }
    delay
}
