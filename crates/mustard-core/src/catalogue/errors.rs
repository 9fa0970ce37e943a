//! Errors of the catalogue.

use std::fmt;

use thiserror::Error;

use crate::ids::{Revision, Seq};

/// The result of catalogue operations.
pub type Result<T> = std::result::Result<T, CatalogueError>;

/// Why the catalogue refuses a change.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CatalogueError {
    /// The change expects another revision than the entry has.
    #[error("entry {name:?} is at revision {current}, the change expects {expected}")]
    Conflict {
        /// The entry.
        name: String,
        /// The revision in force.
        current: Revision,
        /// The revision that the change expects.
        expected: Revision,
    },
    /// The change is not the next one after the last change applied.
    #[error("change {received} does not follow change {current}")]
    Gap {
        /// The last change applied.
        current: Seq,
        /// The refused change.
        received: Seq,
    },
    /// A field has a value outside its range.
    #[error("{field} of entry {name:?} is {value}, allowed: {allowed}")]
    BadField {
        /// The entry.
        name: String,
        /// The field.
        field: &'static str,
        /// The value, as text.
        value: String,
        /// A description of the allowed values.
        allowed: &'static str,
    },
}

impl CatalogueError {
    /// Creates an error for a value outside its range.
    pub fn bad_field(
        name: &str,
        field: &'static str,
        value: impl fmt::Display,
        allowed: &'static str,
    ) -> Self {
        let (name, value) = (name.to_owned(), value.to_string());
        CatalogueError::BadField {
            name,
            field,
            value,
            allowed,
        }
    }
}
