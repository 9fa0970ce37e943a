//! An operator's client.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use mustard_core::catalogue::{Entry, Op, Snapshot};
use mustard_core::ids::{Revision, Seq};

use mustard_proto::admin::Status;

use crate::errors::{Result, TestError};
use crate::http::{Answer, HttpRequest};

/// An operator's client that talks to one entry process.
#[derive(Clone, Debug)]
pub struct Operator {
    addr: SocketAddr,
    key: String,
}

/// A catalogue change to submit.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct NewChange {
    /// The id that makes resending the change idempotent.
    pub id: String,
    /// The revision of the entry that the change is based on; 0 for a new entry.
    pub expected: Revision,
    /// The operation on the catalogue.
    pub op: Op,
}

/// The answer to an accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct AcceptedChange {
    /// The position of the change in the sequence of all changes.
    pub seq: Seq,
    /// The revision of the entry that the change created.
    pub revision: Revision,
}

impl Operator {
    /// Creates a client with an operator's key.
    pub fn new(addr: SocketAddr, key: &str) -> Self {
        Operator {
            addr,
            key: key.to_owned(),
        }
    }

    /// Returns the catalogue that the process applies at present.
    pub fn catalogue(&self) -> Result<Snapshot> {
        self.get("/admin/catalogue")?.json()
    }

    /// Returns the process's view of all entry processes and agents.
    pub fn status(&self) -> Result<Status> {
        self.get("/admin/status")?.json()
    }

    /// Sends a change and returns the answer whatever its status.
    pub fn send_change(&self, change: &NewChange) -> Result<Answer> {
        let body = serde_json::to_string(change)?;
        self.post("/admin/catalogue/changes", body)
    }

    /// Adds an entry or replaces its current version.
    pub fn put(&self, entry: &Entry, expected: u64) -> Result<AcceptedChange> {
        self.change(Op::Put(entry.clone()), expected)
    }

    /// Retires an entry.
    pub fn retire(&self, name: &str, expected: u64) -> Result<AcceptedChange> {
        self.change(Op::Retire(name.to_owned()), expected)
    }

    fn change(&self, op: Op, expected: u64) -> Result<AcceptedChange> {
        let change = NewChange {
            id: mustard_core::ids::RequestId::random().to_string(),
            expected: Revision(expected),
            op,
        };
        let answer = self.send_change(&change)?;
        match answer.status {
            200 => answer.json(),
            status => Err(TestError::Refused {
                status,
                body: answer.body,
            }),
        }
    }

    /// Tells the agent of a VM to stop accepting new work (`leave`), or to accept it again.
    pub fn drain(&self, vm: &str, leave: bool) -> Result<Answer> {
        let path = format!("/admin/agents/{vm}/drain");
        self.post(&path, format!("{{\"leave\":{leave}}}"))
    }

    /// Sends a `GET` to a path of the operators' API.
    pub fn get(&self, path: &str) -> Result<Answer> {
        HttpRequest::get(self.addr, path).bearer(&self.key).send()
    }

    /// Sends a `POST` to a path of the operators' API.
    pub fn post(&self, path: &str, body: impl Into<String>) -> Result<Answer> {
        HttpRequest::post(self.addr, path, body)
            .bearer(&self.key)
            .send()
    }
}
