//! The requests of a soak's callers and the checks of their answers.

use std::io::Read;
use std::net::SocketAddr;

use mustard_fakes::site::{API_KEY, HOST, POISON, SEGMENTS_HEADER};

use crate::http::HttpRequest;

/// The number of second segments that the prompts of drafts have in turn.
const SUBJECTS: u64 = 5;

/// The result of one request as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallResult {
    /// No response head arrived.
    Nothing,
    /// A response head arrived.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The body as far as it arrived.
        text: String,
        /// Whether the body arrived completely.
        whole: bool,
    },
}

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// A stream, which may continue on another server.
    Draft,
    /// A call that must run at most once.
    Booking,
    /// A read, which may be repeated.
    Status,
}

impl RequestKind {
    /// Sends a request of this kind and reads its answer.
    pub(super) fn send(self, to: SocketAddr, id: &str) -> CallResult {
        self.send_with_segments(to, id, "")
    }

    /// Sends a request of this kind whose prompt has the usual segments and, unless it is empty, a
    /// further one that other prompts share.
    pub(super) fn send_with_segments(self, to: SocketAddr, id: &str, segment: &str) -> CallResult {
        // The id ends with a number.
        let number: u64 = id.rsplit('-').next().map_or(0, |n| n.parse().unwrap_or(0));
        let further = if segment.is_empty() {
            String::new()
        } else {
            format!("{segment}:30,")
        };
        let subject = number % SUBJECTS;
        let segments = format!("aa01:40,bb{subject:02}:20,{further}{number:x}:10");
        self.send_to_path(to, "x", id, API_KEY, Some(&segments))
    }

    /// Sends a request of this kind under another API key.
    pub(super) fn send_with_key(self, to: SocketAddr, id: &str, key: &str) -> CallResult {
        self.send_to_path(to, "x", id, key, None)
    }

    /// Sends a request of this kind with a poison content.
    pub(super) fn send_poison(self, to: SocketAddr, id: &str) {
        // Whatever the answer is, only the servers that it reaches matter.
        let _ = self.send_to_path(to, POISON, id, API_KEY, None);
    }

    fn send_to_path(
        self,
        to: SocketAddr,
        name: &str,
        id: &str,
        key: &str,
        segments: Option<&str>,
    ) -> CallResult {
        let request = match self {
            RequestKind::Draft => {
                let draft = HttpRequest::post(to, format!("/draft/{name}"), "{}");
                let draft = draft.header("token-count", "100,80");
                match segments {
                    Some(segments) => draft.header(SEGMENTS_HEADER, segments),
                    None => draft,
                }
            }
            RequestKind::Booking => HttpRequest::post(to, format!("/book/{name}"), "{}"),
            RequestKind::Status => HttpRequest::get(to, format!("/status/{name}")),
        };
        let request = request
            .bearer(key)
            .header("host", HOST)
            .header("attempt-id", id);
        let Ok(mut response) = request.header("time-budget-ms", "7000").open_response() else {
            return CallResult::Nothing;
        };
        let mut bytes = Vec::new();
        let read_end = response.body_mut().as_reader().read_to_end(&mut bytes);
        CallResult::Answer {
            status: response.status().as_u16(),
            text: String::from_utf8_lossy(&bytes).into_owned(),
            whole: read_end.is_ok(),
        }
    }

    /// Returns a description of what is wrong with an answer; `None` if it is allowed.
    pub(super) fn find_violation(
        self,
        id: &str,
        result: &CallResult,
        events: u64,
    ) -> Option<String> {
        let CallResult::Answer {
            status,
            text,
            whole,
        } = result
        else {
            return None;
        };
        let expected = match self {
            RequestKind::Draft => stream_text(id, events),
            RequestKind::Booking | RequestKind::Status => format!("done {id}"),
        };
        match (*status, *whole) {
            (200, true) if *text != expected => {
                Some(format!("{self:?} {id}: another body: {text}"))
            }
            (200, false) if !expected.starts_with(text.as_str()) => {
                Some(format!("{self:?} {id}: not the start of its body: {text}"))
            }
            (200, _) | (408 | 421 | 429 | 500 | 502 | 503 | 504, _) => None,
            (status, _) => Some(format!(
                "{self:?} {id}: status {status} for a proper request"
            )),
        }
    }
}

/// Returns the text of a complete stream of `events` events.
pub fn stream_text(id: &str, events: u64) -> String {
    let event = |n| format!("id: {n}\ndata: piece {n} of {id}\n\n");
    (1..=events).map(event).collect()
}

/// Tells whether a status guarantees that the request has not run and never will.
pub(super) fn means_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
