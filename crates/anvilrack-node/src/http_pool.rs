//! Kept HTTP/1.1 connections to one server, one request at a time on each.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderValue};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use crate::socket_options;

/// Longest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;

/// Idle time after which a kept connection is not used again, unless the server says less.
///
/// Well below the idle times that servers usually have.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// Time taken off the idle time that a server states, for the way there.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Idle time after which a request that must not run twice takes a new connection.
///
/// A server may close an idle connection just as a request is sent on it.
const FRESH_LIMIT: Duration = Duration::from_millis(700);

/// Connections to one server.
#[derive(Clone, Debug)]
pub struct HttpPool {
    address: SocketAddr,
    connect_limit: Duration,
    idle: Arc<Mutex<Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
    until: Instant,
}

/// Whether a connection that has been idle will do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAge {
    /// Any that is open.
    Any,
    /// One that was used a moment ago, or a new one.
    Fresh,
}

/// A request without an answer.
#[derive(Debug, Error)]
pub enum SendFault {
    /// The server cannot be reached; nothing was sent.
    #[error("no connection to {0}: {1}")]
    NoConnection(SocketAddr, std::io::Error),
    /// There was no connection in time; nothing was sent.
    #[error("no connection to {0} in time")]
    ConnectTimeout(SocketAddr),
    /// It was not sent.
    #[error("connection closed before the request was sent")]
    NotSent,
    /// It was sent, and the connection broke or the answer is not whole.
    #[error("connection broke after the request was sent: {0}")]
    Broken(Arc<str>),
    /// It was sent, and there was no answer in time.
    #[error("no answer in time")]
    Timeout,
}

impl SendFault {
    /// True where the server cannot have seen the request.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::NoConnection(..) | Self::ConnectTimeout(_) | Self::NotSent
        )
    }
}

impl HttpPool {
    /// You give the server's address and the longest time for a new connection.
    #[must_use]
    pub fn new(address: SocketAddr, connect_limit: Duration) -> Self {
        Self {
            address,
            connect_limit,
            idle: Arc::default(),
        }
    }

    /// The server's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads the whole answer.
    ///
    /// Dropping the future closes the connection, which tells the server that nobody waits.
    ///
    /// # Errors
    ///
    /// [`SendFault`], which says whether the server may have seen the request.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        age: ConnectionAge,
        limit: Duration,
    ) -> Result<Response<Bytes>, SendFault> {
        let until = Instant::now() + limit;
        let mut request = request;
        if !request.headers().contains_key(HOST)
            && let Ok(host) = HeaderValue::from_str(&self.address.to_string())
        {
            request.headers_mut().insert(HOST, host);
        }
        loop {
            let (mut sender, kept) = match self.take_idle(age) {
                Some(sender) => (sender, true),
                None => (self.connect(until).await?, false),
            };
            let answer = match timeout_at(until, sender.try_send_request(request)).await {
                Err(_) => return Err(SendFault::Timeout),
                Ok(Ok(answer)) => answer,
                Ok(Err(mut error)) => match error.take_message() {
                    // The kept connection was closed before the request was written to it.
                    Some(unsent) if kept => {
                        request = unsent;
                        continue;
                    }
                    Some(_) => return Err(SendFault::NotSent),
                    None => return Err(broken(&error.into_error())),
                },
            };
            return self.read_answer(answer, sender, until).await;
        }
    }

    async fn read_answer(
        &self,
        answer: Response<hyper::body::Incoming>,
        sender: SendRequest<Full<Bytes>>,
        until: Instant,
    ) -> Result<Response<Bytes>, SendFault> {
        let (parts, body) = answer.into_parts();
        let body = match timeout_at(until, Limited::new(body, ANSWER_LIMIT).collect()).await {
            Err(_) => return Err(SendFault::Timeout),
            Ok(Err(error)) => return Err(SendFault::Broken(error.to_string().into())),
            Ok(Ok(body)) => body.to_bytes(),
        };
        self.keep(sender, &parts.headers);
        Ok(Response::from_parts(parts, body))
    }

    /// Closes the connections that are idle.
    pub fn clear(&self) {
        self.idle_connections().clear();
    }

    fn keep(&self, sender: SendRequest<Full<Bytes>>, headers: &HeaderMap) {
        let now = Instant::now();
        if sender.is_closed() || says_close(headers) {
            return;
        }
        let stated = stated_idle_time(headers).map(|time| time.saturating_sub(IDLE_MARGIN));
        let until = now + stated.map_or(IDLE_LIMIT, |time| time.min(IDLE_LIMIT));
        self.idle_connections().push(IdleConnection {
            sender,
            since: now,
            until,
        });
    }

    fn take_idle(&self, age: ConnectionAge) -> Option<SendRequest<Full<Bytes>>> {
        let now = Instant::now();
        let mut idle = self.idle_connections();
        idle.retain(|connection| connection.until > now && !connection.sender.is_closed());
        let newest = idle.last()?;
        let fresh = now.duration_since(newest.since) < FRESH_LIMIT;
        if age == ConnectionAge::Fresh && !fresh {
            return None;
        }
        idle.pop().map(|connection| connection.sender)
    }

    async fn connect(&self, until: Instant) -> Result<SendRequest<Full<Bytes>>, SendFault> {
        let until = until.min(Instant::now() + self.connect_limit);
        let stream = timeout_at(until, TcpStream::connect(self.address))
            .await
            .map_err(|_| SendFault::ConnectTimeout(self.address))?
            .map_err(|error| SendFault::NoConnection(self.address, error))?;
        socket_options::set(&stream);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| SendFault::NotSent)?;
        // How it ended shows at the request that was on it.
        tokio::spawn(async move { connection.await.ok() });
        Ok(sender)
    }

    fn idle_connections(&self) -> std::sync::MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// True where an end of the connection follows the message.
fn says_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut words = values.filter_map(|value| value.to_str().ok());
    words.any(|words| {
        words
            .split(',')
            .any(|w| w.trim().eq_ignore_ascii_case("close"))
    })
}

/// How long the server keeps the connection idle, from its `Keep-Alive` header.
fn stated_idle_time(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|word| word.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

fn broken(error: &hyper::Error) -> SendFault {
    SendFault::Broken(error.to_string().into())
}

/// Waits for `work`, for `limit` at most.
pub async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    timeout(limit, work).await.ok()
}
