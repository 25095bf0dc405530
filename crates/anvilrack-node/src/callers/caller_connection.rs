//! Accepts and serves callers' connections.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_router::accept_drain;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::callers::caller_request;
use crate::callers::caller_stream::{CallerActivity, CallerStream};
use crate::{NodeState, PlatformDialect, accept_loop, serve_pending};
use anvilrack_limits::GatedConnection;

/// Time beyond the configured idle timeout after which an idle connection is closed.
///
/// A caller that respects the configured timeout never sends a request on a connection that is being
/// closed.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// Time beyond the configured timeout after which a head that is not complete ends its connection.
const HEAD_MARGIN: Duration = Duration::from_secs(1);

/// Minimum buffer size that hyper accepts for a request head.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Buffer size beyond the maximum head size, for the request line and the separators.
const BUFFER_MARGIN_BYTES: usize = 1024;

/// Serves callers until the router closes the listener to stop.
pub async fn serve_callers<D: PlatformDialect>(listener: TcpListener, node: Arc<NodeState<D>>) {
    let gate = node.gates.callers.clone();
    let serve = |stream, connection| {
        node.add_caller_connections(1);
        let node = node.clone();
        tokio::spawn(async move {
            serve_caller(stream, connection, &node).await;
            node.add_caller_connections(-1);
        });
    };
    tokio::select! {
        () = accept_loop(&listener, &gate, serve) => {}
        () = node.listener_closed() => {}
    }
    match accept_drain::close_listener(listener) {
        Ok(pending) => serve_pending(pending, &gate, serve),
        Err(error) => log::warn!("cannot accept the pending connections: {error}"),
    }
}

async fn serve_caller<D: PlatformDialect>(
    stream: TcpStream,
    connection: GatedConnection,
    node: &Arc<NodeState<D>>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY: {error}");
    }
    let limits = node.site().map(|site| site.limits).unwrap_or_default();
    let buffer_bytes = (limits.head_bytes + BUFFER_MARGIN_BYTES).max(MIN_BUFFER_BYTES);
    let activity = CallerActivity::new(connection);
    let service = service_fn(|request| caller_request::respond(request, &activity, node));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + IDLE_MARGIN)
        .max_buf_size(buffer_bytes);
    let head_timeout = limits.head_timeout + HEAD_MARGIN;
    let stream = CallerStream::new(stream, activity.clone(), head_timeout);
    let io = TokioIo::new(stream);
    let served = accept_drain::serve_until_closed(&builder, io, service, node.callers_closed());
    tokio::select! {
        result = served => if let Err(error) = result {
            log::debug!("connection of a caller failed: {error}");
        },
        () = activity.connection().closing() => {
            log::debug!("connection of a caller was closed for others");
        }
    }
}
