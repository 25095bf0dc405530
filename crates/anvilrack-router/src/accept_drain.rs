//! Ending callers' connections without losing a request that is already on its way.

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

/// How long a connection without a request on it stays open once its port closes.
///
/// A caller that connected, or took the connection from its pool, a moment before the close sends its
/// request within this time, also on a busy machine.
pub const QUIET_TIME: Duration = Duration::from_millis(400);

/// Serves one connection; once `closing` ends, it is ended too, at the latest with the request that is
/// on it by then, and where it is quiet after [`QUIET_TIME`].
///
/// The library closes a connection on which nothing has come yet at once when it is told to shut
/// down, and the request that arrives there a moment later is reset.
///
/// # Errors
///
/// Where the connection breaks or what comes on it is not HTTP.
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
    if let Ok(ended) = timeout(QUIET_TIME, connection.as_mut()).await {
        return ended;
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

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
