//! Pool of HTTP/1.1 connections to one server; each connection carries one request at a time.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anvilrack_core::HoldPurpose;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderValue};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::body_collector::{BodyDeadline, BodyError, collect_body};
use crate::held_body::HeldBody;
use crate::{RequestId, socket_options};
use anvilrack_limits::MemoryPool;

/// Maximum size of all response bodies that are received from a server at the same time, if the pool has no memory in
/// common with others.
///
/// A server may send without end on each of its connections.
const MAX_RECEIVED_BYTES: usize = 24 * 1024 * 1024;

/// Idle time after which the kernel probes whether the other end of a connection is still there.
///
/// A watch of the store waits for a response without any traffic.
const IDLE_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Idle time after which a pooled connection is not reused, unless the server states a shorter one.
///
/// It is well below the usual idle timeouts of servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time subtracted from the idle timeout that a server states, to allow for network latency.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Idle time after which a pooled connection is not used for a request that must not run twice.
///
/// A server may close an idle connection just as a request is sent on it.
const MAX_FRESH_IDLE: Duration = Duration::from_millis(700);

/// Number of refused requests after which a connection is closed.
const MAX_REFUSED_REQUESTS: usize = 32;

/// Number of checks whether a server that broke a connection has exited.
const EXIT_CHECKS: usize = 3;

/// Time between two such checks.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A pool of connections to one server.
#[derive(Clone, Debug)]
pub struct HttpPool {
    address: SocketAddr,
    connect_timeout: Duration,
    stall_timeout: Option<Duration>,
    memory: MemoryPool,
    idle: Arc<Mutex<Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<HeldBody>,
    /// Requests that the server refused on this connection.
    ///
    /// A second copy of a refusal may still arrive, and would answer the same request when it is sent again.
    refused: Vec<RequestId>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    expires_at: Instant,
}

/// Which pooled connections may be used for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAge {
    /// Any open connection.
    Any,
    /// A connection that was used recently, or a new one.
    Fresh,
    /// A new connection, which is closed after the response.
    New,
}

/// The reason why a request got no response.
#[derive(Debug, Error)]
pub enum SendError {
    /// The connection could not be opened; nothing was sent.
    #[error("cannot connect to {0}: {1}")]
    NoConnection(SocketAddr, std::io::Error),
    /// Connecting timed out; nothing was sent.
    #[error("connecting to {0} timed out")]
    ConnectTimeout(SocketAddr),
    /// The connection closed before the request was sent.
    #[error("connection closed before the request was sent")]
    NotSent,
    /// The request was sent, but the connection broke or the response is incomplete.
    #[error("connection broke after the request was sent: {0}")]
    Broken(Arc<str>),
    /// The response did not arrive in time; the request may have been sent.
    #[error("timed out waiting for the response")]
    Timeout,
}

impl SendError {
    /// Returns true if no process listens at the server's address any more.
    ///
    /// A failure on this side, such as a lack of descriptors, says nothing about the server.
    #[must_use]
    pub fn shows_exit(&self) -> bool {
        let Self::NoConnection(_, error) = self else {
            return false;
        };
        error.kind() == ErrorKind::ConnectionRefused
    }

    /// Returns true if the server cannot have received the request.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::NoConnection(..) | Self::ConnectTimeout(_) | Self::NotSent
        )
    }
}

impl HttpPool {
    /// Creates an empty pool for the server at `address` with a timeout for new connections.
    #[must_use]
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            address,
            connect_timeout,
            stall_timeout: None,
            memory: MemoryPool::new(MAX_RECEIVED_BYTES),
            idle: Arc::default(),
        }
    }

    /// Lets a response whose body is being received exceed its time limit, until no part of it arrives
    /// for this long.
    #[must_use]
    pub fn with_stall_timeout(self, stall_timeout: Duration) -> Self {
        Self {
            stall_timeout: Some(stall_timeout),
            ..self
        }
    }

    /// Receives responses in memory that is shared with others.
    #[must_use]
    pub fn with_memory(self, memory: MemoryPool) -> Self {
        Self { memory, ..self }
    }

    /// Returns the server's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads the complete response.
    ///
    /// Dropping the future closes the connection, so that the server can cancel the request.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] if there is no complete response within `limit`.
    /// [`SendError::is_unsent`] returns whether the server cannot have received the request.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        age: ConnectionAge,
        limit: Duration,
    ) -> Result<Response<Bytes>, SendError> {
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await;
        let request = Request::from_parts(parts, body.to_bytes().into());
        let exchange = self.exchange(request, age, limit, None, |_| false);
        Ok(exchange.await?.map(HeldBody::into_bytes))
    }

    /// Like [`Self::send`], for a request that may be sent again under the same `id` if the server refuses it.
    ///
    /// It is not sent on a connection on which the server has refused it, according to `is_refusal`, because
    /// the id alone does not tell a second copy of that refusal from a response to the repeated request.
    ///
    /// # Errors
    ///
    /// As [`Self::send`].
    pub async fn send_repeatable(
        &self,
        request: Request<HeldBody>,
        id: &RequestId,
        age: ConnectionAge,
        limit: Duration,
        is_refusal: impl Fn(&Response<HeldBody>) -> bool,
    ) -> Result<Response<HeldBody>, SendError> {
        self.exchange(request, age, limit, Some(id), is_refusal)
            .await
    }

    async fn exchange(
        &self,
        request: Request<HeldBody>,
        age: ConnectionAge,
        limit: Duration,
        id: Option<&RequestId>,
        is_refusal: impl Fn(&Response<HeldBody>) -> bool,
    ) -> Result<Response<HeldBody>, SendError> {
        let deadline = Instant::now() + limit;
        let mut request = request;
        if !request.headers().contains_key(HOST)
            && let Ok(host) = HeaderValue::from_str(&self.address.to_string())
        {
            request.headers_mut().insert(HOST, host);
        }
        loop {
            let (mut connection, reused) = match self.take_idle(age, id) {
                Some(connection) => (connection, true),
                None => (self.connect(deadline).await?, false),
            };
            let sent = connection.sender.try_send_request(request);
            let response = match timeout_at(deadline, sent).await {
                Err(_) => return Err(SendError::Timeout),
                Ok(Ok(response)) => response,
                Ok(Err(mut error)) => match error.take_message() {
                    // The pooled connection was closed before the request was written to it.
                    Some(unsent) if reused => {
                        request = unsent;
                        continue;
                    }
                    Some(_) => return Err(SendError::NotSent),
                    None => return Err(broken_connection(&error.into_error())),
                },
            };
            let response = self.read_response(response, deadline).await?;
            if let Some(id) = id.filter(|_| is_refusal(&response)) {
                connection.refused.push(id.clone());
            }
            if age != ConnectionAge::New {
                self.put_idle(connection, response.headers());
            }
            return Ok(response);
        }
    }

    async fn read_response(
        &self,
        response: Response<hyper::body::Incoming>,
        deadline: Instant,
    ) -> Result<Response<HeldBody>, SendError> {
        let (parts, mut body) = response.into_parts();
        let deadline = BodyDeadline {
            at: deadline,
            stall: self.stall_timeout,
        };
        let hold = self.memory.hold(HoldPurpose::Responding);
        let body = match collect_body(&mut body, hold, u64::MAX, deadline, || ()).await {
            Ok(body) => body,
            Err(BodyError::Timeout) => return Err(SendError::Timeout),
            Err(error) => return Err(SendError::Broken(error.to_string().into())),
        };
        Ok(Response::from_parts(parts, body))
    }

    /// Returns whether the server has exited, so that its address refuses connections.
    ///
    /// An exiting process closes its sockets one after the other, so its listener may outlive the
    /// connection that broke for a moment.
    pub async fn has_exited(&self) -> bool {
        for _ in 0..EXIT_CHECKS {
            match self.connect(Instant::now() + self.connect_timeout).await {
                Err(error) => return error.shows_exit(),
                Ok(connection) => {
                    sleep(EXIT_CHECK_INTERVAL).await;
                    if !connection.sender.is_closed() {
                        self.put_idle(connection, &HeaderMap::new());
                        return false;
                    }
                }
            }
        }
        false
    }

    /// Closes the idle connections.
    pub fn clear(&self) {
        self.idle_connections().clear();
    }

    fn put_idle(&self, connection: Connection, headers: &HeaderMap) {
        let now = Instant::now();
        let has_many_refusals = connection.refused.len() >= MAX_REFUSED_REQUESTS;
        if has_many_refusals || connection.sender.is_closed() || has_connection_close(headers) {
            return;
        }
        let stated = stated_idle_timeout(headers).map(|time| time.saturating_sub(IDLE_MARGIN));
        let expires_at = now + stated.map_or(IDLE_TIMEOUT, |time| time.min(IDLE_TIMEOUT));
        self.idle_connections().push(IdleConnection {
            connection,
            idle_since: now,
            expires_at,
        });
    }

    /// Takes the newest idle connection of the given age on which the request has not been refused.
    fn take_idle(&self, age: ConnectionAge, id: Option<&RequestId>) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle_connections();
        idle.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        let newest = idle.iter().rposition(|idle| {
            let refused = &idle.connection.refused;
            !id.is_some_and(|id| refused.contains(id))
        })?;
        let fresh = now.duration_since(idle[newest].idle_since) < MAX_FRESH_IDLE;
        let usable = match age {
            ConnectionAge::Any => true,
            ConnectionAge::Fresh => fresh,
            ConnectionAge::New => false,
        };
        usable.then(|| idle.remove(newest).connection)
    }

    async fn connect(&self, deadline: Instant) -> Result<Connection, SendError> {
        let deadline = deadline.min(Instant::now() + self.connect_timeout);
        let stream = timeout_at(deadline, TcpStream::connect(self.address))
            .await
            .map_err(|_| SendError::ConnectTimeout(self.address))?
            .map_err(|error| SendError::NoConnection(self.address, error))?;
        socket_options::set(&stream, IDLE_PROBE_INTERVAL);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| SendError::NotSent)?;
        // The request on the connection reports its errors.
        tokio::spawn(async move { connection.await.ok() });
        Ok(Connection {
            sender,
            refused: Vec::new(),
        })
    }

    fn idle_connections(&self) -> std::sync::MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns true if the connection is closed after the message.
fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut options = values.filter_map(|value| value.to_str().ok());
    options.any(|options| {
        options
            .split(',')
            .any(|option| option.trim().eq_ignore_ascii_case("close"))
    })
}

/// Returns the server's idle timeout from the `Keep-Alive` header.
fn stated_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

fn broken_connection(error: &hyper::Error) -> SendError {
    SendError::Broken(error.to_string().into())
}

/// Runs a future for at most `limit`; returns `None` on a timeout.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    timeout(limit, future).await.ok()
}
