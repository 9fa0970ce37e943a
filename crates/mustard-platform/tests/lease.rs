//! At most one process holds a lease at a time, and each new holder has a higher fencing token.
//!
//! Guards against two holders after delayed polls, lost answers, restarts and outages of the table.
#![allow(clippy::unwrap_used)]

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bolero::TypeGenerator;
use tokio::runtime::{Builder, Runtime};

use mustard_core::clock::{Clock, Moment};
use mustard_core::collections::Map;
use mustard_core::ids::{Era, Fence, Incarnation};
use mustard_fakes::memory::{MemTable, TableCopy};
use mustard_platform::lease::{Lease, LeaseOptions};

const CONTENDERS: usize = 3;
const TERM: Duration = Duration::from_millis(100);

/// A clock that only the test advances.
#[derive(Default)]
struct ManualClock(AtomicU64);

impl ManualClock {
    fn advance(&self, ms: u64) {
        self.0.fetch_add(ms * 1_000, Ordering::Relaxed);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Moment {
        Moment(self.0.load(Ordering::Relaxed))
    }

    fn wall_ms(&self) -> u64 {
        0
    }
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// Advances the clock by milliseconds.
    Advance(u8),
    Renew(u8),
    RenewTogether(u8, u8),
    Release(u8),
    /// Replaces a contender by one of a new incarnation.
    Restart(u8),
    /// Lets the next write to the table take effect but loses its answer.
    LoseAnswer,
    /// Makes the table unavailable, or available again.
    Outage(bool),
    /// Copies the table, in place of the copy before.
    Copy,
    /// Restores the table from the last copy.
    Restore,
    /// Restores the table while a contender writes a row that it has read before.
    RestoreInWrite(u8),
}

/// Several contenders for one lease, with the clock and the table that they share.
struct Fixture {
    table: MemTable,
    clock: ManualClock,
    leases: Vec<(Incarnation, Lease<MemTable>)>,
    incarnations: u64,
    holder_of: Map<Fence, Incarnation>,
    copy: TableCopy,
    era: Era,
}

impl Fixture {
    fn new() -> Self {
        let table = MemTable::new();
        let mut fixture = Fixture {
            copy: table.copy(),
            era: Era(0),
            table,
            clock: ManualClock::default(),
            leases: Vec::new(),
            incarnations: 0,
            holder_of: Map::default(),
        };
        for _ in 0..CONTENDERS {
            let contender = fixture.new_contender();
            fixture.leases.push(contender);
        }
        fixture
    }

    fn new_contender(&mut self) -> (Incarnation, Lease<MemTable>) {
        self.incarnations += 1;
        let holder = Incarnation(self.incarnations);
        let options = LeaseOptions {
            name: "placement".into(),
            holder,
            term: TERM,
        };
        (holder, Lease::new(self.table.clone(), options))
    }

    async fn run(&mut self, step: Step) {
        let index_of = |n: u8| usize::from(n) % CONTENDERS;
        match step {
            Step::Advance(ms) => self.clock.advance(u64::from(ms)),
            Step::Renew(n) => drop(
                self.leases[index_of(n)]
                    .1
                    .renew_or_acquire(&self.clock)
                    .await,
            ),
            Step::RenewTogether(a, b) => self.renew_together(index_of(a), index_of(b)).await,
            Step::Release(n) => drop(self.leases[index_of(n)].1.release().await),
            Step::Restart(n) => self.leases[index_of(n)] = self.new_contender(),
            Step::LoseAnswer => self.table.faults().lose_answers(1),
            Step::Outage(down) => self.table.faults().set_down(down),
            Step::Copy => self.copy = self.table.copy(),
            Step::Restore => self.restore(),
            Step::RestoreInWrite(n) => self.restore_in_write(index_of(n)).await,
        }
        self.check_holders();
    }

    /// Renews or acquires the lease for two contenders, so that both read the row before either
    /// writes it.
    async fn renew_together(&mut self, a: usize, b: usize) {
        if a == b {
            return;
        }
        let (low, high) = self.leases.split_at_mut(a.max(b));
        self.table.faults().set_yields(2);
        let _ = tokio::join!(
            low[a.min(b)].1.renew_or_acquire(&self.clock),
            high[0].1.renew_or_acquire(&self.clock)
        );
        self.table.faults().set_yields(0);
    }

    fn restore(&mut self) {
        self.table.restore(self.copy.clone());
        self.era = self.era.next();
    }

    async fn restore_in_write(&mut self, n: usize) {
        let (table, copy) = (self.table.clone(), self.copy.clone());
        self.table.faults().set_yields(2);
        let restore = async {
            // The contender has read the row and not yet written it.
            for _ in 0..3 {
                tokio::task::yield_now().await;
            }
            table.restore(copy);
        };
        let _ = tokio::join!(self.leases[n].1.renew_or_acquire(&self.clock), restore);
        self.table.faults().set_yields(0);
        self.era = self.era.next();
    }

    fn check_holders(&mut self) {
        let now = self.clock.now();
        let held_by = |(incarnation, l): &(Incarnation, Lease<_>)| {
            l.held(now).map(|h| (*incarnation, h.fence))
        };
        let held: Vec<_> = self.leases.iter().filter_map(held_by).collect();
        // A holder from before a restoration can't know that its row is lost; its token is lower than
        // those of the new era, so that its orders are refused.
        let mut era = Era(0);
        while era <= self.era {
            let range = Fence::first_of(era)..Fence::first_of(era.next());
            let holders = held.iter().filter(|(_, fence)| range.contains(fence));
            assert!(
                holders.count() <= 1,
                "two processes hold the lease: {held:?}"
            );
            era = era.next();
        }
        for (incarnation, fence) in held {
            let holder = self.holder_of.entry(fence).or_insert(incarnation);
            assert_eq!(*holder, incarnation, "two processes had fence {fence}");
        }
        let last_fences = self.leases.iter().filter_map(|(_, l)| l.last_fence());
        let mut last_fences: Vec<Fence> = last_fences.collect();
        let count = last_fences.len();
        last_fences.sort_unstable();
        last_fences.dedup();
        assert_eq!(
            last_fences.len(),
            count,
            "two processes have one last fence"
        );
    }
}

fn runtime() -> Runtime {
    Builder::new_current_thread().build().unwrap()
}

#[test]
fn renew_or_acquire_any_schedule() {
    let runtime = runtime();
    bolero::check!()
        .with_type::<Vec<Step>>()
        .with_iterations(2_000)
        .for_each(|steps| {
            let mut fixture = Fixture::new();
            for step in steps {
                runtime.block_on(fixture.run(*step));
            }
        });
}

/// Guards against a fencing token that is given out twice: the row with the highest one is lost as
/// the table comes back from an older copy.
#[test]
fn renew_or_acquire_restored_table() {
    let runtime = runtime();
    runtime.block_on(async {
        let mut fixture = Fixture::new();
        fixture.run(Step::Renew(0)).await;
        fixture.run(Step::Release(0)).await;
        fixture.run(Step::Copy).await;
        fixture.run(Step::Renew(1)).await;
        let lost = fixture.leases[1].1.last_fence();
        fixture.run(Step::Restore).await;
        fixture.run(Step::Renew(2)).await;
        assert!(fixture.leases[2].1.last_fence() > lost);
    });
}

/// Another contender acquires the lease once the holder's term has passed without renewal.
#[test]
fn renew_or_acquire_takes_over_after_term() {
    let runtime = runtime();
    runtime.block_on(async {
        let mut fixture = Fixture::new();
        fixture.run(Step::Renew(0)).await;
        fixture.run(Step::Renew(1)).await;
        fixture.run(Step::Advance(101)).await;
        assert_eq!(fixture.leases[0].1.held(fixture.clock.now()), None);
        fixture.run(Step::Renew(1)).await;
        assert_eq!(
            fixture.leases[1].1.held(fixture.clock.now()).unwrap().fence,
            Fence(2)
        );
    });
}

/// The last fence survives an outage of the table, but not a higher fence of another contender.
#[test]
fn last_fence_outage_and_successor() {
    let runtime = runtime();
    runtime.block_on(async {
        let mut fixture = Fixture::new();
        fixture.run(Step::Renew(0)).await;
        fixture.run(Step::Release(0)).await;
        fixture.run(Step::Outage(true)).await;
        fixture.run(Step::Renew(0)).await;
        let last = |fixture: &Fixture, i: usize| fixture.leases[i].1.last_fence();
        assert_eq!(
            last(&fixture, 0),
            Some(Fence(1)),
            "kept while the table is unavailable"
        );
        assert_eq!(last(&fixture, 1), None);
        fixture.run(Step::Outage(false)).await;
        fixture.run(Step::Renew(1)).await;
        fixture.run(Step::Renew(0)).await;
        assert_eq!(last(&fixture, 0), None, "a higher fence was seen");
        assert_eq!(last(&fixture, 1), Some(Fence(2)));
        fixture.leases[1].1.discard_fence();
        assert_eq!(last(&fixture, 1), None);
    });
}
