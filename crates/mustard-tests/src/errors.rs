//! Errors of the harness.

use std::path::PathBuf;

use thiserror::Error;

/// The result of operations of the harness.
pub type Result<T> = std::result::Result<T, TestError>;

/// A step of the harness that failed.
#[derive(Debug, Error)]
pub enum TestError {
    /// A program is not there; `cargo build --workspace --bins` builds it.
    #[error("{0} does not exist, build the programs first")]
    NoProgram(PathBuf),
    /// No port is free.
    #[error("no port is free")]
    NoPort,
    /// A process ended before it listened.
    #[error("{name} ended before it listened, its log is {log}")]
    NotListening {
        /// The name of the process.
        name: String,
        /// The path of its log.
        log: PathBuf,
    },
    /// An operation of the system failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// An HTTP exchange gave no whole answer.
    #[error(transparent)]
    Http(#[from] Box<ureq::Error>),
    /// An answer has another form.
    #[error("answer has another form: {0}")]
    Json(#[from] serde_json::Error),
    /// A signal was not sent.
    #[error("signal was not sent: {0}")]
    Signal(rustix::io::Errno),
    /// An operator's change was refused.
    #[error("change was refused with status {status}: {body}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: String,
    },
    /// A condition did not come true within the limit.
    #[error("{0} did not come true in time")]
    TimedOut(String),
}

impl From<ureq::Error> for TestError {
    fn from(e: ureq::Error) -> Self {
        TestError::Http(Box::new(e))
    }
}
