//! Means that follow the newest times.

use std::time::Duration;

/// The mean after one more time, which counts for one part in `weight`; zero stands for no mean yet.
pub(crate) fn moving_mean(mean: Duration, newest: Duration, weight: u32) -> Duration {
    if mean.is_zero() {
        newest
    } else {
        (mean * (weight - 1) + newest) / weight
    }
}
