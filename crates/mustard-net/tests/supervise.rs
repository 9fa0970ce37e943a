//! Tasks that panic.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use mustard_net::supervise::{TaskEnd, supervise};

/// One unexpected value makes a task of the process panic. Guards against a process that goes on without
/// the task, or that ends.
#[ntex::test]
async fn supervise_panicking_task() {
    let starts = Rc::new(Cell::new(0));
    let ends = Rc::new(RefCell::new(Vec::new()));
    let task = {
        let starts = Rc::clone(&starts);
        move || {
            let starts = Rc::clone(&starts);
            async move {
                starts.set(starts.get() + 1);
                let start = starts.get();
                sleep(Duration::from_millis(5)).await;
                assert!(start > 2, "an unexpected value");
                std::future::pending::<()>().await;
            }
        }
    };
    let seen = Rc::clone(&ends);
    let supervised = supervise(task, move |end| seen.borrow_mut().push(end));
    assert!(
        timeout(Duration::from_secs(1), supervised).await.is_err(),
        "it runs for the life of the process"
    );
    assert_eq!(starts.get(), 3);
    assert_eq!(*ends.borrow(), [TaskEnd::Panicked; 2]);
}
