//! Becoming the coordinator: creates a cell, or takes over from a coordinator that is silent.

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

/// Interval between two attempts to read back a write whose response was lost.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for the other routers of the cell to send their newest record before a takeover.
///
/// Running routers reply within milliseconds, and the cell has no coordinator until the takeover.
const PULL_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout for the coordinator and the standbys to reply to a probe.
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
        writer: writer_stamp(context),
        coordinator: context.node().clone(),
        members: vec![context.member()],
        shards: vec![None; rules.shards.max(1) as usize],
        ..CellRecord::default()
    };
    if let Some(sent_at) = write_until_resolved(context, &record, index) {
        log_event!(Info, events::CELL_CREATED, "service" = service);
        start_coordinating(context, record, sent_at, BootTime::ZERO);
    }
}

/// Takes over the cell from a coordinator that is silent.
pub fn take_over(
    context: &Arc<RouterContext>,
    service: &ServiceName,
    known: &CellRecord,
    step: TakeoverStep,
) {
    let Ok((stored, index)) = read_cell(&context.store, service) else {
        return;
    };
    let known = &pull_newest_record(context, service, known);
    // A store without the record, like one restored from an older copy, must not bring back an
    // earlier assignment.
    let base = match &stored {
        Some(stored) if stored.version >= known.version => stored,
        _ => known,
    };
    if base.epoch > known.epoch || !may_take_over(context, base, step) {
        context.accept_cell(Arc::new(base.clone()));
        context.standby().on_answer(boot_clock::now());
        return;
    }
    if step == TakeoverStep::AsOutsider && !are_named_routers_silent(context, base) {
        return;
    }
    let silent_wait = match step {
        TakeoverStep::AsOutsider => context.terms.max_outage + context.terms.silent_wait(),
        _ => context.terms.silent_wait(),
    };
    let record = base.next_epoch(context.member(), writer_stamp(context));
    context.standby().begin_takeover();
    let confirmed_at = write_until_resolved(context, &record, index);
    context.standby().finish_takeover(boot_clock::now());
    if let Some(sent_at) = confirmed_at {
        let (epoch, old) = (record.epoch, &base.coordinator);
        log_event!(
            Warn,
            events::CELL_TAKEN_OVER,
            "service" = service,
            "epoch" = epoch,
            "from" = old
        );
        start_coordinating(context, record, sent_at, silent_wait);
    }
}

fn may_take_over(context: &RouterContext, stored: &CellRecord, step: TakeoverStep) -> bool {
    let named = context.standby().is_named_standby(stored);
    match step {
        TakeoverStep::Wait => false,
        TakeoverStep::AsStandby => named,
        TakeoverStep::AsOutsider => true,
    }
}

/// Returns the newest record known to this router or to a member that it can reach.
///
/// After the store was restored from an older copy, both the stored record and this router's own
/// may lack the last changes that the lost coordinator published.
fn pull_newest_record(
    context: &RouterContext,
    service: &ServiceName,
    known: &CellRecord,
) -> CellRecord {
    let others = known
        .members
        .iter()
        .filter(|member| member.node != *context.node());
    let addresses: Vec<_> = others.map(|member| member.peer_address).collect();
    let request = PeerRequest::Pull(context.digest());
    let replies = context
        .links
        .call_all(&addresses, LinkClass::Control, &request, PULL_TIMEOUT);
    for reply in replies.into_iter().flatten() {
        if let PeerReply::Update(update) = reply {
            context.accept_update(update);
        }
    }
    let newest = context.routes().cell(service).cloned();
    newest.map_or_else(|| known.clone(), |cell| CellRecord::clone(&cell))
}

/// Probes the coordinator and the standbys; returns whether none of them replies.
///
/// A router that is not a standby must wait longer for silent owners, because it does not know
/// which promises the standbys have given. A running standby therefore has to take over the cell
/// instead.
fn are_named_routers_silent(context: &RouterContext, record: &CellRecord) -> bool {
    let named = record.standbys.iter().chain([&record.coordinator]);
    let addresses: Vec<_> = named
        .filter_map(|node| Some(record.member(node)?.peer_address))
        .collect();
    let request = PeerRequest::Pull(context.digest());
    let replies = context
        .links
        .call_all(&addresses, LinkClass::Control, &request, PROBE_TIMEOUT);
    replies.iter().all(Result::is_err)
}

fn start_coordinating(
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

/// Writes a record and determines whether the write took effect; if so, returns the time at which
/// the call that confirmed it was sent.
fn write_until_resolved(
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
    while context.pause(READ_BACK_INTERVAL) {
        let sent_at = boot_clock::now();
        match read_cell(&context.store, &record.service) {
            Ok((Some(stored), _)) if stored.is_same_write(record) => return Some(sent_at),
            Ok((_, found)) if found != index => return None,
            // The first write may still arrive; only a changed index proves that it cannot take
            // effect.
            Ok(_) => match write_cell(&context.store, record, index) {
                WriteOutcome::Written => return Some(sent_at),
                WriteOutcome::Conflict | WriteOutcome::Unknown => {}
            },
            Err(_) => {}
        }
    }
    None
}

fn writer_stamp(context: &RouterContext) -> WriterStamp {
    WriterStamp {
        node: context.node().clone(),
        incarnation: context.incarnation,
        sequence: 0,
    }
}
