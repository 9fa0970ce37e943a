//! A short soak of gateways before a stand-in site, with seeds that once failed.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mustard_tests::site_soak::{SitePlan, run};

fn soak(seed: u64) {
    let tally = run(SitePlan {
        seed,
        duration: Duration::from_secs(15),
        ..SitePlan::default()
    });
    let tally = tally.unwrap();
    println!("{tally}");
    assert!(tally.violations.is_empty(), "{tally}");
}

/// Requests with the same content were refused for ten minutes, since three connections had been
/// reset on the way to servers that lived, and since gateways told each other of cleared strikes.
#[test]
fn soak_seed_2() {
    soak(2);
}

/// A planned stop met a gateway that had only just started.
#[test]
fn soak_seed_19() {
    soak(19);
}

/// A reload signal that came before its handler ended the process.
#[test]
fn soak_seed_61() {
    soak(61);
}
