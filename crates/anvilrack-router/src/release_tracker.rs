//! Tracks requests in flight by shard, and the shards that this router has released.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use anvilrack_core::{FencingToken, ReleaseReport, ShardId};

/// Counts the requests in flight on each shard, and stores the reports of released shards.
///
/// A shard must be released only after its last request has ended.
#[derive(Debug, Default)]
pub struct ReleaseTracker {
    state: Mutex<TrackerState>,
}

#[derive(Debug, Default)]
struct TrackerState {
    in_flight: BTreeMap<ShardId, usize>,
    released: BTreeMap<ShardId, ReleaseReport>,
}

/// Counts one request in flight on a shard until it is dropped.
#[derive(Debug)]
pub struct ShardRequestGuard<'a> {
    tracker: &'a ReleaseTracker,
    shard: ShardId,
}

impl ReleaseTracker {
    /// Counts a request on the shard until the returned guard is dropped.
    pub fn count_request(&self, shard: ShardId) -> ShardRequestGuard<'_> {
        *self.state().in_flight.entry(shard).or_default() += 1;
        ShardRequestGuard {
            tracker: self,
            shard,
        }
    }

    /// Returns whether requests are in flight on the shard.
    pub fn is_busy(&self, shard: ShardId) -> bool {
        self.state().in_flight.contains_key(&shard)
    }

    /// Returns the number of requests in flight on all shards.
    pub fn in_flight(&self) -> usize {
        self.state().in_flight.values().sum()
    }

    /// Returns whether the shard was released under this fencing token.
    pub fn is_released(&self, shard: ShardId, token: FencingToken) -> bool {
        let state = self.state();
        state
            .released
            .get(&shard)
            .is_some_and(|report| report.token == token)
    }

    /// Stores the report of a released shard.
    pub fn release(&self, report: ReleaseReport) {
        self.state().released.insert(report.shard, report);
    }

    /// Removes the report of a shard that this router serves again.
    pub fn cancel_release(&self, shard: ShardId) {
        self.state().released.remove(&shard);
    }

    /// Removes the reports of shards for which `is_assigned` returns false.
    pub fn retain(&self, is_assigned: impl Fn(ShardId, FencingToken) -> bool) {
        self.state()
            .released
            .retain(|shard, report| is_assigned(*shard, report.token));
    }

    /// Returns the reports of all released shards, for the next heartbeat to the coordinator.
    pub fn reports(&self) -> Vec<ReleaseReport> {
        self.state().released.values().cloned().collect()
    }

    fn state(&self) -> MutexGuard<'_, TrackerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ShardRequestGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.tracker.state();
        if let Some(count) = state.in_flight.get_mut(&self.shard) {
            *count -= 1;
            if *count == 0 {
                state.in_flight.remove(&self.shard);
            }
        }
    }
}
