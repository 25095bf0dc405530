//! Concurrency limit of a target, adapted to its measured latency.

use std::time::Duration;

use crate::BootTime;
use crate::moving_average::moving_average;

/// Minimum time over which latencies are sampled before the limit may change.
const MIN_WINDOW: Duration = Duration::from_millis(100);

/// Minimum number of samples in a window before the limit may change.
const MIN_WINDOW_SAMPLES: u32 = 8;

/// Interval at which the baseline is replaced; a baseline latency expires after at most twice this time.
const BASELINE_INTERVAL: Duration = Duration::from_secs(5);

/// The limit is lowered if the latency exceeds the baseline by more than this factor.
const SLOW_FACTOR: u32 = 2;

/// Number of consecutive slow windows before the limit is lowered; a single one may be noise.
const SLOW_WINDOWS_BEFORE_DECREASE: u32 = 3;

/// Latency above the tolerated multiple of the baseline that does not yet count as slow.
const SLOW_MARGIN: Duration = Duration::from_millis(1);

/// Divisor of the slots that gives the minimum limit.
const MIN_LIMIT_DIVISOR: u32 = 4;

/// Divisor that gives the weight of the newest latency in the moving average.
const AVERAGE_WEIGHT_DIVISOR: u32 = 8;

/// Limit on concurrent requests that starts at the slots of a target and is lowered as latency rises.
///
/// The baseline is the smallest window average of the last seconds. If a target stays slow at the minimum
/// limit, load is not the cause: its current latency becomes the baseline, and the limit rises to the
/// configured slots again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LatencyLimit {
    slots: u32,
    limit: u32,
    adaptive: bool,
    mean: Duration,
    window: LatencyWindow,
    slow_windows: u32,
    baseline: Option<Duration>,
    next_baseline: Option<Duration>,
    baseline_since: BootTime,
}

/// Latencies sampled since the last window was closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LatencyWindow {
    started_at: BootTime,
    sum: Duration,
    count: u32,
    limit_reached: bool,
}

impl LatencyLimit {
    /// Creates a limit for a target that can run `slots` requests concurrently.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            limit: slots,
            adaptive: true,
            mean: Duration::ZERO,
            window: LatencyWindow::default(),
            slow_windows: 0,
            baseline: None,
            next_baseline: None,
            baseline_since: BootTime::ZERO,
        }
    }

    /// Disables adaptation: the limit stays equal to the slots.
    #[must_use]
    pub fn with_fixed_limit(mut self) -> Self {
        self.adaptive = false;
        self
    }

    /// Sets the number of slots, after a configuration change.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        if slots != self.slots {
            self.slots = slots;
            self.limit = slots;
        }
    }

    /// Returns the number of requests that may currently run concurrently.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the moving average of the latency.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Adds one measured latency; `limit_reached` says whether the limit was reached meanwhile.
    pub fn record(&mut self, latency: Duration, limit_reached: bool, now: BootTime) {
        self.mean = moving_average(self.mean, latency, AVERAGE_WEIGHT_DIVISOR);
        let window = &mut self.window;
        window.sum += latency;
        window.count += 1;
        window.limit_reached |= limit_reached;
        if window.count >= MIN_WINDOW_SAMPLES && now >= window.started_at + MIN_WINDOW {
            self.close_window(now);
        }
    }

    fn close_window(&mut self, now: BootTime) {
        let average = self.window.sum / self.window.count;
        let limit_reached = self.window.limit_reached;
        self.window = LatencyWindow {
            started_at: now,
            ..LatencyWindow::default()
        };
        let baseline = self.update_baseline(average, now);
        if !self.adaptive {
            return;
        }
        let slow = average > baseline * SLOW_FACTOR + SLOW_MARGIN;
        self.slow_windows = if slow { self.slow_windows + 1 } else { 0 };
        if slow && self.slow_windows < SLOW_WINDOWS_BEFORE_DECREASE {
            return;
        }
        if slow {
            self.decrease(average);
        } else if limit_reached {
            self.limit = (self.limit + 1).min(self.slots);
        }
    }

    /// Lowers the limit, or adopts `average` as the baseline if the limit is already at its minimum.
    fn decrease(&mut self, average: Duration) {
        let min_limit = self.slots.div_ceil(MIN_LIMIT_DIVISOR);
        if self.limit > min_limit {
            self.limit = (self.limit * 4 / 5).max(min_limit);
        } else {
            self.baseline = Some(average);
            self.next_baseline = Some(average);
        }
    }

    fn update_baseline(&mut self, average: Duration, now: BootTime) -> Duration {
        let min_with = |known: Option<Duration>| known.map_or(average, |known| known.min(average));
        if now >= self.baseline_since + BASELINE_INTERVAL {
            self.baseline = self.next_baseline.take();
            self.baseline_since = now;
        }
        self.baseline = Some(min_with(self.baseline));
        self.next_baseline = Some(min_with(self.next_baseline));
        min_with(self.baseline)
    }
}
