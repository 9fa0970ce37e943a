//! The load of servers, which all gateways together ask for and tell each other: memory in use and slow factor.
//!
//! In use for services whose crossings between failure domains are scarce. Otherwise no report is requested for
//! this, and messages hold none. Design: `docs/design/server-load.md`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use slog::info;
use tokio::time::sleep;

use mustard_core::clock::Moment;
use mustard_core::fingerprint::Fingerprint;
use mustard_policy::pipeline::are_crossings_scarce;
use mustard_policy::server_load::{LoadReport, RequestSchedule};

use crate::app::App;
use crate::fleet::{ProcessReport, ServerKey};
use crate::log_limit::Topic;
use crate::metric;
use crate::placement::{CallKind, fetch_report};

/// The interval between two choices of servers that are asked.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// The timeout of a call that asks for a report.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// The interval between two looks at which servers are tracked, and which are slow.
const TRACK_INTERVAL: Duration = Duration::from_millis(500);
/// The most reports in a message; 48 of them take about 600 bytes.
pub const MAX_REPORTS: usize = 48;
/// The unit of ages in a message.
const AGE_UNIT_MS: u64 = 10;

/// Reports of server processes in a message between gateways, by column, as small numbers take one byte each;
/// empty where loads aren't exchanged.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct LoadMessage {
    /// The digests of the processes.
    #[serde(rename = "p", default)]
    processes: ByteBuf,
    /// The memory in use, in hundredths of the memory for requests.
    #[serde(rename = "m", default)]
    memory: Vec<u16>,
    /// The slow factors, in tenths.
    #[serde(rename = "s", default)]
    slow: Vec<u16>,
    /// The ages, in units of 10 ms.
    #[serde(rename = "a", default)]
    ages: Vec<u16>,
}

impl LoadMessage {
    /// Returns whether there are no reports.
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// Creates a message with reports.
    pub fn encode(now: Moment, reports: &[ProcessReport]) -> Self {
        let mut message = LoadMessage::default();
        for (digest, report) in reports {
            message.processes.extend_from_slice(&digest.to_be_bytes());
            let percent = (report.memory_share * 100.0).round();
            message.memory.push(percent as u16);
            message
                .slow
                .push((report.slow_factor * 10.0).round() as u16);
            // Rounded up, so that a report doesn't become newer each time that it is passed on.
            let age = now.ms_since(report.at).div_ceil(AGE_UNIT_MS);
            message.ages.push(age as u16);
        }
        message
    }

    /// Returns the reports that are valid.
    pub fn decode(&self, now: Moment) -> impl Iterator<Item = ProcessReport> {
        let digests = self.processes.as_chunks().0.iter();
        let values = self.memory.iter().zip(&self.slow).zip(&self.ages);
        digests
            .zip(values)
            .filter_map(move |(digest, ((memory, slow), age))| {
                let at = now - Duration::from_millis(u64::from(*age) * AGE_UNIT_MS);
                let (memory, slow) = (f64::from(*memory) / 100.0, f64::from(*slow) / 10.0);
                Some((
                    u64::from_be_bytes(*digest),
                    LoadReport::new(memory, slow, at)?,
                ))
            })
    }
}

/// Returns the reports to be sent to another gateway.
pub fn message(app: &App) -> LoadMessage {
    let now = app.now();
    LoadMessage::encode(now, &app.fleet.borrow().loads_to_share(now, MAX_REPORTS))
}

/// Applies the reports that another gateway has sent.
pub fn apply_message(app: &App, message: &LoadMessage) {
    let now = app.now();
    let fleet = &mut *app.fleet.borrow_mut();
    let reports = message.decode(now).take(MAX_REPORTS);
    let applied = reports.filter(|r| fleet.apply_load(now, r)).count();
    metric::count_load_report("passed on", applied);
}

/// Requests reports for the life of the process.
pub async fn run(app: Rc<App>) {
    let mut schedule = RequestSchedule::default();
    let mut tracked_at = Moment::default();
    let mut slow = Vec::new();
    loop {
        sleep(REQUEST_INTERVAL).await;
        let now = app.now();
        if now.since(tracked_at) >= TRACK_INTERVAL {
            tracked_at = now;
            track(&app);
            slow = publish(&app, &slow);
        }
        if !app.had_request.get() || app.stop.is_set() {
            continue;
        }
        let candidates = app.fleet.borrow().load_candidates(now);
        let gateways = app.gateway_count();
        let rng = &mut *app.rng.borrow_mut();
        for key in schedule.choose(now, candidates, gateways, rng) {
            request(&app, key);
        }
    }
}

/// Decides whose load is exchanged, and which servers this gateway rather than another one asks.
fn track(app: &App) {
    let services = scarce_services(app);
    let digest = |addr: SocketAddr| Fingerprint::of(&[addr.to_string().as_bytes()]).0 as u64;
    let (own, others) = {
        let peers = app.peers.borrow();
        let others: Vec<u64> = peers.others(false).map(digest).collect();
        (digest(peers.own_addr()), others)
    };
    let mut fleet = app.fleet.borrow_mut();
    fleet.track_loads(app.now(), &services, own, &others);
}

/// Tells whether a server is slow, by its newest report.
fn is_slow(app: &App, key: ServerKey) -> bool {
    let fleet = app.fleet.borrow();
    let load = fleet.get(key).and_then(|s| s.load.as_ref());
    let report = load.and_then(|l| l.tracker.recent_report(app.now()));
    report.is_some_and(LoadReport::is_slow)
}

/// Asks a server for its report, and has the other gateways told at once if it became slow. A server that doesn't answer shows elsewhere.
fn request(app: &Rc<App>, key: ServerKey) {
    let process = {
        let fleet = &mut *app.fleet.borrow_mut();
        let Some(server) = fleet.get_mut(key) else {
            return;
        };
        if let Some(load) = &mut server.load {
            load.tracker.record_request(app.now());
        }
        server.process(key)
    };
    let app = Rc::clone(app);
    ntex::rt::spawn(async move {
        let was_slow = is_slow(&app, key);
        let report = fetch_report(&app, &process, CallKind::Pooled, CALL_TIMEOUT).await;
        let result = if report.is_ok() {
            "answered"
        } else {
            "unanswered"
        };
        metric::count_load_report(result, 1);
        if !was_slow && is_slow(&app, key) {
            app.strike_news.notify_one();
        }
    });
}

/// Returns the services with an engine for which crossings are scarce.
fn scarce_services(app: &App) -> Vec<String> {
    let Some(config) = app.config() else {
        return Vec::new();
    };
    let fleet = app.fleet.borrow();
    let services = config.services().filter(|service| {
        let servers = fleet
            .iter()
            .filter(|(_, s)| s.entry.service == service.name);
        let engine = service.engine.as_ref();
        engine.is_some_and(|e| are_crossings_scarce(e, servers.count(), fleet.domain_count()))
    });
    services.map(|s| s.name.clone()).collect()
}

/// Publishes how many loads are known and logs servers that became slow or fast again; returns those that are
/// slow.
fn publish(app: &App, before: &[ServerKey]) -> Vec<ServerKey> {
    let now = app.now();
    let fleet = app.fleet.borrow();
    let mut known = 0;
    let mut slow = Vec::new();
    for (key, server) in fleet.iter() {
        let load = server.load.as_ref();
        let Some(report) = load.and_then(|l| l.tracker.recent_report(now)) else {
            continue;
        };
        known += 1;
        if report.is_slow() {
            slow.push(key);
        }
        if report.is_slow() != before.contains(&key)
            && let Some(log) = app.log.logger_for(Topic::Load)
        {
            info!(log, "load: A server's speed changed, as a report says.";
                "server" => %server.entry.addr, "slow_factor" => report.slow_factor,
                "memory_share" => report.memory_share, "age_ms" => now.ms_since(report.at));
        }
    }
    metric::set_server_loads(known, slow.len());
    slow
}
