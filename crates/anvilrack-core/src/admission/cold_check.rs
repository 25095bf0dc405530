//! Decides when the health check of the local target can tell whether it has become cold.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::BootTime;
use crate::moving_average::moving_average;

/// Minimum time between two checks.
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// Pause after a check that told nothing new; it doubles with each such check up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_secs(1);

/// Maximum pause after a check that told nothing new.
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// Number of latest responses that show whether the target has become slow.
const RECENT_COUNT: usize = 7;

/// Responses older than this do not show it.
const RECENT_TIME: Duration = Duration::from_secs(2);

/// Service time in percent of the usual one from which a response is slow.
///
/// Service times have a long tail, so the median of the recent responses has to be slow.
const SLOW_PERCENT: u128 = 180;

/// Number of responses of a kind after which its usual service time is known.
const MIN_SAMPLES: u32 = 12;

/// Divisor for the weight of the newest response in the usual service time.
const USUAL_WEIGHT_DIVISOR: u32 = 32;

/// Maximum number of kinds of requests with a usual service time; one more clears them all.
const MAX_KINDS: usize = 64;

/// Period over which requests are counted.
const LOAD_PERIOD: Duration = Duration::from_millis(500);

/// Weight of the newest period in the usual number of requests.
const LOAD_WEIGHT: f64 = 0.125;

/// Rise of the number of requests from which a rise of the service times is no surprise.
const LOAD_FACTOR: f64 = 1.5;

/// Rise of the number of requests that is not told apart from chance.
const LOAD_NOISE: f64 = 3.0;

/// Why a health check can tell something new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckReason {
    /// The target is expected to be cold, for instance because its failure domain was evacuated.
    Expected,
    /// The target has sent no notifications for some time.
    Silence,
    /// A connection to the target failed.
    ConnectionFailure,
    /// Responses suddenly take longer, although the target does not get more requests.
    SlowDown,
}

impl CheckReason {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Expected => "expected",
            Self::Silence => "silence",
            Self::ConnectionFailure => "connection-failure",
            Self::SlowDown => "slow-down",
        }
    }
}

/// Decides when to check the health of the local target.
///
/// Each check has a price, so a suspicion that turned out wrong doubles the pause before the next check.
#[derive(Clone, Debug, Default)]
pub struct ColdCheck {
    pending: Option<CheckReason>,
    /// Time before which no check is made.
    next_at: BootTime,
    pause: Duration,
    usual: BTreeMap<Arc<str>, UsualTime>,
    /// Times of the latest responses, and their service times in percent of the usual ones.
    recent: VecDeque<(BootTime, u128)>,
    load: LoadMeter,
}

#[derive(Clone, Copy, Debug, Default)]
struct UsualTime {
    mean: Duration,
    samples: u32,
}

/// Counts the requests of each period.
#[derive(Clone, Copy, Debug, Default)]
struct LoadMeter {
    index: u128,
    count: u32,
    previous: u32,
    /// Moving average of the periods before the previous one.
    usual: f64,
}

impl ColdCheck {
    /// Requests a check.
    pub fn request(&mut self, reason: CheckReason) {
        self.pending.get_or_insert(reason);
    }

    /// Counts a request that is sent to the target.
    pub fn on_sent(&mut self, now: BootTime) {
        self.load.count(now);
    }

    /// Applies the service time of a request while the target counts as warm. `kind` names the kind of work.
    ///
    /// Returns whether it requests a check.
    pub fn on_response(&mut self, kind: &Arc<str>, took: Duration, now: BootTime) -> bool {
        if self.usual.len() >= MAX_KINDS && !self.usual.contains_key(kind) {
            self.usual.clear();
        }
        let usual = self.usual.entry(kind.clone()).or_default();
        let known = usual.samples >= MIN_SAMPLES;
        let percent = took.as_micros() * 100 / usual.mean.as_micros().max(1);
        // The long tail would raise the mean far above most service times.
        let sample = if known {
            took.min(usual.mean * 2)
        } else {
            took
        };
        usual.mean = moving_average(usual.mean, sample, USUAL_WEIGHT_DIVISOR);
        usual.samples = usual.samples.saturating_add(1);
        if !known {
            return false;
        }
        if self.recent.len() >= RECENT_COUNT {
            self.recent.pop_front();
        }
        self.recent.push_back((now, percent));
        let is_suspicious = self.is_slow(now) && !self.load.has_risen(now);
        if is_suspicious {
            self.request(CheckReason::SlowDown);
        }
        is_suspicious
    }

    /// Applies a report of the target, which tells what a check would.
    pub fn on_report(&mut self) {
        self.pending = None;
        self.recent.clear();
    }

    /// Returns the reason if a check is to be made now. `is_silent` states whether notifications are missing.
    pub fn due(&mut self, is_silent: bool, now: BootTime) -> Option<CheckReason> {
        if is_silent {
            self.request(CheckReason::Silence);
        }
        if now < self.next_at {
            return None;
        }
        let reason = self.pending.take()?;
        self.next_at = now + MIN_PAUSE;
        Some(reason)
    }

    /// Applies the result of a check: whether the target said that it is cold; `None` if it did not say.
    pub fn on_result(&mut self, reason: CheckReason, cold: Option<bool>, now: BootTime) {
        self.recent.clear();
        if cold == Some(true) || (cold == Some(false) && reason == CheckReason::Expected) {
            self.pause = Duration::ZERO;
            self.pending = None;
            return;
        }
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
        self.next_at = now + self.pause;
        if cold.is_none() && reason == CheckReason::Expected {
            self.request(reason);
        }
    }

    fn is_slow(&self, now: BootTime) -> bool {
        let recent = self.recent.iter().filter(|(at, _)| now < *at + RECENT_TIME);
        let slow = recent.filter(|(_, percent)| *percent >= SLOW_PERCENT);
        slow.count() > RECENT_COUNT / 2
    }
}

impl LoadMeter {
    fn count(&mut self, now: BootTime) {
        self.advance(now);
        self.count += 1;
    }

    fn has_risen(&mut self, now: BootTime) -> bool {
        self.advance(now);
        let newest = f64::from(self.previous.max(self.count));
        newest > self.usual * LOAD_FACTOR + LOAD_NOISE
    }

    fn advance(&mut self, now: BootTime) {
        let index = now.as_micros() / LOAD_PERIOD.as_micros();
        // After some idle periods the average is close to zero, whatever their number.
        let passed = index.saturating_sub(self.index).min(32);
        for _ in 0..passed {
            self.usual += (f64::from(self.previous) - self.usual) * LOAD_WEIGHT;
            self.previous = std::mem::take(&mut self.count);
        }
        self.index = self.index.max(index);
    }
}
