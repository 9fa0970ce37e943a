//! A planned stop interrupts no request, and a draining server gets no new work.
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use mustard_tests::caller::{Draft, expected_text};
use mustard_tests::plan::{CUSTOMER_KEY, MODEL, SERVICE};
use mustard_tests::{Caller, Cluster, Plan, Result, wait_for};
use serde_json::json;

const TOKENS: usize = 30;
const MODEL_LAYERS: u32 = 12;
/// Time by which a draining stage has finished its sequences and gets no new ones.
const DRAIN_TIME: Duration = Duration::from_secs(5);

fn start_cluster() -> Cluster {
    let plan = Plan::new().replicas(2).services(2);
    let plan = plan.engine_flags(&["--step-us", "2000"]);
    let plan = plan.service_flags(&["--call-ms", "50"]);
    Cluster::start(&plan.entry_settings("[drain]\nnotice_ms = 1000\n")).unwrap()
}

fn assert_correct(prompt: &[u32], draft: &Result<Draft>) {
    let draft = draft.as_ref().unwrap();
    assert!(draft.is_whole(), "{draft:?}");
    assert_eq!(draft.text, expected_text(MODEL_LAYERS, prompt, TOKENS));
}

/// Requests a draft and a booking in turn until `stop` is set, and returns the number of rounds.
fn send_requests(caller: &Caller, worker: u32, stop: &AtomicBool) -> u32 {
    let mut round = 0;
    while !stop.load(Ordering::SeqCst) {
        let prompt = [worker, round];
        assert_correct(&prompt, &caller.stream(MODEL, &prompt, TOKENS));
        let (path, key) = (format!("{SERVICE}/{worker}"), format!("{worker}-{round}"));
        let booked = caller.book(&path, &key, &json!({})).unwrap();
        assert_eq!(booked.status, 201, "{booked:?}");
        round += 1;
    }
    round
}

struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Runs `work` while several callers send requests to an entry. Each request must succeed and each
/// booking must run once.
fn run_under_load(cluster: &mut Cluster, entry: usize, work: impl FnOnce(&mut Cluster)) {
    let stop = AtomicBool::new(false);
    let caller = cluster.caller(entry);
    let rounds: u32 = thread::scope(|scope| {
        let spawn_worker = |worker| {
            let (caller, stop) = (&caller, &stop);
            scope.spawn(move || send_requests(caller, worker, stop))
        };
        let workers: Vec<_> = (0..4).map(spawn_worker).collect();
        // Stops the callers also if an assertion in `work` fails.
        let stop_guard = StopOnDrop(&stop);
        work(cluster);
        drop(stop_guard);
        workers.into_iter().map(|w| w.join().unwrap()).sum()
    });
    assert!(rounds > 0);
    let booked = cluster.bookings().unwrap().len();
    assert_eq!(booked as u32, rounds);
}

#[test]
fn terminate_agents_under_load_cuts_nothing() {
    let mut cluster = start_cluster();
    run_under_load(&mut cluster, 0, |c| {
        thread::sleep(Duration::from_millis(300));
        let mut stopping = [c.stages.remove(0), c.services.remove(1)];
        for node in &stopping {
            node.agent.terminate().unwrap();
        }
        for node in &mut stopping {
            assert_eq!(node.agent.wait().unwrap(), Some(0), "{}", node.agent.log());
        }
    });
}

#[test]
fn drain_stage_gets_no_new_work() {
    let mut cluster = start_cluster();
    run_under_load(&mut cluster, 0, |c| {
        let vm = c.stages[0].vm().to_owned();
        let drained = c.operator(1).drain(&vm, true).unwrap();
        assert_eq!(drained.status, 200, "{drained:?}");
        thread::sleep(DRAIN_TIME);
        let before = c.engine_ledger(0).unwrap();
        thread::sleep(Duration::from_secs(1));
        let after = c.engine_ledger(0).unwrap();
        assert_eq!(before.sequences.len(), after.sequences.len());
        assert_eq!(after.open, 0);
    });
}

#[test]
fn terminate_entry_under_load_cuts_nothing() {
    let mut cluster = start_cluster();
    let caller = cluster.caller(0);
    let stream = thread::spawn(move || caller.stream(MODEL, &[5], 400));
    wait_for("the stream is running", || {
        cluster.busy_stage(cluster.stages[0].layers)
    })
    .unwrap();
    cluster.entries[0].terminate().unwrap();
    wait_for("the entry reports that it isn't ready", || {
        let ready = mustard_tests::http::HttpRequest::get(cluster.entries[0].addr(), "/readyz");
        ready.send().ok().filter(|a| a.status == 503).map(|_| ())
    })
    .unwrap();
    let draft = stream.join().unwrap().unwrap();
    assert!(draft.is_whole(), "{draft:?}");
    assert_eq!(draft.text, expected_text(MODEL_LAYERS, &[5], 400));
    assert_eq!(cluster.entries[0].wait().unwrap(), Some(0));
    assert_correct(&[6], &cluster.caller(1).stream(MODEL, &[6], TOKENS));
}

/// Guards against requests that an entry takes late in its grace time, as their bodies come late, and that are cut at
/// its end: they are refused as not run.
#[test]
fn terminate_entry_body_arrives_late() {
    let mut cluster = start_cluster();
    let draft = json!({"model": MODEL, "prompt": [5], "max_tokens": 4}).to_string();
    let requests = [
        ("/v1/completions".to_owned(), draft),
        (format!("/v1/services/{SERVICE}/9"), "{}".to_owned()),
    ];
    let sent: Vec<(TcpStream, String)> = requests
        .into_iter()
        .map(|(path, body)| {
            let mut connection = TcpStream::connect(cluster.entries[0].addr()).unwrap();
            let head = format!(
                "POST {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
                 content-type: application/json\r\nidempotency-key: late\r\n\
                 x-deadline-ms: 20000\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            connection.write_all(head.as_bytes()).unwrap();
            let (first, rest) = body.split_at(1);
            connection.write_all(first.as_bytes()).unwrap();
            (connection, rest.to_owned())
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    cluster.entries[0].terminate().unwrap();
    // The gate closes 1 s after the signal.
    thread::sleep(Duration::from_secs(2));
    for (mut connection, rest) in sent {
        connection.write_all(rest.as_bytes()).unwrap();
        connection
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        let mut answer = [0; 12];
        connection.read_exact(&mut answer).unwrap();
        assert_eq!(String::from_utf8_lossy(&answer), "HTTP/1.1 503");
    }
    assert_eq!(cluster.entries[0].wait().unwrap(), Some(0));
}
