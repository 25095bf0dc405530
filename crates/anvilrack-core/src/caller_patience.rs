//! How long callers have waited before this try.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time limits that are counted for each route; rare ones make room for new ones.
const LIMITS_KEPT: usize = 64;

/// Counts are halved once a route has so many, so that a limit that nobody uses any more is forgotten.
const COUNT_LIMIT: u32 = 512;

/// With fewer requests nothing is said of a route.
const LEAST_COUNT: u32 = 16;

/// A limit is the usual one where at least this part of the requests have it, as a divisor.
const USUAL_PART: u32 = 6;

/// Routes that are counted at most; beyond, all are counted anew.
const ROUTE_LIMIT: usize = 1_024;

/// Tells callers that come back from those that ask for the first time.
///
/// A caller says how long it will wait. Clients of one route mostly begin with the same limit, and come
/// back after a refusal with what is left of it. So where one limit is much more common than any other,
/// what is missing from it has been waited already.
///
/// ```
/// use std::time::Duration;
///
/// let mut patience = anvilrack_core::CallerPatience::default();
/// let route = "view".into();
/// for _ in 0..16 {
///     assert!(patience.waited(&route, Duration::from_secs(4)).is_zero());
/// }
/// let waited = patience.waited(&route, Duration::from_millis(3_300));
/// assert_eq!(waited, Duration::from_millis(700));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CallerPatience {
    routes: BTreeMap<Arc<str>, LimitCounts>,
}

/// How often each time limit was seen on one route.
#[derive(Clone, Debug, Default)]
struct LimitCounts {
    counts: BTreeMap<Duration, u32>,
    total: u32,
}

impl CallerPatience {
    /// Takes the time that a caller still has for a request of that route, and returns how long it has
    /// waited before; zero where that is not known.
    pub fn waited(&mut self, route: &Arc<str>, time_left: Duration) -> Duration {
        if self.routes.len() >= ROUTE_LIMIT && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let counts = self.routes.entry(route.clone()).or_default();
        counts.count(time_left);
        let usual = counts.usual().unwrap_or(time_left);
        usual.saturating_sub(time_left)
    }
}

impl LimitCounts {
    fn count(&mut self, limit: Duration) {
        if self.total >= COUNT_LIMIT {
            self.halve();
        }
        if self.counts.len() >= LIMITS_KEPT && !self.counts.contains_key(&limit) {
            self.counts.retain(|_, count| *count > 1);
        }
        if self.counts.len() < LIMITS_KEPT || self.counts.contains_key(&limit) {
            *self.counts.entry(limit).or_default() += 1;
        }
        self.total += 1;
    }

    fn halve(&mut self) {
        self.total /= 2;
        self.counts.retain(|_, count| {
            *count /= 2;
            *count > 0
        });
    }

    /// The limit that callers begin with, where there is one.
    fn usual(&self) -> Option<Duration> {
        let (limit, count) = self.counts.iter().max_by_key(|(_, count)| **count)?;
        let known = self.total >= LEAST_COUNT && count * USUAL_PART >= self.total;
        known.then_some(*limit)
    }
}
