//! How many requests a target may run side by side, by its measured latency.

use std::time::Duration;

use crate::BootTime;
use crate::moving_mean::moving_mean;

/// Shortest time over which latencies are gathered before the limit changes.
const WINDOW: Duration = Duration::from_millis(100);

/// Fewest latencies by which the limit changes.
const WINDOW_SAMPLES: u32 = 8;

/// A base latency is forgotten after at most twice this time.
const BASE_AGE: Duration = Duration::from_secs(5);

/// The limit goes down where the latency is more than this many times its base.
const TOLERANCE: u32 = 2;

/// Slow windows one after another before the limit goes down; one alone may be chance.
const SLOW_WINDOWS: u32 = 3;

/// Latency that is never held against a target.
const SLACK: Duration = Duration::from_millis(1);

/// The limit never goes below this part of the slots.
const LEAST_PART: u32 = 4;

/// Weight of the newest latency in the mean, as a divisor.
const MEAN_WEIGHT: u32 = 8;

/// A bound that starts at the slots of a target and goes down while latency grows.
///
/// The base is the least window average of the last seconds. A target that stays slow at the least
/// limit is slow for another reason than its load: that latency becomes the base, and the target gets
/// its slots back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LatencyLimit {
    slots: u32,
    limit: u32,
    adaptive: bool,
    mean: Duration,
    window: LatencyWindow,
    slow_windows: u32,
    base: Option<Duration>,
    next_base: Option<Duration>,
    base_since: BootTime,
}

/// Latencies since the last change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LatencyWindow {
    since: BootTime,
    sum: Duration,
    count: u32,
    full: bool,
}

impl LatencyLimit {
    /// You give the requests that the target can run side by side.
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
            base: None,
            next_base: None,
            base_since: BootTime::ZERO,
        }
    }

    /// Keeps the limit at the slots, whatever the latency is.
    #[must_use]
    pub fn with_fixed_limit(mut self) -> Self {
        self.adaptive = false;
        self
    }

    /// Takes another number of slots from a newer configuration.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        if slots != self.slots {
            self.slots = slots;
            self.limit = slots;
        }
    }

    /// Requests that may run side by side now.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Moving mean of the latency.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Takes one measured latency; `full` says whether the limit was reached meanwhile.
    pub fn record(&mut self, took: Duration, full: bool, now: BootTime) {
        self.mean = moving_mean(self.mean, took, MEAN_WEIGHT);
        let window = &mut self.window;
        window.sum += took;
        window.count += 1;
        window.full |= full;
        if window.count >= WINDOW_SAMPLES && now >= window.since + WINDOW {
            self.close_window(now);
        }
    }

    fn close_window(&mut self, now: BootTime) {
        let average = self.window.sum / self.window.count;
        let full = self.window.full;
        self.window = LatencyWindow {
            since: now,
            ..LatencyWindow::default()
        };
        let base = self.renew_base(average, now);
        if !self.adaptive {
            return;
        }
        let slow = average > base * TOLERANCE + SLACK;
        self.slow_windows = if slow { self.slow_windows + 1 } else { 0 };
        if slow && self.slow_windows < SLOW_WINDOWS {
            return;
        }
        if slow {
            self.lower(average);
        } else if full {
            self.limit = (self.limit + 1).min(self.slots);
        }
    }

    /// Lowers the limit; where it is at its least already, fewer requests do not help.
    fn lower(&mut self, average: Duration) {
        let least = self.slots.div_ceil(LEAST_PART);
        if self.limit > least {
            self.limit = (self.limit * 4 / 5).max(least);
        } else {
            self.base = Some(average);
            self.next_base = Some(average);
        }
    }

    fn renew_base(&mut self, average: Duration, now: BootTime) -> Duration {
        let least = |known: Option<Duration>| known.map_or(average, |known| known.min(average));
        if now >= self.base_since + BASE_AGE {
            self.base = self.next_base.take();
            self.base_since = now;
        }
        self.base = Some(least(self.base));
        self.next_base = Some(least(self.next_base));
        least(self.base)
    }
}
