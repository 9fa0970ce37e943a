//! The agent as a process: its answers to valid and invalid messages and to failures around it.
#![allow(clippy::unwrap_used)]

mod wire;

use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Epoch, Fence, Incarnation, Layers, RequestId};
use mustard_fakes::engine::Ledger;
use mustard_fakes::fault::FaultCommand;
use mustard_fakes::reference;
use mustard_proto::agent::{AgentState, Call, Heartbeat, LoadLayers, Role, SetDraining};
use mustard_proto::step::{Cancel, Step};
use mustard_proto::{Execution, Message, MessageHeader, Refusal};
use mustard_tests::cluster::{read_ledger, send_fault_command};
use mustard_tests::http::HttpRequest;
use mustard_tests::node::NodeRef;
use mustard_tests::plan::{MODEL, SERVICE};
use mustard_tests::{Cluster, Plan, wait_for};

use wire::{
    StepClient, encode, fetch_info, open_request, read_reply, send, send_body, send_with_seq,
};

const PROMPT: [u32; 3] = [5, 6, 7];

fn stage_plan() -> Plan {
    Plan::new().entries(0).services(0).empty_catalogue()
}

fn engine_ledger(cluster: &Cluster, stage: usize) -> Ledger {
    cluster.engine_ledger(stage).unwrap()
}

fn cancel_message(client: &StepClient) -> Cancel {
    let (request, epoch) = (client.request, Epoch(1));
    Cancel { request, epoch }
}

fn call_message(key: Option<&str>) -> Call {
    Call {
        request: RequestId(1),
        entry: SERVICE.into(),
        owner: "o".into(),
        service: SERVICE.into(),
        key: key.map(Into::into),
        fingerprint: Fingerprint(1),
        method: "POST".into(),
        path: "/pages/1".into(),
        content_type: "text/plain".into(),
        body: b"Moon".to_vec(),
        deadline_ms: 20_000,
    }
}

fn check_refused_bodies<M: Message + Clone>(to: std::net::SocketAddr, message: &M) {
    let valid = encode(MessageHeader::default(), message.clone());
    let refused = |body: &[u8]| send_body::<M>(to, body).map(|_| ()).unwrap_err();
    for len in [0, 1, valid.len() / 2, valid.len() - 1] {
        let refusal = refused(&valid[..len]);
        assert!(matches!(refusal, Refusal::Malformed { .. }), "{refusal:?}");
    }
    let mut newer = valid.clone();
    newer[1] = 9;
    assert!(matches!(refused(&newer), Refusal::Version { got: 9, .. }));
    let foreign = MessageHeader {
        to: Incarnation(3),
        ..MessageHeader::default()
    };
    let foreign = refused(&encode(foreign, message.clone()));
    assert!(matches!(foreign, Refusal::WrongIncarnation { .. }));
    let large = refused(&vec![0; 5 << 20]);
    assert!(matches!(large, Refusal::TooLarge { .. }), "{large:?}");
}

#[test]
fn receive_bad_messages() {
    let cluster = Cluster::start(&stage_plan().services(1)).unwrap();
    let client = StepClient::new(&cluster, 1);
    let (stage, service) = (client.to, cluster.services[0].agent.addr());
    check_refused_bodies(stage, &client.step(0, &PROMPT));
    check_refused_bodies(stage, &cancel_message(&client));
    check_refused_bodies(stage, &SetDraining { leave: true });
    check_refused_bodies(service, &call_message(None));
    // A chain that skips a stage or asks for another model than the engine holds is refused.
    let mut skips = client.step(0, &PROMPT);
    skips.params.as_mut().unwrap().chain.remove(1);
    assert!(matches!(send(stage, skips), Err(Refusal::Malformed { .. })));
    let mut other = client.step(0, &PROMPT);
    other.params.as_mut().unwrap().model = "other".into();
    assert!(matches!(send(stage, other), Err(Refusal::NotHeld { .. })));
    // Work from a sender with an older catalogue than the newest one seen here is refused.
    for agent in [stage, service] {
        let from = "test".to_owned();
        send_with_seq(agent, 10, Heartbeat { from }).unwrap();
    }
    let stale = send_with_seq(stage, 9, client.step(0, &PROMPT)).unwrap_err();
    assert!(matches!(stale, Refusal::StaleCatalogue { .. }));
    let stale = send_with_seq(service, 9, call_message(Some("k"))).unwrap_err();
    assert!(matches!(stale, Refusal::StaleCatalogue { .. }));
    assert_eq!(fetch_info(stage).state, AgentState::Ready);
    assert_eq!(fetch_info(stage).load.running, 0);
    assert_eq!(engine_ledger(&cluster, 0).steps, 0);
    assert!(cluster.bookings().unwrap().is_empty());
}

/// A refusal by the next stage leaves the attempt open: the repeated step is resent from the kept
/// output, and no engine runs it twice.
#[test]
fn step_refused_by_next_stage_goes_on() {
    let cluster = Cluster::start(&stage_plan()).unwrap();
    let client = StepClient::new(&cluster, 1);
    let from = "test".to_owned();
    send_with_seq(cluster.stages[1].agent.addr(), 10, Heartbeat { from }).unwrap();
    let refused = client.send(0, &PROMPT).unwrap_err();
    let Refusal::NextFailed { stage: 1, cause } = refused else {
        panic!("{refused:?}");
    };
    assert!(matches!(*cause, Refusal::StaleCatalogue { .. }));
    let expected_tokens = reference::expected_tokens(cluster.layers(), &PROMPT, 2);
    let first = send_with_seq(client.to, 10, client.step(0, &PROMPT)).unwrap();
    assert_eq!((first.token, first.pos), (expected_tokens[0], 3));
    let again = send_with_seq(client.to, 10, client.step(0, &PROMPT)).unwrap();
    assert_eq!(again.token, expected_tokens[0]);
    let second = client.send(3, &expected_tokens[..1]).unwrap();
    assert_eq!(second.token, expected_tokens[1]);
    for stage in 0..3 {
        assert_eq!(engine_ledger(&cluster, stage).steps, 2);
        assert_eq!(engine_ledger(&cluster, stage).refused, 0);
    }
}

/// When the engine dies, every step that was running on it names all requests that ran there.
#[test]
fn step_engine_death_names_suspects() {
    let mut cluster =
        Cluster::start(&stage_plan().engine_flags(&["--step-us", "20000000"])).unwrap();
    let streams: Vec<_> = (1..3)
        .map(|request| {
            let client = StepClient::new(&cluster, request);
            let body = encode(MessageHeader::default(), client.step(0, &PROMPT));
            open_request(client.to, Step::PATH, &body)
        })
        .collect();
    let agent = cluster.stages[0].agent.addr();
    wait_for("two steps", || {
        (fetch_info(agent).load.running == 2).then_some(())
    })
    .unwrap();
    cluster.stages[0].server.kill().unwrap();
    for stream in streams {
        let refused = read_reply::<Step>(stream).unwrap_err();
        let Refusal::ServerFailed {
            ran, mut suspects, ..
        } = refused
        else {
            panic!("{refused:?}");
        };
        suspects.sort_unstable();
        assert_eq!(ran, Execution::Maybe);
        assert_eq!(suspects, [Fingerprint(1), Fingerprint(2)]);
    }
    wait_for("the state Ailing", || {
        (fetch_info(agent).state == AgentState::Ailing).then_some(())
    })
    .unwrap();
}

/// A sender that disconnects during a step ends the attempt and cancels its sequence.
#[test]
fn step_sender_gone_cancels_sequence() {
    let cluster = Cluster::start(&stage_plan().engine_flags(&["--step-us", "300000"])).unwrap();
    let client = StepClient::new(&cluster, 1);
    let body = encode(MessageHeader::default(), client.step(0, &PROMPT));
    let stream = open_request(client.to, Step::PATH, &body);
    wait_for("a running step", || {
        (fetch_info(client.to).load.running == 1).then_some(())
    })
    .unwrap();
    drop(stream);
    wait_for("the end of the session", || {
        (fetch_info(client.to).load.running == 0).then_some(())
    })
    .unwrap();
    let late = client.send(0, &PROMPT).unwrap_err();
    assert!(matches!(late, Refusal::StaleEpoch { .. }));
    wait_for("the cancelled sequence", || {
        (engine_ledger(&cluster, 0).open == 0).then_some(())
    })
    .unwrap();
}

/// A step that is cancelled while the engine runs it must not be reported as not run.
#[test]
fn step_cancelled_while_it_runs_may_have_run() {
    let cluster = Cluster::start(&stage_plan().engine_flags(&["--step-us", "300000"])).unwrap();
    let client = StepClient::new(&cluster, 1);
    let late = Step {
        limit_ms: 0,
        ..client.step(0, &PROMPT)
    };
    assert_eq!(send(client.to, late).unwrap_err(), Refusal::Expired);
    let body = encode(MessageHeader::default(), client.step(0, &PROMPT));
    let stream = open_request(client.to, Step::PATH, &body);
    wait_for("a running step", || {
        (fetch_info(client.to).load.running == 1).then_some(())
    })
    .unwrap();
    send(client.to, cancel_message(&client)).unwrap();
    assert_eq!(
        read_reply::<Step>(stream).unwrap_err().execution(),
        Execution::Maybe
    );
    assert_eq!(fetch_info(client.to).load.running, 0);
}

/// A leaving agent refuses new sessions, continues the open ones and exits after the last.
#[test]
fn drain_keeps_open_sessions() {
    let mut cluster = Cluster::start(&stage_plan()).unwrap();
    let client = StepClient::new(&cluster, 1);
    let expected_tokens = reference::expected_tokens(cluster.layers(), &PROMPT, 3);
    client.send(0, &PROMPT).unwrap();
    assert_eq!(
        send(client.to, SetDraining { leave: true }).unwrap().state,
        AgentState::Leaving
    );
    let other_client = StepClient::new(&cluster, 2);
    assert_eq!(other_client.send(0, &PROMPT).unwrap_err(), Refusal::Leaving);
    assert_eq!(
        client.send(3, &expected_tokens[..1]).unwrap().token,
        expected_tokens[1]
    );
    assert_eq!(
        send(client.to, SetDraining { leave: false }).unwrap().state,
        AgentState::Ready
    );
    cluster.stages[0].agent.terminate().unwrap();
    wait_for("the refusal", || {
        (fetch_info(client.to).state == AgentState::Leaving).then_some(())
    })
    .unwrap();
    assert_eq!(other_client.send(0, &PROMPT).unwrap_err(), Refusal::Leaving);
    assert_eq!(
        client.send(4, &expected_tokens[1..2]).unwrap().token,
        expected_tokens[2]
    );
    assert!(cluster.stages[0].agent.is_running());
    send(client.to, cancel_message(&client)).unwrap();
    assert_eq!(cluster.stages[0].agent.wait().unwrap(), Some(0));
}

/// An order waits for the open session, and a restarted agent still refuses a lower fencing
/// token although its engine does not check the tokens.
#[test]
fn order_fenced_after_restart() {
    let mut cluster = Cluster::start(&stage_plan().engine_flags(&["--fencing", "off"])).unwrap();
    let client = StepClient::new(&cluster, 1);
    client.send(0, &PROMPT).unwrap();
    let order = |fence, layers| LoadLayers {
        fence: Fence(fence),
        model: MODEL.into(),
        version: "2".into(),
        layers,
    };
    let wide = order(7, Layers::new(0, 6));
    let stream = open_request(
        client.to,
        LoadLayers::PATH,
        &encode(MessageHeader::default(), wide),
    );
    wait_for("the wait for the session", || {
        (fetch_info(client.to).state == AgentState::Leaving).then_some(())
    })
    .unwrap();
    let other_client = StepClient::new(&cluster, 2);
    assert_eq!(other_client.send(0, &PROMPT).unwrap_err(), Refusal::Leaving);
    send(client.to, cancel_message(&client)).unwrap();
    let changed = read_reply::<LoadLayers>(stream).unwrap();
    assert!(matches!(changed.role, Role::Stage { layers, .. } if layers == Layers::new(0, 6)));
    cluster.restart_agent(NodeRef::Stage(0)).unwrap();
    let old = send(client.to, order(6, Layers::new(0, 4))).unwrap_err();
    let highest = Fence(7);
    assert_eq!(old, Refusal::Fenced { highest });
    assert_eq!(fetch_info(client.to).role, changed.role);
}

/// An agent that starts while the table is down can't know the highest fencing token, so it
/// refuses orders until the table answers.
#[test]
fn order_refused_while_fence_unknown() {
    let mut cluster = Cluster::start(&stage_plan()).unwrap();
    let down_command = |down| FaultCommand {
        part: Some("table".into()),
        down: Some(down),
        ..FaultCommand::default()
    };
    send_fault_command(&cluster.platform, &down_command(true)).unwrap();
    cluster.restart_agent(NodeRef::Stage(0)).unwrap();
    let agent = cluster.stages[0].agent.addr();
    let order = LoadLayers {
        fence: Fence(1),
        model: MODEL.into(),
        version: "2".into(),
        layers: Layers::new(0, 6),
    };
    let refused = send(agent, order.clone()).unwrap_err();
    assert!(matches!(refused, Refusal::PlatformDown { .. }));
    send_fault_command(&cluster.platform, &down_command(false)).unwrap();
    wait_for("the order", || send(agent, order.clone()).ok()).unwrap();
}

/// The table goes down while a call with a key runs. The caller gets its answer, and the agent
/// exits only after the table is back and holds the result.
#[test]
fn stop_waits_for_result_to_be_written() {
    let plan = stage_plan()
        .layer_ranges(&[])
        .services(1)
        .service_flags(&["--call-ms", "400"]);
    let mut cluster = Cluster::start(&plan).unwrap();
    let agent = cluster.services[0].agent.addr();
    let body = encode(MessageHeader::default(), call_message(Some("k")));
    let stream = open_request(agent, Call::PATH, &body);
    let row = mustard_agent::claims::row_key(SERVICE, "o", "k");
    let read_row = || {
        let keys = serde_json::json!({ "keys": [row] }).to_string();
        let answer = HttpRequest::post(cluster.platform.addr(), "/table/read", keys).send();
        let rows: Vec<mustard_platform::table::Row> = answer.ok()?.json().ok()?;
        rows.into_iter().next()
    };
    wait_for("the claim", || read_row().filter(|r| r.version > 0)).unwrap();
    let down_command = |down| FaultCommand {
        part: Some("table".into()),
        down: Some(down),
        ..FaultCommand::default()
    };
    send_fault_command(&cluster.platform, &down_command(true)).unwrap();
    let answer = read_reply::<Call>(stream).unwrap();
    assert_eq!((answer.status, answer.replayed), (201, false));
    let other = send(agent, call_message(Some("k2"))).unwrap_err();
    assert!(matches!(other, Refusal::PlatformDown { .. }), "{other:?}");
    assert!(send(agent, call_message(Some("k"))).unwrap().replayed);
    cluster.services[0].agent.terminate().unwrap();
    wait_for("the refusal", || {
        (send(agent, call_message(Some("k3"))) == Err(Refusal::Leaving)).then_some(())
    })
    .unwrap();
    assert!(cluster.services[0].agent.is_running());
    send_fault_command(&cluster.platform, &down_command(false)).unwrap();
    assert_eq!(cluster.services[0].agent.wait().unwrap(), Some(0));
    assert!(read_row().unwrap().value.contains("\"state\":\"done\""));
    let booked: Vec<mustard_fakes::service::Booking> =
        read_ledger(cluster.services[0].server.addr()).unwrap();
    assert_eq!(booked.len(), 1);
}
