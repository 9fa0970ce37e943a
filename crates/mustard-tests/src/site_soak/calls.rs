//! Callers of a soak, and what they hold an answer against.

use std::io::Read;
use std::net::SocketAddr;

use mustard_fakes::site::{HOST, KEY};

use crate::http::Ask;

/// What a caller saw of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Seen {
    /// No head of an answer came.
    Nothing,
    /// An answer came; `whole` tells whether its body came to its end.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The body as far as it came.
        text: String,
        /// Whether it came to its end.
        whole: bool,
    },
}

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// A stream, which may go on elsewhere.
    Draft,
    /// A call that runs once at most.
    Booking,
    /// A read.
    Status,
}

impl Kind {
    /// Sends a request of this kind and reads its answer.
    pub(super) fn send(self, to: SocketAddr, id: &str) -> Seen {
        let ask = match self {
            Kind::Draft => Ask::post(to, "/draft/x", "{}").with("token-count", "100,80"),
            Kind::Booking => Ask::post(to, "/book/x", "{}"),
            Kind::Status => Ask::get(to, "/status/x"),
        };
        let ask = ask.bearer(KEY).with("host", HOST).with("attempt-id", id);
        let Ok(mut response) = ask.with("time-budget-ms", "7000").open() else {
            return Seen::Nothing;
        };
        let mut bytes = Vec::new();
        let end = response.body_mut().as_reader().read_to_end(&mut bytes);
        Seen::Answer {
            status: response.status().as_u16(),
            text: String::from_utf8_lossy(&bytes).into_owned(),
            whole: end.is_ok(),
        }
    }

    /// Returns what is wrong with an answer, if anything is.
    pub(super) fn fault(self, id: &str, seen: &Seen, events: u64) -> Option<String> {
        let Seen::Answer {
            status,
            text,
            whole,
        } = seen
        else {
            return None;
        };
        let wanted = match self {
            Kind::Draft => stream_text(id, events),
            Kind::Booking | Kind::Status => format!("done {id}"),
        };
        match (*status, *whole) {
            (200, true) if *text != wanted => Some(format!("{self:?} {id}: another body: {text}")),
            (200, false) if !wanted.starts_with(text.as_str()) => {
                Some(format!("{self:?} {id}: not the start of its body: {text}"))
            }
            (200, _) | (408 | 421 | 429 | 500 | 502 | 503 | 504, _) => None,
            (status, _) => Some(format!(
                "{self:?} {id}: status {status} for a proper request"
            )),
        }
    }
}

/// Returns the text of a whole stream.
pub fn stream_text(id: &str, events: u64) -> String {
    let event = |n| format!("id: {n}\ndata: piece {n} of {id}\n\n");
    (1..=events).map(event).collect()
}

/// Tells whether a status promises that the request has not run and never will.
pub(super) fn says_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
