//! What a coordinator knows of the load of its cell's shards.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{BootTime, CellRecord, NodeId, ShardId, ShardLoad};

/// A shard that was moved for its load stays where it is for this long.
const MOVE_REST: Duration = Duration::from_mins(1);

/// Rates of shards as their owners reported them, and which were moved lately.
///
/// A shard keeps its rate over a move until its new owner reports one, so that a move does not make
/// the load look smaller than it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LoadView {
    rates: BTreeMap<ShardId, u32>,
    moved_at: BTreeMap<ShardId, BootTime>,
    paces: BTreeMap<NodeId, u32>,
}

impl LoadView {
    /// Takes a member's report, as far as it speaks of shards that it owns.
    pub fn take(&mut self, record: &CellRecord, node: &str, loads: &[ShardLoad]) {
        for load in loads {
            let owner = record.owner(load.shard);
            if owner.is_some_and(|owner| &*owner.node == node) {
                self.rates.insert(load.shard, load.rate);
            }
        }
    }

    /// Requests of a shard in ten seconds.
    #[must_use]
    pub fn rate(&self, shard: ShardId) -> u32 {
        self.rates.get(&shard).copied().unwrap_or(0)
    }

    /// Takes how long a member's target takes for a request, in microseconds; zero where it is not known.
    pub fn set_pace(&mut self, node: &NodeId, pace_us: u32) {
        if pace_us == 0 {
            self.paces.remove(node);
        } else {
            self.paces.insert(node.clone(), pace_us);
        }
    }

    /// True where the pace of some member is known.
    #[must_use]
    pub fn has_paces(&self) -> bool {
        !self.paces.is_empty()
    }

    /// What a burden amounts to at a member: more at a slow target, less at a fast one.
    ///
    /// A member whose pace is not known counts as one of the mean.
    #[must_use]
    pub fn at_pace(&self, node: &str, burden: u64) -> u64 {
        let Some(pace) = self.paces.get(node) else {
            return burden;
        };
        let sum: u64 = self.paces.values().map(|pace| u64::from(*pace)).sum();
        let mean = sum / self.paces.len() as u64;
        (burden * u64::from(*pace))
            .checked_div(mean)
            .unwrap_or(burden)
    }

    /// True where no load was reported.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rates.is_empty()
    }

    /// A shard is to move for its load.
    pub fn on_move(&mut self, shard: ShardId, now: BootTime) {
        self.moved_at.retain(|_, at| now < *at + MOVE_REST);
        self.moved_at.insert(shard, now);
    }

    /// True where a shard was moved for its load so lately that it should stay.
    #[must_use]
    pub fn rests(&self, shard: ShardId, now: BootTime) -> bool {
        let moved_at = self.moved_at.get(&shard);
        moved_at.is_some_and(|at| now < *at + MOVE_REST)
    }
}
