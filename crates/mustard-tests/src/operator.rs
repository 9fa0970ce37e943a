//! An operator's client.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use mustard_core::catalogue::{Entry, Op, Snapshot};
use mustard_core::ids::{Revision, Seq};

use mustard_proto::admin::Status;

use crate::errors::{Result, TestError};
use crate::http::{Answer, Ask};

/// An operator's client of one entry process.
#[derive(Clone, Debug)]
pub struct Operator {
    to: SocketAddr,
    key: String,
}

/// A change to be made.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct NewChange {
    /// Makes the change safe to send again.
    pub id: String,
    /// The revision that it is made against.
    pub expected: Revision,
    /// What it does.
    pub op: Op,
}

/// An accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Accepted {
    /// Its place in the order of all changes.
    pub seq: Seq,
    /// The revision that it made.
    pub revision: Revision,
}

impl Operator {
    /// Creates a client with an operator's key.
    pub fn new(to: SocketAddr, key: &str) -> Self {
        Operator {
            to,
            key: key.to_owned(),
        }
    }

    /// Returns the catalogue in force at the process.
    pub fn catalogue(&self) -> Result<Snapshot> {
        self.get("/admin/catalogue")?.json()
    }

    /// Returns what the process knows of all processes.
    pub fn status(&self) -> Result<Status> {
        self.get("/admin/status")?.json()
    }

    /// Sends a change and returns the answer as it is.
    pub fn send(&self, change: &NewChange) -> Result<Answer> {
        let body = serde_json::to_string(change)?;
        self.post("/admin/catalogue/changes", body)
    }

    /// Adds an entry or replaces the version in force.
    pub fn put(&self, entry: &Entry, expected: u64) -> Result<Accepted> {
        self.change(Op::Put(entry.clone()), expected)
    }

    /// Retires an entry.
    pub fn retire(&self, name: &str, expected: u64) -> Result<Accepted> {
        self.change(Op::Retire(name.to_owned()), expected)
    }

    fn change(&self, op: Op, expected: u64) -> Result<Accepted> {
        let change = NewChange {
            id: mustard_core::ids::RequestId::random().to_string(),
            expected: Revision(expected),
            op,
        };
        let answer = self.send(&change)?;
        match answer.status {
            200 => answer.json(),
            status => Err(TestError::Refused {
                status,
                body: answer.body,
            }),
        }
    }

    /// Tells the agent of a VM to take no new work, or to take it again.
    pub fn drain(&self, vm: &str, leave: bool) -> Result<Answer> {
        let path = format!("/admin/agents/{vm}/drain");
        self.post(&path, format!("{{\"leave\":{leave}}}"))
    }

    /// Reads a path of the operators' interface.
    pub fn get(&self, path: &str) -> Result<Answer> {
        Ask::get(self.to, path).bearer(&self.key).send()
    }

    /// Writes to a path of the operators' interface.
    pub fn post(&self, path: &str, body: impl Into<String>) -> Result<Answer> {
        Ask::post(self.to, path, body).bearer(&self.key).send()
    }
}
