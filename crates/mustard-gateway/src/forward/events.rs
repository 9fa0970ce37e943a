//! Splits a byte stream of server-sent events into complete events.

use std::collections::VecDeque;
use std::time::Duration;

use ntex::util::{Bytes, BytesMut};

use mustard_core::clock::Moment;

/// The most bytes that are buffered while the rest of an event arrives.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// How long an event may take to arrive.
const MAX_EVENT_TIME: Duration = Duration::from_secs(2);
const ID_FIELD: &[u8] = b"id:";
const DATA_FIELD: &[u8] = b"data";

/// A complete event with its bytes as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event's id; `None` without an `id` field or if it isn't a number.
    pub id: Option<u64>,
    /// Whether it has a `data` field; one of comments only has none.
    pub has_data: bool,
    /// The bytes, including the empty line that ends the event.
    pub bytes: Bytes,
}

/// The complete events that can be forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakenEvents {
    /// The bytes of the events.
    pub bytes: Bytes,
    /// Whether the stream goes on with them. Comments, empty events and, in a stream of numbered
    /// events, those without a number come also from a server that makes no progress.
    pub has_progress: bool,
    /// What is wrong with the first event that can't be forwarded.
    pub fault: Option<&'static str>,
}

/// A complete event at the begin of what is buffered.
#[derive(Clone, Copy, Debug)]
struct BufferedEvent {
    /// Its length, including its empty line.
    len: usize,
    /// Whether it has an id or data.
    has_content: bool,
}

/// Buffers bytes until an event is complete. Each byte is searched once, however small the pieces are in which
/// the bytes arrive.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: BytesMut,
    /// The complete events.
    events: VecDeque<BufferedEvent>,
    /// The number of complete events with an id or data.
    with_content: usize,
    /// Where the event that is incomplete begins.
    event_start: usize,
    /// Where the line that is incomplete begins.
    line_start: usize,
    /// When the first byte of the event that is incomplete arrived.
    begun: Option<Moment>,
}

impl EventParser {
    /// Adds bytes that arrived now. Returns true on failure: an event is too large, or hasn't ended
    /// within [`MAX_EVENT_TIME`].
    pub fn push(&mut self, now: Moment, bytes: &[u8]) -> bool {
        let searched = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        self.find_events(searched);
        let begun = *self.begun.get_or_insert(now);
        let is_late = now.since(begun) > MAX_EVENT_TIME && self.events.is_empty();
        is_late || self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Finds the events that end in the bytes from `searched` on.
    fn find_events(&mut self, searched: usize) {
        let mut next = searched;
        while let Some(offset) = self.buffer[next..].iter().position(|&b| b == b'\n') {
            let line_end = next + offset;
            next = line_end + 1;
            let line = &self.buffer[self.line_start..line_end];
            self.line_start = next;
            if !line.is_empty() && line != b"\r" {
                continue;
            }
            let event = &self.buffer[self.event_start..next];
            let has_content = parse_id(event).is_some() || has_data(event);
            self.events.push_back(BufferedEvent {
                len: event.len(),
                has_content,
            });
            self.with_content += usize::from(has_content);
            self.event_start = next;
        }
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let event = self.events.pop_front()?;
        let bytes = self.buffer.split_to(event.len);
        self.event_start -= event.len;
        self.line_start -= event.len;
        self.with_content -= usize::from(event.has_content);
        self.begun = None;
        Some(Event {
            id: parse_id(&bytes),
            has_data: has_data(&bytes),
            bytes,
        })
    }

    /// Removes the complete events and returns those that follow `last_event`, the id of the last one
    /// sent, which is updated.
    pub fn take_events(&mut self, last_event: &mut Option<u64>) -> TakenEvents {
        let mut out = BytesMut::new();
        let mut has_progress = false;
        let mut fault = None;
        while let Some(event) = self.next_event() {
            if let (Some(id), Some(previous)) = (event.id, *last_event) {
                // A resumed attempt may repeat events that the previous attempt delivered meanwhile.
                if id <= previous {
                    continue;
                }
                if id != previous + 1 {
                    fault = Some("event out of order");
                    break;
                }
            }
            has_progress |= event.id.is_some() || (event.has_data && last_event.is_none());
            *last_event = event.id.or(*last_event);
            out.extend_from_slice(&event.bytes);
        }
        TakenEvents {
            bytes: out.freeze(),
            has_progress,
            fault,
        }
    }

    /// Returns whether a complete event with an id or data is buffered.
    pub fn has_event(&self) -> bool {
        self.with_content > 0
    }

    /// Returns whether no bytes are buffered, thus no incomplete event.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

fn has_data(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|&b| b == b'\n');
    lines.any(|l| l.starts_with(DATA_FIELD))
}

/// Returns the value of the first `id` field; `None` if there is none or it isn't a number.
fn parse_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|&b| b == b'\n');
    let mut fields = lines.filter_map(|l| l.strip_prefix(ID_FIELD));
    let value = std::str::from_utf8(fields.next()?).ok()?;
    value.trim().parse().ok()
}
