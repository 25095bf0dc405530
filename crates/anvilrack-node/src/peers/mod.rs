//! Links between routers: messages in bincode over HTTP/2.

mod peer_frame;
mod peer_links;
mod peer_message;
mod peer_server;
mod peer_traffic;

use hyper::header::HeaderName;

/// Path of the calls that run requests, whose bodies are as long as callers send them.
const RUN_PATH: &str = "/run";

/// Header of such a call with the id of the request for which memory may be reserved.
const RESERVATION_HEADER: HeaderName = HeaderName::from_static("reservation");

pub use peer_frame::{FrameError, PeerFrame, pack, unpack};
pub use peer_links::{CallError, PeerLinks};
pub use peer_message::{
    BodyCapacityCall, CellRequest, CellUpdate, MemberHeartbeat, MemberHeartbeatReply, PeerCall,
    PeerLocation, PeerReply, ReaderChanges, RecordVersion, RunCall, RunReply, SitePacket,
    SiteReply, SiteRequest, TargetStatus,
};
pub use peer_server::serve_peers;
pub use peer_traffic::PeerTraffic;
