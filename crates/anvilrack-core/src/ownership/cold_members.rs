//! Moves the load of members with cold targets to members with warm ones.

use std::collections::BTreeMap;

use super::placement_policy::{least_loaded, load};
use crate::{LoadView, NodeId, PlacementView, ShardId};

/// Returns the busiest shard that a member with a cold target should give away; `None` if there is none.
///
/// A member gives shards away while more requests arrive than its target tolerates. A shard stays if it was moved
/// recently, if it has no requests, or if its load would raise the least loaded warm member above `max_warm_load`,
/// where it would only cause the next overload.
pub(super) fn shard_of_cold_owner(
    owners: &BTreeMap<ShardId, NodeId>,
    load_by_member: &BTreeMap<NodeId, u64>,
    max_warm_load: u64,
    view: &PlacementView<'_>,
) -> Option<ShardId> {
    let loads = view.loads;
    let receiver = least_loaded(load_by_member, loads)?;
    if loads.cold_rate(&receiver).is_some() {
        return None;
    }
    let overloaded: Vec<&NodeId> = load_by_member
        .keys()
        .filter(|node| has_surplus(node, owners, loads))
        .collect();
    if overloaded.is_empty() {
        return None;
    }
    let fits = |shard: ShardId| {
        let load_after = load_by_member[&receiver] + load(loads, shard);
        loads.scaled(&receiver, load_after) <= max_warm_load
    };
    let movable = owners.iter().filter(|(shard, node)| {
        overloaded.contains(node)
            && loads.rate(**shard) > 0
            && !loads.recently_moved(**shard, view.now)
            && fits(**shard)
    });
    let busiest = movable.max_by_key(|(shard, _)| loads.rate(**shard));
    busiest.map(|(shard, _)| *shard)
}

/// Returns whether the target of a member is cold and gets more requests than it tolerates.
fn has_surplus(node: &NodeId, owners: &BTreeMap<ShardId, NodeId>, loads: &LoadView) -> bool {
    let Some(rate) = loads.cold_rate(node) else {
        return false;
    };
    let owned = owners.iter().filter(|(_, owner)| *owner == node);
    let demand: u64 = owned.map(|(shard, _)| u64::from(loads.rate(*shard))).sum();
    demand > u64::from(rate)
}
