//! A call with an idempotency key runs at most once, and every answer about it is true.
//!
//! Guards against double runs and false answers when agents crash or pause, the table fails or
//! loses writes and answers, and the service is slow, refuses calls or loses answers.
#![allow(clippy::unwrap_used)]

mod cases;
mod fakes;

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bolero::{TypeGenerator, check, produce};
use tokio::task::LocalSet;
use tokio::time::sleep;

use mustard_agent::claims::{CallClients, reference, row_key};
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::RequestId;
use mustard_fakes::memory::{MemTable, TableCopy};
use mustard_proto::agent::{Call, CallAnswer, SettleDecision, SettleKey, VoidAnswer, VoidKey};
use mustard_proto::{Execution, Refusal};

use fakes::{Agent, Crashes, Service, ServiceFaults};

const AGENTS: usize = 3;
const KEYS: u8 = 3;
const SERVICE: &str = "s";
const OWNER: &str = "o";

#[derive(Clone, Debug, TypeGenerator)]
enum Op {
    Call {
        agent: u8,
        key: u8,
        content: u8,
        deadline: u8,
    },
    Void {
        agent: u8,
        key: u8,
    },
    Crash {
        agent: u8,
    },
    Pause {
        agent: u8,
        paused: bool,
    },
    PauseAfterCommit {
        agent: u8,
    },
    Table {
        down: bool,
    },
    LoseAnswers {
        count: u8,
    },
    LoseWrites {
        count: u8,
    },
    Service {
        delay: u8,
        lose_answers: bool,
        refuse: bool,
        lookup_fails: bool,
    },
    Wait {
        ms: u8,
    },
    /// Copies the table, in place of the copy before.
    Copy,
    /// Restores the table from the last copy.
    Restore,
}

/// A call and the result that its caller got.
struct CallResult {
    id: u128,
    key: u8,
    content: u8,
    result: Result<CallAnswer, Refusal>,
}

/// Agents that share one table and one service, and all that their callers were told.
struct Cluster {
    table: MemTable,
    copy: TableCopy,
    service: Service,
    crashes: Crashes,
    agents: Vec<Rc<Agent>>,
    results: Rc<RefCell<Vec<CallResult>>>,
    voided: Rc<RefCell<Vec<u8>>>,
    last_id: u128,
}

impl Cluster {
    fn new() -> Self {
        let table = MemTable::new();
        let agents = (0..AGENTS).map(|_| Agent::start(&table, 4)).collect();
        Cluster {
            copy: table.copy(),
            table,
            service: Service::default(),
            crashes: Crashes::default(),
            agents,
            results: Rc::default(),
            voided: Rc::default(),
            last_id: 0,
        }
    }

    fn agent(&self, agent: u8) -> Rc<Agent> {
        Rc::clone(&self.agents[usize::from(agent) % AGENTS])
    }

    fn call(&mut self, agent: u8, key: u8, content: u8, deadline_ms: u64) {
        self.last_id += 1;
        let id = self.last_id;
        let call = new_call(id, key, content, deadline_ms);
        let agent = self.agent(agent);
        let claims = agent.claims.clone();
        let clients = CallClients {
            service: self.service.clone(),
            table: self.table.clone(),
            liveness: self.crashes.clone(),
        };
        let results = Rc::clone(&self.results);
        agent.spawn(async move {
            let result = claims.call(&clients, call).await;
            results.borrow_mut().push(CallResult {
                id,
                key,
                content,
                result,
            });
        });
    }

    fn void(&self, agent: u8, key: u8) {
        let void = VoidKey {
            owner: OWNER.into(),
            service: SERVICE.into(),
            key: key_name(key),
        };
        let agent = self.agent(agent);
        let claims = agent.claims.clone();
        let service = self.service.clone();
        let voided = Rc::clone(&self.voided);
        agent.spawn(async move {
            if claims.void(&service, &void).await == Ok(VoidAnswer::Voided) {
                voided.borrow_mut().push(key);
            }
        });
    }

    async fn apply(&mut self, op: &Op) {
        match op.clone() {
            Op::Call {
                agent,
                key,
                content,
                deadline,
            } => {
                // Most calls of a key have the same content, as repeats do.
                let content = u8::from(content > 230);
                let deadline_ms = 20 + u64::from(deadline) * 8;
                self.call(agent, key % KEYS, content, deadline_ms);
            }
            Op::Void { agent, key } => self.void(agent, key % KEYS),
            Op::Crash { agent } => {
                let slot = usize::from(agent) % AGENTS;
                self.agents[slot].crash(&self.crashes);
                self.agents[slot] = Agent::start(&self.table, 4);
            }
            Op::Pause { agent, paused } => self.agent(agent).pause(paused),
            Op::PauseAfterCommit { agent } => self.agent(agent).pause_after_commit(),
            Op::Table { down } => self.table.faults().set_down(down),
            Op::LoseAnswers { count } => self.table.faults().lose_answers(u32::from(count % 4)),
            Op::LoseWrites { count } => self.table.faults().lose_writes(u32::from(count % 4)),
            Op::Service {
                delay,
                lose_answers,
                refuse,
                lookup_fails,
            } => self.service.faults.set(ServiceFaults {
                delay_ms: u64::from(delay) * 2,
                lose_answers,
                refuse,
                lookup_fails,
            }),
            Op::Wait { ms } => sleep(Duration::from_millis(u64::from(ms) * 4)).await,
            Op::Copy => self.copy = self.table.copy(),
            Op::Restore => self.table.restore(self.copy.clone()),
        }
    }

    /// Ends all pauses and faults and waits until the agents have caught up.
    async fn clear_faults(&self) {
        self.agents.iter().for_each(|a| a.pause(false));
        let faults = self.table.faults();
        faults.set_down(false);
        faults.lose_answers(0);
        faults.lose_writes(0);
        self.service.faults.set(ServiceFaults::default());
        sleep(Duration::from_secs(60)).await;
    }

    /// Checks that no key ran twice, every answer was true and nothing waits to be written.
    fn check_invariants(&self) {
        for key in 0..KEYS {
            let records = self.records(key);
            assert!(records.len() <= 1, "key {key} ran {} times", records.len());
            if self.voided.borrow().contains(&key) {
                assert!(records.is_empty(), "key {key} ran though it was made void");
            }
        }
        for call in self.results.borrow().iter() {
            self.check_result(call);
        }
        for agent in &self.agents {
            assert_eq!(
                agent.write_queue.background_count(),
                0,
                "results wait for a healthy table"
            );
            assert_eq!(agent.gate.running(), 0);
        }
    }

    fn check_result(&self, call: &CallResult) {
        let records = self.records(call.key);
        let own_body = body(call.id, call.content);
        let ran = records.iter().any(|r| r.body == own_body);
        match &call.result {
            Ok(answer) => {
                assert_eq!(
                    records.len(),
                    1,
                    "answered call {} is not on record",
                    call.id
                );
                assert_eq!(
                    answer.body, records[0].body,
                    "call {} got a foreign answer",
                    call.id
                );
                assert!(answer.replayed || ran);
                assert_eq!(records[0].body[0], call.content, "key was reused");
            }
            Err(r) if r.execution() == Execution::No => {
                assert!(!ran, "call {} ran though its caller was told {r}", call.id);
            }
            Err(_) => {}
        }
    }

    fn records(&self, key: u8) -> Vec<fakes::Record> {
        self.service
            .records(&reference(SERVICE, OWNER, &key_name(key)))
    }
}

fn key_name(key: u8) -> String {
    format!("key-{key}")
}

fn body(id: u128, content: u8) -> Vec<u8> {
    let mut body = vec![content];
    body.extend(id.to_be_bytes());
    body
}

fn new_call(id: u128, key: u8, content: u8, deadline_ms: u64) -> Call {
    Call {
        request: RequestId(id),
        entry: "e".into(),
        owner: OWNER.into(),
        service: SERVICE.into(),
        key: Some(key_name(key)),
        fingerprint: Fingerprint::of(&[&[content]]),
        method: "POST".into(),
        path: "/book".into(),
        content_type: "text/plain".into(),
        body: body(id, content),
        deadline_ms,
    }
}

/// Runs a test in virtual time.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn call_any_schedule() {
    check_schedules(|op| (!matches!(op, Op::Copy | Op::Restore)).then(|| op.clone()));
}

/// Guards against double runs and false answers when claims, results and closed keys are lost, as the
/// table comes back from an older copy at any step. The service's record doesn't tell the content of a
/// lost row apart, so all calls with a key have one content.
#[test]
fn call_any_schedule_restored_table() {
    check_schedules(|op| {
        Some(match op.clone() {
            Op::Call {
                agent,
                key,
                deadline,
                ..
            } => Op::Call {
                agent,
                key,
                content: 0,
                deadline,
            },
            // A lost closing isn't known to anyone.
            Op::Void { .. } => Op::Copy,
            op => op,
        })
    });
}

/// Checks generated schedules, with each step replaced or left out by `select`.
fn check_schedules(select: impl Fn(&Op) -> Option<Op> + std::panic::RefUnwindSafe) {
    check!()
        .with_generator(produce::<Vec<Op>>().with().len(5..60usize))
        .with_iterations(500)
        .for_each(|ops| {
            run(async {
                let mut cluster = Cluster::new();
                for op in ops.iter().filter_map(&select).take(60) {
                    cluster.apply(&op).await;
                }
                cluster.clear_faults().await;
                cluster.check_invariants();
                // A key whose call is on record is now answered through any agent, if the content
                // is the same.
                for key in 0..KEYS {
                    for agent in 0..AGENTS as u8 {
                        cluster.call(agent, key, 0, 5_000);
                    }
                }
                sleep(Duration::from_secs(30)).await;
                cluster.check_invariants();
                let results = cluster.results.borrow();
                let last = &results[results.len() - AGENTS * usize::from(KEYS)..];
                for call in last {
                    let records = cluster.records(call.key);
                    let same_content = records.first().is_some_and(|r| r.body[0] == call.content);
                    assert!(!same_content || call.result.is_ok(), "{:?}", call.result);
                }
            });
        });
}
