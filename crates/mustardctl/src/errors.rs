//! Errors of the client and the exit codes that they lead to.

use serde_json::Value;
use thiserror::Error;

use mustard_core::outcome::Outcome;
use mustard_net::CallError;
use mustard_net::settings::SettingsError;

/// The result of a command.
pub type Result<T> = std::result::Result<T, CtlError>;

/// A command that did not do what it was asked for.
#[derive(Debug, Error)]
pub enum CtlError {
    /// Options that do not go together.
    #[error("{0}")]
    Usage(Usage),
    /// A file is not readable.
    #[error("{file}: {source}")]
    Read {
        /// The file.
        file: String,
        /// What the system reports.
        source: std::io::Error,
    },
    /// A catalogue file has faults; each is listed.
    #[error("{}", .0.join("\n"))]
    Faults(Vec<String>),
    /// A settings file has faults; each is listed.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// No entry process answered.
    #[error("no entry process answered: {0}")]
    NoAnswer(CallError),
    /// The system refused.
    #[error("{0}")]
    Refused(Box<Refused>),
    /// Some processes did not answer, so what was shown is not whole.
    #[error("no answer from {}", .0.join(", "))]
    Partial(Vec<String>),
    /// An answer has another form.
    #[error("answer does not parse: {0}")]
    BadAnswer(#[from] serde_json::Error),
    /// No log line is about the request.
    #[error(
        "no line is about request {0}; lines are dropped beyond the log's budget, see its `log:` lines"
    )]
    NotLogged(String),
    /// The output is closed.
    #[error("output failed: {0}")]
    Output(#[from] std::io::Error),
}

/// Options that do not go together or are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Usage {
    /// The operator's key is missing.
    #[error("operator's key is missing, give --key or set MUSTARD_OPERATOR_KEY")]
    NoKey,
    /// No answer can be read from a terminal.
    #[error("input is not a terminal, give --yes to apply or --dry-run to preview")]
    NoTerminal,
    /// The file holds several entries.
    #[error("file holds more than one entry, use `apply -f`")]
    ManyEntries,
    /// The operator said no.
    #[error("nothing was changed")]
    Declined,
}

/// A refusal of the system, as `application/problem+json`.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{}", self.text())]
pub struct Refused {
    /// The HTTP status.
    pub status: u16,
    /// The members of the problem.
    pub problem: Value,
}

impl Refused {
    /// Returns a member of the problem as text.
    pub fn member(&self, name: &str) -> &str {
        self.problem[name].as_str().unwrap_or_default()
    }

    /// Returns what may be concluded; an answer that does not say leaves it open.
    pub fn outcome(&self) -> Outcome {
        serde_json::from_value(self.problem["outcome"].clone()).unwrap_or(Outcome::Unknown)
    }

    fn text(&self) -> String {
        match (self.member("title"), self.member("detail")) {
            ("", _) => format!("refused with status {}", self.status),
            (title, "") => title.to_owned(),
            (title, detail) => format!("{title}: {detail}"),
        }
    }
}

/// A command did what it was asked for.
pub const EXIT_DONE: u8 = 0;
/// Another failure, such as an output that is closed.
pub const EXIT_FAILED: u8 = 1;
/// Arguments or a file are at fault, or the operator declined; nothing was sent.
pub const EXIT_USAGE: u8 = 2;
/// The system refused for good; nothing was changed.
pub const EXIT_REFUSED: u8 = 3;
/// Another operator was first; nothing was changed.
pub const EXIT_CONFLICT: u8 = 4;
/// The system is not available; nothing was changed.
pub const EXIT_UNAVAILABLE: u8 = 5;
/// The change may have been accepted; the same command with the same `--id` is safe.
pub const EXIT_UNKNOWN: u8 = 6;
/// What was shown is not whole, some processes did not answer.
pub const EXIT_PARTIAL: u8 = 7;

impl CtlError {
    /// Returns the exit code of the program.
    pub fn exit_code(&self) -> u8 {
        match self {
            CtlError::Usage(_)
            | CtlError::Read { .. }
            | CtlError::Faults(_)
            | CtlError::Settings(_) => EXIT_USAGE,
            CtlError::NoAnswer(e) => match e.ran() {
                mustard_proto::Ran::No => EXIT_UNAVAILABLE,
                mustard_proto::Ran::Maybe => EXIT_UNKNOWN,
            },
            CtlError::Refused(r) => match (r.status, r.outcome()) {
                (409, _) => EXIT_CONFLICT,
                (_, Outcome::Unknown) => EXIT_UNKNOWN,
                (429 | 503, _) => EXIT_UNAVAILABLE,
                _ => EXIT_REFUSED,
            },
            CtlError::Partial(_) => EXIT_PARTIAL,
            CtlError::BadAnswer(_) | CtlError::NotLogged(_) | CtlError::Output(_) => EXIT_FAILED,
        }
    }
}
