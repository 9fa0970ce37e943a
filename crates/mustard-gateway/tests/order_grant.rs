//! Orders of a process that was paused.

use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::ids::Fence;
use mustard_gateway::placement::OrderGrant;
use mustard_platform::lease::HeldLease;

/// A process is paused between the acquisition of the lease and the order. Guards against an order that
/// goes out beside those of the next holder.
#[test]
fn has_ended_paused_process() {
    let acquired = Moment::from_millis(1_000);
    let grant = OrderGrant::from(HeldLease {
        fence: Fence(3),
        until: acquired + Duration::from_millis(1_200),
    });
    assert!(!grant.has_ended(acquired + Duration::from_millis(1_199)));
    for pause in [1_200, 5_000, 30_000] {
        assert!(grant.has_ended(acquired + Duration::from_millis(pause)));
    }
}

/// Without the store no lease ends; servers refuse the token if they have seen a higher one.
#[test]
fn has_ended_store_unavailable() {
    let grant = OrderGrant {
        fence: Fence(3),
        until: None,
    };
    assert!(!grant.has_ended(Moment::from_millis(60_000)));
}
