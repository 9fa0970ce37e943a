//! Tests of the story that is told from log lines.
#![allow(clippy::unwrap_used)]

use mustardctl::story::{Event, Line, tell};

/// Lines of two gateways, not in order, with a collector's prefix before some.
const LOG: &str = r#"
  12.300 front-1 {"msg":"request: An attempt failed.","level":"INFO","ts":"2026-04-30T04:55:12.3Z","process":"front-1","server":"10.0.0.7:8000","cause":"lost","request":"aa"}
{"msg":"watch: A server doesn't answer.","level":"WARN","ts":"2026-04-30T04:55:12.25Z","process":"front-2","server":"10.0.0.7:8000"}
{"msg":"request: Path chosen.","level":"INFO","ts":"2026-04-30T04:55:12.1971258Z","process":"front-1","first":"10.0.0.8:8000","servers":"10.0.0.7:8000/20..40","request":"aa"}
{"msg":"request: Path chosen.","level":"INFO","ts":"2026-04-30T04:55:12.2Z","process":"front-1","servers":"10.0.0.7:8000","request":"bb"}
{"msg":"watch: A server doesn't answer.","level":"WARN","ts":"2026-04-30T04:55:12.25Z","process":"front-2","server":"10.0.0.9:8000"}
{"msg":"store: The table is out of reach.","level":"WARN","ts":"2026-04-30T04:55:11.5Z","process":"front-1","table":"Servers"}
{"msg":"store: The table is out of reach.","level":"WARN","ts":"2026-04-30T04:55:11.5Z","process":"front-2","table":"Servers"}
{"msg":"placement: A server was ordered to hold layers.","level":"INFO","ts":"2026-04-30T04:50:12Z","process":"front-2","server":"10.0.0.7:8000"}
no log line
{"msg":"request: Answered by the gateway itself.","level":"INFO","ts":"2026-04-30T06:55:12.31+02:00","process":"front-1","status":502,"retry_after_ms":null,"request":"aa"}
"#;

fn story(request: &str) -> Vec<Event> {
    tell(request, LOG.lines().filter_map(Line::parse).collect())
}

#[test]
fn tell_in_order_of_time() {
    let story = story("aa");
    let seen: Vec<(&str, &str, bool)> = story
        .iter()
        .map(|e| (e.line.process.as_str(), e.line.message.as_str(), e.own))
        .collect();
    assert_eq!(
        seen,
        [
            ("front-1", "store: The table is out of reach.", false),
            ("front-1", "request: Path chosen.", true),
            ("front-2", "watch: A server doesn't answer.", false),
            ("front-1", "request: An attempt failed.", true),
            ("front-1", "request: Answered by the gateway itself.", true),
        ]
    );
    assert_eq!(story[4].line.details(), "status=502");
}

#[test]
fn tell_unknown_request() {
    assert!(story("cc").is_empty());
}

#[test]
fn parse_broken_lines() {
    for text in ["", "{", r#"{"msg":"x"}"#, r#"{"msg":"x","ts":"yesterday"}"#] {
        assert_eq!(Line::parse(text), None, "{text}");
    }
}

#[test]
fn parse_any_text() {
    bolero::check!().with_type::<String>().for_each(|text| {
        let _ = Line::parse(text);
    });
}
