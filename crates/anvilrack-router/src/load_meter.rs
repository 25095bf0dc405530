//! How much work each shard of this router brings.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvilrack_core::{BootTime, KeyCount, KeySketch, ShardId, ShardLoad, ShardMeter};
use anvilrack_settings::PlacementMode;

/// Time between two reports of loads; heartbeats in between carry none.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// Keys that are counted; one that brings more than a part in so many requests is always kept.
const KEY_PLACES: usize = 256;

/// Hot keys that are told to operators.
const HOTTEST_KEYS: usize = 10;

/// Time after which counts of keys are halved.
const DECAY_EVERY: Duration = Duration::from_mins(1);

/// The [`ShardMeter`] of this router.
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
    /// You say by what shards are placed.
    #[must_use]
    pub fn new(mode: PlacementMode) -> Self {
        Self {
            mode,
            state: Mutex::new(MeterState {
                meter: ShardMeter::default(),
                keys: KeySketch::new(KEY_PLACES),
                decayed_at: BootTime::ZERO,
                reported_at: BootTime::ZERO,
            }),
        }
    }

    /// Counts a request of a key.
    pub fn count(&self, shard: ShardId, key: &Arc<str>, now: BootTime) {
        if self.mode == PlacementMode::Load {
            let mut state = self.state();
            state.meter.count(shard, now);
            state.count_key(key, now);
        }
    }

    /// The hottest keys with their requests, those of the last minutes above all.
    #[must_use]
    pub fn hottest_keys(&self) -> Vec<(Arc<str>, KeyCount)> {
        self.state().keys.hottest(HOTTEST_KEYS)
    }

    /// The loads for the next heartbeat; empty where there is nothing new to tell.
    #[must_use]
    pub fn report(&self, now: BootTime) -> Vec<ShardLoad> {
        let mut state = self.state();
        if now < state.reported_at + REPORT_EVERY {
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
        if now >= self.decayed_at + DECAY_EVERY {
            self.decayed_at = now;
            self.keys.decay();
        }
        self.keys.count(key);
    }
}
