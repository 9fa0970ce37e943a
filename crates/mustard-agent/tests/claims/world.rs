//! Several agents over one table and one service, with faults told by the test.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use slog::{Discard, Logger, o};
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::sleep;

use mustard_agent::claims::{Bounds, Claims, Keeper, Life, Liveness, Pace};
use mustard_backend::service::{PlainService, ServiceAnswer, ServiceCall};
use mustard_backend::{BackendError, Result};
use mustard_core::ids::Incarnation;
use mustard_fakes::memory::MemTable;
use mustard_net::Process;
use mustard_net::shutdown::Gate;
use mustard_platform::table::{Commit, Row, Scan, Table, Txn};

/// What the service does with the next calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Mood {
    /// Time that a call takes before it is recorded, in milliseconds.
    pub(crate) slow_ms: u64,
    /// Whether answers are lost after the record.
    pub(crate) loses: bool,
    /// Whether connections are refused.
    pub(crate) refuses: bool,
    /// Whether the read by reference fails.
    pub(crate) blind: bool,
}

/// One record of the service.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Record {
    pub(crate) reference: String,
    pub(crate) body: Vec<u8>,
}

/// The service; a call that was sent is recorded even if its sender dies.
#[derive(Clone, Default)]
pub(crate) struct Service {
    pub(crate) ledger: Rc<RefCell<Vec<Record>>>,
    pub(crate) mood: Rc<Cell<Mood>>,
}

impl Service {
    pub(crate) fn records(&self, reference: &str) -> Vec<Record> {
        let ledger = self.ledger.borrow();
        let of_key = ledger.iter().filter(|r| r.reference == reference);
        of_key.cloned().collect()
    }
}

fn answer(record: &Record) -> ServiceAnswer {
    ServiceAnswer {
        status: 201,
        content_type: "text/plain".into(),
        body: record.body.clone(),
    }
}

impl PlainService for Service {
    async fn call(&self, call: ServiceCall) -> Result<ServiceAnswer> {
        let mood = self.mood.get();
        if mood.refuses {
            return Err(BackendError::Unreachable("refused".into()));
        }
        let record = Record {
            reference: call.reference.unwrap_or_default(),
            body: call.body,
        };
        let ledger = Rc::clone(&self.ledger);
        let (tell, told) = oneshot::channel();
        spawn_local(async move {
            sleep(Duration::from_millis(mood.slow_ms)).await;
            ledger.borrow_mut().push(record.clone());
            let _ = tell.send(answer(&record));
        });
        let limit = Duration::from_millis(call.limit_ms);
        match tokio::time::timeout(limit, told).await {
            Ok(Ok(answer)) if !mood.loses => Ok(answer),
            _ => Err(BackendError::NoAnswer("lost".into())),
        }
    }

    async fn lookup(&self, reference: &str) -> Result<Option<ServiceAnswer>> {
        if self.mood.get().blind {
            return Err(BackendError::NoAnswer("blind".into()));
        }
        // A look at the record is answered with a status of its own.
        let found = |record| ServiceAnswer {
            status: 200,
            ..answer(record)
        };
        Ok(self.records(reference).first().map(found))
    }
}

/// The lives that ended.
#[derive(Clone, Default)]
pub(crate) struct Ends(Rc<RefCell<Vec<Incarnation>>>);

impl Liveness for Ends {
    async fn look(&self, _: SocketAddr, life: Incarnation) -> Life {
        match self.0.borrow().contains(&life) {
            true => Life::Ended,
            false => Life::Alive,
        }
    }
}

/// Whether the tasks of an agent are polled.
#[derive(Default)]
struct Pause {
    paused: Cell<bool>,
    after_commit: Cell<bool>,
    wakers: RefCell<Vec<Waker>>,
}

/// The table as one agent sees it; the agent may be paused when its next write has applied.
#[derive(Clone)]
struct OwnTable {
    table: MemTable,
    pause: Rc<Pause>,
}

impl Table for OwnTable {
    async fn commit(&self, txn: Txn) -> mustard_platform::Result<Commit> {
        let result = self.table.commit(txn).await;
        if self.pause.after_commit.take() {
            self.pause.paused.set(true);
        }
        result
    }

    async fn read(&self, keys: &[String]) -> mustard_platform::Result<Vec<Row>> {
        self.table.read(keys).await
    }

    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> mustard_platform::Result<Scan> {
        self.table.scan(prefix, after, limit).await
    }
}

/// A task of an agent that stands still while the agent is paused.
struct Pausable<F> {
    pause: Rc<Pause>,
    task: Pin<Box<F>>,
}

impl<F: Future<Output = ()>> Future for Pausable<F> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.pause.paused.get() {
            self.pause.wakers.borrow_mut().push(cx.waker().clone());
            return Poll::Pending;
        }
        self.task.as_mut().poll(cx)
    }
}

/// One life of an agent.
pub(crate) struct Agent {
    pub(crate) claims: Arc<Claims>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) keeper: Keeper,
    life: Incarnation,
    pause: Rc<Pause>,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl Agent {
    pub(crate) fn start(table: &MemTable, batch: usize) -> Rc<Self> {
        let process = Process::new("agent", 16);
        let life = process.incarnation();
        let gate = Gate::new();
        let pace = Pace {
            batch,
            linger: Duration::from_millis(20),
        };
        let bounds = Bounds {
            journal: 8,
            join: Duration::from_millis(400),
        };
        let pause = Rc::<Pause>::default();
        let own = OwnTable {
            table: table.clone(),
            pause: Rc::clone(&pause),
        };
        let (keeper, writer) = Keeper::new(own, pace);
        let log = Logger::root(Discard, o!());
        let claims = Claims::new(process, Arc::clone(&gate), log, keeper.clone(), bounds);
        claims.listens("127.0.0.1:1".parse().unwrap());
        let agent = Rc::new(Agent {
            claims,
            gate,
            keeper,
            life,
            pause,
            tasks: RefCell::default(),
        });
        agent.spawn(writer.run());
        agent
    }

    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let pause = Rc::clone(&self.pause);
        let task = Box::pin(task);
        let handle = spawn_local(Pausable { pause, task });
        self.tasks.borrow_mut().push(handle.abort_handle());
    }

    /// Pauses the agent as soon as its next write has applied.
    pub(crate) fn pause_after_commit(&self) {
        self.pause.after_commit.set(true);
    }

    pub(crate) fn pause(&self, paused: bool) {
        self.pause.after_commit.set(false);
        self.pause.paused.set(paused);
        if !paused {
            let wakers = self.pause.wakers.take();
            wakers.into_iter().for_each(Waker::wake);
        }
    }

    pub(crate) fn crash(&self, ends: &Ends) {
        ends.0.borrow_mut().push(self.life);
        let tasks = self.tasks.take();
        tasks.iter().for_each(AbortHandle::abort);
    }
}
