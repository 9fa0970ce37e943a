//! Tests of catalogue files, plans and exit codes.
#![allow(clippy::unwrap_used)]

use std::path::Path;

use bolero::{TypeGenerator, check};

use mustard_core::catalogue::{Catalogue, Change, Op};
use mustard_core::ids::Seq;
use mustardctl::catalogue_file::{self, CatalogueFile};
use mustardctl::errors::{CtlError, EXIT_CONFLICT, EXIT_UNKNOWN, Refusal};
use mustardctl::plan::{Action, plan_changes};
use serde_json::json;

const EXAMPLE_PATH: &str = "../../examples/catalogue.toml";

fn load_example_file() -> CatalogueFile {
    catalogue_file::load(Path::new(EXAMPLE_PATH)).unwrap()
}

/// Applies the planned changes to the catalogue as an entry process does; returns their actions.
fn apply(catalogue: &mut Catalogue, file: &CatalogueFile) -> Vec<Action> {
    let planned = plan_changes(file, catalogue);
    for planned_change in &planned {
        catalogue
            .check(planned_change.expected, &planned_change.op)
            .unwrap();
        let change = Change {
            seq: catalogue.seq().next(),
            id: "id".to_owned(),
            expected: planned_change.expected,
            author: "ada".to_owned(),
            wall_ms: 0,
            op: planned_change.op.clone(),
        };
        assert!(catalogue.apply(&change).unwrap());
    }
    planned.iter().map(|c| c.action).collect()
}

#[test]
fn load_example() {
    let mut catalogue = Catalogue::default();
    assert_eq!(
        apply(&mut catalogue, &load_example_file()),
        [Action::Add; 4]
    );
    assert_eq!(catalogue.seq(), Seq(4));
}

#[test]
fn parse_reports_every_error() {
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
    let Err(CtlError::InvalidCatalogue(errors)) = catalogue_file::parse("f.toml", text) else {
        panic!("the file is accepted");
    };
    let joined = errors.join("\n");
    assert_eq!(errors.len(), 4, "{joined}");
    for part in [
        "\"retired\" is not known",
        "name of entry \"a b\"",
        "target.layers",
        "number 2",
        "ownr",
    ] {
        assert!(joined.contains(part), "{part} is not in {joined}");
    }
}

/// The content of a catalogue file: for each entry of the example, whether it is in the file with
/// a random token limit, is otherwise retired, or is not named.
#[derive(Clone, Debug, TypeGenerator)]
struct FileContent {
    keep: [bool; 4],
    retire: [bool; 4],
    tokens: [u8; 4],
}

/// The planned changes make any catalogue match the file, and planning again finds nothing to
/// change.
#[test]
fn plan_changes_then_nothing_left() {
    check!()
        .with_generator(bolero::produce::<Vec<FileContent>>().with().len(1usize..6))
        .with_iterations(300)
        .for_each(|contents| {
            let mut catalogue = Catalogue::default();
            for content in contents {
                let file = build_file(content);
                apply(&mut catalogue, &file);
                assert_eq!(plan_changes(&file, &catalogue), []);
                for entry in &file.entries {
                    assert_eq!(catalogue.entry(&entry.name), Some(entry));
                }
                for name in &file.retire {
                    assert_eq!(catalogue.entry(name), None);
                }
            }
        });
}

fn build_file(content: &FileContent) -> CatalogueFile {
    let mut file = CatalogueFile::default();
    for (i, mut entry) in load_example_file().entries.into_iter().enumerate() {
        entry.limits.max_tokens = 1 + u32::from(content.tokens[i]);
        if content.keep[i] {
            file.entries.push(entry);
        } else if content.retire[i] {
            file.retire.push(entry.name);
        }
    }
    file
}

#[test]
fn plan_changes_shows_changed_fields() {
    let mut catalogue = Catalogue::default();
    apply(&mut catalogue, &load_example_file());
    let mut file = load_example_file();
    file.entries[0].limits.rate = 75.0;
    let planned = plan_changes(&file, &catalogue);
    assert_eq!(planned.len(), 1);
    assert!(matches!(&planned[0].op, Op::Put(e) if e.name == "caption"));
    let shown: Vec<String> = planned[0].fields.iter().map(ToString::to_string).collect();
    assert_eq!(shown, ["limits.rate: 50.0 -> 75.0"]);
}

#[test]
fn exit_code_by_refusal() {
    let refused = |status, outcome: &str| {
        let problem = json!({ "title": "t", "outcome": outcome });
        CtlError::Refused(Box::new(Refusal { status, problem })).exit_code()
    };
    assert_eq!(refused(409, "not_run"), EXIT_CONFLICT);
    assert_eq!(refused(503, "unknown"), EXIT_UNKNOWN);
    assert_eq!(refused(503, "not_run"), 5);
    assert_eq!(refused(422, "not_run"), 3);
    // The outcome is unknown if the answer does not state it.
    assert_eq!(refused(500, ""), EXIT_UNKNOWN);
}

/// Each example settings file has no errors, and its program is recognised by its keys.
#[tokio::test]
async fn check_config_examples() {
    use clap::Parser;
    for file in std::fs::read_dir("../../examples/config").unwrap() {
        let path = file.unwrap().path().display().to_string();
        let cli = mustardctl::cli::Cli::parse_from(["mustardctl", "check-config", &path]);
        mustardctl::commands::run(&cli).await.unwrap();
    }
}
