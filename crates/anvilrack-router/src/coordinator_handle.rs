//! Access to the coordinator state during one epoch.

use std::sync::Arc;

use anvilrack_core::{CellRecord, CoordinatorState, Epoch};

use crate::router_context::RouterContext;

/// Handle to the coordinator state for the threads of one epoch.
///
/// A router may lose the coordinator role and win it again while a thread of the old epoch still
/// waits for the store. Such a thread must not change the state of the new epoch, so all threads
/// access the state through this type, which checks the epoch.
#[derive(Clone)]
pub struct CoordinatorHandle {
    /// The router's shared state.
    pub context: Arc<RouterContext>,
    epoch: Epoch,
}

impl CoordinatorHandle {
    /// Creates a handle for `epoch`, in which this router is the coordinator.
    #[must_use]
    pub fn new(context: Arc<RouterContext>, epoch: Epoch) -> Self {
        Self { context, epoch }
    }

    /// Calls `change` with the coordinator state; returns `None` once this epoch has ended here.
    pub fn with_state<R>(&self, change: impl FnOnce(&mut CoordinatorState) -> R) -> Option<R> {
        let mut coordinator = self.context.coordinator();
        let state = coordinator
            .as_mut()
            .filter(|state| state.record().epoch == self.epoch)?;
        Some(change(state))
    }

    /// Returns the last committed record, or `None` once this epoch has ended.
    #[must_use]
    pub fn record(&self) -> Option<CellRecord> {
        let record = self.with_state(|state| {
            let is_current = !state.is_superseded();
            is_current.then(|| state.record().clone())
        });
        record.flatten()
    }

    /// Removes the coordinator state; returns its last record, or `None` if this epoch had already
    /// ended.
    #[must_use]
    pub fn close(self) -> Option<CellRecord> {
        let mut coordinator = self.context.coordinator();
        let is_current_epoch = coordinator
            .as_ref()
            .is_some_and(|state| state.record().epoch == self.epoch);
        let state = if is_current_epoch {
            coordinator.take()
        } else {
            None
        };
        state.map(|state| state.record().clone())
    }
}
