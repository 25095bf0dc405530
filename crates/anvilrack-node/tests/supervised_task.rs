//! Long-lived tasks that panic.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anvilrack_node::spawn_supervised;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// A task that had panicked was gone, and the router went on without it.
#[tokio::test]
async fn task_that_panics_is_started_again() {
    let starts = Arc::new(AtomicUsize::new(0));
    let completed = Arc::new(Notify::new());
    let (task_starts, task_completed) = (starts.clone(), completed.clone());
    spawn_supervised("test", move || {
        let start = task_starts.fetch_add(1, Ordering::Relaxed);
        let completed = task_completed.clone();
        async move {
            assert!(start >= 2, "an unexpected error");
            completed.notify_one();
        }
    });
    let result = timeout(Duration::from_secs(5), completed.notified()).await;
    assert!(result.is_ok(), "not completed");
    // A task that has completed is not started again.
    sleep(Duration::from_millis(700)).await;
    assert_eq!(starts.load(Ordering::Relaxed), 3);
}
