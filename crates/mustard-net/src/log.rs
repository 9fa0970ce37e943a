//! Structured logs. Each message is a short sentence after the name of the part that logs it.

use std::str::FromStr;

use serde::{Deserialize, Serialize};
use slog::{Drain, Level, LevelFilter, Logger, o};

/// How many log lines may wait for the writer thread; further lines are dropped.
const QUEUE_LINES: usize = 4096;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Text for people to read.
    #[default]
    Terminal,
    /// One JSON object per line.
    Json,
}

/// Where log lines go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogOutput {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output.
    Stdout,
}

/// What is logged, in which format and to where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogOptions {
    /// The format of the lines.
    pub format: LogFormat,
    /// The least severe level that is logged: `error`, `warning`, `info` or `debug`. Any text that
    /// is no level means `info`.
    pub level: String,
    /// Where lines go.
    pub output: LogOutput,
}

impl Default for LogOptions {
    fn default() -> Self {
        LogOptions {
            format: LogFormat::default(),
            level: "info".to_owned(),
            output: LogOutput::default(),
        }
    }
}

/// Creates the root logger of a process.
///
/// A separate thread writes the lines. If the reader of the output stalls, lines beyond the queue
/// are dropped and counted, and logging never blocks.
pub fn root(options: &LogOptions, process: &str) -> Logger {
    match options.output {
        LogOutput::Stderr => build_logger(std::io::stderr(), options, process),
        LogOutput::Stdout => build_logger(std::io::stdout(), options, process),
    }
}

fn build_logger<W>(output: W, options: &LogOptions, process: &str) -> Logger
where
    W: std::io::Write + Send + 'static,
{
    let level = Level::from_str(&options.level).unwrap_or(Level::Info);
    let name = process.to_owned();
    match options.format {
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(output);
            // Write errors are ignored: the process goes on after the output was closed.
            let drain = slog_term::FullFormat::new(decorator).build().ignore_res();
            wrap_drain(drain, level, name)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(output).ignore_res();
            wrap_drain(drain, level, name)
        }
    }
}

fn wrap_drain<D>(drain: D, level: Level, process: String) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let queue = slog_async::Async::new(drain)
        .chan_size(QUEUE_LINES)
        .build()
        .fuse();
    Logger::root(
        LevelFilter::new(queue, level).fuse(),
        o!("process" => process),
    )
}
