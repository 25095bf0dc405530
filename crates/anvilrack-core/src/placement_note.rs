//! Why a shard has the owner that it has.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{CellRecord, FencingToken, NodeId, ShardId};

/// Notes that a coordinator keeps; the oldest go first.
const NOTE_LIMIT: usize = 8_192;

/// One placement decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementNote {
    /// The shard.
    pub shard: ShardId,
    /// The owner before, where there was one.
    pub from: Option<NodeId>,
    /// The owner since.
    pub to: NodeId,
    /// The new owner's token.
    pub token: FencingToken,
    /// Why the shard was given away.
    pub reason: PlacementReason,
    /// Shards held by each member at that time, the new owner's included.
    pub weighed: Vec<(NodeId, usize)>,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Why a shard was given away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementReason {
    /// It had no owner before.
    FirstOwner,
    /// Its owner gave it back for a planned move.
    PlannedMove,
    /// Its owner's process was started anew.
    OwnerRestarted,
    /// Its owner's lease ran out.
    LeaseLapsed,
}

impl PlacementReason {
    /// The word for logs and for people.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::FirstOwner => "first-owner",
            Self::PlannedMove => "planned-move",
            Self::OwnerRestarted => "owner-restarted",
            Self::LeaseLapsed => "lease-lapsed",
        }
    }
}

/// The decisions that lie between two records of a cell.
#[must_use]
pub fn placement_notes(
    old: &CellRecord,
    new: &CellRecord,
    moving: &[ShardId],
    at_ms: u64,
) -> Vec<PlacementNote> {
    let weighed = counts_of(new);
    let shards = new.shards.iter().zip(0..);
    let given = shards.filter_map(|(owner, shard)| Some((owner.as_ref()?, shard)));
    given
        .filter(|(owner, shard)| old.owner(*shard) != Some(*owner))
        .map(|(owner, shard)| PlacementNote {
            shard,
            from: old.owner(shard).map(|owner| owner.node.clone()),
            to: owner.node.clone(),
            token: owner.token,
            reason: reason_of(old, new, shard, moving),
            weighed: weighed.clone(),
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

fn counts_of(record: &CellRecord) -> Vec<(NodeId, usize)> {
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

/// The latest decisions of one coordinator, for `anvilrack explain`.
#[derive(Clone, Debug, Default)]
pub struct PlacementJournal {
    notes: VecDeque<PlacementNote>,
}

impl PlacementJournal {
    /// Keeps notes; the oldest make room.
    pub fn keep(&mut self, notes: Vec<PlacementNote>) {
        self.notes.extend(notes);
        let excess = self.notes.len().saturating_sub(NOTE_LIMIT);
        self.notes.drain(..excess);
    }

    /// The decision by which a shard got its present owner.
    #[must_use]
    pub fn latest(&self, shard: ShardId) -> Option<&PlacementNote> {
        self.notes.iter().rev().find(|note| note.shard == shard)
    }
}
