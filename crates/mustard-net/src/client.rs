//! Calls to other processes of the system.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::http::Method;

use mustard_core::ids::Incarnation;
use mustard_proto::{Envelope, Message, codec};

use crate::errors::{CallError, Result};
use crate::http::{self, HttpClient, Request};
use crate::process::Process;
use crate::traffic;

/// Sends messages to other processes.
///
/// Each worker thread has its own client with its own connection pool.
#[derive(Clone)]
pub struct MessageClient {
    http: Rc<HttpClient>,
    process: Arc<Process>,
}

impl MessageClient {
    /// Creates a client for the calling thread.
    pub fn new(process: Arc<Process>) -> Self {
        MessageClient {
            http: Rc::new(http::new_client()),
            process,
        }
    }

    /// Returns the underlying HTTP client, for requests to outside systems.
    pub fn http(&self) -> &HttpClient {
        &self.http
    }

    /// Returns the identity of the process that this client sends for.
    pub fn process(&self) -> &Arc<Process> {
        &self.process
    }

    /// Sends a message and waits for its answer.
    ///
    /// `incarnation` is the one that the receiver must have; zero accepts any. `timeout` limits
    /// the whole exchange. The message and its answer carry the clock and the newest catalogue
    /// change of their senders, which the receivers merge into their own.
    ///
    /// # Errors
    ///
    /// [`CallError::execution`] returns whether the receiver may have acted on the message.
    pub async fn call<M: Message>(
        &self,
        to: SocketAddr,
        incarnation: Incarnation,
        message: M,
        timeout: Duration,
    ) -> Result<M::Answer> {
        let envelope = Envelope::new(self.process.header(incarnation), message);
        let body = codec::encode(&envelope)?;
        traffic::count_sent(M::PATH, body.len());
        let request = Request {
            to,
            method: Method::POST,
            path: M::PATH,
            content_type: codec::MEDIA_TYPE,
            headers: &[],
            body,
            timeout,
        };
        let answer = http::exchange(&self.http, request).await?;
        traffic::count_received(M::PATH, answer.body.len());
        if answer.status != 200 {
            return Err(CallError::Status(answer.status));
        }
        let reply = codec::decode_reply::<M::Answer>(&answer.body)?;
        self.process.observe(reply.at, reply.seq);
        reply.result.map_err(CallError::Refused)
    }
}
