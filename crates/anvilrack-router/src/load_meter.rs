//! Measures the request load of this router's shards and keys.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvilrack_core::{BootTime, KeyCount, KeySketch, ShardId, ShardLoad, ShardMeter};
use anvilrack_settings::PlacementMode;

/// Minimum time between two load reports; heartbeats in between carry none.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Number of keys that are counted. A key that gets more than 1 in this many requests is always
/// among them.
const TRACKED_KEYS: usize = 256;

/// Number of hottest keys in operators' reports.
const REPORTED_KEYS: usize = 10;

/// Interval at which the counts of keys are halved.
const DECAY_INTERVAL: Duration = Duration::from_mins(1);

/// The [`ShardMeter`] and the [`KeySketch`] of this router, shared by its threads.
#[derive(Debug)]
pub struct LoadMeter {
    mode: PlacementMode,
    state: Mutex<MeterState>,
}

#[derive(Debug)]
struct MeterState {
    meter: ShardMeter,
    keys: KeySketch,
    decayed_at: BootTime,
    reported_at: BootTime,
}

impl LoadMeter {
    /// Creates a meter, which counts requests only if `mode` is [`PlacementMode::Load`].
    #[must_use]
    pub fn new(mode: PlacementMode) -> Self {
        Self {
            mode,
            state: Mutex::new(MeterState {
                meter: ShardMeter::default(),
                keys: KeySketch::new(TRACKED_KEYS),
                decayed_at: BootTime::ZERO,
                reported_at: BootTime::ZERO,
            }),
        }
    }

    /// Counts a request for a key and its shard.
    pub fn count(&self, shard: ShardId, key: &Arc<str>, now: BootTime) {
        if self.mode == PlacementMode::Load {
            let mut state = self.state();
            state.meter.count(shard, now);
            state.count_key(key, now);
        }
    }

    /// Returns the hottest keys with their request counts; recent minutes have the most weight.
    #[must_use]
    pub fn hottest_keys(&self) -> Vec<(Arc<str>, KeyCount)> {
        self.state().keys.hottest(REPORTED_KEYS)
    }

    /// Returns the loads for the next heartbeat; empty if the last report is too recent.
    #[must_use]
    pub fn report(&self, now: BootTime) -> Vec<ShardLoad> {
        let mut state = self.state();
        if now < state.reported_at + REPORT_INTERVAL {
            return Vec::new();
        }
        state.reported_at = now;
        state.meter.loads(now)
    }

    fn state(&self) -> MutexGuard<'_, MeterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MeterState {
    fn count_key(&mut self, key: &Arc<str>, now: BootTime) {
        if now >= self.decayed_at + DECAY_INTERVAL {
            self.decayed_at = now;
            self.keys.decay();
        }
        self.keys.count(key);
    }
}
