//! Limits the rate of requests to the local target while it is cold.

use std::collections::VecDeque;
use std::time::Duration;

use super::rate_limiter::{MAX_RATE, MIN_RATE};
use super::refusal_backlog::RefusalBacklog;
use crate::{BootTime, RequestRate, RoutedService};

/// Time over which the requests to a cold target are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Time for which a request counts after it was sent.
///
/// It is longer than the window, because a request may reach the target later than one that was sent after
/// it: a new connection or a busy VM delays single requests by some 10 ms.
const COUNTED_TIME: Duration = Duration::from_millis(1_100);

/// Requests that may come at once.
const BURST: f64 = 2.0;

/// Calls of other targets that may come in addition; new requests make up for them.
const CALL_OVERDRAFT: f64 = 2.0;

/// Maximum number of requests that are remembered; it bounds the memory at absurd rates.
const MAX_COUNTED: usize = 65_536;

/// Time without a report of a target after which it is treated as cold.
///
/// Targets send a notification about every 870 ms, so two were missed.
const MAX_SILENCE: Duration = Duration::from_millis(2_200);

/// Minimum time for which a target is treated as cold that is expected to be and does not report.
const MIN_EXPECTED_TIME: Duration = Duration::from_secs(3);

/// Time for which a silent target is reported as cold; a health check soon tells more.
const SILENT_COLD_TIME: Duration = Duration::from_millis(500);

/// Time after which a request may return that arrived before the limit was known.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// What the site document says about cold targets of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRules {
    /// Requests a second that a cold target tolerates.
    pub rate: RequestRate,
    /// Time for which a target is cold after its start, unless it reports otherwise.
    pub cold_start: Duration,
}

impl ColdRules {
    /// Returns the rules of a service; `None` if its targets may get any rate while they are cold.
    #[must_use]
    pub fn of(service: &RoutedService) -> Option<Self> {
        let rate = service.cold_rate?.clamp(MIN_RATE, MAX_RATE);
        Some(Self {
            rate,
            cold_start: service.cold_start,
        })
    }
}

/// Knows until when the local target is cold, and keeps the requests to it at the rate of its service.
///
/// A token bucket with a small burst spaces the requests out. In addition, the requests of the last second
/// count that were sent before the target became cold, so a target that becomes cold under load gets none
/// until that second is over. The limit stays in force for a second after the target has become warm, so it
/// holds in every second that is partly cold.
///
/// ```
/// use std::time::Duration;
/// use anvilrack_core::{ColdRules, ColdStart};
///
/// let at = Duration::from_millis;
/// let mut cold = ColdStart::default();
/// cold.set_rules(Some(ColdRules { rate: 4.0, cold_start: at(3_000) }), at(0));
/// cold.on_new_incarnation(Some(at(3_000)), at(2_000));
/// cold.record_sent(at(2_000));
/// cold.record_sent(at(2_000));
/// assert_eq!(cold.check(false, at(2_000)), Err(at(250)));
/// cold.on_report(Duration::ZERO, at(2_100));
/// assert_eq!(cold.check(false, at(3_100)), Ok(()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ColdStart {
    limit: ColdLimit,
    /// End of the time for which the target is cold; `None` if it never was.
    cold_until: Option<BootTime>,
    /// Start of an incarnation that has not stated yet whether it is cold.
    unstated_since: Option<BootTime>,
    /// End of the time for which the target counts as cold although it has not reported it.
    expected_until: Option<BootTime>,
    /// When the target last reported whether it is cold; `None` if it never has.
    reported_at: Option<BootTime>,
}

/// The limit on the rate of requests.
#[derive(Clone, Debug, Default)]
enum ColdLimit {
    /// No site document is known yet.
    #[default]
    Unknown,
    /// The service has no limit.
    Unlimited,
    Limited(Box<ColdBucket>),
}

#[derive(Clone, Debug)]
struct ColdBucket {
    rules: ColdRules,
    /// Times of the latest requests, as many as count towards the limit.
    sent: VecDeque<BootTime>,
    /// Until this time, requests may count of which this process does not know.
    unknown_until: BootTime,
    tokens: f64,
    updated_at: BootTime,
    backlog: RefusalBacklog,
}

impl ColdStart {
    /// Sets the rules of the target's service; `None` if its targets are not limited.
    ///
    /// Requests that were sent before are unknown unless the rate stays the same, for instance because this
    /// process has just started. As many as are allowed count as sent then.
    pub fn set_rules(&mut self, rules: Option<ColdRules>, now: BootTime) {
        match (&mut self.limit, rules) {
            (ColdLimit::Limited(bucket), Some(rules)) if bucket.has_rate(rules.rate) => {
                bucket.rules = rules;
            }
            (limit, Some(rules)) => {
                *limit = ColdLimit::Limited(Box::new(ColdBucket::new(rules, now)));
            }
            (limit, None) => *limit = ColdLimit::Unlimited,
        }
        if let (Some(since), Some(rules)) = (self.unstated_since, rules) {
            self.cold_until = Some(since + rules.cold_start);
        }
    }

    /// Returns whether the service limits the requests to its cold targets.
    #[must_use]
    pub fn has_rules(&self) -> bool {
        self.bucket().is_some()
    }

    /// Applies the start of an incarnation, whose first notification states the time for which it is cold,
    /// or does not.
    pub fn on_new_incarnation(&mut self, stated: Option<Duration>, now: BootTime) {
        if let Some(remaining) = stated {
            self.on_report(remaining, now);
            return;
        }
        self.unstated_since = Some(now);
        self.expected_until = None;
        self.reported_at = None;
        if let Some(bucket) = self.bucket() {
            self.cold_until = Some(now + bucket.rules.cold_start);
        }
    }

    /// Applies the remaining time for which the target reports that it is cold; zero if it is warm.
    pub fn on_report(&mut self, remaining: Duration, now: BootTime) {
        self.unstated_since = None;
        self.expected_until = None;
        self.reported_at = Some(now);
        self.cold_until = if remaining.is_zero() {
            self.cold_until.map(|until| until.min(now))
        } else {
            Some(now + remaining)
        };
    }

    /// Applies a response to a health check that does not state whether the target is cold.
    ///
    /// A target that does not report is not expected to be cold.
    pub fn on_unstated_check(&mut self) {
        self.expected_until = None;
        self.reported_at = None;
    }

    /// Treats the target as cold until it reports otherwise.
    ///
    /// A target that does not report counts as warm after the time for which targets are cold after a start.
    pub fn expect_cold(&mut self, now: BootTime) {
        if let Some(bucket) = self.bucket() {
            let until = now + bucket.rules.cold_start.max(MIN_EXPECTED_TIME);
            self.expected_until = Some(until);
        }
    }

    /// Returns whether the target has not reported for so long that it may have become cold.
    #[must_use]
    pub fn is_silent(&self, now: BootTime) -> bool {
        self.reported_at.is_some_and(|at| now >= at + MAX_SILENCE)
    }

    /// Returns the time for which the target will be cold, as far as this router knows; zero if it is warm.
    #[must_use]
    pub fn remaining(&self, now: BootTime) -> Duration {
        let expected = self.is_silent(now).then_some(now + SILENT_COLD_TIME);
        let ends = [self.cold_until, self.expected_until, expected];
        let end = ends.into_iter().flatten().max();
        let remaining = end.map_or(Duration::ZERO, |end| end.saturating_sub(now));
        if self.has_rules() {
            remaining
        } else {
            Duration::ZERO
        }
    }

    /// Returns the limit in requests a second that is in force; `None` if there is none.
    #[must_use]
    pub fn rate(&self, now: BootTime) -> Option<RequestRate> {
        let bucket = self.bucket()?;
        self.is_in_force(now).then_some(bucket.rules.rate)
    }

    /// Checks whether a request may be sent now.
    ///
    /// # Errors
    ///
    /// Returns the time after which a retry is worthwhile.
    pub fn check(&mut self, is_call: bool, now: BootTime) -> Result<(), Duration> {
        let in_force = self.is_in_force(now);
        match &mut self.limit {
            ColdLimit::Limited(bucket) if in_force => bucket.check(is_call, now),
            // The site document follows soon, and may limit the requests to a target that is cold.
            ColdLimit::Unknown if self.cold_until.is_some_and(|until| now < until) => {
                Err(UNKNOWN_RETRY_AFTER)
            }
            _ => Ok(()),
        }
    }

    /// Counts a request that is sent to the target now, whether or not it is cold.
    pub fn record_sent(&mut self, now: BootTime) {
        let in_force = self.is_in_force(now);
        if let ColdLimit::Limited(bucket) = &mut self.limit {
            bucket.record_sent(in_force, now);
        }
    }

    fn is_in_force(&self, now: BootTime) -> bool {
        let cold = self.cold_until.is_some_and(|until| now < until + WINDOW);
        let expected = self.expected_until.is_some_and(|until| now < until);
        cold || expected || self.is_silent(now)
    }

    fn bucket(&self) -> Option<&ColdBucket> {
        match &self.limit {
            ColdLimit::Limited(bucket) => Some(bucket),
            ColdLimit::Unknown | ColdLimit::Unlimited => None,
        }
    }
}

impl ColdBucket {
    fn new(rules: ColdRules, now: BootTime) -> Self {
        Self {
            rules,
            sent: VecDeque::new(),
            unknown_until: now + COUNTED_TIME,
            tokens: BURST,
            updated_at: now,
            backlog: RefusalBacklog::new(now),
        }
    }

    fn has_rate(&self, rate: RequestRate) -> bool {
        self.rules.rate.total_cmp(&rate).is_eq()
    }

    /// Returns the number of requests that may count at a time, if the bucket was full before.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rates are positive, and the limit of the count is far below the largest number"
    )]
    fn max_counted(&self) -> usize {
        let max = self.rules.rate * COUNTED_TIME.as_secs_f64() + BURST + CALL_OVERDRAFT;
        (max as usize).min(MAX_COUNTED)
    }

    fn check(&mut self, is_call: bool, now: BootTime) -> Result<(), Duration> {
        self.refill(now);
        let overdraft = if is_call { CALL_OVERDRAFT } else { 0.0 };
        let missing = (1.0 - self.tokens - overdraft).max(0.0);
        let by_tokens = Duration::from_secs_f64(missing / self.rules.rate);
        let is_full = self.sent.len() >= self.max_counted();
        let oldest = self.sent.front().filter(|_| is_full);
        let counted_until = oldest.map_or(self.unknown_until, |at| {
            self.unknown_until.max(*at + COUNTED_TIME)
        });
        let next = by_tokens.max(counted_until.saturating_sub(now));
        if next.is_zero() {
            return Ok(());
        }
        Err(self.backlog.add(next, self.rules.rate, now))
    }

    fn record_sent(&mut self, in_force: bool, now: BootTime) {
        while self.sent.len() >= self.max_counted() {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
        if in_force {
            self.refill(now);
            self.tokens -= 1.0;
        }
    }

    fn refill(&mut self, now: BootTime) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rules.rate).min(BURST);
        self.updated_at = self.updated_at.max(now);
    }
}
