//! A holder after a burst of requests that has ended.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_policy::limits::{Denied, GrantLimits, Grantor, Holder};

const LIMITS: GrantLimits = GrantLimits {
    rate: 10_000.0,
    burst: 10_000,
    concurrency: 10_000,
};
/// Longer than the interval between renewals.
const AFTER_RENEWAL: Duration = Duration::from_millis(400);
/// Longer than the interval between asks of a holder that needs a grant.
const AFTER_ASK: Duration = Duration::from_millis(25);

fn ask_grantor(grantor: &mut Grantor, holder: &mut Holder, now: Moment) {
    if let Some(demand) = holder.next_demand(now) {
        let grant = grantor.ask(now, "a", demand.want, demand.running, 2);
        holder.add_grant(now, grant);
    }
}

/// After a burst the holder has granted requests left, so it would ask for none more. The grantor
/// gives slots by demand only; without a slot the next request would be denied.
#[test]
fn acquire_after_burst_and_renewal_admitted() {
    let mut now = Moment::from_millis(10_000);
    let mut grantor = Grantor::new(LIMITS, Moment(0));
    let mut holder = Holder::new(LIMITS);
    let denied = (0..8).filter(|_| holder.acquire(now).is_err()).count();
    assert_eq!(denied, 8);
    ask_grantor(&mut grantor, &mut holder, now);
    for _ in 0..3 {
        assert_eq!(holder.acquire(now), Ok(()));
        holder.release();
        now = now + AFTER_RENEWAL;
        ask_grantor(&mut grantor, &mut holder, now);
        now = now + AFTER_ASK;
        ask_grantor(&mut grantor, &mut holder, now);
    }
}

/// Requests that arrive together just after an ask find too few granted requests. The next ask is made 20 ms later, and its
/// answer takes a while; they are refused only if the grantor has nothing for them then.
#[test]
fn should_wait_answer_is_late() {
    let mut grantor = Grantor::new(LIMITS, Moment(0));
    let mut holder = Holder::new(LIMITS);
    let asked = Moment::from_millis(10_000);
    assert_eq!(holder.acquire(asked), Err(Denied::NoGrant));
    ask_grantor(&mut grantor, &mut holder, asked);
    let arrived = asked + Duration::from_millis(1);
    assert_eq!(holder.acquire(arrived), Ok(()));
    assert_eq!(holder.acquire(arrived), Ok(()));
    let denied = holder.acquire(arrived).unwrap_err();
    let asked = asked + Duration::from_millis(20);
    let demand = holder.next_demand(asked).unwrap();
    let answered = asked + Duration::from_millis(15);
    assert!(holder.should_wait(denied, arrived, answered));
    let grant = grantor.ask(asked, "a", demand.want, demand.running, 2);
    holder.add_grant(asked, grant);
    assert_eq!(holder.acquire(answered), Ok(()));
}

/// A request that the grantor's answer didn't help is refused soon.
#[test]
fn should_wait_limit_used() {
    let limits = GrantLimits {
        burst: 1,
        rate: 0.1,
        ..LIMITS
    };
    let mut grantor = Grantor::new(limits, Moment(0));
    let mut holder = Holder::new(limits);
    let arrived = Moment::from_millis(10_000);
    let denied = holder.acquire(arrived).unwrap_err();
    ask_grantor(&mut grantor, &mut holder, arrived);
    assert!(holder.should_wait(denied, arrived, arrived));
    assert_eq!(holder.acquire(arrived), Ok(()));
    let denied = holder.acquire(arrived).unwrap_err();
    assert!(matches!(denied, Denied::Rate(_)));
    assert!(!holder.should_wait(denied, arrived, arrived + AFTER_ASK));
}
