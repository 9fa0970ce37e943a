//! Server-sent events of one draft, and the sign that their reader is gone.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use ntex::util::{Bytes, Stream};
use serde::Serialize;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use mustard_net::shutdown::Pass;

/// The last event of a whole stream.
pub const DONE: &str = "data: [DONE]\n\n";

/// Sends events to the body of an answer.
#[derive(Clone, Debug)]
pub struct Events {
    sender: UnboundedSender<Bytes>,
}

/// The body of an answer; dropping it tells the sender that the reader is gone.
#[derive(Debug)]
pub struct EventBody {
    // The request counts as running until its last event is written.
    _pass: Pass,
    receiver: UnboundedReceiver<Bytes>,
}

/// Creates both ends of a stream of events.
///
/// The number of events is bounded by the tokens that the request may generate.
pub fn channel(pass: Pass) -> (Events, EventBody) {
    let (sender, receiver) = unbounded_channel();
    let body = EventBody {
        _pass: pass,
        receiver,
    };
    (Events { sender }, body)
}

impl Events {
    /// Sends one event.
    pub fn send(&self, value: &impl Serialize) {
        let text = serde_json::to_string(value).unwrap_or_default();
        let _ = self.sender.send(Bytes::from(format!("data: {text}\n\n")));
    }

    /// Sends the last event of a whole stream.
    pub fn done(&self) {
        let _ = self.sender.send(Bytes::from(DONE));
    }

    /// Waits until the reader is gone.
    pub async fn gone(&self) {
        self.sender.closed().await;
    }
}

impl Stream for EventBody {
    type Item = Result<Bytes, Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.receiver.poll_recv(cx).map(|item| item.map(Ok))
    }
}
