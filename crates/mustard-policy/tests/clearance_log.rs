//! Which clearances are kept beside strikes.

#![allow(clippy::unwrap_used)]

use mustard_core::clock::Moment;
use mustard_core::fingerprint::Fingerprint;
use mustard_policy::clearance_log::ClearanceLog;
use mustard_policy::quarantine::{Clearance, Content, Quarantine, Settings, Strike};
use mustard_policy::segments::{SegmentFilter, SegmentStrike};

const CONTENT: Content = Content {
    fingerprint: Fingerprint(1),
    variant: Some(Fingerprint(2)),
};
const SEGMENT: Fingerprint = Fingerprint(3);

fn at(ms: u64) -> Moment {
    Moment::from_millis(1_000_000 + ms)
}

fn strike(server: usize, ms: u64) -> Strike {
    Strike {
        content: CONTENT,
        vm: format!("server-{server}"),
        shared: 1,
        at: at(ms),
    }
}

/// Guards against a clearance for each run of a frequent content, and against strikes that nothing clears.
#[test]
fn record_proof_frequent_content() {
    let mut log = ClearanceLog::default();
    for ms in 0..20 {
        log.record_proof(1, at(100 + ms), at(50));
    }
    assert_eq!(log.take(), [(1, at(100))], "one answers the strike");
    for ms in 0..20 {
        log.record_proof(1, at(200 + ms), at(300 + ms));
    }
    assert!(log.is_empty(), "it ran well a moment before that");
    log.record_proof(1, at(20_000), at(20_100));
    assert_eq!(log.take(), [(1, at(20_000))]);
    log.record(1, at(20_200));
    assert_eq!(log.take(), [(1, at(20_200))], "it answers a strike");
}

/// Guards against a quarantine that differs after all processes ended: what is kept, in any order, gives the same one.
#[test]
fn take_clearances_same_verdict() {
    let new = || {
        Quarantine::new(Settings {
            min_deaths: 3,
            ..Settings::default()
        })
    };
    let mut live = new();
    let mut kept = Vec::new();
    live.record_success(at(0), CONTENT);
    let mut end = |live: &mut Quarantine, server, ms| {
        let strike = strike(server, ms);
        live.record_strike(at(ms), &strike);
        kept.push(strike);
    };
    // Proven shortly before: three ends at once aren't enough.
    (0..3).for_each(|server| end(&mut live, server, 100));
    let proofs = live.take_clearances();
    // It runs well, and two more servers end later on.
    live.record_success(at(5_000), CONTENT);
    (3..5).for_each(|server| end(&mut live, server, 70_000));
    let clearances: Vec<Clearance> = proofs.into_iter().chain(live.take_clearances()).collect();
    assert!(!live.is_quarantined(at(70_000), CONTENT));
    for clearances_first in [true, false] {
        let mut read = new();
        let clear = |read: &mut Quarantine| {
            for clearance in &clearances {
                read.apply_clearance(at(71_000), *clearance);
            }
        };
        if clearances_first {
            clear(&mut read);
        }
        for strike in kept.iter().rev() {
            read.record_strike(at(71_000), strike);
        }
        if !clearances_first {
            clear(&mut read);
        }
        assert!(!read.is_quarantined(at(71_000), CONTENT));
        read.record_strike(at(72_000), &strike(5, 72_000));
        assert!(read.is_quarantined(at(72_000), CONTENT));
    }
}

/// Guards against a segment that is blocked by ends from before it went well, as that was more than a minute ago.
#[test]
fn apply_clearance_old_acquittal() {
    let mut filter = SegmentFilter::default();
    let mut ends = Vec::new();
    for server in 0..3 {
        ends.push(SegmentStrike {
            segment: SEGMENT,
            process: format!("server-{server}"),
            content: Fingerprint(10 + server),
            at: at(100),
            is_trial: false,
        });
    }
    ends.iter().for_each(|end| {
        filter.record_strike(at(100), end);
    });
    filter.record_success(at(2_000), SEGMENT);
    let clearances = filter.take_clearances();
    assert!(!filter.is_blocked(at(2_000), &[SEGMENT]));
    let mut read = SegmentFilter::default();
    ends.iter().for_each(|end| {
        read.record_strike(at(200_000), end);
    });
    assert!(read.is_blocked(at(200_000), &[SEGMENT]));
    for clearance in clearances {
        read.apply_clearance(at(200_000), clearance);
    }
    assert!(!read.is_blocked(at(200_000), &[SEGMENT]));
}
