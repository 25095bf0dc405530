//! The workers on the target's side.

use std::sync::Arc;
use std::thread;

use anvilrack_core::{BootTime, RequestVerdict};
use anvilrack_peer::ReplySender;
use anvilrack_wire::{ForwardRequest, PeerReply};
use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};

use crate::peer_handler::overloaded;
use crate::router_context::RouterContext;
use crate::stages::{deliver::TargetClient, guard};

/// A request for the target beside this router.
pub struct GuardJob {
    /// The request.
    pub request: ForwardRequest,
    /// When its time is over.
    pub deadline: BootTime,
    /// Where its verdict goes.
    pub reply: ReplySender,
}

impl GuardJob {
    /// You give the request, its deadline and where the verdict goes.
    #[must_use]
    pub fn new(request: ForwardRequest, deadline: BootTime, reply: ReplySender) -> Self {
        Self {
            request,
            deadline,
            reply,
        }
    }
}

/// A bounded queue in front of a fixed number of workers.
#[derive(Clone)]
pub struct GuardPool {
    queue: Sender<GuardJob>,
    client: Arc<TargetClient>,
}

impl GuardPool {
    /// Starts the workers.
    pub fn start(context: &Arc<RouterContext>) -> Self {
        let workers = context.settings.limits.guard_workers;
        let (queue, jobs) = bounded(workers);
        let client = Arc::new(TargetClient::new(workers));
        for _ in 0..workers {
            let context = context.clone();
            let jobs = jobs.clone();
            let client = client.clone();
            thread::spawn(move || work(&context, &client, &jobs));
        }
        Self { queue, client }
    }

    /// Hands a job to the workers, or refuses it at once.
    pub fn submit(&self, job: GuardJob) {
        match self.queue.try_send(job) {
            Ok(()) => {}
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => {
                send_verdict(job.reply, overloaded());
            }
        }
    }

    /// Guards and runs a request of this router's own callers on the calling thread.
    ///
    /// A hand-over between threads costs tens of microseconds, so there is none here; the number of
    /// callers' workers is the bound.
    #[must_use]
    pub fn run_here(
        &self,
        context: &RouterContext,
        request: &ForwardRequest,
        deadline: BootTime,
    ) -> RequestVerdict {
        guard::process(context, &self.client, request, deadline)
    }
}

fn send_verdict(reply: ReplySender, verdict: RequestVerdict) {
    reply.send(PeerReply::Forwarded(verdict.into()));
}

fn work(context: &RouterContext, client: &TargetClient, jobs: &Receiver<GuardJob>) {
    for job in jobs {
        if job.reply.is_abandoned() {
            continue;
        }
        let verdict = guard::process(context, client, &job.request, job.deadline);
        send_verdict(job.reply, verdict);
    }
}
