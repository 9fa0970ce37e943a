//! Structured logs: short sentences with a fixed prefix for each part.

use std::str::FromStr;

use serde::{Deserialize, Serialize};
use slog::{Drain, Level, LevelFilter, Logger, o};

const QUEUE_LINES: usize = 4096;

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Text for a person.
    #[default]
    Terminal,
    /// One JSON object a line.
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

/// What is logged and how.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogOptions {
    /// How lines are written.
    pub format: LogFormat,
    /// The least severe level: `error`, `warning`, `info` or `debug`.
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
/// A thread of its own writes the lines. While the reader of the output doesn't read, lines beyond
/// the queue are dropped and counted, and no caller waits.
pub fn root(options: &LogOptions, process: &str) -> Logger {
    match options.output {
        LogOutput::Stderr => write_to(std::io::stderr(), options, process),
        LogOutput::Stdout => write_to(std::io::stdout(), options, process),
    }
}

fn write_to<W>(output: W, options: &LogOptions, process: &str) -> Logger
where
    W: std::io::Write + Send + 'static,
{
    let level = Level::from_str(&options.level).unwrap_or(Level::Info);
    let name = process.to_owned();
    match options.format {
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(output);
            // Whoever reads the output may have closed it; that ends no process.
            let drain = slog_term::FullFormat::new(decorator).build().ignore_res();
            filtered(drain, level, name)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(output).ignore_res();
            filtered(drain, level, name)
        }
    }
}

fn filtered<D>(drain: D, level: Level, process: String) -> Logger
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
