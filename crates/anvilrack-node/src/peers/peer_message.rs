//! Messages between routers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{
    AdmissionHint, BootTime, CallCosts, CellRecord, CellVersion, CrashReport, DomainName, Epoch,
    EvacuationSet, Incarnation, MemberReport, NodeId, RecordStamp, RefusalReason, RegionName,
    RenewalAnswer, RequestClass, RunAdmission, ServiceName, SiteVersion, TargetDeparture,
    TargetLoad, UncertainReason, bounded_duration,
};
use anvilrack_wire::{DocumentDigest, PacketHeader};
use serde::{Deserialize, Serialize};

use crate::directory::{DirectoryEntry, ReaderHeartbeat};
use crate::held_body::HeldBody;
use crate::ownership::{PackedCell, PackedDelta};
use crate::{KeyNumber, RequestContent, RequestId};

/// A call from one router to another; the body of a request follows the message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerCall {
    /// Runs a request at the receiver's local target.
    Run(RunCall),
    /// Asks whether the receiver has capacity for the body of a request.
    Room(BodyCapacityCall),
    /// Cancels a request before it starts; has no effect on a request that has already started. Names the
    /// time since the request was sent.
    Bar(
        RequestId,
        #[serde(deserialize_with = "bounded_duration")] Duration,
    ),
    /// Heartbeat of a member to its coordinator.
    Heartbeat(Box<MemberHeartbeat>),
    /// Announces that the sender has taken over a cell.
    Takeover(PackedCell),
    /// Sent by the coordinator to ask a standby for a promise not to take over.
    Promise(ServiceName, Epoch),
    /// Delivers a newer record of a cell.
    Cell(CellUpdate),
    /// Asks a standby to become the coordinator, provided that it reaches the store.
    Resign(ServiceName, Epoch),
    /// Asks for the receiver's record of a cell.
    PullCell(CellRequest),
    /// Asks for the receiver's site document, if it is newer than the sender's.
    PullSite(SiteRequest),
    /// Asks for the directory entries that the receiver knows, its own included.
    PullEntries,
    /// Heartbeat of the router that watches the store for the receiver's failure domain.
    ReaderBeat(ReaderHeartbeat),
    /// Passes on changes that the sender has read from the store or confirmed with other routers.
    ReaderNews(ReaderChanges),
    /// Delivers the sender's own directory entry, which has changed.
    Entry(DirectoryEntry),
    /// Asks for the receiver's own directory entry, because the one in the store has expired.
    PullEntry,
    /// Exchanges observations of crashes; contains those that the sender has.
    Crashes(CrashReport),
    /// Passes on the evacuated failure domains; names the failure domain of the sender.
    Evacuations(DomainName, EvacuationSet),
    /// Asks for the evacuated failure domains that the receiver knows.
    PullEvacuations,
    /// Has the receiver keep the departures of the sender's targets; names the sender.
    Departures(NodeId, Vec<TargetDeparture>),
    /// Asks for the departures that the receiver keeps for the named router, which has started again.
    PullDepartures(NodeId),
}

impl PeerCall {
    /// Returns the name of the kind of call, for metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Run(_) => "run",
            Self::Room(_) => "body-capacity",
            Self::Bar(..) => "cancel",
            Self::Heartbeat(_) => "heartbeat",
            Self::Takeover(_) => "takeover",
            Self::Promise(..) => "promise",
            Self::Cell(_) => "cell-record",
            Self::Resign(..) => "resign",
            Self::PullCell(_) => "pull-cell-record",
            Self::PullSite(_) => "pull-site-document",
            Self::PullEntries => "pull-entries",
            Self::ReaderBeat(_) => "reader-heartbeat",
            Self::ReaderNews(_) => "reader-changes",
            Self::Entry(_) => "entry",
            Self::PullEntry => "pull-entry",
            Self::Crashes(_) => "crashes",
            Self::Evacuations(..) => "evacuations",
            Self::PullEvacuations => "pull-evacuations",
            Self::Departures(..) => "departures",
            Self::PullDepartures(_) => "pull-departures",
        }
    }
}

/// The reply to a [`PeerCall`]; the body of a response follows the message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// The outcome of the request, the target's load, the shares of requests that it can take, and the calls
    /// that a run makes, which are left out of most replies.
    Run(RunReply, TargetLoad, AdmissionHint, Option<CallCosts>),
    /// Whether the body may be sent, or else why the request was not run; and the target's load.
    Room(Result<(), RunReply>, TargetLoad),
    /// Whether the request was cancelled: true if it has not started and never will.
    Barred(bool),
    /// The coordinator's reply to a heartbeat.
    Heartbeat(Box<MemberHeartbeatReply>),
    /// The sender does not coordinate the cell; contains its record if that is newer.
    NotCoordinator(Option<CellUpdate>),
    /// The takeover was applied; contains a report if the sender is a member of the cell.
    TakeoverSeen(Option<MemberReport>),
    /// Whether the standby gave the promise.
    Promised(bool),
    /// Whether the standby accepted the coordinator role.
    Resigned(bool),
    /// The reply to a request for a newer site document; the packed document follows a packet.
    Site(SiteReply),
    /// The requested directory entries.
    Entries(Vec<DirectoryEntry>),
    /// The sender's own directory entry.
    Entry(Box<DirectoryEntry>),
    /// The requested record, or the change to it; `None` if the sender has no newer one.
    Cell(Option<CellUpdate>),
    /// Acknowledges a call that needs no further reply.
    Done,
    /// Observations of crashes that the receiver lacks, and whether the sender knows those from before
    /// its own start.
    Crashes(CrashReport, bool),
    /// The evacuated failure domains that the sender knows; `None` if it knows no set.
    Evacuations(Option<EvacuationSet>),
    /// The departures that the sender keeps for the router that asks.
    Departures(Vec<TargetDeparture>),
}

/// A request that is forwarded to the router of its target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunCall {
    /// Identifies this attempt of the caller.
    pub request: RequestId,
    /// Service that has to run the request.
    pub service: ServiceName,
    /// Name of the matched route.
    pub route: Arc<str>,
    /// Version of the site document by which the request was routed.
    pub site: SiteVersion,
    /// HTTP method of the request.
    pub method: String,
    /// Path and query, as the caller sent them.
    pub path: String,
    /// The caller's headers without hop-by-hop headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// When the call was sent, by the sender's clock.
    #[serde(deserialize_with = "bounded_duration")]
    pub sent_at: BootTime,
    /// Time left until the request's deadline.
    #[serde(deserialize_with = "bounded_duration")]
    pub time_left: Duration,
    /// Time left until the response misses its latency objective.
    #[serde(deserialize_with = "bounded_duration")]
    pub objective_left: Duration,
    /// Key of the request, used if the service is divided by key; `None` if the caller named none.
    pub key: Option<KeyNumber>,
    /// Class that determines the request's order at the target.
    pub class: RequestClass,
    /// Priority of the request and the share of such requests that the sender admits; those of the run
    /// that it belongs to if it is a call.
    pub admission: RunAdmission,
    /// Whether the request must not run more than once.
    pub run_once: bool,
    /// Service of the router that received the request from its caller.
    pub caller_service: ServiceName,
}

impl RunCall {
    /// Reduces the time left by that for which the call was delayed on its way.
    pub fn subtract_delay(&mut self, delay: Duration) {
        self.time_left = self.time_left.saturating_sub(delay);
        self.objective_left = self.objective_left.saturating_sub(delay);
    }

    /// Returns the content of the request with this body.
    #[must_use]
    pub fn content<'a>(&'a self, body: &'a HeldBody) -> RequestContent<'a> {
        RequestContent {
            service: &self.service,
            method: &self.method,
            path: &self.path,
            headers: &self.headers,
            key: self.key,
            body,
        }
    }
}

/// Asks for capacity before a long body is sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BodyCapacityCall {
    /// Identifies the request that the body belongs to.
    pub request: RequestId,
    /// Length of the body, in bytes.
    pub bytes: u64,
}

/// Outcome of a request at the router of its target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RunReply {
    /// The target responded.
    Ran {
        /// HTTP status of the target's response.
        status: u16,
        /// The target's headers without hop-by-hop headers.
        headers: Vec<(String, Vec<u8>)>,
    },
    /// The request has not run and will not run at this target.
    NotRun {
        /// Why the request was refused.
        reason: RefusalReason,
        /// Time after which a retry is worthwhile.
        #[serde(deserialize_with = "bounded_duration")]
        retry_after: Duration,
        /// Whether the target itself refused the request, which costs the target some work.
        by_target: bool,
    },
    /// The request was sent and possibly executed; its outcome is unknown.
    MayHaveRun(UncertainReason),
}

/// A member's heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberHeartbeat {
    /// Service of the cell.
    pub service: ServiceName,
    /// The member's report about itself.
    pub report: MemberReport,
    /// Version of the cell's record that the member has.
    pub known: RecordVersion,
}

/// The coordinator's reply to a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberHeartbeatReply {
    /// Whether the lease is renewed, and which shards to release or keep.
    pub answer: RenewalAnswer,
    /// Update of the cell's record; `None` if the member has the current one.
    pub update: Option<CellUpdate>,
}

/// Asks for a newer site document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteRequest {
    /// Address at which other routers reach the sender.
    pub router: SocketAddr,
    /// Version of the sender's document; `None` if it has none.
    pub version: Option<SiteVersion>,
    /// Digest of the sender's document, from which a delta may be sent.
    pub digest: Option<DocumentDigest>,
}

/// The reply to a [`SiteRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SiteReply {
    /// The document is in the body of the reply.
    Packet(SitePacket),
    /// The sender has no newer document.
    NotNewer,
    /// The sender's link is occupied by other documents.
    Busy {
        /// Time after which a retry is worthwhile.
        #[serde(deserialize_with = "bounded_duration")]
        retry_after: Duration,
        /// Routers that were sent the document and may pass it on.
        receivers: Vec<SocketAddr>,
    },
}

/// A packed site document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SitePacket {
    /// Version of the document.
    pub version: SiteVersion,
    /// Describes the packed document.
    pub header: PacketHeader,
}

/// Changes that the reader of a failure domain passes on to the domain's routers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ReaderChanges {
    /// Entries that were written to the store.
    pub entries: Vec<DirectoryEntry>,
    /// Routers whose entries are gone from the store.
    pub lapsed: Vec<NodeId>,
    /// Entries that expired in the store, as confirmed by their routers, which still reply.
    pub confirmed: Vec<DirectoryEntry>,
}

/// Asks for a newer record of a cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CellRequest {
    /// Service of the cell.
    pub service: ServiceName,
    /// The record that the sender has; `None` if it has none.
    pub known: Option<RecordStamp>,
    /// Whether the sender's target belongs to the service, so that it needs the data that owners hand over.
    pub is_member: bool,
}

/// Update of a cell's record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CellUpdate {
    /// The complete record.
    Full(PackedCell),
    /// The delta from the previous record.
    Step(Box<PackedDelta>),
}

impl CellUpdate {
    /// Removes the handover values, which only owners need, for routers that only route to the cell.
    #[must_use]
    pub fn without_handovers(self) -> Self {
        match self {
            Self::Full(cell) => Self::Full(cell.without_handovers()),
            Self::Step(step) => Self::Step(Box::new(step.without_handovers())),
        }
    }
}

/// Version of a cell's record, ordered by epoch and then by write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordVersion {
    /// Epoch of the coordinator that wrote the record.
    pub epoch: Epoch,
    /// Number of the write that produced the record.
    pub version: CellVersion,
}

impl RecordVersion {
    /// Returns the version of a record.
    #[must_use]
    pub fn new(record: &CellRecord) -> Self {
        Self {
            epoch: record.epoch,
            version: record.version,
        }
    }
}

/// Name, address and location of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLocation {
    /// Name of the router.
    pub node: NodeId,
    /// Address at which other routers reach it.
    pub address: SocketAddr,
    /// Failure domain of the router's VM.
    pub failure_domain: DomainName,
    /// Region of the router's VM.
    pub region: RegionName,
}

/// State of one incarnation of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Number of the incarnation; a later one has a greater number.
    pub incarnation: Incarnation,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub ready: bool,
    /// Time for which the target was cold when its router first heard of it, in milliseconds.
    pub cold_ms: u32,
}
