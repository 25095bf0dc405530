//! The record of one cell, as it is stored.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    CellVersion, DomainName, Epoch, FencingToken, Incarnation, NodeId, RegionName, Revision,
    ServiceName, ShardId,
};

/// The agreed state of one cell: who coordinates it, who belongs to it and who owns which shard.
///
/// It is kept in the store as a single value that is only changed by compare-and-swap.
///
/// [`crate::CoordinatorState`] is the only writer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CellRecord {
    /// The service that the shards belong to.
    pub service: ServiceName,
    /// Epoch of the coordinator.
    pub epoch: Epoch,
    /// Rises with each write; the record with the greater version is newer.
    pub version: CellVersion,
    /// Identifies this write, so that a writer that got no response can recognise it when it reads the
    /// record.
    pub writer: WriterStamp,
    /// The router that coordinates the cell.
    pub coordinator: NodeId,
    /// The routers that may take over as coordinator.
    pub standbys: Vec<NodeId>,
    /// Revision of the configuration that this assignment is based on.
    pub config_revision: Revision,
    /// The greatest fencing token issued so far.
    pub last_token: FencingToken,
    /// The routers of the cell.
    pub members: Vec<CellMember>,
    /// The owner of each shard; the index is the [`ShardId`].
    pub shards: Vec<Option<ShardOwner>>,
}

impl CellRecord {
    /// Returns the member with the given name.
    #[must_use]
    pub fn member(&self, node: &str) -> Option<&CellMember> {
        self.members.iter().find(|member| &*member.node == node)
    }

    /// Returns the owner of a shard, or `None` if it has none.
    #[must_use]
    pub fn owner(&self, shard: ShardId) -> Option<&ShardOwner> {
        self.shards.get(shard as usize)?.as_ref()
    }

    /// Returns the shards that the given incarnation of a router owns, with their fencing tokens.
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

    /// Returns the shards that other incarnations of a router own, with their fencing tokens.
    pub fn owned_by_other_incarnations<'a>(
        &'a self,
        node: &'a str,
        incarnation: Incarnation,
    ) -> impl Iterator<Item = (ShardId, FencingToken)> + 'a {
        self.shards
            .iter()
            .zip(0..)
            .filter_map(move |(owner, shard)| {
                let owner = owner.as_ref()?;
                let other = &*owner.node == node && owner.incarnation != incarnation;
                other.then_some((shard, owner.token))
            })
    }

    /// Returns the record with which `member` takes over the cell as its coordinator.
    ///
    /// Its version and tokens are greater than any that the former coordinator can still issue. A router
    /// that has seen later writes of the former coordinator than this record contains therefore still
    /// accepts it.
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

    /// Returns true if `other` is the result of the same write, not only equal in content.
    #[must_use]
    pub fn is_same_write(&self, other: &Self) -> bool {
        self.epoch == other.epoch && self.writer == other.writer
    }

    /// Returns the number of shards without an owner.
    #[must_use]
    pub fn unowned(&self) -> usize {
        self.shards.iter().filter(|owner| owner.is_none()).count()
    }
}

/// Number of versions, and of tokens, reserved for each epoch.
///
/// At twenty writes a second they last for more than a year. As a power of ten, the value keeps the epoch
/// readable in decimal versions and tokens.
const NUMBERS_PER_EPOCH: u64 = 1_000_000_000;

/// One router of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CellMember {
    /// Name of the router.
    pub node: NodeId,
    /// Incarnation of the router.
    pub incarnation: Incarnation,
    /// Address for connections from its peers, as `ip:port`.
    pub peer_address: std::net::SocketAddr,
    /// Failure domain of the router.
    pub failure_domain: DomainName,
    /// Region of the router.
    pub region: RegionName,
    /// True once the router has announced that it is leaving.
    pub leaving: bool,
}

/// The owner of a shard and its fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardOwner {
    /// The router that runs next to the owning target.
    pub node: NodeId,
    /// Incarnation of that router.
    pub incarnation: Incarnation,
    /// Fencing token, greater than that of any earlier owner of any shard in the cell.
    pub token: FencingToken,
    /// True if the previous owner ended without handing over its at-most-once record.
    pub record_lost: bool,
    /// Handover data from the previous owner's target, if it provided any.
    #[serde(default)]
    pub handover: Option<Arc<str>>,
}

/// Identifies a write, together with the record's epoch, so that its writer can recognise it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WriterStamp {
    /// Name of the router that wrote the record.
    pub node: NodeId,
    /// Incarnation of that router.
    pub incarnation: Incarnation,
    /// Sequence number of the write within the epoch.
    pub sequence: u64,
}
