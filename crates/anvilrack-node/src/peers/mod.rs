//! Links between routers: messages in bincode over HTTP/2.

mod peer_frame;
mod peer_links;
mod peer_message;
mod peer_server;

pub use peer_frame::{FrameFault, pack, unpack};
pub use peer_links::{PeerFault, PeerLinks};
pub use peer_message::{
    BeatReply, CellUpdate, KnownView, MemberBeat, PeerCall, PeerPlace, PeerReply, ReaderNews,
    RecordMark, RoomCall, RunCall, RunReply, TargetPlace,
};
pub use peer_server::serve_peers;
