//! Closing a listener without resetting a connection that was already made.

use std::io;

use tokio::net::{TcpListener, TcpStream};

/// Takes the connections that wait to be accepted, then closes the listener in the same breath.
///
/// A connection is made by the system before the process accepts it; one that still waits when its
/// listener is closed is reset, and its caller cannot tell whether its request has run. What comes
/// after the close is refused, which says that nothing has run.
///
/// # Errors
///
/// Where the listener cannot be taken off the runtime; it is closed then.
pub fn close_listener(listener: TcpListener) -> io::Result<Vec<TcpStream>> {
    let listener = listener.into_std()?;
    let mut waiting = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        waiting.push(stream);
    }
    drop(listener);
    let streams = waiting.into_iter().map(|stream| {
        stream.set_nonblocking(true)?;
        TcpStream::from_std(stream)
    });
    streams.collect()
}
