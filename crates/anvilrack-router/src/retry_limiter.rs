//! Limits how many retries this router sends and how many requests wait between two attempts.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use anvilrack_core::RetryBudget;
use anvilrack_settings::RouterLimits;

/// At most one request per this many caller workers may wait between two attempts.
const WORKERS_PER_WAIT_SLOT: usize = 4;

/// The retry budget and the number of waiting requests, shared by the caller workers.
///
/// A waiting request occupies its worker. The limit prevents the requests for a shard without an
/// owner from occupying all workers.
pub struct RetryLimiter {
    budget: Mutex<RetryBudget>,
    waiting: AtomicUsize,
    max_waiting: usize,
}

/// Counts one request as waiting between two attempts, until dropped.
pub struct RetrySlot<'a> {
    waiting: &'a AtomicUsize,
}

impl RetryLimiter {
    /// Creates the budget; the number of caller workers determines how many requests may wait.
    #[must_use]
    pub fn new(limits: &RouterLimits) -> Self {
        Self {
            budget: Mutex::default(),
            waiting: AtomicUsize::new(0),
            max_waiting: limits.caller_workers.div_ceil(WORKERS_PER_WAIT_SLOT),
        }
    }

    /// Counts the first attempt of a request towards the retry budget.
    pub fn on_first_attempt(&self) {
        self.budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .on_first_attempt();
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub fn take_retry(&self) -> bool {
        self.budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take_retry()
    }

    /// Counts a request as waiting; returns `None` if too many are waiting already.
    pub fn acquire_slot(&self) -> Option<RetrySlot<'_>> {
        let waiting_before = self.waiting.fetch_add(1, Ordering::Relaxed);
        let slot = RetrySlot {
            waiting: &self.waiting,
        };
        (waiting_before < self.max_waiting).then_some(slot)
    }
}

impl Drop for RetrySlot<'_> {
    fn drop(&mut self) {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
