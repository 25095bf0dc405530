//! Starts and stops a router.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anvilrack_core::events;
use anvilrack_peer::{PeerLimits, PeerServer};
use anvilrack_settings::RouterSettings;
use eyre::WrapErr;
use tokio::runtime::{Builder, Runtime};

use crate::caller_server::CallerServer;
use crate::guard_pool::GuardPool;
use crate::peer_handler::PeerHandler;
use crate::router_context::RouterContext;
use crate::{
    accept_wakeup, boot_clock, control_port, coordinator_role, grant_notifications, health_hints,
    limits_report, log_event, membership, table_sync,
};

/// Threads of the asynchronous runtime, which runs the ports for callers and peers and the links to
/// other routers.
const RUNTIME_THREADS: usize = 2;

/// Time for which a stopping router that owns no shards keeps serving requests, so that the other
/// routers receive the new routing table first.
const TABLE_PROPAGATION_TIME: Duration = Duration::from_millis(600);

/// Time to read and answer the requests on accepted connections after the ports have closed.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(150);

/// Interval at which a stop checks whether the remaining work is done.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running router: its shared state, its ports and the runtime that serves them.
pub struct RouterProcess {
    context: Arc<RouterContext>,
    callers: CallerServer,
    peers: PeerServer,
    runtime: Runtime,
}

impl RouterProcess {
    /// Starts the ports and the background threads.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime cannot be started or an address cannot be bound.
    pub fn start(settings: RouterSettings) -> eyre::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(RUNTIME_THREADS)
            .enable_all()
            .build()
            .wrap_err("cannot start the asynchronous runtime")?;
        let context = Arc::new(RouterContext::new(settings, runtime.handle().clone()));
        let guard = GuardPool::start(&context);
        let handler = Arc::new(PeerHandler::new(context.clone(), guard.clone()));
        let address = context.settings.peer_address();
        let limits = PeerLimits {
            memory: context.memory.clone(),
            gate: context.peer_gate.clone(),
        };
        let peers = PeerServer::start(runtime.handle(), address, handler, limits)
            .wrap_err_with(|| format!("cannot listen on {address}"))?;
        control_port::start(&context)?;
        let address = context.settings.caller_address();
        let callers = CallerServer::start(runtime.handle(), &context, &guard)
            .wrap_err_with(|| format!("cannot listen on {address}"))?;
        // Only the control port uses the `tiny_http` server, which would leave some connections
        // unread without the wake-ups.
        accept_wakeup::start(&context, context.settings.control_address());
        let threads = [
            membership::run,
            table_sync::run,
            grant_notifications::run,
            health_hints::run,
            limits_report::run,
        ];
        for thread in threads {
            let context = context.clone();
            thread::spawn(move || thread(&context));
        }
        let settings = &context.settings;
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
            peers,
            runtime,
        })
    }

    /// Stops gracefully: moves the shards to other members, waits for the requests in flight, then
    /// closes the ports.
    pub fn close(self) {
        let context = &self.context;
        log_event!(Info, events::ROUTER_STOPPING, "node" = context.node());
        context.stop();
        let deadline = boot_clock::now() + Duration::from_millis(context.settings.limits.stop_ms);
        while boot_clock::now() < deadline && !self.is_idle() && context.pause(POLL_INTERVAL) {}
        coordinator_role::resign(context);
        // Other routers may still route requests here by an older table, and responses are still
        // being sent.
        context.pause(TABLE_PROPAGATION_TIME);
        // From here on the operating system refuses new connections, so a caller knows that its
        // request has not run.
        self.callers.stop_listening();
        self.peers.close();
        context.pause(LAST_RESPONSES_TIME);
        let is_busy = || context.releases.in_flight() > 0 || self.callers.is_open();
        while boot_clock::now() < deadline && is_busy() && context.pause(POLL_INTERVAL) {}
        self.callers.close();
        context.end_threads();
        context.owner().end_lease();
        let remaining = context.releases.in_flight();
        log_event!(
            Info,
            events::ROUTER_STOPPED,
            "node" = context.node(),
            "in_flight" = remaining
        );
        self.runtime.shutdown_background();
    }

    /// Returns whether this router owns no shards and has no requests in flight.
    fn is_idle(&self) -> bool {
        let context = &self.context;
        let owns_shards = context.own_cell().is_some_and(|cell| {
            let mut owned = cell.owned_by(context.node(), context.incarnation);
            owned.next().is_some()
        });
        !owns_shards && context.releases.in_flight() == 0 && self.callers.in_flight() == 0
    }
}
