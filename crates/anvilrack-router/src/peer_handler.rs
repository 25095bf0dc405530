//! Handles the requests of other routers.

use std::sync::Arc;

use anvilrack_core::{CellRecord, Epoch, RefusalReason, RequestVerdict, ServiceName};
use anvilrack_peer::{PeerService, ReplySender};
use anvilrack_wire::{HeartbeatRequest, PeerReply, PeerRequest, TakeoverAnnouncement};

use crate::guard_pool::{GuardJob, GuardPool};
use crate::router_context::RouterContext;
use crate::{boot_clock, explanation, membership, record_handover};

/// Serves the requests of other routers.
///
/// Control messages are answered on the calling thread, because they only hold a lock briefly.
/// Callers' requests are queued for the guard workers.
pub struct PeerHandler {
    context: Arc<RouterContext>,
    guard: GuardPool,
}

impl PeerHandler {
    /// Creates a handler that passes callers' requests to `guard`.
    pub fn new(context: Arc<RouterContext>, guard: GuardPool) -> Self {
        Self { context, guard }
    }

    fn heartbeat_reply(&self, request: &HeartbeatRequest) -> PeerReply {
        match membership::answer_heartbeat(&self.context, request) {
            Some(reply) => PeerReply::Heartbeat(Box::new(reply)),
            None => PeerReply::NotCoordinator(self.context.update_for(&request.digest)),
        }
    }

    fn takeover_reply(&self, announcement: TakeoverAnnouncement) -> PeerReply {
        let context = &self.context;
        let same_cell = context.service().as_ref() == Some(&announcement.record.service);
        let accepts = same_cell && context.owner().on_takeover(announcement.record.epoch);
        context.accept_cell(announcement.record);
        if accepts {
            context.standby().on_answer(boot_clock::now());
        }
        PeerReply::TakeoverSeen(accepts.then(|| context.report()))
    }

    fn resignation_reply(&self, service: &ServiceName, epoch: Epoch) -> PeerReply {
        let cell: Option<Arc<CellRecord>> = self.context.routes().cell(service).cloned();
        let accepts = cell.is_some_and(|cell| self.context.standby().on_resignation(&cell, epoch));
        self.context.trigger_heartbeat();
        PeerReply::Resigned(accepts)
    }

    fn promise_reply(&self, service: &ServiceName, epoch: Epoch) -> PeerReply {
        let cell: Option<Arc<CellRecord>> = self.context.routes().cell(service).cloned();
        let promised = cell.is_some_and(|cell| {
            self.context
                .standby()
                .promise(&cell, epoch, boot_clock::now())
        });
        PeerReply::Promised(promised)
    }
}

impl PeerService for PeerHandler {
    fn serve(&self, request: PeerRequest, reply: ReplySender) {
        let response = match request {
            PeerRequest::Forward(request) => {
                let deadline = boot_clock::now() + request.timeout;
                let job = GuardJob::new(request, deadline, reply);
                return self.guard.submit(job);
            }
            PeerRequest::Heartbeat(request) => self.heartbeat_reply(&request),
            PeerRequest::Takeover(announcement) => self.takeover_reply(announcement),
            PeerRequest::Promise(service, epoch) => self.promise_reply(&service, epoch),
            PeerRequest::Resign(service, epoch) => self.resignation_reply(&service, epoch),
            PeerRequest::Pull(digest) => PeerReply::Update(self.context.update_for(&digest)),
            PeerRequest::Explain(service, shard) => {
                PeerReply::Explained(explanation::own_decision(&self.context, &service, shard))
            }
            PeerRequest::Nudge => {
                self.context.trigger_heartbeat();
                PeerReply::Nudged
            }
            PeerRequest::Handover(handover) => {
                PeerReply::HandoverTaken(record_handover::accept_record(&self.context, handover))
            }
        };
        reply.send(response);
    }
}

/// Returns the verdict for a request that exceeds the router's capacity.
#[must_use]
pub fn overloaded() -> RequestVerdict {
    RequestVerdict::NotRun(RefusalReason::Overloaded, crate::stages::RETRY_SOON)
}
