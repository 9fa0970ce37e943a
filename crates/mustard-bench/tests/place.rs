//! Compares the layer planner with its baselines over emulated days.
#![allow(clippy::unwrap_used)]

use std::process::Command;

use serde_json::Value;

/// Runs `mustard-bench place` over four days and returns a row for each way.
fn run_place(args: &[&str]) -> Vec<Value> {
    let out = Command::new(env!("CARGO_BIN_EXE_mustard-bench"))
        .args(["place", "--json", "--days", "4"])
        .args(args)
        .output()
        .unwrap();
    assert!(out.status.success());
    let text = String::from_utf8(out.stdout).unwrap();
    text.lines()
        .map(|l| serde_json::from_str(l).unwrap())
        .collect()
}

fn value_of(rows: &[Value], way: &str, field: &str) -> f64 {
    let row = rows.iter().find(|r| r["way"] == way).unwrap();
    row[field].as_f64().unwrap()
}

/// Guards against a planner that does worse than a plain baseline, or seems to do better than the
/// bound, while a server dies every second or two, some in pairs, and comes back empty.
#[test]
fn policy_beats_baselines() {
    for args in [
        ["--deaths", "2", "--seed", "1"],
        ["--deaths", "1", "--seed", "500"],
    ] {
        let rows = run_place(&args);
        for field in ["served", "worst", "requests"] {
            let policy = value_of(&rows, "policy", field);
            for baseline in ["equal split", "fastest copy"] {
                let other = value_of(&rows, baseline, field);
                assert!(policy > other, "{args:?} {field} {baseline}");
            }
            assert!(
                policy <= value_of(&rows, "bound", field),
                "{args:?} {field}"
            );
        }
        assert!(value_of(&rows, "policy", "first_ms") >= value_of(&rows, "bound", "first_ms"));
    }
}

#[test]
fn same_seed_same_rows() {
    assert_eq!(run_place(&["--seed", "7"]), run_place(&["--seed", "7"]));
}
