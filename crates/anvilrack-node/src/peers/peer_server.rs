//! Answers other routers.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::directory::known_view;
use crate::ownership::cell_calls;
use crate::peers::{PeerCall, PeerReply, pack, unpack};
use crate::{NodeShared, PlatformDialect, accept_loop, socket_options};

/// Longest call that is read, in bytes.
const CALL_LIMIT: usize = 96 * 1024 * 1024;

/// Time between two pings on a link that has calls under way.
const PING_EVERY: Duration = Duration::from_secs(1);

/// A ping without an answer for this long ends the link, and the work on it.
const PING_LIMIT: Duration = Duration::from_secs(1);

/// HTTP/2 window for one stream and for one connection, in bytes.
const WINDOW_BYTES: u32 = 1024 * 1024;

/// Streams that one router may have open on a link.
const STREAM_LIMIT: u32 = 2_000;

/// Accepts links from other routers until this one parts from them.
pub async fn serve_peers<D: PlatformDialect>(listener: TcpListener, node: Arc<NodeShared<D>>) {
    let serve = |stream| {
        tokio::spawn(serve_link(stream, node.clone()));
    };
    tokio::select! {
        () = accept_loop(&listener, serve) => {}
        () = node.parted() => {}
    }
}

async fn serve_link<D: PlatformDialect>(stream: TcpStream, node: Arc<NodeShared<D>>) {
    socket_options::set(&stream);
    let from = match stream.peer_addr() {
        Ok(address) => address.ip(),
        Err(error) => {
            log::debug!("link from a router ended at once: {error}");
            return;
        }
    };
    node.meet(from);
    let service = service_fn(|request| answer(request, node.clone()));
    let connection = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_EVERY)
        .keep_alive_timeout(PING_LIMIT)
        .max_concurrent_streams(STREAM_LIMIT)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_send_buf_size(WINDOW_BYTES as usize)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = node.parted() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("link from a router ended: {error}");
    }
}

async fn answer<D: PlatformDialect>(
    request: Request<Incoming>,
    node: Arc<NodeShared<D>>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let frame = match Limited::new(request.into_body(), CALL_LIMIT)
        .collect()
        .await
    {
        Ok(frame) => frame.to_bytes(),
        Err(error) => return Ok(refuse(StatusCode::BAD_REQUEST, &error.to_string())),
    };
    let (call, body) = match unpack(frame) {
        Ok(call) => call,
        Err(error) => return Ok(refuse(StatusCode::BAD_REQUEST, &error.to_string())),
    };
    let (reply, body) = dispatch(call, body, &node).await;
    Ok(match pack(&reply, &body) {
        Ok(frame) => Response::new(Full::new(frame)),
        Err(error) => refuse(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    })
}

async fn dispatch<D: PlatformDialect>(
    call: PeerCall,
    body: Bytes,
    node: &Arc<NodeShared<D>>,
) -> (PeerReply, Bytes) {
    let reply = match call {
        PeerCall::Run(run) => {
            node.door.take_body(&run.request);
            let (reply, body) = node.door.run(node, run, body).await;
            return (PeerReply::Run(reply, node.door.target_load()), body);
        }
        PeerCall::Room(call) => {
            let room = node.door.reserve(node, &call);
            PeerReply::Room(room, node.door.target_load())
        }
        PeerCall::Bar(request) => PeerReply::Barred(node.door.bar(&request)),
        PeerCall::Entry(entry) => {
            node.take_entry(entry);
            PeerReply::Done
        }
        PeerCall::PullEntry => PeerReply::Entry(Box::new(node.own_entry())),
        PeerCall::Resign(service, epoch) => {
            PeerReply::Resigned(cell_calls::accept_office(node, &service, epoch).await)
        }
        PeerCall::ReaderBeat(beat) => {
            node.take_reader_beat(&beat);
            PeerReply::Done
        }
        PeerCall::ReaderNews(news) => {
            node.take_reader_news(news);
            PeerReply::Done
        }
        PeerCall::PullView { site, entries } => {
            PeerReply::View(Box::new(known_view(node, site, entries)))
        }
        call => cell_calls::answer(node, call),
    };
    (reply, Bytes::new())
}

fn refuse(status: StatusCode, fault: &str) -> Response<Full<Bytes>> {
    log::warn!("a router's call cannot be answered: {fault}");
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
