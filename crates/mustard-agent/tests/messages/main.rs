//! The agent as a process: its answers to messages, good and bad, and to failures around it.
#![allow(clippy::unwrap_used)]

mod wire;

use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Epoch, Fence, Incarnation, Layers, RequestId};
use mustard_fakes::engine::Ledger;
use mustard_fakes::fault::Command;
use mustard_fakes::reference;
use mustard_proto::agent::{AgentState, Call, Drain, Heartbeat, Order, Role};
use mustard_proto::step::{Cancel, Step};
use mustard_proto::{Head, Message, Ran, Refusal};
use mustard_tests::cluster::{command, ledger};
use mustard_tests::http::Ask;
use mustard_tests::node::Pick;
use mustard_tests::plan::{MODEL, SERVICE};
use mustard_tests::{Cluster, Plan, eventually};

use wire::{Draft, encode, info, open, raw, read, send, send_at};

const PROMPT: [u32; 3] = [5, 6, 7];

fn stages() -> Plan {
    Plan::new().entries(0).services(0).unseeded()
}

fn engine(cluster: &Cluster, stage: usize) -> Ledger {
    cluster.engine_ledger(stage).unwrap()
}

fn cancel(draft: &Draft) -> Cancel {
    let (request, epoch) = (draft.request, Epoch(1));
    Cancel { request, epoch }
}

fn call(key: Option<&str>) -> Call {
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

fn check_bad_bodies<M: Message + Clone>(to: std::net::SocketAddr, message: &M) {
    let good = encode(Head::default(), message.clone());
    let refused = |body: &[u8]| raw::<M>(to, body).map(|_| ()).unwrap_err();
    for len in [0, 1, good.len() / 2, good.len() - 1] {
        let refusal = refused(&good[..len]);
        assert!(matches!(refusal, Refusal::Malformed { .. }), "{refusal:?}");
    }
    let mut newer = good.clone();
    newer[1] = 9;
    assert!(matches!(refused(&newer), Refusal::Version { got: 9, .. }));
    let foreign = Head {
        to: Incarnation(3),
        ..Head::default()
    };
    let foreign = refused(&encode(foreign, message.clone()));
    assert!(matches!(foreign, Refusal::WrongIncarnation { .. }));
    let large = refused(&vec![0; 5 << 20]);
    assert!(matches!(large, Refusal::TooLarge { .. }), "{large:?}");
}

#[test]
fn receive_bad_messages() {
    let cluster = Cluster::start(&stages().services(1)).unwrap();
    let draft = Draft::new(&cluster, 1);
    let (stage, service) = (draft.to, cluster.services[0].agent.addr());
    check_bad_bodies(stage, &draft.step(0, &PROMPT));
    check_bad_bodies(stage, &cancel(&draft));
    check_bad_bodies(stage, &Drain { leave: true });
    check_bad_bodies(service, &call(None));
    // A chain that skips a stage or names layers that are not held is refused.
    let mut skips = draft.step(0, &PROMPT);
    skips.opening.as_mut().unwrap().chain.remove(1);
    assert!(matches!(send(stage, skips), Err(Refusal::Malformed { .. })));
    let mut other = draft.step(0, &PROMPT);
    other.opening.as_mut().unwrap().model = "other".into();
    assert!(matches!(send(stage, other), Err(Refusal::NotHeld { .. })));
    // A work message under an older catalogue than one seen here is refused.
    for agent in [stage, service] {
        let from = "test".to_owned();
        send_at(agent, 10, Heartbeat { from }).unwrap();
    }
    let stale = send_at(stage, 9, draft.step(0, &PROMPT)).unwrap_err();
    assert!(matches!(stale, Refusal::StaleCatalogue { .. }));
    let stale = send_at(service, 9, call(Some("k"))).unwrap_err();
    assert!(matches!(stale, Refusal::StaleCatalogue { .. }));
    assert_eq!(info(stage).state, AgentState::Ready);
    assert_eq!(info(stage).load.running, 0);
    assert_eq!(engine(&cluster, 0).steps, 0);
    assert!(cluster.bookings().unwrap().is_empty());
}

#[test]
fn step_refused_by_next_stage_goes_on() {
    let cluster = Cluster::start(&stages()).unwrap();
    let draft = Draft::new(&cluster, 1);
    let from = "test".to_owned();
    send_at(cluster.stages[1].agent.addr(), 10, Heartbeat { from }).unwrap();
    let refused = draft.send(0, &PROMPT).unwrap_err();
    let Refusal::NextFailed { stage: 1, cause } = refused else {
        panic!("{refused:?}");
    };
    assert!(matches!(*cause, Refusal::StaleCatalogue { .. }));
    let wanted = reference::generate(cluster.layers(), &PROMPT, 2);
    let first = send_at(draft.to, 10, draft.step(0, &PROMPT)).unwrap();
    assert_eq!((first.token, first.pos), (wanted[0], 3));
    let again = send_at(draft.to, 10, draft.step(0, &PROMPT)).unwrap();
    assert_eq!(again.token, wanted[0]);
    let second = draft.send(3, &wanted[..1]).unwrap();
    assert_eq!(second.token, wanted[1]);
    for stage in 0..3 {
        assert_eq!(engine(&cluster, stage).steps, 2);
        assert_eq!(engine(&cluster, stage).refused, 0);
    }
}

#[test]
fn step_engine_death_names_suspects() {
    let mut cluster = Cluster::start(&stages().engine(&["--step-us", "20000000"])).unwrap();
    let running: Vec<_> = (1..3)
        .map(|request| {
            let draft = Draft::new(&cluster, request);
            let body = encode(Head::default(), draft.step(0, &PROMPT));
            open(draft.to, Step::PATH, &body)
        })
        .collect();
    let agent = cluster.stages[0].agent.addr();
    eventually("two steps", || {
        (info(agent).load.running == 2).then_some(())
    })
    .unwrap();
    cluster.stages[0].server.kill().unwrap();
    for stream in running {
        let refused = read::<Step>(stream).unwrap_err();
        let Refusal::ServerFailed {
            ran, mut suspects, ..
        } = refused
        else {
            panic!("{refused:?}");
        };
        suspects.sort_unstable();
        assert_eq!(ran, Ran::Maybe);
        assert_eq!(suspects, [Fingerprint(1), Fingerprint(2)]);
    }
    eventually("the notice", || {
        (info(agent).state == AgentState::Ailing).then_some(())
    })
    .unwrap();
}

#[test]
fn step_caller_gone_cancels_engine() {
    let cluster = Cluster::start(&stages().engine(&["--step-us", "300000"])).unwrap();
    let draft = Draft::new(&cluster, 1);
    let body = encode(Head::default(), draft.step(0, &PROMPT));
    let stream = open(draft.to, Step::PATH, &body);
    eventually("a running step", || {
        (info(draft.to).load.running == 1).then_some(())
    })
    .unwrap();
    drop(stream);
    eventually("the end of the session", || {
        (info(draft.to).load.running == 0).then_some(())
    })
    .unwrap();
    let late = draft.send(0, &PROMPT).unwrap_err();
    assert!(matches!(late, Refusal::StaleEpoch { .. }));
    eventually("the cancelled sequence", || {
        (engine(&cluster, 0).open == 0).then_some(())
    })
    .unwrap();
}

#[test]
fn step_cancelled_while_it_runs_may_have_run() {
    let cluster = Cluster::start(&stages().engine(&["--step-us", "300000"])).unwrap();
    let draft = Draft::new(&cluster, 1);
    let late = Step {
        limit_ms: 0,
        ..draft.step(0, &PROMPT)
    };
    assert_eq!(send(draft.to, late).unwrap_err(), Refusal::Expired);
    let body = encode(Head::default(), draft.step(0, &PROMPT));
    let stream = open(draft.to, Step::PATH, &body);
    eventually("a running step", || {
        (info(draft.to).load.running == 1).then_some(())
    })
    .unwrap();
    send(draft.to, cancel(&draft)).unwrap();
    assert_eq!(read::<Step>(stream).unwrap_err().ran(), Ran::Maybe);
    assert_eq!(info(draft.to).load.running, 0);
}

#[test]
fn drain_keeps_open_sessions() {
    let mut cluster = Cluster::start(&stages()).unwrap();
    let draft = Draft::new(&cluster, 1);
    let wanted = reference::generate(cluster.layers(), &PROMPT, 3);
    draft.send(0, &PROMPT).unwrap();
    assert_eq!(
        send(draft.to, Drain { leave: true }).unwrap().state,
        AgentState::Leaving
    );
    let other = Draft::new(&cluster, 2);
    assert_eq!(other.send(0, &PROMPT).unwrap_err(), Refusal::Leaving);
    assert_eq!(draft.send(3, &wanted[..1]).unwrap().token, wanted[1]);
    assert_eq!(
        send(draft.to, Drain { leave: false }).unwrap().state,
        AgentState::Ready
    );
    cluster.stages[0].agent.terminate().unwrap();
    eventually("the refusal", || {
        (info(draft.to).state == AgentState::Leaving).then_some(())
    })
    .unwrap();
    assert_eq!(other.send(0, &PROMPT).unwrap_err(), Refusal::Leaving);
    assert_eq!(draft.send(4, &wanted[1..2]).unwrap().token, wanted[2]);
    assert!(cluster.stages[0].agent.is_running());
    send(draft.to, cancel(&draft)).unwrap();
    assert_eq!(cluster.stages[0].agent.wait().unwrap(), Some(0));
}

#[test]
fn order_fenced_over_restart() {
    let mut cluster = Cluster::start(&stages().engine(&["--fencing", "off"])).unwrap();
    let draft = Draft::new(&cluster, 1);
    draft.send(0, &PROMPT).unwrap();
    let order = |fence, layers| Order {
        fence: Fence(fence),
        model: MODEL.into(),
        version: "2".into(),
        layers,
    };
    let wide = order(7, Layers::new(0, 6));
    let stream = open(draft.to, Order::PATH, &encode(Head::default(), wide));
    eventually("the wait for the session", || {
        (info(draft.to).state == AgentState::Leaving).then_some(())
    })
    .unwrap();
    let other = Draft::new(&cluster, 2);
    assert_eq!(other.send(0, &PROMPT).unwrap_err(), Refusal::Leaving);
    send(draft.to, cancel(&draft)).unwrap();
    let changed = read::<Order>(stream).unwrap();
    assert!(matches!(changed.role, Role::Stage { layers, .. } if layers == Layers::new(0, 6)));
    cluster.restart_agent(Pick::Stage(0)).unwrap();
    let old = send(draft.to, order(6, Layers::new(0, 4))).unwrap_err();
    let highest = Fence(7);
    assert_eq!(old, Refusal::Fenced { highest });
    assert_eq!(info(draft.to).role, changed.role);
}

#[test]
fn order_refused_while_number_unknown() {
    let mut cluster = Cluster::start(&stages()).unwrap();
    let down = |down| Command {
        part: Some("table".into()),
        down: Some(down),
        ..Command::default()
    };
    command(&cluster.platform, &down(true)).unwrap();
    cluster.restart_agent(Pick::Stage(0)).unwrap();
    let agent = cluster.stages[0].agent.addr();
    let order = Order {
        fence: Fence(1),
        model: MODEL.into(),
        version: "2".into(),
        layers: Layers::new(0, 6),
    };
    let refused = send(agent, order.clone()).unwrap_err();
    assert!(matches!(refused, Refusal::PlatformDown { .. }));
    command(&cluster.platform, &down(false)).unwrap();
    eventually("the order", || send(agent, order.clone()).ok()).unwrap();
}

#[test]
fn stop_waits_for_result_to_be_written() {
    let plan = stages()
        .ranges(&[])
        .services(1)
        .service(&["--call-ms", "400"]);
    let mut cluster = Cluster::start(&plan).unwrap();
    let agent = cluster.services[0].agent.addr();
    let body = encode(Head::default(), call(Some("k")));
    let stream = open(agent, Call::PATH, &body);
    let row = mustard_agent::claims::row_key(SERVICE, "o", "k");
    let read_row = || {
        let keys = serde_json::json!({ "keys": [row] }).to_string();
        let answer = Ask::post(cluster.platform.addr(), "/table/read", keys).send();
        let rows: Vec<mustard_platform::table::Row> = answer.ok()?.json().ok()?;
        rows.into_iter().next()
    };
    eventually("the claim", || read_row().filter(|r| r.version > 0)).unwrap();
    let table = |down| Command {
        part: Some("table".into()),
        down: Some(down),
        ..Command::default()
    };
    command(&cluster.platform, &table(true)).unwrap();
    let answer = read::<Call>(stream).unwrap();
    assert_eq!((answer.status, answer.replayed), (201, false));
    let other = send(agent, call(Some("k2"))).unwrap_err();
    assert!(matches!(other, Refusal::PlatformDown { .. }), "{other:?}");
    assert!(send(agent, call(Some("k"))).unwrap().replayed);
    cluster.services[0].agent.terminate().unwrap();
    eventually("the refusal", || {
        (send(agent, call(Some("k3"))) == Err(Refusal::Leaving)).then_some(())
    })
    .unwrap();
    assert!(cluster.services[0].agent.is_running());
    command(&cluster.platform, &table(false)).unwrap();
    assert_eq!(cluster.services[0].agent.wait().unwrap(), Some(0));
    assert!(read_row().unwrap().value.contains("\"state\":\"done\""));
    let booked: Vec<mustard_fakes::service::Booking> =
        ledger(cluster.services[0].server.addr()).unwrap();
    assert_eq!(booked.len(), 1);
}
