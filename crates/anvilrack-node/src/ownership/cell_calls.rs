//! Answers to other routers about cells.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, Epoch, MemberReport, ServiceName, events};
use anvilrack_router::boot_clock;

use crate::http_pool::within;
use crate::ownership::{PackedCell, read_cell};
use crate::peers::{BeatReply, MemberBeat, PeerCall, PeerReply, RecordMark};
use crate::{NodeShared, PlatformDialect, tell};

/// Time for the store to show that it answers; well below the time for a call between routers.
const STORE_PROBE: Duration = Duration::from_millis(250);

/// Answers a call about a cell.
pub fn answer<D: PlatformDialect>(node: &Arc<NodeShared<D>>, call: PeerCall) -> PeerReply {
    let now = boot_clock::now();
    match call {
        PeerCall::Heartbeat(beat) => answer_beat(node, &beat, now)
            .map_or_else(|| not_coordinator(node, &beat), PeerReply::Heartbeat),
        PeerCall::Takeover(packed) => PeerReply::TakeoverSeen(see_takeover(node, &packed)),
        PeerCall::Promise(service, epoch) => {
            let record = node.cell(&service);
            let promised = record.is_some_and(|r| node.standby().promise(&r, epoch, now));
            PeerReply::Promised(promised)
        }
        PeerCall::Cell(update) => {
            node.take_update(update);
            PeerReply::Done
        }
        PeerCall::PullCell(service) => {
            PeerReply::Cell(node.cell(&service).map(|cell| PackedCell::new(&cell)))
        }
        PeerCall::Run(_)
        | PeerCall::Room(_)
        | PeerCall::Bar(_)
        | PeerCall::Entry(_)
        | PeerCall::PullEntry
        | PeerCall::Resign(..)
        | PeerCall::PullView { .. }
        | PeerCall::ReaderBeat(_)
        | PeerCall::ReaderNews(_) => PeerReply::Done,
    }
}

/// Answers a member where this router coordinates its cell.
pub fn answer_beat<D: PlatformDialect>(
    node: &NodeShared<D>,
    beat: &MemberBeat,
    now: BootTime,
) -> Option<Box<BeatReply>> {
    let mut coordinator = node.coordinator();
    let state = coordinator.as_mut()?;
    if state.record().service != beat.service || state.is_superseded() {
        return None;
    }
    let answer = state.on_heartbeat(&beat.report, now);
    let record = state.record();
    let update =
        (beat.known < RecordMark::new(record)).then(|| node.update_from(beat.known, record));
    drop(coordinator);
    if !beat.report.released.is_empty() {
        node.coordinator_news.notify_one();
    }
    Some(Box::new(BeatReply { answer, update }))
}

/// Takes the office over if this router is a standby and reaches the store right now.
///
/// A coordinator that the store does not answer asks this. In an outage for all, nobody could take the
/// office over, and the cell would be without a coordinator until the store is back.
pub async fn accept_office<D: PlatformDialect>(
    node: &Arc<NodeShared<D>>,
    service: &ServiceName,
    epoch: Epoch,
) -> bool {
    let Some(cell) = node.cell(service) else {
        return false;
    };
    let stored = within(STORE_PROBE, read_cell(&node.store, service)).await;
    if !matches!(stored, Some(Ok(_))) || node.is_stopping() {
        return false;
    }
    let accepted = node.standby().on_resignation(&cell, epoch);
    if accepted {
        node.member_news.notify_one();
    }
    accepted
}

fn not_coordinator<D: PlatformDialect>(node: &NodeShared<D>, beat: &MemberBeat) -> PeerReply {
    let cell = node.cell(&beat.service);
    let newer = cell.filter(|cell| beat.known < RecordMark::new(cell));
    PeerReply::NotCoordinator(newer.map(|cell| node.update_from(beat.known, &cell)))
}

/// Moves to the new epoch at once; a member of the cell reports what it is.
fn see_takeover<D: PlatformDialect>(
    node: &Arc<NodeShared<D>>,
    packed: &PackedCell,
) -> Option<MemberReport> {
    let record = packed.unpack();
    let epoch = record.epoch;
    if record.service != node.settings.service {
        node.take_cell(record);
        return None;
    }
    tell!(
        Info,
        events::CELL_TAKEN_OVER,
        service = &*record.service,
        epoch = epoch,
        coordinator = &*record.coordinator
    );
    node.take_cell(record);
    if !node.owner().on_takeover(epoch) {
        return None;
    }
    node.standby().on_answer(boot_clock::now());
    node.member_report()
}
