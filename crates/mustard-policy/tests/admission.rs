//! Admission under random schedules, a flood of requests and slow tokens.

#![allow(clippy::unwrap_used)]

use std::collections::HashMap;
use std::time::Duration;

use bolero::check;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::catalogue::Class;
use mustard_core::clock::Moment;
use mustard_policy::admission::{Admission, Decision, Forecast, Offer, Progress, Settings, Ticket};

const TOKENS: u32 = 20;
const FORECAST: Forecast = Forecast {
    first_us: 50_000.0,
    token_us: 20_000.0,
    floor_us: 0.0,
};

fn random_offer(rng: &mut ChaCha8Rng, now: Moment) -> Offer {
    let classes = [Class::Interactive, Class::Deadline, Class::Batch];
    let class = classes[rng.random_range(0..3)];
    let deadline = now + Duration::from_millis(rng.random_range(0..5_000));
    let customer = format!("c{}", rng.random_range(0..4));
    Offer::new(&customer, rng.random_range(1..4), class, TOKENS, deadline)
}

/// Random offers, ends and disconnected clients: each request gets one decision, none starts that
/// can't end before its deadline, and the counts of waiting and running requests are exact.
#[test]
fn poll_random_schedule() {
    check!()
        .with_iterations(200)
        .with_type::<u64>()
        .for_each(|seed| {
            let mut rng = ChaCha8Rng::seed_from_u64(*seed);
            let mut admission = Admission::new(Settings::default());
            let mut waiting: HashMap<Ticket, Moment> = HashMap::new();
            let mut running: Vec<(Ticket, Moment)> = Vec::new();
            let mut now = Moment::from_millis(1_000);
            for _ in 0..300 {
                now = now + Duration::from_millis(rng.random_range(0..20));
                let offer = random_offer(&mut rng, now);
                let deadline = offer.deadline;
                match admission.offer(now, offer) {
                    Ok(ticket) => assert!(waiting.insert(ticket, deadline).is_none()),
                    Err(refusal) => assert!(refusal.retry_after > Duration::ZERO),
                }
                let has_capacity = running.len() < 8;
                let mut capacity = if has_capacity { 3 } else { 0 };
                let decisions = admission.poll(now, |_| {
                    capacity -= 1;
                    (capacity >= 0).then_some(FORECAST)
                });
                for (ticket, decision) in decisions {
                    let deadline = waiting.remove(&ticket).expect("decided once");
                    let end = now + Duration::from_micros(FORECAST.total_us(TOKENS) as u64);
                    if decision == Decision::Run {
                        assert!(end <= deadline, "runs until {end}, deadline {deadline}");
                        running.push((ticket, end));
                    }
                }
                running.retain(|(ticket, end)| {
                    if *end <= now {
                        admission.finish(*ticket, now, TOKENS);
                    }
                    *end > now
                });
                if rng.random_range(0..10) == 0 {
                    let disconnected = waiting.keys().next().copied();
                    if let Some(ticket) = disconnected {
                        waiting.remove(&ticket);
                        admission.abandon(ticket);
                    }
                }
                assert_eq!(admission.waiting(), waiting.len());
                assert_eq!(admission.running(), running.len());
            }
        });
}

/// A customer that stays within its share keeps its throughput while another floods the queue.
#[test]
fn poll_flood_of_another_customer() {
    let mut admission = Admission::new(Settings::default());
    let mut small: HashMap<Ticket, bool> = HashMap::new();
    let mut refused = 0;
    for ms in 0..20_000_u64 {
        let now = Moment::from_millis(1_000 + ms);
        let deadline = now + Duration::from_secs(2);
        let flood = Offer::new("flood", 1, Class::Interactive, TOKENS, deadline);
        let _ = admission.offer(now, flood);
        // One request starts every 10 ms; the small customer offers 40 % of that.
        if ms % 25 == 0 {
            let offer = Offer::new("small", 1, Class::Interactive, TOKENS, deadline);
            match admission.offer(now, offer) {
                Ok(ticket) => drop(small.insert(ticket, false)),
                Err(_) => refused += 1,
            }
        }
        let mut capacity = u32::from(ms % 10 == 0);
        let decisions = admission.poll(now, |_| {
            let has_capacity = capacity > 0;
            capacity = capacity.saturating_sub(1);
            has_capacity.then_some(FORECAST)
        });
        for (ticket, decision) in decisions {
            if decision == Decision::Run {
                small.entry(ticket).and_modify(|ran| *ran = true);
                admission.finish(ticket, now + Duration::from_millis(400), TOKENS);
            }
        }
    }
    let ran = small.values().filter(|ran| **ran).count();
    assert!(
        ran >= 780 && refused <= 10,
        "{ran} of 800 ran, {refused} refused"
    );
}

/// A slow running request counts as late only once its remaining tokens can't be delivered before
/// the deadline.
#[test]
fn record_progress_slow_request() {
    let mut admission = Admission::new(Settings::default());
    let now = Moment::from_millis(1_000);
    let deadline = now + Duration::from_millis(1_000);
    let offer = Offer::new("c", 1, Class::Interactive, TOKENS, deadline);
    let ticket = admission.offer(now, offer).unwrap();
    let decisions = admission.poll(now, |_| Some(FORECAST));
    assert_eq!(decisions, vec![(ticket, Decision::Run)]);
    let token_time = |i: u32| now + Duration::from_millis(u64::from(i) * 45);
    for i in 1..=6 {
        assert_eq!(
            admission.record_progress(ticket, token_time(i), i),
            Progress::OnTime
        );
    }
    let after_stall = now + Duration::from_millis(900);
    assert_eq!(
        admission.record_progress(ticket, after_stall, 7),
        Progress::TooLate
    );
}
