//! No order is carried out after one with a higher fencing token, also across restarts.
//!
//! Guards against an agent that forgets the highest number: by a restart, while the table is down,
//! or when the answer or the effect of a write is lost.
#![allow(clippy::unwrap_used)]

use std::future::Future;

use bolero::{TypeGenerator, check, produce};

use mustard_agent::fence::{Watermark, row_key};
use mustard_core::ids::{Era, Fence};
use mustard_fakes::memory::MemTable;
use mustard_proto::Refusal;

const VM: &str = "stage-1";

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Op {
    Order { fence: u8 },
    Restart,
    Down(bool),
    LoseAnswers(u8),
    LoseWrites(u8),
}

/// Guards against an order from before the table was restored: the row with the highest token is
/// lost with the restoration, and the agent has restarted since.
#[test]
fn raise_restored_table() {
    let table = MemTable::new();
    let copy = table.copy();
    let watermark = Watermark::new(VM);
    run(watermark.raise(&table, Fence(2))).unwrap();
    table.restore(copy);
    let restarted = Watermark::new(VM);
    let refused = run(restarted.raise(&table, Fence(1)));
    assert!(
        matches!(refused, Err(Refusal::Fenced { .. })),
        "{refused:?}"
    );
    let current = Fence::first_of(Era(1)).next();
    run(restarted.raise(&table, current)).unwrap();
    assert_eq!(restarted.highest(), Some(current));
}

/// Runs a future to its end.
fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    runtime.block_on(future)
}

#[test]
fn raise_any_schedule_keeps_order() {
    check!()
        .with_generator(produce::<Vec<Op>>().with().len(5..80usize))
        .with_iterations(2_000)
        .for_each(|ops| {
            let table = MemTable::new();
            let mut watermark = Watermark::new(VM);
            let mut last_done = Fence(0);
            for op in ops {
                match *op {
                    Op::Order { fence } => {
                        let fence = Fence(u64::from(fence % 8));
                        let raised = run(watermark.raise(&table, fence));
                        if raised.is_ok() && watermark.check(fence).is_ok() {
                            assert!(fence >= last_done, "{fence} after {last_done}");
                            last_done = fence;
                        }
                    }
                    Op::Restart => watermark = Watermark::new(VM),
                    Op::Down(down) => table.faults().set_down(down),
                    Op::LoseAnswers(n) => table.faults().lose_answers(u32::from(n % 3)),
                    Op::LoseWrites(n) => table.faults().lose_writes(u32::from(n % 3)),
                }
            }
            table.faults().set_down(false);
            table.faults().lose_answers(0);
            table.faults().lose_writes(0);
            let next = Fence(9);
            assert_eq!(run(watermark.raise(&table, next)), Ok(()));
        });
}

#[test]
fn raise_after_restart_refuses_until_read() {
    let table = MemTable::new();
    run(Watermark::new(VM).raise(&table, Fence(7))).unwrap();
    assert_eq!(table.stored_row(&row_key(VM)).value, "{\"fence\":7}");
    let watermark = Watermark::new(VM);
    table.faults().set_down(true);
    let error = run(watermark.raise(&table, Fence(9))).unwrap_err();
    assert!(matches!(error, Refusal::PlatformDown { .. }));
    assert!(matches!(
        watermark.check(Fence(9)),
        Err(Refusal::PlatformDown { .. })
    ));
    table.faults().set_down(false);
    let highest = Fence(7);
    let lower = run(watermark.raise(&table, Fence(6)));
    assert_eq!(lower, Err(Refusal::Fenced { highest }));
    assert_eq!(run(watermark.raise(&table, Fence(7))), Ok(()));
}
