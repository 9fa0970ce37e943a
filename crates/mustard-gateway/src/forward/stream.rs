//! Streams of events over paths of servers.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use ntex::http::{Response, StatusCode};
use ntex::io::{IoRef, OnDisconnect};
use ntex::util::{Bytes, BytesMut, Stream};
use slog::{info, warn};
use thiserror::Error;
use tokio::sync::Notify;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{sleep, timeout};

use mustard_adapter::answers;
use mustard_core::deployment::Kind;
use mustard_policy::pipeline::choose;
use mustard_policy::quarantine::Strike;
use mustard_policy::stall::Progress;
use mustard_policy::suspicion::Fault;

use crate::app::App;
use crate::fleet::{Load, Trust};
use crate::flights::{Flight, FlightGuard};
use crate::journal::Topic;
use crate::metric;
use crate::watch::verify;

use super::attempt::{Head, Miss, Piece, Target, send};
use super::frames::Frames;
use super::{Job, Refusal, note_served, parts_memory};

/// Events that wait for a caller that reads slowly.
const QUEUE: usize = 32;
/// The share of the wanted time to the first event that a request waits for servers.
const WAIT_SHARE: f64 = 0.5;
/// Sends of one request that no server ran, at most.
const MAX_UNRUN: u32 = 4;
/// When to come back if no path is to be had; a server that restarted has its layers again after
/// about this time.
const PATH_WAIT: Duration = Duration::from_millis(1_500);
/// When to come back if the servers are full.
const FULL_WAIT: Duration = Duration::from_millis(700);

/// A stream that is broken off.
#[derive(Clone, Copy, Debug, Error)]
#[error("the stream is broken off")]
struct BrokenOff;

/// The body of a stream's answer; dropping it tells the task that the caller has left.
struct EventBody {
    receiver: Receiver<Result<Bytes, BrokenOff>>,
    io: Option<IoRef>,
    closing: Option<OnDisconnect>,
}

impl EventBody {
    /// Closes the connection behind what was written. The server would answer an error of the
    /// body with a second head, which no caller could read there.
    fn close(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BrokenOff>>> {
        let Some(io) = &self.io else {
            return Poll::Ready(Some(Err(BrokenOff)));
        };
        if self.closing.is_none() {
            io.close();
        }
        let closing = self.closing.get_or_insert_with(|| io.on_disconnect());
        if Pin::new(closing).poll(cx).is_ready() {
            cx.waker().wake_by_ref();
        }
        Poll::Pending
    }
}

impl Stream for EventBody {
    type Item = Result<Bytes, BrokenOff>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.closing.is_some() {
            return self.close(cx);
        }
        match self.receiver.poll_recv(cx) {
            Poll::Ready(Some(Err(BrokenOff))) => self.close(cx),
            other => other,
        }
    }
}

/// An attempt that has begun to answer.
struct Running {
    head: Head,
    frames: Frames,
    guard: FlightGuard,
    abandon: Rc<Notify>,
    first: SocketAddr,
}

/// Why no attempt answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// No path over servers in use.
    NoPath,
    /// Servers refused as full or gone, and none ran the request.
    NotRun,
    /// A server may have run the request.
    Lost,
}

/// The attempts of one request.
#[derive(Clone, Default)]
struct Attempts {
    /// Sends that a server may have run.
    ran: u32,
    /// Sends that no server ran.
    unrun: u32,
    /// Servers that failed this request. Whether they are at fault shows only once they are
    /// asked, which the next attempt doesn't wait for.
    avoid: Vec<SocketAddr>,
}

/// Serves a request whose answer is a stream.
pub(super) async fn run(app: &Rc<App>, job: Job, io: Option<IoRef>) -> Response {
    let mut attempts = Attempts::default();
    let left = app.now().until(job.deadline);
    let opened = timeout(left, open(app, &job, &mut attempts, job.ask.last_event)).await;
    let running = match opened {
        Ok(Ok(running)) => running,
        Ok(Err(failure)) => return refuse(app, &job, failure),
        Err(_) => {
            metric::outcome("stream", "timeout");
            return Refusal::new("timeout", 504).of(&job.ask).respond(app);
        }
    };
    let status = StatusCode::from_u16(running.head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut out = Response::build(status);
    for (name, value) in answers::forward(&running.head.headers) {
        out.header(name, value);
    }
    if app.stopping.has_begun() {
        out.force_close();
    }
    if !status.is_success() {
        let mut running = running;
        return match running.head.whole().await {
            Ok(body) => out.body(body),
            Err(_) => refuse(app, &job, Failure::Lost),
        };
    }
    let (sender, receiver) = channel(QUEUE);
    let session = Session {
        app: Rc::clone(app),
        last: job.ask.last_event,
        job: Rc::new(job),
        attempts,
        sender,
        begun: false,
    };
    ntex::rt::spawn(pump(session, running));
    out.streaming(EventBody {
        receiver,
        io,
        closing: None,
    })
}

fn refuse(app: &Rc<App>, job: &Job, failure: Failure) -> Response {
    metric::outcome("stream", "refused");
    let refusal = match failure {
        Failure::NoPath => Refusal::not_run("no path", PATH_WAIT),
        Failure::NotRun => Refusal::not_run("servers full or out of reach", FULL_WAIT),
        Failure::Lost => Refusal::new("no answer of the servers", 502),
    };
    refusal.of(&job.ask).respond(app)
}

/// Sends the request until a server begins to answer or no further attempt is allowed.
async fn open(
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
            Ok(head) if head.status < 500 || !repeatable => {
                attempts.ran += 1;
                return Ok(Running {
                    head,
                    frames: Frames::default(),
                    guard,
                    abandon,
                    first,
                });
            }
            Ok(head) => {
                attempts.ran += 1;
                note_miss(app, job, first, &format!("status {}", head.status));
                if attempts.ran >= job.route.attempts {
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

/// Takes a further attempt out of the retry budget.
fn spend(app: &App, job: &Job) -> bool {
    let now = app.now();
    let allowed = app.with_allowance(&job.service.name, |a| a.spend(now));
    metric::retry(if allowed { "failed" } else { "budget empty" });
    allowed
}

/// Takes in what a send without an answer says of the servers.
///
/// Which server is at fault is only guessed at here, so the one that is blamed is asked. Returns
/// the server that this request had better avoid.
fn blame(app: &Rc<App>, first: SocketAddr, miss: Miss) -> Option<SocketAddr> {
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
async fn wait_for_path(
    app: &Rc<App>,
    job: &Job,
    avoid: &[SocketAddr],
) -> Option<(Target, mustard_policy::pipeline::Demand)> {
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

fn find_path(
    app: &App,
    job: &Job,
    avoid: &[SocketAddr],
) -> Option<(Target, mustard_policy::pipeline::Demand)> {
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

/// A stream that has begun to be answered.
struct Session {
    app: Rc<App>,
    job: Rc<Job>,
    attempts: Attempts,
    sender: Sender<Result<Bytes, BrokenOff>>,
    /// The last event that the caller has.
    last: Option<u64>,
    begun: bool,
}

/// How an attempt ended.
enum Ended {
    /// With its last event.
    Whole,
    /// Before its last event.
    Broken(&'static str),
    /// It stands still, and may go on elsewhere.
    Still,
    /// The caller has left.
    Left,
    /// The time is over.
    Deadline,
}

/// Passes events on until the stream ends, going on at another server where that is allowed.
async fn pump(mut session: Session, mut running: Running) {
    let deadline = sleep(session.app.now().until(session.job.deadline));
    let mut deadline = pin!(deadline);
    loop {
        let abandon = Rc::clone(&running.abandon);
        let gone = session.sender.clone();
        let ended = tokio::select! {
            ended = session.pass(&mut running) => ended,
            () = abandon.notified() => Ended::Still,
            () = gone.closed() => Ended::Left,
            () = &mut deadline => Ended::Deadline,
        };
        let first = running.first;
        let next = match ended {
            Ended::Whole => return session.served(),
            Ended::Left => return metric::outcome("stream", "caller left"),
            Ended::Deadline => return session.fail("deadline").await,
            Ended::Still if !session.may_resume() => continue,
            Ended::Still => tokio::select! {
                next = session.overtake(running) => next,
                () = gone.closed() => return metric::outcome("stream", "caller left"),
                () = &mut deadline => return session.fail("deadline").await,
            },
            Ended::Broken(cause) => {
                session.note_broken(first, cause);
                drop(running);
                if !session.may_resume() {
                    return session.fail(cause).await;
                }
                let resumed = tokio::select! {
                    next = session.resume() => next,
                    () = gone.closed() => return metric::outcome("stream", "caller left"),
                    () = &mut deadline => return session.fail("deadline").await,
                };
                match resumed {
                    Some(next) => Next::Elsewhere(next),
                    None => return session.fail("no server goes on").await,
                }
            }
        };
        running = match next {
            Next::Elsewhere(next) => next,
            Next::Same(same) => {
                running = same;
                continue;
            }
            Next::Whole => return session.served(),
            Next::None => return session.fail("no server goes on").await,
        };
        metric::moved("resumed");
        if let Some(log) = session.app.journal.admit(Topic::Stream) {
            info!(log, "request: A stream goes on elsewhere."; "request" => &session.job.ask.id,
                "after" => session.last, "server" => %running.first);
        }
    }
}

/// How a stream goes on.
enum Next {
    /// At another server.
    Elsewhere(Running),
    /// As before.
    Same(Running),
    /// It has ended meanwhile.
    Whole,
    /// Not at all.
    None,
}

impl Session {
    /// Tells whether another server may go on with the stream. An attempt counts also if its server
    /// seems to have ended: one that is only out of reach from here goes on with its run.
    fn may_resume(&self) -> bool {
        let repeatable = matches!(self.job.route.kind, Kind::Stream { resumable: true });
        repeatable && self.attempts.ran < self.job.route.attempts
    }

    /// Opens the stream at another server.
    async fn resume(&mut self) -> Option<Running> {
        let opened = open(&self.app, &self.job, &mut self.attempts, self.last).await;
        opened.ok().filter(|next| next.head.status == 200)
    }

    /// Opens the stream at another server while the first attempt may still go on; whichever
    /// brings events first is kept.
    async fn overtake(&mut self, mut running: Running) -> Next {
        let (app, job) = (Rc::clone(&self.app), Rc::clone(&self.job));
        let mut attempts = self.attempts.clone();
        let last = self.last;
        let mut broken = false;
        let next = {
            let mut opening = pin!(open(&app, &job, &mut attempts, last));
            loop {
                if broken {
                    break opening.await;
                }
                tokio::select! {
                    opened = &mut opening => break opened,
                    ended = self.pass(&mut running) => match ended {
                        Ended::Broken(_) => broken = true,
                        _ => return Next::Whole,
                    },
                }
            }
        };
        self.attempts = attempts;
        match next {
            Ok(next) if next.head.status == 200 => Next::Elsewhere(next),
            _ if broken => Next::None,
            _ => Next::Same(running),
        }
    }

    /// Passes the events of one attempt on; may be dropped and called again at any time.
    async fn pass(&mut self, running: &mut Running) -> Ended {
        loop {
            let Ok(permit) = self.sender.reserve().await else {
                return Ended::Left;
            };
            match running.head.piece().await {
                Piece::Bytes(bytes) => {
                    if running.frames.push(&bytes) {
                        return Ended::Broken("event too large");
                    }
                }
                Piece::End if running.frames.is_empty() => return Ended::Whole,
                Piece::End => return Ended::Broken("ended within an event"),
                Piece::Broken => return Ended::Broken("connection lost"),
            }
            let (out, fault) = take_events(&mut running.frames, &mut self.last);
            if !out.is_empty() {
                let now = self.app.now();
                running.guard.progress(now);
                if !self.begun {
                    self.begun = true;
                    metric::first("stream", now.since(self.job.arrived));
                }
                permit.send(Ok(out));
            }
            if let Some(fault) = fault {
                return Ended::Broken(fault);
            }
        }
    }

    fn note_broken(&mut self, first: SocketAddr, cause: &'static str) {
        strike(&self.app, &self.job, first);
        self.attempts
            .avoid
            .extend(blame(&self.app, first, Miss::Lost));
        note_miss(&self.app, &self.job, first, cause);
    }

    fn served(self) {
        self.app.quarantine.borrow_mut().clear(self.job.content);
        note_served(&self.app, &self.job, "stream", self.attempts.ran);
    }

    /// Breaks the stream off so that it doesn't look whole.
    async fn fail(self, cause: &'static str) {
        metric::outcome("stream", "broken off");
        if let Some(log) = self.app.journal.admit(Topic::Failed) {
            warn!(log, "request: A stream was broken off."; "request" => &self.job.ask.id,
                "cause" => cause, "after" => self.last,
                "took_ms" => self.app.now().since(self.job.arrived).as_millis() as u64);
        }
        // A caller that has left meanwhile needs no sign.
        let _ = self.sender.send(Err(BrokenOff)).await;
    }
}

/// Takes the whole events that follow the last one, and tells what is wrong with the next.
fn take_events(frames: &mut Frames, last: &mut Option<u64>) -> (Bytes, Option<&'static str>) {
    let mut out = BytesMut::new();
    while let Some(frame) = frames.take() {
        if let (Some(id), Some(before)) = (frame.id, *last) {
            // A second attempt may begin before the events that the first one still brought.
            if id <= before {
                continue;
            }
            if id != before + 1 {
                return (out.freeze(), Some("event out of order"));
            }
        }
        *last = frame.id.or(*last);
        out.extend_from_slice(&frame.bytes);
    }
    (out.freeze(), None)
}

/// Counts a strike against a content whose server broke off; the peers hear of it next round.
fn strike(app: &App, job: &Job, server: SocketAddr) {
    let strike = Strike {
        fingerprint: job.content,
        vm: server.to_string(),
        shared: 1,
    };
    let now = app.now();
    if app.quarantine.borrow_mut().strike(now, &strike)
        && let Some(log) = app.journal.admit(Topic::Server)
    {
        warn!(log, "request: A content ends the servers that run it.";
            "request" => &job.ask.id, "content" => %job.content);
    }
}

fn note_chosen(app: &App, job: &Job, target: &Target, last_event: Option<u64>) {
    if let Some(log) = app.journal.admit(Topic::Chosen) {
        let version = app.config().map_or(0, |c| c.version);
        info!(log, "request: Path chosen."; "request" => &job.ask.id,
            "service" => &job.service.name, "first" => %target.addr,
            "parts" => target.path.len(), "crossings" => target.crossings, "after" => last_event, "config" => version,
            "waited_ms" => app.now().since(job.arrived).as_millis() as u64);
    }
}

fn note_miss(app: &App, job: &Job, first: SocketAddr, cause: &str) {
    if let Some(log) = app.journal.admit(Topic::Attempt) {
        info!(log, "request: An attempt failed."; "request" => &job.ask.id,
            "server" => %first, "cause" => cause,
            "took_ms" => app.now().since(job.arrived).as_millis() as u64);
    }
}
