//! Calls with a key run at most once, whatever fails, and every answer about them is true.
#![allow(clippy::unwrap_used)]

mod cases;
mod world;

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bolero::{TypeGenerator, check, produce};
use tokio::task::LocalSet;
use tokio::time::sleep;

use mustard_agent::claims::{Ports, reference, row_key};
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::RequestId;
use mustard_fakes::memory::MemTable;
use mustard_proto::agent::{Call, CallAnswer, Settle, Verdict, Void, VoidAnswer};
use mustard_proto::{Ran, Refusal};

use world::{Agent, Ends, Mood, Service};

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
        slow: u8,
        loses: bool,
        refuses: bool,
        blind: bool,
    },
    Wait {
        ms: u8,
    },
}

/// An answer to a call as its caller got it.
struct Told {
    id: u128,
    key: u8,
    content: u8,
    result: Result<CallAnswer, Refusal>,
}

struct World {
    table: MemTable,
    service: Service,
    ends: Ends,
    agents: Vec<Rc<Agent>>,
    told: Rc<RefCell<Vec<Told>>>,
    voided: Rc<RefCell<Vec<u8>>>,
    asked: u128,
}

impl World {
    fn new() -> Self {
        let table = MemTable::new();
        let agents = (0..AGENTS).map(|_| Agent::start(&table, 4)).collect();
        World {
            table,
            service: Service::default(),
            ends: Ends::default(),
            agents,
            told: Rc::default(),
            voided: Rc::default(),
            asked: 0,
        }
    }

    fn agent(&self, agent: u8) -> Rc<Agent> {
        Rc::clone(&self.agents[usize::from(agent) % AGENTS])
    }

    fn call(&mut self, agent: u8, key: u8, content: u8, deadline_ms: u64) {
        self.asked += 1;
        let id = self.asked;
        let call = call(id, key, content, deadline_ms);
        let agent = self.agent(agent);
        let claims = agent.claims.clone();
        let ports = Ports {
            service: self.service.clone(),
            table: self.table.clone(),
            lives: self.ends.clone(),
        };
        let told = Rc::clone(&self.told);
        agent.spawn(async move {
            let result = claims.call(&ports, call).await;
            told.borrow_mut().push(Told {
                id,
                key,
                content,
                result,
            });
        });
    }

    fn void(&self, agent: u8, key: u8) {
        let void = Void {
            owner: OWNER.into(),
            service: SERVICE.into(),
            key: name(key),
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
                // Most calls of a key have the same content.
                let content = u8::from(content > 230);
                let deadline_ms = 20 + u64::from(deadline) * 8;
                self.call(agent, key % KEYS, content, deadline_ms);
            }
            Op::Void { agent, key } => self.void(agent, key % KEYS),
            Op::Crash { agent } => {
                let slot = usize::from(agent) % AGENTS;
                self.agents[slot].crash(&self.ends);
                self.agents[slot] = Agent::start(&self.table, 4);
            }
            Op::Pause { agent, paused } => self.agent(agent).pause(paused),
            Op::PauseAfterCommit { agent } => self.agent(agent).pause_after_commit(),
            Op::Table { down } => self.table.switches().set_down(down),
            Op::LoseAnswers { count } => self.table.switches().lose_answers(u32::from(count % 4)),
            Op::LoseWrites { count } => self.table.switches().lose_writes(u32::from(count % 4)),
            Op::Service {
                slow,
                loses,
                refuses,
                blind,
            } => self.service.mood.set(Mood {
                slow_ms: u64::from(slow) * 2,
                loses,
                refuses,
                blind,
            }),
            Op::Wait { ms } => sleep(Duration::from_millis(u64::from(ms) * 4)).await,
        }
    }

    async fn heal(&self) {
        self.agents.iter().for_each(|a| a.pause(false));
        let switches = self.table.switches();
        switches.set_down(false);
        switches.lose_answers(0);
        switches.lose_writes(0);
        self.service.mood.set(Mood::default());
        sleep(Duration::from_secs(60)).await;
    }

    fn check(&self) {
        for key in 0..KEYS {
            let records = self.records(key);
            assert!(records.len() <= 1, "key {key} ran {} times", records.len());
            if self.voided.borrow().contains(&key) {
                assert!(records.is_empty(), "key {key} ran though it was made void");
            }
        }
        for told in self.told.borrow().iter() {
            self.check_told(told);
        }
        for agent in &self.agents {
            assert_eq!(agent.keeper.behind(), 0, "results wait for a healthy table");
            assert_eq!(agent.gate.running(), 0);
        }
    }

    fn check_told(&self, told: &Told) {
        let records = self.records(told.key);
        let own = body(told.id, told.content);
        let ran = records.iter().any(|r| r.body == own);
        match &told.result {
            Ok(answer) => {
                assert_eq!(
                    records.len(),
                    1,
                    "answered call {} is not on record",
                    told.id
                );
                assert_eq!(
                    answer.body, records[0].body,
                    "call {} got a foreign answer",
                    told.id
                );
                assert!(answer.replayed || ran);
                assert_eq!(records[0].body[0], told.content, "key was reused");
            }
            Err(r) if r.ran() == Ran::No => {
                assert!(!ran, "call {} ran though it was told {r}", told.id);
            }
            Err(_) => {}
        }
    }

    fn records(&self, key: u8) -> Vec<world::Record> {
        self.service.records(&reference(SERVICE, OWNER, &name(key)))
    }
}

fn name(key: u8) -> String {
    format!("key-{key}")
}

fn body(id: u128, content: u8) -> Vec<u8> {
    let mut body = vec![content];
    body.extend(id.to_be_bytes());
    body
}

fn call(id: u128, key: u8, content: u8, deadline_ms: u64) -> Call {
    Call {
        request: RequestId(id),
        entry: "e".into(),
        owner: OWNER.into(),
        service: SERVICE.into(),
        key: Some(name(key)),
        fingerprint: Fingerprint::of(&[&[content]]),
        method: "POST".into(),
        path: "/book".into(),
        content_type: "text/plain".into(),
        body: body(id, content),
        deadline_ms,
    }
}

/// Runs a test in virtual time.
fn run(work: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, work);
}

#[test]
fn call_any_schedule() {
    check!()
        .with_generator(produce::<Vec<Op>>().with().len(5..60usize))
        .with_iterations(500)
        .for_each(|ops| {
            run(async {
                let mut world = World::new();
                for op in ops.iter().take(60) {
                    world.apply(op).await;
                }
                world.heal().await;
                world.check();
                // A key that is on record answers its own content from now on, through any agent.
                for key in 0..KEYS {
                    for agent in 0..AGENTS as u8 {
                        world.call(agent, key, 0, 5_000);
                    }
                }
                sleep(Duration::from_secs(30)).await;
                world.check();
                let told = world.told.borrow();
                let last = &told[told.len() - AGENTS * usize::from(KEYS)..];
                for t in last {
                    let records = world.records(t.key);
                    let own = records.first().is_some_and(|r| r.body[0] == t.content);
                    assert!(!own || t.result.is_ok(), "{:?}", t.result);
                }
            });
        });
}
