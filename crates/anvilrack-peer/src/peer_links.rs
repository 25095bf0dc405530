//! The client for calls to other routers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anvilrack_core::HoldPurpose;
use anvilrack_limits::MemoryPool;
use anvilrack_wire::{PeerReply, PeerRequest, decode, encode};
use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::runtime::Handle;

use crate::body_stream::{BodyError, LINK_WINDOW, REQUEST_PATH, STREAM_WINDOW, read_body};
use crate::link_watch::{LinkProgress, watch_link};

/// Timeout for opening a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of open links; beyond it, the least recently used link is dropped.
const MAX_LINKS: usize = 1_024;

/// Maximum size of all replies that are received at the same time, in bytes, if the memory is not shared with others.
const DEFAULT_REPLY_BYTES: usize = 128 * 1024 * 1024;

/// The kind of link that a call uses; each peer has one link of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LinkClass {
    /// Heartbeats, promises and routing tables.
    Control,
    /// Callers' requests and at-most-once records.
    Request,
}

/// Why a call has no reply.
#[derive(Clone, Debug, Error)]
pub enum PeerError {
    /// The call was not sent, or the peer refused the stream without processing it.
    #[error("peer cannot be reached: {0}")]
    NotSent(String),
    /// The call was sent and failed before a valid reply arrived; the peer may have processed it.
    #[error("peer did not reply: {0}")]
    Unanswered(String),
    /// The call was sent and no reply arrived within the timeout.
    #[error("peer did not reply in time")]
    TimedOut,
    /// The call was sent over a link on which neither data nor a ping response arrives.
    #[error("link to the peer is silent: neither data nor a ping response arrives")]
    SilentLink,
}

/// The links of this process to other routers, opened on demand.
///
/// A link with open calls on which nothing is received is discarded, because a device between the
/// peers may have lost the state of the connection. Its calls fail with [`PeerError::SilentLink`],
/// and the next call opens a new link.
pub struct PeerLinks {
    runtime: Handle,
    links: Arc<LinkTable>,
}

struct LinkTable {
    /// Memory in which replies are received.
    memory: MemoryPool,
    open: Mutex<HashMap<(SocketAddr, LinkClass), PeerLink>>,
}

#[derive(Clone)]
struct PeerLink {
    sender: SendRequest<Bytes>,
    progress: Arc<LinkProgress>,
}

impl PeerLinks {
    /// Creates an empty set of links; they run on `runtime`.
    #[must_use]
    pub fn new(runtime: Handle) -> Self {
        Self::with_memory(runtime, MemoryPool::new(DEFAULT_REPLY_BYTES))
    }

    /// Creates an empty set of links; replies are received in `memory`.
    #[must_use]
    pub fn with_memory(runtime: Handle, memory: MemoryPool) -> Self {
        let links = LinkTable {
            memory,
            open: Mutex::default(),
        };
        Self {
            runtime,
            links: Arc::new(links),
        }
    }

    /// Calls a peer and blocks until it replies or `timeout` has passed.
    ///
    /// # Errors
    ///
    /// [`PeerError::NotSent`] if the peer has certainly not processed the call. After any other
    /// error the peer may have processed it.
    pub fn call(
        &self,
        peer: SocketAddr,
        class: LinkClass,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let body = encode(request).map_err(|error| PeerError::NotSent(error.to_string()))?;
        let links = self.links.clone();
        self.runtime
            .block_on(async move { links.call(peer, class, body.into(), timeout).await })
    }
}

impl PeerLinks {
    /// Calls several peers concurrently; returns their replies in the order of `peers`.
    #[must_use]
    pub fn call_all(
        &self,
        peers: &[SocketAddr],
        class: LinkClass,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Vec<Result<PeerReply, PeerError>> {
        let body: Bytes = match encode(request) {
            Ok(body) => body.into(),
            Err(error) => {
                let error = PeerError::NotSent(error.to_string());
                return peers.iter().map(|_| Err(error.clone())).collect();
            }
        };
        let calls: Vec<_> = peers
            .iter()
            .map(|peer| {
                let (links, body, peer) = (self.links.clone(), body.clone(), *peer);
                self.runtime
                    .spawn(async move { links.call(peer, class, body, timeout).await })
            })
            .collect();
        self.runtime.block_on(async {
            let mut replies = Vec::with_capacity(calls.len());
            for call in calls {
                let outcome = call.await;
                let task_failed =
                    |error: tokio::task::JoinError| PeerError::Unanswered(error.to_string());
                replies.push(
                    outcome
                        .map_err(task_failed)
                        .and_then(std::convert::identity),
                );
            }
            replies
        })
    }
}

impl LinkTable {
    async fn call(
        &self,
        peer: SocketAddr,
        class: LinkClass,
        body: Bytes,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let deadline = tokio::time::Instant::now() + timeout;
        let is_reused = self.table().contains_key(&(peer, class));
        let reply = self.attempt_call(peer, class, body.clone(), deadline).await;
        // The peer may have closed a reused link since its last use.
        if is_reused && matches!(reply, Err(PeerError::NotSent(_))) {
            return self.attempt_call(peer, class, body, deadline).await;
        }
        reply
    }

    async fn attempt_call(
        &self,
        peer: SocketAddr,
        class: LinkClass,
        body: Bytes,
        deadline: tokio::time::Instant,
    ) -> Result<PeerReply, PeerError> {
        let connect_by = deadline.min(tokio::time::Instant::now() + CONNECT_TIMEOUT);
        let link = tokio::time::timeout_at(connect_by, self.link(peer, class))
            .await
            .map_err(|_| PeerError::NotSent("the link was not opened in time".to_owned()))?
            .map_err(PeerError::NotSent)?;
        let sent_at_ms = link.progress.now_ms();
        let open_call = link.progress.begin_call();
        let exchange = self.exchange(link.sender.clone(), &link.progress, class, body);
        let reply = tokio::select! {
            // A silent link is closed when it is detected, which also fails the exchange. The
            // silence is polled first so that callers receive it as the cause of the error.
            biased;
            () = link.progress.wait_until_silent() => Err(PeerError::SilentLink),
            reply = tokio::time::timeout_at(deadline, exchange) => {
                reply.unwrap_or(Err(PeerError::TimedOut))
            }
        };
        drop(open_call);
        let is_broken = match &reply {
            Ok(_) => false,
            Err(PeerError::TimedOut) => !link.progress.received_since(sent_at_ms),
            Err(_) => true,
        };
        if is_broken {
            self.discard_link(peer, class, &link);
        }
        reply
    }

    async fn exchange(
        &self,
        sender: SendRequest<Bytes>,
        progress: &LinkProgress,
        class: LinkClass,
        body: Bytes,
    ) -> Result<PeerReply, PeerError> {
        let not_sent = |error: h2::Error| PeerError::NotSent(error.to_string());
        let mut sender = sender.ready().await.map_err(not_sent)?;
        let path = match class {
            LinkClass::Control => "/peer",
            LinkClass::Request => REQUEST_PATH,
        };
        let request = Request::post(path)
            .body(())
            .map_err(|error| PeerError::NotSent(error.to_string()))?;
        let (response, mut stream) = sender.send_request(request, false).map_err(not_sent)?;
        stream.send_data(body, true).map_err(unanswered)?;
        let response = response.await.map_err(unanswered)?;
        progress.on_received();
        let hold = self.memory.hold(HoldPurpose::Responding);
        let body = read_body(&mut response.into_body(), &hold, || progress.on_received()).await;
        let body = body.map_err(|error| match error {
            BodyError::Stream(error) => unanswered(error),
            error => PeerError::Unanswered(error.to_string()),
        })?;
        decode(&body).map_err(|error| PeerError::Unanswered(error.to_string()))
    }

    /// Returns the open link to a peer, or opens one.
    async fn link(&self, peer: SocketAddr, class: LinkClass) -> Result<PeerLink, String> {
        let open = self.table().get(&(peer, class)).cloned();
        if let Some(link) = open {
            return Ok(link);
        }
        let link = open_link(peer).await?;
        let mut table = self.table();
        if table.len() >= MAX_LINKS {
            drop_least_recently_used(&mut table);
        }
        Ok(table.entry((peer, class)).or_insert(link).clone())
    }

    fn discard_link(&self, peer: SocketAddr, class: LinkClass, link: &PeerLink) {
        let mut table = self.table();
        let is_same_link = table
            .get(&(peer, class))
            .is_some_and(|open| Arc::ptr_eq(&open.progress, &link.progress));
        if is_same_link {
            table.remove(&(peer, class));
        }
    }

    fn table(&self) -> std::sync::MutexGuard<'_, HashMap<(SocketAddr, LinkClass), PeerLink>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn drop_least_recently_used(table: &mut HashMap<(SocketAddr, LinkClass), PeerLink>) {
    let oldest = table
        .iter()
        .max_by_key(|(_, link)| link.progress.idle_ms())
        .map(|(key, _)| *key);
    if let Some(key) = oldest {
        table.remove(&key);
    }
}

async fn open_link(peer: SocketAddr) -> Result<PeerLink, String> {
    let stream = TcpStream::connect(peer)
        .await
        .map_err(|error| error.to_string())?;
    stream
        .set_nodelay(true)
        .map_err(|error| error.to_string())?;
    let (sender, mut connection) = h2::client::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(LINK_WINDOW)
        .handshake::<_, Bytes>(stream)
        .await
        .map_err(|error| error.to_string())?;
    let pings = connection.ping_pong();
    let pings = pings.ok_or_else(|| "the link does not support pings".to_owned())?;
    let progress = Arc::new(LinkProgress::new());
    let watched = progress.clone();
    tokio::spawn(async move {
        tokio::select! {
            outcome = connection => log::debug!("link to {peer} ended: {outcome:?}"),
            () = watch_link(pings, watched) => log::debug!("link to {peer} is silent"),
        }
    });
    Ok(PeerLink { sender, progress })
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "passed to `map_err`, which passes the error by value"
)]
fn unanswered(error: h2::Error) -> PeerError {
    if error.reason() == Some(h2::Reason::REFUSED_STREAM) {
        return PeerError::NotSent(error.to_string());
    }
    PeerError::Unanswered(error.to_string())
}
