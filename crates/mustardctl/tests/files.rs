//! Tests of catalogue files, plans and exit codes.
#![allow(clippy::unwrap_used)]

use std::path::Path;

use bolero::{TypeGenerator, check};

use mustard_core::catalogue::{Catalogue, Change, Op};
use mustard_core::ids::Seq;
use mustardctl::errors::{CtlError, EXIT_CONFLICT, EXIT_UNKNOWN, Refused};
use mustardctl::file::{self, CatalogueFile};
use mustardctl::plan::{Action, plan};
use serde_json::json;

const EXAMPLE: &str = "../../examples/catalogue.toml";

fn example() -> CatalogueFile {
    file::load(Path::new(EXAMPLE)).unwrap()
}

/// Applies a plan as the system would.
fn apply(catalogue: &mut Catalogue, file: &CatalogueFile) -> Vec<Action> {
    let steps = plan(file, catalogue);
    for step in &steps {
        catalogue.check(step.expected, &step.op).unwrap();
        let change = Change {
            seq: catalogue.seq().next(),
            id: "id".to_owned(),
            expected: step.expected,
            author: "ada".to_owned(),
            wall_ms: 0,
            op: step.op.clone(),
        };
        assert!(catalogue.apply(&change).unwrap());
    }
    steps.iter().map(|s| s.action).collect()
}

#[test]
fn load_example() {
    let mut catalogue = Catalogue::default();
    assert_eq!(apply(&mut catalogue, &example()), [Action::Add; 4]);
    assert_eq!(catalogue.seq(), Seq(4));
}

#[test]
fn parse_every_fault() {
    let text = r#"
        retired = ["a"]
        [[entry]]
        name = "a b"
        owner = "o"
        target = { kind = "model", model = "s", layers = 0 }
        [[entry]]
        name = "c"
        ownr = "o"
        target = { kind = "service", service = "s" }
    "#;
    let Err(CtlError::Faults(faults)) = file::parse("f.toml", text) else {
        panic!("the faults are not found");
    };
    let all = faults.join("\n");
    assert_eq!(faults.len(), 4, "{all}");
    for part in [
        "\"retired\" is not known",
        "name of entry \"a b\"",
        "target.layers",
        "number 2",
        "ownr",
    ] {
        assert!(all.contains(part), "{part} is not in {all}");
    }
}

#[derive(Clone, Debug, TypeGenerator)]
struct Wish {
    keep: [bool; 4],
    retire: [bool; 4],
    tokens: [u8; 4],
}

/// A plan brings any catalogue to what the file says, and a second one changes nothing.
#[test]
fn plan_then_nothing_left() {
    check!()
        .with_generator(bolero::produce::<Vec<Wish>>().with().len(1usize..6))
        .with_iterations(300)
        .for_each(|wishes| {
            let mut catalogue = Catalogue::default();
            for wish in wishes {
                let file = wished(wish);
                apply(&mut catalogue, &file);
                assert_eq!(plan(&file, &catalogue), []);
                for entry in &file.entries {
                    assert_eq!(catalogue.entry(&entry.name), Some(entry));
                }
                for name in &file.retire {
                    assert_eq!(catalogue.entry(name), None);
                }
            }
        });
}

fn wished(wish: &Wish) -> CatalogueFile {
    let mut file = CatalogueFile::default();
    for (i, mut entry) in example().entries.into_iter().enumerate() {
        entry.limits.max_tokens = 1 + u32::from(wish.tokens[i]);
        if wish.keep[i] {
            file.entries.push(entry);
        } else if wish.retire[i] {
            file.retire.push(entry.name);
        }
    }
    file
}

#[test]
fn plan_shows_changed_fields() {
    let mut catalogue = Catalogue::default();
    apply(&mut catalogue, &example());
    let mut file = example();
    file.entries[0].limits.rate = 75.0;
    let steps = plan(&file, &catalogue);
    assert_eq!(steps.len(), 1);
    assert!(matches!(&steps[0].op, Op::Put(e) if e.name == "caption"));
    let shown: Vec<String> = steps[0].fields.iter().map(ToString::to_string).collect();
    assert_eq!(shown, ["limits.rate: 50.0 -> 75.0"]);
}

#[test]
fn exit_code_by_refusal() {
    let refused = |status, outcome: &str| {
        let problem = json!({ "title": "t", "outcome": outcome });
        CtlError::Refused(Box::new(Refused { status, problem })).exit_code()
    };
    assert_eq!(refused(409, "not_run"), EXIT_CONFLICT);
    assert_eq!(refused(503, "unknown"), EXIT_UNKNOWN);
    assert_eq!(refused(503, "not_run"), 5);
    assert_eq!(refused(422, "not_run"), 3);
    // An answer that does not say its outcome leaves it open.
    assert_eq!(refused(500, ""), EXIT_UNKNOWN);
}

/// Each example settings file is free of faults, and its program is recognised by its keys.
#[tokio::test]
async fn check_config_examples() {
    use clap::Parser;
    for file in std::fs::read_dir("../../examples/config").unwrap() {
        let path = file.unwrap().path().display().to_string();
        let cli = mustardctl::cli::Cli::parse_from(["mustardctl", "check-config", &path]);
        mustardctl::commands::run(&cli).await.unwrap();
    }
}
