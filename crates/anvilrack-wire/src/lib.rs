//! The messages that anvilrack processes exchange.
//!
//! Every message consists of a version and one typed request or reply, encoded with bincode. A
//! process that receives a message of another version rejects it without decoding the rest.
//!
//! ```
//! use anvilrack_wire::{PeerReply, decode, encode};
//!
//! let bytes = encode(&PeerReply::Promised(true)).unwrap();
//! assert!(matches!(decode::<PeerReply>(&bytes), Ok(PeerReply::Promised(true))));
//! ```

mod body_bytes;
mod document_packet;
mod forward_message;
mod peer_message;
mod wire_codec;

pub use body_bytes::BodyBytes;
pub use document_packet::{
    DocumentDigest, MAX_DOCUMENT_BYTES, PacketError, PacketHeader, document_digest, pack_document,
    unpack_document,
};
pub use forward_message::{ForwardReply, ForwardRequest};
pub use peer_message::{
    HeartbeatReply, HeartbeatRequest, PeerReply, PeerRequest, RecordEntry, RecordHandover,
    RecordOutcome, TableDigest, TableUpdate, TakeoverAnnouncement,
};
pub use wire_codec::{WIRE_VERSION, WireError, decode, encode};
