//! This router as the coordinator of its cell.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anvilrack_core::{CellRecord, Epoch, NodeId, events};
use anvilrack_peer::LinkClass;
use anvilrack_wire::{PeerReply, PeerRequest, TakeoverCall};

use crate::coordinator_term::CoordinatorTerm;
use crate::record_writer::RecordWriter;
use crate::router_context::RouterContext;
use crate::store_records::read_cell;
use crate::{boot_clock, config_watch, log_event, reach_check};

/// Time between two looks at what is to be done.
const STEP: Duration = Duration::from_millis(50);

/// Time between two rounds of promises.
const PROMISE_EVERY: Duration = Duration::from_millis(150);

/// The store is silent for this long before promises are asked for.
///
/// In ordinary times there are none, since a standby that promised takes over later.
const PROMISE_AFTER: Duration = Duration::from_millis(350);

/// Time for one call to a router of the cell.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for a standby to take the office that it was offered.
const RESIGN_LIMIT: Duration = Duration::from_secs(1);

/// Runs the cell under that epoch until another router takes it over or the process ends.
pub fn run(context: &Arc<RouterContext>, epoch: Epoch) {
    let term = CoordinatorTerm::new(context.clone(), epoch);
    let threads: [fn(&CoordinatorTerm); 4] = [
        call_members,
        keep_promises,
        config_watch::run,
        reach_check::run,
    ];
    for thread in threads {
        let term = term.clone();
        thread::spawn(move || thread(&term));
    }
    let mut writer = RecordWriter::default();
    while context.pause(STEP) {
        if !writer.step(&term) {
            stand_down(context, term);
            return;
        }
    }
}

/// Tells every router of the cell about the new epoch; those that answer are not in doubt.
fn call_members(term: &CoordinatorTerm) {
    let Some(record) = term.record() else {
        return;
    };
    let record = Arc::new(record);
    let request = PeerRequest::Takeover(TakeoverCall {
        record: record.clone(),
    });
    let context = &term.context;
    let addresses = peers_of(context, &record);
    let answers = context
        .links
        .call_all(&addresses, LinkClass::Control, &request, CALL_TIMEOUT);
    let now = boot_clock::now();
    for answer in answers.into_iter().flatten() {
        if let PeerReply::TakeoverSeen(Some(report)) = answer {
            term.with_state(|state| state.on_heartbeat(&report, now));
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

fn stand_down(context: &RouterContext, term: CoordinatorTerm) {
    let Some(record) = term.close() else {
        return;
    };
    let service = &record.service;
    log_event!(Warn, events::CELL_SUPERSEDED, "service" = service);
    if let Ok((Some(record), _)) = read_cell(&context.store, service) {
        context.accept_cell(Arc::new(record));
    }
}

/// Hands the office to a standby before this process stops; says whether one has taken it.
///
/// The members change over within a few milliseconds, so no lease lapses and no silence is waited
/// for. Where no standby answers, the cell goes the way it goes when a coordinator is lost.
pub fn resign(context: &RouterContext) -> bool {
    let Some(state) = context.coordinator().take() else {
        return false;
    };
    let record = state.record();
    let request = PeerRequest::Resign(record.service.clone(), record.epoch);
    let standbys = record.standbys.iter();
    let addresses = standbys.filter_map(|node| Some(record.member(node)?.peer_address));
    for address in addresses {
        let answer = context
            .links
            .call(address, LinkClass::Control, &request, CALL_TIMEOUT);
        if matches!(answer, Ok(PeerReply::Resigned(true))) && await_successor(context, record) {
            log_event!(Info, events::CELL_RESIGNED, "service" = record.service);
            return true;
        }
    }
    false
}

fn await_successor(context: &RouterContext, record: &CellRecord) -> bool {
    let until = boot_clock::now() + RESIGN_LIMIT;
    while boot_clock::now() < until {
        let successor = context.routes().cell(&record.service).cloned();
        if successor.is_some_and(|cell| cell.epoch > record.epoch) {
            return true;
        }
        if !context.pause(STEP) {
            break;
        }
    }
    false
}

// --- promises -----------------------------------------------------------------------------------

/// Asks the standbys not to take over while the store is silent, again and again, so that the
/// promises are in place before the authority from the store ends.
fn keep_promises(term: &CoordinatorTerm) {
    while term.context.pause(PROMISE_EVERY) {
        let Some(record) = term.record() else {
            return;
        };
        let asked = term.with_state(|state| (state.successors(), state.last_store_contact()));
        let Some((successors, contact)) = asked else {
            return;
        };
        if boot_clock::now() >= contact + PROMISE_AFTER {
            ask_promises(term, &record, successors);
        }
    }
}

fn ask_promises(term: &CoordinatorTerm, record: &CellRecord, successors: Vec<NodeId>) {
    let request = PeerRequest::Promise(record.service.clone(), record.epoch);
    let known: Vec<_> = successors
        .into_iter()
        .filter_map(|node| Some((record.member(&node)?.peer_address, node)))
        .collect();
    let addresses: Vec<_> = known.iter().map(|(address, _)| *address).collect();
    let sent_at = boot_clock::now();
    let links = &term.context.links;
    let answers = links.call_all(&addresses, LinkClass::Control, &request, CALL_TIMEOUT);
    for (answer, (_, node)) in answers.into_iter().zip(known) {
        if matches!(answer, Ok(PeerReply::Promised(true))) {
            term.with_state(|state| state.on_promise(&node, sent_at));
        }
    }
}
