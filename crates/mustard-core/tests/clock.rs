//! The clock of the operating system.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::thread;
use std::time::Duration;

use mustard_core::clock::{Clock, SystemClock};

/// Returns the time since boot with suspended time, as the kernel's own page has it, in milliseconds.
fn uptime_ms() -> f64 {
    let text = fs::read_to_string("/proc/uptime").unwrap();
    let seconds = text.split(' ').next().unwrap();
    seconds.parse::<f64>().unwrap() * 1e3
}

/// Guards against a clock that stands still while the machine is suspended: permissions that end
/// meanwhile would be used afterwards. It must follow the time since boot, which counts suspended time.
#[test]
fn now_follows_boot_time() {
    // The resolution of the kernel's page.
    const RESOLUTION_MS: f64 = 20.0;
    let clock = SystemClock::default();
    // The process may be interrupted between any two readings.
    let read = || (uptime_ms(), clock.now(), uptime_ms());
    let (first, last) = {
        let first = read();
        thread::sleep(Duration::from_millis(120));
        (first, read())
    };
    let passed = last.1.since(first.1).as_secs_f64() * 1e3;
    let (least, most) = (last.0 - first.2, last.2 - first.0);
    assert!(
        passed >= least - RESOLUTION_MS && passed <= most + RESOLUTION_MS,
        "{passed} is not between {least} and {most}"
    );
}
