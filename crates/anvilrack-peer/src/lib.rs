//! Links between routers: HTTP/2 connections whose streams carry bincode messages.
//!
//! [`PeerLinks`] calls other routers, and [`PeerServer`] answers their calls. Each call uses a
//! stream of its own, so replies cannot be confused, whatever their order. Control calls use a
//! separate link, so that a large body never delays a heartbeat.
//!
//! The functions of [`PeerLinks`] block; the asynchronous code runs on the runtime that the process
//! passes in.

mod body_stream;
mod link_watch;
mod peer_links;
mod peer_server;

pub use peer_links::{LinkClass, PeerError, PeerLinks};
pub use peer_server::{PeerLimits, PeerServer, PeerService, ReplySender};
