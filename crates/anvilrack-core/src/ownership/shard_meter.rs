//! Counts the requests of each shard at its owner.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{BootTime, ShardId};

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(2);

/// Divisor for the weight of the newest window in the moving average.
const AVERAGE_WEIGHT_DIVISOR: u32 = 3;

/// Maximum number of shards in a report; it contains the busiest ones.
const MAX_REPORTED_SHARDS: usize = 64;

/// Rates are stored in thousandths, so that averages of small rates do not round down to zero.
const RATE_SCALE: u32 = 1_000;

/// The load of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardLoad {
    /// Shard that the rate belongs to.
    pub shard: ShardId,
    /// Requests per ten seconds.
    pub rate: u32,
}

/// Counts requests by shard and maintains a moving average of the rates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardMeter {
    since: BootTime,
    counts: BTreeMap<ShardId, u32>,
    rates: BTreeMap<ShardId, u32>,
}

impl ShardMeter {
    /// Counts one request.
    pub fn count(&mut self, shard: ShardId, now: BootTime) {
        self.count_many(shard, 1, now);
    }

    /// Counts requests, for instance those that were refused on their way here.
    pub fn count_many(&mut self, shard: ShardId, count: u32, now: BootTime) {
        self.close_window(now);
        *self.counts.entry(shard).or_default() += count;
    }

    /// Returns the rates of the busiest shards, highest first.
    pub fn loads(&mut self, now: BootTime) -> Vec<ShardLoad> {
        self.close_window(now);
        let mut loads: Vec<ShardLoad> = self
            .rates
            .iter()
            .map(|(shard, scaled_rate)| ShardLoad {
                shard: *shard,
                rate: scaled_rate / RATE_SCALE,
            })
            .collect();
        loads.sort_by_key(|load| std::cmp::Reverse(load.rate));
        loads.truncate(MAX_REPORTED_SHARDS);
        loads
    }

    fn close_window(&mut self, now: BootTime) {
        let age = now.saturating_sub(self.since);
        if age < WINDOW {
            return;
        }
        self.since = now;
        let counts = std::mem::take(&mut self.counts);
        let seconds = u32::try_from(age.as_secs()).unwrap_or(u32::MAX).max(1);
        for (shard, count) in &counts {
            let scaled_rate = count.saturating_mul(10 * RATE_SCALE) / seconds;
            let rate = self.rates.entry(*shard).or_insert(scaled_rate);
            *rate = rate
                .saturating_mul(AVERAGE_WEIGHT_DIVISOR - 1)
                .saturating_add(scaled_rate)
                / AVERAGE_WEIGHT_DIVISOR;
        }
        for (shard, rate) in &mut self.rates {
            if !counts.contains_key(shard) {
                *rate = *rate * (AVERAGE_WEIGHT_DIVISOR - 1) / AVERAGE_WEIGHT_DIVISOR;
            }
        }
        self.rates.retain(|_, rate| *rate > 0);
    }
}
