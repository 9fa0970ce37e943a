//! Which of two configurations is in force: versions, eras of the store, and what only a copy of the store
//! holds.

use mustard_core::ids::Era;
use mustard_gateway::app::ConfigStamp;

fn stamp(version: u64, era: u64, is_written: bool) -> ConfigStamp {
    ConfigStamp {
        version,
        era: Era(era),
        is_written,
    }
}

/// Guards against two processes that each adopt what the other one has.
#[test]
fn replaces_never_both() {
    let all: Vec<ConfigStamp> = (0..4 * 4 * 2)
        .map(|i| stamp(i / 8, i / 2 % 4, i % 2 == 1))
        .collect();
    for a in &all {
        for b in &all {
            assert!(!(a.replaces(*b) && b.replaces(*a)), "{a:?} {b:?}");
        }
    }
}

/// Guards against keeping a version that the store lost once the operators have gone on below it.
#[test]
fn replaces_written_in_later_era() {
    let lost = stamp(9, 1, true);
    assert!(stamp(7, 2, true).replaces(lost));
    assert!(!lost.replaces(stamp(7, 2, true)));
}

/// Guards against a return to the copy's version, which the operators are about to replace.
#[test]
fn replaces_copied_into_later_era() {
    let lost = stamp(9, 1, true);
    let copied = stamp(7, 2, false);
    assert!(!copied.replaces(lost));
    assert!(lost.replaces(copied));
}
