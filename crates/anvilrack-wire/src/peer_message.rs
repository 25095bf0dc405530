//! The requests and replies that routers exchange.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{
    CellRecord, CellVersion, ConfigRecord, CrashReport, Epoch, FencingToken, MemberReport,
    PlacementDecision, RecordDelta, RenewalAnswer, Revision, ServiceName, ShardId, UncertainReason,
    bounded_duration, optional_bounded_duration,
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{ForwardReply, ForwardRequest, encode};

/// A request from one router to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Runs a caller's request on the receiver's target, subject to the receiver's guard.
    Forward(ForwardRequest),
    /// A member's heartbeat to its coordinator.
    Heartbeat(HeartbeatRequest),
    /// A new coordinator announces its epoch to a router of its cell.
    Takeover(TakeoverAnnouncement),
    /// A coordinator asks a standby for the promise not to take over the cell for some time.
    Promise(ServiceName, Epoch),
    /// A coordinator that is about to stop asks a standby to take over the cell now.
    Resign(ServiceName, Epoch),
    /// Asks for all records that are newer than those in the digest.
    Pull(TableDigest),
    /// Asks the receiver to send its next heartbeat now, because a change affects it.
    Nudge,
    /// Asks the coordinator of a cell for the decision that placed a shard on its owner.
    Explain(ServiceName, ShardId),
    /// Transfers the at-most-once record of a shard that is about to move to the receiver.
    Handover(RecordHandover),
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Reply to `Forward`: the verdict on the request.
    Forwarded(ForwardReply),
    /// Reply to `Heartbeat` from the coordinator.
    Heartbeat(Box<HeartbeatReply>),
    /// Reply to `Heartbeat` from a router that is not the coordinator: the records that the sender
    /// lacks.
    NotCoordinator(TableUpdate),
    /// Reply to `Takeover`: the member's report if it accepts the new epoch.
    TakeoverSeen(Option<MemberReport>),
    /// Reply to `Promise`: whether the standby gives the promise.
    Promised(bool),
    /// Reply to `Resign`: whether the standby attempts the takeover.
    Resigned(bool),
    /// Reply to `Pull`: the records that the sender lacks.
    Update(TableUpdate),
    /// Reply to `Nudge`: the next heartbeat is triggered.
    Nudged,
    /// Reply to `Explain`: the decision, or `None` if this router did not make it.
    Explained(Option<PlacementDecision>),
    /// Reply to `Handover`: whether the receiver imported the complete record.
    HandoverTaken(bool),
}

/// A member's heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatRequest {
    /// The cell's service.
    pub service: ServiceName,
    /// The member's report about itself and its load.
    pub report: MemberReport,
    /// The versions of the records that the member has.
    pub digest: TableDigest,
    /// Requests that crashed targets, as far as the coordinator may not know them yet.
    pub crashes: CrashReport,
}

/// The coordinator's reply to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Whether the lease is renewed, and the shards to release or to keep.
    pub answer: RenewalAnswer,
    /// The records that the member lacks.
    pub update: TableUpdate,
    /// Requests that crashed targets, as far as the member does not know them yet.
    pub crashes: CrashReport,
}

/// The versions of the records that a router has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDigest {
    /// Version of each cell's record; a shortened digest lists some cells only.
    pub cells: Vec<(ServiceName, CellVersion)>,
    /// Revision of the router's configuration.
    pub revision: Revision,
    /// Hash of the full digest if this one is shortened, otherwise `None`.
    pub summary: Option<u64>,
}

impl TableDigest {
    /// Returns a digest that lists only the cell of `service` and covers the others by a hash.
    ///
    /// A hash collision only delays an update until the next change.
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

    /// Returns the hash of all cells' versions and the revision, or 0 if they cannot be encoded.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let bytes = encode(&(&self.cells, self.revision));
        bytes.map_or(0, |bytes| xxh3_64(&bytes))
    }
}

/// Records that are newer than those of the receiver.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// Complete records of cells for which the receiver is too far behind to apply deltas.
    pub cells: Vec<Arc<CellRecord>>,
    /// Deltas to the records that the receiver has, in the order in which they apply.
    pub deltas: Vec<Arc<RecordDelta>>,
    /// The configuration, or `None` if the receiver's is current.
    pub config: Option<Arc<ConfigRecord>>,
    /// Asks the receiver for its full digest, because it may lack more records than its shortened
    /// digest shows.
    pub wants_digest: bool,
}

/// A new coordinator's announcement to a router of its cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TakeoverAnnouncement {
    /// The record that the new coordinator wrote to the store.
    pub record: Arc<CellRecord>,
}

/// The at-most-once record of a shard, sent to the shard's next owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordHandover {
    /// The cell's service.
    pub service: ServiceName,
    /// The shard that is about to move.
    pub shard: ShardId,
    /// The fencing token under which the sender owned the shard.
    pub token: FencingToken,
    /// The recorded requests.
    pub entries: Vec<RecordEntry>,
    /// Time since an earlier owner's record of this shard was lost, or `None` if no loss is still
    /// relevant.
    #[serde(deserialize_with = "optional_bounded_duration")]
    pub lost_age: Option<Duration>,
}

/// One recorded non-idempotent request that has run or may have run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordEntry {
    /// The requested key.
    pub key: Arc<str>,
    /// The caller's idempotency key.
    pub idempotency_key: Arc<str>,
    /// Fingerprint of method, path and body.
    pub fingerprint: u64,
    /// Time since its outcome was recorded.
    #[serde(deserialize_with = "bounded_duration")]
    pub age: Duration,
    /// The outcome of the request.
    pub outcome: RecordOutcome,
}

/// The outcome of a recorded request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RecordOutcome {
    /// The request ran; this is its response.
    Done(ForwardReply),
    /// The outcome is uncertain: the request may have run.
    Unknown(UncertainReason),
}
