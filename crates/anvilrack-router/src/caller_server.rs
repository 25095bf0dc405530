//! HTTP server for callers.
//!
//! Connections, heads and bodies are read asynchronously, without a thread for each. All of them
//! are limited in number, size and time. A request occupies a worker thread only after it was read
//! in full.
//!
//! Uses `hyper` instead of `tiny_http`, the usual HTTP server of the organisation. `tiny_http`
//! reads bodies on the worker's thread without a timeout, allocates as much memory as a head
//! announces, and treats a truncated chunked body as complete.

use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use anvilrack_core::{BootTime, RequestVerdict, UncertainReason, events};
use anvilrack_limits::GatedConnection;
use crossbeam::channel::{Receiver, Sender, bounded};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

use crate::caller_body;
use crate::guard_pool::GuardPool;
use crate::peer_handler::overloaded;
use crate::router_context::RouterContext;
use crate::stages::accept::AcceptedRequest;
use crate::stages::reply::ResponseBody;
use crate::stages::resolve::NextHop;
use crate::stages::{accept, forward, reply};
use crate::{accept_drain, boot_clock, log_event};

/// Timeout for reading a head; it also runs while a connection is idle.
const HEAD_TIMEOUT: Duration = Duration::from_mins(1);

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Delay before accepting again after an accept error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Number of workers per slot of the job queue.
const WORKERS_PER_QUEUE_SLOT: usize = 4;

/// Listens for callers and runs the workers that route their requests.
pub struct CallerServer {
    listener: JoinHandle<()>,
    shared: Arc<CallersShared>,
}

/// State shared by all caller connections.
struct CallersShared {
    context: Arc<RouterContext>,
    jobs: Sender<CallerJob>,
    /// Number of requests that are being read, processed or answered.
    in_flight: AtomicUsize,
    /// Number of open connections.
    connections: AtomicUsize,
    /// Set to `true` to close the listener and let connections shut down after their current
    /// request.
    closing: watch::Sender<bool>,
}

/// A request that was read in full and waits for a worker.
struct CallerJob {
    accepted: AcceptedRequest,
    received_at: BootTime,
    verdict_sender: oneshot::Sender<RequestVerdict>,
}

/// Counts one request as in flight, from its head to its response, until dropped.
struct OpenRequest<'a> {
    in_flight: &'a AtomicUsize,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts one connection as open, from its acceptance until dropped.
struct OpenConnection {
    shared: Arc<CallersShared>,
}

impl OpenConnection {
    fn new(shared: &Arc<CallersShared>) -> Self {
        shared.connections.fetch_add(1, Ordering::Relaxed);
        Self {
            shared: shared.clone(),
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.shared.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CallerServer {
    /// Binds the caller address and starts the workers.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(
        runtime: &Handle,
        context: &Arc<RouterContext>,
        guard: &GuardPool,
    ) -> io::Result<Self> {
        let address = context.settings.caller_address();
        let listener = runtime.block_on(TcpListener::bind(address))?;
        let workers = context.settings.limits.caller_workers;
        let (sender, receiver) = bounded(workers.div_ceil(WORKERS_PER_QUEUE_SLOT));
        for _ in 0..workers {
            let (context, guard, jobs) = (context.clone(), guard.clone(), receiver.clone());
            thread::spawn(move || run_worker(&context, &guard, &jobs));
        }
        let shared = Arc::new(CallersShared {
            context: context.clone(),
            jobs: sender,
            in_flight: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            closing: watch::Sender::new(false),
        });
        let listener = runtime.spawn(accept_callers(listener, shared.clone()));
        Ok(Self { listener, shared })
    }

    /// Returns the number of requests that are being read, processed or answered.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::Relaxed)
    }

    /// Returns `true` while callers can still send requests: the listener or a connection is open.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.listener.is_finished() || self.shared.connections.load(Ordering::Relaxed) > 0
    }

    /// Closes the listener and lets open connections shut down after their current request.
    pub fn stop_listening(&self) {
        self.shared.closing.send_replace(true);
    }

    /// Stops listening and aborts the listener's task.
    pub fn close(self) {
        self.stop_listening();
        self.listener.abort();
    }
}

async fn accept_callers(listener: TcpListener, shared: Arc<CallersShared>) {
    let mut closing = shared.closing.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_until_closing(&mut closing) => break,
        };
        match accepted {
            Ok((stream, caller)) => spawn_caller(stream, caller, &shared),
            Err(error) => {
                log::warn!("cannot accept a caller's connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    match accept_drain::close_listener(listener) {
        Ok(backlog) => {
            for stream in backlog {
                if let Ok(caller) = stream.peer_addr() {
                    spawn_caller(stream, caller, &shared);
                }
            }
        }
        Err(error) => log::warn!(
            "cannot accept the connections in the backlog of the closed listener: {error}"
        ),
    }
}

/// Serves a connection in a task of its own, if there is room for it.
fn spawn_caller(stream: TcpStream, caller: SocketAddr, shared: &Arc<CallersShared>) {
    let Some(gated) = shared.context.caller_gate.open() else {
        return;
    };
    let (shared, connection) = (shared.clone(), OpenConnection::new(shared));
    tokio::spawn(async move {
        serve_caller(stream, caller, gated, shared).await;
        drop(connection);
    });
}

async fn serve_caller(
    stream: TcpStream,
    caller: SocketAddr,
    gated: GatedConnection,
    shared: Arc<CallersShared>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut closing = shared.closing.subscribe();
    let service =
        service_fn(|request| handle_request(shared.clone(), caller.ip(), &gated, request));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES);
    let io = TokioIo::new(stream);
    let closing = wait_until_closing(&mut closing);
    let served = accept_drain::serve_until_closed(&builder, io, service, closing);
    tokio::select! {
        result = served => if let Err(error) = result {
            log::debug!("connection of {caller} closed with an error: {error}");
        },
        () = gated.closing() => log::debug!("connection of {caller} was closed for others"),
    }
}

async fn wait_until_closing(closing: &mut watch::Receiver<bool>) {
    // The sender exists for as long as the server does, so the wait only ends when the flag is set.
    closing.wait_for(|closing| *closing).await.ok();
}

async fn handle_request(
    shared: Arc<CallersShared>,
    caller: IpAddr,
    gated: &GatedConnection,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    shared.in_flight.fetch_add(1, Ordering::Relaxed);
    let _open = OpenRequest {
        in_flight: &shared.in_flight,
    };
    let received_at = boot_clock::now();
    gated.set_waiting();
    let verdict = match read_request(&shared, caller, gated, request, received_at).await {
        Ok(accepted) => {
            gated.set_busy();
            shared.run(accepted, received_at).await
        }
        Err(verdict) => {
            log_event!(Info, events::REQUEST_REFUSED, "verdict" = verdict.as_str());
            verdict
        }
    };
    gated.set_waiting();
    Ok(reply::process(verdict, shared.context.is_stopping()))
}

async fn read_request(
    shared: &CallersShared,
    caller: IpAddr,
    gated: &GatedConnection,
    request: Request<Incoming>,
    received_at: BootTime,
) -> Result<AcceptedRequest, RequestVerdict> {
    let limits = &shared.context.settings.limits;
    let (head, body) = request.into_parts();
    let accepted = accept::process(&head, caller, limits, received_at);
    let time = accepted.as_ref().map_or(Duration::ZERO, |accepted| {
        accepted.deadline.saturating_sub(boot_clock::now())
    });
    let memory = &shared.context.memory;
    let body = caller_body::read(body, limits.body_bytes, time, memory, gated).await;
    Ok(accepted?.with_body(body?))
}

impl CallersShared {
    /// Queues a request for a worker and waits for its verdict; refuses it at once if the queue is
    /// full.
    async fn run(&self, accepted: AcceptedRequest, received_at: BootTime) -> RequestVerdict {
        let (verdict_sender, verdict) = oneshot::channel();
        let job = CallerJob {
            accepted,
            received_at,
            verdict_sender,
        };
        if self.jobs.try_send(job).is_err() {
            return overloaded();
        }
        let worker_lost = RequestVerdict::MayHaveRun(UncertainReason::ConnectionLost);
        verdict.await.unwrap_or(worker_lost)
    }
}

fn run_worker(context: &RouterContext, guard: &GuardPool, jobs: &Receiver<CallerJob>) {
    for job in jobs {
        if job.verdict_sender.is_closed() {
            continue;
        }
        let verdict = route(context, guard, &job.accepted, job.received_at);
        // The caller may have disconnected, which is not an error.
        let _ = job.verdict_sender.send(verdict);
    }
}

fn route(
    context: &RouterContext,
    guard: &GuardPool,
    accepted: &AcceptedRequest,
    received_at: BootTime,
) -> RequestVerdict {
    let request = &accepted.request;
    let Some(_worker_permit) = context
        .worker_shares
        .try_acquire(&request.service, &request.caller)
    else {
        log_event!(
            Info,
            events::ENTRY_REFUSED,
            "service" = request.service,
            "caller" = request.caller
        );
        return overloaded();
    };
    let outcome = forward::process(context, guard, accepted);
    let elapsed = boot_clock::now().saturating_sub(received_at);
    context
        .metrics
        .on_request(&request.service, &outcome.verdict, elapsed);
    let hop = outcome.hop.as_ref().map_or("-", |hop| match hop {
        NextHop::Local => "here",
        NextHop::Peer(node, _) => node,
    });
    log_event!(
        Info,
        events::REQUEST_ROUTED,
        "service" = request.service,
        "key" = request.key,
        "hop" = hop,
        "tries" = outcome.attempts,
        "verdict" = outcome.verdict.as_str(),
        "reason" = outcome.verdict.reason_code(),
        "us" = elapsed.as_micros()
    );
    outcome.verdict
}
