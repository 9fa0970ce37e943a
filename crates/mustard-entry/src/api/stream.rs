//! The server-sent events of one completion request, and detection of a caller that disconnects.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use ntex::util::{Bytes, Stream};
use serde::Serialize;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use mustard_net::shutdown::RequestGuard;

/// The event that ends a complete stream.
pub const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Sends events to the body of a response.
#[derive(Clone, Debug)]
pub struct EventSender {
    sender: UnboundedSender<Bytes>,
}

/// The body of a response; dropping it closes the channel, which tells the sender that the caller
/// is gone.
#[derive(Debug)]
pub struct EventBody {
    // Counts the request as running until its last event is written.
    _guard: RequestGuard,
    receiver: UnboundedReceiver<Bytes>,
}

/// Creates the sender and the response body of a stream of events.
///
/// The channel is unbounded; a request's token limit bounds the number of events.
pub fn event_stream(guard: RequestGuard) -> (EventSender, EventBody) {
    let (sender, receiver) = unbounded_channel();
    let body = EventBody {
        _guard: guard,
        receiver,
    };
    (EventSender { sender }, body)
}

impl EventSender {
    /// Sends one event with a JSON value.
    pub fn send(&self, value: &impl Serialize) {
        let text = serde_json::to_string(value).unwrap_or_default();
        let _ = self.sender.send(Bytes::from(format!("data: {text}\n\n")));
    }

    /// Sends the event that ends a complete stream.
    pub fn send_done(&self) {
        let _ = self.sender.send(Bytes::from(DONE_EVENT));
    }

    /// Waits until the response body is dropped, as it is when the caller disconnects.
    pub async fn wait_closed(&self) {
        self.sender.closed().await;
    }
}

impl Stream for EventBody {
    type Item = Result<Bytes, Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.receiver.poll_recv(cx).map(|item| item.map(Ok))
    }
}
