//! The platform's services in one process: table, objects, weights and the list of VMs.

mod pace;
mod vms;

use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;
use ntex::http::Method;
use tokio::time;

use mustard_platform::http::{ReadKeys, ScanKeys};
use mustard_platform::object::Objects;
use mustard_platform::table::{Table, Txn};
use mustard_platform::vms::Vm;

use crate::fault::{Command, Faults};
use crate::memory::{MemObjects, MemTable};
use crate::serve::{Answer, Call, StandIn};

use pace::{Bucket, Pipe};
use vms::LaggingVms;

/// The flags of the platform.
#[derive(Clone, Debug, Parser)]
#[command(
    name = "fake-platform",
    about = "Stands in for the platform's services"
)]
pub struct PlatformFlags {
    /// Where to listen.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Writes that the table and the object store take, per second.
    #[arg(long, default_value_t = 500)]
    pub writes_rate: u32,
    /// Reads that the table and the object store take, per second.
    #[arg(long, default_value_t = 2000)]
    pub reads_rate: u32,
    /// The age of what the list of VMs shows, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub vm_lag_ms: u64,
    /// Bytes that the weight store sends, per second.
    #[arg(long, default_value_t = 100_000_000)]
    pub weights_rate: u64,
    /// Bytes of one layer's weights.
    #[arg(long, default_value_t = 1_000_000)]
    pub layer_bytes: u64,
}

/// The platform's services.
pub struct Platform {
    flags: PlatformFlags,
    table: MemTable,
    objects: MemObjects,
    vms: LaggingVms,
    writes: Bucket,
    reads: Bucket,
    pipe: Pipe,
    faults: Parts,
}

#[derive(Default)]
struct Parts {
    table: Faults,
    objects: Faults,
    vms: Faults,
    weights: Faults,
}

impl Parts {
    fn of(&self, part: &str) -> &Faults {
        match part {
            "objects" => &self.objects,
            "vms" => &self.vms,
            "weights" => &self.weights,
            _ => &self.table,
        }
    }
}

impl Platform {
    /// Creates the platform's services, all empty.
    pub fn new(flags: PlatformFlags) -> Self {
        Platform {
            table: MemTable::new(),
            objects: MemObjects::new(),
            vms: LaggingVms::new(Duration::from_millis(flags.vm_lag_ms)),
            writes: Bucket::new(flags.writes_rate),
            reads: Bucket::new(flags.reads_rate),
            pipe: Pipe::new(flags.weights_rate),
            faults: Parts::default(),
            flags,
        }
    }

    async fn table(&self, action: &str, call: &Call) -> std::result::Result<Answer, Answer> {
        let bucket = match action {
            "commit" => &self.writes,
            _ => &self.reads,
        };
        if !bucket.take() {
            return Err(Answer::text(429, "rate limit"));
        }
        let answer = match action {
            "commit" => {
                let txn: Txn = call.json()?;
                Answer::json(200, &self.table.commit(txn).await.map_err(failed)?)
            }
            "read" => {
                let read: ReadKeys = call.json()?;
                Answer::json(200, &self.table.read(&read.keys).await.map_err(failed)?)
            }
            "scan" => {
                let scan: ScanKeys = call.json()?;
                let found = self.table.scan(&scan.prefix, &scan.after, scan.limit);
                Answer::json(200, &found.await.map_err(failed)?)
            }
            _ => return Err(missing()),
        };
        Ok(answer)
    }

    async fn object(&self, key: &str, call: &Call) -> std::result::Result<Answer, Answer> {
        let bucket = match call.method {
            Method::PUT => &self.writes,
            _ => &self.reads,
        };
        if !bucket.take() {
            return Err(Answer::text(429, "rate limit"));
        }
        if call.method == Method::PUT {
            let stored = self.objects.put(key, call.body.to_vec()).await;
            stored.map_err(failed)?;
            return Ok(Answer::text(201, ""));
        }
        let found = self.objects.get(key).await.map_err(failed)?;
        found.map(Answer::bytes).ok_or_else(missing)
    }

    fn list(&self, call: &Call) -> std::result::Result<Answer, Answer> {
        if call.method == Method::PUT {
            let vm: Vm = call.json()?;
            self.vms.put(vm);
            return Ok(Answer::text(204, ""));
        }
        let after = call.query("after").and_then(|v| v.parse().ok());
        Ok(Answer::json(200, &self.vms.after(after.unwrap_or(0))))
    }

    async fn weights(&self) -> Answer {
        let bytes = self.flags.layer_bytes;
        let wait = self.faults.weights.stretch(self.pipe.reserve(bytes));
        time::sleep(wait).await;
        // The content is of no use to the stand-in engine, so only its size is sent.
        Answer::json(200, &bytes)
    }
}

fn missing() -> Answer {
    Answer::text(404, "not found")
}

fn failed(e: impl std::fmt::Display) -> Answer {
    Answer::text(500, &e.to_string())
}

impl StandIn for Platform {
    fn faults(&self, call: &Call) -> &Faults {
        self.faults.of(call.parts().first().copied().unwrap_or(""))
    }

    fn obey(&self, command: &Command) {
        match &command.part {
            Some(part) => self.faults.of(part).obey(command),
            None => {
                let all = ["table", "objects", "vms", "weights"];
                all.iter().for_each(|p| self.faults.of(p).obey(command));
            }
        }
    }

    async fn answer(&self, call: Call) -> Answer {
        let parts = call.parts();
        let result = match parts.as_slice() {
            ["table", action] => self.table(action, &call).await,
            ["objects", ..] => {
                let key = parts[1..].join("/");
                self.object(&key, &call).await
            }
            ["vms"] => self.list(&call),
            ["weights", ..] => Ok(self.weights().await),
            ["ledger"] => Ok(Answer::json(200, &self.table.peek_all(""))),
            _ => Err(missing()),
        };
        result.unwrap_or_else(|refused| refused)
    }
}
