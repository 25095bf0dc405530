//! Measures the service time of a target.

use std::time::Duration;

/// Divisor for the weight of the newest request in the moving average.
///
/// The average covers many requests because requests differ more in duration than targets do.
const AVERAGE_WEIGHT_DIVISOR: u32 = 48;

/// Minimum number of requests before an average is reported.
const MIN_SAMPLES: u32 = 30;

/// Moving average of a target's service time, which distinguishes slow targets from fast ones.
///
/// Only time at the target counts, without waiting time before it. [`crate::LoadView::scaled`]
/// uses it for placement.
///
/// ```
/// use std::time::Duration;
///
/// let mut service_time = anvilrack_core::ServiceTimeMeter::default();
/// assert_eq!(service_time.service_time_us(), 0);
/// for _ in 0..30 {
///     service_time.record(Duration::from_millis(90));
/// }
/// assert_eq!(service_time.service_time_us(), 90_000);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceTimeMeter {
    average: Duration,
    samples: u32,
}

impl ServiceTimeMeter {
    /// Adds the service time of one request.
    pub fn record(&mut self, took: Duration) {
        let weight = self.samples.clamp(0, AVERAGE_WEIGHT_DIVISOR - 1);
        self.average = (self.average * weight + took) / (weight + 1);
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the average in microseconds; zero if there are too few samples.
    #[must_use]
    pub fn service_time_us(&self) -> u32 {
        if self.samples < MIN_SAMPLES {
            return 0;
        }
        u32::try_from(self.average.as_micros()).unwrap_or(u32::MAX)
    }
}
