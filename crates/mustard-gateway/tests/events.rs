//! Parsing a byte stream of server-sent events into complete events.

use std::time::{Duration, Instant};

use mustard_core::clock::Moment;
use mustard_gateway::forward::EventParser;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nweight-versions: 2\nid: 2\ndata: b\ndata: c\r\n\r\ndata: d\n\n";

/// The events are the same for every size of the chunks that the bytes arrive in.
#[test]
fn next_event_any_cut() {
    for size in 1..STREAM.len() {
        let mut parser = EventParser::default();
        let mut seen = Vec::new();
        for chunk in STREAM.chunks(size) {
            // `push` returns true only if an event is too large.
            assert!(!parser.push(Moment::default(), chunk));
            while let Some(event) = parser.next_event() {
                seen.push(event);
            }
        }
        assert!(parser.is_empty(), "cut {size}");
        let ids: Vec<_> = seen.iter().map(|e| e.id).collect();
        assert_eq!(ids, [Some(1), Some(2), None], "cut {size}");
        let bytes: Vec<u8> = seen.iter().flat_map(|e| e.bytes.to_vec()).collect();
        assert_eq!(bytes, STREAM, "cut {size}");
    }
}

#[test]
fn next_event_half_event() {
    let mut parser = EventParser::default();
    parser.push(Moment::default(), b"id: 1\ndata: a\n");
    assert_eq!(parser.next_event(), None);
    assert!(!parser.is_empty());
}

#[test]
fn push_endless_event() {
    let mut parser = EventParser::default();
    let too_large = (0..1_000).any(|_| parser.push(Moment::default(), &[b'x'; 1_024]));
    assert!(too_large);
}

/// Guards against an event that comes so slowly that it never ends.
#[test]
fn push_slow_event() {
    let mut parser = EventParser::default();
    let at = |ms: u64| Moment::from_millis(10_000 + ms);
    assert!(!parser.push(at(0), b"id: 1\ndata: a"));
    assert!(!parser.push(at(1_900), b"b"));
    assert!(!parser.push(at(2_100), b"\n\nid: 2"), "the event has ended");
    assert_eq!(parser.next_event().unwrap().id, Some(1));
    assert!(!parser.push(at(4_000), b"\n"));
    assert!(parser.push(at(6_100), b"data"));
}

/// A stalled server sends a comment, an empty event or an event without a number now and then. Guards
/// against a stream that never ends, as each of these counts as progress.
#[test]
fn take_events_no_progress() {
    let mut parser = EventParser::default();
    let mut last = None;
    let mut take = |bytes: &[u8]| {
        parser.push(Moment::default(), bytes);
        parser.take_events(&mut last)
    };
    assert!(!take(b": wait\n\n").has_progress, "before the first event");
    assert!(take(b"id: 1\ndata: a\n\n").has_progress);
    for idle in [
        &b": wait\n\n"[..],
        b"\n",
        b"\r\n",
        b"event: ping\n\n",
        b"data:\n\n",
    ] {
        let taken = take(idle);
        assert_eq!(&taken.bytes[..], idle, "passed on as it came");
        assert!(!taken.has_progress, "{idle:?}");
        assert_eq!(taken.fault, None);
    }
    assert!(!take(b"id: 1\ndata: a\n\n").has_progress, "repeated");
    assert!(take(b"id: 2\ndata: b\n\n").has_progress);
}

/// A stream without numbers goes on with each event that has data.
#[test]
fn take_events_unnumbered() {
    let mut parser = EventParser::default();
    let mut last = None;
    parser.push(Moment::default(), b"data: a\n\n");
    assert!(parser.take_events(&mut last).has_progress);
    parser.push(Moment::default(), b": wait\n\n");
    assert!(!parser.take_events(&mut last).has_progress);
}

/// Guards against a comment or the begin of an event counting as the first event of a stream.
#[test]
fn has_event_comment_before() {
    let mut parser = EventParser::default();
    let now = Moment::from_millis(1);
    for (bytes, has_event) in [
        (&b": ping\n\n"[..], false),
        (b"id: 1\ndata: a", false),
        (b"\n\n", true),
    ] {
        assert!(!parser.push(now, bytes));
        assert_eq!(parser.has_event(), has_event);
    }
    let taken = parser.take_events(&mut None);
    assert_eq!(&taken.bytes[..], b": ping\n\nid: 1\ndata: a\n\n");
    assert!(!parser.has_event());
}

/// Returns the time to parse an event without an end that comes in pieces of eight bytes, the shortest of some runs.
fn parse_time(bytes: usize) -> Duration {
    let run = |_| {
        let mut parser = EventParser::default();
        let begun = Instant::now();
        for _ in 0..bytes / 8 {
            assert!(!parser.push(Moment::default(), b"aaaaaaaa"));
            assert!(!parser.has_event());
            assert!(parser.take_events(&mut None).bytes.is_empty());
        }
        begun.elapsed()
    };
    (0..5).map(run).min().unwrap_or_default()
}

/// Guards against work for each byte that grows with what came before: a server that sends an event without an end in
/// small pieces would keep the gateway from the requests of others.
#[test]
fn push_small_pieces() {
    let (short, long) = (parse_time(8 * 1_024), parse_time(256 * 1_024));
    // Linear work takes 32 times as long, quadratic work 1,024 times.
    assert!(long < short * 128, "{short:?}, {long:?}");
}
