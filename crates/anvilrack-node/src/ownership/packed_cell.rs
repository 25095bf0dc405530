//! Compact form of cell records and their deltas, for the store and for other routers.

use std::sync::Arc;

use anvilrack_core::{
    CellMember, CellRecord, FencingToken, Incarnation, NodeId, RecordDelta, ServiceName, ShardId,
    ShardOwner, WriterStamp,
};
use serde::{Deserialize, Serialize};

/// A [`CellRecord`] whose shards refer to their owner by an index into a list of owners.
///
/// Otherwise owner names would take most of the encoded size, and the record is sent between regions
/// with every change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedCell {
    /// Service that the cell belongs to.
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

/// A [`ShardOwner`] with its node and incarnation replaced by an index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PackedOwner {
    /// Index into the owner list.
    place: usize,
    token: FencingToken,
    record_lost: bool,
    handover: Option<Arc<str>>,
}

/// Distinct owners of a record or delta; shards refer to them by index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct OwnerList {
    owners: Vec<(NodeId, Incarnation)>,
}

impl OwnerList {
    fn pack(&mut self, owner: &ShardOwner) -> PackedOwner {
        let identity = (owner.node.clone(), owner.incarnation);
        let position = self.owners.iter().position(|known| *known == identity);
        let place = position.unwrap_or_else(|| {
            self.owners.push(identity);
            self.owners.len() - 1
        });
        PackedOwner {
            place,
            token: owner.token,
            record_lost: owner.record_lost,
            handover: owner.handover.clone(),
        }
    }

    /// Returns the owner, or `None` if its index is out of range.
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

/// A compact [`RecordDelta`]; its shards refer to their owner by index, as in [`PackedCell`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedDelta {
    /// The delta without its shards.
    frame: RecordDelta,
    owners: OwnerList,
    shards: Vec<(ShardId, Option<PackedOwner>)>,
}

impl PackedDelta {
    /// Creates the compact form of a delta.
    #[must_use]
    pub fn new(delta: &RecordDelta) -> Self {
        let mut owners = OwnerList::default();
        let shards = delta
            .shards
            .iter()
            .map(|(shard, owner)| (*shard, owner.as_ref().map(|owner| owners.pack(owner))))
            .collect();
        let frame = RecordDelta {
            shards: Vec::new(),
            ..delta.clone()
        };
        Self {
            frame,
            owners,
            shards,
        }
    }

    /// Restores the delta.
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

    /// Removes the handover values, which only owners need, for routers that only route to the cell.
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
    /// Creates the compact form of a record.
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

    /// Removes the handover values, which only owners need, for routers that only route to the cell.
    #[must_use]
    pub fn without_handovers(mut self) -> Self {
        let owners = self.shards.iter_mut().flatten();
        owners.for_each(|owner| owner.handover = None);
        self
    }

    /// Restores the record; a shard whose owner index is out of range has no owner.
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
