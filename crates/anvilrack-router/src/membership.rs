//! This router as a member of its cell: heartbeats, grants and the lease.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anvilrack_core::{
    CellRecord, Epoch, ReleaseOrder, ReleaseReport, RenewalAnswer, ServiceName, ShardId,
    TakeoverStep, events,
};
use anvilrack_peer::LinkClass;
use anvilrack_wire::{HeartbeatReply, HeartbeatRequest, PeerReply, PeerRequest};

use crate::cell_reader::CellReader;
use crate::router_context::RouterContext;
use crate::{boot_clock, log_event, record_handover, takeover};

/// Time between two heartbeats of a standby whose coordinator does not answer.
const STANDBY_STEP: Duration = Duration::from_millis(40);

/// Time for one heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(300);

/// How often a release looks whether the last request has ended.
const RELEASE_STEP: Duration = Duration::from_millis(2);

/// Keeps this router a member of its cell until the process ends.
pub fn run(context: &Arc<RouterContext>) {
    let mut reader = CellReader::default();
    let mut had_lease = false;
    let mut pause = context.terms.heartbeat;
    while context.pause_or_nudge(pause) {
        let Some(service) = context.service() else {
            continue;
        };
        let beaten = match context.own_cell() {
            Some(cell) => beat(context, &service, &cell),
            None => false,
        };
        pause = pause_after(context, beaten);
        reader.step(context, &service, beaten);
        consider_takeover(context, &service);
        had_lease = tell_lease(context, had_lease);
    }
}

/// Time until the next heartbeat: a standby whose coordinator is silent looks more often.
fn pause_after(context: &RouterContext, beaten: bool) -> Duration {
    let cell = context.own_cell();
    let is_standby = cell.is_some_and(|cell| context.standby().is_named(&cell));
    if is_standby && !beaten {
        STANDBY_STEP
    } else {
        context.terms.heartbeat
    }
}

/// Sends one heartbeat and takes its answer; says whether the coordinator answered.
fn beat(context: &Arc<RouterContext>, service: &ServiceName, cell: &CellRecord) -> bool {
    let request = HeartbeatRequest {
        service: service.clone(),
        report: context.report(),
        crashes: context.crashes.report(),
        digest: context.beat_digest(service),
    };
    let sent_at = boot_clock::now();
    let Some(reply) = ask_coordinator(context, cell, request) else {
        return false;
    };
    // Before the record: a shard must not come here without word of what crashed its last owner.
    context.crashes.on_reply(&reply.crashes);
    context.accept_update(reply.update);
    let answer = reply.answer;
    context.standby().on_answer(boot_clock::now());
    if answer.renewed {
        context
            .owner()
            .on_renewal(sent_at, answer.epoch, answer.version);
    }
    forget_taken_shards(context);
    serve_again(context, answer.epoch, &answer.keep);
    start_releases(context, answer);
    true
}

fn ask_coordinator(
    context: &RouterContext,
    cell: &CellRecord,
    request: HeartbeatRequest,
) -> Option<HeartbeatReply> {
    if cell.coordinator == *context.node() {
        return answer_heartbeat(context, &request);
    }
    let address = cell.member(&cell.coordinator)?.peer_address;
    let request = PeerRequest::Heartbeat(request);
    match context
        .links
        .call(address, LinkClass::Control, &request, HEARTBEAT_TIMEOUT)
    {
        Ok(PeerReply::Heartbeat(reply)) => Some(*reply),
        Ok(PeerReply::NotCoordinator(update)) => {
            context.accept_update(update);
            None
        }
        Ok(_) => None,
        Err(error) => {
            log_event!(Debug, events::PEER_LOST, "peer" = address, "error" = error);
            None
        }
    }
}

/// Answers a member's heartbeat where this router coordinates that cell.
pub fn answer_heartbeat(
    context: &RouterContext,
    request: &HeartbeatRequest,
) -> Option<HeartbeatReply> {
    let now = boot_clock::now();
    let mut coordinator = context.coordinator();
    let state = coordinator.as_mut()?;
    if state.record().service != request.service || state.is_superseded() {
        return None;
    }
    let answer = state.on_heartbeat(&request.report, now);
    drop(coordinator);
    Some(HeartbeatReply {
        answer,
        update: context.update_for(&request.digest),
        crashes: context.crashes.on_report(&request.crashes),
    })
}

fn consider_takeover(context: &Arc<RouterContext>, service: &ServiceName) {
    let Some(cell) = context.own_cell() else {
        return;
    };
    let step = context.standby().step(&cell, boot_clock::now());
    if step != TakeoverStep::Wait {
        takeover::take_over(context, service, &cell, step);
    }
}

// --- releases -----------------------------------------------------------------------------------

/// Forgets the releases of shards that no record names this router for any more.
///
/// The owner stays locked meanwhile: a shard that is released between the two steps would be
/// forgotten, and then nobody could ever have it.
fn forget_taken_shards(context: &RouterContext) {
    let owner = context.owner();
    let named: Vec<_> = owner.released().collect();
    context
        .releases
        .retain(|shard, token| named.contains(&(shard, token)));
}

/// Serves what was given back again, unless another coordinator has taken over since.
fn serve_again(context: &RouterContext, epoch: Epoch, keep: &[ShardId]) {
    let mut owner = context.owner();
    if owner.epoch() != epoch || context.is_leaving() {
        return;
    }
    let released = context.releases.reports().into_iter();
    for report in released.filter(|report| keep.contains(&report.shard)) {
        if owner.take_back(report.shard, report.token) {
            context.releases.withdraw(report.shard);
            log_event!(Info, events::SHARD_KEPT, "shard" = report.shard);
        }
    }
}

fn start_releases(context: &Arc<RouterContext>, answer: RenewalAnswer) {
    for order in answer.release {
        let held = context
            .owner()
            .held()
            .any(|(shard, _)| shard == order.shard);
        if held {
            let context = context.clone();
            thread::spawn(move || release_shard(&context, &order));
        }
    }
}

/// Stops serving a shard, waits for its last request, and remembers it as given back.
///
/// Each request has a deadline, so the wait ends; a shard with work on it is never given back.
fn release_shard(context: &RouterContext, order: &ReleaseOrder) {
    let lost_at = context.owner().record_lost_at(order.shard);
    let Some(token) = context.owner().release(order.shard) else {
        return;
    };
    while context.releases.is_busy(order.shard) {
        if !context.pause(RELEASE_STEP) {
            return;
        }
    }
    let successor = &order.successor.node;
    log_event!(
        Info,
        events::SHARD_RELEASED,
        "shard" = order.shard,
        "successor" = successor
    );
    context.releases.release(ReleaseReport {
        shard: order.shard,
        token,
        record_at: record_handover::hand_over(context, order, token, lost_at),
        handover: None,
    });
    context.nudge();
}

/// Tells of a lease that began or lapsed; returns whether it runs now.
fn tell_lease(context: &RouterContext, before: bool) -> bool {
    let runs = boot_clock::now() < context.owner().lease_until();
    if before && !runs {
        log_event!(Warn, events::LEASE_LAPSED, "node" = context.node());
    }
    if runs && !before {
        let shards = context.owner().held().count();
        log_event!(Info, events::GRANT_TAKEN, "shards" = shards);
    }
    runs
}
