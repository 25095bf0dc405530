//! The server for calls from other routers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use anvilrack_wire::{PeerReply, PeerRequest, decode, encode};
use bytes::Bytes;
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::body_stream::{LINK_WINDOW, STREAM_WINDOW, read_body};

/// Maximum number of concurrent streams, and so of calls, on one link.
const MAX_STREAMS: u32 = 1_024;

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

/// Listens for links from other routers.
pub struct PeerServer {
    listener: JoinHandle<()>,
}

impl PeerServer {
    /// Listens on `address` and passes each request to `service`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start<S: PeerService>(
        runtime: &Handle,
        address: SocketAddr,
        service: Arc<S>,
    ) -> io::Result<Self> {
        let listener = runtime.block_on(TcpListener::bind(address))?;
        let listener = runtime.spawn(accept_links(listener, service));
        Ok(Self { listener })
    }

    /// Stops accepting new links. Open links stay open until the process ends.
    pub fn close(self) {
        self.listener.abort();
    }
}

async fn accept_links<S: PeerService>(listener: TcpListener, service: Arc<S>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                tokio::spawn(serve_link(stream, peer, service.clone()));
            }
            Err(error) => {
                log::warn!("cannot accept a link: {error}");
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve_link<S: PeerService>(stream: TcpStream, peer: SocketAddr, service: Arc<S>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(LINK_WINDOW)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake::<_, Bytes>(stream);
    let Ok(mut link) = handshake.await else {
        return;
    };
    while let Some(stream) = link.accept().await {
        let Ok((request, respond)) = stream else {
            break;
        };
        let service = service.clone();
        tokio::spawn(async move {
            if let Err(error) = serve_stream(request, respond, service).await {
                log::debug!("stream from {peer} failed: {error}");
            }
        });
    }
}

async fn serve_stream<S: PeerService>(
    request: Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    service: Arc<S>,
) -> Result<(), h2::Error> {
    let body = read_body(&mut request.into_body(), || ()).await?;
    let Ok(message) = decode::<PeerRequest>(&body) else {
        return send_status(&mut respond, StatusCode::BAD_REQUEST);
    };
    let (sender, receiver) = oneshot::channel();
    service.serve(message, ReplySender { sender });
    let reply = tokio::select! {
        reply = receiver => reply.ok(),
        reset = std::future::poll_fn(|context| respond.poll_reset(context)) => {
            reset?;
            None
        }
    };
    let Some(bytes) = reply.and_then(|reply| encode(&reply).ok()) else {
        return send_status(&mut respond, StatusCode::INTERNAL_SERVER_ERROR);
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
