//! A holder whose requests came in a burst and ended.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_policy::limits::{Grantor, Holder, Rule};

const RULE: Rule = Rule {
    rate: 10_000.0,
    burst: 10_000,
    concurrency: 10_000,
};
const RENEWAL: Duration = Duration::from_millis(400);
const SHORT: Duration = Duration::from_millis(25);

fn ask(grantor: &mut Grantor, holder: &mut Holder, now: Moment) {
    if let Some(demand) = holder.demand(now) {
        let grant = grantor.ask(now, "a", demand.want, demand.running, 2);
        holder.grant(now, grant);
    }
}

/// The holder still has requests to admit from the burst, so it wants none; it needs a slot.
#[test]
fn begin_after_burst_and_renewal_admitted() {
    let mut now = Moment::from_millis(10_000);
    let mut grantor = Grantor::new(RULE, Moment(0));
    let mut holder = Holder::new(RULE);
    let denied = (0..8).filter(|_| holder.begin(now).is_err()).count();
    assert_eq!(denied, 8);
    ask(&mut grantor, &mut holder, now);
    for _ in 0..3 {
        assert_eq!(holder.begin(now), Ok(()));
        holder.end();
        now = now + RENEWAL;
        ask(&mut grantor, &mut holder, now);
        now = now + SHORT;
        ask(&mut grantor, &mut holder, now);
    }
}
