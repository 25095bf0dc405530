//! Tasks that run for the life of the process.

use std::time::Duration;

use anvilrack_core::events;
use tokio::time::sleep;

use crate::emit_event;

/// Pause before a task that has panicked is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Spawns a task, and starts it again if it panics.
///
/// Without that, the process would go on with a part of it missing.
pub fn spawn_supervised<S, F>(name: &'static str, mut start: S)
where
    S: FnMut() -> F + Send + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        while let Err(error) = tokio::spawn(start()).await {
            if !error.is_panic() {
                return;
            }
            sleep(RESTART_PAUSE).await;
            emit_event!(Error, events::TASK_RESTARTED, task = name);
        }
    });
}
