//! Cutting a stream of bytes into whole events.

use mustard_gateway::forward::Frames;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nweight-versions: 2\nid: 2\ndata: b\ndata: c\r\n\r\ndata: d\n\n";

/// However the bytes are cut on the way, the events are the same.
#[test]
fn take_any_cut() {
    for size in 1..STREAM.len() {
        let mut frames = Frames::default();
        let mut seen = Vec::new();
        for chunk in STREAM.chunks(size) {
            assert!(!frames.push(chunk));
            while let Some(frame) = frames.take() {
                seen.push(frame);
            }
        }
        assert!(frames.is_empty(), "cut {size}");
        let ids: Vec<_> = seen.iter().map(|f| f.id).collect();
        assert_eq!(ids, [Some(1), Some(2), None], "cut {size}");
        let bytes: Vec<u8> = seen.iter().flat_map(|f| f.bytes.to_vec()).collect();
        assert_eq!(bytes, STREAM, "cut {size}");
    }
}

#[test]
fn take_half_event() {
    let mut frames = Frames::default();
    frames.push(b"id: 1\ndata: a\n");
    assert_eq!(frames.take(), None);
    assert!(!frames.is_empty());
}

#[test]
fn push_endless_event() {
    let mut frames = Frames::default();
    let grown = (0..1_000).any(|_| frames.push(&[b'x'; 1_024]));
    assert!(grown);
}
