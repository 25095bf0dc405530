//! A cell's record in few bytes, for the store and for other routers.

use std::sync::Arc;

use anvilrack_core::{
    CellMember, CellRecord, FencingToken, Incarnation, NodeId, ServiceName, ShardOwner, WriterStamp,
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
    owners: Vec<(NodeId, Incarnation)>,
    shards: Vec<Option<PackedOwner>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PackedOwner {
    place: usize,
    token: FencingToken,
    record_lost: bool,
    handover: Option<Arc<str>>,
}

impl PackedCell {
    /// Packs a record.
    #[must_use]
    pub fn new(record: &CellRecord) -> Self {
        let mut owners: Vec<(NodeId, Incarnation)> = Vec::new();
        let mut place_of = |owner: &ShardOwner| {
            let life = (owner.node.clone(), owner.incarnation);
            let known = owners.iter().position(|known| *known == life);
            known.unwrap_or_else(|| {
                owners.push(life);
                owners.len() - 1
            })
        };
        let shards = record
            .shards
            .iter()
            .map(|owner| {
                owner.as_ref().map(|owner| PackedOwner {
                    place: place_of(owner),
                    token: owner.token,
                    record_lost: owner.record_lost,
                    handover: owner.handover.clone(),
                })
            })
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

    /// The record; shards whose owner's place is not in the list have none.
    #[must_use]
    pub fn unpack(&self) -> CellRecord {
        let owner_of = |packed: &PackedOwner| {
            let (node, incarnation) = self.owners.get(packed.place)?;
            Some(ShardOwner {
                node: node.clone(),
                incarnation: *incarnation,
                token: packed.token,
                record_lost: packed.record_lost,
                handover: packed.handover.clone(),
            })
        };
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
                .map(|packed| packed.as_ref().and_then(owner_of))
                .collect(),
        }
    }
}
