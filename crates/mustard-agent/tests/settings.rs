//! The example settings load, and errors name the key that is misspelled or missing.
#![allow(clippy::unwrap_used)]

use std::path::Path;

use mustard_agent::settings::{AgentSettings, ClaimSettings, ServerKind, SessionSettings};
use mustard_net::settings::{SettingsError, load, parse};

fn load_example(name: &str) -> AgentSettings {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/config");
    load(&dir.join(name)).unwrap()
}

#[test]
fn load_examples() {
    let stage = load_example("agent-stage.toml");
    assert_eq!(stage.kind, ServerKind::Engine);
    assert_eq!(stage.session, SessionSettings::default());
    let service = load_example("agent-service.toml");
    assert_eq!(service.kind, ServerKind::Service);
    assert_eq!(service.claims, ClaimSettings::default());
}

#[test]
fn parse_names_misspelled_and_missing_keys() {
    let text = "vm = 'a'\ndomain = 'd'\nlisten = '127.0.0.1:0'\nkind = 'service'\n\
                server = '127.0.0.1:1'\ntable = '127.0.0.1:2'\nworker = 3\n";
    let error = parse::<AgentSettings>("f", text).unwrap_err();
    assert!(error.to_string().contains("\"workers\""), "{error}");
    let error = parse::<AgentSettings>("f", &text.replace("worker = 3\n", "")).unwrap_err();
    assert!(matches!(&error, SettingsError::InvalidKeys { errors, .. } if errors.len() == 1));
    assert!(
        error.to_string().contains("\"service\" is missing"),
        "{error}"
    );
}
