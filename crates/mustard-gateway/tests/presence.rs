//! Which of the processes whose rows name one address or id is used, without network.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::deployment::{Config, ServerEntry, ServerKey, ServerState, Service};
use mustard_gateway::fleet::{Fleet, Presence, ProcessState, RowChange};
use mustard_policy::backoff::Fault;

const DESK: &str = "desk";
const LEDGER: &str = "ledger";
/// Longer than an answer outweighs the row of another process.
const IDLE_TIME: Duration = Duration::from_secs(5);
const START: Moment = Moment::from_millis(100_000);

fn row(id: &str, service: &str, started_ms: u64) -> ServerEntry {
    ServerEntry {
        id: id.to_owned(),
        service: service.to_owned(),
        addr: SocketAddr::from(([10, 0, 0, 1], 8_080)),
        domain: "a".to_owned(),
        slots: 6,
        state: ServerState::Ready,
        warmup_ms: 0.0,
        started_ms,
        row_number: 1,
        accelerator: None,
        held: None,
    }
}

fn config(services: &[&str]) -> Config {
    let service = |name: &&str| Service {
        name: (*name).to_owned(),
        health_path: "/health".to_owned(),
        max_connections: 100,
        engine: None,
    };
    let services = services.iter().map(service).collect();
    Config::new(1, Vec::new(), services, Vec::new(), 1_024)
}

/// A fleet with rows of some processes, each with its service and start, read in this order.
fn fleet(rows: &[(&str, &str, u64)]) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.set_services(START, &config(&[DESK, LEDGER]));
    for (id, service, started_ms) in rows {
        fleet.upsert(START, row(id, service, *started_ms), None);
    }
    fleet
}

fn key(fleet: &Fleet, id: &str) -> ServerKey {
    fleet.key_of(id).unwrap()
}

fn is_used(fleet: &Fleet, now: Moment, id: &str) -> bool {
    fleet.get(key(fleet, id)).unwrap().is_usable(now)
}

/// Guards against a server that a row alone takes out of use, whatever start that names.
#[test]
fn upsert_beside_answering_server() {
    let mut fleet = fleet(&[("own", DESK, 5)]);
    let own = key(&fleet, "own");
    fleet.record_present(START, own);
    for (n, started_ms) in [1, 5, u64::MAX].into_iter().enumerate() {
        let id = format!("other-{n}");
        fleet.upsert(START, row(&id, DESK, started_ms), None);
        assert!(is_used(&fleet, START, "own"), "{started_ms}");
        assert!(!is_used(&fleet, START, &id), "{started_ms}");
    }
    assert_eq!(fleet.take_questions(START).len(), 1);
    fleet.record_present(START, own);
    assert!(!fleet.is_unsettled(own));
    // What an answer has settled isn't asked again.
    assert!(fleet.take_questions(START + IDLE_TIME).is_empty());
    assert!(is_used(&fleet, START + IDLE_TIME, "own"));
}

/// Guards against a mark that nothing takes back: a server that hasn't answered lately is asked, and its answer counts.
#[test]
fn upsert_beside_idle_server() {
    let mut fleet = fleet(&[("own", DESK, 5)]);
    let own = key(&fleet, "own");
    fleet.record_present(START, own);
    let now = START + IDLE_TIME;
    fleet.upsert(now, row("other", LEDGER, 9), None);
    assert!(!is_used(&fleet, now, "own"));
    let asked = fleet.take_questions(now);
    assert!(asked[0].contains(&own));
    let other = key(&fleet, "other");
    fleet.record_identity(now, other, "own");
    assert!(is_used(&fleet, now, "own"));
    let server = fleet.get(other).unwrap();
    assert_eq!(server.presence, Presence::Replaced);
    // Faults of the server that is there say nothing for one that was found not to be.
    fleet.record_fault(now, own, Fault::Broken);
    assert_eq!(fleet.get(own).unwrap().presence, Presence::Presumed);
    assert!(!is_used(&fleet, now, "other"));
}

/// Guards against a server that is gone and stays in use, as its row lags behind, while another one runs at its address;
/// the clocks of their machines may differ.
#[test]
fn upsert_beside_lost_server() {
    for started_ms in [1, 9] {
        let mut fleet = fleet(&[("lost", DESK, 5)]);
        let lost = key(&fleet, "lost");
        fleet.record_present(START, lost);
        fleet.upsert(START, row("new", DESK, started_ms), None);
        fleet.record_misdirected(START, lost);
        assert!(is_used(&fleet, START, "new"), "{started_ms}");
        assert!(!is_used(&fleet, START, "lost"), "{started_ms}");
        let process = fleet.process(lost).unwrap();
        assert_eq!(fleet.process_state(&process, START), ProcessState::Ended);
        fleet.remove(START, "lost", false);
        assert!(is_used(&fleet, START, "new"), "{started_ms}");
    }
}

/// Guards against strikes by the word of a row: a process of which another row only names the address hasn't ended.
#[test]
fn process_state_doubted() {
    let mut fleet = fleet(&[("own", DESK, 5), ("other", DESK, 9)]);
    let own = fleet.process(key(&fleet, "own")).unwrap();
    assert!(!is_used(&fleet, START, "own"));
    assert_eq!(fleet.process_state(&own, START), ProcessState::Unknown);
    let other = key(&fleet, "other");
    fleet.record_present(START, other);
    assert_eq!(fleet.process_state(&own, START), ProcessState::Ended);
}

/// Guards against rows that count, or no longer do, only by the configuration that was in force when they were read.
#[test]
fn set_services_named_later_or_dropped() {
    let mut fleet = Fleet::default();
    fleet.upsert(START, row("own", DESK, 5), None);
    fleet.upsert(START, row("other", LEDGER, 9), None);
    fleet.set_services(START, &config(&[DESK]));
    assert!(is_used(&fleet, START, "own"));
    assert!(fleet.take_questions(START).is_empty());
    fleet.set_services(START, &config(&[DESK, LEDGER]));
    assert!(is_used(&fleet, START, "other"));
    assert_eq!(fleet.take_questions(START).len(), 1);
    // The server of a service that is no longer named doesn't keep the other one out of use.
    fleet.set_services(START, &config(&[DESK]));
    assert!(is_used(&fleet, START, "own"));
    fleet.set_services(START, &config(&[LEDGER]));
    assert!(is_used(&fleet, START, "other"));
}

/// Guards against rows under a server's own id that take its service away or give it another one, before and after a
/// version that names the service; such rows count once the server no longer answers.
#[test]
fn upsert_own_id_other_service() {
    let mut fleet = Fleet::default();
    fleet.set_services(START, &config(&[DESK]));
    fleet.upsert(START, row("own", DESK, 5), None);
    let own = key(&fleet, "own");
    let service = |fleet: &Fleet| {
        let server = fleet.get(key(fleet, "own")).unwrap();
        server.entry.service.clone()
    };
    // Nothing has answered under the id, but the row is of a service that isn't named.
    let change = fleet.upsert(START, row("own", LEDGER, 5), None);
    assert_eq!(
        (change, service(&fleet)),
        (RowChange::Held, DESK.to_owned())
    );
    fleet.record_present(START, own);
    fleet.set_services(START, &config(&[DESK, LEDGER]));
    assert_eq!(
        service(&fleet),
        DESK,
        "a process doesn't change its service"
    );
    let change = fleet.upsert(START, row("own", LEDGER, 5), None);
    assert_eq!(
        (change, service(&fleet)),
        (RowChange::Held, DESK.to_owned())
    );
    let change = fleet.upsert(START, row("own", LEDGER, 6), None);
    assert_eq!(
        (change, service(&fleet)),
        (RowChange::Held, DESK.to_owned())
    );
    // Once the server no longer answers, a new process may be of another service.
    fleet.record_fault(START, own, Fault::Broken);
    fleet.take_held_questions(START);
    assert_eq!(service(&fleet), LEDGER);
}

/// Guards against a server that stays of another service, as a row of another writer stood under its id when the
/// gateway started: the rows that go on are its own.
#[test]
fn upsert_own_id_other_service_first() {
    let mut fleet = fleet(&[("own", LEDGER, 9)]);
    let first = key(&fleet, "own");
    fleet.record_present(START, first);
    for (row_number, change) in [(31, RowChange::Held), (32, RowChange::Joined)] {
        let own = ServerEntry {
            row_number,
            ..row("own", DESK, 5)
        };
        assert_eq!(fleet.upsert(START, own, None), change);
    }
}

/// Guards against a row under a server's own id that moves it to another address while it answers where it is, and
/// against a server that stays at its former address though it has moved.
#[test]
fn upsert_own_id_other_address() {
    let moved = ServerEntry {
        addr: SocketAddr::from(([10, 0, 0, 2], 8_080)),
        ..row("own", DESK, 5)
    };
    for has_ended in [false, true] {
        let mut fleet = fleet(&[("own", DESK, 5)]);
        let own = key(&fleet, "own");
        fleet.record_present(START, own);
        assert_eq!(fleet.upsert(START, moved.clone(), None), RowChange::Held);
        assert!(is_used(&fleet, START, "own"));
        let questions = fleet.take_held_questions(START);
        assert_eq!(questions[0].claimed.addr, moved.addr);
        if has_ended {
            fleet.record_fault(START, own, Fault::Broken);
            assert!(fleet.take_held_questions(START).is_empty());
        } else {
            fleet.release_row(START, &questions[0].claimed);
        }
        let server = fleet.get(key(&fleet, "own")).unwrap();
        assert_eq!(server.entry.addr, moved.addr);
    }
}

/// Guards against a server that never gets a request again as another writer wrote under its id that it leaves, and
/// against one that does though it leaves: only its later rows or its own word count.
#[test]
fn upsert_ready_after_draining() {
    let later = |row_number, state| ServerEntry {
        row_number,
        state,
        ..row("own", DESK, 5)
    };
    let mut fleet = fleet(&[("own", DESK, 5)]);
    fleet.upsert(START, later(7, ServerState::Leaving), None);
    assert!(!is_used(&fleet, START, "own"));
    fleet.upsert(START, later(6, ServerState::Ready), None);
    assert!(!is_used(&fleet, START, "own"), "a row from before");
    fleet.upsert(START, later(8, ServerState::Ready), Some(START));
    assert!(!is_used(&fleet, START, "own"), "a row of an older copy");
    fleet.upsert(START, later(8, ServerState::Ready), None);
    assert!(is_used(&fleet, START, "own"));
    let process = fleet.process(key(&fleet, "own")).unwrap();
    fleet.record_leaving(&process);
    fleet.upsert(START, later(9, ServerState::Ready), None);
    assert!(!is_used(&fleet, START, "own"), "its own word");
}

/// Guards against a pause or an announcement of a process that is forgotten, and against strikes, as its row goes and
/// comes back or one of another start stands in its place for a while.
#[test]
fn upsert_same_process_again() {
    for replaces in [false, true] {
        let mut fleet = fleet(&[("own", DESK, 5)]);
        let own = fleet.process(key(&fleet, "own")).unwrap();
        fleet.record_pause(START, own.key, Duration::from_secs(30));
        if replaces {
            fleet.upsert(START, row("own", DESK, 9), None);
            assert!(is_used(&fleet, START, "own"));
        } else {
            fleet.remove(START, "own", false);
        }
        assert_eq!(fleet.process_state(&own, START), ProcessState::Ended);
        fleet.upsert(START, row("own", DESK, 5), None);
        assert!(fleet.is_paused(START, key(&fleet, "own")));
        assert_eq!(fleet.process_state(&own, START), ProcessState::Unknown);
        let server = fleet.process(key(&fleet, "own")).unwrap();
        fleet.record_leaving(&server);
        fleet.upsert(START, row("own", DESK, 9), None);
        fleet.upsert(START, row("own", DESK, 5), None);
        assert!(!fleet.get(key(&fleet, "own")).unwrap().is_ready());
    }
}
