//! The messages between routers.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{
    CellRecord, ConfigRecord, CrashReport, Epoch, FencingToken, MemberReport, PlacementNote,
    RecordDelta, RenewalAnswer, Revision, ServiceName, ShardId, TableVersion, UncertainReason,
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{ForwardReply, ForwardRequest, encode};

/// What one router asks of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Guard and run a caller's request.
    Forward(ForwardRequest),
    /// A member speaks to its coordinator.
    Heartbeat(HeartbeatRequest),
    /// A new coordinator speaks to a router of its cell.
    Takeover(TakeoverCall),
    /// A coordinator asks a standby not to take over.
    Promise(ServiceName, Epoch),
    /// A coordinator that is about to stop asks a standby to take the cell over now.
    Resign(ServiceName, Epoch),
    /// Give me what is newer than this.
    Pull(TableDigest),
    /// Something changed for you: send your next heartbeat now.
    Nudge,
    /// Why has that shard of your cell the owner that it has?
    Explain(ServiceName, ShardId),
    /// Take the at-most-once record of a shard that is about to move to you.
    Handover(RecordHandover),
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// To `Forward`.
    Forwarded(ForwardReply),
    /// To `Heartbeat`.
    Heartbeat(Box<HeartbeatReply>),
    /// To `Heartbeat`, from a router that is not the coordinator.
    NotCoordinator(TableUpdate),
    /// To `Takeover`: the member's report, if it now follows the new epoch.
    TakeoverSeen(Option<MemberReport>),
    /// To `Promise`: whether it is given.
    Promised(bool),
    /// To `Resign`: whether the standby will try.
    Resigned(bool),
    /// To `Pull`.
    Update(TableUpdate),
    /// To `Nudge`.
    Nudged,
    /// To `Explain`: the decision, where this coordinator made it.
    Explained(Option<PlacementNote>),
    /// To `Handover`: whether the record was taken.
    HandoverTaken(bool),
}

/// A member's heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatRequest {
    /// The cell's service.
    pub service: ServiceName,
    /// The member's state.
    pub report: MemberReport,
    /// What the member already knows.
    pub digest: TableDigest,
    /// Requests that crashed targets.
    pub crashes: CrashReport,
}

/// The coordinator's answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// About the lease.
    pub answer: RenewalAnswer,
    /// What the member lacks.
    pub update: TableUpdate,
    /// Requests that crashed targets.
    pub crashes: CrashReport,
}

/// Which versions a router has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDigest {
    /// Version of each cell's record.
    pub cells: Vec<(ServiceName, TableVersion)>,
    /// Revision of the configuration.
    pub revision: Revision,
    /// Where `cells` names some cells only: the hash of all of them.
    pub summary: Option<u64>,
}

impl TableDigest {
    /// Names one cell, and the rest by a hash alone.
    ///
    /// A hash that is the same by chance keeps an update back until the next change, no more.
    #[must_use]
    pub fn shortened(self, service: &str) -> Self {
        Self {
            summary: Some(self.hash()),
            revision: self.revision,
            cells: self
                .cells
                .into_iter()
                .filter(|(name, _)| **name == *service)
                .collect(),
        }
    }

    /// The hash of all cells' versions and the revision.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let bytes = encode(&(&self.cells, self.revision));
        bytes.map_or(0, |bytes| xxh3_64(&bytes))
    }
}

/// Newer records than the receiver has.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// Cells' records in full, for a receiver that is too far behind.
    pub cells: Vec<Arc<CellRecord>>,
    /// Steps from the records that the receiver has, in the order in which they apply.
    pub deltas: Vec<Arc<RecordDelta>>,
    /// The configuration.
    pub config: Option<Arc<ConfigRecord>>,
    /// True where more may be lacking than a shortened digest could tell: send it in full.
    pub wants_digest: bool,
}

/// A new coordinator's call to a router of its cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TakeoverCall {
    /// The record that the new coordinator wrote.
    pub record: Arc<CellRecord>,
}

/// The at-most-once record of a shard on its way to the next owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordHandover {
    /// The cell's service.
    pub service: ServiceName,
    /// The shard.
    pub shard: ShardId,
    /// The token under which the record was kept.
    pub token: FencingToken,
    /// What was kept.
    pub entries: Vec<RecordEntry>,
    /// How long ago an earlier owner's record of this shard was lost, where that still matters.
    pub lost_age: Option<Duration>,
}

/// One non-idempotent request that has run, or may have.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordEntry {
    /// The key asked for.
    pub key: Arc<str>,
    /// The caller's idempotency key.
    pub idempotency_key: Arc<str>,
    /// Fingerprint of method, path and body.
    pub fingerprint: u64,
    /// How long its outcome has been kept.
    pub age: Duration,
    /// What came of it.
    pub outcome: RecordOutcome,
}

/// What came of a recorded request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RecordOutcome {
    /// It ran, and this is its answer.
    Done(ForwardReply),
    /// It may have run.
    Unknown(UncertainReason),
}
