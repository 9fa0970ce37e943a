//! Reads what a running process has spent, from its metrics and from the kernel.

use std::fs;
use std::time::Instant;

use mustard_tests::child::Child;
use mustard_tests::http::HttpRequest;

/// Paths of messages that carry requests of customers; every other message is control.
const REQUEST_PATHS: [&str; 3] = ["/x/v1/step", "/x/v1/call", "/x/v1/cancel"];
/// Assumed size of a message's HTTP head, in bytes; the metrics count bodies only.
pub(super) const HEAD_BYTES: f64 = 150.0;
/// The label under which a process counts its calls of the table.
const TABLE_PATH: &str = "table";
const KIB_PER_MIB: u64 = 1024;

/// What a process had spent in total at one time.
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

/// What a process spent per second between two readings, and its memory at the second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rates {
    /// Processor time, in percent of a core.
    pub(super) cpu_percent: f64,
    /// Control traffic in both directions, with HTTP heads, in kB a second.
    pub(super) control_kb: f64,
    /// Control messages in both directions, answers included, a second.
    pub(super) messages: f64,
    /// Calls of the table a second.
    pub(super) table_calls: f64,
    /// Resident memory at the later reading, in MiB.
    pub(super) rss_mib: f64,
}

/// Reads a process.
pub(super) fn read(child: &Child) -> anyhow::Result<Reading> {
    let text = HttpRequest::get(child.addr(), "/metrics").send()?.body;
    let is_control = |s: &&Sample| !REQUEST_PATHS.contains(&s.path.as_str());
    let bytes = parse_samples(&text, "mustard_message_bytes_total");
    let messages = parse_samples(&text, "mustard_messages_total");
    let sum = |list: &[Sample]| list.iter().filter(is_control).map(|s| s.value).sum();
    let table_calls = messages
        .iter()
        .filter(|s| s.path == TABLE_PATH && s.direction == "out")
        .map(|s| s.value)
        .sum();
    Ok(Reading {
        at: Instant::now(),
        cpu_ns: cpu_ns(child.id())?,
        rss_mib: rss_kib(child.id())? as f64 / KIB_PER_MIB as f64,
        control_bytes: sum(&bytes),
        control_messages: sum(&messages),
        table_calls,
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
            cpu_percent: (self.cpu_ns - earlier.cpu_ns) as f64 / seconds / 1e7,
            control_kb: (bytes + messages * HEAD_BYTES) / 1e3,
            messages,
            table_calls: (self.table_calls - earlier.table_calls) / seconds,
            rss_mib: self.rss_mib,
        }
    }
}

/// One line of a metric with its labels.
struct Sample {
    path: String,
    direction: String,
    value: f64,
}

/// Returns the samples of a metric in the text that `/metrics` answers.
fn parse_samples(text: &str, name: &str) -> Vec<Sample> {
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

/// Returns the processor time of all live threads of a process, in nanoseconds.
fn cpu_ns(pid: u32) -> anyhow::Result<u64> {
    let mut total = 0;
    for task in fs::read_dir(format!("/proc/{pid}/task"))? {
        let text = fs::read_to_string(task?.path().join("schedstat"))?;
        let first = text.split_whitespace().next().unwrap_or("0");
        total += first.parse::<u64>()?;
    }
    Ok(total)
}

/// Returns the resident memory of a process, in KiB.
fn rss_kib(pid: u32) -> anyhow::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    Ok(number.unwrap_or("0").parse()?)
}
