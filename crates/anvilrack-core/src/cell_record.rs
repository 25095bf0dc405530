//! What the store keeps of one cell.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    DomainName, Epoch, FencingToken, Incarnation, NodeId, RegionName, Revision, ServiceName,
    ShardId, TableVersion,
};

/// The agreed state of one cell: who coordinates it, who belongs to it and who owns which shard.
///
/// It stands in the store as one value and changes by compare-and-swap alone.
///
/// See also [`crate::CoordinatorState`], which is the only writer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CellRecord {
    /// The service whose shards these are.
    pub service: ServiceName,
    /// Term of office of the coordinator.
    pub epoch: Epoch,
    /// Number of writes so far; tells which of two records is newer.
    pub version: TableVersion,
    /// Who wrote this, so that a lost reply can be resolved by reading back.
    pub writer: WriterStamp,
    /// The coordinator.
    pub coordinator: NodeId,
    /// The routers that may take the cell over.
    pub standbys: Vec<NodeId>,
    /// The configuration that this assignment was made for.
    pub config_revision: Revision,
    /// The greatest fencing token given out so far.
    pub last_token: FencingToken,
    /// The routers of the cell.
    pub members: Vec<CellMember>,
    /// The owner of each shard; the index is the [`ShardId`].
    pub shards: Vec<Option<ShardOwner>>,
}

impl CellRecord {
    /// The member of that name.
    #[must_use]
    pub fn member(&self, node: &str) -> Option<&CellMember> {
        self.members.iter().find(|member| &*member.node == node)
    }

    /// The owner of a shard.
    #[must_use]
    pub fn owner(&self, shard: ShardId) -> Option<&ShardOwner> {
        self.shards.get(shard as usize)?.as_ref()
    }

    /// The shards that a given run of a router owns, with their tokens.
    pub fn owned_by<'a>(
        &'a self,
        node: &'a str,
        incarnation: Incarnation,
    ) -> impl Iterator<Item = (ShardId, FencingToken)> + 'a {
        self.shards
            .iter()
            .zip(0..)
            .filter_map(move |(owner, shard)| {
                let owner = owner.as_ref()?;
                let same = &*owner.node == node && owner.incarnation == incarnation;
                same.then_some((shard, owner.token))
            })
    }

    /// The record by which `member` takes the cell over as its coordinator.
    ///
    /// Its version and its tokens are above any that the former coordinator can still hand out, so a
    /// router that knows more of the former's writes than this record does follows it all the same.
    #[must_use]
    pub fn next_epoch(&self, member: CellMember, writer: WriterStamp) -> Self {
        let mut record = self.clone();
        record.epoch += 1;
        record.version = (self.version + 1).max(record.epoch * NUMBERS_PER_EPOCH);
        record.last_token = self.last_token.max(record.epoch * NUMBERS_PER_EPOCH);
        record.writer = writer;
        record.coordinator = member.node.clone();
        record.standbys.retain(|node| *node != member.node);
        record.members.retain(|known| known.node != member.node);
        record.members.push(member);
        record
    }

    /// True where `other` is the very same write, not just an equal one.
    #[must_use]
    pub fn is_same_write(&self, other: &Self) -> bool {
        self.epoch == other.epoch && self.writer == other.writer
    }

    /// Number of shards without an owner.
    #[must_use]
    pub fn unowned(&self) -> usize {
        self.shards.iter().filter(|owner| owner.is_none()).count()
    }
}

/// Versions, and tokens, that one coordinator may use up.
///
/// At twenty writes a second that is more than a year, and each epoch stays legible in the number.
const NUMBERS_PER_EPOCH: u64 = 1_000_000_000;

/// One router of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CellMember {
    /// Its name.
    pub node: NodeId,
    /// Which run of it this is.
    pub incarnation: Incarnation,
    /// Where its peers reach it, as `ip:port`.
    pub peer_address: std::net::SocketAddr,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// True once it has said that it is leaving.
    pub leaving: bool,
}

/// Who owns a shard.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardOwner {
    /// The router beside the owning target.
    pub node: NodeId,
    /// Which run of that router.
    pub incarnation: Incarnation,
    /// Greater than that of any earlier owner of any shard in the cell.
    pub token: FencingToken,
    /// True where the previous owner ended without handing over its at-most-once record.
    pub record_lost: bool,
    /// What the previous owner's target handed over for its successor, if it did.
    #[serde(default)]
    pub handover: Option<Arc<str>>,
}

/// Marks a write so that its writer can recognise it, together with the record's epoch and version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WriterStamp {
    /// Who wrote.
    pub node: NodeId,
    /// Which run of that router.
    pub incarnation: Incarnation,
    /// Which of its writes in this epoch.
    pub sequence: u64,
}
