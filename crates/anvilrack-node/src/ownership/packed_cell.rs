//! A cell's record in few bytes, for the store and for other routers.

use std::sync::Arc;

use anvilrack_core::{
    CellMember, CellRecord, FencingToken, Incarnation, NodeId, RecordDelta, ServiceName, ShardId,
    ShardOwner, WriterStamp,
};
use serde::{Deserialize, Serialize};

/// A [`CellRecord`] whose shards name their owner by its place in a list.
///
/// Names would be most of its bytes otherwise, and it crosses regions with every change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedCell {
    /// The cell's service.
    pub service: ServiceName,
    epoch: u64,
    version: u64,
    writer: WriterStamp,
    coordinator: NodeId,
    standbys: Vec<NodeId>,
    config_revision: u64,
    last_token: FencingToken,
    members: Vec<CellMember>,
    owners: OwnerList,
    shards: Vec<Option<PackedOwner>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PackedOwner {
    place: usize,
    token: FencingToken,
    record_lost: bool,
    handover: Option<Arc<str>>,
}

/// The owners that shards refer to by their place in this list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct OwnerList {
    owners: Vec<(NodeId, Incarnation)>,
}

impl OwnerList {
    fn pack(&mut self, owner: &ShardOwner) -> PackedOwner {
        let life = (owner.node.clone(), owner.incarnation);
        let known = self.owners.iter().position(|known| *known == life);
        let place = known.unwrap_or_else(|| {
            self.owners.push(life);
            self.owners.len() - 1
        });
        PackedOwner {
            place,
            token: owner.token,
            record_lost: owner.record_lost,
            handover: owner.handover.clone(),
        }
    }

    /// The owner; none where its place is not in the list.
    fn unpack(&self, packed: &PackedOwner) -> Option<ShardOwner> {
        let (node, incarnation) = self.owners.get(packed.place)?;
        Some(ShardOwner {
            node: node.clone(),
            incarnation: *incarnation,
            token: packed.token,
            record_lost: packed.record_lost,
            handover: packed.handover.clone(),
        })
    }
}

/// A [`RecordDelta`] in few bytes; its shards name their owner as those of [`PackedCell`] do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedStep {
    /// The step without its shards.
    frame: RecordDelta,
    owners: OwnerList,
    shards: Vec<(ShardId, Option<PackedOwner>)>,
}

impl PackedStep {
    /// Packs a step.
    #[must_use]
    pub fn new(step: &RecordDelta) -> Self {
        let mut owners = OwnerList::default();
        let shards = step
            .shards
            .iter()
            .map(|(shard, owner)| (*shard, owner.as_ref().map(|owner| owners.pack(owner))))
            .collect();
        let frame = RecordDelta {
            shards: Vec::new(),
            ..step.clone()
        };
        Self {
            frame,
            owners,
            shards,
        }
    }

    /// The step.
    #[must_use]
    pub fn unpack(&self) -> RecordDelta {
        let owner_of = |packed: &Option<PackedOwner>| {
            let packed = packed.as_ref()?;
            self.owners.unpack(packed)
        };
        let shards = self.shards.iter();
        RecordDelta {
            shards: shards
                .map(|(shard, packed)| (*shard, owner_of(packed)))
                .collect(),
            ..self.frame.clone()
        }
    }

    /// The same step for routers that only route: what was handed over concerns owners alone.
    #[must_use]
    pub fn without_handovers(mut self) -> Self {
        let owners = self
            .shards
            .iter_mut()
            .filter_map(|(_, owner)| owner.as_mut());
        owners.for_each(|owner| owner.handover = None);
        self
    }
}

impl PackedCell {
    /// Packs a record.
    #[must_use]
    pub fn new(record: &CellRecord) -> Self {
        let mut owners = OwnerList::default();
        let shards = record.shards.iter();
        let shards = shards
            .map(|owner| owner.as_ref().map(|owner| owners.pack(owner)))
            .collect();
        Self {
            service: record.service.clone(),
            epoch: record.epoch,
            version: record.version,
            writer: record.writer.clone(),
            coordinator: record.coordinator.clone(),
            standbys: record.standbys.clone(),
            config_revision: record.config_revision,
            last_token: record.last_token,
            members: record.members.clone(),
            owners,
            shards,
        }
    }

    /// The same record for routers that only route: what was handed over concerns owners alone.
    #[must_use]
    pub fn without_handovers(mut self) -> Self {
        let owners = self.shards.iter_mut().flatten();
        owners.for_each(|owner| owner.handover = None);
        self
    }

    /// The record; shards whose owner's place is not in the list have none.
    #[must_use]
    pub fn unpack(&self) -> CellRecord {
        CellRecord {
            service: self.service.clone(),
            epoch: self.epoch,
            version: self.version,
            writer: self.writer.clone(),
            coordinator: self.coordinator.clone(),
            standbys: self.standbys.clone(),
            config_revision: self.config_revision,
            last_token: self.last_token,
            members: self.members.clone(),
            shards: self
                .shards
                .iter()
                .map(|packed| {
                    packed
                        .as_ref()
                        .and_then(|packed| self.owners.unpack(packed))
                })
                .collect(),
        }
    }
}
