//! Calls of plain services against modelled agents that lose, refuse and stop.
#![allow(clippy::unwrap_used)]

use std::cell::{Cell, RefCell};
use std::time::Duration;

use bolero::{TypeGenerator, check};
use tokio::time::{Instant, sleep};

use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Incarnation, RequestId, Seq};
use mustard_entry::calls::{CallFailure, CallPorts, Server, run};
use mustard_net::CallError;
use mustard_proto::agent::{Call, CallAnswer, Void, VoidAnswer};
use mustard_proto::{Ran, Refusal};

const AGENTS: usize = 3;
const TIME: Duration = Duration::from_secs(2);

/// What happens to one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, TypeGenerator)]
enum Fault {
    None,
    NotSent,
    /// Nothing arrives, and the sender waits in vain.
    Lost,
    /// The agent acts and its answer is lost.
    AnswerLost,
    Cut,
    Leaving,
    Busy,
    TableDown,
    Stale,
    InDoubt,
    /// The service answers after the time that the agent has.
    Slow,
}

/// What the table has of the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Claim {
    Free,
    Doubt,
    Done,
    Voided,
}

struct Model {
    faults: RefCell<Vec<Fault>>,
    claim: Cell<Claim>,
    runs: Cell<u32>,
    allowed: bool,
}

impl Model {
    fn fault(&self) -> Fault {
        self.faults.borrow_mut().pop().unwrap_or(Fault::None)
    }

    /// Runs the service under the claim, as an agent does.
    fn act(&self, call: &Call) -> Result<CallAnswer, CallError> {
        let replayed = match (call.key.is_some(), self.claim.get()) {
            (true, Claim::Doubt) => return Err(CallError::Refused(Refusal::InDoubt)),
            (true, Claim::Voided) => return Err(CallError::Refused(Refusal::Voided)),
            (true, Claim::Done) => true,
            _ => false,
        };
        if !replayed {
            self.runs.set(self.runs.get() + 1);
            self.claim.set(Claim::Done);
        }
        Ok(answer(replayed))
    }
}

fn answer(replayed: bool) -> CallAnswer {
    CallAnswer {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: b"booked".to_vec(),
        replayed,
    }
}

impl CallPorts for Model {
    fn choose(&self, _: &str, avoid: &[String]) -> Result<Server, Duration> {
        let name = (0..AGENTS).map(|i| i.to_string());
        let free = name.into_iter().find(|n| !avoid.contains(n));
        Ok(Server {
            name: free.ok_or(Duration::from_millis(500))?,
            addr: "127.0.0.1:1".parse().unwrap(),
            incarnation: Incarnation(1),
            chosen: None,
        })
    }

    async fn call(&self, _: &Server, call: Call, limit: Duration) -> Result<CallAnswer, CallError> {
        let refused = |refusal| Err(CallError::Refused(refusal));
        let late = || Err(CallError::TimedOut(limit.as_millis() as u64));
        match self.fault() {
            Fault::None => self.act(&call),
            Fault::NotSent => Err(CallError::NotSent("refused".to_owned())),
            Fault::Lost => {
                sleep(limit).await;
                late()
            }
            Fault::AnswerLost => {
                let _ = self.act(&call);
                sleep(limit).await;
                late()
            }
            Fault::Cut => {
                let _ = self.act(&call);
                Err(CallError::Lost("cut".to_owned()))
            }
            Fault::Leaving => refused(Refusal::Leaving),
            Fault::Busy => refused(Refusal::Busy { retry_ms: 20 }),
            Fault::TableDown => refused(Refusal::PlatformDown {
                service: "table".to_owned(),
                retry_ms: 300,
            }),
            Fault::Stale => refused(Refusal::StaleCatalogue { have: Seq(3) }),
            Fault::InDoubt if call.key.is_some() && self.claim.get() == Claim::Free => {
                self.claim.set(Claim::Doubt);
                refused(Refusal::InDoubt)
            }
            Fault::InDoubt => self.act(&call),
            Fault::Slow => {
                let _ = self.act(&call);
                refused(Refusal::ServerFailed {
                    ran: Ran::Maybe,
                    detail: "no answer in time".to_owned(),
                    suspects: Vec::new(),
                })
            }
        }
    }

    async fn void(&self, _: &Server, _: Void, limit: Duration) -> Result<VoidAnswer, CallError> {
        if matches!(self.fault(), Fault::Lost | Fault::AnswerLost) {
            sleep(limit).await;
            return Err(CallError::TimedOut(1));
        }
        Ok(match self.claim.get() {
            Claim::Free => {
                self.claim.set(Claim::Voided);
                VoidAnswer::Voided
            }
            Claim::Voided => VoidAnswer::Voided,
            Claim::Doubt => VoidAnswer::InDoubt,
            Claim::Done => VoidAnswer::Ran(answer(true)),
        })
    }

    fn report(&self, _: &Server, _: Duration, _: Option<&CallError>) {}

    fn is_allowed(&self) -> bool {
        self.allowed
    }

    async fn catch_up(&self, _: Seq, _: Duration) -> bool {
        true
    }
}

fn call(key: Option<&str>) -> Call {
    Call {
        request: RequestId(1),
        entry: "placements".to_owned(),
        owner: "coop".to_owned(),
        service: "placements".to_owned(),
        key: key.map(str::to_owned),
        fingerprint: Fingerprint(1),
        method: "POST".to_owned(),
        path: "/book".to_owned(),
        content_type: String::new(),
        body: Vec::new(),
        deadline_ms: 0,
    }
}

fn drive(model: &Model, key: Option<&str>) -> (Result<CallAnswer, CallFailure>, Duration) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let started = Instant::now();
        let result = run(model, call(key), started + TIME).await;
        (result, started.elapsed())
    })
}

/// A call with a key runs at most once, an answer is the service's own, "not run" is true, and
/// the caller has its answer by the deadline.
#[test]
fn run_key_faults() {
    check!()
        .with_type::<(Vec<Fault>, bool)>()
        .with_iterations(3_000)
        .for_each(|(faults, allowed)| {
            let model = Model {
                faults: RefCell::new(faults.clone()),
                claim: Cell::new(Claim::Free),
                runs: Cell::new(0),
                allowed: *allowed,
            };
            let (result, took) = drive(&model, Some("k"));
            let runs = model.runs.get();
            assert!(runs <= 1, "the service ran twice");
            assert!(took <= TIME + Duration::from_millis(5), "answer came late");
            match result {
                Ok(answer) => assert!(runs == 1 && answer.body == b"booked"),
                Err(CallFailure::Unknown { .. }) => {}
                Err(other) => assert_eq!(runs, 0, "{other} is false"),
            }
        });
}

/// A call without a key is repeated until an agent answers it.
#[test]
fn run_repeatable_lost() {
    let model = Model {
        faults: RefCell::new(vec![Fault::None, Fault::Cut, Fault::NotSent]),
        claim: Cell::new(Claim::Free),
        runs: Cell::new(0),
        allowed: true,
    };
    assert_eq!(drive(&model, None).0.unwrap().status, 201);
}
