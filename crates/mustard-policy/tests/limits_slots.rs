//! The slots that a grantor hands out while demand is low.
#![allow(clippy::unwrap_used)]

use bolero::check;

use mustard_core::clock::Moment;
use mustard_policy::limits::{Grantor, Rule};

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// Once the grantor is settled, every live process that asks gets its reserve of the slots,
/// however little it expects and however much the others do, and the sum keeps to the limit.
#[test]
fn ask_reserve() {
    check!()
        .with_type::<(u8, [u8; 4])>()
        .with_iterations(500)
        .for_each(|(limit, wants)| {
            let rule = Rule {
                rate: 1e6,
                burst: 1_000,
                concurrency: u32::from(*limit).max(1),
            };
            let live = NAMES.len() as u32;
            let mut grantor = Grantor::new(rule, Moment::default());
            let now = Moment::from_millis(5_000);
            let mut sum = 0;
            for (name, want) in NAMES.iter().zip(wants) {
                let grant = grantor.ask(now, name, u32::from(*want).max(1), 0, live);
                let reserve = (rule.concurrency / live).div_ceil(2);
                assert!(grant.slots >= reserve, "reserve is missing");
                sum += grant.slots;
            }
            assert!(sum <= rule.concurrency, "sum exceeds the limit");
        });
}
