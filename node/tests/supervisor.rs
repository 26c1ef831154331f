//! Tasks that the supervisor runs again if they panic.

use badgerglade::guard::{Guard, Violation};
use badgerglade::supervisor::Supervisor;
use std::cell::Cell;
use std::rc::Rc;
use tokio::task::LocalSet;

/// Guards against a process that continues without a task that has panicked.
#[tokio::test(start_paused = true)]
async fn a_task_that_panics_begins_anew() {
    let tasks = LocalSet::new();
    let guard = Rc::new(Guard::default());
    let supervisor = Supervisor::new(guard.clone());
    let start_count = Rc::new(Cell::new(0));
    let (count, task_supervisor) = (start_count.clone(), supervisor);
    let ended = tasks.run_until(async move {
        let task = task_supervisor.run("test", move || {
            count.set(count.get() + 1);
            let run_number = count.get();
            async move { assert!(run_number > 2, "panic {run_number}") }
        });
        task.await
    });
    assert!(ended.await.is_ok());
    assert_eq!((start_count.get(), guard.count(Violation::TaskPanicked)), (3, 2));
}
