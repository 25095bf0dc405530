//! Keeps the HTTP server from leaving a connection unread.

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::router_context::RouterContext;

/// Time between two connections.
const WAKE_EVERY: Duration = Duration::from_millis(50);

/// Time to open one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Opens and closes a connection to this router's own port again and again, until the process ends.
///
/// `tiny_http` 0.12 counts a thread as waiting until it has woken up. Of two connections that arrive in
/// the same moment, one may thus be queued for a thread that is already taken, and stays unread until
/// some other connection ends. A connection that ends at once makes the server look at its queue.
pub fn start(context: &Arc<RouterContext>, address: SocketAddr) {
    let context = context.clone();
    thread::spawn(move || {
        while context.pause(WAKE_EVERY) {
            drop(TcpStream::connect_timeout(&address, CONNECT_TIMEOUT));
        }
    });
}
