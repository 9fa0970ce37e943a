//! Membership, breakers and subsets while servers flap, join and leave.

#![allow(clippy::unwrap_used)]

use std::collections::HashSet;

use bolero::check;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::clock::Moment;
use mustard_core::ids::Incarnation;
use mustard_policy::breaker::{Allowed, Breaker};
use mustard_policy::fleet::State;
use mustard_policy::membership::{ListedState, Membership, Observation, ReportedState};
use mustard_policy::subset::{Candidate, EntryProcess, choose_subset};

const INCARNATION: Incarnation = Incarnation(1);
const READY: Observation = Observation::Heartbeat(INCARNATION, ReportedState::Ready);

/// A member misses every other pair of heartbeats. Its state must change less and less often, or
/// work would move back and forth.
#[test]
fn observe_flapping_member() {
    let mut members = Membership::new();
    let mut changes = 0;
    for second in 0..120_u64 {
        let now = Moment::from_millis(second * 1_000);
        let observation = if second % 4 < 2 {
            READY
        } else {
            Observation::HeartbeatMissed
        };
        changes += u32::from(members.observe(now, "vm", observation).is_some());
    }
    assert!(changes <= 8, "{changes} changes of state in 120 s");
}

/// Observations come in random order. A member that is leaving or gone must not become ready unless
/// its own agent says so, or the platform lists the VM anew.
#[test]
fn observe_random_order() {
    check!()
        .with_iterations(500)
        .with_type::<u64>()
        .for_each(|seed| {
            let mut rng = ChaCha8Rng::seed_from_u64(*seed);
            let mut members = Membership::new();
            let (mut leaving, mut listed) = (false, ListedState::Live);
            for i in 0..200_u64 {
                let now = Moment::from_millis(i * 100);
                let observation = match rng.random_range(0..8) {
                    0 => Observation::Listed(
                        [ListedState::Live, ListedState::Leaving, ListedState::Gone]
                            [rng.random_range(0..3)],
                    ),
                    1 => Observation::HeartbeatMissed,
                    2 => Observation::RefusedLeaving(INCARNATION),
                    3 => Observation::CallFailed,
                    4 => Observation::CallSucceeded,
                    5 => Observation::Heartbeat(INCARNATION, ReportedState::Leaving),
                    _ => READY,
                };
                match observation {
                    Observation::Listed(l) => {
                        if listed == ListedState::Gone && l == ListedState::Live {
                            leaving = false;
                        }
                        listed = l;
                    }
                    Observation::RefusedLeaving(_)
                    | Observation::Heartbeat(_, ReportedState::Leaving) => leaving = true,
                    Observation::Heartbeat(_, ReportedState::Ready) => leaving = false,
                    _ => {}
                }
                members.observe(now, "vm", observation);
                members.tick(now);
                let state = members.state("vm").unwrap();
                if leaving || listed != ListedState::Live {
                    assert_ne!(state, State::Ready, "after {observation:?}");
                }
                if listed == ListedState::Gone {
                    assert_eq!(state, State::Dead);
                }
            }
        });
}

/// A silent member becomes suspect, then dead. Its next incarnation is ready at once.
#[test]
fn observe_silence_and_restart() {
    let mut members = Membership::new();
    let at = Moment::from_millis;
    members.observe(at(0), "vm", READY);
    members.observe(at(1_000), "vm", Observation::Unreachable);
    assert_eq!(members.state("vm"), Some(State::Suspect));
    members.observe(at(2_000), "vm", Observation::HeartbeatMissed);
    assert!(members.tick(at(9_000)).is_empty());
    assert_eq!(members.tick(at(12_000)).len(), 1);
    assert_eq!(members.state("vm"), Some(State::Dead));
    members.observe(
        at(13_000),
        "vm",
        Observation::Heartbeat(Incarnation(2), ReportedState::Ready),
    );
    assert_eq!(members.state("vm"), Some(State::Ready));
}

#[test]
fn permit_open_probe_and_ramp() {
    let mut breaker = Breaker::new();
    let at = Moment::from_millis;
    assert!(
        !breaker.record_failure(at(0))
            && !breaker.record_failure(at(1))
            && breaker.record_failure(at(2))
    );
    assert_eq!(breaker.permit(at(100)), Allowed::Nothing);
    assert_eq!(breaker.permit(at(600)), Allowed::Probe);
    assert_eq!(breaker.permit(at(601)), Allowed::Nothing);
    breaker.record_success(at(700));
    let Allowed::Share(share) = breaker.permit(at(700)) else {
        panic!("the breaker is not closed after a successful probe");
    };
    assert!(share < 0.2);
    assert_eq!(breaker.permit(at(10_000)), Allowed::Share(1.0));
    // A failure while the load ramps up opens the breaker again, and for longer.
    let mut reopened = Breaker::new();
    reopened.open(at(0));
    assert_eq!(reopened.permit(at(500)), Allowed::Probe);
    reopened.record_success(at(500));
    assert!(reopened.record_failure(at(600)));
    assert_eq!(reopened.permit(at(1_200)), Allowed::Nothing);
    assert_eq!(reopened.permit(at(1_600)), Allowed::Probe);
}

/// Returns the VMs in the subset of the entry process with the index `own`.
fn subset_of(
    process_count: usize,
    servers: &[(String, String, u64)],
    own: usize,
    size: usize,
) -> HashSet<String> {
    let names: Vec<_> = (0..process_count)
        .map(|i| (format!("e{i}"), format!("d{}", i % 3)))
        .collect();
    let processes: Vec<EntryProcess> = names
        .iter()
        .map(|(name, domain)| EntryProcess { name, domain })
        .collect();
    let candidates: Vec<Candidate> = servers
        .iter()
        .map(|(vm, domain, group)| Candidate {
            vm,
            domain,
            group: *group,
        })
        .collect();
    choose_subset(processes[own], &processes, &candidates, size)
        .into_iter()
        .map(|i| servers[i].0.clone())
        .collect()
}

/// Each subset has enough servers of each group, the servers are spread evenly over the subsets,
/// and few of them move when a process or a server joins.
#[test]
fn choose_subset_even_and_stable() {
    let servers: Vec<_> = (0..900)
        .map(|i| {
            (
                format!("vm-{i}"),
                format!("d{}", i % 3),
                (i / 3 % 20) as u64,
            )
        })
        .collect();
    let (process_count, size) = (30, 100);
    let subsets: Vec<_> = (0..process_count)
        .map(|e| subset_of(process_count, &servers, e, size))
        .collect();
    for own in &subsets {
        assert!((60..=150).contains(&own.len()), "{}", own.len());
        for group in 0..20 {
            assert!(
                servers
                    .iter()
                    .filter(|s| s.2 == group && own.contains(&s.0))
                    .count()
                    >= 3
            );
        }
    }
    let known = |vm: &str| subsets.iter().filter(|s| s.contains(vm)).count();
    let counts: Vec<usize> = servers.iter().map(|s| known(&s.0)).collect();
    let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    assert!(*least >= 3 && *most <= 8, "{least} to {most}");

    let count_new =
        |after: &HashSet<String>, before: &HashSet<String>| after.difference(before).count();
    let joined: usize = (0..process_count)
        .map(|e| {
            count_new(
                &subset_of(process_count + 1, &servers, e, size),
                &subsets[e],
            )
        })
        .sum();
    assert!(
        joined <= 450,
        "{joined} servers moved when a process joined"
    );
    let mut more = servers.clone();
    more.push(("vm-new".into(), "d0".into(), 0));
    let added: usize = (0..process_count)
        .map(|e| count_new(&subset_of(process_count, &more, e, size), &subsets[e]))
        .sum();
    assert!(added <= 10, "{added} servers moved when a server joined");
}
