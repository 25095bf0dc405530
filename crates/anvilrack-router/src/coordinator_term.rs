//! One term of office of this router as its cell's coordinator.

use std::sync::Arc;

use anvilrack_core::{CellRecord, CoordinatorState, Epoch};

use crate::router_context::RouterContext;

/// A term of office, for the threads that serve it.
///
/// A router may lose its office and win it again while a thread of the old term still waits for the
/// store. Such a thread must not touch the state of the new term, so all of them come through here.
#[derive(Clone)]
pub struct CoordinatorTerm {
    /// The router's shared state.
    pub context: Arc<RouterContext>,
    epoch: Epoch,
}

impl CoordinatorTerm {
    /// You give the epoch that this router has just won.
    #[must_use]
    pub fn new(context: Arc<RouterContext>, epoch: Epoch) -> Self {
        Self { context, epoch }
    }

    /// Works on the coordinator's state while this term lasts.
    pub fn with_state<R>(&self, work: impl FnOnce(&mut CoordinatorState) -> R) -> Option<R> {
        let mut coordinator = self.context.coordinator();
        let state = coordinator
            .as_mut()
            .filter(|state| state.record().epoch == self.epoch)?;
        Some(work(state))
    }

    /// The record in force, while this term lasts.
    #[must_use]
    pub fn record(&self) -> Option<CellRecord> {
        let record = self.with_state(|state| {
            let standing = !state.is_superseded();
            standing.then(|| state.record().clone())
        });
        record.flatten()
    }

    /// Gives the office up; returns the last record where it was still held.
    #[must_use]
    pub fn close(self) -> Option<CellRecord> {
        let mut coordinator = self.context.coordinator();
        let held = coordinator
            .as_ref()
            .is_some_and(|state| state.record().epoch == self.epoch);
        let state = if held { coordinator.take() } else { None };
        state.map(|state| state.record().clone())
    }
}
