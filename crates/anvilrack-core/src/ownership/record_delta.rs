//! Differences between two records of one cell.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    CellMember, CellRecord, CellVersion, Epoch, NodeId, Revision, ServiceName, ShardId, ShardOwner,
    WriterStamp,
};

/// The changes that turn one record of a cell into a later one.
///
/// A delta applies to exactly one base record, which it identifies by its write. The version alone
/// is not enough: after the store is restored from a backup, two different records can have the
/// same version.
///
/// See also [`crate::RouteTable::changes_since`], which sends either deltas or a full record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordDelta {
    /// Service of the cell.
    pub service: ServiceName,
    /// Identifies the record that the delta applies to.
    pub base: RecordStamp,
    /// Identifies the resulting record.
    pub stamp: RecordStamp,
    /// Router that coordinates the cell.
    pub coordinator: NodeId,
    /// Routers that may take over the cell.
    pub standbys: Vec<NodeId>,
    /// Configuration revision that the assignment was made for.
    pub config_revision: Revision,
    /// Highest fencing token granted so far.
    pub last_token: u64,
    /// Added and changed members.
    pub members: Vec<CellMember>,
    /// Removed members.
    pub gone: Vec<NodeId>,
    /// All members in order; empty if they are sorted by name.
    pub order: Vec<NodeId>,
    /// Number of shards.
    pub shard_count: u32,
    /// Shards with a changed owner.
    pub shards: Vec<(ShardId, Option<ShardOwner>)>,
}

/// Identifies one write of a cell's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordStamp {
    /// Epoch of the coordinator that wrote the record.
    pub epoch: Epoch,
    /// Version of the record, which rises with each write.
    pub version: CellVersion,
    /// Identifies the writer and the write.
    pub writer: WriterStamp,
}

impl RecordStamp {
    /// Returns the stamp of a record.
    #[must_use]
    pub fn new(record: &CellRecord) -> Self {
        Self {
            epoch: record.epoch,
            version: record.version,
            writer: record.writer.clone(),
        }
    }

    /// Returns whether this is the stamp of `record`.
    #[must_use]
    pub fn is_of(&self, record: &CellRecord) -> bool {
        self.epoch == record.epoch && self.version == record.version && self.writer == record.writer
    }
}

impl RecordDelta {
    /// Computes the changes from `old` to `new`, two records of the same cell.
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
            gone: removed_members(old, new),
            order: custom_order(&new.members),
            shard_count: u32::try_from(new.shards.len()).unwrap_or(u32::MAX),
            shards: changed_shards(old, new),
        }
    }

    /// Turns the base record into the later one; returns `false` and changes nothing for any other
    /// record.
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

    /// Returns the delta with the effect of this one and then of `next`, whose base is the result of this
    /// one.
    #[must_use]
    pub fn followed_by(self, next: Self) -> Self {
        let replaced = |member: &CellMember| {
            next.gone.contains(&member.node) || next.members.iter().any(|m| m.node == member.node)
        };
        let members = self.members.into_iter().filter(|member| !replaced(member));
        let members = members.chain(next.members.iter().cloned()).collect();
        let mut gone = self.gone;
        gone.extend(next.gone.iter().cloned());
        gone.sort_unstable();
        gone.dedup();
        let mut shards: BTreeMap<_, _> = self.shards.into_iter().collect();
        shards.extend(next.shards.iter().cloned());
        Self {
            base: self.base,
            members,
            gone,
            shards: shards.into_iter().collect(),
            ..next
        }
    }

    fn apply_members(&self, members: &mut Vec<CellMember>) {
        let replaced = |node: &NodeId| self.members.iter().any(|changed| changed.node == *node);
        members.retain(|member| !self.gone.contains(&member.node) && !replaced(&member.node));
        members.extend(self.members.iter().cloned());
        members.sort_by(|one, other| one.node.cmp(&other.node));
        if !self.order.is_empty() {
            let position_in_order =
                |member: &CellMember| self.order.iter().position(|n| *n == member.node);
            members.sort_by_cached_key(position_in_order);
        }
    }
}

fn changed_members(old: &CellRecord, new: &CellRecord) -> Vec<CellMember> {
    let unchanged: BTreeSet<_> = old.members.iter().map(member_fields).collect();
    let members = new.members.iter();
    let changed = members.filter(|member| !unchanged.contains(&member_fields(member)));
    changed.cloned().collect()
}

fn removed_members(old: &CellRecord, new: &CellRecord) -> Vec<NodeId> {
    let remaining: BTreeSet<_> = new.members.iter().map(|member| &member.node).collect();
    let nodes = old.members.iter().map(|member| &member.node);
    nodes
        .filter(|node| !remaining.contains(node))
        .cloned()
        .collect()
}

fn changed_shards(old: &CellRecord, new: &CellRecord) -> Vec<(ShardId, Option<ShardOwner>)> {
    let before = old.shards.iter().chain(std::iter::repeat(&None));
    let pairs = before.zip(&new.shards).zip(0..);
    let changed = pairs.filter(|((before, after), _)| before != after);
    changed
        .map(|((_, after), shard)| (shard, after.clone()))
        .collect()
}

fn custom_order(members: &[CellMember]) -> Vec<NodeId> {
    if members.is_sorted_by(|one, other| one.node <= other.node) {
        return Vec::new();
    }
    members.iter().map(|member| member.node.clone()).collect()
}

/// Returns all fields of a member as a tuple that can be ordered, for use in a set.
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
