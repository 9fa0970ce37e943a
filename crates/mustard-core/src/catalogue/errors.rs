//! Errors of the catalogue.

use std::fmt;

use thiserror::Error;

use crate::ids::{Revision, Seq};

/// The result of catalogue operations.
pub type Result<T> = std::result::Result<T, CatalogueError>;

/// A change that the catalogue refuses.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CatalogueError {
    /// The change was made against another revision than the entry has.
    #[error("entry {name:?} is at revision {have}, the change expects {expected}")]
    Conflict {
        /// The entry.
        name: String,
        /// The revision in force.
        have: Revision,
        /// The revision that the change expects.
        expected: Revision,
    },
    /// The change does not follow the last one applied.
    #[error("change {got} does not follow change {have}")]
    Gap {
        /// The last change applied.
        have: Seq,
        /// The number of the refused change.
        got: Seq,
    },
    /// A field holds a value outside its range.
    #[error("{field} of entry {name:?} is {read}, allowed: {allowed}")]
    BadField {
        /// The entry.
        name: String,
        /// The field.
        field: &'static str,
        /// The value as read.
        read: String,
        /// The allowed values.
        allowed: &'static str,
    },
}

impl CatalogueError {
    /// Creates an error for a value outside its range.
    pub fn bad_field(
        name: &str,
        field: &'static str,
        read: impl fmt::Display,
        allowed: &'static str,
    ) -> Self {
        let (name, read) = (name.to_owned(), read.to_string());
        CatalogueError::BadField {
            name,
            field,
            read,
            allowed,
        }
    }
}
