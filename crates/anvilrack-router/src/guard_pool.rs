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
    pub reply: GuardReply,
}

impl GuardJob {
    /// You give the request, its deadline and where the verdict goes.
    #[must_use]
    pub fn new(request: ForwardRequest, deadline: BootTime, reply: GuardReply) -> Self {
        Self {
            request,
            deadline,
            reply,
        }
    }
}

/// Where a verdict goes.
pub enum GuardReply {
    /// To a caller's worker of this router.
    Local(Sender<RequestVerdict>),
    /// To another router.
    Peer(ReplySender),
}

impl GuardReply {
    /// Hands the verdict over.
    pub fn send(self, verdict: RequestVerdict) {
        match self {
            Self::Local(sender) => {
                let _ = sender.send(verdict);
            }
            Self::Peer(sender) => sender.send(PeerReply::Forwarded(verdict.into())),
        }
    }

    /// True where nobody waits for the verdict any more.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        match self {
            Self::Local(_) => false,
            Self::Peer(sender) => sender.is_abandoned(),
        }
    }
}

/// A bounded queue in front of a fixed number of workers.
#[derive(Clone)]
pub struct GuardPool {
    queue: Sender<GuardJob>,
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
        Self { queue }
    }

    /// Hands a job to the workers, or refuses it at once.
    pub fn submit(&self, job: GuardJob) {
        match self.queue.try_send(job) {
            Ok(()) => {}
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => {
                job.reply.send(overloaded());
            }
        }
    }
}

fn work(context: &RouterContext, client: &TargetClient, jobs: &Receiver<GuardJob>) {
    for job in jobs {
        if job.reply.is_abandoned() {
            continue;
        }
        let verdict = guard::process(context, client, &job.request, job.deadline);
        job.reply.send(verdict);
    }
}
