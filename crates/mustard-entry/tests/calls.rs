//! Calls to plain services against a model of agents that lose messages, refuse or stop.
#![allow(clippy::unwrap_used)]

use std::cell::{Cell, RefCell};
use std::time::Duration;

use bolero::{TypeGenerator, check};
use tokio::time::{Instant, sleep};

use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Incarnation, RequestId, Seq};
use mustard_entry::calls::{CallFailure, CallPorts, ServiceAgent, run_call};
use mustard_net::CallError;
use mustard_proto::agent::{Call, CallAnswer, VoidAnswer, VoidKey};
use mustard_proto::{Execution, Refusal};

const AGENTS: usize = 3;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The fault injected into one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, TypeGenerator)]
enum Fault {
    None,
    NotSent,
    /// The message does not arrive, and the sender waits until its timeout.
    Lost,
    /// The agent handles the message, and its answer is lost.
    AnswerLost,
    /// The agent handles the message, and the connection breaks before its answer.
    ConnectionLost,
    Leaving,
    Busy,
    TableDown,
    StaleCatalogue,
    InDoubt,
    /// The service runs the call and answers after the agent's timeout.
    ServiceTimeout,
}

/// The state of the key's claim in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClaimState {
    Free,
    InDoubt,
    Done,
    Voided,
}

/// Agents that share one claim; faults are taken from the end of the list.
struct AgentModel {
    faults: RefCell<Vec<Fault>>,
    claim: Cell<ClaimState>,
    runs: Cell<u32>,
    allowed: bool,
}

impl AgentModel {
    fn next_fault(&self) -> Fault {
        self.faults.borrow_mut().pop().unwrap_or(Fault::None)
    }

    /// Runs the service under the key's claim, as an agent does.
    fn run_under_claim(&self, call: &Call) -> Result<CallAnswer, CallError> {
        let replayed = match (call.key.is_some(), self.claim.get()) {
            (true, ClaimState::InDoubt) => return Err(CallError::Refused(Refusal::InDoubt)),
            (true, ClaimState::Voided) => return Err(CallError::Refused(Refusal::Voided)),
            (true, ClaimState::Done) => true,
            _ => false,
        };
        if !replayed {
            self.runs.set(self.runs.get() + 1);
            self.claim.set(ClaimState::Done);
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

impl CallPorts for AgentModel {
    fn choose_agent(&self, _: &str, avoid: &[String]) -> Result<ServiceAgent, Duration> {
        let name = (0..AGENTS).map(|i| i.to_string());
        let free = name.into_iter().find(|n| !avoid.contains(n));
        Ok(ServiceAgent {
            name: free.ok_or(Duration::from_millis(500))?,
            addr: "127.0.0.1:1".parse().unwrap(),
            incarnation: Incarnation(1),
            in_flight: None,
        })
    }

    async fn send_call(
        &self,
        _: &ServiceAgent,
        call: Call,
        limit: Duration,
    ) -> Result<CallAnswer, CallError> {
        let refused = |refusal| Err(CallError::Refused(refusal));
        let late = || Err(CallError::TimedOut(limit.as_millis() as u64));
        match self.next_fault() {
            Fault::None => self.run_under_claim(&call),
            Fault::NotSent => Err(CallError::NotSent("refused".to_owned())),
            Fault::Lost => {
                sleep(limit).await;
                late()
            }
            Fault::AnswerLost => {
                let _ = self.run_under_claim(&call);
                sleep(limit).await;
                late()
            }
            Fault::ConnectionLost => {
                let _ = self.run_under_claim(&call);
                Err(CallError::Lost("cut".to_owned()))
            }
            Fault::Leaving => refused(Refusal::Leaving),
            Fault::Busy => refused(Refusal::Busy { retry_ms: 20 }),
            Fault::TableDown => refused(Refusal::PlatformDown {
                service: "table".to_owned(),
                retry_ms: 300,
            }),
            Fault::StaleCatalogue => refused(Refusal::StaleCatalogue { have: Seq(3) }),
            Fault::InDoubt if call.key.is_some() && self.claim.get() == ClaimState::Free => {
                self.claim.set(ClaimState::InDoubt);
                refused(Refusal::InDoubt)
            }
            Fault::InDoubt => self.run_under_claim(&call),
            Fault::ServiceTimeout => {
                let _ = self.run_under_claim(&call);
                refused(Refusal::ServerFailed {
                    ran: Execution::Maybe,
                    detail: "no answer in time".to_owned(),
                    suspects: Vec::new(),
                })
            }
        }
    }

    async fn send_void(
        &self,
        _: &ServiceAgent,
        _: VoidKey,
        limit: Duration,
    ) -> Result<VoidAnswer, CallError> {
        if matches!(self.next_fault(), Fault::Lost | Fault::AnswerLost) {
            sleep(limit).await;
            return Err(CallError::TimedOut(1));
        }
        Ok(match self.claim.get() {
            ClaimState::Free => {
                self.claim.set(ClaimState::Voided);
                VoidAnswer::Voided
            }
            ClaimState::Voided => VoidAnswer::Voided,
            ClaimState::InDoubt => VoidAnswer::InDoubt,
            ClaimState::Done => VoidAnswer::Ran(answer(true)),
        })
    }

    fn record_exchange(&self, _: &ServiceAgent, _: Duration, _: Option<&CallError>) {}

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

fn run_with_model(
    model: &AgentModel,
    key: Option<&str>,
) -> (Result<CallAnswer, CallFailure>, Duration) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let started = Instant::now();
        let result = run_call(model, call(key), started + CALL_TIMEOUT).await;
        (result, started.elapsed())
    })
}

/// A call with a key runs at most once, a returned answer is the service's own, a call reported as
/// not run did not run, and the result comes by the deadline.
#[test]
fn run_call_key_faults() {
    check!()
        .with_type::<(Vec<Fault>, bool)>()
        .with_iterations(3_000)
        .for_each(|(faults, allowed)| {
            let model = AgentModel {
                faults: RefCell::new(faults.clone()),
                claim: Cell::new(ClaimState::Free),
                runs: Cell::new(0),
                allowed: *allowed,
            };
            let (result, took) = run_with_model(&model, Some("k"));
            let runs = model.runs.get();
            assert!(runs <= 1, "the service ran twice");
            assert!(
                took <= CALL_TIMEOUT + Duration::from_millis(5),
                "answer came late"
            );
            match result {
                Ok(answer) => assert!(runs == 1 && answer.body == b"booked"),
                Err(CallFailure::Unknown { .. }) => {}
                Err(other) => assert_eq!(runs, 0, "{other} is false"),
            }
        });
}

/// A call without a key is repeated until an agent answers it.
#[test]
fn run_call_repeatable_lost() {
    let model = AgentModel {
        faults: RefCell::new(vec![Fault::None, Fault::ConnectionLost, Fault::NotSent]),
        claim: Cell::new(ClaimState::Free),
        runs: Cell::new(0),
        allowed: true,
    };
    assert_eq!(run_with_model(&model, None).0.unwrap().status, 201);
}
