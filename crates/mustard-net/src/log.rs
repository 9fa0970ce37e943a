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

/// What is logged and how.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogOptions {
    /// How lines are written.
    pub format: LogFormat,
    /// The least severe level: `error`, `warning`, `info` or `debug`.
    pub level: String,
}

impl Default for LogOptions {
    fn default() -> Self {
        LogOptions {
            format: LogFormat::default(),
            level: "info".to_owned(),
        }
    }
}

/// Creates the root logger of a process; lines go to standard error.
pub fn root(options: &LogOptions, process: &str) -> Logger {
    let level = Level::from_str(&options.level).unwrap_or(Level::Info);
    let name = process.to_owned();
    match options.format {
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            filtered(drain, level, name)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).fuse();
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
