//! Handles calls from other routers about cells.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, Epoch, MemberReport, ServiceName, events};
use anvilrack_router::boot_clock;

use crate::http_pool::within;
use crate::ownership::{PackedCell, read_cell};
use crate::peers::{MemberHeartbeat, MemberHeartbeatReply, PeerCall, PeerReply, RecordVersion};
use crate::{NodeState, PlatformDialect, emit_event};

/// Timeout of the read that checks whether the store responds; well below the timeout of calls
/// between routers.
const STORE_PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Handles a call about a cell; calls about other subjects get [`PeerReply::Done`].
pub fn handle_call<D: PlatformDialect>(node: &Arc<NodeState<D>>, call: PeerCall) -> PeerReply {
    let now = boot_clock::now();
    match call {
        PeerCall::Heartbeat(heartbeat) => handle_heartbeat(node, &heartbeat, now).map_or_else(
            || not_coordinator_reply(node, &heartbeat),
            PeerReply::Heartbeat,
        ),
        PeerCall::Takeover(packed) => PeerReply::TakeoverSeen(apply_takeover(node, &packed)),
        PeerCall::Promise(service, epoch) => {
            let record = node.cell(&service);
            let promised = record.is_some_and(|r| node.standby().promise(&r, epoch, now));
            PeerReply::Promised(promised)
        }
        PeerCall::Cell(update) => {
            node.apply_cell_update(update);
            PeerReply::Done
        }
        PeerCall::PullCell(request) => PeerReply::Cell(node.newer_cell(&request)),
        PeerCall::Run(_)
        | PeerCall::Room(_)
        | PeerCall::Bar(..)
        | PeerCall::Entry(_)
        | PeerCall::PullEntry
        | PeerCall::Resign(..)
        | PeerCall::PullSite(_)
        | PeerCall::PullEntries
        | PeerCall::ReaderBeat(_)
        | PeerCall::ReaderNews(_)
        | PeerCall::Crashes(_)
        | PeerCall::Evacuations(..)
        | PeerCall::PullEvacuations
        | PeerCall::Departures(..)
        | PeerCall::PullDepartures(_) => PeerReply::Done,
    }
}

/// Handles a member's heartbeat; returns `None` if this router does not coordinate the member's cell.
pub fn handle_heartbeat<D: PlatformDialect>(
    node: &NodeState<D>,
    heartbeat: &MemberHeartbeat,
    now: BootTime,
) -> Option<Box<MemberHeartbeatReply>> {
    let mut coordinator = node.coordinator();
    let state = coordinator.as_mut()?;
    if state.record().service != heartbeat.service || state.is_superseded() {
        return None;
    }
    let answer = state.on_heartbeat(&heartbeat.report, now);
    let record = state.record();
    let update = (heartbeat.known < RecordVersion::new(record))
        .then(|| node.cell_update_from(heartbeat.known, record));
    drop(coordinator);
    if !heartbeat.report.released.is_empty() {
        node.coordinator_updates.notify_one();
    }
    Some(Box::new(MemberHeartbeatReply { answer, update }))
}

/// Accepts the coordinator role if this router is a standby and reaches the store at the moment.
///
/// A coordinator that cannot reach the store asks for this. If the store is down for every router, no
/// standby could take over, and accepting would leave the cell without a coordinator until the store
/// is back.
pub async fn accept_coordinator_role<D: PlatformDialect>(
    node: &Arc<NodeState<D>>,
    service: &ServiceName,
    epoch: Epoch,
) -> bool {
    let Some(cell) = node.cell(service) else {
        return false;
    };
    let stored = within(STORE_PROBE_TIMEOUT, read_cell(&node.store, service)).await;
    if !matches!(stored, Some(Ok(_))) || node.is_stopping() {
        return false;
    }
    let accepted = node.standby().on_resignation(&cell, epoch);
    if accepted {
        node.member_updates.notify_one();
    }
    accepted
}

/// Returns the reply to a heartbeat if this router does not coordinate the cell.
fn not_coordinator_reply<D: PlatformDialect>(
    node: &NodeState<D>,
    heartbeat: &MemberHeartbeat,
) -> PeerReply {
    let cell = node.cell(&heartbeat.service);
    let newer = cell.filter(|cell| heartbeat.known < RecordVersion::new(cell));
    PeerReply::NotCoordinator(newer.map(|cell| node.cell_update_from(heartbeat.known, &cell)))
}

/// Switches to the new epoch immediately; returns a report if this router is a member of the cell.
fn apply_takeover<D: PlatformDialect>(
    node: &Arc<NodeState<D>>,
    packed: &PackedCell,
) -> Option<MemberReport> {
    let record = packed.unpack();
    let epoch = record.epoch;
    if record.service != node.settings.service {
        node.store_cell_record(record);
        return None;
    }
    emit_event!(
        Info,
        events::CELL_TAKEN_OVER,
        service = &*record.service,
        epoch = epoch,
        coordinator = &*record.coordinator
    );
    node.store_cell_record(record);
    if !node.owner().on_takeover(epoch) {
        return None;
    }
    node.standby().on_answer(boot_clock::now());
    node.member_report()
}
