//! Callers' connections.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_router::accept_drain;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::callers::caller_request;
use crate::{NodeShared, PlatformDialect, accept_loop};

/// Time beyond the stated idle time after which an idle connection is closed.
///
/// A caller that keeps to the stated time never meets a connection that is being closed.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// Least room for a head that the library takes, in bytes.
const LEAST_HEAD_ROOM: usize = 8 * 1024;

/// Room beyond the longest head, for the line and the separators, in bytes.
const HEAD_SLACK: usize = 1024;

/// Accepts callers until a stop closes their connections.
pub async fn serve_callers<D: PlatformDialect>(listener: TcpListener, node: Arc<NodeShared<D>>) {
    let serve = |stream| {
        tokio::spawn(serve_caller(stream, node.clone()));
    };
    tokio::select! {
        () = accept_loop(&listener, serve) => {}
        () = node.closed() => {}
    }
    match accept_drain::close_listener(listener) {
        Ok(waiting) => waiting.into_iter().for_each(serve),
        Err(error) => log::warn!("connections that waited were not taken: {error}"),
    }
}

async fn serve_caller<D: PlatformDialect>(stream: TcpStream, node: Arc<NodeShared<D>>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY: {error}");
    }
    let limits = node.site().map(|site| site.limits).unwrap_or_default();
    let room = (limits.head_bytes + HEAD_SLACK).max(LEAST_HEAD_ROOM);
    let service = service_fn(|request| caller_request::answer(request, &node));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + IDLE_MARGIN)
        .max_buf_size(room);
    let io = TokioIo::new(stream);
    let ended = accept_drain::serve_until_closed(&builder, io, service, node.closed()).await;
    if let Err(error) = ended {
        log::debug!("connection of a caller ended: {error}");
    }
}
