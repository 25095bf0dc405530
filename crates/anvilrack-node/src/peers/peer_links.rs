//! Calls to other routers over kept HTTP/2 connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http2::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::peers::{FrameFault, PeerCall, PeerReply, pack, unpack};
use crate::socket_options;
use crate::state_lock::lock;

/// Longest time for a new connection.
///
/// A VM's own link may be slow: at 10 Mbit/s a few uploads keep packets waiting for half a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(600);

/// Pause between two tries to reach a router that could not be reached.
const REOPEN_PAUSE: Duration = Duration::from_millis(100);

/// A router that nobody has called for so long is not tried again until somebody does.
const REOPEN_LIMIT: Duration = Duration::from_secs(2);

/// Time between two pings while an answer is awaited.
const PING_EVERY: Duration = Duration::from_millis(250);

/// A ping without an answer for this long means that the link went silent.
///
/// All calls on the link are lost with it, so packets that only wait on a full link must not look so.
const PING_LIMIT: Duration = Duration::from_millis(900);

/// Longest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 96 * 1024 * 1024;

/// HTTP/2 window for one stream and for one connection, in bytes.
const WINDOW_BYTES: u32 = 1024 * 1024;

/// A call without an answer.
#[derive(Debug, Error)]
pub enum PeerFault {
    /// The router cannot be reached; nothing was sent.
    #[error("no connection to {0}")]
    Unreachable(SocketAddr),
    /// The connection ended before the call was sent.
    #[error("call was not sent")]
    NotSent,
    /// The link broke or went silent after the call was sent.
    #[error("link lost: {0}")]
    Lost(Arc<str>),
    /// There was no answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The message or the answer cannot be coded.
    #[error(transparent)]
    Frame(#[from] FrameFault),
}

impl PeerFault {
    /// True where the other router cannot have seen the call.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Unreachable(_) | Self::NotSent)
    }
}

type PeerSender = SendRequest<Full<Bytes>>;

/// Links to other routers, opened when they are first needed.
///
/// Calls to a router wait together for its link. Once it could not be reached, calls fail at once
/// while it is tried again beside them: a caller whose request has nowhere to go is told so, and
/// does not spend its time on a connection.
#[derive(Clone, Debug, Default)]
pub struct PeerLinks {
    links: Arc<Mutex<HashMap<SocketAddr, Arc<PeerLink>>>>,
}

#[derive(Debug)]
struct PeerLink {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    asked_at: Mutex<Instant>,
}

#[derive(Clone, Debug)]
enum LinkState {
    Idle,
    /// Being opened; calls wait for it.
    Opening,
    Open(PeerSender),
    /// Could not be opened, and is tried again.
    Failing,
}

impl PeerLinks {
    /// Calls a router and returns its answer with the body that follows it.
    ///
    /// Dropping the future resets the stream, so the other router drops the work.
    ///
    /// # Errors
    ///
    /// [`PeerFault`], which says whether the call may have been seen.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &PeerCall,
        body: &[u8],
        limit: Duration,
    ) -> Result<(PeerReply, Bytes), PeerFault> {
        let until = Instant::now() + limit;
        let mut frame = pack(call, body)?;
        for is_last in [false, true] {
            let mut sender = self.sender(address, until).await?;
            let request = Request::post(format!("http://{address}/"))
                .body(Full::new(frame))
                .map_err(|_| PeerFault::NotSent)?;
            let answer = match timeout_at(until, sender.try_send_request(request)).await {
                Err(_) => return Err(PeerFault::Timeout),
                Ok(Ok(answer)) => answer,
                Ok(Err(mut error)) => match error.take_message() {
                    // The kept link had ended; a new one is opened once.
                    Some(unsent) if !is_last => {
                        frame = collect(unsent).await;
                        continue;
                    }
                    Some(_) => return Err(PeerFault::NotSent),
                    None => return Err(PeerFault::Lost(error.error().to_string().into())),
                },
            };
            return read_answer(answer, until).await;
        }
        Err(PeerFault::NotSent)
    }

    /// Calls many routers side by side; the answers come in the order of the addresses.
    pub async fn call_all(
        &self,
        addresses: Vec<SocketAddr>,
        call: &PeerCall,
        limit: Duration,
    ) -> Vec<Result<PeerReply, PeerFault>> {
        let tasks: Vec<_> = addresses
            .into_iter()
            .map(|address| {
                let (links, call) = (self.clone(), call.clone());
                tokio::spawn(async move { links.call(address, &call, &[], limit).await })
            })
            .collect();
        let mut answers = Vec::with_capacity(tasks.len());
        for task in tasks {
            let answer = task.await.unwrap_or(Err(PeerFault::NotSent));
            answers.push(answer.map(|(reply, _)| reply));
        }
        answers
    }

    fn link(&self, address: SocketAddr) -> Arc<PeerLink> {
        let mut links = lock(&self.links);
        let link = links.entry(address);
        link.or_insert_with(|| Arc::new(PeerLink::new(address)))
            .clone()
    }

    async fn sender(&self, address: SocketAddr, until: Instant) -> Result<PeerSender, PeerFault> {
        let link = self.link(address);
        *lock(&link.asked_at) = Instant::now();
        let mut state = link.state.subscribe();
        loop {
            if link.begin_opening() {
                tokio::spawn(link.clone().open());
            }
            match &*state.borrow_and_update() {
                LinkState::Open(sender) if !sender.is_closed() => return Ok(sender.clone()),
                LinkState::Failing => return Err(PeerFault::Unreachable(address)),
                _ => {}
            }
            // The sender lives as long as the link does.
            if !matches!(timeout_at(until, state.changed()).await, Ok(Ok(()))) {
                return Err(PeerFault::Unreachable(address));
            }
        }
    }
}

impl PeerLink {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            state: watch::Sender::new(LinkState::Idle),
            asked_at: Mutex::new(Instant::now()),
        }
    }

    /// Claims the opening of a link that has none or whose connection has ended.
    fn begin_opening(&self) -> bool {
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

    /// Tries until the router is reached or nobody asks for it any more.
    async fn open(self: Arc<Self>) {
        loop {
            if let Ok(Some(sender)) = timeout(CONNECT_LIMIT, connect(self.address)).await {
                self.state.send_replace(LinkState::Open(sender));
                return;
            }
            if lock(&self.asked_at).elapsed() >= REOPEN_LIMIT {
                self.state.send_replace(LinkState::Idle);
                return;
            }
            self.state.send_replace(LinkState::Failing);
            sleep(REOPEN_PAUSE).await;
        }
    }
}

async fn connect(address: SocketAddr) -> Option<PeerSender> {
    let stream = TcpStream::connect(address).await.ok()?;
    socket_options::set(&stream);
    let (sender, connection) = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_EVERY)
        .keep_alive_timeout(PING_LIMIT)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_send_buf_size(WINDOW_BYTES as usize)
        .handshake(TokioIo::new(stream))
        .await
        .ok()?;
    // How it ended shows at the calls that were on it.
    tokio::spawn(async move { connection.await.ok() });
    Some(sender)
}

async fn collect(request: Request<Full<Bytes>>) -> Bytes {
    match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(never) => match never {},
    }
}

async fn read_answer(
    answer: hyper::Response<hyper::body::Incoming>,
    until: Instant,
) -> Result<(PeerReply, Bytes), PeerFault> {
    let status = answer.status();
    let body = Limited::new(answer.into_body(), ANSWER_LIMIT).collect();
    let body = match timeout_at(until, body).await {
        Err(_) => return Err(PeerFault::Timeout),
        Ok(Err(error)) => return Err(PeerFault::Lost(error.to_string().into())),
        Ok(Ok(body)) => body.to_bytes(),
    };
    if status != StatusCode::OK {
        return Err(PeerFault::Lost(format!("status {status}").into()));
    }
    Ok(unpack(body)?)
}
