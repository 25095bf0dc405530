//! Moving averages of durations.

use std::time::Duration;

/// Returns the moving average after one more sample, which has the weight `1 / weight`; a zero
/// `average` stands for no samples yet.
pub(crate) fn moving_average(average: Duration, newest: Duration, weight: u32) -> Duration {
    if average.is_zero() {
        newest
    } else {
        (average * (weight - 1) + newest) / weight
    }
}
