//! The planner of layers against its baselines, over emulated days.
#![allow(clippy::unwrap_used)]

use std::process::Command;

use serde_json::Value;

/// Runs the emulator and returns a row for each way.
fn rows(args: &[&str]) -> Vec<Value> {
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

fn of(rows: &[Value], way: &str, field: &str) -> f64 {
    let row = rows.iter().find(|r| r["way"] == way).unwrap();
    row[field].as_f64().unwrap()
}

/// Pattern: a server dies every second or two, some in pairs, and comes back empty.
#[test]
fn policy_beats_baselines() {
    for args in [
        ["--deaths", "2", "--seed", "1"],
        ["--deaths", "1", "--seed", "500"],
    ] {
        let rows = rows(&args);
        for field in ["served", "worst", "requests"] {
            let policy = of(&rows, "policy", field);
            for baseline in ["equal split", "fastest copy"] {
                let other = of(&rows, baseline, field);
                assert!(policy > other, "{args:?} {field} {baseline}");
            }
            assert!(policy <= of(&rows, "bound", field), "{args:?} {field}");
        }
        assert!(of(&rows, "policy", "first_ms") >= of(&rows, "bound", "first_ms"));
    }
}

#[test]
fn same_seed_same_rows() {
    assert_eq!(rows(&["--seed", "7"]), rows(&["--seed", "7"]));
}
