//! Requests with one answer: calls of plain services.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::{Response, StatusCode};
use ntex::util::Bytes;
use slog::info;
use tokio::time::timeout;

use mustard_adapter::answers;
use mustard_core::deployment::Kind;
use mustard_policy::suspicion::Fault;

use crate::app::App;
use crate::fleet::Load;
use crate::journal::Topic;
use crate::metric;

use super::attempt::{Miss, Target, send};
use super::{Job, Refusal, note_served, spend};

/// The share of the wanted time after which an idempotent request is sent to a second server.
const HEDGE_SHARE: f64 = 0.5;
/// The sends of one request that didn't reach a server, at most.
const MAX_UNSENT: u32 = 3;
/// When to come back if no server is to be had, or all are full.
const BUSY_WAIT: Duration = Duration::from_millis(250);

/// A server's whole answer.
struct Answer {
    status: u16,
    headers: ntex::http::HeaderMap,
    body: Bytes,
}

/// What became of a send.
struct Sent {
    addr: SocketAddr,
    result: Result<Answer, Miss>,
}

/// Serves a request of a plain service.
pub(super) async fn run(app: &Rc<App>, job: Job) -> Response {
    let left = app.now().until(job.deadline);
    let mut tried = Vec::new();
    match timeout(left, attempts(app, &job, &mut tried)).await {
        Ok(response) => response,
        Err(_) => {
            if let Some(&addr) = tried.last() {
                app.fleet.borrow_mut().fail(app.now(), addr, Fault::Broken);
                note_failed(app, &job, addr, "no answer in time", 0);
            }
            metric::outcome("plain", "timeout");
            Refusal::new("timeout", 504).of(&job.ask).respond(app)
        }
    }
}

/// Sends a request to servers until one has answered; `tried` holds those that it was sent to.
async fn attempts(app: &Rc<App>, job: &Job, tried: &mut Vec<SocketAddr>) -> Response {
    let repeatable = job.route.kind == Kind::Idempotent;
    let mut unsent = 0;
    let mut last: Option<Result<Answer, Miss>> = None;
    let mut attempt = 0;
    while attempt < job.route.attempts {
        if attempt > 0 && !spend(app, job) {
            break;
        }
        let Some(first) = choose(app, job, tried) else {
            break;
        };
        tried.push(first.addr);
        let may_hedge = repeatable && attempt + 1 < job.route.attempts;
        let (sent, used) = if may_hedge {
            hedged(app, job, first, tried).await
        } else {
            (once(app, job, first).await, 1)
        };
        note(app, job, &sent);
        match sent.result {
            Err(Miss::NotSent) => {
                unsent += 1;
                if unsent >= MAX_UNSENT {
                    last.get_or_insert(Err(Miss::NotSent));
                    break;
                }
                last.get_or_insert(Err(Miss::NotSent));
                continue;
            }
            Ok(ref answer) if !repeatable || answer.status < 500 => {
                last = Some(sent.result);
                break;
            }
            Err(Miss::Lost | Miss::GivenUp) if !repeatable => {
                last = Some(sent.result);
                break;
            }
            result => last = Some(result),
        }
        attempt += used;
    }
    respond(app, job, last, attempt + 1)
}

/// Sends to a server, and to a second one if the first is slower than usual.
async fn hedged(
    app: &Rc<App>,
    job: &Job,
    first: Target,
    tried: &mut Vec<SocketAddr>,
) -> (Sent, u32) {
    let mut one = pin!(once(app, job, first));
    let wait = job.route.first.mul_f64(HEDGE_SHARE);
    if let Ok(sent) = timeout(wait, &mut one).await {
        return (sent, 1);
    }
    let Some(second) = choose(app, job, tried).filter(|_| spend(app, job)) else {
        return (one.await, 1);
    };
    tried.push(second.addr);
    let mut two = pin!(once(app, job, second));
    let good = |s: &Sent| matches!(&s.result, Ok(a) if a.status < 500);
    let sent = tokio::select! {
        sent = &mut one => if good(&sent) { sent } else { note(app, job, &sent); two.await },
        sent = &mut two => if good(&sent) { sent } else { note(app, job, &sent); one.await },
    };
    (sent, 2)
}

async fn once(app: &Rc<App>, job: &Job, target: Target) -> Sent {
    let addr = target.addr;
    let _load = Load::begin(app, std::iter::once((addr, 1.0)));
    let answered = async {
        let mut head = send(app, job, &target, None).await?;
        let body = head.whole().await?;
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    };
    Sent {
        addr,
        result: answered.await,
    }
}

/// Takes in what a send says of the server.
fn note(app: &App, job: &Job, sent: &Sent) {
    let now = app.now();
    let mut fleet = app.fleet.borrow_mut();
    let what = match &sent.result {
        Ok(answer) if answer.status < 500 => {
            if let Some(server) = fleet.at(sent.addr).and_then(|k| fleet.get_mut(k)) {
                server.suspicion.clear();
            }
            return;
        }
        Ok(_) => "error answer",
        Err(Miss::NotSent) => {
            fleet.fail(now, sent.addr, Fault::Silent);
            "not sent"
        }
        Err(Miss::NotRun(..)) => {
            fleet.fail(now, sent.addr, Fault::Full);
            "not run"
        }
        Err(Miss::Lost | Miss::GivenUp) => {
            fleet.fail(now, sent.addr, Fault::Broken);
            "lost"
        }
    };
    drop(fleet);
    let status = sent.result.as_ref().map_or(0, |a| a.status);
    note_failed(app, job, sent.addr, what, status);
}

fn note_failed(app: &App, job: &Job, server: SocketAddr, cause: &str, status: u16) {
    if let Some(log) = app.journal.admit(Topic::Attempt) {
        info!(log, "request: An attempt failed."; "request" => &job.ask.id, "server" => %server,
            "cause" => cause, "status" => status,
            "took_ms" => app.now().ms_since(job.arrived));
    }
}

/// Chooses the server with the least work of those not tried, near ones first.
fn choose(app: &App, job: &Job, tried: &[SocketAddr]) -> Option<Target> {
    let now = app.now();
    let fleet = app.fleet.borrow();
    let fits = |out: bool| {
        let service = &job.service.name;
        fleet
            .iter()
            .filter(|(_, s)| s.entry.service == *service && !tried.contains(&s.entry.addr))
            .filter(|(_, s)| {
                if out {
                    s.is_last_resort(now) || (s.is_staying() && s.missing.is_none())
                } else {
                    s.is_usable(now)
                }
            })
            .min_by_key(|(k, s)| {
                let far = s.entry.domain != app.node.domain;
                // One request of work is worth the way to another failure domain.
                (
                    s.running * 2 + u32::from(far),
                    s.suspicion.until(),
                    k.index(),
                )
            })
            .map(|(_, s)| s)
    };
    let server = fits(false).or_else(|| fits(true))?;
    Some(Target {
        addr: server.entry.addr,
        identity: server.entry.id.clone(),
        path: Vec::new(),
        crossings: 0,
    })
}

fn respond(
    app: &Rc<App>,
    job: &Job,
    last: Option<Result<Answer, Miss>>,
    attempts: u32,
) -> Response {
    match last {
        Some(Ok(answer)) => {
            note_served(app, job, "plain", attempts);
            metric::first("plain", app.now().since(job.arrived));
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut out = Response::build(status);
            for (name, value) in answers::forward(&answer.headers) {
                out.header(name, value);
            }
            if app.stopping.has_begun() {
                out.force_close();
            }
            out.body(answer.body)
        }
        Some(Err(Miss::Lost | Miss::GivenUp)) => {
            metric::outcome("plain", "lost");
            Refusal::new("no answer of the server", 502)
                .of(&job.ask)
                .respond(app)
        }
        Some(Err(Miss::NotSent | Miss::NotRun(..))) | None => {
            metric::outcome("plain", "refused");
            Refusal::not_run("servers full or out of reach", BUSY_WAIT)
                .of(&job.ask)
                .respond(app)
        }
    }
}
