//! Attempts at a stream: the path, the send, and what a failure says of the servers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::sync::Notify;
use tokio::time::timeout;

use mustard_core::deployment::{Kind, Part};
use mustard_policy::pipeline::{Demand, choose};
use mustard_policy::quarantine::Strike;
use mustard_policy::stall::Progress;
use mustard_policy::suspicion::Fault;

use crate::app::App;
use crate::fleet::{Load, Trust};
use crate::flights::{Flight, FlightGuard};
use crate::journal::Topic;
use crate::placement::ask;
use crate::stream_watch::verify;

use super::attempt::{Head, Miss, Target, send};
use super::frames::Frames;
use super::{Job, parts_memory, spend};

/// The share of the wanted time to the first event that a request waits for servers.
const WAIT_SHARE: f64 = 0.5;
/// The time for a sign of life after a connection broke; a live server answers within a few
/// milliseconds.
const LIFE_LIMIT: Duration = Duration::from_millis(100);
/// Sends of one request that no server ran, at most.
const MAX_UNRUN: u32 = 4;

/// An attempt that has begun to answer.
pub(super) struct Running {
    pub(super) head: Head,
    pub(super) frames: Frames,
    pub(super) guard: FlightGuard,
    pub(super) abandon: Rc<Notify>,
    pub(super) first: SocketAddr,
}

/// Why no attempt answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// No path over servers in use.
    NoPath,
    /// Servers refused as full or gone, and none ran the request.
    NotRun,
    /// A server may have run the request.
    Lost,
}

/// The attempts of one request.
#[derive(Clone, Default)]
pub(super) struct Attempts {
    /// Sends that a server may have run.
    pub(super) ran: u32,
    /// Sends that no server ran.
    pub(super) unrun: u32,
    /// Servers that failed this request. Whether they are at fault shows only once they are
    /// asked, which the next attempt doesn't wait for.
    pub(super) avoid: Vec<SocketAddr>,
}

/// Sends the request until a server begins to answer or no further attempt is allowed.
pub(super) async fn open(
    app: &Rc<App>,
    job: &Job,
    attempts: &mut Attempts,
    last_event: Option<u64>,
) -> Result<Running, Failure> {
    let repeatable = matches!(job.route.kind, Kind::Stream { resumable: true });
    loop {
        let Some((target, demand)) = wait_for_path(app, job, &attempts.avoid).await else {
            return Err(if attempts.ran > 0 {
                Failure::Lost
            } else {
                Failure::NoPath
            });
        };
        let further = attempts.ran + attempts.unrun > 0;
        if further && !spend(app, job) {
            return Err(if attempts.ran > 0 {
                Failure::Lost
            } else {
                Failure::NotRun
            });
        }
        let first = target.addr;
        let abandon = Rc::new(Notify::new());
        let now = app.now();
        let flight = Flight {
            id: job.ask.id.clone(),
            service: job.service.name.clone(),
            parts: target.path.clone(),
            demand,
            progress: Progress::start(now),
            abandon: Rc::clone(&abandon),
            moving: false,
            load: Load::begin(app, parts_memory(&target.path, &demand)),
        };
        let guard = FlightGuard::register(app, flight);
        note_chosen(app, job, &target, last_event);
        let result = tokio::select! {
            result = send(app, job, &target, last_event) => result,
            () = abandon.notified() => Err(Miss::GivenUp),
        };
        match result {
            Ok(head) => {
                attempts.ran += 1;
                let failed = repeatable && head.status >= 500;
                if failed {
                    note_miss(app, job, first, &format!("status {}", head.status));
                }
                if !failed || attempts.ran >= job.route.attempts {
                    return Ok(Running {
                        head,
                        frames: Frames::default(),
                        guard,
                        abandon,
                        first,
                    });
                }
            }
            Err(miss) => {
                drop(guard);
                if miss == Miss::Lost {
                    strike(app, job, first);
                }
                attempts.avoid.extend(blame(app, first, miss));
                note_miss(app, job, first, &format!("{miss:?}"));
                match miss {
                    Miss::NotSent | Miss::NotRun(..) => attempts.unrun += 1,
                    Miss::Lost | Miss::GivenUp => attempts.ran += 1,
                }
                let spent = attempts.ran >= job.route.attempts || attempts.unrun >= MAX_UNRUN;
                if attempts.ran > 0 && (spent || !repeatable) {
                    return Err(Failure::Lost);
                }
                if spent {
                    return Err(Failure::NotRun);
                }
            }
        }
    }
}

/// Takes in what a send without an answer says of the servers.
///
/// Which server is at fault is only guessed at here, so the one that is blamed is asked. Returns
/// the server that this request had better avoid.
pub(super) fn blame(app: &Rc<App>, first: SocketAddr, miss: Miss) -> Option<SocketAddr> {
    let now = app.now();
    let (addr, fault) = match miss {
        Miss::NotSent => {
            app.fleet.borrow_mut().silent(now, first);
            return Some(first);
        }
        Miss::NotRun(421, at) => (at.unwrap_or(first), Some(Fault::Empty)),
        Miss::NotRun(_, at) => (at.unwrap_or(first), Some(Fault::Full)),
        Miss::Lost => (first, None),
        Miss::GivenUp => return None,
    };
    if let Some(fault) = fault {
        app.fleet.borrow_mut().fail(now, addr, fault);
    }
    verify(app, addr);
    Some(addr)
}

/// Returns a path, once there is one within the time that a request may wait for it.
async fn wait_for_path(app: &Rc<App>, job: &Job, avoid: &[SocketAddr]) -> Option<(Target, Demand)> {
    let until = job.arrived + job.route.first.mul_f64(WAIT_SHARE);
    loop {
        let changed = app.changed.notified();
        if let Some(found) = find_path(app, job, avoid) {
            return Some(found);
        }
        let left = app.now().until(until);
        if left.is_zero() || timeout(left, changed).await.is_err() {
            return find_path(app, job, avoid);
        }
    }
}

fn find_path(app: &App, job: &Job, avoid: &[SocketAddr]) -> Option<(Target, Demand)> {
    let now = app.now();
    let gateways = app.gateways() as f64;
    let domain = app.fleet.borrow_mut().domain(&app.node.domain);
    let demand = job.demand(domain);
    let fleet = app.fleet.borrow();
    let (path, crossings) = match &job.service.engine {
        Some(engine) => {
            let mut rng = app.rng.borrow_mut();
            let mut path = |trust, avoid: &[SocketAddr]| {
                let mut holders = fleet.holders(&job.service.name, engine, now, gateways, trust);
                holders.retain(|h| !avoid.contains(&h.addr));
                choose(engine, &holders, &demand, &mut *rng)
            };
            let route = path(Trust::Listed, avoid)
                .or_else(|| path(Trust::Listed, &[]))
                .or_else(|| path(Trust::Missing, &[]))?;
            (route.parts, route.crossings)
        }
        None => (Vec::new(), 0),
    };
    let first = match path.first() {
        Some(part) => part.addr,
        None => {
            let usable = fleet
                .iter()
                .filter(|(_, s)| s.entry.service == job.service.name);
            let usable = usable.filter(|(_, s)| s.is_usable(now));
            usable.min_by_key(|(_, s)| s.running)?.1.entry.addr
        }
    };
    let server = fleet.get(fleet.at(first)?)?;
    let target = Target {
        addr: first,
        identity: server.entry.id.clone(),
        path,
        crossings,
    };
    Some((target, demand))
}

/// Counts a strike against a content whose server broke off, unless the server lives on; the peers
/// hear of it next round.
pub(super) fn strike(app: &Rc<App>, job: &Job, server: SocketAddr) {
    let strike = Strike {
        fingerprint: job.content,
        vm: server.to_string(),
        shared: 1,
        at: app.now(),
    };
    let (app, request) = (Rc::clone(app), job.ask.id.clone());
    ntex::rt::spawn(async move {
        if lives_on(&app, server).await {
            return;
        }
        if app.quarantine.borrow_mut().strike(app.now(), &strike)
            && let Some(log) = app.journal.admit(Topic::Server)
        {
            warn!(log, "request: A content ends the servers that run it.";
                "request" => request, "content" => %strike.fingerprint);
        }
    });
}

/// Tells whether a server whose connection broke answers in the life that is known of it.
async fn lives_on(app: &App, server: SocketAddr) -> bool {
    let born = {
        let fleet = app.fleet.borrow();
        let known = fleet.at(server).and_then(|key| fleet.get(key));
        known.map(|s| s.entry.born)
    };
    match ask(app, server, LIFE_LIMIT).await {
        Ok(report) => born == Some(report.born),
        Err(_) => false,
    }
}

fn note_chosen(app: &App, job: &Job, target: &Target, last_event: Option<u64>) {
    if let Some(log) = app.journal.admit(Topic::Chosen) {
        let version = app.config().map_or(0, |c| c.version);
        info!(log, "request: Path chosen."; "request" => &job.ask.id,
            "service" => &job.service.name, "first" => %target.addr,
            "servers" => servers_of(&target.path), "crossings" => target.crossings,
            "after" => last_event, "config" => version, "view_ms" => app.view_age(),
            "waited_ms" => app.now().ms_since(job.arrived));
    }
}

/// Lists the servers of a path after the first one, with the layers that each runs.
fn servers_of(path: &[Part]) -> String {
    let parts = path.iter().skip(1);
    let parts = parts.map(|p| format!("{}/{}", p.addr, p.layers));
    parts.collect::<Vec<_>>().join(",")
}

pub(super) fn note_miss(app: &App, job: &Job, first: SocketAddr, cause: &str) {
    if let Some(log) = app.journal.admit(Topic::Attempt) {
        info!(log, "request: An attempt failed."; "request" => &job.ask.id,
            "server" => %first, "cause" => cause,
            "took_ms" => app.now().ms_since(job.arrived));
    }
}
