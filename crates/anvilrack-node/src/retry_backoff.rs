//! Exponential backoff between failed attempts.

use std::time::Duration;

/// Exponential backoff with jitter: pauses that double up to a maximum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBackoff {
    average: Duration,
    maximum: Duration,
}

impl RetryBackoff {
    /// Creates a backoff whose average pause starts at `first_ms` milliseconds and doubles up to
    /// `maximum_ms`.
    #[must_use]
    pub const fn new(first_ms: u64, maximum_ms: u64) -> Self {
        Self {
            average: Duration::from_millis(first_ms),
            maximum: Duration::from_millis(maximum_ms),
        }
    }

    /// Returns the next pause, between 0.5 and 1.5 times its average.
    pub fn next(&mut self) -> Duration {
        let average = self.average;
        self.average = (average * 2).min(self.maximum);
        average.mul_f64(rand::random_range(0.5..1.5))
    }
}
