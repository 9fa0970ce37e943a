//! Tests that the history of a request is collected from log lines.
#![allow(clippy::unwrap_used)]

use mustardctl::trace::{LogLine, TraceLine, collect_trace};

/// Lines of two gateways, not in order of time; the first has the prefix of a log collector.
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

fn trace_of(request: &str) -> Vec<TraceLine> {
    collect_trace(request, LOG.lines().filter_map(LogLine::parse).collect())
}

#[test]
fn collect_trace_in_order_of_time() {
    let trace = trace_of("aa");
    let lines: Vec<(&str, &str, bool)> = trace
        .iter()
        .map(|l| {
            (
                l.line.process.as_str(),
                l.line.message.as_str(),
                l.about_request,
            )
        })
        .collect();
    assert_eq!(
        lines,
        [
            ("front-1", "store: The table is out of reach.", false),
            ("front-1", "request: Path chosen.", true),
            ("front-2", "watch: A server doesn't answer.", false),
            ("front-1", "request: An attempt failed.", true),
            ("front-1", "request: Answered by the gateway itself.", true),
        ]
    );
    assert_eq!(trace[4].line.details(), "status=502");
}

#[test]
fn collect_trace_unknown_request() {
    assert!(trace_of("cc").is_empty());
}

#[test]
fn parse_broken_lines() {
    for text in ["", "{", r#"{"msg":"x"}"#, r#"{"msg":"x","ts":"yesterday"}"#] {
        assert_eq!(LogLine::parse(text), None, "{text}");
    }
}

#[test]
fn parse_any_text() {
    bolero::check!().with_type::<String>().for_each(|text| {
        let _ = LogLine::parse(text);
    });
}
