//! The member role: sends heartbeats, holds the lease and monitors the coordinator.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{CellRecord, Epoch, RenewalAnswer, ShardId, TakeoverStep, events};
use anvilrack_router::boot_clock;

use crate::guard::IncarnationState;
use crate::http_pool::within;
use crate::ownership::{cell_calls, cell_takeover, grant_maintainer};
use crate::peers::{MemberHeartbeat, MemberHeartbeatReply, PeerCall, PeerReply, RecordVersion};
use crate::{NodeState, PlatformDialect, emit_event};

/// Timeout of one heartbeat; allows a few round trips between regions.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(350);

/// Time between two attempts while there is no cell or no coordinator replies.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// Maintains this router's membership of its cell until the process ends.
pub async fn run_member<D: PlatformDialect>(node: Arc<NodeState<D>>) {
    let mut had_lease = false;
    let mut pause = node.lease_terms.heartbeat;
    loop {
        within(pause, node.member_updates.notified()).await;
        pause = SEARCH_INTERVAL;
        if !node.is_divided_by_key(&node.settings.service) || node.member().is_none() {
            continue;
        }
        let Some(cell) = node.cell(&node.settings.service) else {
            cell_takeover::find_or_create(&node).await;
            if node.cell(&node.settings.service).is_some() {
                // The lease should not wait for the next attempt.
                pause = Duration::ZERO;
            }
            continue;
        };
        let restarted = cell.coordinator == node.settings.node && node.coordinator().is_none();
        if restarted && !node.is_stopping() {
            cell_takeover::take_over(&node, &cell, TakeoverStep::Wait).await;
            continue;
        }
        if send_heartbeat(&node, &cell).await {
            pause = node.lease_terms.heartbeat;
        }
        let step = node.standby().step(&cell, boot_clock::now());
        if step != TakeoverStep::Wait && !node.is_stopping() {
            cell_takeover::take_over(&node, &cell, step).await;
        }
        had_lease = log_lease_change(&node, had_lease);
    }
}

/// Sends one heartbeat and applies the reply; returns whether the coordinator replied.
async fn send_heartbeat<D: PlatformDialect>(node: &Arc<NodeState<D>>, cell: &CellRecord) -> bool {
    grant_maintainer::release_former(node);
    let Some(report) = node.member_report() else {
        return false;
    };
    let heartbeat = MemberHeartbeat {
        service: cell.service.clone(),
        report,
        known: RecordVersion::new(cell),
    };
    let sent_at = boot_clock::now();
    let Some(reply) = ask_coordinator(node, cell, heartbeat).await else {
        return false;
    };
    if let Some(update) = reply.update {
        node.apply_cell_update(update);
    }
    let answer = reply.answer;
    node.standby().on_answer(boot_clock::now());
    let releases = stop_serving(node, &answer);
    if answer.renewed {
        node.owner()
            .on_renewal(sent_at, answer.epoch, answer.version);
        node.grant_updates.notify_one();
    }
    node.grants.forget_reassigned(&node.owner());
    resume_released_shards(node, answer.epoch, &answer.keep);
    for shard in releases {
        grant_maintainer::release_shard(node, shard);
    }
    true
}

/// Stops serving the held shards that the coordinator orders this router to release; returns them.
///
/// This happens before the renewal is applied, because another router may get the shards at any time. While the
/// lease is valid none can, so orders are left to a later reply as long as a release could not be reported yet.
fn stop_serving<D: PlatformDialect>(node: &NodeState<D>, answer: &RenewalAnswer) -> Vec<ShardId> {
    let now = boot_clock::now();
    let former_grants_pending = now < node.grants.holds().former_until();
    let mut owner = node.owner();
    if former_grants_pending && now < owner.lease_until() {
        return Vec::new();
    }
    let held: BTreeSet<ShardId> = owner.held().map(|(shard, _)| shard).collect();
    let ordered = answer.release.iter().map(|order| order.shard);
    let releases: Vec<ShardId> = ordered.filter(|shard| held.contains(shard)).collect();
    for shard in &releases {
        owner.release(*shard);
    }
    releases
}

/// Resumes serving released shards that the coordinator wants this router to keep, unless another
/// coordinator has taken over since.
fn resume_released_shards<D: PlatformDialect>(node: &NodeState<D>, epoch: Epoch, keep: &[ShardId]) {
    let serving = node
        .gateway
        .current_incarnation()
        .is_some_and(|target| target.state == IncarnationState::Serving);
    let mut owner = node.owner();
    let evacuated = node.must_release_keys(boot_clock::now());
    if keep.is_empty() || owner.epoch() != epoch || !serving || evacuated {
        return;
    }
    let released = node.grants.released().into_iter();
    for report in released.filter(|report| keep.contains(&report.shard)) {
        if owner.resume_shard(report.shard, report.token) {
            node.grants.withdraw_release(report.shard);
            emit_event!(
                Info,
                events::SHARD_KEPT,
                shard = report.shard,
                epoch = epoch
            );
        }
    }
    drop(owner);
    node.grant_updates.notify_one();
}

async fn ask_coordinator<D: PlatformDialect>(
    node: &Arc<NodeState<D>>,
    cell: &CellRecord,
    heartbeat: MemberHeartbeat,
) -> Option<MemberHeartbeatReply> {
    if cell.coordinator == node.settings.node {
        return cell_calls::handle_heartbeat(node, &heartbeat, boot_clock::now())
            .map(|reply| *reply);
    }
    let address = cell.member(&cell.coordinator)?.peer_address;
    let request = PeerCall::Heartbeat(Box::new(heartbeat));
    match node.links.call(address, &request, HEARTBEAT_TIMEOUT).await {
        Ok((PeerReply::Heartbeat(reply), _)) => Some(*reply),
        Ok((PeerReply::NotCoordinator(update), _)) => {
            match update {
                Some(update) => node.apply_cell_update(update),
                None => cell_takeover::find_or_create(node).await,
            }
            None
        }
        Ok(_) => None,
        Err(error) => {
            emit_event!(
                Info,
                events::PEER_LOST,
                peer = address.to_string(),
                about = "heartbeat",
                fault = error.to_string()
            );
            None
        }
    }
}

/// Logs that a lease began or expired; returns whether the lease is valid now.
fn log_lease_change<D: PlatformDialect>(node: &NodeState<D>, was_valid: bool) -> bool {
    let (is_valid, shards, epoch) = {
        let owner = node.owner();
        let is_valid = boot_clock::now() < owner.lease_until();
        (is_valid, owner.held().count(), owner.epoch())
    };
    if was_valid && !is_valid {
        emit_event!(Warn, events::LEASE_LAPSED, shards = shards, epoch = epoch);
    }
    if is_valid && !was_valid {
        emit_event!(Info, events::GRANT_TAKEN, shards = shards, epoch = epoch);
    }
    is_valid
}
