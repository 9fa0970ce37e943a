//! Streams of events: passing them on, and going on elsewhere when an attempt ends early.

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
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{sleep, timeout};

use mustard_adapter::answers;
use mustard_core::deployment::Kind;

use crate::app::App;
use crate::journal::Topic;
use crate::metric;

use super::attempt::{Miss, Piece};
use super::frames::Frames;
use super::open::{Attempts, Failure, Running, blame, note_miss, open, strike};
use super::{Job, Refusal, note_served};

/// Events that wait for a caller that reads slowly.
const QUEUE: usize = 32;
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
        let now = self.app.now();
        let content = self.job.content;
        self.app.quarantine.borrow_mut().clear(now, content);
        note_served(&self.app, &self.job, "stream", self.attempts.ran);
    }

    /// Breaks the stream off so that it doesn't look whole.
    async fn fail(self, cause: &'static str) {
        metric::outcome("stream", "broken off");
        if let Some(log) = self.app.journal.admit(Topic::Failed) {
            warn!(log, "request: A stream was broken off."; "request" => &self.job.ask.id,
                "cause" => cause, "after" => self.last,
                "took_ms" => self.app.now().ms_since(self.job.arrived));
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
