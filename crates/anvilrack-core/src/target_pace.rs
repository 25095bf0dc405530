//! How long a target takes for a request.

use std::time::Duration;

/// Weight of the newest request in the mean, as a divisor.
///
/// Requests differ by more than targets do, so the mean is a long one.
const MEAN_WEIGHT: u32 = 48;

/// With fewer requests nothing is said.
const LEAST_SAMPLES: u32 = 30;

/// A mean over a target's requests, which tells slow targets from fast ones.
///
/// Only time at the target counts, without any wait for it. See [`crate::LoadView::at_pace`] for what
/// placement makes of it.
///
/// ```
/// use std::time::Duration;
///
/// let mut pace = anvilrack_core::TargetPace::default();
/// assert_eq!(pace.pace_us(), 0);
/// for _ in 0..30 {
///     pace.record(Duration::from_millis(90));
/// }
/// assert_eq!(pace.pace_us(), 90_000);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetPace {
    mean: Duration,
    samples: u32,
}

impl TargetPace {
    /// A request took so long at the target.
    pub fn record(&mut self, took: Duration) {
        let weight = self.samples.clamp(0, MEAN_WEIGHT - 1);
        self.mean = (self.mean * weight + took) / (weight + 1);
        self.samples = self.samples.saturating_add(1);
    }

    /// The mean in microseconds; zero while too little is known.
    #[must_use]
    pub fn pace_us(&self) -> u32 {
        if self.samples < LEAST_SAMPLES {
            return 0;
        }
        u32::try_from(self.mean.as_micros()).unwrap_or(u32::MAX)
    }
}
