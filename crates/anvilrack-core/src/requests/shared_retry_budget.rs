//! One router's part of the repeats that all routers together may send to a service.

use std::collections::VecDeque;
use std::time::Duration;

use crate::BootTime;

/// Thousandths of a repeat, or of a request.
pub type RepeatMilli = u64;

/// One repeat, in thousandths.
pub const ONE_REPEAT: RepeatMilli = 1_000;

/// Greatest share that is taken as right; a router with a greater one may know too few others.
///
/// The deployments' slack is 2.1 to 2.5 repeats for each of their routers.
const MAX_SHARE: RepeatMilli = 2_500;

/// Share of a router that may know too few others; each router of the deployments has as much.
const ASSUMED_SHARE: RepeatMilli = 2_000;

/// The deployment's limit on repeated requests to one service, over all routers.
///
/// In any period of `window`, a service gets at most `ratio` x requests + `slack` repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryTerms {
    /// Repeats for each thousand requests that callers sent.
    pub per_thousand: RepeatMilli,
    /// Repeats that are allowed in addition, whatever the load.
    pub slack: u32,
    /// Length of the period.
    pub window: Duration,
}

impl RetryTerms {
    /// Creates the terms; `ratio` is the number of repeats for each request, and is rounded down.
    #[must_use]
    pub fn new(ratio: f64, slack: u32, window: Duration) -> Self {
        // A ratio of a million or more limits nothing.
        let milli = Duration::try_from_secs_f64(ratio.clamp(0.0, 1e6)).unwrap_or_default();
        Self {
            per_thousand: RepeatMilli::try_from(milli.as_millis()).unwrap_or(RepeatMilli::MAX),
            slack,
            window,
        }
    }
}

/// Limits the repeats of one router at one service, so that the sum over all routers stays within
/// [`RetryTerms`].
///
/// Each router has an equal share of the slack. A repeat occupies its router's share for one window; callers'
/// requests release it sooner, `ratio` of a repeat each. What is free or becomes free by age during a window
/// adds up to the share at most, so a router sends at most `share + ratio x requests` repeats in any window.
///
/// Until a router has run for a window, its former process may have used the share, and the number of
/// routers that it knows may be too small. The same holds for good where the share is less than one repeat.
/// The router then uses no slack: it may send `ratio / 2` repeats for each request of the last window. In any
/// window these come from the requests of that window and the one before, which is at most `ratio` times
/// the greater of the two numbers.
///
/// ```
/// use std::time::Duration;
/// use anvilrack_core::{ONE_REPEAT, RetryTerms, SharedRetryBudget};
///
/// let at = Duration::from_secs;
/// let terms = RetryTerms { per_thousand: 200, slack: 50, window: at(10) };
/// let mut budget = SharedRetryBudget::new(terms, at(0));
/// // 20 routers share 50 repeats.
/// assert!(budget.take(ONE_REPEAT, 20, at(10)));
/// assert!(budget.take(ONE_REPEAT, 20, at(10)));
/// assert!(!budget.take(ONE_REPEAT, 20, at(10)));
/// (0..5).for_each(|_| budget.on_request(at(11)));
/// assert!(budget.take(ONE_REPEAT, 20, at(11)));
/// assert!(budget.take(ONE_REPEAT, 20, at(21)));
/// ```
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    terms: RetryTerms,
    started_at: BootTime,
    /// Repeats that occupy the share, with the times at which they were sent; oldest first.
    sent: VecDeque<(BootTime, RepeatMilli)>,
    /// Repeats earned without the share, in this half of a window and in the one before.
    earned: [RepeatMilli; 2],
    half_began_at: BootTime,
}

impl SharedRetryBudget {
    /// Creates the budget of a process that started at `started_at`.
    #[must_use]
    pub fn new(terms: RetryTerms, started_at: BootTime) -> Self {
        Self {
            terms,
            started_at,
            sent: VecDeque::new(),
            earned: [0; 2],
            half_began_at: started_at,
        }
    }

    /// Records a request that a caller sent.
    pub fn on_request(&mut self, now: BootTime) {
        self.remove_expired(now);
        self.earned[0] += self.terms.per_thousand / 2;
        // The newest repeats would occupy the share for the longest time.
        self.release(self.terms.per_thousand);
    }

    /// Takes `cost` from the budget; returns false if less is left. `routers` is the number of routers that
    /// share the limit.
    pub fn take(&mut self, cost: RepeatMilli, routers: usize, now: BootTime) -> bool {
        if self.left(routers, now) < cost {
            return false;
        }
        // What was earned first expires first.
        let from_oldest = cost.min(self.earned[1]);
        self.earned[1] -= from_oldest;
        self.earned[0] = self.earned[0].saturating_sub(cost - from_oldest);
        self.sent.push_back((now, cost));
        true
    }

    /// Gives back what was taken for a repeat that was not sent.
    pub fn give_back(&mut self, cost: RepeatMilli) {
        self.earned[0] += cost;
        self.release(cost);
    }

    /// Returns how many repeats may be sent now.
    pub fn left(&mut self, routers: usize, now: BootTime) -> RepeatMilli {
        self.remove_expired(now);
        let share = self.share(routers);
        if share < ONE_REPEAT || now < self.started_at + self.terms.window {
            return self.earned.iter().sum();
        }
        let occupied = self.sent.iter().map(|(_, cost)| cost).sum();
        share.saturating_sub(occupied)
    }

    fn share(&self, routers: usize) -> RepeatMilli {
        let routers = RepeatMilli::try_from(routers.max(1)).unwrap_or(RepeatMilli::MAX);
        match RepeatMilli::from(self.terms.slack) * ONE_REPEAT / routers {
            share @ 0..=MAX_SHARE => share,
            _ => ASSUMED_SHARE,
        }
    }

    fn release(&mut self, mut amount: RepeatMilli) {
        while amount > 0
            && let Some((_, cost)) = self.sent.back_mut()
        {
            let released = amount.min(*cost);
            *cost -= released;
            amount -= released;
            if *cost == 0 {
                self.sent.pop_back();
            }
        }
    }

    fn remove_expired(&mut self, now: BootTime) {
        let window = self.terms.window;
        while self.sent.front().is_some_and(|(at, _)| now >= *at + window) {
            self.sent.pop_front();
        }
        let half = window / 2;
        if now >= self.half_began_at + window {
            self.earned = [0; 2];
            self.half_began_at = now;
        } else if now >= self.half_began_at + half {
            self.earned = [0, self.earned[0]];
            self.half_began_at += half;
        }
    }
}
