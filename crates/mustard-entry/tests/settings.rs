//! Loads the example settings and rejects malformed operator keys.
#![allow(clippy::unwrap_used)]

use std::path::Path;

use mustard_entry::settings::Settings;
use mustard_net::settings::{load, parse};

const EXAMPLE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/config/entry.toml"
);

#[test]
fn load_example() {
    let settings: Settings = load(Path::new(EXAMPLE)).unwrap();
    assert_eq!(settings.name, "entry-1");
    assert_eq!(settings.operator_keys().unwrap()[0].0, "anna");
}

#[test]
fn load_example_defaults() {
    // Each key that is commented out shows its default, so reading it in must change nothing.
    let text = std::fs::read_to_string(EXAMPLE).unwrap();
    let uncommented: String = text
        .lines()
        .map(|line| match line.strip_prefix("# ") {
            Some(key) if key.contains(" = ") => format!("{key}\n"),
            _ => format!("{line}\n"),
        })
        .collect();
    let explicit: Settings = parse("uncommented", &uncommented).unwrap();
    let defaulted: Settings = parse("defaulted", &text).unwrap();
    assert_eq!(format!("{explicit:?}"), format!("{defaulted:?}"));
}

#[test]
fn operator_keys_malformed() {
    let mut settings: Settings = load(Path::new(EXAMPLE)).unwrap();
    for bad in ["anna", "anna:12", ":c9736463"] {
        settings.operators = vec![bad.to_owned()];
        assert!(settings.operator_keys().is_err(), "{bad}");
    }
}
