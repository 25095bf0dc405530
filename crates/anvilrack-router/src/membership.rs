//! This router as a member of its cell: heartbeats, grants and the lease.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anvilrack_core::{
    BootTime, CellRecord, ReleaseOrder, ReleaseReport, RenewalAnswer, ServiceName, TakeoverStep,
    events,
};
use anvilrack_peer::LinkClass;
use anvilrack_wire::{HeartbeatReply, HeartbeatRequest, PeerReply, PeerRequest};
use rand::Rng;

use crate::router_context::RouterContext;
use crate::store_records::read_cell;
use crate::{boot_clock, log_event, takeover};

/// Time for one heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two reads of the store by a member that has no coordinator.
const STORE_READ_EVERY: Duration = Duration::from_secs(1);

/// Longest time a release waits for requests in flight.
const RELEASE_LIMIT: Duration = Duration::from_secs(10);

/// How often a release looks whether the last request has ended.
const RELEASE_STEP: Duration = Duration::from_millis(2);

/// Keeps this router a member of its cell until the process ends.
pub fn run(context: &Arc<RouterContext>) {
    let mut last_read = BootTime::ZERO;
    let mut had_lease = false;
    while context.pause_or_nudge(context.terms.heartbeat) {
        let Some(service) = context.service() else {
            continue;
        };
        let beaten = match context.own_cell() {
            Some(cell) => beat(context, &service, &cell),
            None => false,
        };
        let now = boot_clock::now();
        if !beaten && now > last_read + STORE_READ_EVERY {
            let jitter = rand::rng().random_range(0.0..0.5);
            last_read = now + STORE_READ_EVERY.mul_f64(jitter);
            learn_cell(context, &service);
        }
        consider_takeover(context, &service);
        had_lease = tell_lease(context, had_lease);
    }
}

/// Sends one heartbeat and takes its answer; says whether the coordinator answered.
fn beat(context: &Arc<RouterContext>, service: &ServiceName, cell: &CellRecord) -> bool {
    let request = HeartbeatRequest {
        service: service.clone(),
        report: context.report(),
        digest: context.beat_digest(service),
    };
    let sent_at = boot_clock::now();
    let Some(reply) = ask_coordinator(context, cell, request) else {
        return false;
    };
    context.accept_update(reply.update);
    let answer = reply.answer;
    context.standby().on_answer(boot_clock::now());
    if answer.renewed {
        context
            .owner()
            .on_renewal(sent_at, answer.epoch, answer.version);
    }
    forget_taken_shards(context);
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
    })
}

/// Finds the cell in the store, or creates it.
fn learn_cell(context: &Arc<RouterContext>, service: &ServiceName) {
    match read_cell(&context.store, service) {
        Ok((Some(record), _)) => context.accept_cell(Arc::new(record)),
        Ok((None, index)) => takeover::create_cell(context, service, index),
        Err(error) => log::debug!("cannot read the cell: {error}"),
    }
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

fn forget_taken_shards(context: &RouterContext) {
    let named: Vec<_> = context.owner().released().collect();
    context
        .releases
        .retain(|shard, token| named.contains(&(shard, token)));
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
fn release_shard(context: &RouterContext, order: &ReleaseOrder) {
    let Some(token) = context.owner().release(order.shard) else {
        return;
    };
    let until = boot_clock::now() + RELEASE_LIMIT;
    while context.releases.is_busy(order.shard) && boot_clock::now() < until {
        thread::sleep(RELEASE_STEP);
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
        record_at: None,
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
