//! Tasks that run for the life of a process.

use std::future::Future;
use std::time::Duration;

use tokio::time::sleep;

/// The delay before a task that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// How a task that should run for the life of the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// It returned.
    Returned,
    /// It panicked.
    Panicked,
}

/// Runs a task, and starts it again whenever it ends; `on_end` is told of each end.
///
/// A task that panics ends alone: the process goes on without what the task did, for example without
/// following its configuration.
pub async fn supervise<F>(start: impl Fn() -> F, mut on_end: impl FnMut(TaskEnd))
where
    F: Future<Output = ()> + 'static,
{
    loop {
        let end = match ntex::rt::spawn(start()).await {
            Ok(()) => TaskEnd::Returned,
            Err(_) => TaskEnd::Panicked,
        };
        on_end(end);
        sleep(RESTART_DELAY).await;
    }
}
