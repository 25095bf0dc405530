//! Closes a listener and its connections without losing requests that are already in transit.

use std::error::Error;
use std::io;
use std::pin::pin;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::rt::{Read, Write};
use hyper::server::conn::http1;
use hyper::service::HttpService;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time that an idle connection stays open after its listener has closed.
///
/// Long enough, also on a busy machine, for the request of a caller that connected or took the
/// connection from its pool just before the close.
pub const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(400);

/// Serves one connection, and shuts it down gracefully [`IDLE_CLOSE_DELAY`] after `closing`
/// completes. A request that is in progress by then is still answered.
///
/// The delay is needed because hyper's graceful shutdown closes a connection that has not received
/// anything yet at once, and a request that arrives a moment later is reset.
///
/// # Errors
///
/// Returns an error if the connection breaks or the received data is not valid HTTP.
pub async fn serve_until_closed<I, S, B>(
    builder: &http1::Builder,
    io: I,
    service: S,
    closing: impl Future<Output = ()>,
) -> hyper::Result<()>
where
    I: Read + Write + Unpin,
    S: HttpService<Incoming, ResBody = B>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut connection = pin!(builder.serve_connection(io, service));
    tokio::select! {
        biased;
        ended = connection.as_mut() => return ended,
        () = closing => {}
    }
    if let Ok(ended) = timeout(IDLE_CLOSE_DELAY, connection.as_mut()).await {
        return ended;
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

/// Accepts all connections in the backlog, then closes the listener immediately.
///
/// The operating system establishes connections before the process accepts them. A connection that
/// is still in the backlog when the listener closes is reset, and its caller cannot know whether
/// the request has run. Later connections are refused, so the caller knows that nothing has run.
///
/// # Errors
///
/// Returns an error if the listener or an accepted connection cannot be converted between tokio and
/// the standard library. The listener is closed in this case too.
pub fn close_listener(listener: TcpListener) -> io::Result<Vec<TcpStream>> {
    let listener = listener.into_std()?;
    let mut accepted = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        accepted.push(stream);
    }
    drop(listener);
    let streams = accepted.into_iter().map(|stream| {
        stream.set_nonblocking(true)?;
        TcpStream::from_std(stream)
    });
    streams.collect()
}
