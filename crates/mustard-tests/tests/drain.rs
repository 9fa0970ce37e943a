//! A planned stop cuts no request, and a leaving server gets no new work.
#![allow(clippy::unwrap_used)]

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use mustard_tests::caller::{Draft, expected_text};
use mustard_tests::plan::{MODEL, SERVICE};
use mustard_tests::{Caller, Cluster, Plan, Result, wait_for};
use serde_json::json;

const TOKENS: usize = 30;
const LAYERS: u32 = 12;
const FEW_SECONDS: Duration = Duration::from_secs(5);

fn cluster() -> Cluster {
    let plan = Plan::new().replicas(2).services(2);
    let plan = plan.engine_flags(&["--step-us", "2000"]);
    let plan = plan.service_flags(&["--call-ms", "50"]);
    Cluster::start(&plan.entry_settings("[drain]\nnotice_ms = 1000\n")).unwrap()
}

fn assert_correct(prompt: &[u32], draft: &Result<Draft>) {
    let draft = draft.as_ref().unwrap();
    assert!(draft.is_whole(), "{draft:?}");
    assert_eq!(draft.text, expected_text(LAYERS, prompt, TOKENS));
}

/// Sends drafts and bookings one after the other until told to stop; returns their number.
fn load(caller: &Caller, worker: u32, stop: &AtomicBool) -> u32 {
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

/// Runs `work` under load from several callers of an entry; each request must be answered whole.
fn under_load(cluster: &mut Cluster, entry: usize, work: impl FnOnce(&mut Cluster)) {
    let stop = AtomicBool::new(false);
    let caller = cluster.caller(entry);
    let rounds: u32 = thread::scope(|scope| {
        let start = |worker| {
            let (caller, stop) = (&caller, &stop);
            scope.spawn(move || load(caller, worker, stop))
        };
        let workers: Vec<_> = (0..4).map(start).collect();
        // The callers end also when a check in `work` fails.
        let end = StopOnDrop(&stop);
        work(cluster);
        drop(end);
        workers.into_iter().map(|w| w.join().unwrap()).sum()
    });
    assert!(rounds > 0);
    let booked = cluster.bookings().unwrap().len();
    assert_eq!(booked as u32, rounds);
}

#[test]
fn terminate_agents_under_load_cuts_nothing() {
    let mut cluster = cluster();
    under_load(&mut cluster, 0, |c| {
        thread::sleep(Duration::from_millis(300));
        let mut leaving = [c.stages.remove(0), c.services.remove(1)];
        for node in &leaving {
            node.agent.terminate().unwrap();
        }
        for node in &mut leaving {
            assert_eq!(node.agent.wait().unwrap(), Some(0), "{}", node.agent.log());
        }
    });
}

#[test]
fn drain_stage_gets_no_new_work() {
    let mut cluster = cluster();
    under_load(&mut cluster, 0, |c| {
        let vm = c.stages[0].vm().to_owned();
        let drained = c.operator(1).drain(&vm, true).unwrap();
        assert_eq!(drained.status, 200, "{drained:?}");
        thread::sleep(FEW_SECONDS);
        let before = c.engine_ledger(0).unwrap();
        thread::sleep(Duration::from_secs(1));
        let after = c.engine_ledger(0).unwrap();
        assert_eq!(before.sequences.len(), after.sequences.len());
        assert_eq!(after.open, 0);
    });
}

#[test]
fn terminate_entry_under_load_cuts_nothing() {
    let mut cluster = cluster();
    let caller = cluster.caller(0);
    let running = thread::spawn(move || caller.stream(MODEL, &[5], 400));
    wait_for("the stream runs", || {
        cluster.busy_stage(cluster.stages[0].layers)
    })
    .unwrap();
    cluster.entries[0].terminate().unwrap();
    wait_for("the entry is unready", || {
        let ready = mustard_tests::http::HttpRequest::get(cluster.entries[0].addr(), "/readyz");
        ready.send().ok().filter(|a| a.status == 503).map(|_| ())
    })
    .unwrap();
    let draft = running.join().unwrap().unwrap();
    assert!(draft.is_whole(), "{draft:?}");
    assert_eq!(draft.text, expected_text(LAYERS, &[5], 400));
    assert_eq!(cluster.entries[0].wait().unwrap(), Some(0));
    assert_correct(&[6], &cluster.caller(1).stream(MODEL, &[6], TOKENS));
}
