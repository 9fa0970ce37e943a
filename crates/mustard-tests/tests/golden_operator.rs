//! An operator's whole session over the real programs equals its golden file.
#![allow(clippy::unwrap_used)]

use std::path::PathBuf;
use std::process::Command;

use mustard_fakes::fault::FaultCommand as Fault;
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

/// One entry of which each version has other limits.
fn caption(rate: f64) -> String {
    let head = CATALOGUE.split("[[entry]]").nth(1).unwrap();
    format!("[[entry]]{head}[entry.limits]\nrate = {rate:.1}\n")
}

const FAULTY: &str = r#"
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

struct Operator {
    cluster: Cluster,
    session: Session,
    dir: PathBuf,
}

impl Operator {
    fn new() -> Self {
        let name = format!("mustard-golden-{}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).unwrap();
        Operator {
            cluster: Cluster::start(&Plan::new().empty_catalogue()).unwrap(),
            session: Session::new(),
            dir,
        }
    }

    fn write(&self, file: &str, text: &str) {
        std::fs::write(self.dir.join(file), text).unwrap();
    }

    /// Runs the client against an entry process without recording it.
    fn call(&self, entry: usize, args: &[&str]) -> std::process::Output {
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

    /// Runs the client and records what it printed and how it ended.
    fn run(&mut self, title: &str, entry: usize, args: &[&str]) {
        let output = self.call(entry, args);
        self.session.add_line(&format!("# {title}"));
        self.session
            .add_line(&format!("$ mustardctl {}", args.join(" ")));
        for line in String::from_utf8(output.stdout).unwrap().lines() {
            self.session.add_line(&hide_ids(line));
        }
        for line in String::from_utf8(output.stderr).unwrap().lines() {
            self.session.add_line(&format!("! {}", hide_ids(line)));
        }
        let code = output.status.code().unwrap();
        self.session.add_line(&format!("exit {code}\n"));
    }

    fn table(&self, mut fault: Fault) {
        fault.part = Some("table".to_owned());
        send_fault_command(&self.cluster.platform, &fault).unwrap();
    }

    /// Waits until an entry process has a change in force.
    fn wait_seq(&self, entry: usize, seq: u64) {
        wait_for("a change to be in force", || {
            let snapshot = self.cluster.operator(entry).catalogue().ok()?;
            (snapshot.seq.0 >= seq).then_some(())
        })
        .unwrap();
    }

    /// Returns the state that an entry process shows of an agent.
    fn agent_state(&self, entry: usize, vm: &str) -> Option<String> {
        let output = self.call(entry, &["status", "--output", "json"]);
        let status: Value = serde_json::from_slice(&output.stdout).ok()?;
        let agents = status["agents"].as_array()?;
        let agent = agents.iter().find(|a| a["name"] == vm)?;
        Some(agent["state"].as_str()?.to_owned())
    }

    fn wait_state(&mut self, vm: &str, state: &str) {
        for entry in 0..self.cluster.entries.len() {
            let shown = || (self.agent_state(entry, vm)? == state).then_some(());
            wait_for("the state of an agent", shown).unwrap();
        }
        self.session
            .add_line(&format!("# status shows {vm} {state}\n"));
    }
}

impl Drop for Operator {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Hides the change ids that the client draws, and the time of a confirmation.
fn hide_ids(line: &str) -> String {
    match line.split_once("ctl-") {
        Some((head, tail)) => {
            let rest = tail.trim_start_matches(|c: char| c.is_ascii_hexdigit());
            format!("{head}ctl-<id>{rest}")
        }
        None => line.to_owned(),
    }
}

#[test]
fn session_of_an_operator() {
    let mut operator = Operator::new();
    apply(&mut operator);
    race(&mut operator);
    outage(&mut operator);
    retire(&mut operator);
    run_system(&mut operator);
    mistakes(&mut operator);
    operator
        .session
        .assert_matches("operator_session.txt")
        .unwrap();
}

fn apply(operator: &mut Operator) {
    operator.write("catalogue.toml", CATALOGUE);
    let file = ["apply", "-f", "catalogue.toml"];
    operator.run(
        "a preview",
        0,
        &["apply", "-f", "catalogue.toml", "--dry-run"],
    );
    operator.run("without a terminal", 0, &file);
    operator.run(
        "all at once",
        0,
        &["apply", "-f", "catalogue.toml", "--yes"],
    );
    operator.wait_seq(1, 2);
    operator.run("again, through the other entry", 1, &file);
    operator.run("list", 1, &["catalogue", "list"]);
    operator.run("show", 0, &["catalogue", "show", "placements"]);
}

fn race(operator: &mut Operator) {
    operator.write("caption.toml", &caption(50.0));
    let change = ["catalogue", "change", "-f", "caption.toml"];
    let with_id = [&change[..], &["--id", "rise-1", "--expect", "1"]].concat();
    operator.run("a change", 0, &with_id);
    operator.run("sent again through the other entry", 1, &with_id);
    operator.write("caption.toml", &caption(75.0));
    let late = [&change[..], &["--id", "rise-2", "--expect", "1"]].concat();
    operator.run("the loser of a race", 1, &late);
    let reused = [&change[..], &["--id", "rise-1", "--expect", "1"]].concat();
    operator.run("a change id of another change", 0, &reused);
    operator.run(
        "adding what exists",
        0,
        &["catalogue", "add", "-f", "caption.toml"],
    );
}

fn outage(operator: &mut Operator) {
    let change = ["catalogue", "change", "-f", "caption.toml"];
    let second = [&change[..], &["--id", "rise-3", "--expect", "2"]].concat();
    operator.table(Fault {
        lose_answers: Some(1),
        ..Fault::default()
    });
    operator.run("the table loses its answer", 0, &second);
    operator.table(Fault {
        down: Some(true),
        ..Fault::default()
    });
    let third = ["catalogue", "retire", "placements", "--wait", "1"];
    let third = [&third[..], &["--id", "end-1", "--expect", "1"]].concat();
    operator.run("the table is down", 1, &third);
    operator.table(Fault {
        down: Some(false),
        ..Fault::default()
    });
    operator.run("the same once it is up", 1, &third);
}

fn retire(operator: &mut Operator) {
    operator.wait_seq(0, 5);
    operator.run("retired", 0, &["catalogue", "show", "placements"]);
    operator.run("retired twice", 0, &["catalogue", "retire", "placements"]);
    operator.run("list of all", 0, &["catalogue", "list", "--all"]);
    operator.run("never was", 0, &["catalogue", "history", "nothing"]);
    let history = operator.call(0, &["catalogue", "history", "caption", "--output", "json"]);
    let changes: Vec<Value> = serde_json::from_slice(&history.stdout).unwrap();
    operator.session.add_line("# history");
    for change in changes {
        let line = format!(
            "{} by {} from {}",
            change["seq"], change["author"], change["expected"]
        );
        operator.session.add_line(&line);
    }
    operator.session.add_line("");
}

fn run_system(operator: &mut Operator) {
    operator.wait_state("stage-1", "ready");
    operator.run("drain", 0, &["drain", "stage-1"]);
    operator.wait_state("stage-1", "leaving");
    operator.run("take back", 1, &["drain", "stage-1", "--undo"]);
    operator.wait_state("stage-1", "ready");
    operator.run("drain of nobody", 0, &["drain", "stage-99"]);
    operator.run("nothing in quarantine", 0, &["quarantine", "list"]);
}

fn mistakes(operator: &mut Operator) {
    operator.run("a wrong key", 0, &["catalogue", "list", "--key", "wrong"]);
    operator.write("faulty.toml", FAULTY);
    operator.run("a faulty file", 0, &["apply", "-f", "faulty.toml"]);
    operator.write("entry.toml", FAULTY_SETTINGS);
    operator.run("faulty settings", 0, &["check-config", "entry.toml"]);
    operator.run("the digest of a key", 0, &["key-hash", "operator-key"]);
    let nobody = ["status", "--entry", "127.0.0.1:1"];
    operator.run("nobody there", 0, &nobody);
}
