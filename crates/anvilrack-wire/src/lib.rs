//! What anvilrack processes say to each other.
//!
//! Every message is an envelope with a version and one typed request or reply, coded with bincode.
//! A process that gets a version it does not know refuses the message as a whole; it never guesses.
//!
//! ```
//! use anvilrack_wire::{PeerReply, decode, encode};
//!
//! let bytes = encode(&PeerReply::Promised(true)).unwrap();
//! assert!(matches!(decode::<PeerReply>(&bytes), Ok(PeerReply::Promised(true))));
//! ```

mod body_bytes;
mod forward_message;
mod peer_message;
mod wire_codec;

pub use body_bytes::BodyBytes;
pub use forward_message::{ForwardReply, ForwardRequest};
pub use peer_message::{
    HeartbeatReply, HeartbeatRequest, PeerReply, PeerRequest, RecordEntry, RecordHandover,
    RecordOutcome, TableDigest, TableUpdate, TakeoverCall,
};
pub use wire_codec::{WIRE_VERSION, WireError, decode, encode};
