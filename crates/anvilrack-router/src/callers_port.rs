//! The callers' side: HTTP in, verdicts out.
//!
//! Connections, heads and bodies are read without a thread for each, with a bound and a time limit on
//! everything a caller may leave half done. Only a request that was read whole takes a worker.
//!
//! The house's `tiny_http` reads bodies on the worker's thread without a time limit, sets aside as
//! much memory as a head announces, and takes a chunked body that was cut short for a whole one; so
//! its nearest kin that does none of that is used here.

use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use anvilrack_core::{BootTime, RequestVerdict, UncertainReason, events};
use crossbeam::channel::{Receiver, Sender, bounded};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::task::JoinHandle;

use crate::caller_body::{self, BODY_ROOM};
use crate::guard_pool::GuardPool;
use crate::peer_handler::overloaded;
use crate::router_context::RouterContext;
use crate::stages::accept::AcceptedRequest;
use crate::stages::reply::ReplyBody;
use crate::stages::resolve::NextHop;
use crate::stages::{accept, forward, reply};
use crate::{accept_drain, boot_clock, log_event};

/// Connections of callers open at once; more wait to be accepted.
const CONNECTION_LIMIT: usize = 8_192;

/// Time for a head, counted also while a connection is idle.
const HEAD_TIMEOUT: Duration = Duration::from_mins(1);

/// Longest head, in bytes.
const HEAD_LIMIT: usize = 64 * 1024;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// One place in the queue for so many workers.
const QUEUE_SHARE: usize = 4;

/// Listens for callers.
pub struct CallersPort {
    listener: JoinHandle<()>,
    shared: Arc<CallersShared>,
}

/// What all connections share.
struct CallersShared {
    context: Arc<RouterContext>,
    jobs: Sender<CallerJob>,
    in_flight: AtomicUsize,
    body_room: Semaphore,
    /// Open connections.
    connections: AtomicUsize,
    /// Turns true once connections end with the request that is on them.
    closing: watch::Sender<bool>,
}

/// A request that was read whole.
struct CallerJob {
    accepted: AcceptedRequest,
    began: BootTime,
    reply: oneshot::Sender<RequestVerdict>,
}

/// One request between its head and its answer; dropping it ends the count.
struct OpenRequest<'a> {
    in_flight: &'a AtomicUsize,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// One open connection, counted from its acceptance; dropping it ends the count.
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

impl CallersPort {
    /// Listens and starts the workers.
    ///
    /// # Errors
    ///
    /// Where the address cannot be bound.
    pub fn start(
        runtime: &Handle,
        context: &Arc<RouterContext>,
        guard: &GuardPool,
    ) -> io::Result<Self> {
        let address = context.settings.caller_address();
        let listener = runtime.block_on(TcpListener::bind(address))?;
        let workers = context.settings.limits.caller_workers;
        let (sender, receiver) = bounded(workers.div_ceil(QUEUE_SHARE));
        for _ in 0..workers {
            let (context, guard, jobs) = (context.clone(), guard.clone(), receiver.clone());
            thread::spawn(move || work(&context, &guard, &jobs));
        }
        let shared = Arc::new(CallersShared {
            context: context.clone(),
            jobs: sender,
            in_flight: AtomicUsize::new(0),
            body_room: Semaphore::new(BODY_ROOM),
            connections: AtomicUsize::new(0),
            closing: watch::Sender::new(false),
        });
        let listener = runtime.spawn(accept_callers(listener, shared.clone()));
        Ok(Self { listener, shared })
    }

    /// Requests that are being read, worked on or answered.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::Relaxed)
    }

    /// True while a caller may still bring a request: a connection is open, or the listener is.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.listener.is_finished() || self.shared.connections.load(Ordering::Relaxed) > 0
    }

    /// Stops taking new connections; those that are open end once the request on them is answered.
    pub fn stop_listening(&self) {
        self.shared.closing.send_replace(true);
    }

    /// Ends what is still open.
    pub fn close(self) {
        self.stop_listening();
        self.listener.abort();
    }
}

async fn accept_callers(listener: TcpListener, shared: Arc<CallersShared>) {
    let places = Arc::new(Semaphore::new(CONNECTION_LIMIT));
    let mut closing = shared.closing.subscribe();
    loop {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_until_closing(&mut closing) => break,
        };
        match accepted {
            Ok((stream, caller)) => {
                let (shared, open) = (shared.clone(), OpenConnection::new(&shared));
                tokio::spawn(async move {
                    serve_caller(stream, caller, shared).await;
                    drop((open, place));
                });
            }
            Err(error) => {
                log::warn!("cannot accept a caller: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    match accept_drain::close_listener(listener) {
        Ok(waiting) => {
            for stream in waiting {
                let Ok(caller) = stream.peer_addr() else {
                    continue;
                };
                let (shared, open) = (shared.clone(), OpenConnection::new(&shared));
                tokio::spawn(async move {
                    serve_caller(stream, caller, shared).await;
                    drop(open);
                });
            }
        }
        Err(error) => log::warn!("connections that waited were not taken: {error}"),
    }
}

async fn serve_caller(stream: TcpStream, caller: SocketAddr, shared: Arc<CallersShared>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut closing = shared.closing.subscribe();
    let service = service_fn(|request| answer(shared.clone(), caller.ip(), request));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_LIMIT);
    let io = TokioIo::new(stream);
    let closing = wait_until_closing(&mut closing);
    let served = accept_drain::serve_until_closed(&builder, io, service, closing).await;
    if let Err(error) = served {
        log::debug!("connection of {caller} ended: {error}");
    }
}

async fn wait_until_closing(closing: &mut watch::Receiver<bool>) {
    // The sender lives as long as the port does, so the wait ends with the flag alone.
    closing.wait_for(|closing| *closing).await.ok();
}

async fn answer(
    shared: Arc<CallersShared>,
    caller: IpAddr,
    request: Request<Incoming>,
) -> Result<Response<ReplyBody>, Infallible> {
    shared.in_flight.fetch_add(1, Ordering::Relaxed);
    let _open = OpenRequest {
        in_flight: &shared.in_flight,
    };
    let began = boot_clock::now();
    let verdict = match read_request(&shared, caller, request, began).await {
        Ok(accepted) => shared.run(accepted, began).await,
        Err(verdict) => {
            log_event!(Info, events::REQUEST_REFUSED, "verdict" = verdict.word());
            verdict
        }
    };
    Ok(reply::process(verdict, shared.context.is_stopping()))
}

async fn read_request(
    shared: &CallersShared,
    caller: IpAddr,
    request: Request<Incoming>,
    began: BootTime,
) -> Result<AcceptedRequest, RequestVerdict> {
    let limits = &shared.context.settings.limits;
    let (head, body) = request.into_parts();
    let accepted = accept::process(&head, caller, limits, began);
    let body = caller_body::read(body, limits.body_bytes, &shared.body_room).await;
    Ok(accepted?.with_body(body?))
}

impl CallersShared {
    /// Hands a request to a worker, or refuses it at once.
    async fn run(&self, accepted: AcceptedRequest, began: BootTime) -> RequestVerdict {
        let (reply, verdict) = oneshot::channel();
        let job = CallerJob {
            accepted,
            began,
            reply,
        };
        if self.jobs.try_send(job).is_err() {
            return overloaded();
        }
        let lost = RequestVerdict::MayHaveRun(UncertainReason::ConnectionLost);
        verdict.await.unwrap_or(lost)
    }
}

fn work(context: &RouterContext, guard: &GuardPool, jobs: &Receiver<CallerJob>) {
    for job in jobs {
        if job.reply.is_closed() {
            continue;
        }
        let verdict = route(context, guard, &job.accepted, job.began);
        // A caller that is gone is not an error.
        let _ = job.reply.send(verdict);
    }
}

fn route(
    context: &RouterContext,
    guard: &GuardPool,
    accepted: &AcceptedRequest,
    began: BootTime,
) -> RequestVerdict {
    let request = &accepted.request;
    let Some(_place) = context.entry.enter(&request.service, &request.caller) else {
        log_event!(
            Info,
            events::ENTRY_REFUSED,
            "service" = request.service,
            "caller" = request.caller
        );
        return overloaded();
    };
    let outcome = forward::process(context, guard, accepted);
    let took = boot_clock::now().saturating_sub(began);
    context
        .metrics
        .on_request(&request.service, &outcome.verdict, took);
    let hop = outcome.hop.as_ref().map_or("-", |hop| match hop {
        NextHop::Here => "here",
        NextHop::Peer(node, _) => node,
    });
    log_event!(
        Info,
        events::REQUEST_ROUTED,
        "service" = request.service,
        "key" = request.key,
        "hop" = hop,
        "tries" = outcome.tries,
        "verdict" = outcome.verdict.word(),
        "reason" = outcome.verdict.reason_word(),
        "us" = took.as_micros()
    );
    outcome.verdict
}
