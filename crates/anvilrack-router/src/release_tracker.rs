//! Shards that this router is giving back.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use anvilrack_core::{FencingToken, ReleaseReport, ShardId};

/// Counts the requests at work on each shard, and remembers the shards given back.
///
/// A shard counts as given back only after its last request has ended.
#[derive(Debug, Default)]
pub struct ReleaseTracker {
    state: Mutex<TrackerState>,
}

#[derive(Debug, Default)]
struct TrackerState {
    in_flight: BTreeMap<ShardId, usize>,
    released: BTreeMap<ShardId, ReleaseReport>,
}

/// One request at work on a shard; dropping it ends the count.
#[derive(Debug)]
pub struct ShardUse<'a> {
    tracker: &'a ReleaseTracker,
    shard: ShardId,
}

impl ReleaseTracker {
    /// Counts a request in.
    pub fn enter(&self, shard: ShardId) -> ShardUse<'_> {
        *self.state().in_flight.entry(shard).or_default() += 1;
        ShardUse {
            tracker: self,
            shard,
        }
    }

    /// True while requests are at work on the shard.
    pub fn is_busy(&self, shard: ShardId) -> bool {
        self.state().in_flight.contains_key(&shard)
    }

    /// Number of requests at work on all shards.
    pub fn in_flight(&self) -> usize {
        self.state().in_flight.values().sum()
    }

    /// True where the shard was given back under that token.
    pub fn is_released(&self, shard: ShardId, token: FencingToken) -> bool {
        let state = self.state();
        state
            .released
            .get(&shard)
            .is_some_and(|report| report.token == token)
    }

    /// Remembers a shard as given back.
    pub fn release(&self, report: ReleaseReport) {
        self.state().released.insert(report.shard, report);
    }

    /// Forgets that a shard was given back: it is served again.
    pub fn withdraw(&self, shard: ShardId) {
        self.state().released.remove(&shard);
    }

    /// Forgets the shards for which `still_named` says that no record names this router any more.
    pub fn retain(&self, still_named: impl Fn(ShardId, FencingToken) -> bool) {
        self.state()
            .released
            .retain(|shard, report| still_named(*shard, report.token));
    }

    /// What to tell the coordinator.
    pub fn reports(&self) -> Vec<ReleaseReport> {
        self.state().released.values().cloned().collect()
    }

    fn state(&self) -> MutexGuard<'_, TrackerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ShardUse<'_> {
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
