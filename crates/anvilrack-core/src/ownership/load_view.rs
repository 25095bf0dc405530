//! The load of a cell's shards as its coordinator knows it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{BootTime, CellRecord, NodeId, ShardId, ShardLoad};

/// Time for which a shard that was moved for its load is not moved again.
const MOVE_COOLDOWN: Duration = Duration::from_mins(1);

/// Rates of shards as their owners reported them, times of recent moves, and service times of
/// targets.
///
/// A shard keeps its rate during a move until the new owner reports one, so that the load does not
/// seem to drop.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LoadView {
    rates: BTreeMap<ShardId, u32>,
    moved_at: BTreeMap<ShardId, BootTime>,
    service_times_us: BTreeMap<NodeId, u32>,
    /// Rates that cold targets tolerate, by member.
    cold_rates: BTreeMap<NodeId, u32>,
}

impl LoadView {
    /// Applies a member's load report; ignores shards that the member does not own.
    pub fn apply_report(&mut self, record: &CellRecord, node: &str, loads: &[ShardLoad]) {
        for load in loads {
            let owner = record.owner(load.shard);
            if owner.is_some_and(|owner| &*owner.node == node) {
                self.rates.insert(load.shard, load.rate);
            }
        }
    }

    /// Returns the rate of a shard, in requests per ten seconds.
    #[must_use]
    pub fn rate(&self, shard: ShardId) -> u32 {
        self.rates.get(&shard).copied().unwrap_or(0)
    }

    /// Sets the service time of a member's target in microseconds; zero if it is unknown.
    pub fn set_service_time(&mut self, node: &NodeId, service_time_us: u32) {
        if service_time_us == 0 {
            self.service_times_us.remove(node);
        } else {
            self.service_times_us.insert(node.clone(), service_time_us);
        }
    }

    /// Sets the rate that a member's target tolerates while it is cold, in requests per ten seconds; `None` if the
    /// target is warm.
    pub fn set_cold_rate(&mut self, node: &NodeId, rate: Option<u32>) {
        if let Some(rate) = rate {
            self.cold_rates.insert(node.clone(), rate);
        } else {
            self.cold_rates.remove(node);
        }
    }

    /// Returns the rate that a member's target tolerates because it is cold; `None` if it is warm.
    #[must_use]
    pub fn cold_rate(&self, node: &str) -> Option<u32> {
        self.cold_rates.get(node).copied()
    }

    /// Returns the members that may be given shards: those with warm targets, or all if no target is warm.
    #[must_use]
    pub fn receivers(&self, eligible: &[NodeId]) -> Vec<NodeId> {
        let is_warm = |node: &&NodeId| self.cold_rate(node).is_none();
        let warm: Vec<NodeId> = eligible.iter().filter(is_warm).cloned().collect();
        if warm.is_empty() {
            eligible.to_vec()
        } else {
            warm
        }
    }

    /// Returns whether the service time of any member is known.
    #[must_use]
    pub fn has_service_times(&self) -> bool {
        !self.service_times_us.is_empty()
    }

    /// Scales a load by the service time of a member's target, relative to the average of all
    /// members: higher at a slow target, lower at a fast one.
    ///
    /// A member with unknown service time counts as average.
    #[must_use]
    pub fn scaled(&self, node: &str, load: u64) -> u64 {
        let Some(service_time_us) = self.service_times_us.get(node) else {
            return load;
        };
        let sum: u64 = self
            .service_times_us
            .values()
            .map(|service_time_us| u64::from(*service_time_us))
            .sum();
        let average = sum / self.service_times_us.len() as u64;
        (load * u64::from(*service_time_us))
            .checked_div(average)
            .unwrap_or(load)
    }

    /// Returns whether no load was reported.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rates.is_empty()
    }

    /// Records that a shard starts to move because of its load.
    pub fn on_move(&mut self, shard: ShardId, now: BootTime) {
        self.moved_at.retain(|_, at| now < *at + MOVE_COOLDOWN);
        self.moved_at.insert(shard, now);
    }

    /// Returns whether a shard was moved for its load so recently that it must stay.
    #[must_use]
    pub fn recently_moved(&self, shard: ShardId, now: BootTime) -> bool {
        let moved_at = self.moved_at.get(&shard);
        moved_at.is_some_and(|at| now < *at + MOVE_COOLDOWN)
    }
}
