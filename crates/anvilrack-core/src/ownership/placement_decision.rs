//! Records why a shard has its current owner.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{CellRecord, FencingToken, NodeId, ShardId};

/// Maximum number of placement decisions that a coordinator keeps; the oldest are dropped first.
const MAX_DECISIONS: usize = 8_192;

/// One placement decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementDecision {
    /// Shard that got a new owner.
    pub shard: ShardId,
    /// Previous owner; `None` if the shard had none.
    pub from: Option<NodeId>,
    /// New owner.
    pub to: NodeId,
    /// Fencing token of the new owner.
    pub token: FencingToken,
    /// Why the shard got a new owner.
    pub reason: PlacementReason,
    /// Number of shards of each member after the decision.
    pub weighed: Vec<(NodeId, usize)>,
    /// Time of the decision, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Why a shard got a new owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementReason {
    /// The shard had no owner before.
    FirstOwner,
    /// The previous owner released the shard for a planned move.
    PlannedMove,
    /// The previous owner's process restarted.
    OwnerRestarted,
    /// The previous owner's lease expired.
    LeaseLapsed,
}

impl PlacementReason {
    /// Returns the name used in logs and in the output of commands.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FirstOwner => "first-owner",
            Self::PlannedMove => "planned-move",
            Self::OwnerRestarted => "owner-restarted",
            Self::LeaseLapsed => "lease-lapsed",
        }
    }
}

/// Returns the placement decisions that lead from the record `old` to the record `new`.
#[must_use]
pub fn placement_decisions(
    old: &CellRecord,
    new: &CellRecord,
    moving: &[ShardId],
    at_ms: u64,
) -> Vec<PlacementDecision> {
    let counts = shard_counts(new);
    let shards = new.shards.iter().zip(0..);
    let owned = shards.filter_map(|(owner, shard)| Some((owner.as_ref()?, shard)));
    owned
        .filter(|(owner, shard)| old.owner(*shard) != Some(*owner))
        .map(|(owner, shard)| PlacementDecision {
            shard,
            from: old.owner(shard).map(|owner| owner.node.clone()),
            to: owner.node.clone(),
            token: owner.token,
            reason: reason_of(old, new, shard, moving),
            weighed: counts.clone(),
            at_ms,
        })
        .collect()
}

fn reason_of(
    old: &CellRecord,
    new: &CellRecord,
    shard: ShardId,
    moving: &[ShardId],
) -> PlacementReason {
    let Some(owner) = old.owner(shard) else {
        return PlacementReason::FirstOwner;
    };
    let current = new.member(&owner.node).map(|member| member.incarnation);
    if moving.contains(&shard) {
        PlacementReason::PlannedMove
    } else if current.is_some_and(|current| current > owner.incarnation) {
        PlacementReason::OwnerRestarted
    } else {
        PlacementReason::LeaseLapsed
    }
}

fn shard_counts(record: &CellRecord) -> Vec<(NodeId, usize)> {
    let mut counts: BTreeMap<NodeId, usize> = record
        .members
        .iter()
        .map(|member| (member.node.clone(), 0))
        .collect();
    for owner in record.shards.iter().flatten() {
        *counts.entry(owner.node.clone()).or_default() += 1;
    }
    counts.into_iter().collect()
}

/// The latest placement decisions of one coordinator, for `anvilrack explain`.
#[derive(Clone, Debug, Default)]
pub struct PlacementHistory {
    decisions: VecDeque<PlacementDecision>,
}

impl PlacementHistory {
    /// Adds decisions and drops the oldest ones above the limit.
    pub fn keep(&mut self, decisions: Vec<PlacementDecision>) {
        self.decisions.extend(decisions);
        let excess = self.decisions.len().saturating_sub(MAX_DECISIONS);
        self.decisions.drain(..excess);
    }

    /// Returns the decision that gave a shard its current owner.
    #[must_use]
    pub fn latest(&self, shard: ShardId) -> Option<&PlacementDecision> {
        self.decisions
            .iter()
            .rev()
            .find(|decision| decision.shard == shard)
    }
}
