//! Watches the streams in flight, and moves those that a silent server holds up.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::sleep;

use mustard_adapter::orders::{self, Outcome};
use mustard_core::clock::Moment;
use mustard_core::collections::{Map, Set};
use mustard_core::deployment::{Part, Report};
use mustard_net::CallError;
use mustard_policy::pipeline::replace;
use mustard_policy::stall::Progress;
use mustard_policy::suspicion::Fault;

use crate::app::App;
use crate::fleet::{Load, Trust};
use crate::flights::{Flight, FlightKey};
use crate::forward::parts_memory;
use crate::journal::Topic;
use crate::keeper::{ask, engine_of, send};
use crate::metric;

/// The report of a server, or why there is none.
type Result<T> = std::result::Result<T, CallError>;

/// The pause between two looks at the streams in flight.
const LOOK: Duration = Duration::from_millis(15);
/// The time for a report while streams stand still; a live server answers within a few
/// milliseconds.
const ASK_LIMIT: Duration = Duration::from_millis(25);
/// How old a report may be that is taken instead of a new one.
const REPORT_AGE: Duration = Duration::from_millis(40);
/// The paths that a stream is moved to at most, after refusals that name another server.
const RELOCATIONS: u32 = 3;
/// The pause between two calls of a server that gave no sign of life.
const RECALL: Duration = Duration::from_millis(500);
/// The pause of a stream after which it goes on elsewhere although no server is to blame.
const PATIENCE: Duration = Duration::from_millis(900);

/// What the servers of silent streams said.
type Answers = Map<SocketAddr, Option<Rc<Report>>>;

/// Watches for the life of the process.
pub async fn run(app: Rc<App>) {
    loop {
        let since = app.now();
        sleep(LOOK).await;
        let now = app.now();
        let late = now.since(since).saturating_sub(LOOK);
        app.lateness.borrow_mut().note(now, late);
        let due = take_due(&app);
        if !due.is_empty() {
            let app = Rc::clone(&app);
            ntex::rt::spawn(async move { diagnose(&app, due).await });
        }
    }
}

/// Returns the streams whose servers are to be asked, and notes that they are.
fn take_due(app: &App) -> Vec<FlightKey> {
    let now = app.now();
    let limit = app.pauses.borrow().limit();
    let mut flights = app.flights.borrow_mut();
    let is_due = |p: &Progress| p.is_due(now, limit);
    let due: Vec<FlightKey> = flights
        .iter()
        .filter(|(_, f)| !f.moving && is_due(&f.progress))
        .map(|(k, _)| k)
        .collect();
    for key in &due {
        if let Some(flight) = flights.get_mut(*key) {
            flight.progress.ask(now);
        }
    }
    due
}

async fn diagnose(app: &Rc<App>, due: Vec<FlightKey>) {
    let answers = ask_all(app, &due).await;
    let paths = Rc::new(RefCell::new(Paths::default()));
    for key in due {
        let app = Rc::clone(app);
        let verdict = judge(&app, key, &answers);
        match verdict {
            Verdict::Fine => {}
            Verdict::Abandon(why) => abandon(&app, key, why),
            Verdict::Move => {
                ntex::rt::spawn(relocate(app, key, Rc::clone(&paths)));
            }
        }
    }
}

/// Asks every server on the paths of the streams that wasn't asked just before.
async fn ask_all(app: &Rc<App>, due: &[FlightKey]) -> Answers {
    let mut addrs: Set<SocketAddr> = Set::default();
    for key in due {
        if let Some(flight) = app.flights.borrow().get(*key) {
            addrs.extend(flight.parts.iter().map(|p| p.addr));
        }
    }
    let recent = app.now() - REPORT_AGE;
    let tasks: Vec<_> = addrs
        .into_iter()
        .map(|addr| {
            let app = Rc::clone(app);
            (
                addr,
                ntex::rt::spawn(async move { probe(&app, addr, recent).await }),
            )
        })
        .collect();
    let mut answers = Answers::default();
    for (addr, task) in tasks {
        answers.insert(addr, task.await.ok().flatten());
    }
    answers
}

/// Returns what a server answers or has answered since a moment; none if it is silent.
async fn probe(app: &Rc<App>, addr: SocketAddr, since: Moment) -> Option<Rc<Report>> {
    let known = app.fleet.borrow().fresh_report(addr, since);
    if known.is_some() {
        return known;
    }
    let asked = app.now();
    match ask_in_time(app, addr).await {
        Ok(report) => Some(report),
        Err(e) => {
            let news = app.fleet.borrow_mut().silent(app.now(), addr);
            if news && let Some(log) = app.journal.admit(Topic::Server) {
                warn!(log, "watch: A server gives no sign of life."; "server" => %addr,
                    "error" => %e, "took_ms" => app.now().ms_since(asked),
                    "late_ms" => app.lateness.borrow().since(asked).as_millis() as u64);
            }
            if news {
                leave(app, addr);
            }
            None
        }
    }
}

/// Asks a server; asks it again if this process was too late to read the answer.
async fn ask_in_time(app: &App, addr: SocketAddr) -> Result<Rc<Report>> {
    let asked = app.now();
    let answer = ask(app, addr, ASK_LIMIT).await;
    if !matches!(answer, Err(CallError::TimedOut(_))) {
        return answer;
    }
    let lateness = *app.lateness.borrow();
    match lateness.more_time(asked, app.now(), ASK_LIMIT) {
        Some(limit) => ask(app, addr, limit).await,
        None => answer,
    }
}

/// Asks a server that is blamed for a failure, so that its state and not the blame decides.
pub fn verify(app: &Rc<App>, addr: SocketAddr) {
    let app = Rc::clone(app);
    ntex::rt::spawn(async move {
        let recent = app.now() - REPORT_AGE;
        if probe(&app, addr, recent).await.is_some() {
            app.changed.notify_waiters();
        }
    });
}

/// Asks silent servers again and again, and takes those that answer back into use.
pub async fn recall(app: Rc<App>) {
    loop {
        sleep(RECALL).await;
        let silent = app.fleet.borrow().silent_ones();
        for addr in silent {
            let app = Rc::clone(&app);
            ntex::rt::spawn(async move {
                if ask(&app, addr, ASK_LIMIT).await.is_ok() {
                    app.changed.notify_waiters();
                    if let Some(log) = app.journal.admit(Topic::Server) {
                        info!(log, "watch: A server answers again."; "server" => %addr);
                    }
                }
            });
        }
    }
}

enum Verdict {
    /// The stream goes on or nothing is known against its servers.
    Fine,
    /// The attempt is given up.
    Abandon(&'static str),
    /// A part other than the first is replaced.
    Move,
}

fn judge(app: &App, key: FlightKey, answers: &Answers) -> Verdict {
    let flights = app.flights.borrow();
    let Some(flight) = flights.get(key) else {
        return Verdict::Fine;
    };
    let Some(first) = flight.parts.first() else {
        return Verdict::Fine;
    };
    // An event that arrived meanwhile has reset this mark.
    if flight.progress.asked.is_none() || flight.moving {
        return Verdict::Fine;
    }
    let Some(Some(report)) = answers.get(&first.addr) else {
        return Verdict::Abandon("first server silent");
    };
    let blamed: Vec<SocketAddr> = report
        .stalled
        .iter()
        .filter(|(id, _)| *id == flight.id)
        .map(|(_, addr)| *addr)
        .collect();
    let silent = |p: &Part| matches!(answers.get(&p.addr), Some(None)) || blamed.contains(&p.addr);
    if flight.parts[1..].iter().any(silent) {
        let now = app.now();
        for addr in blamed {
            app.fleet.borrow_mut().fail(now, addr, Fault::Broken);
        }
        return if flight.progress.begun {
            Verdict::Move
        } else {
            Verdict::Abandon("part silent before the first event")
        };
    }
    // A request that waits for its first event may wait behind others, and would do so elsewhere.
    let still = app.now().since(flight.progress.last) >= PATIENCE;
    if flight.progress.begun && still {
        return Verdict::Abandon("silent without a cause");
    }
    Verdict::Fine
}

fn abandon(app: &App, key: FlightKey, why: &'static str) {
    let flights = app.flights.borrow();
    let Some(flight) = flights.get(key) else {
        return;
    };
    if let Some(log) = app.journal.admit(Topic::Stream) {
        info!(log, "watch: An attempt is given up."; "request" => &flight.id, "cause" => why,
            "silent_ms" => silent_ms(app.now(), flight.progress.last));
    }
    flight.abandon.notify_one();
}

/// Moves every stream away from a server that gives no sign of life.
fn leave(app: &Rc<App>, addr: SocketAddr) {
    let crossing: Vec<(FlightKey, bool)> = {
        let flights = app.flights.borrow();
        let crossing = flights.iter().filter(|(_, f)| !f.moving && f.crosses(addr));
        crossing
            .map(|(k, f)| (k, f.progress.begun && !f.starts_at(addr)))
            .collect()
    };
    let paths = Rc::new(RefCell::new(Paths::default()));
    for (key, movable) in crossing {
        if movable {
            ntex::rt::spawn(relocate(Rc::clone(app), key, Rc::clone(&paths)));
        } else {
            abandon(app, key, "server silent");
        }
    }
}

/// New paths by old ones; streams on the same path move together, as each search costs more than
/// an order.
type Paths = Map<Vec<Part>, Vec<Part>>;

/// Orders the first server to go on over a path without the servers that are out of use.
async fn relocate(app: Rc<App>, key: FlightKey, paths: Rc<RefCell<Paths>>) {
    for _ in 0..RELOCATIONS {
        let Some((id, first, route)) = find_path(&app, key, &paths) else {
            return abandon(&app, key, "no other path");
        };
        let body = orders::repath(&id, &route, None);
        let result = send(&app, first, body).await;
        let moved = matches!(result, Ok((Outcome::Begun | Outcome::Done, _)));
        metric::order("repath", if moved { "done" } else { "failed" });
        let Some(silent) = note_moved(&app, key, &route, moved) else {
            return;
        };
        if let Some(log) = app.journal.admit(Topic::Stream) {
            info!(log, "watch: A stream was moved."; "request" => &id, "silent_ms" => silent,
                "parts" => route.len(), "outcome" => format!("{result:?}"));
        }
        if moved {
            metric::moved("repath");
            return count_anew(&app, key, &route);
        }
        let Ok((Outcome::Conflict, Some(blamed))) = result else {
            break;
        };
        app.fleet.borrow_mut().fail(app.now(), blamed, Fault::Full);
        paths.borrow_mut().clear();
        verify(&app, blamed);
    }
    abandon(&app, key, "the first server didn't take the new path");
}

/// Takes in the end of an order to move a stream; returns how long it has been silent.
fn note_moved(app: &App, key: FlightKey, route: &[Part], moved: bool) -> Option<u64> {
    let now = app.now();
    let mut flights = app.flights.borrow_mut();
    let flight = flights.get_mut(key)?;
    flight.moving = false;
    if moved {
        flight.parts = route.to_vec();
        flight.progress.ask(now);
    }
    Some(silent_ms(now, flight.progress.last))
}

fn count_anew(app: &Rc<App>, key: FlightKey, parts: &[Part]) {
    let demand = match app.flights.borrow().get(key) {
        Some(flight) => flight.demand,
        None => return,
    };
    let load = Load::begin(app, parts_memory(parts, &demand));
    let old = {
        let mut flights = app.flights.borrow_mut();
        flights
            .get_mut(key)
            .map(|f| std::mem::replace(&mut f.load, load))
    };
    drop(old);
}

fn find_path(
    app: &App,
    key: FlightKey,
    paths: &RefCell<Paths>,
) -> Option<(String, SocketAddr, Vec<Part>)> {
    let mut flights = app.flights.borrow_mut();
    let flight = flights.get_mut(key)?;
    let first = *flight.parts.first()?;
    let known = paths.borrow().get(&flight.parts).cloned();
    let route = match known {
        Some(route) => route,
        None => {
            let route = search(app, flight, first)?;
            paths
                .borrow_mut()
                .insert(flight.parts.clone(), route.clone());
            route
        }
    };
    flight.moving = true;
    Some((flight.id.clone(), first.addr, route))
}

fn search(app: &App, flight: &Flight, first: Part) -> Option<Vec<Part>> {
    let config = app.config()?;
    let engine = engine_of(&config, &flight.service)?;
    let now = app.now();
    let gateways = app.gateways() as f64;
    let fleet = app.fleet.borrow();
    let mut holders = fleet.holders(&flight.service, engine, now, gateways, Trust::Missing);
    if !holders.iter().any(|h| h.addr == first.addr) {
        // The first server may be left out for new requests and still serve this one.
        let server = fleet.at(first.addr).and_then(|k| fleet.get(k))?;
        holders.push(server.holder(engine, now, gateways)?);
    }
    let mut rng = app.rng.borrow_mut();
    Some(replace(engine, &holders, &flight.demand, first, &mut *rng)?.parts)
}

fn silent_ms(now: Moment, last: Moment) -> u64 {
    now.ms_since(last)
}
