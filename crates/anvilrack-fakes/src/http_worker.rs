//! HTTP server and helpers shared by the fakes.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use eyre::eyre;
use tiny_http::{Request, Response, Server};

/// Time between two connections that wake the server; see [`wake_server_forever`].
const WAKE_INTERVAL: Duration = Duration::from_millis(20);

/// Starts a server that handles requests on `workers` threads, and returns only on an error.
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
    thread::spawn(move || wake_server_forever(address));
    for thread in threads {
        thread
            .join()
            .map_err(|_| eyre!("a worker of {address} panicked"))?;
    }
    Ok(())
}

/// Opens and closes connections periodically.
///
/// When two connections arrive together, `tiny_http` may leave one of them unread until another
/// connection ends.
fn wake_server_forever(address: SocketAddr) {
    loop {
        drop(TcpStream::connect(address));
        thread::sleep(WAKE_INTERVAL);
    }
}

/// Sends a response; ignores the error if the client has disconnected.
pub(crate) fn respond(request: Request, status: u16, body: impl Into<Vec<u8>>) {
    let response = Response::from_data(body.into()).with_status_code(status);
    let _ = request.respond(response);
}

/// Closes the connection without a response.
pub(crate) fn close_without_response(request: Request) {
    drop(request.into_writer());
}

/// Reads the whole body of a request.
pub(crate) fn read_body(request: &mut Request) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    request.as_reader().read_to_end(&mut body)?;
    Ok(body)
}

/// Returns the value of a header; its name is not case-sensitive.
pub(crate) fn header(request: &Request, name: &str) -> Option<String> {
    let found = request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|header| header.value.as_str().to_owned())
}
