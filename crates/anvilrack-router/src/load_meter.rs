//! How much work each shard of this router brings.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use anvilrack_core::{BootTime, ShardId, ShardLoad, ShardMeter};
use anvilrack_settings::PlacementMode;

/// Time between two reports of loads; heartbeats in between carry none.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// The [`ShardMeter`] of this router.
#[derive(Debug)]
pub struct LoadMeter {
    mode: PlacementMode,
    state: Mutex<MeterState>,
}

#[derive(Debug, Default)]
struct MeterState {
    meter: ShardMeter,
    reported_at: BootTime,
}

impl LoadMeter {
    /// You say by what shards are placed.
    #[must_use]
    pub fn new(mode: PlacementMode) -> Self {
        Self {
            mode,
            state: Mutex::default(),
        }
    }

    /// Counts a request of a shard.
    pub fn count(&self, shard: ShardId, now: BootTime) {
        if self.mode == PlacementMode::Load {
            self.state().meter.count(shard, now);
        }
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

    fn state(&self) -> std::sync::MutexGuard<'_, MeterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
