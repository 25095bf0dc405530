//! Which member should own a shard.

use std::collections::{BTreeMap, BTreeSet};

use crate::{CellRecord, NodeId, ShardId};

/// Most planned moves that run side by side in a cell.
const MOVES_AT_ONCE: usize = 4;

/// A member must hold this many shards more than another before one moves.
const COUNT_BAND: usize = 2;

/// Spreads shards over members by number.
///
/// See also [`crate::CoordinatorState`], which decides *when* a shard is free to be given away.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PlacementPolicy;

impl PlacementPolicy {
    /// Picks an owner for each shard in `free`, one member after another, least burdened first.
    #[must_use]
    pub fn place(
        &self,
        record: &CellRecord,
        eligible: &[NodeId],
        free: &[ShardId],
    ) -> Vec<(ShardId, NodeId)> {
        let mut counts = counts_of(record, eligible, free);
        free.iter()
            .filter_map(|shard| {
                let node = least_burdened(&counts)?;
                *counts.entry(node.clone()).or_default() += 1;
                Some((*shard, node))
            })
            .collect()
    }

    /// Picks shards to move away from members that hold too many or that are not eligible.
    #[must_use]
    pub fn moves(
        &self,
        record: &CellRecord,
        eligible: &[NodeId],
        moving: &BTreeMap<ShardId, NodeId>,
    ) -> Vec<(ShardId, NodeId)> {
        let mut counts = counts_of(record, eligible, &[]);
        for node in moving.values() {
            *counts.entry(node.clone()).or_default() += 1;
        }
        let able: BTreeSet<&NodeId> = eligible.iter().collect();
        let mut picked = Vec::new();
        let mut least = least_burdened(&counts);
        for (owner, shard) in record.shards.iter().zip(0..) {
            if moving.len() + picked.len() >= MOVES_AT_ONCE {
                break;
            }
            let Some(owner) = owner.as_ref().filter(|_| !moving.contains_key(&shard)) else {
                continue;
            };
            let Some(successor) = &least else {
                break;
            };
            let leaving = !able.contains(&owner.node);
            let held = counts.get(&owner.node).copied().unwrap_or(0);
            let fewest = counts.get(successor).copied().unwrap_or(0);
            if leaving || held >= fewest + COUNT_BAND {
                let successor = successor.clone();
                *counts.entry(successor.clone()).or_default() += 1;
                if let Some(count) = counts.get_mut(&owner.node) {
                    *count -= 1;
                }
                picked.push((shard, successor));
                least = least_burdened(&counts);
            }
        }
        picked
    }
}

fn counts_of(
    record: &CellRecord,
    eligible: &[NodeId],
    free: &[ShardId],
) -> BTreeMap<NodeId, usize> {
    let mut counts: BTreeMap<NodeId, usize> =
        eligible.iter().map(|node| (node.clone(), 0)).collect();
    for (owner, shard) in record.shards.iter().zip(0..) {
        let Some(owner) = owner.as_ref().filter(|_| !free.contains(&shard)) else {
            continue;
        };
        if let Some(count) = counts.get_mut(&owner.node) {
            *count += 1;
        }
    }
    counts
}

fn least_burdened(counts: &BTreeMap<NodeId, usize>) -> Option<NodeId> {
    counts
        .iter()
        .min_by_key(|(_, count)| **count)
        .map(|(node, _)| node.clone())
}
