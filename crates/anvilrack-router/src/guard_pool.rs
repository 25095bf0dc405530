//! Worker threads for requests that other routers forward to the local target.

use std::sync::Arc;
use std::thread;

use anvilrack_core::{BootTime, RequestVerdict};
use anvilrack_peer::ReplySender;
use anvilrack_wire::{ForwardRequest, PeerReply};
use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};

use crate::peer_handler::overloaded;
use crate::router_context::RouterContext;
use crate::stages::{deliver::TargetClient, guard};

/// A request from another router for the local target.
pub struct GuardJob {
    /// The request to check and send to the target.
    pub request: ForwardRequest,
    /// Deadline of the request.
    pub deadline: BootTime,
    /// Sends the verdict back to the other router.
    pub reply: ReplySender,
}

impl GuardJob {
    /// Creates a job for a request, whose verdict is sent to `reply`.
    #[must_use]
    pub fn new(request: ForwardRequest, deadline: BootTime, reply: ReplySender) -> Self {
        Self {
            request,
            deadline,
            reply,
        }
    }
}

/// A fixed number of workers with a bounded job queue.
#[derive(Clone)]
pub struct GuardPool {
    queue: Sender<GuardJob>,
    client: Arc<TargetClient>,
}

impl GuardPool {
    /// Starts as many workers as `limits.guard_workers` says.
    pub fn start(context: &Arc<RouterContext>) -> Self {
        let workers = context.settings.limits.guard_workers;
        let (queue, jobs) = bounded(workers);
        let client = Arc::new(TargetClient::new(workers));
        for _ in 0..workers {
            let context = context.clone();
            let jobs = jobs.clone();
            let client = client.clone();
            thread::spawn(move || run_worker(&context, &client, &jobs));
        }
        Self { queue, client }
    }

    /// Queues a job for the workers; refuses it at once if the queue is full.
    pub fn submit(&self, job: GuardJob) {
        match self.queue.try_send(job) {
            Ok(()) => {}
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => {
                send_verdict(job.reply, overloaded());
            }
        }
    }

    /// Runs a request of this router's own callers on the current thread.
    ///
    /// Handing a request to another thread costs tens of microseconds, so this doesn't use the
    /// queue. The number of caller workers limits how many requests run this way at once.
    #[must_use]
    pub fn run_on_current_thread(
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

fn run_worker(context: &RouterContext, client: &TargetClient, jobs: &Receiver<GuardJob>) {
    for job in jobs {
        if job.reply.is_abandoned() {
            continue;
        }
        let verdict = guard::process(context, client, &job.request, job.deadline);
        send_verdict(job.reply, verdict);
    }
}
