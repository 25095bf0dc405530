//! Requests by shard, as an owner counts them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{BootTime, ShardId};

/// Requests are counted over windows of this length.
const WINDOW: Duration = Duration::from_secs(2);

/// Weight of the newest window in the mean, as a divisor.
const MEAN_WEIGHT: u32 = 3;

/// Most shards in one report; the busiest are told.
const REPORT_LIMIT: usize = 64;

/// Rates are kept in thousandths, so that the mean of small ones does not round to nothing.
const MILLI: u32 = 1_000;

/// The load of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardLoad {
    /// The shard.
    pub shard: ShardId,
    /// Requests in ten seconds.
    pub rate: u32,
}

/// Counts requests by shard and keeps a moving mean of their rates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardMeter {
    since: BootTime,
    counts: BTreeMap<ShardId, u32>,
    rates: BTreeMap<ShardId, u32>,
}

impl ShardMeter {
    /// Counts one request.
    pub fn count(&mut self, shard: ShardId, now: BootTime) {
        self.close_window(now);
        *self.counts.entry(shard).or_default() += 1;
    }

    /// The busiest shards and their rates.
    pub fn loads(&mut self, now: BootTime) -> Vec<ShardLoad> {
        self.close_window(now);
        let mut loads: Vec<ShardLoad> = self
            .rates
            .iter()
            .map(|(shard, milli)| ShardLoad {
                shard: *shard,
                rate: milli / MILLI,
            })
            .collect();
        loads.sort_by_key(|load| std::cmp::Reverse(load.rate));
        loads.truncate(REPORT_LIMIT);
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
            let milli = count.saturating_mul(10 * MILLI) / seconds;
            let rate = self.rates.entry(*shard).or_insert(milli);
            *rate = rate.saturating_mul(MEAN_WEIGHT - 1).saturating_add(milli) / MEAN_WEIGHT;
        }
        for (shard, rate) in &mut self.rates {
            if !counts.contains_key(shard) {
                *rate = *rate * (MEAN_WEIGHT - 1) / MEAN_WEIGHT;
            }
        }
        self.rates.retain(|_, rate| *rate > 0);
    }
}
