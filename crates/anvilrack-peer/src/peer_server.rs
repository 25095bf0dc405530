//! The server for calls from other routers.

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{HoldPurpose, RefusalReason, RequestVerdict};
use anvilrack_limits::{ConnectionGate, GatedConnection, MemoryHold, MemoryPool};
use anvilrack_wire::{PeerReply, PeerRequest, decode, encode};
use bytes::Bytes;
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::body_stream::{BodyError, LINK_WINDOW, REQUEST_PATH, STREAM_WINDOW, read_body};

/// Maximum number of concurrent streams, and so of calls, on one link.
const MAX_STREAMS: u32 = 1_024;

/// `Retry-After` time of a request for which there is no memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Default limits on the memory of requests, in bytes, and on open links.
const DEFAULT_MEMORY_BYTES: usize = 128 * 1024 * 1024;
const DEFAULT_LINKS: usize = 1_024;

/// Delay before accepting again after an accept error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time within which the first call of a new link has to arrive.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles the requests of peers.
///
/// `serve` must not block: longer work must be passed to another thread together with the sender.
pub trait PeerService: Send + Sync + 'static {
    /// Handles a request; the reply may be sent through `reply` later and from any thread.
    fn serve(&self, request: PeerRequest, reply: ReplySender);
}

/// Sends the reply to one request.
#[derive(Debug)]
pub struct ReplySender {
    sender: oneshot::Sender<PeerReply>,
    /// Memory of the request; it is released with the sender.
    _hold: Arc<MemoryHold>,
}

impl ReplySender {
    /// Sends the reply, or drops it if the peer has abandoned the call.
    pub fn send(self, reply: PeerReply) {
        let _ = self.sender.send(reply);
    }

    /// Returns whether the peer has abandoned the call.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Limits on what other routers may use.
#[derive(Clone, Debug)]
pub struct PeerLimits {
    /// Memory in which requests are held.
    pub memory: MemoryPool,
    /// Bounds the open links.
    pub gate: Arc<ConnectionGate>,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            memory: MemoryPool::new(DEFAULT_MEMORY_BYTES),
            gate: ConnectionGate::new(DEFAULT_LINKS),
        }
    }
}

/// Listens for links from other routers.
pub struct PeerServer {
    listener: JoinHandle<()>,
}

impl PeerServer {
    /// Listens on `address` and passes each request to `service`, which holds it in `memory` until its reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start<S: PeerService>(
        runtime: &Handle,
        address: SocketAddr,
        service: Arc<S>,
        limits: PeerLimits,
    ) -> io::Result<Self> {
        let listener = runtime.block_on(TcpListener::bind(address))?;
        let listener = runtime.spawn(accept_links(listener, service, limits));
        Ok(Self { listener })
    }

    /// Stops accepting new links. Open links stay open until the process ends.
    pub fn close(self) {
        self.listener.abort();
    }
}

async fn accept_links<S: PeerService>(listener: TcpListener, service: Arc<S>, limits: PeerLimits) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                if let Some(gated) = limits.gate.open() {
                    let (service, memory) = (service.clone(), limits.memory.clone());
                    tokio::spawn(serve_link(stream, peer, gated, service, memory));
                }
            }
            Err(error) => {
                log::warn!("cannot accept a link: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_link<S: PeerService>(
    stream: TcpStream,
    peer: SocketAddr,
    gated: GatedConnection,
    service: Arc<S>,
    memory: MemoryPool,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(LINK_WINDOW)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake::<_, Bytes>(stream);
    let handshake = tokio::select! {
        handshake = timeout(FIRST_CALL_TIMEOUT, handshake) => handshake,
        () = gated.closing() => return,
    };
    let Ok(Ok(mut link)) = handshake else {
        return;
    };
    let mut first_call = Some(Instant::now() + FIRST_CALL_TIMEOUT);
    loop {
        let unused = async {
            match first_call {
                Some(until) => sleep_until(until).await,
                None => pending().await,
            }
        };
        let stream = tokio::select! {
            stream = link.accept() => stream,
            () = gated.closing() => return,
            () = unused => return,
        };
        let Some(Ok((request, respond))) = stream else {
            break;
        };
        if first_call.take().is_some() {
            gated.set_busy();
        }
        // Routers' own messages go before the requests of callers.
        let purpose = if request.uri().path() == REQUEST_PATH {
            HoldPurpose::Receiving
        } else {
            HoldPurpose::Responding
        };
        let (hold, service) = (memory.hold(purpose), service.clone());
        tokio::spawn(async move {
            if let Err(error) = serve_stream(request, respond, hold, service).await {
                log::debug!("stream from {peer} failed: {error}");
            }
        });
    }
}

async fn serve_stream<S: PeerService>(
    request: Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    hold: Arc<MemoryHold>,
    service: Arc<S>,
) -> Result<(), h2::Error> {
    let body = match read_body(&mut request.into_body(), &hold, || ()).await {
        Ok(body) => body,
        Err(BodyError::Stream(error)) => return Err(error),
        Err(BodyError::Memory(error)) => {
            log::debug!("a request was refused: {error}");
            return send_reply(&mut respond, &PeerReply::Forwarded(no_memory().into()));
        }
        Err(error @ (BodyError::Stalled | BodyError::TooLong)) => {
            log::debug!("a request was not received: {error}");
            return send_status(&mut respond, StatusCode::BAD_REQUEST);
        }
    };
    hold.set_purpose(HoldPurpose::Forwarding);
    let Ok(message) = decode::<PeerRequest>(&body) else {
        return send_status(&mut respond, StatusCode::BAD_REQUEST);
    };
    drop(body);
    let (sender, receiver) = oneshot::channel();
    let reply = ReplySender {
        sender,
        _hold: hold,
    };
    service.serve(message, reply);
    let reply = tokio::select! {
        reply = receiver => reply.ok(),
        reset = std::future::poll_fn(|context| respond.poll_reset(context)) => {
            reset?;
            None
        }
    };
    match reply {
        Some(reply) => send_reply(&mut respond, &reply),
        None => send_status(&mut respond, StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// The verdict on a request for whose body there is no memory.
fn no_memory() -> RequestVerdict {
    RequestVerdict::NotRun(RefusalReason::NoMemory, MEMORY_RETRY_AFTER)
}

fn send_reply(respond: &mut SendResponse<Bytes>, reply: &PeerReply) -> Result<(), h2::Error> {
    let Ok(bytes) = encode(reply) else {
        return send_status(respond, StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut stream = respond.send_response(Response::new(()), false)?;
    stream.send_data(bytes.into(), true)
}

fn send_status(respond: &mut SendResponse<Bytes>, status: StatusCode) -> Result<(), h2::Error> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    respond.send_response(response, true)?;
    Ok(())
}
