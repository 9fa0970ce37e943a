//! Errors of the client and the exit codes that they lead to.

use serde_json::Value;
use thiserror::Error;

use mustard_core::outcome::Outcome;
use mustard_net::CallError;
use mustard_net::settings::SettingsError;

/// The result of an operation of this client.
pub type Result<T> = std::result::Result<T, CtlError>;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The arguments cannot be carried out as given, or the operator declined.
    #[error("{0}")]
    Usage(UsageError),
    /// A file cannot be read.
    #[error("{file}: {source}")]
    ReadFile {
        /// The path of the file.
        file: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A catalogue file has errors; the list holds one message for each.
    #[error("{}", .0.join("\n"))]
    InvalidCatalogue(Vec<String>),
    /// A settings file has errors; the message lists all of them.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
    /// The check of a file found errors or warnings, which were printed.
    #[error("{file}: {errors} errors, {warnings} warnings")]
    Findings {
        /// The path of the file.
        file: String,
        /// The number of errors.
        errors: usize,
        /// The number of warnings.
        warnings: usize,
    },
    /// No entry process answered.
    #[error("no entry process answered: {0}")]
    NoAnswer(CallError),
    /// An entry process rejected the request, or this client did so before sending it.
    #[error("{0}")]
    Refused(Box<Refusal>),
    /// The named processes did not answer, so the output is incomplete.
    #[error("no answer from {}", .0.join(", "))]
    Unanswered(Vec<String>),
    /// An answer is not the JSON that the command expects.
    #[error("cannot parse the answer: {0}")]
    BadAnswer(#[from] serde_json::Error),
    /// No line of the given logs mentions the request.
    #[error(
        "no log line mentions request {0}; lines may have been dropped, which a process reports in its `log:` lines"
    )]
    RequestNotFound(String),
    /// Standard input or standard output failed, for example because the output is closed.
    #[error("input or output failed: {0}")]
    Io(#[from] std::io::Error),
}

/// Why the arguments cannot be carried out as given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum UsageError {
    /// The operator's key is missing.
    #[error("operator's key is missing, give --key or set MUSTARD_OPERATOR_KEY")]
    NoKey,
    /// Confirmation is required, but standard input is not a terminal.
    #[error("input is not a terminal, give --yes to apply or --dry-run to preview")]
    NoTerminal,
    /// The file holds no entry, several entries or a list of entries to retire.
    #[error(
        "file must hold exactly one [[entry]] and no `retire` list, use `apply -f` for other files"
    )]
    NotOneEntry,
    /// The operator did not confirm the changes.
    #[error("nothing was changed")]
    Declined,
}

/// An HTTP error answer with an `application/problem+json` body.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{}", self.message())]
pub struct Refusal {
    /// The HTTP status code.
    pub status: u16,
    /// The body; null if it is not JSON.
    pub problem: Value,
}

impl Refusal {
    /// Returns a text member of the body, or an empty text if there is none.
    pub fn member(&self, name: &str) -> &str {
        self.problem[name].as_str().unwrap_or_default()
    }

    /// Returns whether the request took effect; [`Outcome::Unknown`] if the body does not say so.
    pub fn outcome(&self) -> Outcome {
        serde_json::from_value(self.problem["outcome"].clone()).unwrap_or(Outcome::Unknown)
    }

    fn message(&self) -> String {
        match (self.member("title"), self.member("detail")) {
            ("", _) => format!("refused with status {}", self.status),
            (title, "") => title.to_owned(),
            (title, detail) => format!("{title}: {detail}"),
        }
    }
}

/// The command succeeded.
pub const EXIT_DONE: u8 = 0;
/// A failure that no other code describes, such as a closed output.
pub const EXIT_FAILED: u8 = 1;
/// Invalid arguments, an invalid file, or no confirmation by the operator; nothing was sent.
pub const EXIT_USAGE: u8 = 2;
/// The request was rejected and a retry will not help; nothing was changed.
pub const EXIT_REFUSED: u8 = 3;
/// Another operator changed the entry first; nothing was changed.
pub const EXIT_CONFLICT: u8 = 4;
/// No entry process could take the request at this time; nothing was changed.
pub const EXIT_UNAVAILABLE: u8 = 5;
/// The change may have been accepted; the same command with the same `--id` is safe.
pub const EXIT_UNKNOWN: u8 = 6;
/// The output is incomplete because some processes did not answer.
pub const EXIT_PARTIAL: u8 = 7;
/// `check` found warnings only.
pub const EXIT_WARNINGS: u8 = 1;
/// `check` found errors.
pub const EXIT_ERRORS: u8 = 2;

impl CtlError {
    /// Returns the exit code with which the program ends.
    pub fn exit_code(&self) -> u8 {
        match self {
            CtlError::Usage(_)
            | CtlError::ReadFile { .. }
            | CtlError::InvalidCatalogue(_)
            | CtlError::InvalidSettings(_) => EXIT_USAGE,
            CtlError::Findings { errors: 0, .. } => EXIT_WARNINGS,
            CtlError::Findings { .. } => EXIT_ERRORS,
            CtlError::NoAnswer(e) => match e.execution() {
                mustard_proto::Execution::No => EXIT_UNAVAILABLE,
                mustard_proto::Execution::Maybe => EXIT_UNKNOWN,
            },
            CtlError::Refused(r) => match (r.status, r.outcome()) {
                (409, _) => EXIT_CONFLICT,
                (_, Outcome::Unknown) => EXIT_UNKNOWN,
                (429 | 503, _) => EXIT_UNAVAILABLE,
                _ => EXIT_REFUSED,
            },
            CtlError::Unanswered(_) => EXIT_PARTIAL,
            CtlError::BadAnswer(_) | CtlError::RequestNotFound(_) | CtlError::Io(_) => EXIT_FAILED,
        }
    }
}
