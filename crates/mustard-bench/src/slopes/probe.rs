//! Readings of a running process: its own metrics and the kernel's counts.

use std::fs;
use std::time::Instant;

use mustard_tests::child::Child;
use mustard_tests::http::Ask;

/// Paths that carry callers' work; every other message is control.
const WORK: [&str; 3] = ["/x/v1/step", "/x/v1/call", "/x/v1/cancel"];
/// HTTP head of one message, in bytes.
pub(super) const HEAD_BYTES: f64 = 150.0;
const TABLE: &str = "table";
const KIB: u64 = 1024;

/// The readings of a process at one time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reading {
    at: Instant,
    cpu_ns: u64,
    /// Resident memory, in MiB.
    pub(super) rss_mib: f64,
    control_bytes: f64,
    control_messages: f64,
    table_calls: f64,
}

/// What a process spent between two readings, per second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rates {
    /// Processor time, in percent of a core.
    pub(super) cpu: f64,
    /// Control traffic in both directions with HTTP heads, in kB.
    pub(super) control_kb: f64,
    /// Control messages in both directions, answers included.
    pub(super) messages: f64,
    /// Calls of the table.
    pub(super) table_calls: f64,
    /// Resident memory at the end, in MiB.
    pub(super) rss_mib: f64,
}

/// Reads a process.
pub(super) fn read(child: &Child) -> anyhow::Result<Reading> {
    let text = Ask::get(child.addr(), "/metrics").send()?.body;
    let is_control = |l: &&Sample| !WORK.contains(&l.path.as_str());
    let bytes = samples(&text, "mustard_message_bytes_total");
    let messages = samples(&text, "mustard_messages_total");
    let sum = |list: &[Sample]| list.iter().filter(is_control).map(|s| s.value).sum();
    let table = messages
        .iter()
        .filter(|s| s.path == TABLE && s.direction == "out")
        .map(|s| s.value)
        .sum();
    Ok(Reading {
        at: Instant::now(),
        cpu_ns: cpu_ns(child.id())?,
        rss_mib: rss_kib(child.id())? as f64 / KIB as f64,
        control_bytes: sum(&bytes),
        control_messages: sum(&messages),
        table_calls: table,
    })
}

impl Reading {
    /// Returns the seconds since an earlier reading.
    pub(super) fn seconds_since(&self, earlier: &Reading) -> f64 {
        self.at.duration_since(earlier.at).as_secs_f64().max(1e-3)
    }

    /// Returns what was spent since an earlier reading.
    pub(super) fn since(&self, earlier: &Reading) -> Rates {
        let seconds = self.seconds_since(earlier);
        let messages = (self.control_messages - earlier.control_messages) / seconds;
        let bytes = (self.control_bytes - earlier.control_bytes) / seconds;
        Rates {
            cpu: (self.cpu_ns - earlier.cpu_ns) as f64 / seconds / 1e7,
            control_kb: (bytes + messages * HEAD_BYTES) / 1e3,
            messages,
            table_calls: (self.table_calls - earlier.table_calls) / seconds,
            rss_mib: self.rss_mib,
        }
    }
}

struct Sample {
    path: String,
    direction: String,
    value: f64,
}

fn samples(text: &str, name: &str) -> Vec<Sample> {
    text.lines()
        .filter_map(|line| {
            let rest = line.strip_prefix(name)?.strip_prefix('{')?;
            let (labels, value) = rest.split_once("} ")?;
            let label = |key: &str| {
                let start = labels.find(&format!("{key}=\""))? + key.len() + 2;
                labels[start..].split('"').next().map(str::to_owned)
            };
            Some(Sample {
                path: label("path")?,
                direction: label("direction")?,
                value: value.trim().parse().ok()?,
            })
        })
        .collect()
}

/// Returns the processor time of all threads of a process, in nanoseconds.
fn cpu_ns(pid: u32) -> anyhow::Result<u64> {
    let mut total = 0;
    for task in fs::read_dir(format!("/proc/{pid}/task"))? {
        let text = fs::read_to_string(task?.path().join("schedstat"))?;
        let first = text.split_whitespace().next().unwrap_or("0");
        total += first.parse::<u64>()?;
    }
    Ok(total)
}

fn rss_kib(pid: u32) -> anyhow::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    Ok(number.unwrap_or("0").parse()?)
}
