//! Errors that keep the daemon from starting.

use thiserror::Error;

use mustard_net::settings::SettingsError;

/// The result of starting the daemon.
pub type Result<T> = std::result::Result<T, EntryError>;

/// An error that keeps the daemon from starting.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The settings file can't be read or is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An operator in the settings is not of the form `name:digest`.
    #[error("operator {name:?}: must be a name, a colon and 64 hexadecimal digits")]
    BadOperator {
        /// The text before the colon, or all of it if there is no colon.
        name: String,
    },
    /// The address can't be listened on.
    #[error("cannot listen: {0}")]
    Listen(#[from] std::io::Error),
}
