//! Watches the streams in flight, and moves those that a silent server holds up.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::sleep;

use mustard_adapter::orders::{self, Outcome};
use mustard_core::clock::Moment;
use mustard_core::collections::{Map, Set};
use mustard_core::deployment::{Part, Report};
use mustard_policy::pipeline::replace;
use mustard_policy::stall::Progress;
use mustard_policy::suspicion::Fault;

use crate::app::App;
use crate::fleet::{Load, Trust};
use crate::flights::FlightKey;
use crate::forward::parts_memory;
use crate::journal::Topic;
use crate::keeper::{ask, engine_of, send};
use crate::metric;

/// The pause between two looks at the streams in flight.
const LOOK: Duration = Duration::from_millis(15);
/// The time for a report while streams stand still; a live server answers within a few
/// milliseconds.
const ASK_LIMIT: Duration = Duration::from_millis(40);
/// The pause of a stream after which it goes on elsewhere although no server is to blame.
const PATIENCE: Duration = Duration::from_millis(900);

/// What the servers of silent streams said.
type Answers = Map<SocketAddr, Option<Report>>;

/// Watches for the life of the process.
pub async fn run(app: Rc<App>) {
    loop {
        sleep(LOOK).await;
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
            flight.progress.asked = Some(now);
        }
    }
    due
}

async fn diagnose(app: &Rc<App>, due: Vec<FlightKey>) {
    let answers = ask_all(app, &due).await;
    for key in due {
        let app = Rc::clone(app);
        let verdict = judge(&app, key, &answers);
        match verdict {
            Verdict::Fine => {}
            Verdict::Abandon(why) => abandon(&app, key, why),
            Verdict::Move => {
                ntex::rt::spawn(async move { relocate(&app, key).await });
            }
        }
    }
}

/// Asks every server on the paths of the streams.
async fn ask_all(app: &Rc<App>, due: &[FlightKey]) -> Answers {
    let mut addrs: Set<SocketAddr> = Set::default();
    for key in due {
        if let Some(flight) = app.flights.borrow().get(*key) {
            addrs.extend(flight.parts.iter().map(|p| p.addr));
        }
    }
    let tasks: Vec<_> = addrs
        .into_iter()
        .map(|addr| {
            let app = Rc::clone(app);
            let task = async move { ask(&app, addr, ASK_LIMIT).await.ok() };
            (addr, ntex::rt::spawn(task))
        })
        .collect();
    let mut answers = Answers::default();
    for (addr, task) in tasks {
        let report = task.await.ok().flatten();
        if report.is_none() {
            note_silent(app, addr);
        }
        answers.insert(addr, report);
    }
    answers
}

fn note_silent(app: &App, addr: SocketAddr) {
    let now = app.now();
    let turned = {
        let mut fleet = app.fleet.borrow_mut();
        let key = fleet.at(addr);
        if let Some(server) = key.and_then(|k| fleet.get_mut(k)) {
            server.silent.get_or_insert(now);
        }
        fleet.fail(now, addr, Fault::Silent)
    };
    if turned && let Some(log) = app.journal.admit(Topic::Server) {
        warn!(log, "watch: A server gives no sign of life."; "server" => %addr);
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
            app.fleet.borrow_mut().fail(now, addr, Fault::Silent);
        }
        return if flight.progress.begun {
            Verdict::Move
        } else {
            Verdict::Abandon("part silent before the first event")
        };
    }
    if app.now().since(flight.progress.last) >= PATIENCE {
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

/// Orders the first server to go on over a path without the servers that are out of use.
async fn relocate(app: &Rc<App>, key: FlightKey) {
    let Some((id, first, route)) = find_path(app, key) else {
        abandon(app, key, "no other path");
        return;
    };
    let body = orders::repath(&id, &route, None);
    let result = send(app, first, body).await;
    let moved = matches!(result, Ok(Outcome::Begun | Outcome::Done));
    metric::order("repath", if moved { "done" } else { "failed" });
    let now = app.now();
    let silent = {
        let mut flights = app.flights.borrow_mut();
        let Some(flight) = flights.get_mut(key) else {
            return;
        };
        flight.moving = false;
        let silent = silent_ms(now, flight.progress.last);
        if moved {
            flight.parts.clone_from(&route);
            flight.progress.asked = Some(now);
        }
        silent
    };
    if let Some(log) = app.journal.admit(Topic::Stream) {
        info!(log, "watch: A stream was moved."; "request" => &id, "silent_ms" => silent,
            "parts" => route.len(), "outcome" => format!("{result:?}"));
    }
    if !moved {
        abandon(app, key, "the first server didn't take the new path");
        return;
    }
    metric::moved("repath");
    count_anew(app, key, &route);
}

fn count_anew(app: &Rc<App>, key: FlightKey, parts: &[Part]) {
    let demand = match app.flights.borrow().get(key) {
        Some(flight) => flight.demand,
        None => return,
    };
    let load = Load::begin(app, parts_memory(parts, &demand));
    let old = {
        let mut flights = app.flights.borrow_mut();
        flights.get_mut(key).map(|f| std::mem::replace(&mut f.load, load))
    };
    drop(old);
}

fn find_path(app: &App, key: FlightKey) -> Option<(String, SocketAddr, Vec<Part>)> {
    let config = app.config()?;
    let mut flights = app.flights.borrow_mut();
    let flight = flights.get_mut(key)?;
    let engine = engine_of(&config, &flight.service)?;
    let first = *flight.parts.first()?;
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
    let route = replace(engine, &holders, &flight.demand, first, &mut *rng)?;
    flight.moving = true;
    Some((flight.id.clone(), first.addr, route.parts))
}

fn silent_ms(now: Moment, last: Moment) -> u64 {
    now.since(last).as_millis() as u64
}
