//! Limits the rate of requests to one target to the limit that the target names.

use std::time::Duration;

use super::refusal_backlog::RefusalBacklog;
use crate::{BootTime, ColdStart};

/// Requests a second.
pub type RequestRate = f64;

/// Rate of requests to a target that takes none, because only a response can tell that its limit is gone.
pub(super) const MIN_RATE: RequestRate = 0.25;

/// Maximum rate that is told apart from no limit; it keeps times finite.
pub(super) const MAX_RATE: RequestRate = 1e9;

/// Time whose requests may come all at once.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Time for which responses must have named no limit before it is lifted.
const LIFT_DELAY: Duration = Duration::from_millis(500);

/// A token bucket whose rate follows the limit that the target names in its responses, together with the limit
/// on the requests to a cold target ([`ColdStart`]); the smaller of both is in force.
///
/// Requests that the target's callers begin take a token each. Calls of other targets may overdraw the
/// bucket, because the run that waits for them would fail: they take the tokens of later requests.
///
/// ```
/// use std::time::Duration;
/// use anvilrack_core::RateLimiter;
///
/// let at = Duration::from_millis;
/// let mut limiter = RateLimiter::default();
/// limiter.on_response(Some(4.0), at(0));
/// assert!(limiter.take(false, at(0)).is_ok());
/// assert_eq!(limiter.take(false, at(0)), Err(at(250)));
/// assert!(limiter.take(false, at(250)).is_ok());
/// ```
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    limit: Option<NamedLimit>,
    cold: ColdStart,
}

#[derive(Clone, Copy, Debug)]
struct NamedLimit {
    rate: RequestRate,
    named_at: BootTime,
    tokens: f64,
    updated_at: BootTime,
    backlog: RefusalBacklog,
}

impl RateLimiter {
    /// Applies the limit that a response names, in requests a second; `None` if it names none.
    ///
    /// Returns whether the limit has changed.
    pub fn on_response(&mut self, named: Option<RequestRate>, now: BootTime) -> bool {
        let Some(rate) = named else {
            // Responses may have overtaken each other.
            let lifted = |limit: &NamedLimit| now >= limit.named_at + LIFT_DELAY;
            return self.limit.take_if(|limit| lifted(limit)).is_some();
        };
        let rate = rate.clamp(MIN_RATE, MAX_RATE);
        if let Some(limit) = &mut self.limit {
            limit.refill(now);
            limit.named_at = now;
            let previous = std::mem::replace(&mut limit.rate, rate);
            return previous.total_cmp(&rate).is_ne();
        }
        self.limit = Some(NamedLimit {
            rate,
            named_at: now,
            tokens: 1.0,
            updated_at: now,
            backlog: RefusalBacklog::new(now),
        });
        true
    }

    /// Applies the start of an incarnation, which names no limit yet. `cold_for` is the time for which it states
    /// that it is cold; `None` if it does not state it.
    pub fn on_new_incarnation(&mut self, cold_for: Option<Duration>, now: BootTime) {
        self.limit = None;
        self.cold.on_new_incarnation(cold_for, now);
    }

    /// Returns what is known about whether the target is cold.
    #[must_use]
    pub fn cold(&self) -> &ColdStart {
        &self.cold
    }

    /// Returns what is known about whether the target is cold, for updates.
    pub fn cold_mut(&mut self) -> &mut ColdStart {
        &mut self.cold
    }

    /// Returns the limit in requests a second that is in force: the smaller one of that which the target names
    /// and that of a cold target; `None` if there is none.
    #[must_use]
    pub fn rate_in_force(&self, now: BootTime) -> Option<RequestRate> {
        let rates = [self.rate(), self.cold.rate(now)];
        rates.into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Returns the limit that the target names in requests a second; `None` if it names none.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.limit.map(|limit| limit.rate)
    }

    /// Checks whether a request may be sent now, without taking a token.
    ///
    /// # Errors
    ///
    /// Returns the time after which a retry is worthwhile.
    pub fn check(&mut self, is_call: bool, now: BootTime) -> Result<(), Duration> {
        let named = match &mut self.limit {
            Some(limit) => limit.check(is_call, now),
            None => Ok(()),
        };
        match (named, self.cold.check(is_call, now)) {
            (Err(named), Err(cold)) => Err(named.max(cold)),
            (Ok(()), result) | (result, Ok(())) => result,
        }
    }

    /// Takes a token for a request that is sent now.
    ///
    /// # Errors
    ///
    /// Returns the time after which a retry is worthwhile.
    pub fn take(&mut self, is_call: bool, now: BootTime) -> Result<(), Duration> {
        self.check(is_call, now)?;
        if let Some(limit) = &mut self.limit {
            limit.tokens -= 1.0;
        }
        self.cold.record_sent(now);
        Ok(())
    }
}

impl NamedLimit {
    fn burst(&self) -> f64 {
        1.0 + self.rate * BURST_TIME.as_secs_f64()
    }

    fn refill(&mut self, now: BootTime) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst());
        self.updated_at = self.updated_at.max(now);
    }

    fn check(&mut self, is_call: bool, now: BootTime) -> Result<(), Duration> {
        self.refill(now);
        let overdraft = if is_call { self.burst() } else { 0.0 };
        if self.tokens + overdraft >= 1.0 {
            return Ok(());
        }
        let next = Duration::from_secs_f64((1.0 - self.tokens) / self.rate);
        Err(self.backlog.add(next, self.rate, now))
    }
}
