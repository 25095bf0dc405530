//! Links between routers: h2 streams that carry bincode.
//!
//! [`PeerLinks`] calls other routers, [`PeerServer`] answers them. Each call is one stream, so an
//! answer can never be taken for that of another call, in whatever order answers come. Control calls
//! go over a link of their own, so that a large body never delays a heartbeat.
//!
//! This is the only crate that runs asynchronous code; the callers block on a channel.

mod body_stream;
mod link_watch;
mod peer_links;
mod peer_server;

pub use peer_links::{LinkClass, PeerError, PeerLinks};
pub use peer_server::{PeerServer, PeerService, ReplySender};
