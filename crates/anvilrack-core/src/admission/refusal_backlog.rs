//! Tells refused requests when to return, one after the other.

use std::time::Duration;

use crate::{BootTime, RequestRate};

/// Maximum time that a refused request is told to wait, unless the next request takes longer.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The requests that a limit on the rate has refused and that may return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RefusalBacklog {
    /// Time at which the requests that were refused so far can have run, if they all return.
    until: BootTime,
}

impl RefusalBacklog {
    pub(super) fn new(now: BootTime) -> Self {
        Self { until: now }
    }

    /// Adds a refused request, and returns the time after which it should return.
    ///
    /// `next` is the time until the limit allows a request.
    pub(super) fn add(&mut self, next: Duration, rate: RequestRate, now: BootTime) -> Duration {
        let interval = Duration::from_secs_f64(1.0 / rate);
        self.until = (self.until + interval).max(now + next);
        self.until = self.until.min(now + MAX_RETRY_AFTER.max(next));
        self.until.saturating_sub(now)
    }
}
