//! One backend server as this gateway knows it.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::deployment::{
    Engine, HeldLayers, ServerEntry, ServerKey, ServerReport, ServerState,
};
use mustard_core::ids::Layers;
use mustard_policy::backoff::ServerBackoff;
use mustard_policy::balance::AnswerTime;
use mustard_policy::outlier::Standing;
use mustard_policy::pipeline::{LayerHolder, PlacementServer, UnloadWatch};
use mustard_policy::refusals::RefusalWatch;
use mustard_policy::room::{RoomNeed, RoomWindow};
use mustard_policy::server_load::{LoadReport, OwnUse};

use crate::limits::NamedLimit;
use crate::metric;

use super::{Presence, ProcessLoad, RowChange, process_digest};

/// How long a server whose row is missing gets requests that no listed server can serve; shorter
/// than the time for which a leaving server goes on serving.
const LAST_RESORT_TIME: Duration = Duration::from_millis(1_700);
/// How long the slow factor of a report is used.
const MAX_FACTOR_AGE: Duration = Duration::from_millis(3_000);
/// How long the plan counts on a server that doesn't answer; a process that restarts is back
/// within a few seconds, and loading its layers elsewhere takes about as long.
const SILENCE_GRACE: Duration = Duration::from_millis(1_500);
/// The age up to which a refusal is judged by a report.
const MAX_REFUSAL_AGE: Duration = Duration::from_millis(500);
/// The share of a server's memory that is free if it has room for a request.
const ROOM_SHARE: f64 = 0.1;
/// How long a row lags behind what its server holds: a heartbeat interval and the feed's delay.
const ROW_LAG: Duration = Duration::from_millis(1_500);
/// How long after the expected load time an order without effect is dropped.
const ORDER_MARGIN: Duration = Duration::from_millis(4_000);

/// An order to a server to hold layers, until it holds them.
#[derive(Clone, Copy, Debug)]
pub struct LoadOrder {
    /// The layers that it is to hold.
    pub layers: Layers,
    /// When the order is dropped if the server doesn't hold the layers by then.
    pub until: Moment,
}

/// The memory that a request needs, by which servers without room are left out.
#[derive(Clone, Copy, Debug)]
pub struct RequestRoom {
    /// The tokens for which it takes memory in each layer.
    pub tokens: f64,
    /// The number of more urgent priorities that requests to the service may have.
    pub rank: usize,
}

/// One process of a server, which ends when the server restarts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerProcess {
    /// The key of the process in the fleet.
    pub key: ServerKey,
    /// The address of the server.
    pub addr: SocketAddr,
    /// The id of the server.
    pub id: String,
    /// When the process started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

impl fmt::Display for ServerProcess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.started_ms)
    }
}

/// What is known of a server process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It answered after the moment in question, or left as announced.
    Running,
    /// It has ended without having announced it.
    Ended,
    /// It doesn't answer and may be cut off.
    Unknown,
}

/// A server: its row in the server list, and what this gateway observed of it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its row in the server list; `held` also follows its reports.
    pub entry: ServerEntry,
    /// The index of its failure domain.
    pub domain: u32,
    /// Keeps it out of use for a while after faults.
    pub backoff: ServerBackoff,
    /// Whether it is ejected, as the outcomes of attempts there last showed.
    pub standing: Standing,
    /// Its refusals that its reports don't explain.
    pub refusals: RefusalWatch,
    /// When it last refused a request, until a report shows whether it had room.
    pub refused_at: Option<Moment>,
    /// Whether it is the one at its address.
    pub presence: Presence,
    /// The number of the row in which it announced that it is leaving, unless it has said so itself.
    pub left_at_row: Option<u64>,
    /// Whether its report was read before any row of this process.
    pub is_unlisted: bool,
    /// When its row vanished, if that happened while the store was unstable.
    pub missing_since: Option<Moment>,
    /// Until when it isn't used, as it was removed before the store was restored and may be gone.
    pub unconfirmed_until: Option<Moment>,
    /// Until when it wants nothing from this gateway, as it said when it turned a request away.
    pub paused_until: Moment,
    /// What it said last of the requests that it takes, if it ever named a limit.
    pub named_limit: Option<NamedLimit>,
    /// The order that it is carrying out.
    pub load_order: Option<LoadOrder>,
    /// Since when it has held nothing, as far as this gateway knows.
    pub empty_since: Option<Moment>,
    /// Whether it gets rid of the layers that it gives up.
    pub unload: UnloadWatch,
    /// Memory in use by this gateway's requests, in tokens times layers.
    pub memory_used: f64,
    /// The memory that this gateway's requests may use.
    pub room: RoomWindow,
    /// The number of this gateway's requests that it runs.
    pub running: u32,
    /// The recent times of its answers to requests of plain services.
    pub answer_time: AnswerTime,
    /// When it stopped answering; `None` if it answered the last call.
    pub silent_since: Option<Moment>,
    /// Whether nothing listened at its address at the last call.
    pub has_no_listener: bool,
    /// Its last report, and when it arrived.
    pub last_report: Option<(Moment, Rc<ServerReport>)>,
    /// Its load as reported to all gateways, where they tell each other.
    pub load: Option<ProcessLoad>,
}

impl Server {
    /// Creates a server from its first row.
    pub fn new(_now: Moment, entry: ServerEntry, domain: u32) -> Self {
        Server {
            left_at_row: (entry.state == ServerState::Leaving).then_some(entry.row_number),
            entry,
            domain,
            backoff: ServerBackoff::default(),
            standing: Standing::InUse,
            refusals: RefusalWatch::default(),
            refused_at: None,
            presence: Presence::default(),
            is_unlisted: false,
            missing_since: None,
            unconfirmed_until: None,
            paused_until: Moment::default(),
            named_limit: None,
            load_order: None,
            empty_since: None,
            unload: UnloadWatch::default(),
            memory_used: 0.0,
            room: RoomWindow::default(),
            running: 0,
            answer_time: AnswerTime::default(),
            silent_since: None,
            has_no_listener: false,
            last_report: None,
            load: None,
        }
    }

    /// Tells whether a row is of this process: it has the same id and start, it hasn't moved, and it names the same
    /// service and accelerator.
    pub fn is_process_of(&self, entry: &ServerEntry) -> bool {
        let own = &self.entry;
        own.id == entry.id
            && own.started_ms == entry.started_ms
            && own.addr == entry.addr
            && own.service == entry.service
            && own.accelerator == entry.accelerator
    }

    /// Applies a row of the same process; `is_current` unless it may be older than the one before.
    pub fn update(&mut self, now: Moment, entry: ServerEntry, is_current: bool) -> RowChange {
        let leaves = entry.state == ServerState::Leaving && self.entry.state == ServerState::Ready;
        let held_changed = entry.held != self.entry.held;
        self.missing_since = None;
        self.is_unlisted = false;
        if is_current {
            self.unconfirmed_until = None;
        }
        // A server that is leaving never becomes ready again without a restart. If its later rows say that it is
        // ready, the one that said otherwise wasn't its own.
        let state = self.entry.state;
        let is_later = self.left_at_row.is_some_and(|row| entry.row_number > row);
        self.entry = entry;
        if leaves {
            self.left_at_row = Some(self.entry.row_number);
        } else if state == ServerState::Leaving && !(is_current && is_later) {
            self.entry.state = ServerState::Leaving;
        }
        self.record_held(now);
        let loaded = self.load_order.is_some_and(|l| self.holds(l.layers));
        if loaded {
            self.load_order = None;
            self.backoff.clear();
        }
        match (leaves, held_changed) {
            (true, _) => RowChange::Left,
            (false, true) => RowChange::Holds,
            _ => RowChange::Same,
        }
    }

    /// Returns a digest of the current process, by which gateways tell each other of it.
    pub fn process_digest(&self) -> u64 {
        process_digest(&self.entry.id, self.entry.started_ms)
    }

    /// Returns the current process; `key` is that of the server.
    pub fn process(&self, key: ServerKey) -> ServerProcess {
        ServerProcess {
            key,
            addr: self.entry.addr,
            id: self.entry.id.clone(),
            started_ms: self.entry.started_ms,
        }
    }

    /// Returns what is known of this process at or after `since`.
    pub fn process_state(&self, since: Moment) -> ProcessState {
        let reported = self.last_report.as_ref();
        let reported = reported.filter(|(at, _)| *at >= since);
        if self.has_no_listener || self.presence == Presence::Replaced {
            ProcessState::Ended
        } else if reported.is_some() && self.silent_since.is_none() {
            ProcessState::Running
        } else {
            ProcessState::Unknown
        }
    }

    /// Applies a report of this process.
    pub fn apply_report(&mut self, now: Moment, report: Rc<ServerReport>) {
        self.has_no_listener = false;
        if self.silent_since.take().is_some() {
            self.backoff.clear();
        }
        self.entry.held = report.held;
        self.record_held(now);
        let refused = self.refused_at.take();
        if refused.is_some_and(|at| now.since(at) < MAX_REFUSAL_AGE) && has_room(&report) {
            self.refusals.record_refusal(now);
        }
        if self.room.record_report(now, has_room(&report)) {
            metric::count_room("revoked");
        }
        let waits = report.busy && report.memory_used > 0.0;
        self.unload.observe(now, self.empty_since.filter(|_| waits));
        if self.load_order.is_some_and(|l| self.holds(l.layers)) {
            self.load_order = None;
        }
        if let Some(load) = &mut self.load
            && [0, self.entry.started_ms].contains(&report.started_ms)
        {
            // Without memory in total, the share isn't a number and the report not valid.
            let share = report.memory_used / report.memory_total;
            if let Some(report) = LoadReport::new(share, report.slow_factor, now) {
                load.tracker.record_report(report);
            }
        }
        self.last_report = Some((now, report));
    }

    /// Changes the memory in use by this gateway's requests.
    pub fn add_use(&mut self, now: Moment, memory: f64) {
        self.memory_used = (self.memory_used + memory).max(0.0);
        if let Some(load) = &mut self.load {
            load.tracker.record_use(now, self.memory_used);
        }
    }

    /// Tells whether new requests may be sent to the server.
    pub fn is_usable(&self, now: Moment) -> bool {
        self.is_present(now)
            && self.standing.takes_requests(now)
            && !self.is_paused(now)
            && !self.refusals.is_declining(now)
            && !self.backoff.is_backing_off(now)
    }

    /// Tells whether the server is listed and answers, so that it serves requests sooner or later.
    pub fn is_present(&self, now: Moment) -> bool {
        self.is_ready()
            && !self.presence.is_away()
            && self.silent_since.is_none()
            && self.missing_since.is_none()
            && self.is_confirmed(now)
    }

    /// Tells whether the server takes a request now, by the limit that it names.
    pub fn takes_requests(&self, now: Moment) -> bool {
        let named = self.named_limit.as_ref();
        let share = named.and_then(|n| n.in_force(now));
        share.is_none_or(|s| s.wait(now) == Some(Duration::ZERO))
    }

    /// Returns the time until the server takes a request, by the limit that it names; `None` without
    /// one, or if this gateway has no part of it.
    pub fn limit_wait(&self, now: Moment) -> Option<Duration> {
        self.named_limit.as_ref()?.in_force(now)?.wait(now)
    }

    /// Tells whether the server wants nothing from this gateway now.
    pub fn is_paused(&self, now: Moment) -> bool {
        now < self.paused_until
    }

    /// Tells whether the server is known not to have left before the store was restored.
    pub fn is_confirmed(&self, now: Moment) -> bool {
        self.unconfirmed_until.is_none_or(|until| now >= until)
    }

    /// Tells whether the server hasn't announced that it is leaving.
    pub fn is_ready(&self) -> bool {
        self.entry.state == ServerState::Ready
    }

    /// Tells whether new requests may be sent to the server where no listed server can take them.
    ///
    /// This includes a server whose row vanished while the store was unstable and may come back, and one
    /// that is ejected.
    pub fn is_last_resort(&self, now: Moment) -> bool {
        let missing = self
            .missing_since
            .is_none_or(|m| now.since(m) < LAST_RESORT_TIME);
        self.is_ready()
            && !self.presence.is_away()
            && self.silent_since.is_none()
            && missing
            && self.is_confirmed(now)
            && !self.is_paused(now)
            && !self.refusals.is_declining(now)
            && !self.backoff.is_backing_off(now)
    }

    /// Returns the layers that the server holds.
    pub fn layers(&self) -> Option<HeldLayers> {
        self.entry.held
    }

    /// Records whether the server holds layers, after its row or a report said so.
    fn record_held(&mut self, now: Moment) {
        if self.entry.held.is_some() {
            self.empty_since = None;
            self.unload.observe(now, None);
        } else {
            self.empty_since.get_or_insert(now);
        }
    }

    fn holds(&self, layers: Layers) -> bool {
        self.entry.held.is_some_and(|h| h.layers == layers)
    }

    fn slow_factor(&self, now: Moment) -> f64 {
        let load = self.load.as_ref();
        if let Some(report) = load.and_then(|l| l.tracker.recent_report(now)) {
            return report.slow_factor;
        }
        let fresh = self
            .last_report
            .as_ref()
            .filter(|(at, _)| now.since(*at) < MAX_FACTOR_AGE);
        fresh.map_or(1.0, |(_, report)| report.slow_factor.max(1.0))
    }

    /// Returns the server as input for the choice of a path, if it holds layers and isn't loading; `key` is
    /// its own.
    pub fn holder(
        &self,
        key: ServerKey,
        engine: &Engine,
        now: Moment,
        gateways: f64,
    ) -> Option<LayerHolder> {
        let held = self.entry.held?;
        if self.is_loading(now) {
            // It is dropping the layers that it holds.
            return None;
        }
        let accelerator = engine.accelerator(self.entry.accelerator.as_deref()?)?;
        let slow = self.slow_factor(now);
        let layers_mb = f64::from(held.layers.count()) * engine.layer_mb;
        let room_mb = (accelerator.memory_mb - layers_mb).max(1.0);
        let own = OwnUse {
            used: self.memory_used,
            capacity: room_mb / engine.token_layer_mb().max(f64::MIN_POSITIVE),
            processes: gateways,
        };
        let mut memory_share = self.load.as_ref().map_or_else(
            || own.scaled_share(),
            |load| load.tracker.memory_share(now, &own),
        );
        // A server that may still decline counts as full, so that a path avoids it if it can.
        if self.refusals.is_suspect(now) {
            memory_share = memory_share.max(1.0);
        }
        Some(LayerHolder {
            server: key,
            addr: self.entry.addr,
            domain: self.domain,
            layers: held.layers,
            step_factor: accelerator.step_factor * slow,
            prompt_factor: accelerator.prompt_factor * slow,
            memory_share,
            takes_requests: self.takes_requests(now),
        })
    }

    /// Tells whether the window of this gateway has room for a request that runs all layers that the
    /// server holds.
    pub fn admits(&self, engine: &Engine, now: Moment, gateways: f64, room: RequestRoom) -> bool {
        let accelerator = self.entry.accelerator.as_deref();
        let accelerator = accelerator.and_then(|name| engine.accelerator(name));
        let (Some(held), Some(accelerator)) = (self.entry.held, accelerator) else {
            return true;
        };
        let layers = f64::from(held.layers.count());
        let room_mb = (accelerator.memory_mb - layers * engine.layer_mb).max(1.0);
        let need = RoomNeed {
            used: self.memory_used,
            memory: room.tokens * layers,
            capacity: room_mb / engine.token_layer_mb().max(f64::MIN_POSITIVE),
            gateways,
            rank: room.rank,
        };
        self.room.admits(now, &need)
    }

    /// Returns the server as input for the planner, unless its accelerator isn't known.
    pub fn placement_server(
        &self,
        index: usize,
        engine: &Engine,
        now: Moment,
    ) -> Option<PlacementServer> {
        let accelerator = engine.accelerator(self.entry.accelerator.as_deref()?)?;
        let is_stuck = self.unload.is_stuck(now);
        let declines = self.refusals.is_declining(now);
        let order = self.load_order.filter(|l| now < l.until && !is_stuck);
        let lost = self
            .silent_since
            .is_some_and(|s| now.since(s) >= SILENCE_GRACE);
        Some(PlacementServer {
            index,
            domain: self.domain,
            memory_mb: accelerator.memory_mb,
            step_factor: accelerator.step_factor,
            held: order
                .map(|l| l.layers)
                .or(self.entry.held.map(|h| h.layers)),
            accepts_orders: order.is_none()
                && !is_stuck
                && !declines
                && !self.presence.is_away()
                && self.silent_since.is_none()
                && self.missing_since.is_none()
                && !self.is_paused(now),
            is_staying: self.is_ready()
                && !self.presence.is_away()
                && !lost
                && !is_stuck
                && !declines,
        })
    }

    /// Records that another gateway has just sent the server an order, which its row will soon
    /// show.
    pub fn mark_ordered_elsewhere(&mut self, now: Moment, layers: Layers) {
        self.load_order = Some(LoadOrder {
            layers,
            until: now + ROW_LAG,
        });
    }

    /// Tells whether the server is carrying out an order and no report says since `oldest` how far it is.
    pub fn is_load_unreported(&self, now: Moment, oldest: Moment) -> bool {
        let reported = self.last_report.as_ref();
        self.is_loading(now)
            && !self.presence.is_away()
            && reported.is_none_or(|(at, _)| *at < oldest)
    }

    /// Tells whether the server is carrying out an order.
    pub fn is_loading(&self, now: Moment) -> bool {
        self.load_order.is_some_and(|l| now < l.until)
    }

    /// Records that the server was ordered to hold layers, which takes `time` to load.
    pub fn begin_loading(&mut self, now: Moment, layers: Layers, time: Duration) {
        self.load_order = Some(LoadOrder {
            layers,
            until: now + time + ORDER_MARGIN,
        });
    }
}

/// Tells whether a server's report shows memory for another request; one without memory in total, which
/// holds no layers, has none.
fn has_room(report: &ServerReport) -> bool {
    // A report that doesn't say what is in use counts as if nothing were.
    let free = report.memory_total - report.memory_used.max(0.0);
    report.memory_total > 0.0 && free >= ROOM_SHARE * report.memory_total
}
