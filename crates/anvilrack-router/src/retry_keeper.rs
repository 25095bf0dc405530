//! The retries of this router: how many it may send, and how many requests may wait for one.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use anvilrack_core::RetryBudget;
use anvilrack_settings::RouterLimits;

/// One in so many of the callers' workers may wait between two tries.
const WAIT_SHARE: usize = 4;

/// The retry budget and the places to wait, shared by the callers' workers.
///
/// A shard without an owner can hold up a share of the workers and no more.
pub struct RetryKeeper {
    budget: Mutex<RetryBudget>,
    waiting: AtomicUsize,
    wait_limit: usize,
}

/// A place to wait between two tries; dropping it gives it back.
pub struct WaitPlace<'a> {
    waiting: &'a AtomicUsize,
}

impl RetryKeeper {
    /// You give the router's bounds.
    #[must_use]
    pub fn new(limits: &RouterLimits) -> Self {
        Self {
            budget: Mutex::default(),
            waiting: AtomicUsize::new(0),
            wait_limit: limits.caller_workers.div_ceil(WAIT_SHARE),
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn on_first_try(&self) {
        self.budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .on_first_try();
    }

    /// Takes one retry, if there is one left.
    pub fn take_retry(&self) -> bool {
        self.budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take_retry()
    }

    /// A place to wait, unless too many requests wait already.
    pub fn enter(&self) -> Option<WaitPlace<'_>> {
        let others = self.waiting.fetch_add(1, Ordering::Relaxed);
        let place = WaitPlace {
            waiting: &self.waiting,
        };
        (others < self.wait_limit).then_some(place)
    }
}

impl Drop for WaitPlace<'_> {
    fn drop(&mut self) {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
