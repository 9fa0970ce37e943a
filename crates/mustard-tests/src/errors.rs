//! Errors of the test harness.

use std::path::PathBuf;

use thiserror::Error;

/// The result of a test harness operation.
pub type Result<T> = std::result::Result<T, TestError>;

/// An error of the test harness.
#[derive(Debug, Error)]
pub enum TestError {
    /// A program has not been built; `cargo build --workspace --bins` builds all of them.
    #[error("program {0} does not exist; build it with `cargo build --workspace --bins`")]
    NoProgram(PathBuf),
    /// No port of the range that tests use is free.
    #[error("no free port found for the test")]
    NoPort,
    /// A process exited before it printed its listen address.
    #[error("{name} exited before it listened; its log is {log}")]
    NotListening {
        /// The name of the process.
        name: String,
        /// The path of its log file.
        log: PathBuf,
    },
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// An HTTP request failed or its answer broke off.
    #[error(transparent)]
    Http(#[from] Box<ureq::Error>),
    /// A body is not JSON of the expected type.
    #[error("body is not the expected JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A signal could not be sent to a process.
    #[error("cannot send a signal to the process: {0}")]
    Signal(rustix::io::Errno),
    /// An entry process refused an operator's change.
    #[error("catalogue change refused with status {status}: {body}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body, which holds the reason.
        body: String,
    },
    /// A condition was not met within the time limit; names the condition.
    #[error("timed out waiting for: {0}")]
    TimedOut(String),
}

impl From<ureq::Error> for TestError {
    fn from(e: ureq::Error) -> Self {
        TestError::Http(Box::new(e))
    }
}
