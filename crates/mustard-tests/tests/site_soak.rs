//! Short soaks of gateways in front of a fake site, with seeds that failed in the past.
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

/// Guards against a false quarantine: three connection resets on the way to servers that still ran
/// counted as strikes, and gateways sent each other strikes that had been cleared, so requests with
/// the same content were refused for ten minutes.
#[test]
fn soak_seed_2() {
    soak(2);
}

/// A planned stop (SIGTERM) reached a gateway that had only just started.
#[test]
fn soak_seed_19() {
    soak(19);
}

/// A reload signal (SIGHUP) that arrived before its handler was installed ended the process.
#[test]
fn soak_seed_61() {
    soak(61);
}
