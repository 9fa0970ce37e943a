//! Calls of another process of the system.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::client::Client as HttpClient;
use ntex::http::Method;

use mustard_core::ids::Incarnation;
use mustard_proto::{Envelope, Message, codec};

use crate::errors::{CallError, Result};
use crate::http::{self, Request};
use crate::process::Process;
use crate::traffic;

/// Sends messages; each worker thread has its own with its own connections.
#[derive(Clone)]
pub struct Client {
    http: Rc<HttpClient>,
    process: Arc<Process>,
}

impl Client {
    /// Creates a client for the calling thread.
    pub async fn new(process: Arc<Process>) -> Self {
        Client {
            http: Rc::new(http::new_client().await),
            process,
        }
    }

    /// Returns the underlying HTTP client, for outside systems.
    pub fn http(&self) -> &HttpClient {
        &self.http
    }

    /// Returns the process that this client belongs to.
    pub fn process(&self) -> &Arc<Process> {
        &self.process
    }

    /// Sends a message and waits for its answer.
    ///
    /// The sender's clock and newest catalogue change go with the message, and those of the
    /// answer are taken in.
    ///
    /// # Errors
    ///
    /// [`CallError::ran`] tells whether the receiver may have acted.
    pub async fn call<M: Message>(
        &self,
        to: SocketAddr,
        life: Incarnation,
        message: M,
        limit: Duration,
    ) -> Result<M::Answer> {
        let envelope = Envelope::new(self.process.head(life), message);
        let body = codec::encode(&envelope)?;
        traffic::count_out(M::PATH, body.len());
        let request = Request {
            to,
            method: Method::POST,
            path: M::PATH,
            content_type: codec::MEDIA_TYPE,
            headers: &[],
            body,
            limit,
        };
        let answer = http::exchange(&self.http, request).await?;
        traffic::count_in(M::PATH, answer.body.len());
        if answer.status != 200 {
            return Err(CallError::Status(answer.status));
        }
        let reply = codec::decode_reply::<M::Answer>(&answer.body)?;
        self.process.observe(reply.at, reply.seq);
        reply.result.map_err(CallError::Refused)
    }
}
