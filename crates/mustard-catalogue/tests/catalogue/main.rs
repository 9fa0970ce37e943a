//! Tests of accepting, synchronizing and confirming catalogue changes.
#![allow(clippy::unwrap_used)]

mod faults;
mod standing;
mod support;
