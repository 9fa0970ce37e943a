//! Checks of a configuration before it is put in force, and the differences between two versions.
//!
//! The command line and the processes use the same checks. What a process accepts isn't decided here: it
//! only logs the findings.

mod catalogue;
mod deployment;
mod diff;

use std::fmt;

use serde::Serialize;

pub use catalogue::{check_catalogue, diff_catalogue};
pub use deployment::{check_deployment, diff_deployment};
pub use diff::{Difference, FieldChange};

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// An entry has no effect, or limits contradict each other.
    Warning,
    /// Requests can't be served as the configuration says.
    Error,
}

/// Something in a configuration that is probably not meant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// The entry and the field, such as `route "r-1": timeout`.
    pub place: String,
    /// What is wrong.
    pub message: String,
}

impl Finding {
    /// Creates an error.
    pub fn error(place: impl Into<String>, message: impl Into<String>) -> Self {
        Finding {
            severity: Severity::Error,
            place: place.into(),
            message: message.into(),
        }
    }

    /// Creates a warning.
    pub fn warning(place: impl Into<String>, message: impl Into<String>) -> Self {
        Finding {
            severity: Severity::Warning,
            ..Finding::error(place, message)
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Warning => "warning",
            Severity::Error => "error",
        };
        write!(f, "{severity}: {}: {}", self.place, self.message)
    }
}
