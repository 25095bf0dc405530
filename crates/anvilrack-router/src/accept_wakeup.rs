//! Works around `tiny_http` leaving connections unread.

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::router_context::RouterContext;

/// Interval between two wake-up connections.
const WAKE_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout for opening a wake-up connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Opens and closes a connection to this router's own `address` at a fixed interval until the
/// process ends.
///
/// `tiny_http` 0.12 counts a thread as waiting until it has woken up. If two connections arrive at
/// the same moment, one can be queued for a thread that is already taken. It then stays unread
/// until another connection ends. A connection that closes at once makes the server check its
/// queue.
pub fn start(context: &Arc<RouterContext>, address: SocketAddr) {
    let context = context.clone();
    thread::spawn(move || {
        while context.pause(WAKE_INTERVAL) {
            drop(TcpStream::connect_timeout(&address, CONNECT_TIMEOUT));
        }
    });
}
