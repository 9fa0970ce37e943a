//! Cuts a stream of server-sent events into whole events.

use ntex::util::{Bytes, BytesMut};

/// The largest event that is kept while the rest of it arrives, in bytes.
const MAX_EVENT: usize = 256 * 1024;
const ID_FIELD: &[u8] = b"id:";

/// A whole event with its bytes as they came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The event's id, if it has one.
    pub id: Option<u64>,
    /// The bytes, with the empty line that ends the event.
    pub bytes: Bytes,
}

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct Frames {
    buffer: BytesMut,
}

impl Frames {
    /// Adds bytes; tells whether an event has grown too large.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() > MAX_EVENT
    }

    /// Takes the next whole event.
    pub fn take(&mut self) -> Option<Frame> {
        let end = end_of_event(&self.buffer)?;
        let bytes = self.buffer.split_to(end);
        Some(Frame {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Tells whether a part of an event is left.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Returns the length of the first event with its empty line.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(offset) = bytes[start..].iter().position(|&b| b == b'\n') {
        let line = &bytes[start..start + offset];
        start += offset + 1;
        if line.is_empty() || line == b"\r" {
            return Some(start);
        }
    }
    None
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|&b| b == b'\n');
    let mut fields = lines.filter_map(|l| l.strip_prefix(ID_FIELD));
    let value = std::str::from_utf8(fields.next()?).ok()?;
    value.trim().parse().ok()
}
