//! The slots that a grantor gives out while demand is low.
#![allow(clippy::unwrap_used)]

use bolero::check;

use mustard_core::clock::Moment;
use mustard_policy::limits::{GrantLimits, Grantor};

const PROCESSES: [&str; 4] = ["a", "b", "c", "d"];

/// Once the grants of a predecessor have expired, every live process that asks gets its reserved
/// slots, whatever it and the others expect, and the sum stays within the limit.
#[test]
fn ask_reserve() {
    check!()
        .with_type::<(u8, [u8; 4])>()
        .with_iterations(500)
        .for_each(|(limit, wants)| {
            let limits = GrantLimits {
                rate: 1e6,
                burst: 1_000,
                concurrency: u32::from(*limit).max(1),
            };
            let live = PROCESSES.len() as u32;
            let mut grantor = Grantor::new(limits, Moment::default());
            let now = Moment::from_millis(5_000);
            let mut total_slots = 0;
            for (name, want) in PROCESSES.iter().zip(wants) {
                let grant = grantor.ask(now, name, u32::from(*want).max(1), 0, live);
                let reserve = (limits.concurrency / live).div_ceil(2);
                assert!(grant.slots >= reserve, "reserve is missing");
                total_slots += grant.slots;
            }
            assert!(total_slots <= limits.concurrency, "sum exceeds the limit");
        });
}
