//! Membership in the cell: heartbeats to the coordinator, the lease, and the release of shards.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anvilrack_core::{
    CellRecord, Epoch, ReleaseOrder, ReleaseReport, ServiceName, ShardId, TakeoverStep, events,
};
use anvilrack_peer::LinkClass;
use anvilrack_wire::{HeartbeatReply, HeartbeatRequest, PeerReply, PeerRequest};

use crate::cell_reader::CellReader;
use crate::router_context::RouterContext;
use crate::{boot_clock, log_event, record_handover, takeover};

/// Interval between the heartbeats of a standby whose coordinator does not reply.
const STANDBY_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(40);

/// Timeout for one heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which a release checks whether the shard's last request has ended.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Sends heartbeats, and takes over the cell when that is due, until the process ends.
pub fn run(context: &Arc<RouterContext>) {
    let mut reader = CellReader::default();
    let mut had_lease = false;
    let mut pause = context.terms.heartbeat;
    while context.wait_for_trigger(pause) {
        let Some(service) = context.service() else {
            continue;
        };
        let acknowledged = match context.own_cell() {
            Some(cell) => send_heartbeat(context, &service, &cell),
            None => false,
        };
        pause = heartbeat_interval(context, acknowledged);
        reader.step(context, &service, acknowledged);
        take_over_if_due(context, &service);
        had_lease = log_lease_change(context, had_lease);
    }
}

/// Returns the time until the next heartbeat; a standby sends them more often while its coordinator
/// is silent.
fn heartbeat_interval(context: &RouterContext, acknowledged: bool) -> Duration {
    let cell = context.own_cell();
    let is_standby = cell.is_some_and(|cell| context.standby().is_named_standby(&cell));
    if is_standby && !acknowledged {
        STANDBY_HEARTBEAT_INTERVAL
    } else {
        context.terms.heartbeat
    }
}

/// Sends one heartbeat and applies the reply; returns whether the coordinator replied.
fn send_heartbeat(context: &Arc<RouterContext>, service: &ServiceName, cell: &CellRecord) -> bool {
    let request = HeartbeatRequest {
        service: service.clone(),
        report: context.report(),
        crashes: context.crash_quarantine.report(),
        digest: context.heartbeat_digest(service),
    };
    let sent_at = boot_clock::now();
    let Some(reply) = call_coordinator(context, cell, request) else {
        return false;
    };
    // Before the record: this router must not receive a shard without the reports of the requests
    // that crashed its previous owner's target.
    context
        .crash_quarantine
        .merge_coordinator_reply(&reply.crashes);
    context.accept_update(reply.update);
    let answer = reply.answer;
    context.standby().on_answer(boot_clock::now());
    let releases = stop_serving(context, answer.release);
    if answer.renewed {
        context
            .owner()
            .on_renewal(sent_at, answer.epoch, answer.version);
    }
    forget_reassigned_releases(context);
    resume_kept_shards(context, answer.epoch, &answer.keep);
    for order in releases {
        let context = context.clone();
        thread::spawn(move || release_shard(&context, &order));
    }
    true
}

fn call_coordinator(
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

/// Handles a member's heartbeat; returns `None` if this router does not coordinate the cell.
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
        crashes: context
            .crash_quarantine
            .merge_member_report(&request.crashes),
    })
}

fn take_over_if_due(context: &Arc<RouterContext>, service: &ServiceName) {
    let Some(cell) = context.own_cell() else {
        return;
    };
    let step = context.standby().step(&cell, boot_clock::now());
    if step != TakeoverStep::Wait {
        takeover::take_over(context, service, &cell, step);
    }
}

// --- releases -----------------------------------------------------------------------------------

/// Forgets the releases of shards that the cell's record no longer assigns to this router.
///
/// The owner state stays locked throughout: a shard released between the two steps would be
/// forgotten, and the coordinator could then never grant it again.
fn forget_reassigned_releases(context: &RouterContext) {
    let owner = context.owner();
    let assigned: Vec<_> = owner.released().collect();
    context
        .releases
        .retain(|shard, token| assigned.contains(&(shard, token)));
}

/// Serves released shards again that the coordinator returns to this router, unless another
/// coordinator has taken over since.
fn resume_kept_shards(context: &RouterContext, epoch: Epoch, keep: &[ShardId]) {
    let mut owner = context.owner();
    if owner.epoch() != epoch || context.is_leaving() {
        return;
    }
    let released = context.releases.reports().into_iter();
    for report in released.filter(|report| keep.contains(&report.shard)) {
        if owner.resume_shard(report.shard, report.token) {
            context.releases.cancel_release(report.shard);
            log_event!(Info, events::SHARD_KEPT, "shard" = report.shard);
        }
    }
}

/// Stops serving the held shards that the coordinator orders this router to release; returns these orders.
///
/// This happens before the renewal is applied, because another router may get the shards at any time.
fn stop_serving(context: &RouterContext, orders: Vec<ReleaseOrder>) -> Vec<ReleaseOrder> {
    let mut owner = context.owner();
    let held: BTreeSet<ShardId> = owner.held().map(|(shard, _)| shard).collect();
    let orders = orders.into_iter();
    let releases: Vec<_> = orders.filter(|order| held.contains(&order.shard)).collect();
    for order in &releases {
        owner.release(order.shard);
    }
    releases
}

/// Stops serving a shard, waits for its last request, hands over its at-most-once record and
/// records the release for the next heartbeat.
///
/// The wait is bounded because each request has a deadline; a shard with requests in flight is
/// never released.
fn release_shard(context: &RouterContext, order: &ReleaseOrder) {
    let lost_at = context.owner().record_lost_at(order.shard);
    let Some(token) = context.owner().release(order.shard) else {
        return;
    };
    while context.releases.is_busy(order.shard) {
        if !context.pause(RELEASE_POLL_INTERVAL) {
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
    context.trigger_heartbeat();
}

/// Logs a lease that was granted or has expired; returns whether it is valid now.
fn log_lease_change(context: &RouterContext, was_valid: bool) -> bool {
    let is_valid = boot_clock::now() < context.owner().lease_until();
    if was_valid && !is_valid {
        log_event!(Warn, events::LEASE_LAPSED, "node" = context.node());
    }
    if is_valid && !was_valid {
        let shards = context.owner().held().count();
        log_event!(Info, events::GRANT_TAKEN, "shards" = shards);
    }
    is_valid
}
