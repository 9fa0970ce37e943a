//! The budget of what a process holds for its clients: connections, bytes that wait to be decoded, bodies and
//! answers.
//!
//! All listeners of a worker thread share one [`ClientBudget`]. A client that needs more than is left is refused,
//! unless another client that makes no progress can be evicted. See `docs/design/client-budget.md`.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use metrics::{counter, gauge};
use ntex::io::IoRef;
use slog::{Logger, warn};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use mustard_core::arena::{Arena, Key};

use crate::client_limits::{ClientLimits, Listener};

/// The largest body that may use the part of the budget for small ones, and the largest answer that always finds
/// room, in bytes.
const SMALL_BODY: usize = 64 * 1024;
/// How long a client may send nothing before it can be evicted.
const STALL_TIME: Duration = Duration::from_secs(1);
/// The rate below which a body can be evicted, in bytes per second, over the time since it began, and the client of
/// an answer, over the time since it last made progress.
const MIN_RATE: f64 = 16.0 * 1024.0;
/// How long a response may pause before its connection can be closed for another one.
const STREAM_TIME: Duration = Duration::from_secs(10);
/// How long, and how often, a new connection waits for an evicted one to be closed.
const CLOSE_WAIT: Duration = Duration::from_millis(20);
const MAX_CLOSE_WAITS: u32 = 100;
/// The interval of updates of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);
/// The interval of log lines about refused and evicted clients.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It was opened, and nothing was received on it.
    New,
    /// A part of a head was received.
    Head,
    /// A request runs, or its body arrives.
    Request,
    /// The body of a response is sent in pieces.
    Streaming,
    /// The last request on it was answered before its body ended.
    Discarding,
    /// All requests on it were answered.
    Idle,
    /// It was evicted and is being closed.
    Closing,
}

struct ConnectionState {
    listener: Listener,
    io: IoRef,
    phase: Phase,
    /// Whether an answer announced that the connection carries no further request.
    is_last: bool,
    /// The bytes that were received and not yet decoded.
    buffered: usize,
    /// The bytes of answers that the client hasn't taken.
    unsent: usize,
    /// Their number when the client was last seen to make progress.
    unsent_mark: usize,
    /// When something was last received or sent, or the last answer was given.
    active: Instant,
}

struct BodyState {
    held: usize,
    began: Instant,
    /// When bytes were last received.
    active: Instant,
    /// Tells the reader that the body is evicted.
    reader: Rc<Eviction>,
}

#[derive(Debug, Default)]
struct Eviction {
    is_evicted: Cell<bool>,
    notify: Notify,
}

#[derive(Default)]
struct Held {
    connections: Arena<ConnectionState>,
    /// The bodies that are still arriving.
    arriving: Arena<BodyState>,
    /// The bytes of all bodies, buffers and answers.
    bytes: usize,
}

/// A limit was reached, and no other client could be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;

/// The budget of a worker thread.
pub struct ClientBudget {
    limits: ClientLimits,
    held: RefCell<Held>,
    /// Wakes those who wait for a connection to be closed.
    closed: Notify,
    /// The bytes and connections that the gauges show for this thread.
    published: Cell<(f64, f64)>,
    log: Logger,
    logged: Cell<Option<Instant>>,
    unlogged: Cell<u64>,
}

impl fmt::Debug for ClientBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClientBudget")
            .field("limits", &self.limits)
            .field("bytes", &self.held.borrow().bytes)
            .finish_non_exhaustive()
    }
}

impl ClientBudget {
    /// Creates the budget of the calling thread.
    pub fn new(limits: ClientLimits, log: Logger) -> Rc<Self> {
        Rc::new(ClientBudget {
            limits,
            held: RefCell::default(),
            closed: Notify::new(),
            published: Cell::default(),
            log,
            logged: Cell::default(),
            unlogged: Cell::default(),
        })
    }

    /// Returns the number of bytes held for clients.
    pub fn held_bytes(&self) -> usize {
        self.held.borrow().bytes
    }

    /// Returns the number of open connections of all listeners.
    pub fn open_connections(&self) -> usize {
        self.held.borrow().connections.len()
    }

    /// Returns the size of the buffer for received bytes of the next connection, in bytes.
    pub(crate) fn receive_buffer(&self) -> usize {
        self.limits.receive_buffer(self.open_connections())
    }

    /// Updates the gauges of what the process holds, which are sums over its threads.
    pub fn update_gauges(&self) {
        self.held.borrow_mut().update_unsent();
        let now = (self.held_bytes() as f64, self.open_connections() as f64);
        let before = self.published.replace(now);
        gauge!("mustard_client_bytes").increment(now.0 - before.0);
        gauge!("mustard_client_connections").increment(now.1 - before.1);
    }

    /// Updates the gauges regularly.
    pub async fn keep_gauges(self: Rc<Self>) {
        loop {
            sleep(GAUGE_INTERVAL).await;
            self.update_gauges();
        }
    }

    /// Waits until a listener may have one more connection; closes others if there are too many.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener has as many connections as it may, and all of them are in use.
    pub(crate) async fn make_room_to_open(&self, listener: Listener) -> Result<(), Exhausted> {
        let limit = self.limits.max_connections(listener);
        for _ in 0..MAX_CLOSE_WAITS {
            if self.held.borrow().count(listener) < limit {
                return Ok(());
            }
            let closed = self.closed.notified();
            if !self.evict_connection(listener) && !self.evict_body(None) {
                break;
            }
            // An evicted body is answered before its connection is closed.
            let _ = timeout(CLOSE_WAIT, closed).await;
        }
        self.record("refused", "connection");
        Err(Exhausted)
    }

    /// Takes a connection into the budget until the guard is dropped.
    pub(crate) fn open(self: &Rc<Self>, listener: Listener, io: IoRef) -> ConnectionGuard {
        let key = self.held.borrow_mut().connections.insert(ConnectionState {
            listener,
            io,
            phase: Phase::New,
            is_last: false,
            buffered: 0,
            unsent: 0,
            unsent_mark: 0,
            active: Instant::now(),
        });
        ConnectionGuard {
            budget: Rc::clone(self),
            key,
        }
    }

    /// Begins to count a body that arrives.
    pub(crate) fn begin_body(self: &Rc<Self>) -> BodyGuard {
        let now = Instant::now();
        let reader = Rc::<Eviction>::default();
        let key = self.held.borrow_mut().arriving.insert(BodyState {
            held: 0,
            began: now,
            active: now,
            reader: Rc::clone(&reader),
        });
        BodyGuard {
            budget: Rc::clone(self),
            key,
            reader,
            held: 0,
        }
    }

    /// Begins to count an answer that is being read for a client.
    pub fn begin_answer(self: &Rc<Self>) -> AnswerGuard {
        AnswerGuard {
            budget: Rc::clone(self),
            held: 0,
        }
    }

    /// Closes the connection of a listener that is of the least use; returns whether there is one.
    fn evict_connection(&self, listener: Listener) -> bool {
        let now = Instant::now();
        let victim = {
            let held = self.held.borrow();
            let candidates = held.connections.iter();
            let candidates = candidates.filter(|(_, c)| c.listener == listener);
            let candidates = candidates.filter_map(|(key, c)| Some((c.use_rank(now)?, key)));
            candidates.min_by_key(|(rank, _)| *rank).map(|(_, key)| key)
        };
        victim.is_some_and(|key| self.terminate(key))
    }

    /// Closes the connection with the part of a head that has stalled longest; returns whether there is one.
    fn evict_head(&self) -> bool {
        self.evict_stalled(|c| c.phase == Phase::Head)
    }

    /// Closes the connection whose client has taken nothing of an answer for longest; returns whether there is one.
    fn evict_reader(&self) -> bool {
        self.evict_stalled(|c| c.unsent > 0)
    }

    /// Closes the connection that has stalled longest among those that `is_meant` names; returns whether there is one.
    fn evict_stalled(&self, is_meant: impl Fn(&ConnectionState) -> bool) -> bool {
        let now = Instant::now();
        let victim = {
            let held = self.held.borrow();
            let connections = held.connections.iter();
            let stalled = connections
                .filter(|(_, c)| c.phase != Phase::Closing && c.is_stalled(now) && is_meant(c));
            stalled.min_by_key(|(_, c)| c.active).map(|(key, _)| key)
        };
        victim.is_some_and(|key| self.terminate(key))
    }

    fn terminate(&self, key: Key<ConnectionState>) -> bool {
        let io = {
            let mut held = self.held.borrow_mut();
            let Some(connection) = held.connections.get_mut(key) else {
                return false;
            };
            connection.phase = Phase::Closing;
            let released = connection.take_bytes();
            let io = connection.io.clone();
            held.bytes -= released;
            io
        };
        io.terminate();
        self.record("evicted", "connection");
        true
    }

    /// Gives up the arriving body that has stalled longest, other than `claimant`; returns whether there is one.
    fn evict_body(&self, claimant: Option<Key<BodyState>>) -> bool {
        let now = Instant::now();
        let mut held = self.held.borrow_mut();
        let bodies = held.arriving.iter();
        let bodies = bodies.filter(|(key, body)| Some(*key) != claimant && body.is_stalled(now));
        let Some(key) = bodies.min_by_key(|(_, b)| b.active).map(|(key, _)| key) else {
            return false;
        };
        if let Some(body) = held.arriving.remove(key) {
            held.bytes -= body.held;
            body.reader.is_evicted.set(true);
            body.reader.notify.notify_one();
        }
        drop(held);
        self.record("evicted", "body");
        true
    }

    /// Makes room for `count` further bytes below `limit` by evicting stalled clients.
    fn make_room(
        &self,
        count: usize,
        limit: usize,
        claimant: Option<Key<BodyState>>,
    ) -> Result<(), Exhausted> {
        if self.held_bytes() + count > limit {
            self.held.borrow_mut().update_unsent();
        }
        while self.held_bytes() + count > limit {
            if !self.evict_body(claimant) && !self.evict_head() && !self.evict_reader() {
                return Err(Exhausted);
            }
        }
        Ok(())
    }

    /// Counts a client that was refused or evicted, and logs it, at most once a second.
    pub(crate) fn record(&self, action: &'static str, what: &'static str) {
        counter!("mustard_clients_turned_away_total", "action" => action, "what" => what)
            .increment(1);
        let now = Instant::now();
        let is_due = |at: Instant| now.duration_since(at) >= LOG_INTERVAL;
        if self.logged.get().is_none_or(is_due) {
            self.logged.set(Some(now));
            warn!(self.log, "clients: The budget is exhausted or a limit was exceeded.";
                "action" => action, "what" => what, "bytes" => self.held_bytes(),
                "connections" => self.open_connections(), "not_logged" => self.unlogged.take());
        } else {
            self.unlogged.set(self.unlogged.get() + 1);
        }
    }
}

impl Held {
    fn count(&self, listener: Listener) -> usize {
        let connections = self.connections.iter();
        connections.filter(|(_, c)| c.listener == listener).count()
    }

    fn remove_connection(&mut self, key: Key<ConnectionState>) {
        if let Some(mut connection) = self.connections.remove(key) {
            self.bytes -= connection.take_bytes();
        }
    }

    /// Finds out what clients have taken of their answers meanwhile.
    fn update_unsent(&mut self) {
        let now = Instant::now();
        for connection in self.connections.values_mut() {
            if connection.unsent == 0 {
                continue;
            }
            let left = connection.io.with_write_dst_buf(|b| b.len());
            let taken = connection.unsent.saturating_sub(left);
            self.bytes -= taken;
            connection.unsent -= taken;
            let since = now.duration_since(connection.active).as_secs_f64();
            let taken = connection.unsent_mark.saturating_sub(left);
            if taken > 0 && taken as f64 >= MIN_RATE * since {
                connection.unsent_mark = left;
                connection.active = now;
            }
        }
    }
}

impl ConnectionState {
    /// Takes all bytes that the connection holds out of its counts.
    fn take_bytes(&mut self) -> usize {
        std::mem::take(&mut self.buffered) + std::mem::take(&mut self.unsent)
    }

    fn is_stalled(&self, now: Instant) -> bool {
        now.duration_since(self.active) >= STALL_TIME
    }

    /// Returns the order in which connections are closed; `None` if this one stays open.
    fn use_rank(&self, now: Instant) -> Option<(u8, Instant)> {
        let class = match self.phase {
            Phase::Discarding => 0,
            Phase::New => 1,
            Phase::Head if self.is_stalled(now) => 2,
            Phase::Idle if self.is_stalled(now) => 3,
            Phase::Streaming if now.duration_since(self.active) >= STREAM_TIME => 4,
            _ => return None,
        };
        Some((class, self.active))
    }
}

impl BodyState {
    fn is_stalled(&self, now: Instant) -> bool {
        let age = now.duration_since(self.began);
        let is_slow = age >= STALL_TIME && (self.held as f64) < MIN_RATE * age.as_secs_f64();
        is_slow || now.duration_since(self.active) >= STALL_TIME
    }
}

/// A connection in the budget; it leaves the budget when this is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionGuard {
    budget: Rc<ClientBudget>,
    key: Key<ConnectionState>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.budget.held.borrow_mut().remove_connection(self.key);
        self.budget.closed.notify_waiters();
    }
}

impl ConnectionGuard {
    /// Returns a handle for the requests on the connection.
    pub(crate) fn handle(&self) -> ConnectionHandle {
        ConnectionHandle {
            budget: Rc::clone(&self.budget),
            key: self.key,
        }
    }

    /// Returns the budget that the connection belongs to.
    pub(crate) fn budget(&self) -> &Rc<ClientBudget> {
        &self.budget
    }

    /// Records that bytes were received, and how many are still to be decoded.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget is exhausted, or the connection was evicted.
    pub(crate) fn receive(&self, buffered: usize) -> Result<(), Exhausted> {
        let before = {
            let mut held = self.budget.held.borrow_mut();
            let connection = held.connections.get_mut(self.key).ok_or(Exhausted)?;
            if connection.phase == Phase::Closing {
                return Err(Exhausted);
            }
            connection.active = Instant::now();
            if matches!(connection.phase, Phase::New | Phase::Idle) {
                connection.phase = Phase::Head;
            }
            connection.buffered
        };
        if buffered > before {
            let limit = self.budget.limits.max_bytes();
            let room = self.budget.make_room(buffered - before, limit, None);
            room.inspect_err(|_| self.budget.record("refused", "buffer"))?;
        }
        let mut held = self.budget.held.borrow_mut();
        let connection = held.connections.get_mut(self.key).ok_or(Exhausted)?;
        connection.buffered = buffered;
        held.bytes = held.bytes + buffered - before;
        Ok(())
    }

    /// Records how many bytes of answers the client is still to take.
    ///
    /// # Errors
    ///
    /// Returns an error if a large answer finds no room, or the connection was evicted.
    pub(crate) fn send(&self, unsent: usize) -> Result<(), Exhausted> {
        {
            let mut held = self.budget.held.borrow_mut();
            let connection = held.connections.get_mut(self.key).ok_or(Exhausted)?;
            if connection.phase == Phase::Closing {
                return Err(Exhausted);
            }
            connection.active = Instant::now();
            connection.unsent_mark = unsent;
            let before = std::mem::replace(&mut connection.unsent, unsent);
            held.bytes = held.bytes + unsent - before;
        }
        if unsent <= SMALL_BODY {
            return Ok(());
        }
        let room = self
            .budget
            .make_room(0, self.budget.limits.max_bytes(), None);
        room.inspect_err(|_| self.budget.record("refused", "answer"))
    }
}

/// Tells the budget what happens on a connection.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionHandle {
    budget: Rc<ClientBudget>,
    key: Key<ConnectionState>,
}

impl ConnectionHandle {
    /// Records that a head was decoded; its request is being handled until the guard is dropped.
    pub(crate) fn begin_request(&self) -> RequestGuard {
        self.set_phase(Phase::Request);
        RequestGuard {
            connection: self.clone(),
            next: Phase::Idle,
        }
    }

    /// Returns whether an answer announced that the connection carries no further request.
    pub(crate) fn is_last(&self) -> bool {
        let held = self.budget.held.borrow();
        held.connections.get(self.key).is_some_and(|c| c.is_last)
    }

    fn set_phase(&self, phase: Phase) {
        let mut held = self.budget.held.borrow_mut();
        let connection = held.connections.get_mut(self.key);
        if let Some(connection) = connection.filter(|c| c.phase != Phase::Closing) {
            connection.phase = phase;
            connection.active = Instant::now();
            let decoded = std::mem::take(&mut connection.buffered);
            held.bytes -= decoded;
        }
    }
}

/// A request that is being handled.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    connection: ConnectionHandle,
    next: Phase,
}

impl RequestGuard {
    /// Ends the handling; the body of the response is sent in pieces.
    pub(crate) fn stream(mut self) {
        self.next = Phase::Streaming;
    }

    /// Records that the connection carries no further request.
    pub(crate) fn set_last(&self) {
        let mut held = self.connection.budget.held.borrow_mut();
        if let Some(connection) = held.connections.get_mut(self.connection.key) {
            connection.is_last = true;
        }
    }

    /// Records that the request was answered, and the rest of its body is discarded.
    pub(crate) fn set_discarding(&self) {
        self.connection.set_phase(Phase::Discarding);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.connection.set_phase(self.next);
    }
}

/// The bytes of a body in the budget; they leave the budget when this is dropped.
#[derive(Debug)]
pub struct BodyGuard {
    budget: Rc<ClientBudget>,
    key: Key<BodyState>,
    reader: Rc<Eviction>,
    held: usize,
}

impl BodyGuard {
    /// Takes further bytes, evicting stalled clients if need be.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget is exhausted.
    pub(crate) fn grow(&mut self, count: usize) -> Result<(), Exhausted> {
        let limit = if self.held + count <= SMALL_BODY {
            self.budget.limits.max_bytes()
        } else {
            self.budget.limits.largest_body()
        };
        let room = self.budget.make_room(count, limit, Some(self.key));
        room.inspect_err(|_| self.budget.record("refused", "body"))?;
        let mut held = self.budget.held.borrow_mut();
        let body = held.arriving.get_mut(self.key).ok_or(Exhausted)?;
        body.held += count;
        body.active = Instant::now();
        held.bytes += count;
        self.held += count;
        Ok(())
    }

    /// Records that the body is complete; it can't be evicted any more.
    ///
    /// # Errors
    ///
    /// Returns an error if it was evicted.
    pub(crate) fn complete(&mut self) -> Result<(), Exhausted> {
        let mut held = self.budget.held.borrow_mut();
        held.arriving.remove(self.key).map(|_| ()).ok_or(Exhausted)
    }

    /// Waits until the body is evicted.
    pub(crate) async fn evicted(&self) {
        while !self.reader.is_evicted.get() {
            self.reader.notify.notified().await;
        }
    }
}

impl Drop for BodyGuard {
    fn drop(&mut self) {
        let mut held = self.budget.held.borrow_mut();
        held.arriving.remove(self.key);
        if !self.reader.is_evicted.get() {
            held.bytes -= self.held;
        }
    }
}

/// An answer that is being read for a client; it leaves the budget when this is dropped. What the client hasn't taken
/// of it by then counts at its connection.
#[derive(Debug)]
pub struct AnswerGuard {
    budget: Rc<ClientBudget>,
    held: usize,
}

impl AnswerGuard {
    /// Takes further bytes, evicting stalled clients if need be. Short answers always find room.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget is exhausted.
    pub fn grow(&mut self, count: usize) -> Result<(), Exhausted> {
        if self.held + count > SMALL_BODY {
            let room = self
                .budget
                .make_room(count, self.budget.limits.largest_body(), None);
            room.inspect_err(|_| self.budget.record("refused", "answer"))?;
        }
        self.held += count;
        self.budget.held.borrow_mut().bytes += count;
        Ok(())
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.budget.held.borrow_mut().bytes -= self.held;
    }
}
