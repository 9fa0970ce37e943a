//! At most one process holds a lease at a time, and every new holder has a higher fence.
#![allow(clippy::unwrap_used)]

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bolero::TypeGenerator;
use tokio::runtime::{Builder, Runtime};

use mustard_core::clock::{Clock, Moment};
use mustard_core::collections::Map;
use mustard_core::ids::{Fence, Incarnation};
use mustard_fakes::memory::MemTable;
use mustard_platform::lease::{Lease, LeaseOptions};

const CONTENDERS: usize = 3;
const TERM: Duration = Duration::from_millis(100);

#[derive(Default)]
struct StepClock(AtomicU64);

impl StepClock {
    fn advance(&self, ms: u64) {
        self.0.fetch_add(ms * 1_000, Ordering::Relaxed);
    }
}

impl Clock for StepClock {
    fn now(&self) -> Moment {
        Moment(self.0.load(Ordering::Relaxed))
    }

    fn wall_ms(&self) -> u64 {
        0
    }
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Advance(u8),
    Poll(u8),
    PollTogether(u8, u8),
    Release(u8),
    Restart(u8),
    LoseAnswer,
    Outage(bool),
}

struct World {
    table: MemTable,
    clock: StepClock,
    leases: Vec<(Incarnation, Lease<MemTable>)>,
    lives: u64,
    holder_of: Map<Fence, Incarnation>,
}

impl World {
    fn new() -> Self {
        let mut world = World {
            table: MemTable::new(),
            clock: StepClock::default(),
            leases: Vec::new(),
            lives: 0,
            holder_of: Map::default(),
        };
        for _ in 0..CONTENDERS {
            let contender = world.contender();
            world.leases.push(contender);
        }
        world
    }

    fn contender(&mut self) -> (Incarnation, Lease<MemTable>) {
        self.lives += 1;
        let holder = Incarnation(self.lives);
        let options = LeaseOptions {
            name: "placement".into(),
            holder,
            term: TERM,
        };
        (holder, Lease::new(self.table.clone(), options))
    }

    async fn run(&mut self, step: Step) {
        let pick = |n: u8| usize::from(n) % CONTENDERS;
        match step {
            Step::Advance(ms) => self.clock.advance(u64::from(ms)),
            Step::Poll(n) => drop(self.leases[pick(n)].1.poll(&self.clock).await),
            Step::PollTogether(a, b) => self.poll_together(pick(a), pick(b)).await,
            Step::Release(n) => drop(self.leases[pick(n)].1.release().await),
            Step::Restart(n) => self.leases[pick(n)] = self.contender(),
            Step::LoseAnswer => self.table.switches().lose_answers(1),
            Step::Outage(down) => self.table.switches().set_down(down),
        }
        self.check();
    }

    /// Lets two contenders read before either writes.
    async fn poll_together(&mut self, a: usize, b: usize) {
        if a == b {
            return;
        }
        let (low, high) = self.leases.split_at_mut(a.max(b));
        self.table.switches().set_yields(2);
        let _ = tokio::join!(
            low[a.min(b)].1.poll(&self.clock),
            high[0].1.poll(&self.clock)
        );
        self.table.switches().set_yields(0);
    }

    fn check(&mut self) {
        let now = self.clock.now();
        let holds = |(life, l): &(Incarnation, Lease<_>)| l.held(now).map(|h| (*life, h.fence));
        let held: Vec<_> = self.leases.iter().filter_map(holds).collect();
        assert!(held.len() <= 1, "two processes hold the lease: {held:?}");
        for (life, fence) in held {
            let holder = self.holder_of.entry(fence).or_insert(life);
            assert_eq!(*holder, life, "two processes had fence {fence}");
        }
        let lasts = self.leases.iter().filter_map(|(_, l)| l.last_fence());
        let mut lasts: Vec<Fence> = lasts.collect();
        let count = lasts.len();
        lasts.sort_unstable();
        lasts.dedup();
        assert_eq!(lasts.len(), count, "two processes go on under one number");
    }
}

fn runtime() -> Runtime {
    Builder::new_current_thread().build().unwrap()
}

#[test]
fn poll_any_schedule() {
    let runtime = runtime();
    bolero::check!()
        .with_type::<Vec<Step>>()
        .with_iterations(2_000)
        .for_each(|steps| {
            let mut world = World::new();
            for step in steps {
                runtime.block_on(world.run(*step));
            }
        });
}

#[test]
fn poll_takes_over_after_term() {
    let runtime = runtime();
    runtime.block_on(async {
        let mut world = World::new();
        world.run(Step::Poll(0)).await;
        world.run(Step::Poll(1)).await;
        world.run(Step::Advance(101)).await;
        assert_eq!(world.leases[0].1.held(world.clock.now()), None);
        world.run(Step::Poll(1)).await;
        assert_eq!(
            world.leases[1].1.held(world.clock.now()).unwrap().fence,
            Fence(2)
        );
    });
}

#[test]
fn last_fence_outage_and_successor() {
    let runtime = runtime();
    runtime.block_on(async {
        let mut world = World::new();
        world.run(Step::Poll(0)).await;
        world.run(Step::Release(0)).await;
        world.run(Step::Outage(true)).await;
        world.run(Step::Poll(0)).await;
        let last = |world: &World, i: usize| world.leases[i].1.last_fence();
        assert_eq!(
            last(&world, 0),
            Some(Fence(1)),
            "kept while the table is away"
        );
        assert_eq!(last(&world, 1), None);
        world.run(Step::Outage(false)).await;
        world.run(Step::Poll(1)).await;
        world.run(Step::Poll(0)).await;
        assert_eq!(last(&world, 0), None, "a higher number was seen");
        assert_eq!(last(&world, 1), Some(Fence(2)));
        world.leases[1].1.forget();
        assert_eq!(last(&world, 1), None);
    });
}
