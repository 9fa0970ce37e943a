//! Errors of the daemon's start.

use thiserror::Error;

use mustard_net::settings::SettingsError;

/// The result of the daemon's start.
pub type Result<T> = std::result::Result<T, EntryError>;

/// A fault that keeps the daemon from starting.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The settings are at fault.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An operator's key has another form.
    #[error("operator {name:?}: allowed are a name, a colon and 64 hexadecimal digits")]
    BadOperator {
        /// The operator.
        name: String,
    },
    /// The port does not open.
    #[error("port does not open: {0}")]
    Listen(#[from] std::io::Error),
}
