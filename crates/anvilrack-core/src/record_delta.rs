//! What changed between two records of one cell.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{
    CellMember, CellRecord, Epoch, NodeId, Revision, ServiceName, ShardId, ShardOwner,
    TableVersion, WriterStamp,
};

/// The step from one record of a cell to a later one.
///
/// It fits one base only, which it names by its write: a version alone could stand for two records
/// after the store was put back to an earlier copy.
///
/// See also [`crate::RouteTable::changes_since`], which picks deltas or a record in full.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordDelta {
    /// The cell's service.
    pub service: ServiceName,
    /// The write that this applies to.
    pub base: RecordStamp,
    /// The write that comes out.
    pub stamp: RecordStamp,
    /// The coordinator.
    pub coordinator: NodeId,
    /// The routers that may take the cell over.
    pub standbys: Vec<NodeId>,
    /// The configuration that the assignment was made for.
    pub config_revision: Revision,
    /// The greatest fencing token given out so far.
    pub last_token: u64,
    /// Members that are new or changed.
    pub members: Vec<CellMember>,
    /// Members that are gone.
    pub gone: Vec<NodeId>,
    /// All members in order, where that is not the order of their names; else empty.
    pub order: Vec<NodeId>,
    /// Number of shards.
    pub shard_count: u32,
    /// Shards whose owner changed.
    pub shards: Vec<(ShardId, Option<ShardOwner>)>,
}

/// Identifies one write of a cell's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordStamp {
    /// Term of office.
    pub epoch: Epoch,
    /// Number of the write.
    pub version: TableVersion,
    /// Who wrote.
    pub writer: WriterStamp,
}

impl RecordStamp {
    /// The stamp of a record.
    #[must_use]
    pub fn new(record: &CellRecord) -> Self {
        Self {
            epoch: record.epoch,
            version: record.version,
            writer: record.writer.clone(),
        }
    }

    /// True where this is the stamp of `record`.
    #[must_use]
    pub fn is_of(&self, record: &CellRecord) -> bool {
        self.epoch == record.epoch && self.version == record.version && self.writer == record.writer
    }
}

impl RecordDelta {
    /// Works out the step from `old` to `new`, two records of the same cell.
    #[must_use]
    pub fn new(old: &CellRecord, new: &CellRecord) -> Self {
        Self {
            service: new.service.clone(),
            base: RecordStamp::new(old),
            stamp: RecordStamp::new(new),
            coordinator: new.coordinator.clone(),
            standbys: new.standbys.clone(),
            config_revision: new.config_revision,
            last_token: new.last_token,
            members: changed_members(old, new),
            gone: gone_members(old, new),
            order: unusual_order(&new.members),
            shard_count: u32::try_from(new.shards.len()).unwrap_or(u32::MAX),
            shards: changed_shards(old, new),
        }
    }

    /// Turns its base into the later record; false, and nothing is changed, for any other record.
    #[must_use]
    pub fn apply_to(&self, record: &mut CellRecord) -> bool {
        if record.service != self.service || !self.base.is_of(record) {
            return false;
        }
        self.apply_members(&mut record.members);
        record.shards.resize(self.shard_count as usize, None);
        for (shard, owner) in &self.shards {
            if let Some(entry) = record.shards.get_mut(*shard as usize) {
                entry.clone_from(owner);
            }
        }
        record.epoch = self.stamp.epoch;
        record.version = self.stamp.version;
        record.writer = self.stamp.writer.clone();
        record.coordinator = self.coordinator.clone();
        record.standbys.clone_from(&self.standbys);
        record.config_revision = self.config_revision;
        record.last_token = self.last_token;
        true
    }

    fn apply_members(&self, members: &mut Vec<CellMember>) {
        let replaced = |node: &NodeId| self.members.iter().any(|changed| changed.node == *node);
        members.retain(|member| !self.gone.contains(&member.node) && !replaced(&member.node));
        members.extend(self.members.iter().cloned());
        members.sort_by(|one, other| one.node.cmp(&other.node));
        if !self.order.is_empty() {
            let place = |member: &CellMember| self.order.iter().position(|n| *n == member.node);
            members.sort_by_cached_key(place);
        }
    }
}

fn changed_members(old: &CellRecord, new: &CellRecord) -> Vec<CellMember> {
    let known: BTreeSet<_> = old.members.iter().map(member_fields).collect();
    let members = new.members.iter();
    let changed = members.filter(|member| !known.contains(&member_fields(member)));
    changed.cloned().collect()
}

fn gone_members(old: &CellRecord, new: &CellRecord) -> Vec<NodeId> {
    let left: BTreeSet<_> = new.members.iter().map(|member| &member.node).collect();
    let nodes = old.members.iter().map(|member| &member.node);
    nodes.filter(|node| !left.contains(node)).cloned().collect()
}

fn changed_shards(old: &CellRecord, new: &CellRecord) -> Vec<(ShardId, Option<ShardOwner>)> {
    let before = old.shards.iter().chain(std::iter::repeat(&None));
    let pairs = before.zip(&new.shards).zip(0..);
    let changed = pairs.filter(|((before, after), _)| before != after);
    changed
        .map(|((_, after), shard)| (shard, after.clone()))
        .collect()
}

fn unusual_order(members: &[CellMember]) -> Vec<NodeId> {
    if members.is_sorted_by(|one, other| one.node <= other.node) {
        return Vec::new();
    }
    members.iter().map(|member| member.node.clone()).collect()
}

/// Everything that tells two descriptions of members apart, in a form with an order.
fn member_fields(member: &CellMember) -> impl Ord + '_ {
    (
        &member.node,
        member.incarnation,
        member.peer_address,
        &member.failure_domain,
        &member.region,
        member.leaving,
    )
}
