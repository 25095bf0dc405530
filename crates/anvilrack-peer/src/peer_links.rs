//! Calls to other routers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anvilrack_wire::{PeerReply, PeerRequest, decode, encode};
use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::runtime::Handle;

use crate::body_stream::{LINK_WINDOW, STREAM_WINDOW, read_body};
use crate::link_watch::{LinkProgress, watch_link};

/// Time to open a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Links kept open; the one unused for longest is dropped first.
const LINK_LIMIT: usize = 1_024;

/// Which link a call takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LinkClass {
    /// Heartbeats, promises and tables.
    Control,
    /// Callers' requests.
    Request,
}

/// Why a call has no answer.
#[derive(Clone, Debug, Error)]
pub enum PeerError {
    /// The call never left this process, or the peer says that it did not look at it.
    #[error("peer cannot be reached: {0}")]
    NotSent(String),
    /// The call went out and was not answered.
    #[error("peer did not answer: {0}")]
    Unanswered(String),
    /// The time allowed passed after the call went out.
    #[error("peer did not answer in time")]
    TimedOut,
    /// The call went out over a link on which nothing comes back any more, not even a ping.
    #[error("link to the peer has gone silent")]
    SilentLink,
}

/// The links of this process to other routers, opened on demand.
///
/// A link on which calls are open and nothing at all comes back is given up: something between the
/// ends may have lost track of it. Its calls end with [`PeerError::SilentLink`], and the next call
/// opens a new one.
pub struct PeerLinks {
    runtime: Handle,
    links: Arc<LinkTable>,
}

#[derive(Default)]
struct LinkTable {
    open: Mutex<HashMap<(SocketAddr, LinkClass), PeerLink>>,
}

#[derive(Clone)]
struct PeerLink {
    sender: SendRequest<Bytes>,
    progress: Arc<LinkProgress>,
}

impl PeerLinks {
    /// You give the runtime on which the links live.
    #[must_use]
    pub fn new(runtime: Handle) -> Self {
        Self {
            runtime,
            links: Arc::default(),
        }
    }

    /// Calls a peer and blocks until it answers or `timeout` has passed.
    ///
    /// # Errors
    ///
    /// [`PeerError::NotSent`] is certain: the peer has not seen the call. The others are not.
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
    /// Calls many peers side by side; the answers come in the order of `peers`.
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
            let mut answers = Vec::with_capacity(calls.len());
            for call in calls {
                let ended = call.await;
                let lost = |error: tokio::task::JoinError| PeerError::Unanswered(error.to_string());
                answers.push(ended.map_err(lost).and_then(std::convert::identity));
            }
            answers
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
        let kept = self.table().contains_key(&(peer, class));
        let answer = self.call_once(peer, class, body.clone(), deadline).await;
        // A link that was kept may have been closed by the peer since it was last used.
        if kept && matches!(answer, Err(PeerError::NotSent(_))) {
            return self.call_once(peer, class, body, deadline).await;
        }
        answer
    }

    async fn call_once(
        &self,
        peer: SocketAddr,
        class: LinkClass,
        body: Bytes,
        deadline: tokio::time::Instant,
    ) -> Result<PeerReply, PeerError> {
        let connect_by = deadline.min(tokio::time::Instant::now() + CONNECT_TIMEOUT);
        let link = tokio::time::timeout_at(connect_by, self.link(peer, class))
            .await
            .map_err(|_| PeerError::NotSent("no link in time".to_owned()))?
            .map_err(PeerError::NotSent)?;
        let sent_at_ms = link.progress.now_ms();
        let open_call = link.progress.begin_call();
        let exchange = exchange(link.sender.clone(), &link.progress, body);
        // Silence is looked at first: the streams of a silent link break in the same moment.
        let answer = tokio::select! {
            biased;
            () = link.progress.silence() => Err(PeerError::SilentLink),
            answer = tokio::time::timeout_at(deadline, exchange) => {
                answer.unwrap_or(Err(PeerError::TimedOut))
            }
        };
        drop(open_call);
        let broken = match &answer {
            Ok(_) => false,
            Err(PeerError::TimedOut) => !link.progress.answered_since(sent_at_ms),
            Err(_) => true,
        };
        if broken {
            self.give_up(peer, class, &link);
        }
        answer
    }

    /// The open link to a peer, or a new one.
    async fn link(&self, peer: SocketAddr, class: LinkClass) -> Result<PeerLink, String> {
        let open = self.table().get(&(peer, class)).cloned();
        if let Some(link) = open {
            return Ok(link);
        }
        let link = open_link(peer).await?;
        let mut table = self.table();
        if table.len() >= LINK_LIMIT {
            drop_least_used(&mut table);
        }
        Ok(table.entry((peer, class)).or_insert(link).clone())
    }

    fn give_up(&self, peer: SocketAddr, class: LinkClass, link: &PeerLink) {
        let mut table = self.table();
        let same = table
            .get(&(peer, class))
            .is_some_and(|open| Arc::ptr_eq(&open.progress, &link.progress));
        if same {
            table.remove(&(peer, class));
        }
    }

    fn table(&self) -> std::sync::MutexGuard<'_, HashMap<(SocketAddr, LinkClass), PeerLink>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn drop_least_used(table: &mut HashMap<(SocketAddr, LinkClass), PeerLink>) {
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
    let pings = pings.ok_or_else(|| "link takes no pings".to_owned())?;
    let progress = Arc::new(LinkProgress::new());
    let watched = progress.clone();
    tokio::spawn(async move {
        tokio::select! {
            ended = connection => log::debug!("link to {peer} ended: {ended:?}"),
            () = watch_link(pings, watched) => log::debug!("link to {peer} has gone silent"),
        }
    });
    Ok(PeerLink { sender, progress })
}

async fn exchange(
    sender: SendRequest<Bytes>,
    progress: &LinkProgress,
    body: Bytes,
) -> Result<PeerReply, PeerError> {
    let not_sent = |error: h2::Error| PeerError::NotSent(error.to_string());
    let mut sender = sender.ready().await.map_err(not_sent)?;
    let request = Request::post("/peer")
        .body(())
        .map_err(|error| PeerError::NotSent(error.to_string()))?;
    let (answer, mut stream) = sender.send_request(request, false).map_err(not_sent)?;
    stream.send_data(body, true).map_err(unanswered)?;
    let answer = answer.await.map_err(unanswered)?;
    progress.on_answer();
    let body = read_body(&mut answer.into_body(), || progress.on_answer())
        .await
        .map_err(unanswered)?;
    decode(&body).map_err(|error| PeerError::Unanswered(error.to_string()))
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "maps errors where they are owned"
)]
fn unanswered(error: h2::Error) -> PeerError {
    if error.reason() == Some(h2::Reason::REFUSED_STREAM) {
        return PeerError::NotSent(error.to_string());
    }
    PeerError::Unanswered(error.to_string())
}
