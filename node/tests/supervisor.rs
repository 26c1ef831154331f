//! Tasks that must not end.

use badgerglade::guard::{Guard, Violation};
use badgerglade::supervisor::Supervisor;
use std::cell::Cell;
use std::rc::Rc;
use tokio::task::LocalSet;

/// Guards against a process that goes on without one of its tasks.
#[tokio::test(start_paused = true)]
async fn a_task_that_panics_begins_anew() {
    let tasks = LocalSet::new();
    let guard = Rc::new(Guard::default());
    let supervisor = Supervisor::new(guard.clone());
    let begun = Rc::new(Cell::new(0));
    let (count, runs) = (begun.clone(), supervisor);
    let ended = tasks.run_until(async move {
        let task = runs.run("test", move || {
            count.set(count.get() + 1);
            let nth = count.get();
            async move { assert!(nth > 2, "panic {nth}") }
        });
        task.await
    });
    assert!(ended.await.is_ok());
    assert_eq!((begun.get(), guard.count(Violation::TaskPanicked)), (3, 2));
}
