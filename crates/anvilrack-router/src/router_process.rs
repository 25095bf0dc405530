//! Starting and stopping a router.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use anvilrack_core::{RequestVerdict, events};
use anvilrack_peer::PeerServer;
use anvilrack_settings::RouterSettings;
use eyre::{WrapErr, eyre};
use rustix::net::{Shutdown, shutdown};
use tiny_http::{Request, Server};
use tokio::runtime::{Builder, Runtime};

use crate::guard_pool::GuardPool;
use crate::peer_handler::{PeerHandler, overloaded};
use crate::router_context::RouterContext;
use crate::stages::{accept, forward, reply};
use crate::{
    accept_kick, boot_clock, control_port, coordinator_role, health_hints, log_event, membership,
    table_sync, target_notice,
};

/// Threads that run the links to other routers.
const LINK_THREADS: usize = 2;

/// Threads that are there to refuse what is above the bound.
const REFUSERS: usize = 4;

/// How long a router that owns nothing more goes on answering, until others have the new table.
const STOP_LINGER: Duration = Duration::from_millis(600);

/// Time for what has been accepted to be read and answered, once nothing new is accepted.
const LAST_ANSWERS: Duration = Duration::from_millis(150);

/// How often a stop looks whether it is done.
const STOP_STEP: Duration = Duration::from_millis(20);

/// A running router.
pub struct RouterProcess {
    context: Arc<RouterContext>,
    callers: TcpListener,
    busy: Arc<AtomicUsize>,
    peers: PeerServer,
    runtime: Runtime,
}

impl RouterProcess {
    /// Starts all threads.
    ///
    /// # Errors
    ///
    /// Where an address cannot be bound.
    pub fn start(settings: RouterSettings) -> eyre::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(LINK_THREADS)
            .enable_all()
            .build()
            .wrap_err("cannot start the threads for links")?;
        let context = Arc::new(RouterContext::new(settings, runtime.handle().clone()));
        let guard = GuardPool::start(&context);
        let handler = Arc::new(PeerHandler::new(context.clone(), guard.clone()));
        let address = context.settings.peer_address();
        let peers = PeerServer::start(runtime.handle(), address, handler)
            .wrap_err_with(|| format!("cannot listen on {address}"))?;
        control_port::start(&context)?;
        let settings = &context.settings;
        let busy = Arc::new(AtomicUsize::new(0));
        let callers = start_callers(&context, &guard, &busy)?;
        for address in [settings.caller_address(), settings.control_address()] {
            accept_kick::start(&context, address);
        }
        let threads = [
            membership::run,
            table_sync::run,
            target_notice::run,
            health_hints::run,
        ];
        for thread in threads {
            let context = context.clone();
            thread::spawn(move || thread(&context));
        }
        log_event!(
            Info,
            events::ROUTER_STARTED,
            "node" = settings.node,
            "callers" = settings.caller_address(),
            "region" = settings.region,
            "failure_domain" = settings.failure_domain
        );
        Ok(Self {
            context,
            callers,
            busy,
            peers,
            runtime,
        })
    }

    /// Stops gracefully: gives its shards to others, lets requests in flight end, then closes.
    pub fn close(self) {
        let context = &self.context;
        log_event!(Info, events::ROUTER_STOPPING, "node" = context.node());
        context.stop();
        let until = boot_clock::now() + Duration::from_millis(context.settings.limits.stop_ms);
        while boot_clock::now() < until && !is_idle(context) && context.pause(STOP_STEP) {}
        coordinator_role::resign(context);
        // Others may still send here by an older table, and answers are still on their way out.
        context.pause(STOP_LINGER);
        // From here on a caller is refused by the system, which tells it that nothing has run.
        let _ = shutdown(&self.callers, Shutdown::Both);
        self.peers.close();
        context.pause(LAST_ANSWERS);
        let is_busy = || is_at_work(context) || self.busy.load(Ordering::Relaxed) > 0;
        while boot_clock::now() < until && is_busy() && context.pause(STOP_STEP) {}
        context.end();
        context.owner().end_lease();
        let left = context.releases.in_flight();
        log_event!(
            Info,
            events::ROUTER_STOPPED,
            "node" = context.node(),
            "in_flight" = left
        );
        self.runtime.shutdown_background();
    }
}

/// True where this router owns nothing more and nothing is at work.
fn is_idle(context: &RouterContext) -> bool {
    let named = context.own_cell().is_some_and(|cell| {
        let mut owned = cell.owned_by(context.node(), context.incarnation);
        owned.next().is_some()
    });
    !named && !is_at_work(context)
}

fn is_at_work(context: &RouterContext) -> bool {
    context.releases.in_flight() > 0
}

// --- the callers' side --------------------------------------------------------------------------

fn start_callers(
    context: &Arc<RouterContext>,
    guard: &GuardPool,
    busy: &Arc<AtomicUsize>,
) -> eyre::Result<TcpListener> {
    let address = context.settings.caller_address();
    let listener =
        TcpListener::bind(address).wrap_err_with(|| format!("cannot listen on {address}"))?;
    let server = Server::from_listener(listener.try_clone()?, None);
    let server = server.map_err(|error| eyre!("cannot serve {address}: {error}"))?;
    let server = Arc::new(server);
    let limits = context.settings.limits;
    for _ in 0..limits.caller_workers + REFUSERS {
        let (context, guard) = (context.clone(), guard.clone());
        let (server, busy) = (server.clone(), busy.clone());
        thread::spawn(move || work(&context, &guard, &server, &busy));
    }
    Ok(listener)
}

/// Takes requests straight from the HTTP server.
///
/// There are a few more threads than requests that may be worked on: what comes above the bound finds
/// a thread that refuses it at once. A channel between a listener and the workers did the same, but
/// cost a wake-up for each request.
fn work(context: &RouterContext, guard: &GuardPool, server: &Server, busy: &AtomicUsize) {
    while let Ok(mut request) = server.recv() {
        let others = busy.fetch_add(1, Ordering::Relaxed);
        let verdict = if others < context.settings.limits.caller_workers {
            route(context, guard, &mut request)
        } else {
            overloaded()
        };
        if context.is_stopping() {
            reply::process_last(request, verdict);
        } else {
            reply::process(request, verdict);
        }
        busy.fetch_sub(1, Ordering::Relaxed);
    }
}

fn route(context: &RouterContext, guard: &GuardPool, http: &mut Request) -> RequestVerdict {
    let began = boot_clock::now();
    let accepted = match accept::process(http, &context.settings.limits) {
        Ok(accepted) => accepted,
        Err(verdict) => {
            log_event!(Info, events::REQUEST_REFUSED, "verdict" = verdict.word());
            return verdict;
        }
    };
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
    let outcome = forward::process(context, guard, &accepted);
    let took = boot_clock::now().saturating_sub(began);
    context
        .metrics
        .on_request(&accepted.request.service, &outcome.verdict, took);
    let hop = outcome.hop.as_ref().map_or("-", |hop| match hop {
        crate::stages::resolve::NextHop::Here => "here",
        crate::stages::resolve::NextHop::Peer(node, _) => node,
    });
    log_event!(
        Info,
        events::REQUEST_ROUTED,
        "service" = accepted.request.service,
        "key" = accepted.request.key,
        "hop" = hop,
        "tries" = outcome.tries,
        "verdict" = outcome.verdict.word(),
        "us" = took.as_micros()
    );
    outcome.verdict
}
