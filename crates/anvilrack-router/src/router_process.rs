//! Starting and stopping a router.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anvilrack_core::events;
use anvilrack_peer::PeerServer;
use anvilrack_settings::RouterSettings;
use eyre::WrapErr;
use tokio::runtime::{Builder, Runtime};

use crate::callers_port::CallersPort;
use crate::guard_pool::GuardPool;
use crate::peer_handler::PeerHandler;
use crate::router_context::RouterContext;
use crate::{
    accept_wakeup, boot_clock, control_port, coordinator_role, health_hints, log_event, membership,
    table_sync, target_notice,
};

/// Threads that run the links to other routers.
const LINK_THREADS: usize = 2;

/// How long a router that owns nothing more goes on answering, until others have the new table.
const STOP_LINGER: Duration = Duration::from_millis(600);

/// Time for what has been accepted to be read and answered, once nothing new is accepted.
const LAST_ANSWERS: Duration = Duration::from_millis(150);

/// How often a stop looks whether it is done.
const STOP_STEP: Duration = Duration::from_millis(20);

/// A running router.
pub struct RouterProcess {
    context: Arc<RouterContext>,
    callers: CallersPort,
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
        let address = context.settings.caller_address();
        let callers = CallersPort::start(runtime.handle(), &context, &guard)
            .wrap_err_with(|| format!("cannot listen on {address}"))?;
        // The control port is the last one on the house's HTTP server.
        accept_wakeup::start(&context, context.settings.control_address());
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

    /// Stops gracefully: gives its shards to others, lets requests in flight end, then closes.
    pub fn close(self) {
        let context = &self.context;
        log_event!(Info, events::ROUTER_STOPPING, "node" = context.node());
        context.stop();
        let until = boot_clock::now() + Duration::from_millis(context.settings.limits.stop_ms);
        while boot_clock::now() < until && !self.is_idle() && context.pause(STOP_STEP) {}
        coordinator_role::resign(context);
        // Others may still send here by an older table, and answers are still on their way out.
        context.pause(STOP_LINGER);
        // From here on a caller is refused by the system, which tells it that nothing has run.
        self.callers.stop_listening();
        self.peers.close();
        context.pause(LAST_ANSWERS);
        let is_busy = || context.releases.in_flight() > 0 || self.callers.is_open();
        while boot_clock::now() < until && is_busy() && context.pause(STOP_STEP) {}
        self.callers.close();
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

    /// True where this router owns nothing more and nothing is at work.
    fn is_idle(&self) -> bool {
        let context = &self.context;
        let named = context.own_cell().is_some_and(|cell| {
            let mut owned = cell.owned_by(context.node(), context.incarnation);
            owned.next().is_some()
        });
        !named && context.releases.in_flight() == 0 && self.callers.in_flight() == 0
    }
}
