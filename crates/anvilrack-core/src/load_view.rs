//! What a coordinator knows of the load of its cell's shards.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{BootTime, CellRecord, ShardId, ShardLoad};

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
