//! Moves the load of members with cold targets to members with warm ones.

use std::collections::BTreeMap;

use super::placement_policy::{least_loaded, load};
use crate::{LoadView, NodeId, PlacementView, ShardId};

/// Returns the busiest shard that a member with a cold target should give away; `None` if there is none.
///
/// A member gives shards away while more requests arrive than its target tolerates. A shard stays if it was moved
/// recently, if it has no requests, or if it would only move the overload: if the least loaded warm member would
/// have a load above `max_warm_load`, and more requests than the cold member had.
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
    let receiver_demand = demand(&receiver, owners, loads);
    let fits = |shard: ShardId, owner: &NodeId| {
        let load_after = load_by_member[&receiver] + load(loads, shard);
        let demand_after = receiver_demand + u64::from(loads.rate(shard));
        loads.scaled(&receiver, load_after) <= max_warm_load
            || demand_after <= demand(owner, owners, loads)
    };
    let movable = owners.iter().filter(|(shard, node)| {
        overloaded.contains(node)
            && loads.rate(**shard) > 0
            && !loads.recently_moved(**shard, view.now)
            && fits(**shard, node)
    });
    let busiest = movable.max_by_key(|(shard, _)| loads.rate(**shard));
    busiest.map(|(shard, _)| *shard)
}

/// Returns whether the target of a member is cold and gets more requests than it tolerates.
fn has_surplus(node: &NodeId, owners: &BTreeMap<ShardId, NodeId>, loads: &LoadView) -> bool {
    let Some(rate) = loads.cold_rate(node) else {
        return false;
    };
    demand(node, owners, loads) > u64::from(rate)
}

/// Returns the requests for the shards of a member, in requests per ten seconds.
fn demand(node: &NodeId, owners: &BTreeMap<ShardId, NodeId>, loads: &LoadView) -> u64 {
    let owned = owners.iter().filter(|(_, owner)| *owner == node);
    owned.map(|(shard, _)| u64::from(loads.rate(*shard))).sum()
}
