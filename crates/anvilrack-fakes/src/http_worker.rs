//! What both stand-ins need of an HTTP server.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use eyre::eyre;
use tiny_http::{Request, Response, Server};

/// Time between two connections that make the server look at its queue.
const WAKE_EVERY: Duration = Duration::from_millis(20);

/// Starts a server whose requests are served by `workers` threads; never returns.
pub(crate) fn serve_forever<F>(address: SocketAddr, workers: usize, serve: F) -> eyre::Result<()>
where
    F: Fn(Request) + Send + Sync + 'static,
{
    let server =
        Server::http(address).map_err(|error| eyre!("cannot listen on {address}: {error}"))?;
    let server = Arc::new(server);
    let serve = Arc::new(serve);
    let threads: Vec<_> = (0..workers)
        .map(|_| {
            let server = server.clone();
            let serve = serve.clone();
            thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    serve(request);
                }
            })
        })
        .collect();
    thread::spawn(move || kick_forever(address));
    for thread in threads {
        thread
            .join()
            .map_err(|_| eyre!("a worker of {address} panicked"))?;
    }
    Ok(())
}

/// Opens and closes connections, since `tiny_http` may leave one of two that arrive together unread
/// until another connection ends.
fn kick_forever(address: SocketAddr) {
    loop {
        drop(TcpStream::connect(address));
        thread::sleep(WAKE_EVERY);
    }
}

/// Answers with text; a caller that is gone is not an error.
pub(crate) fn respond(request: Request, status: u16, body: impl Into<Vec<u8>>) {
    let response = Response::from_data(body.into()).with_status_code(status);
    let _ = request.respond(response);
}

/// Closes the connection without an answer.
pub(crate) fn drop_unanswered(request: Request) {
    drop(request.into_writer());
}

/// Reads the whole body.
pub(crate) fn read_body(request: &mut Request) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    request.as_reader().read_to_end(&mut body)?;
    Ok(body)
}

/// The value of a header.
pub(crate) fn header(request: &Request, name: &str) -> Option<String> {
    let found = request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|header| header.value.as_str().to_owned())
}
