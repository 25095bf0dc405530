//! The threads that a router runs while it coordinates its cell.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anvilrack_core::{CellRecord, Epoch, NodeId, events};
use anvilrack_peer::LinkClass;
use anvilrack_wire::{PeerReply, PeerRequest, TakeoverAnnouncement};

use crate::coordinator_handle::CoordinatorHandle;
use crate::record_writer::RecordWriter;
use crate::router_context::RouterContext;
use crate::store_records::read_cell;
use crate::{boot_clock, config_watch, log_event, reachability_check};

/// Interval between two steps of the record writer, and between two checks for a successor.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between two rounds of requests for promises.
const PROMISE_INTERVAL: Duration = Duration::from_millis(150);

/// Time without a response from the store after which promises are requested.
///
/// While the store responds there are none, because a standby that has given a promise takes over
/// later.
const STORE_SILENCE_BEFORE_PROMISES: Duration = Duration::from_millis(350);

/// Timeout for one call to a router of the cell.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout for a standby to take the cell over after a resignation.
const RESIGN_TIMEOUT: Duration = Duration::from_secs(1);

/// Coordinates the cell in this epoch until another router takes it over or the process ends.
pub fn run(context: &Arc<RouterContext>, epoch: Epoch) {
    let handle = CoordinatorHandle::new(context.clone(), epoch);
    let threads: [fn(&CoordinatorHandle); 4] = [
        announce_epoch,
        renew_promises,
        config_watch::run,
        reachability_check::run,
    ];
    for thread in threads {
        let handle = handle.clone();
        thread::spawn(move || thread(&handle));
    }
    let mut writer = RecordWriter::default();
    while context.pause(STEP_INTERVAL) {
        if !writer.step(&handle) {
            step_down(context, handle);
            return;
        }
    }
}

/// Announces the new epoch to every router of the cell; each report in a reply counts as a
/// heartbeat, so that its member is not treated as silent.
fn announce_epoch(handle: &CoordinatorHandle) {
    let Some(record) = handle.record() else {
        return;
    };
    let record = Arc::new(record);
    let request = PeerRequest::Takeover(TakeoverAnnouncement {
        record: record.clone(),
    });
    let context = &handle.context;
    let addresses = peers_of(context, &record);
    let replies = context
        .links
        .call_all(&addresses, LinkClass::Control, &request, CALL_TIMEOUT);
    let now = boot_clock::now();
    for reply in replies.into_iter().flatten() {
        if let PeerReply::TakeoverSeen(Some(report)) = reply {
            handle.with_state(|state| state.on_heartbeat(&report, now));
        }
    }
}

fn peers_of(context: &RouterContext, record: &CellRecord) -> Vec<SocketAddr> {
    let others = record
        .members
        .iter()
        .filter(|member| member.node != *context.node());
    others.map(|member| member.peer_address).collect()
}

fn step_down(context: &RouterContext, handle: CoordinatorHandle) {
    let Some(record) = handle.close() else {
        return;
    };
    let service = &record.service;
    log_event!(Warn, events::CELL_SUPERSEDED, "service" = service);
    if let Ok((Some(record), _)) = read_cell(&context.store, service) {
        context.accept_cell(Arc::new(record));
    }
}

/// Hands the cell over to a standby before this process stops; returns whether a standby has taken
/// it over.
///
/// The members follow the new coordinator within a few milliseconds, so no lease expires and no
/// router waits for a silent coordinator. If no standby replies, the cell is taken over as after
/// the loss of a coordinator.
pub fn resign(context: &RouterContext) -> bool {
    let Some(state) = context.coordinator().take() else {
        return false;
    };
    let record = state.record();
    let request = PeerRequest::Resign(record.service.clone(), record.epoch);
    let standbys = record.standbys.iter();
    let addresses = standbys.filter_map(|node| Some(record.member(node)?.peer_address));
    for address in addresses {
        let reply = context
            .links
            .call(address, LinkClass::Control, &request, CALL_TIMEOUT);
        if matches!(reply, Ok(PeerReply::Resigned(true))) && wait_for_successor(context, record) {
            log_event!(Info, events::CELL_RESIGNED, "service" = record.service);
            return true;
        }
    }
    false
}

fn wait_for_successor(context: &RouterContext, record: &CellRecord) -> bool {
    let deadline = boot_clock::now() + RESIGN_TIMEOUT;
    while boot_clock::now() < deadline {
        let successor = context.routes().cell(&record.service).cloned();
        if successor.is_some_and(|cell| cell.epoch > record.epoch) {
            return true;
        }
        if !context.pause(STEP_INTERVAL) {
            break;
        }
    }
    false
}

// --- promises -----------------------------------------------------------------------------------

/// Asks the standbys periodically not to take over while the store does not respond, so that the
/// promises are in place before the authority that the store confirmed expires.
fn renew_promises(handle: &CoordinatorHandle) {
    while handle.context.pause(PROMISE_INTERVAL) {
        let Some(record) = handle.record() else {
            return;
        };
        let snapshot = handle.with_state(|state| (state.successors(), state.last_store_contact()));
        let Some((successors, last_contact)) = snapshot else {
            return;
        };
        if boot_clock::now() >= last_contact + STORE_SILENCE_BEFORE_PROMISES {
            request_promises(handle, &record, successors);
        }
    }
}

fn request_promises(handle: &CoordinatorHandle, record: &CellRecord, successors: Vec<NodeId>) {
    let request = PeerRequest::Promise(record.service.clone(), record.epoch);
    let standbys: Vec<_> = successors
        .into_iter()
        .filter_map(|node| Some((record.member(&node)?.peer_address, node)))
        .collect();
    let addresses: Vec<_> = standbys.iter().map(|(address, _)| *address).collect();
    let sent_at = boot_clock::now();
    let links = &handle.context.links;
    let replies = links.call_all(&addresses, LinkClass::Control, &request, CALL_TIMEOUT);
    for (reply, (_, node)) in replies.into_iter().zip(standbys) {
        if matches!(reply, Ok(PeerReply::Promised(true))) {
            handle.with_state(|state| state.on_promise(&node, sent_at));
        }
    }
}
