//! The platform's services in one process: table, objects, weights and the list of VMs.

mod rate_limit;
mod vms;

use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;
use ntex::http::Method;
use tokio::time;

use mustard_platform::http::{ReadRequest, ScanRequest};
use mustard_platform::object::ObjectStore;
use mustard_platform::table::{Table, Txn};
use mustard_platform::vms::Vm;

use crate::fault::{FaultCommand, Faults};
use crate::memory::{MemObjects, MemTable};
use crate::serve::{Answer, Call, StandIn};

use rate_limit::{Bandwidth, TokenBucket};
use vms::LaggingVms;

/// Command-line flags of the platform.
#[derive(Clone, Debug, Parser)]
#[command(
    name = "fake-platform",
    about = "Stands in for the platform's services"
)]
pub struct PlatformFlags {
    /// The address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Writes per second that the table and the object store accept together.
    #[arg(long, default_value_t = 500)]
    pub writes_rate: u32,
    /// Reads per second that the table and the object store accept together.
    #[arg(long, default_value_t = 2000)]
    pub reads_rate: u32,
    /// Delay until a change shows in the list of VMs, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub vm_lag_ms: u64,
    /// Bytes per second that the weight store sends.
    #[arg(long, default_value_t = 100_000_000)]
    pub weights_rate: u64,
    /// Size of one layer's weights, in bytes.
    #[arg(long, default_value_t = 1_000_000)]
    pub layer_bytes: u64,
}

/// The platform's services, which share one process and one port.
pub struct Platform {
    flags: PlatformFlags,
    table: MemTable,
    objects: MemObjects,
    vms: LaggingVms,
    write_limit: TokenBucket,
    read_limit: TokenBucket,
    bandwidth: Bandwidth,
    faults: PartFaults,
}

#[derive(Default)]
struct PartFaults {
    table: Faults,
    objects: Faults,
    vms: Faults,
    weights: Faults,
}

impl PartFaults {
    fn for_part(&self, part: &str) -> &Faults {
        match part {
            "objects" => &self.objects,
            "vms" => &self.vms,
            "weights" => &self.weights,
            _ => &self.table,
        }
    }
}

impl Platform {
    /// Creates the platform's services without rows, objects or VMs.
    pub fn new(flags: PlatformFlags) -> Self {
        Platform {
            table: MemTable::new(),
            objects: MemObjects::new(),
            vms: LaggingVms::new(Duration::from_millis(flags.vm_lag_ms)),
            write_limit: TokenBucket::new(flags.writes_rate),
            read_limit: TokenBucket::new(flags.reads_rate),
            bandwidth: Bandwidth::new(flags.weights_rate),
            faults: PartFaults::default(),
            flags,
        }
    }

    async fn handle_table(&self, action: &str, call: &Call) -> std::result::Result<Answer, Answer> {
        let bucket = match action {
            "commit" => &self.write_limit,
            _ => &self.read_limit,
        };
        if !bucket.try_take() {
            return Err(Answer::text(429, "rate limit"));
        }
        let answer = match action {
            "commit" => {
                let txn: Txn = call.json()?;
                Answer::json(200, &self.table.commit(txn).await.map_err(internal_error)?)
            }
            "read" => {
                let read: ReadRequest = call.json()?;
                Answer::json(
                    200,
                    &self.table.read(&read.keys).await.map_err(internal_error)?,
                )
            }
            "scan" => {
                let scan: ScanRequest = call.json()?;
                let found = self.table.scan(&scan.prefix, &scan.after, scan.limit);
                Answer::json(200, &found.await.map_err(internal_error)?)
            }
            _ => return Err(not_found()),
        };
        Ok(answer)
    }

    async fn handle_object(&self, key: &str, call: &Call) -> std::result::Result<Answer, Answer> {
        let bucket = match call.method {
            Method::PUT => &self.write_limit,
            _ => &self.read_limit,
        };
        if !bucket.try_take() {
            return Err(Answer::text(429, "rate limit"));
        }
        if call.method == Method::PUT {
            let stored = self.objects.put(key, call.body.to_vec()).await;
            stored.map_err(internal_error)?;
            return Ok(Answer::text(201, ""));
        }
        let found = self.objects.get(key).await.map_err(internal_error)?;
        found.map(Answer::bytes).ok_or_else(not_found)
    }

    fn handle_vms(&self, call: &Call) -> std::result::Result<Answer, Answer> {
        if call.method == Method::PUT {
            let vm: Vm = call.json()?;
            self.vms.add_change(vm);
            return Ok(Answer::text(204, ""));
        }
        let after = call.query_param("after").and_then(|v| v.parse().ok());
        Ok(Answer::json(
            200,
            &self.vms.changes_after(after.unwrap_or(0)),
        ))
    }

    async fn send_weights(&self) -> Answer {
        let bytes = self.flags.layer_bytes;
        let wait = self
            .faults
            .weights
            .scale_time(self.bandwidth.reserve(bytes));
        time::sleep(wait).await;
        // The stand-in engine ignores the content, so the size is sent instead.
        Answer::json(200, &bytes)
    }
}

fn not_found() -> Answer {
    Answer::text(404, "not found")
}

fn internal_error(e: impl std::fmt::Display) -> Answer {
    Answer::text(500, &e.to_string())
}

impl StandIn for Platform {
    fn faults(&self, call: &Call) -> &Faults {
        self.faults
            .for_part(call.path_segments().first().copied().unwrap_or(""))
    }

    fn apply_command(&self, command: &FaultCommand) {
        match &command.part {
            Some(part) => self.faults.for_part(part).apply(command),
            None => {
                let all = ["table", "objects", "vms", "weights"];
                all.iter()
                    .for_each(|p| self.faults.for_part(p).apply(command));
            }
        }
    }

    async fn answer(&self, call: Call) -> Answer {
        let segments = call.path_segments();
        let result = match segments.as_slice() {
            ["table", action] => self.handle_table(action, &call).await,
            ["objects", ..] => {
                let key = segments[1..].join("/");
                self.handle_object(&key, &call).await
            }
            ["vms"] => self.handle_vms(&call),
            ["weights", ..] => Ok(self.send_weights().await),
            ["ledger"] => Ok(Answer::json(200, &self.table.stored_rows(""))),
            _ => Err(not_found()),
        };
        result.unwrap_or_else(|refused| refused)
    }
}
