//! An operator's session against the real programs matches its golden file.
#![allow(clippy::unwrap_used)]

use std::path::PathBuf;
use std::process::Command;

use mustard_fakes::fault::FaultCommand;
use mustard_tests::cluster::send_fault_command;
use mustard_tests::golden::Session;
use mustard_tests::plan::OPERATOR_KEY;
use mustard_tests::{Cluster, Plan, child, wait_for};
use serde_json::Value;

const CATALOGUE: &str = r#"
[[entry]]
name = "caption"
owner = "peachtree"
class = "deadline"
target = { kind = "model", model = "caption", layers = 12 }

[[entry]]
name = "placements"
owner = "peachtree"
target = { kind = "service", service = "placements" }

[entry.limits]
rate = 20.0
"#;

/// Returns the `caption` entry with a rate limit.
fn caption_entry(rate: f64) -> String {
    let head = CATALOGUE.split("[[entry]]").nth(1).unwrap();
    format!("[[entry]]{head}[entry.limits]\nrate = {rate:.1}\n")
}

const FAULTY_CATALOGUE: &str = r#"
retired = ["caption"]

[[entry]]
name = "two words"
owner = "peachtree"
target = { kind = "model", model = "caption", layers = 0 }
"#;

const FAULTY_SETTINGS: &str = r#"
name = "entry-1"
listen = "here"
domain = "ga-north-a"

[platform]
tabel = "127.0.0.1:9000"
objects = "127.0.0.1:9000"
vms = "127.0.0.1:9000"
"#;

struct Recorder {
    cluster: Cluster,
    session: Session,
    dir: PathBuf,
}

impl Recorder {
    fn new() -> Self {
        let name = format!("mustard-golden-{}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).unwrap();
        Recorder {
            cluster: Cluster::start(&Plan::new().empty_catalogue()).unwrap(),
            session: Session::new(),
            dir,
        }
    }

    fn write_file(&self, file: &str, text: &str) {
        std::fs::write(self.dir.join(file), text).unwrap();
    }

    /// Runs `mustardctl` against an entry process without recording it.
    fn run_client(&self, entry: usize, args: &[&str]) -> std::process::Output {
        Command::new(child::find_program("mustardctl").unwrap())
            .current_dir(&self.dir)
            .env("MUSTARD_OPERATOR_KEY", OPERATOR_KEY)
            .env(
                "MUSTARD_ENTRY",
                self.cluster.entries[entry].addr().to_string(),
            )
            .args(args)
            .output()
            .unwrap()
    }

    /// Runs `mustardctl` and records its output and exit code.
    fn record(&mut self, title: &str, entry: usize, args: &[&str]) {
        let output = self.run_client(entry, args);
        self.session.add_line(&format!("# {title}"));
        self.session
            .add_line(&format!("$ mustardctl {}", args.join(" ")));
        for line in String::from_utf8(output.stdout).unwrap().lines() {
            self.session.add_line(&mask_change_id(line));
        }
        for line in String::from_utf8(output.stderr).unwrap().lines() {
            self.session
                .add_line(&format!("! {}", mask_change_id(line)));
        }
        let code = output.status.code().unwrap();
        self.session.add_line(&format!("exit {code}\n"));
    }

    fn set_table_fault(&self, mut fault: FaultCommand) {
        fault.part = Some("table".to_owned());
        send_fault_command(&self.cluster.platform, &fault).unwrap();
    }

    /// Waits until the change with the given sequence number is in force at an entry process.
    fn wait_change(&self, entry: usize, seq: u64) {
        wait_for("the change is in force", || {
            let snapshot = self.cluster.operator(entry).catalogue().ok()?;
            (snapshot.seq.0 >= seq).then_some(())
        })
        .unwrap();
    }

    /// Returns the state of an agent as an entry process reports it.
    fn agent_state(&self, entry: usize, vm: &str) -> Option<String> {
        let output = self.run_client(entry, &["status", "--output", "json"]);
        let status: Value = serde_json::from_slice(&output.stdout).ok()?;
        let agents = status["agents"].as_array()?;
        let agent = agents.iter().find(|a| a["name"] == vm)?;
        Some(agent["state"].as_str()?.to_owned())
    }

    /// Waits until every entry process reports an agent in a state, and records that.
    fn wait_agent_state(&mut self, vm: &str, state: &str) {
        for entry in 0..self.cluster.entries.len() {
            let is_reported = || (self.agent_state(entry, vm)? == state).then_some(());
            wait_for("every entry reports the agent's new state", is_reported).unwrap();
        }
        self.session
            .add_line(&format!("# status shows {vm} {state}\n"));
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Replaces the random change id that `mustardctl` generates.
fn mask_change_id(line: &str) -> String {
    match line.split_once("ctl-") {
        Some((head, tail)) => {
            let rest = tail.trim_start_matches(|c: char| c.is_ascii_hexdigit());
            format!("{head}ctl-<id>{rest}")
        }
        None => line.to_owned(),
    }
}

#[test]
fn operator_session_matches_golden_file() {
    let mut recorder = Recorder::new();
    record_apply(&mut recorder);
    record_conflicts(&mut recorder);
    record_table_outage(&mut recorder);
    record_retirement(&mut recorder);
    record_drain(&mut recorder);
    record_errors(&mut recorder);
    recorder
        .session
        .assert_matches("operator_session.txt")
        .unwrap();
}

fn record_apply(recorder: &mut Recorder) {
    recorder.write_file("catalogue.toml", CATALOGUE);
    let apply = ["apply", "-f", "catalogue.toml"];
    recorder.record(
        "a preview",
        0,
        &["apply", "-f", "catalogue.toml", "--dry-run"],
    );
    recorder.record("without a terminal", 0, &apply);
    recorder.record(
        "all at once",
        0,
        &["apply", "-f", "catalogue.toml", "--yes"],
    );
    recorder.wait_change(1, 2);
    recorder.record("again, through the other entry", 1, &apply);
    recorder.record("list", 1, &["catalogue", "list"]);
    recorder.record("show", 0, &["catalogue", "show", "placements"]);
}

fn record_conflicts(recorder: &mut Recorder) {
    recorder.write_file("caption.toml", &caption_entry(50.0));
    let change = ["catalogue", "change", "-f", "caption.toml"];
    let with_id = [&change[..], &["--id", "rise-1", "--expect", "1"]].concat();
    recorder.record("a change", 0, &with_id);
    recorder.record("sent again through the other entry", 1, &with_id);
    recorder.write_file("caption.toml", &caption_entry(75.0));
    let outdated = [&change[..], &["--id", "rise-2", "--expect", "1"]].concat();
    recorder.record("the loser of a race", 1, &outdated);
    let reused_id = [&change[..], &["--id", "rise-1", "--expect", "1"]].concat();
    recorder.record("a change id of another change", 0, &reused_id);
    recorder.record(
        "adding what exists",
        0,
        &["catalogue", "add", "-f", "caption.toml"],
    );
}

fn record_table_outage(recorder: &mut Recorder) {
    let change = ["catalogue", "change", "-f", "caption.toml"];
    let lost_answer = [&change[..], &["--id", "rise-3", "--expect", "2"]].concat();
    recorder.set_table_fault(FaultCommand {
        lose_answers: Some(1),
        ..FaultCommand::default()
    });
    recorder.record("the table loses its answer", 0, &lost_answer);
    recorder.set_table_fault(FaultCommand {
        down: Some(true),
        ..FaultCommand::default()
    });
    let retire = ["catalogue", "retire", "placements", "--wait", "1"];
    let retire = [&retire[..], &["--id", "end-1", "--expect", "1"]].concat();
    recorder.record("the table is down", 1, &retire);
    recorder.set_table_fault(FaultCommand {
        down: Some(false),
        ..FaultCommand::default()
    });
    recorder.record("the same once it is up", 1, &retire);
}

fn record_retirement(recorder: &mut Recorder) {
    recorder.wait_change(0, 5);
    recorder.record("retired", 0, &["catalogue", "show", "placements"]);
    recorder.record("retired twice", 0, &["catalogue", "retire", "placements"]);
    recorder.record("list of all", 0, &["catalogue", "list", "--all"]);
    recorder.record("never was", 0, &["catalogue", "history", "nothing"]);
    let history = recorder.run_client(0, &["catalogue", "history", "caption", "--output", "json"]);
    let changes: Vec<Value> = serde_json::from_slice(&history.stdout).unwrap();
    recorder.session.add_line("# history");
    for change in changes {
        let line = format!(
            "{} by {} from {}",
            change["seq"], change["author"], change["expected"]
        );
        recorder.session.add_line(&line);
    }
    recorder.session.add_line("");
}

fn record_drain(recorder: &mut Recorder) {
    recorder.wait_agent_state("stage-1", "ready");
    recorder.record("drain", 0, &["drain", "stage-1"]);
    recorder.wait_agent_state("stage-1", "leaving");
    recorder.record("take back", 1, &["drain", "stage-1", "--undo"]);
    recorder.wait_agent_state("stage-1", "ready");
    recorder.record("drain of nobody", 0, &["drain", "stage-99"]);
    recorder.record("nothing in quarantine", 0, &["quarantine", "list"]);
}

fn record_errors(recorder: &mut Recorder) {
    recorder.record("a wrong key", 0, &["catalogue", "list", "--key", "wrong"]);
    recorder.write_file("faulty.toml", FAULTY_CATALOGUE);
    recorder.record("a faulty file", 0, &["apply", "-f", "faulty.toml"]);
    recorder.write_file("entry.toml", FAULTY_SETTINGS);
    recorder.record("faulty settings", 0, &["check-config", "entry.toml"]);
    recorder.record("the digest of a key", 0, &["key-hash", "operator-key"]);
    let unreachable = ["status", "--entry", "127.0.0.1:1"];
    recorder.record("nobody there", 0, &unreachable);
}
