//! Serves calls from other routers.

use std::convert::Infallible;
use std::future::pending;
use std::net::IpAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anvilrack_core::{AdmissionHint, HoldPurpose};
use anvilrack_router::{accept_drain, boot_clock};
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

use crate::body_collector::{BodyDeadline, BodyError, collect_body};
use crate::directory::serve_site;
use crate::held_body::HeldBody;
use crate::ownership::cell_calls;
use crate::peers::{PeerCall, PeerFrame, PeerReply, RESERVATION_HEADER, RUN_PATH, pack, unpack};
use crate::{NodeState, PlatformDialect, RequestId, accept_loop, serve_pending, socket_options};
use anvilrack_limits::GatedConnection;

/// Maximum time between two parts of a call.
const CALL_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Time within which the first call of a new link has to arrive.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two pings on a link without other traffic.
///
/// Most links of a large deployment are idle, and each router has one to almost each other, so short
/// intervals would cost more than the requests. The calling router, which waits for replies, pings more
/// often.
const PING_INTERVAL: Duration = Duration::from_secs(10);

/// A link is closed and its calls are cancelled if a ping is not acknowledged for this long.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// HTTP/2 flow-control window of each stream and of the connection, and the send buffer size of each
/// stream, in bytes.
const WINDOW_BYTES: u32 = 1024 * 1024;

/// Time for which links are still served once this router disconnects from its peers.
///
/// A link that is shut down before its handshake is reset, with the calls that were sent on it.
const LINK_CLOSE_DELAY: Duration = Duration::from_millis(50);

/// Maximum time that a call to cancel a request is on its way; its sender waits no longer.
const MAX_CANCEL_TRANSIT: Duration = Duration::from_millis(400);

/// Maximum number of concurrent streams on one link.
const MAX_STREAMS: u32 = 2_000;

/// Accepts links from other routers until this router disconnects from its peers.
pub async fn serve_peers<D: PlatformDialect>(listener: TcpListener, node: Arc<NodeState<D>>) {
    let gate = node.gates.routers.clone();
    let serve = |stream, connection| {
        tokio::spawn(serve_link(stream, connection, node.clone()));
    };
    tokio::select! {
        () = accept_loop(&listener, &gate, serve) => {}
        () = node.links_closed() => {}
    }
    // A pending link that were reset would leave its router in doubt about the calls on it.
    match accept_drain::close_listener(listener) {
        Ok(pending) => serve_pending(pending, &gate, serve),
        Err(error) => log::warn!("cannot accept the pending links: {error}"),
    }
}

async fn serve_link<D: PlatformDialect>(
    stream: TcpStream,
    gated: GatedConnection,
    node: Arc<NodeState<D>>,
) {
    socket_options::set(&stream, PING_INTERVAL);
    let from = match stream.peer_addr() {
        Ok(address) => address.ip(),
        Err(error) => {
            log::debug!("cannot read the peer address of a new link: {error}");
            return;
        }
    };
    node.remember_linked_router(from);
    let has_calls = AtomicBool::new(false);
    let service = service_fn(|request| {
        if !has_calls.swap(true, Ordering::Relaxed) {
            gated.set_busy();
        }
        respond(request, from, node.clone())
    });
    let connection = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_send_buf_size(WINDOW_BYTES as usize)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let unused = async {
        sleep(FIRST_CALL_TIMEOUT).await;
        if has_calls.load(Ordering::Relaxed) {
            pending::<()>().await;
        }
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = gated.closing() => return,
        () = unused => return,
        () = node.links_closed() => {
            if let Ok(ended) = timeout(LINK_CLOSE_DELAY, connection.as_mut()).await {
                ended
            } else {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    if let Err(error) = ended {
        log::debug!("link from a router failed: {error}");
    }
}

async fn respond<D: PlatformDialect>(
    request: Request<Incoming>,
    from: IpAddr,
    node: Arc<NodeState<D>>,
) -> Result<Response<HeldBody>, Infallible> {
    let is_run = request.uri().path() == RUN_PATH;
    let id = request.headers().get(RESERVATION_HEADER);
    let id = id.and_then(|id| id.to_str().ok()).map(RequestId::from);
    let reserved = id.and_then(|id| node.gateway.take_reservation(&id));
    // Routers' own messages go before the bodies of callers.
    let purpose = if is_run {
        HoldPurpose::Receiving
    } else {
        HoldPurpose::Responding
    };
    let hold = reserved.unwrap_or_else(|| node.memory.hold(purpose));
    let deadline = BodyDeadline {
        at: Instant::now() + CALL_STALL_TIMEOUT,
        stall: Some(CALL_STALL_TIMEOUT),
    };
    let mut body = request.into_body();
    let frame = match collect_body(&mut body, hold, u64::MAX, deadline, || ()).await {
        Ok(frame) => frame,
        Err(BodyError::Memory(_)) if is_run => {
            let (reply, body) = node.gateway.refuse_for_memory();
            let reply = PeerReply::Run(
                reply,
                node.gateway.target_load(),
                AdmissionHint::default(),
                None,
            );
            return Ok(pack_reply(&node, &reply, body));
        }
        Err(error) => return Ok(refuse(StatusCode::BAD_REQUEST, &error.to_string())),
    };
    if is_run {
        frame.set_purpose(HoldPurpose::Forwarding);
    }
    let mut call: PeerFrame<PeerCall> = match unpack(frame) {
        Ok(call) => call,
        Err(error) => return Ok(refuse(StatusCode::BAD_REQUEST, &error.to_string())),
    };
    let reader = match &call.message {
        PeerCall::ReaderBeat(heartbeat) => Some(heartbeat.entry.place.address),
        _ => None,
    };
    node.site_tracker.on_named(call.site, reader);
    if let PeerCall::Run(run) = &mut call.message {
        run.subtract_delay(node.transit_delay(from, run.sent_at));
    }
    let (reply, body) = dispatch(call.message, call.body, &node).await;
    Ok(pack_reply(&node, &reply, body))
}

fn pack_reply<D: PlatformDialect>(
    node: &NodeState<D>,
    reply: &PeerReply,
    body: HeldBody,
) -> Response<HeldBody> {
    match pack(node.site_tracker.version(), reply, body) {
        Ok(frame) => Response::new(frame),
        Err(error) => refuse(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

async fn dispatch<D: PlatformDialect>(
    call: PeerCall,
    body: HeldBody,
    node: &Arc<NodeState<D>>,
) -> (PeerReply, HeldBody) {
    let reply = match call {
        PeerCall::Run(run) => {
            node.gateway.release_body_reservation(&run.request);
            let route = run.route.clone();
            let (reply, body) = node.gateway.run(node, run, body).await;
            let hint = node.gateway.admission_hint(node, &route);
            let load = node.gateway.target_load();
            let costs = node.call_costs_to_report(&reply);
            return (PeerReply::Run(reply, load, hint, costs), body);
        }
        PeerCall::Room(call) => {
            let reserved = node.gateway.reserve_body(node, &call);
            PeerReply::Room(reserved, node.gateway.target_load())
        }
        PeerCall::Bar(request, sent_ago) => {
            let cancelled = node.gateway.cancel_before_start(&request);
            PeerReply::Barred(cancelled && node.has_run_for(sent_ago + MAX_CANCEL_TRANSIT))
        }
        PeerCall::Entry(entry) => {
            node.store_entry(entry);
            PeerReply::Done
        }
        PeerCall::PullEntry => PeerReply::Entry(Box::new(node.own_entry())),
        PeerCall::Resign(service, epoch) => {
            PeerReply::Resigned(cell_calls::accept_coordinator_role(node, &service, epoch).await)
        }
        PeerCall::ReaderBeat(heartbeat) => {
            node.handle_reader_heartbeat(&heartbeat);
            PeerReply::Done
        }
        PeerCall::ReaderNews(updates) => {
            node.apply_reader_updates(updates);
            PeerReply::Done
        }
        PeerCall::PullSite(request) => {
            let (reply, body) = serve_site(node, &request);
            return (PeerReply::Site(reply), body.into());
        }
        PeerCall::PullEntries => PeerReply::Entries(node.known_entries()),
        PeerCall::Crashes(report) => {
            let monitor = &node.crash_monitor;
            PeerReply::Crashes(monitor.exchange(&report), monitor.knows_earlier_crashes())
        }
        PeerCall::Evacuations(domain, set) => {
            node.apply_peer_evacuations(&set, &domain);
            PeerReply::Done
        }
        PeerCall::Departures(router, departures) => {
            let mut kept = node.kept_departures();
            kept.keep(&router, &departures, boot_clock::now());
            PeerReply::Done
        }
        PeerCall::PullDepartures(router) => {
            let kept = node.kept_departures();
            PeerReply::Departures(kept.of_router(&router, boot_clock::now()))
        }
        PeerCall::PullEvacuations => PeerReply::Evacuations(node.evacuation_set()),
        call => cell_calls::handle_call(node, call),
    };
    (reply, HeldBody::default())
}

/// Logs the error of a call and returns an empty response with the status.
fn refuse(status: StatusCode, error: &str) -> Response<HeldBody> {
    log::warn!("cannot reply to a router's call: {error}");
    let mut response = Response::new(HeldBody::default());
    *response.status_mut() = status;
    response
}
