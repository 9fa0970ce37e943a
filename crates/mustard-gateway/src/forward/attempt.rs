//! One send of a request to one server.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;

use ntex::client::ClientResponse;
use ntex::http::{HeaderMap, Payload};
use ntex::util::{Bytes, BytesMut};

use mustard_adapter::answers::{self, Verdict};
use mustard_adapter::asks::{self, Dispatch};
use mustard_core::deployment::Part;
use mustard_net::CallError;
use mustard_net::http::{MAX_ANSWER, Passed, pass_on};

use crate::app::App;

use super::Job;

/// A server that a request is sent to.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// The address.
    pub addr: SocketAddr,
    /// The identity that the server must have.
    pub identity: String,
    /// The servers that the request crosses; empty for a plain service.
    pub path: Vec<Part>,
    /// How often the path changes the failure domain.
    pub crossings: u32,
}

/// The head of a server's answer.
pub(super) struct Head {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, still to be read.
    pub body: Payload,
}

/// Why a send brought no answer of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Miss {
    /// Nothing was sent.
    NotSent,
    /// The server says that it has not run the request; with the server that it blames.
    NotRun(u16, Option<SocketAddr>),
    /// The request may have run.
    Lost,
    /// The attempt was given up here; the request may have run.
    GivenUp,
}

/// Sends the request and reads the head of the answer.
pub(super) async fn send(
    app: &Rc<App>,
    job: &Job,
    target: &Target,
    last_event: Option<u64>,
) -> Result<Head, Miss> {
    let left = app.now().until(job.deadline);
    let dispatch = Dispatch {
        identity: &target.identity,
        customer: job.customer.as_deref(),
        left: Some(left),
        last_event,
        path: &target.path,
    };
    let passed = Passed {
        to: target.addr,
        method: job.method.clone(),
        path: job.path.clone(),
        headers: asks::forward(&job.headers, &dispatch),
        body: job.body.clone(),
    };
    let response = pass_on(&app.client, passed).await.map_err(|e| match e {
        CallError::NotSent(_) => Miss::NotSent,
        _ => Miss::Lost,
    })?;
    judge(&job.ask.id, &response)
}

fn judge(id: &str, response: &ClientResponse) -> Result<Head, Miss> {
    let status = response.status().as_u16();
    let headers = response.headers();
    match answers::judge(id, status, headers) {
        Verdict::Foreign => Err(Miss::Lost),
        Verdict::NotRun => Err(Miss::NotRun(status, answers::faulty(headers))),
        Verdict::Genuine => Ok(Head {
            status,
            headers: headers.clone(),
            body: response.take_payload(),
        }),
    }
}

/// A piece of a body.
pub(super) enum Piece {
    /// Bytes.
    Bytes(Bytes),
    /// The body is whole.
    End,
    /// The body was cut off or isn't what its head said.
    Broken,
}

impl Head {
    /// Reads the next piece of the body.
    pub(super) async fn piece(&mut self) -> Piece {
        match poll_fn(|cx| self.body.poll_recv(cx)).await {
            Some(Ok(bytes)) => Piece::Bytes(bytes),
            None => Piece::End,
            Some(Err(_)) => Piece::Broken,
        }
    }

    /// Reads the whole body.
    pub(super) async fn whole(&mut self) -> Result<Bytes, Miss> {
        let mut body = BytesMut::new();
        loop {
            match self.piece().await {
                Piece::Bytes(bytes) if body.len() + bytes.len() <= MAX_ANSWER => {
                    body.extend_from_slice(&bytes);
                }
                Piece::End => return Ok(body.freeze()),
                Piece::Bytes(_) | Piece::Broken => return Err(Miss::Lost),
            }
        }
    }
}
