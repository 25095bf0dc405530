//! Messages between routers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{
    CellRecord, DomainName, Epoch, Incarnation, MemberReport, NodeId, RefusalReason, RegionName,
    RenewalAnswer, RequestClass, ServiceName, SiteVersion, TableVersion, TargetLoad,
    UncertainReason,
};
use serde::{Deserialize, Serialize};

use crate::directory::{DirectoryEntry, ReaderBeat};
use crate::ownership::{PackedCell, PackedStep};
use crate::{KeyNumber, RequestId};

/// What one router asks of another; a request's body follows the message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerCall {
    /// Run a request at the target beside you.
    Run(RunCall),
    /// Is there room for the body of a request?
    Room(RoomCall),
    /// Has this request begun? If not, never begin it.
    Bar(RequestId),
    /// A member tells its coordinator that it lives.
    Heartbeat(Box<MemberBeat>),
    /// A router has taken a cell over.
    Takeover(PackedCell),
    /// The coordinator asks a standby not to take over.
    Promise(ServiceName, Epoch),
    /// A newer record of a cell.
    Cell(CellUpdate),
    /// The coordinator asks a standby to take its place, if that one reaches the store.
    Resign(ServiceName, Epoch),
    /// Which record of that cell do you have?
    PullCell(ServiceName),
    /// What do you know of the operators' document, if it is newer than this, and of the routers?
    PullView {
        /// Version of the document that the sender has.
        site: Option<SiteVersion>,
        /// True where the sender knows no other router.
        entries: bool,
    },
    /// The router that watches the store for the receiver's failure domain lives.
    ReaderBeat(ReaderBeat),
    /// What it has read.
    ReaderNews(ReaderNews),
    /// The sender's own directory entry has changed.
    Entry(DirectoryEntry),
    /// What is your directory entry? Yours in the store has lapsed.
    PullEntry,
}

/// The answer to a [`PeerCall`]; an answer's body follows the message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// How the request ended, and what the target has under way.
    Run(RunReply, TargetLoad),
    /// Whether the body may come; if not, the request has not run.
    Room(Result<(), RunReply>, TargetLoad),
    /// True where the request has not begun and will not.
    Barred(bool),
    /// From the coordinator.
    Heartbeat(Box<BeatReply>),
    /// This router does not coordinate that cell; its newer record, if it has one.
    NotCoordinator(Option<CellUpdate>),
    /// The takeover was seen; a report from a member of the cell.
    TakeoverSeen(Option<MemberReport>),
    /// Whether the promise is given.
    Promised(bool),
    /// Whether the standby takes the coordinator's place.
    Resigned(bool),
    /// What was asked for.
    View(Box<KnownView>),
    /// The sender's own directory entry.
    Entry(Box<DirectoryEntry>),
    /// The record that was asked for.
    Cell(Option<PackedCell>),
    /// Nothing to say.
    Done,
}

/// One request on its way to the router beside its target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunCall {
    /// Names this try of the caller.
    pub request: RequestId,
    /// The service that is to run it.
    pub service: ServiceName,
    /// Name of the route that it takes.
    pub route: Arc<str>,
    /// HTTP method.
    pub method: String,
    /// Path and query, unchanged.
    pub path: String,
    /// The caller's headers, less those of one connection.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Time left for it.
    pub time_left: Duration,
    /// Time left until its answer is late.
    pub objective_left: Duration,
    /// The key, where the service is divided by key.
    pub key: Option<KeyNumber>,
    /// Which requests go first.
    pub class: RequestClass,
    /// True where it must not run twice.
    pub run_once: bool,
    /// The service beside the router that took it from its caller.
    pub caller_service: ServiceName,
}

/// Asks for room before a long body is sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RoomCall {
    /// The request that the body belongs to.
    pub request: RequestId,
    /// Length of the body, in bytes.
    pub bytes: u64,
}

/// How a request ended at the router beside its target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RunReply {
    /// The target answered.
    Ran {
        /// HTTP status.
        status: u16,
        /// The target's headers, less those of one connection.
        headers: Vec<(String, Vec<u8>)>,
    },
    /// It has not run and will not run here.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// When coming back is worth while.
        retry_after: Duration,
        /// True where the target itself has refused it, so that it has cost the target something.
        by_target: bool,
    },
    /// Nobody can tell.
    MayHaveRun(UncertainReason),
}

/// A member's heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberBeat {
    /// The cell.
    pub service: ServiceName,
    /// What the member says of itself.
    pub report: MemberReport,
    /// The record that it has.
    pub known: RecordMark,
}

/// The coordinator's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BeatReply {
    /// About the lease, and what to release.
    pub answer: RenewalAnswer,
    /// A newer record than the member's.
    pub update: Option<CellUpdate>,
}

/// What one router can tell another that does not reach the store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KnownView {
    /// The operators' document as it stood in the store.
    pub document: Option<Vec<u8>>,
    /// The routers.
    pub entries: Vec<DirectoryEntry>,
}

/// What the reader of a failure domain passes on.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ReaderNews {
    /// Entries that were written.
    pub entries: Vec<DirectoryEntry>,
    /// Routers whose entries are gone.
    pub lapsed: Vec<NodeId>,
    /// The operators' document as it stands in the store.
    pub document: Option<Vec<u8>>,
    /// Routers whose entries lapsed, and that answer all the same.
    pub confirmed: Vec<DirectoryEntry>,
}

/// A newer record of a cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CellUpdate {
    /// The record in full.
    Full(PackedCell),
    /// The step from the record before.
    Step(Box<PackedStep>),
}

impl CellUpdate {
    /// The same update for routers that only route.
    #[must_use]
    pub fn without_handovers(self) -> Self {
        match self {
            Self::Full(cell) => Self::Full(cell.without_handovers()),
            Self::Step(step) => Self::Step(Box::new(step.without_handovers())),
        }
    }
}

/// Which record of a cell somebody has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordMark {
    /// Term of office.
    pub epoch: Epoch,
    /// Number of the write.
    pub version: TableVersion,
}

impl RecordMark {
    /// The mark of a record.
    #[must_use]
    pub fn new(record: &CellRecord) -> Self {
        Self {
            epoch: record.epoch,
            version: record.version,
        }
    }
}

/// A router as its peers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerPlace {
    /// Its name.
    pub node: NodeId,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// Its region.
    pub region: RegionName,
}

/// A life of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetPlace {
    /// Which life: a later one has a greater number.
    pub incarnation: Incarnation,
    /// Requests that it runs side by side.
    pub slots: u32,
    /// True while it takes new work.
    pub ready: bool,
}
