//! Which member should own a shard.

use std::collections::BTreeMap;

use crate::{BootTime, CellRecord, LoadView, NodeId, PlacementWeights, ShardId};

/// Planned moves that run side by side in a cell of any size.
const MOVES_AT_ONCE: usize = 4;

/// Of so many shards, one may move at a time; many narrow shards move as fast as few wide ones.
const MOVING_PART: usize = 64;

/// What a shard without any load counts for, in requests in ten seconds.
///
/// So shards of which nothing is known are spread by their number.
const SHARD_BURDEN: u64 = 10;

/// Hysteresis band in percent of the mean load, where all three weights are equal.
const EQUAL_BAND_PERCENT: u64 = 20;

/// Least and greatest hysteresis band, in percent of the mean load.
const BAND_LIMITS: (u64, u64) = (10, 50);

/// A gap must be this many times the square root of the mean load; less may be chance.
const CHANCE_FACTOR: u64 = 4;

/// Spreads shards over members by the load they bring.
///
/// The weights set how uneven the load may be before a shard moves: `imbalance` narrows the band,
/// `churn` and `unavailable` widen it, since each move makes its shard wait for a moment. With
/// `imbalance` at zero shards only leave members that are not eligible.
///
/// See also [`crate::CoordinatorState`], which decides *when* a shard is free to be given away.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PlacementPolicy {
    weights: PlacementWeights,
}

/// What is known besides the record when moves are picked.
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'a> {
    /// The load of shards.
    pub loads: &'a LoadView,
    /// Moves under way.
    pub moving: &'a BTreeMap<ShardId, NodeId>,
    /// The time.
    pub now: BootTime,
}

impl PlacementPolicy {
    /// Weighs the three aims as the operators say.
    #[must_use]
    pub fn with_weights(mut self, weights: PlacementWeights) -> Self {
        self.weights = weights;
        self
    }

    /// Picks an owner for each shard in `free`, the heaviest first, least burdened member first.
    #[must_use]
    pub fn place(
        &self,
        record: &CellRecord,
        eligible: &[NodeId],
        free: &[ShardId],
        loads: &LoadView,
    ) -> Vec<(ShardId, NodeId)> {
        let mut burdens = burdens_of(record, eligible, free, loads);
        let mut order = free.to_vec();
        order.sort_by_key(|shard| std::cmp::Reverse(loads.rate(*shard)));
        order
            .into_iter()
            .filter_map(|shard| {
                let node = least_burdened(&burdens, loads)?;
                *burdens.entry(node.clone()).or_default() += burden(loads, shard);
                Some((shard, node))
            })
            .collect()
    }

    /// Picks shards to move away from members that are burdened too much or not eligible.
    #[must_use]
    pub fn moves(
        &self,
        record: &CellRecord,
        eligible: &[NodeId],
        view: &PlacementView<'_>,
    ) -> Vec<(ShardId, NodeId)> {
        let most = MOVES_AT_ONCE.max(record.shards.len() / MOVING_PART);
        let room = most.saturating_sub(view.moving.len());
        let mut owners = owners_after(record, view.moving);
        let mut burdens = burdens_of_owners(&owners, eligible, view.loads);
        owners.retain(|shard, _| !view.moving.contains_key(shard));
        let mut picked = Vec::new();
        while picked.len() < room {
            let away = leaving_shard(&owners, eligible);
            let next = away.or_else(|| self.evening_shard(&owners, &burdens, view));
            let Some((shard, least)) =
                next.and_then(|s| Some((s, least_burdened(&burdens, view.loads)?)))
            else {
                break;
            };
            let weight = burden(view.loads, shard);
            *burdens.entry(least.clone()).or_default() += weight;
            if let Some(held) = owners.remove(&shard).and_then(|old| burdens.get_mut(&old)) {
                *held -= weight;
            }
            picked.push((shard, least));
        }
        picked
    }

    /// The shard whose move to the least burdened member evens the load best.
    fn evening_shard(
        &self,
        owners: &BTreeMap<ShardId, NodeId>,
        burdens: &BTreeMap<NodeId, u64>,
        view: &PlacementView<'_>,
    ) -> Option<ShardId> {
        let weighed = burdens.iter();
        let weighed = weighed.map(|(node, burden)| (view.loads.at_pace(node, *burden), node));
        let (most, fullest) = weighed.clone().max_by_key(|(burden, _)| *burden)?;
        let (least, _) = weighed.clone().min_by_key(|(burden, _)| *burden)?;
        let gap = most - least;
        let mut band = self.band(owners, burdens.len(), view.loads);
        if view.loads.has_paces() {
            // What a target brings by its pace counts for every shard, also for those without load.
            let mean = weighed.map(|(burden, _)| burden).sum::<u64>() / burdens.len() as u64;
            band = band.max(mean * self.band_percent() / 100);
        }
        if self.weights.imbalance == 0 || gap <= band {
            return None;
        }
        let movable = owners
            .iter()
            .filter(|(shard, node)| *node == fullest && !view.loads.rests(**shard, view.now));
        let weighed = movable
            .map(|(shard, node)| (*shard, view.loads.at_pace(node, burden(view.loads, *shard))));
        // Less than the gap, or the move would only swap who is burdened most.
        let improving = weighed.filter(|(_, burden)| *burden < gap);
        let best = improving.min_by_key(|(_, burden)| (2 * burden).abs_diff(gap));
        best.map(|(shard, _)| shard)
    }

    /// The gap between two members that is left alone.
    fn band(&self, owners: &BTreeMap<ShardId, NodeId>, members: usize, loads: &LoadView) -> u64 {
        let total: u64 = owners
            .keys()
            .map(|shard| u64::from(loads.rate(*shard)))
            .sum();
        let mean = total / u64::try_from(members).unwrap_or(1).max(1);
        (mean * self.band_percent() / 100).max(CHANCE_FACTOR * mean.isqrt())
    }

    /// The band in percent of a mean; the widest where imbalance has no weight.
    fn band_percent(&self) -> u64 {
        let against = u64::from(self.weights.churn) + u64::from(self.weights.unavailable);
        let percent =
            (EQUAL_BAND_PERCENT * against).checked_div(2 * u64::from(self.weights.imbalance));
        percent.map_or(BAND_LIMITS.1, |percent| {
            percent.clamp(BAND_LIMITS.0, BAND_LIMITS.1)
        })
    }
}

/// The owners as they will be after the moves under way.
fn owners_after(
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

fn leaving_shard(owners: &BTreeMap<ShardId, NodeId>, eligible: &[NodeId]) -> Option<ShardId> {
    let mut away = owners.iter().filter(|(_, node)| !eligible.contains(node));
    away.next().map(|(shard, _)| *shard)
}

fn burdens_of(
    record: &CellRecord,
    eligible: &[NodeId],
    free: &[ShardId],
    loads: &LoadView,
) -> BTreeMap<NodeId, u64> {
    let mut owners = owners_after(record, &BTreeMap::new());
    for shard in free {
        owners.remove(shard);
    }
    burdens_of_owners(&owners, eligible, loads)
}

fn burdens_of_owners(
    owners: &BTreeMap<ShardId, NodeId>,
    eligible: &[NodeId],
    loads: &LoadView,
) -> BTreeMap<NodeId, u64> {
    let mut burdens: BTreeMap<NodeId, u64> =
        eligible.iter().map(|node| (node.clone(), 0)).collect();
    for (shard, node) in owners {
        if let Some(held) = burdens.get_mut(node) {
            *held += burden(loads, *shard);
        }
    }
    burdens
}

fn burden(loads: &LoadView, shard: ShardId) -> u64 {
    u64::from(loads.rate(shard)) + SHARD_BURDEN
}

fn least_burdened(burdens: &BTreeMap<NodeId, u64>, loads: &LoadView) -> Option<NodeId> {
    burdens
        .iter()
        .min_by_key(|(node, burden)| loads.at_pace(node, **burden))
        .map(|(node, _)| node.clone())
}
