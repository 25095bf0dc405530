//! Decides which member should own a shard.

use std::collections::{BTreeMap, BTreeSet};

use super::cold_members::shard_of_cold_owner;
use crate::{BootTime, CellRecord, LoadView, NodeId, PlacementWeights, ShardId};

/// Concurrent planned moves that a cell of any size may have.
const BASE_CONCURRENT_MOVES: usize = 4;

/// Divisor for the number of shards: a larger cell may move one in 64 of its shards concurrently.
/// So a cell with many small shards rebalances as fast as one with few large shards.
const CONCURRENT_MOVES_DIVISOR: usize = 64;

/// The same divisor for moves out of evacuated failure domains, which have to end within the bound.
const EVACUATION_MOVES_DIVISOR: usize = 16;

/// Rounds of moves in which the shards leave if a larger part of the members is evacuated.
///
/// A round took 450 ms in a site with 1,024 shards, and owners have 3 s.
const EVACUATION_ROUNDS: usize = 4;

/// Load that each shard counts for in addition to its requests, in requests per ten seconds.
///
/// With it, shards of unknown load are spread evenly by number.
const BASE_SHARD_LOAD: u64 = 10;

/// Hysteresis band in percent of the average load if all three weights are equal.
const DEFAULT_BAND_PERCENT: u64 = 20;

/// Minimum and maximum of the hysteresis band, in percent of the average load.
const BAND_PERCENT_RANGE: (u64, u64) = (10, 50);

/// Minimum load difference that counts as imbalance, as a multiple of the square root of the
/// average load. Smaller differences may be random fluctuation.
const NOISE_FACTOR: u64 = 4;

/// Distributes shards over members by their load.
///
/// The weights set how uneven the load may be before a shard moves: `imbalance` narrows the band;
/// `churn` and `unavailable` widen it, because requests for a shard wait during its move. If
/// `imbalance` is zero, shards leave only members that are not eligible.
///
/// See also [`crate::CoordinatorState`], which decides *when* a shard can get a new owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PlacementPolicy {
    weights: PlacementWeights,
}

/// Input for picking moves, in addition to the cell's record.
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'a> {
    /// Load of the cell's shards.
    pub loads: &'a LoadView,
    /// Destinations of the shards that are being moved.
    pub moving: &'a BTreeMap<ShardId, NodeId>,
    /// Current time.
    pub now: BootTime,
}

impl PlacementPolicy {
    /// Sets the weights that the operators configured.
    #[must_use]
    pub fn with_weights(mut self, weights: PlacementWeights) -> Self {
        self.weights = weights;
        self
    }

    /// Picks an owner for each shard in `free`: shards with the highest load first, each for the
    /// member with the lowest load.
    #[must_use]
    pub fn place(
        &self,
        record: &CellRecord,
        eligible: &[NodeId],
        free: &[ShardId],
        loads: &LoadView,
    ) -> Vec<(ShardId, NodeId)> {
        let receivers = loads.receivers(eligible);
        let mut load_by_member = member_loads_without(record, &receivers, free, loads);
        let mut order = free.to_vec();
        order.sort_by_key(|shard| std::cmp::Reverse(loads.rate(*shard)));
        order
            .into_iter()
            .filter_map(|shard| {
                let node = least_loaded(&load_by_member, loads)?;
                *load_by_member.entry(node.clone()).or_default() += load(loads, shard);
                Some((shard, node))
            })
            .collect()
    }

    /// Picks shards to move away from members that are overloaded or not eligible.
    #[must_use]
    pub fn moves(
        &self,
        record: &CellRecord,
        eligible: &[NodeId],
        view: &PlacementView<'_>,
    ) -> Vec<(ShardId, NodeId)> {
        let max_moves = BASE_CONCURRENT_MOVES.max(record.shards.len() / CONCURRENT_MOVES_DIVISOR);
        let capacity = max_moves.saturating_sub(view.moving.len());
        let mut owners = owners_after_moves(record, view.moving);
        let mut load_by_member = member_loads(&owners, eligible, view.loads);
        owners.retain(|shard, _| !view.moving.contains_key(shard));
        let mut picked = Vec::new();
        while picked.len() < capacity {
            let evacuated = shard_of_ineligible_owner(&owners, eligible);
            let next = evacuated
                .or_else(|| {
                    let warm_load = self.max_warm_load(&load_by_member, view.loads);
                    shard_of_cold_owner(&owners, &load_by_member, warm_load, view)
                })
                .or_else(|| self.rebalancing_shard(&owners, &load_by_member, view));
            let Some((shard, destination)) =
                next.and_then(|s| Some((s, least_loaded(&load_by_member, view.loads)?)))
            else {
                break;
            };
            let weight = load(view.loads, shard);
            *load_by_member.entry(destination.clone()).or_default() += weight;
            if let Some(member_load) = owners
                .remove(&shard)
                .and_then(|old| load_by_member.get_mut(&old))
            {
                *member_load -= weight;
            }
            picked.push((shard, destination));
        }
        picked
    }

    /// Picks shards to move away from members in evacuated failure domains, those with the highest load
    /// first.
    ///
    /// The shards with the highest load thus wait for few others while they have no owner. The rest stay
    /// with their owner until it is their turn.
    #[must_use]
    pub fn evacuation_moves(
        &self,
        record: &CellRecord,
        eligible: &[NodeId],
        evacuated: &BTreeSet<NodeId>,
        view: &PlacementView<'_>,
    ) -> Vec<(ShardId, NodeId)> {
        if evacuated.is_empty() {
            return Vec::new();
        }
        let is_evacuated = |shard: &ShardId| {
            let owner = record.owner(*shard);
            owner.is_some_and(|owner| evacuated.contains(&owner.node))
        };
        let shards = record.shards.len();
        let evacuated_shards = shards * evacuated.len() / record.members.len().max(1);
        let max_moves = BASE_CONCURRENT_MOVES
            .max(shards / EVACUATION_MOVES_DIVISOR)
            .max(evacuated_shards / EVACUATION_ROUNDS);
        let moving = view.moving.keys().filter(|shard| is_evacuated(shard));
        let capacity = max_moves.saturating_sub(moving.count());
        let owners = owners_after_moves(record, view.moving);
        let mut load_by_member = member_loads(&owners, eligible, view.loads);
        let waiting = owners.keys().copied();
        let mut order: Vec<ShardId> = waiting
            .filter(|shard| is_evacuated(shard) && !view.moving.contains_key(shard))
            .collect();
        order.sort_by_key(|shard| std::cmp::Reverse(view.loads.rate(*shard)));
        order.truncate(capacity);
        order
            .into_iter()
            .filter_map(|shard| {
                let node = least_loaded(&load_by_member, view.loads)?;
                *load_by_member.entry(node.clone()).or_default() += load(view.loads, shard);
                Some((shard, node))
            })
            .collect()
    }

    /// Returns the shard whose move to the least loaded member reduces the imbalance most.
    fn rebalancing_shard(
        &self,
        owners: &BTreeMap<ShardId, NodeId>,
        load_by_member: &BTreeMap<NodeId, u64>,
        view: &PlacementView<'_>,
    ) -> Option<ShardId> {
        let scaled_loads = load_by_member.iter();
        let scaled_loads = scaled_loads.map(|(node, load)| (view.loads.scaled(node, *load), node));
        let (highest, most_loaded) = scaled_loads.clone().max_by_key(|(load, _)| *load)?;
        let receiver = least_loaded(load_by_member, view.loads)?;
        let lowest = view.loads.scaled(&receiver, load_by_member[&receiver]);
        let gap = highest - lowest;
        let mut band = self.band(owners, load_by_member.len(), view.loads);
        if view.loads.has_service_times() {
            // The service time also scales the base load of each shard, even of one without requests.
            // `band` leaves the base load out, so the band is widened to match the average of the
            // scaled loads.
            let average_load =
                scaled_loads.map(|(load, _)| load).sum::<u64>() / load_by_member.len() as u64;
            band = band.max(average_load * self.band_percent() / 100);
        }
        if self.weights.imbalance == 0 || gap <= band {
            return None;
        }
        let movable = owners.iter().filter(|(shard, node)| {
            *node == most_loaded && !view.loads.recently_moved(**shard, view.now)
        });
        let scaled_loads = movable
            .map(|(shard, node)| (*shard, view.loads.scaled(node, load(view.loads, *shard))));
        // A shard whose load is not below the gap would only make its new owner the most loaded
        // member.
        let improving = scaled_loads.filter(|(_, load)| *load < gap);
        let best = improving.min_by_key(|(_, load)| (2 * load).abs_diff(gap));
        best.map(|(shard, _)| shard)
    }

    /// Returns the scaled load up to which a warm member takes shards of cold ones: the highest load of a warm
    /// member, or the average load with the hysteresis band.
    fn max_warm_load(&self, load_by_member: &BTreeMap<NodeId, u64>, loads: &LoadView) -> u64 {
        let total: u64 = load_by_member.values().sum();
        let warm = load_by_member
            .iter()
            .filter(|(node, _)| loads.cold_rate(node).is_none());
        let warm_loads: Vec<u64> = warm.map(|(node, load)| loads.scaled(node, *load)).collect();
        let average = total / u64::try_from(warm_loads.len()).unwrap_or(1).max(1);
        let with_band = average + average * self.band_percent() / 100;
        warm_loads.into_iter().max().unwrap_or(0).max(with_band)
    }

    /// Returns the largest load difference between two members that causes no move.
    fn band(&self, owners: &BTreeMap<ShardId, NodeId>, members: usize, loads: &LoadView) -> u64 {
        let total: u64 = owners
            .keys()
            .map(|shard| u64::from(loads.rate(*shard)))
            .sum();
        let average_load = total / u64::try_from(members).unwrap_or(1).max(1);
        (average_load * self.band_percent() / 100).max(NOISE_FACTOR * average_load.isqrt())
    }

    /// Returns the band in percent of the average load; the maximum if `imbalance` is zero.
    fn band_percent(&self) -> u64 {
        let opposing_weights = u64::from(self.weights.churn) + u64::from(self.weights.unavailable);
        let percent = (DEFAULT_BAND_PERCENT * opposing_weights)
            .checked_div(2 * u64::from(self.weights.imbalance));
        percent.map_or(BAND_PERCENT_RANGE.1, |percent| {
            percent.clamp(BAND_PERCENT_RANGE.0, BAND_PERCENT_RANGE.1)
        })
    }
}

/// Returns the owners after the moves in progress.
fn owners_after_moves(
    record: &CellRecord,
    moving: &BTreeMap<ShardId, NodeId>,
) -> BTreeMap<ShardId, NodeId> {
    let shards = record.shards.iter().zip(0..);
    shards
        .filter_map(|(owner, shard)| {
            let owner = owner.as_ref()?;
            let node = moving.get(&shard).unwrap_or(&owner.node);
            Some((shard, node.clone()))
        })
        .collect()
}

fn shard_of_ineligible_owner(
    owners: &BTreeMap<ShardId, NodeId>,
    eligible: &[NodeId],
) -> Option<ShardId> {
    let mut evacuated = owners.iter().filter(|(_, node)| !eligible.contains(node));
    evacuated.next().map(|(shard, _)| *shard)
}

fn member_loads_without(
    record: &CellRecord,
    eligible: &[NodeId],
    free: &[ShardId],
    loads: &LoadView,
) -> BTreeMap<NodeId, u64> {
    let mut owners = owners_after_moves(record, &BTreeMap::new());
    for shard in free {
        owners.remove(shard);
    }
    member_loads(&owners, eligible, loads)
}

fn member_loads(
    owners: &BTreeMap<ShardId, NodeId>,
    eligible: &[NodeId],
    loads: &LoadView,
) -> BTreeMap<NodeId, u64> {
    let mut load_by_member: BTreeMap<NodeId, u64> =
        eligible.iter().map(|node| (node.clone(), 0)).collect();
    for (shard, node) in owners {
        if let Some(member_load) = load_by_member.get_mut(node) {
            *member_load += load(loads, *shard);
        }
    }
    load_by_member
}

pub(super) fn load(loads: &LoadView, shard: ShardId) -> u64 {
    u64::from(loads.rate(shard)) + BASE_SHARD_LOAD
}

/// Returns the member that gets the next shard: one with a warm target if there is any.
pub(super) fn least_loaded(
    load_by_member: &BTreeMap<NodeId, u64>,
    loads: &LoadView,
) -> Option<NodeId> {
    load_by_member
        .iter()
        .min_by_key(|(node, load)| {
            let is_cold = loads.cold_rate(node).is_some();
            (is_cold, loads.scaled(node, **load))
        })
        .map(|(node, _)| node.clone())
}
