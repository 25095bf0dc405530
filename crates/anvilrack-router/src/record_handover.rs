//! Transfers the at-most-once record of a shard to its next owner.

use std::time::Duration;

use anvilrack_core::{
    AtMostOnceKey, BootTime, ExportedRun, ExportedShard, FencingToken, Incarnation, NodeId,
    ReleaseOrder, RequestVerdict, RunOutcome, ServiceName, ShardId, events,
};
use anvilrack_peer::LinkClass;
use anvilrack_wire::{
    ForwardReply, PeerReply, PeerRequest, RecordEntry, RecordHandover, RecordOutcome,
};

use crate::log_event;
use crate::router_context::RouterContext;

/// Timeout for the next owner to accept the record.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends the record of a released shard to the shard's next owner; returns that owner, or `None` if
/// it did not accept the record.
///
/// Must only be called once no further request of the shard can start.
#[must_use]
pub fn hand_over(
    context: &RouterContext,
    order: &ReleaseOrder,
    token: FencingToken,
    record_lost_at: Option<BootTime>,
) -> Option<(NodeId, Incarnation)> {
    let service = context.service()?;
    let successor = &order.successor;
    let exported = context
        .at_most_once_record
        .export(order.shard, record_lost_at);
    let entries = exported.runs.len();
    let handover = to_message(service, order.shard, token, exported);
    let request = PeerRequest::Handover(handover);
    let reply = context.links.call(
        successor.peer_address,
        LinkClass::Request,
        &request,
        HANDOVER_TIMEOUT,
    );
    let accepted = matches!(reply, Ok(PeerReply::HandoverTaken(true)));
    let (shard, node) = (order.shard, &successor.node);
    if !accepted {
        log_event!(
            Warn,
            events::RECORD_NOT_TAKEN,
            "shard" = shard,
            "successor" = node
        );
        return None;
    }
    log_event!(
        Info,
        events::RECORD_HANDED_OVER,
        "shard" = shard,
        "successor" = node,
        "entries" = entries
    );
    Some((successor.node.clone(), successor.incarnation))
}

/// Imports the record of a shard that is about to move to this router; returns whether all of it
/// was imported.
#[must_use]
pub fn accept_record(context: &RouterContext, handover: RecordHandover) -> bool {
    if context.service().as_ref() != Some(&handover.service) {
        return false;
    }
    let (shard, entries) = (handover.shard, handover.entries.len());
    let imported = context
        .at_most_once_record
        .import(shard, from_message(handover));
    if imported {
        log_event!(
            Info,
            events::RECORD_TAKEN,
            "shard" = shard,
            "entries" = entries
        );
    }
    imported
}

fn to_message(
    service: ServiceName,
    shard: ShardId,
    token: FencingToken,
    exported: ExportedShard,
) -> RecordHandover {
    let entries = exported.runs.into_iter().map(|run| RecordEntry {
        key: run.key.key,
        idempotency_key: run.key.idempotency_key,
        fingerprint: run.fingerprint,
        age: run.age,
        outcome: match run.outcome {
            RunOutcome::Done(response) => {
                RecordOutcome::Done(ForwardReply::from(RequestVerdict::Ran(response)))
            }
            RunOutcome::Unknown(reason) => RecordOutcome::Unknown(reason),
        },
    });
    RecordHandover {
        service,
        shard,
        token,
        entries: entries.collect(),
        lost_age: exported.lost_age,
    }
}

fn from_message(handover: RecordHandover) -> ExportedShard {
    let service = handover.service;
    let runs = handover.entries.into_iter().map(|entry| ExportedRun {
        key: AtMostOnceKey {
            service: service.clone(),
            key: entry.key,
            idempotency_key: entry.idempotency_key,
        },
        fingerprint: entry.fingerprint,
        age: entry.age,
        outcome: match entry.outcome {
            RecordOutcome::Done(reply) => match reply.into() {
                RequestVerdict::Ran(response) => RunOutcome::Done(response),
                RequestVerdict::MayHaveRun(reason) => RunOutcome::Unknown(reason),
                RequestVerdict::NotRun(..) => {
                    RunOutcome::Unknown(anvilrack_core::UncertainReason::RecordLost)
                }
            },
            RecordOutcome::Unknown(reason) => RunOutcome::Unknown(reason),
        },
    });
    ExportedShard {
        runs: runs.collect(),
        lost_age: handover.lost_age,
    }
}
