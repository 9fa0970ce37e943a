//! Crowds of clients that don't behave: no process ends, holds more than its machine has, or stops serving others.
//!
//! One crowd runs at a time. The tests check no times.
#![allow(clippy::unwrap_used)]

mod agent;
mod cluster;
mod crowd;
mod entry;
mod gateway;
