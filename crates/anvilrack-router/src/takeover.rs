//! Taking office: creating a cell, or replacing a coordinator that stays silent.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anvilrack_core::{
    BootTime, CellRecord, CoordinatorState, ServiceName, TakeoverStep, WriterStamp, events,
};
use anvilrack_peer::LinkClass;
use anvilrack_store::{StoreIndex, WriteOutcome};
use anvilrack_wire::{PeerReply, PeerRequest};

use crate::router_context::RouterContext;
use crate::store_records::{read_cell, write_cell};
use crate::{boot_clock, coordinator_role, log_event};

/// Time between two tries to read back a write whose reply was lost.
const READ_BACK_EVERY: Duration = Duration::from_millis(100);

/// Time for the other routers of the cell to tell their newest record before a takeover.
///
/// Those that run answer within milliseconds; the cell waits for the takeover meanwhile.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for a sign of life.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Writes the first record of a cell, with this router as its coordinator.
pub fn create_cell(context: &Arc<RouterContext>, service: &ServiceName, index: StoreIndex) {
    let Some(rules) = context.routes().rules(service).cloned() else {
        return;
    };
    let record = CellRecord {
        service: service.clone(),
        epoch: 1,
        version: 1,
        writer: stamp(context),
        coordinator: context.node().clone(),
        members: vec![context.member()],
        shards: vec![None; rules.shards.max(1) as usize],
        ..CellRecord::default()
    };
    if let Some(sent_at) = write_resolved(context, &record, index) {
        log_event!(Info, events::CELL_CREATED, "service" = service);
        take_office(context, record, sent_at, BootTime::ZERO);
    }
}

/// Replaces a coordinator that stays silent.
pub fn take_over(
    context: &Arc<RouterContext>,
    service: &ServiceName,
    known: &CellRecord,
    step: TakeoverStep,
) {
    let Ok((stored, index)) = read_cell(&context.store, service) else {
        return;
    };
    let known = &ask_others(context, service, known);
    // A store that lost the record altogether is like one put back to its very beginning, and that
    // must not bring back an earlier assignment.
    let base = match &stored {
        Some(stored) if stored.version >= known.version => stored,
        _ => known,
    };
    if base.epoch > known.epoch || !may_take(context, base, step) {
        context.accept_cell(Arc::new(base.clone()));
        context.standby().on_answer(boot_clock::now());
        return;
    }
    if step == TakeoverStep::AsOutsider && !named_are_silent(context, base) {
        return;
    }
    let silent_wait = match step {
        TakeoverStep::AsOutsider => context.terms.outage_limit + context.terms.silent_wait(),
        _ => context.terms.silent_wait(),
    };
    let record = base.next_epoch(context.member(), stamp(context));
    context.standby().open_takeover();
    let written = write_resolved(context, &record, index);
    context.standby().settle_takeover(boot_clock::now());
    if let Some(sent_at) = written {
        let (epoch, old) = (record.epoch, &base.coordinator);
        log_event!(
            Warn,
            events::CELL_TAKEN_OVER,
            "service" = service,
            "epoch" = epoch,
            "from" = old
        );
        take_office(context, record, sent_at, silent_wait);
    }
}

fn may_take(context: &RouterContext, stored: &CellRecord, step: TakeoverStep) -> bool {
    let named = context.standby().is_named(stored);
    match step {
        TakeoverStep::Wait => false,
        TakeoverStep::AsStandby => named,
        TakeoverStep::AsOutsider => true,
    }
}

/// The newest record that this router or one that it reaches has been told.
///
/// After the store was put back to an earlier copy, the one in the store and its own may both miss
/// what the lost coordinator told the others last.
fn ask_others(context: &RouterContext, service: &ServiceName, known: &CellRecord) -> CellRecord {
    let others = known
        .members
        .iter()
        .filter(|member| member.node != *context.node());
    let addresses: Vec<_> = others.map(|member| member.peer_address).collect();
    let request = PeerRequest::Pull(context.digest());
    let answers = context
        .links
        .call_all(&addresses, LinkClass::Control, &request, ASK_TIMEOUT);
    for answer in answers.into_iter().flatten() {
        if let PeerReply::Update(update) = answer {
            context.accept_update(update);
        }
    }
    let newest = context.routes().cell(service).cloned();
    newest.map_or_else(|| known.clone(), |cell| CellRecord::clone(&cell))
}

/// Asks the coordinator and the standbys for a sign of life.
///
/// An outsider must wait long for silent owners, since it knows of no promise that a standby made;
/// so a standby that lives has to take the cell over instead.
fn named_are_silent(context: &RouterContext, record: &CellRecord) -> bool {
    let named = record.standbys.iter().chain([&record.coordinator]);
    let addresses: Vec<_> = named
        .filter_map(|node| Some(record.member(node)?.peer_address))
        .collect();
    let request = PeerRequest::Pull(context.digest());
    let answers = context
        .links
        .call_all(&addresses, LinkClass::Control, &request, PROBE_TIMEOUT);
    answers.iter().all(Result::is_err)
}

fn take_office(
    context: &Arc<RouterContext>,
    record: CellRecord,
    sent_at: BootTime,
    silent_wait: BootTime,
) {
    let now = boot_clock::now();
    let epoch = record.epoch;
    let state = CoordinatorState::new(record.clone(), context.terms, sent_at, now, silent_wait);
    *context.coordinator() = Some(state);
    context.accept_cell(Arc::new(record));
    let context = context.clone();
    thread::spawn(move || coordinator_role::run(&context, epoch));
}

/// Writes a record and finds out whether it took effect; if so, returns when the call went out
/// that showed it.
fn write_resolved(
    context: &RouterContext,
    record: &CellRecord,
    index: StoreIndex,
) -> Option<BootTime> {
    let sent_at = boot_clock::now();
    match write_cell(&context.store, record, index) {
        WriteOutcome::Written => return Some(sent_at),
        WriteOutcome::Conflict => return None,
        WriteOutcome::Unknown => {}
    }
    log_event!(Warn, events::CELL_WRITE_UNKNOWN, "version" = record.version);
    while context.pause(READ_BACK_EVERY) {
        let sent_at = boot_clock::now();
        match read_cell(&context.store, &record.service) {
            Ok((Some(stored), _)) if stored.is_same_write(record) => return Some(sent_at),
            Ok((_, found)) if found != index => return None,
            // The write may still be on its way; only a newer index settles that it lost.
            Ok(_) => match write_cell(&context.store, record, index) {
                WriteOutcome::Written => return Some(sent_at),
                WriteOutcome::Conflict | WriteOutcome::Unknown => {}
            },
            Err(_) => {}
        }
    }
    None
}

fn stamp(context: &RouterContext) -> WriterStamp {
    WriterStamp {
        node: context.node().clone(),
        incarnation: context.incarnation,
        sequence: 0,
    }
}
