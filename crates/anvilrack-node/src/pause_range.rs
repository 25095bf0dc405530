//! Pauses between tries that fail one after the other.

use std::time::Duration;

/// Pauses that double from the first to the longest, each with some jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PauseRange {
    average: Duration,
    longest: Duration,
}

impl PauseRange {
    /// You give the first and the longest pause, on average, in milliseconds.
    #[must_use]
    pub const fn new(first_ms: u64, longest_ms: u64) -> Self {
        Self {
            average: Duration::from_millis(first_ms),
            longest: Duration::from_millis(longest_ms),
        }
    }

    /// The next pause, between a half and one and a half of its average.
    pub fn next(&mut self) -> Duration {
        let average = self.average;
        self.average = (average * 2).min(self.longest);
        average.mul_f64(rand::random_range(0.5..1.5))
    }
}
