//! Orders carried out by any life of an agent never go back to a lower fencing number.
#![allow(clippy::unwrap_used)]

use std::future::Future;

use bolero::{TypeGenerator, check, produce};

use mustard_agent::fence::{Watermark, row_key};
use mustard_core::ids::Fence;
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

fn run<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    runtime.block_on(work)
}

#[test]
fn raise_any_schedule() {
    check!()
        .with_generator(produce::<Vec<Op>>().with().len(5..80usize))
        .with_iterations(2_000)
        .for_each(|ops| {
            let table = MemTable::new();
            let mut life = Watermark::new(VM);
            let mut done = Fence(0);
            for op in ops {
                match *op {
                    Op::Order { fence } => {
                        let fence = Fence(u64::from(fence % 8));
                        let raised = run(life.raise(&table, fence));
                        if raised.is_ok() && life.check(fence).is_ok() {
                            assert!(fence >= done, "{fence} after {done}");
                            done = fence;
                        }
                    }
                    Op::Restart => life = Watermark::new(VM),
                    Op::Down(down) => table.switches().set_down(down),
                    Op::LoseAnswers(n) => table.switches().lose_answers(u32::from(n % 3)),
                    Op::LoseWrites(n) => table.switches().lose_writes(u32::from(n % 3)),
                }
            }
            table.switches().set_down(false);
            table.switches().lose_answers(0);
            table.switches().lose_writes(0);
            let next = Fence(9);
            assert_eq!(run(life.raise(&table, next)), Ok(()));
        });
}

#[test]
fn raise_after_restart_reads_back() {
    let table = MemTable::new();
    run(Watermark::new(VM).raise(&table, Fence(7))).unwrap();
    assert_eq!(table.peek(&row_key(VM)).value, "{\"fence\":7}");
    let life = Watermark::new(VM);
    table.switches().set_down(true);
    let down = run(life.raise(&table, Fence(9))).unwrap_err();
    assert!(matches!(down, Refusal::PlatformDown { .. }));
    assert!(matches!(
        life.check(Fence(9)),
        Err(Refusal::PlatformDown { .. })
    ));
    table.switches().set_down(false);
    let highest = Fence(7);
    let old = run(life.raise(&table, Fence(6)));
    assert_eq!(old, Err(Refusal::Fenced { highest }));
    assert_eq!(run(life.raise(&table, Fence(7))), Ok(()));
}
