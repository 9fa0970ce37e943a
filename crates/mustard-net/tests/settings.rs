//! A settings file is checked completely, and the error names each invalid key.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use serde::Deserialize;

use mustard_net::settings::{Field, Settings, SettingsError, ValueKind, parse};

#[derive(Debug, Deserialize)]
struct Sample {
    listen: SocketAddr,
    grace: Grace,
}

#[derive(Debug, Deserialize)]
struct Grace {
    stop_ms: u64,
}

impl Settings for Sample {
    const FIELDS: &'static [Field] = &[
        Field::required("listen", ValueKind::Addr),
        Field::required("grace.stop_ms", ValueKind::Int(0, 600_000)),
        Field::optional("format", ValueKind::OneOf(&["json", "terminal"])),
    ];
}

#[test]
fn parse_whole_file() {
    let text = "listen = \"127.0.0.1:80\"\nformat = \"json\"\n[grace]\nstop_ms = 5\n";
    let sample: Sample = parse("a.toml", text).unwrap();
    assert_eq!(sample.listen.port(), 80);
    assert_eq!(sample.grace.stop_ms, 5);
}

#[test]
fn parse_lists_every_error() {
    let text = "listne = \"127.0.0.1:80\"\nformat = \"xml\"\n[grace]\nstop_ms = -1\n";
    let error = parse::<Sample>("a.toml", text).unwrap_err().to_string();
    for line in [
        "a.toml: key \"listne\" is not known, the nearest known key is \"listen\"",
        "a.toml: key \"format\" holds \"xml\", allowed: one of json, terminal",
        "a.toml: key \"grace.stop_ms\" holds -1, allowed: a whole number from 0 to 600000",
        "a.toml: key \"listen\" is missing, allowed: an IP address with a port",
    ] {
        assert!(error.contains(line), "{line:?} is not in:\n{error}");
    }
    assert_eq!(error.lines().count(), 4);
}

#[test]
fn parse_bad_syntax() {
    let error = parse::<Sample>("a.toml", "listen = ").unwrap_err();
    assert!(matches!(error, SettingsError::Syntax { .. }));
}
