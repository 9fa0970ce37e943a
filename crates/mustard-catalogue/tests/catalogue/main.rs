//! Tests of accepting, spreading and confirming changes.
#![allow(clippy::unwrap_used)]

mod promise;
mod standing;
mod support;
