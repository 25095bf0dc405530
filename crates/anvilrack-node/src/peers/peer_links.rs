//! Calls to other routers over persistent HTTP/2 connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anvilrack_core::HoldPurpose;
use bytes::Bytes;
use hyper::client::conn::http2::{self, SendRequest};
use hyper::header::HeaderValue;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::body_collector::{BodyDeadline, BodyError, collect_body};
use crate::directory::SiteTracker;
use crate::held_body::HeldBody;
use crate::mutex_lock::lock;
use crate::peers::{
    FrameError, PeerCall, PeerFrame, PeerReply, PeerTraffic, RESERVATION_HEADER, RUN_PATH, pack,
    unpack,
};
use crate::{RequestId, socket_options};
use anvilrack_limits::MemoryPool;

/// Timeout of opening a connection.
///
/// A VM's own link may be slow: at 10 Mbit/s a few uploads delay other packets by half a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Pause between two attempts to connect to a router that could not be reached.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Reconnecting stops once a router has not been called for this long, and resumes with the next call.
const RECONNECT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between two pings while a reply is awaited.
const PING_INTERVAL: Duration = Duration::from_millis(250);

/// Idle time after which the kernel probes whether the other end of a link is still there.
const IDLE_PROBE_INTERVAL: Duration = Duration::from_secs(10);

/// A link is closed if a ping is not acknowledged for this long.
///
/// All calls on the link are lost with it, so the timeout must exceed the delay of packets on a
/// saturated link.
const PING_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout for the first bytes of a fetched reply, and for each pause while it is received.
///
/// On a link of 10 Mbit/s, uploads alone delay other packets by half a second.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of all replies that are received at the same time, in bytes, if the memory is not shared with others.
const DEFAULT_REPLY_BYTES: usize = 96 * 1024 * 1024;

/// HTTP/2 flow-control window of each stream and of the connection, and the send buffer size of each
/// stream, in bytes.
const WINDOW_BYTES: u32 = 1024 * 1024;

/// Error of a call to another router.
#[derive(Debug, Error)]
pub enum CallError {
    /// The router cannot be reached; nothing was sent.
    #[error("cannot reach router {0}")]
    Unreachable(SocketAddr),
    /// The connection ended before the call was sent.
    #[error("call was not sent")]
    NotSent,
    /// The link broke or went silent after the call was sent.
    #[error("link lost: {0}")]
    Lost(Arc<str>),
    /// There was no reply within the timeout; the call may have been sent.
    #[error("timed out waiting for a reply")]
    Timeout,
    /// The call cannot be encoded, or the reply cannot be decoded.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

impl CallError {
    /// Returns whether the other router cannot have received the call.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Unreachable(_) | Self::NotSent)
    }
}

type PeerSender = SendRequest<HeldBody>;

/// Links to other routers, opened on the first call.
///
/// Concurrent calls to a router wait for the same connection attempt. Once an attempt has failed, calls
/// fail immediately while reconnecting continues in the background, so that a caller does not spend
/// its time limit on a router that cannot be reached.
#[derive(Clone, Debug)]
pub struct PeerLinks {
    links: Arc<Mutex<HashMap<SocketAddr, Arc<PeerLink>>>>,
    tracker: Arc<SiteTracker>,
    traffic: Arc<PeerTraffic>,
    memory: MemoryPool,
}

impl Default for PeerLinks {
    fn default() -> Self {
        Self::new(Arc::default())
    }
}

#[derive(Debug)]
struct PeerLink {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    /// When a call last needed the link.
    requested_at: Mutex<Instant>,
}

#[derive(Clone, Debug)]
enum LinkState {
    /// Not open; the next call opens it.
    Idle,
    /// Being opened; calls wait for it.
    Opening,
    /// Was opened; the connection may have ended since.
    Open(PeerSender),
    /// Could not be opened and is being retried; calls fail.
    Failing,
}

impl PeerLinks {
    /// Creates links whose calls name the site version of `tracker`, and which record the versions that
    /// replies name.
    #[must_use]
    pub fn new(tracker: Arc<SiteTracker>) -> Self {
        Self {
            links: Arc::default(),
            traffic: Arc::default(),
            memory: MemoryPool::new(DEFAULT_REPLY_BYTES),
            tracker,
        }
    }

    /// Receives replies in memory that is shared with others.
    #[must_use]
    pub fn with_memory(self, memory: MemoryPool) -> Self {
        Self { memory, ..self }
    }

    /// Returns the metrics of the calls on these links, in the Prometheus text format.
    #[must_use]
    pub fn traffic_text(&self) -> String {
        self.traffic.text()
    }

    /// Calls a router and returns its reply with the body that follows it.
    ///
    /// Dropping the future resets the stream, which makes the other router cancel the work.
    ///
    /// # Errors
    ///
    /// [`CallError`] if there is no valid reply within `limit`. [`CallError::is_unsent`] returns whether
    /// it is certain that the other router has not received the call.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &PeerCall,
        limit: Duration,
    ) -> Result<(PeerReply, Bytes), CallError> {
        let deadline = BodyDeadline::new(Instant::now() + limit);
        let (reply, body) = self
            .exchange(address, call, HeldBody::default(), None, deadline)
            .await?;
        Ok((reply, body.into_bytes()))
    }

    /// Calls a router to run a request with a body, for which it may have reserved memory.
    ///
    /// # Errors
    ///
    /// As [`Self::call`].
    pub async fn run(
        &self,
        address: SocketAddr,
        call: &PeerCall,
        request: &RequestId,
        body: HeldBody,
        limit: Duration,
    ) -> Result<(PeerReply, HeldBody), CallError> {
        let deadline = BodyDeadline::new(Instant::now() + limit);
        self.exchange(address, call, body, Some(request), deadline)
            .await
    }

    /// Calls a router for a reply of any size, which may take any time as long as it is being received.
    ///
    /// # Errors
    ///
    /// [`CallError`] if there is no valid reply.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        call: &PeerCall,
    ) -> Result<(PeerReply, Bytes), CallError> {
        let deadline = BodyDeadline {
            at: Instant::now() + STALL_TIMEOUT,
            stall: Some(STALL_TIMEOUT),
        };
        let (reply, body) = self
            .exchange(address, call, HeldBody::default(), None, deadline)
            .await?;
        Ok((reply, body.into_bytes()))
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        call: &PeerCall,
        body: HeldBody,
        run: Option<&RequestId>,
        deadline: BodyDeadline,
    ) -> Result<(PeerReply, HeldBody), CallError> {
        let until = deadline.at;
        let path = if run.is_some() { RUN_PATH } else { "/" };
        let mut frame = pack(self.tracker.version(), call, body)?;
        self.traffic.record_call(call, frame.len());
        for is_last in [false, true] {
            let mut sender = self.sender(address, until).await?;
            let mut request = Request::post(format!("http://{address}{path}"))
                .body(frame)
                .map_err(|_| CallError::NotSent)?;
            // An id that is no header value has no reservation.
            let id = run.and_then(|id| HeaderValue::from_str(id).ok());
            if let Some(id) = id {
                request.headers_mut().insert(RESERVATION_HEADER, id);
            }
            let response = match timeout_at(until, sender.try_send_request(request)).await {
                Err(_) => return Err(CallError::Timeout),
                Ok(Ok(response)) => response,
                Ok(Err(mut error)) => match error.take_message() {
                    // The connection had ended before the call; it is reopened once.
                    Some(unsent) if !is_last => {
                        frame = unsent.into_body();
                        continue;
                    }
                    Some(_) => return Err(CallError::NotSent),
                    None => return Err(CallError::Lost(error.error().to_string().into())),
                },
            };
            let (reply, bytes) = read_reply(response, &self.memory, deadline).await?;
            self.traffic.record_reply(call, bytes);
            self.tracker.on_named(reply.site, None);
            return Ok((reply.message, reply.body));
        }
        Err(CallError::NotSent)
    }

    /// Calls several routers concurrently; the replies are in the order of the addresses.
    pub async fn call_all(
        &self,
        addresses: Vec<SocketAddr>,
        call: &PeerCall,
        limit: Duration,
    ) -> Vec<Result<PeerReply, CallError>> {
        let tasks: Vec<_> = addresses
            .into_iter()
            .map(|address| {
                let (links, call) = (self.clone(), call.clone());
                tokio::spawn(async move { links.call(address, &call, limit).await })
            })
            .collect();
        let mut replies = Vec::with_capacity(tasks.len());
        for task in tasks {
            let result = task.await.unwrap_or(Err(CallError::NotSent));
            replies.push(result.map(|(reply, _)| reply));
        }
        replies
    }

    fn link(&self, address: SocketAddr) -> Arc<PeerLink> {
        let mut links = lock(&self.links);
        let link = links.entry(address);
        link.or_insert_with(|| Arc::new(PeerLink::new(address)))
            .clone()
    }

    /// Returns a sender for an open link, which it opens if necessary.
    async fn sender(&self, address: SocketAddr, until: Instant) -> Result<PeerSender, CallError> {
        let link = self.link(address);
        *lock(&link.requested_at) = Instant::now();
        let mut state = link.state.subscribe();
        loop {
            if link.try_begin_opening() {
                tokio::spawn(link.clone().open());
            }
            match &*state.borrow_and_update() {
                LinkState::Open(sender) if !sender.is_closed() => return Ok(sender.clone()),
                LinkState::Failing => return Err(CallError::Unreachable(address)),
                _ => {}
            }
            // The state's sender belongs to the link, so only the time limit can end this wait early.
            if !matches!(timeout_at(until, state.changed()).await, Ok(Ok(()))) {
                return Err(CallError::Unreachable(address));
            }
        }
    }
}

impl PeerLink {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            state: watch::Sender::new(LinkState::Idle),
            requested_at: Mutex::new(Instant::now()),
        }
    }

    /// Changes the state to `Opening` if the link is idle or its connection has ended; returns whether it
    /// did.
    fn try_begin_opening(&self) -> bool {
        self.state.send_if_modified(|state| {
            let open = match state {
                LinkState::Idle => false,
                LinkState::Open(sender) => !sender.is_closed(),
                LinkState::Opening | LinkState::Failing => true,
            };
            if !open {
                *state = LinkState::Opening;
            }
            !open
        })
    }

    /// Retries until the router is reached or no call has needed the link for a while.
    async fn open(self: Arc<Self>) {
        loop {
            if let Ok(Some(sender)) = timeout(CONNECT_TIMEOUT, connect(self.address)).await {
                self.state.send_replace(LinkState::Open(sender));
                return;
            }
            if lock(&self.requested_at).elapsed() >= RECONNECT_IDLE_TIMEOUT {
                self.state.send_replace(LinkState::Idle);
                return;
            }
            self.state.send_replace(LinkState::Failing);
            sleep(RECONNECT_PAUSE).await;
        }
    }
}

async fn connect(address: SocketAddr) -> Option<PeerSender> {
    let stream = TcpStream::connect(address).await.ok()?;
    socket_options::set(&stream, IDLE_PROBE_INTERVAL);
    let (sender, connection) = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_send_buf_size(WINDOW_BYTES as usize)
        .handshake(TokioIo::new(stream))
        .await
        .ok()?;
    // Errors of the connection are reported by the calls on it.
    tokio::spawn(async move { connection.await.ok() });
    Some(sender)
}

/// Reads a reply; returns it and its size in bytes.
async fn read_reply(
    response: hyper::Response<hyper::body::Incoming>,
    memory: &MemoryPool,
    deadline: BodyDeadline,
) -> Result<(PeerFrame<PeerReply>, usize), CallError> {
    let status = response.status();
    let mut body = response.into_body();
    let hold = memory.hold(HoldPurpose::Responding);
    let body = match collect_body(&mut body, hold, u64::MAX, deadline, || ()).await {
        Ok(body) => body,
        Err(BodyError::Timeout) => return Err(CallError::Timeout),
        Err(error) => return Err(CallError::Lost(error.to_string().into())),
    };
    if status != StatusCode::OK {
        return Err(CallError::Lost(format!("status {status}").into()));
    }
    let bytes = body.len();
    Ok((unpack(body)?, bytes))
}
