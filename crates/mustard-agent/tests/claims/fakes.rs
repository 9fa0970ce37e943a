//! Agents that can be crashed and paused, and a service with faults that the test sets.

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

use mustard_agent::claims::{
    BatchOptions, ClaimLimits, Claims, Liveness, LivenessProbe, WriteQueue,
};
use mustard_backend::service::{PlainService, ServiceAnswer, ServiceCall};
use mustard_backend::{BackendError, Result};
use mustard_core::ids::Incarnation;
use mustard_fakes::memory::MemTable;
use mustard_net::Process;
use mustard_net::shutdown::RequestGate;
use mustard_platform::table::{CommitOutcome, Row, ScanPage, Table, Txn};

/// The faults of the service for calls from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ServiceFaults {
    /// Time that a call takes before it is recorded, in milliseconds.
    pub(crate) delay_ms: u64,
    /// Whether answers are lost after the call is recorded.
    pub(crate) lose_answers: bool,
    /// Whether connections are refused.
    pub(crate) refuse: bool,
    /// Whether the lookup by reference fails.
    pub(crate) lookup_fails: bool,
}

/// A call that the service recorded.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Record {
    pub(crate) reference: String,
    pub(crate) body: Vec<u8>,
}

/// A service in memory; a call that was sent is recorded even if its sender crashes.
#[derive(Clone, Default)]
pub(crate) struct Service {
    pub(crate) ledger: Rc<RefCell<Vec<Record>>>,
    pub(crate) faults: Rc<Cell<ServiceFaults>>,
}

impl Service {
    pub(crate) fn records(&self, reference: &str) -> Vec<Record> {
        let ledger = self.ledger.borrow();
        let matching = ledger.iter().filter(|r| r.reference == reference);
        matching.cloned().collect()
    }
}

fn to_answer(record: &Record) -> ServiceAnswer {
    ServiceAnswer {
        status: 201,
        content_type: "text/plain".into(),
        body: record.body.clone(),
    }
}

impl PlainService for Service {
    async fn call(&self, call: ServiceCall) -> Result<ServiceAnswer> {
        let faults = self.faults.get();
        if faults.refuse {
            return Err(BackendError::Unreachable("refused".into()));
        }
        let record = Record {
            reference: call.reference.unwrap_or_default(),
            body: call.body,
        };
        let ledger = Rc::clone(&self.ledger);
        let (sender, receiver) = oneshot::channel();
        spawn_local(async move {
            sleep(Duration::from_millis(faults.delay_ms)).await;
            ledger.borrow_mut().push(record.clone());
            let _ = sender.send(to_answer(&record));
        });
        let limit = Duration::from_millis(call.timeout_ms);
        match tokio::time::timeout(limit, receiver).await {
            Ok(Ok(answer)) if !faults.lose_answers => Ok(answer),
            _ => Err(BackendError::NoAnswer("lost".into())),
        }
    }

    async fn lookup(&self, reference: &str) -> Result<Option<ServiceAnswer>> {
        if self.faults.get().lookup_fails {
            return Err(BackendError::NoAnswer("lookup failed".into()));
        }
        // A lookup has another status than the call, so that a test can tell them apart.
        let found = |record| ServiceAnswer {
            status: 200,
            ..to_answer(record)
        };
        Ok(self.records(reference).first().map(found))
    }
}

/// A liveness probe that knows the processes that crashed.
#[derive(Clone, Default)]
pub(crate) struct Crashes(Rc<RefCell<Vec<Incarnation>>>);

impl LivenessProbe for Crashes {
    async fn probe(&self, _: SocketAddr, incarnation: Incarnation) -> Liveness {
        match self.0.borrow().contains(&incarnation) {
            true => Liveness::Ended,
            false => Liveness::Alive,
        }
    }
}

/// Tells whether the tasks of an agent are polled.
#[derive(Default)]
struct PauseSwitch {
    paused: Cell<bool>,
    after_commit: Cell<bool>,
    wakers: RefCell<Vec<Waker>>,
}

/// The table as one agent uses it; the agent may be paused right after its next commit.
#[derive(Clone)]
struct AgentTable {
    table: MemTable,
    pause: Rc<PauseSwitch>,
}

impl Table for AgentTable {
    async fn commit(&self, txn: Txn) -> mustard_platform::Result<CommitOutcome> {
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
    ) -> mustard_platform::Result<ScanPage> {
        self.table.scan(prefix, after, limit).await
    }
}

/// A task of an agent that is not polled while the agent is paused.
struct Pausable<F> {
    pause: Rc<PauseSwitch>,
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

/// One process of an agent, from its start to its crash.
pub(crate) struct Agent {
    pub(crate) claims: Arc<Claims>,
    pub(crate) gate: Arc<RequestGate>,
    pub(crate) write_queue: WriteQueue,
    incarnation: Incarnation,
    pause: Rc<PauseSwitch>,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl Agent {
    pub(crate) fn start(table: &MemTable, max_rows: usize) -> Rc<Self> {
        let process = Process::new("agent", 16);
        let incarnation = process.incarnation();
        let gate = RequestGate::new();
        let options = BatchOptions {
            max_rows,
            linger: Duration::from_millis(20),
        };
        let limits = ClaimLimits {
            max_background: 8,
            join_wait: Duration::from_millis(400),
        };
        let pause = Rc::<PauseSwitch>::default();
        let agent_table = AgentTable {
            table: table.clone(),
            pause: Rc::clone(&pause),
        };
        let (write_queue, writer) = WriteQueue::new(agent_table, options);
        let log = Logger::root(Discard, o!());
        let claims = Claims::new(process, Arc::clone(&gate), log, write_queue.clone(), limits);
        claims.set_address("127.0.0.1:1".parse().unwrap());
        let agent = Rc::new(Agent {
            claims,
            gate,
            write_queue,
            incarnation,
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

    /// Pauses the agent right after its next commit.
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

    pub(crate) fn crash(&self, crashes: &Crashes) {
        crashes.0.borrow_mut().push(self.incarnation);
        let tasks = self.tasks.take();
        tasks.iter().for_each(AbortHandle::abort);
    }
}
