//! This router as the coordinator of its cell.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anvilrack_core::{
    BootTime, CellRecord, PlacementNote, Revision, ServiceRules, ShardId, events, placement_notes,
};
use anvilrack_peer::LinkClass;
use anvilrack_store::{StoreIndex, WriteOutcome};
use anvilrack_wire::{PeerReply, PeerRequest, TakeoverCall};

use crate::router_context::RouterContext;
use crate::store_records::{read_cell, write_cell};
use crate::{boot_clock, config_watch, log_event};

/// Time between two looks at what is to be done.
const STEP: Duration = Duration::from_millis(50);

/// Time between two reads of the cell's record, which prove that the office still stands.
const TOUCH_EVERY: Duration = Duration::from_millis(300);

/// Time between two rounds of promises.
const PROMISE_EVERY: Duration = Duration::from_millis(300);

/// Time for one call to a router of the cell.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for a nudge; it is only a hint, so the write loop does not wait long for it.
const NUDGE_TIMEOUT: Duration = Duration::from_millis(50);

/// Runs the cell until another router takes it over or the process ends.
pub fn run(context: &Arc<RouterContext>) {
    call_members(context);
    let keeper = context.clone();
    thread::spawn(move || keep_promises(&keeper));
    let watcher = context.clone();
    thread::spawn(move || config_watch::run(&watcher));
    let mut store_side = StoreSide::default();
    while context.pause(STEP) {
        if !store_side.step(context) {
            stand_down(context);
            return;
        }
    }
}

/// Tells every router of the cell about the new epoch; those that answer are not in doubt.
fn call_members(context: &RouterContext) {
    let Some(record) = in_office(context) else {
        return;
    };
    let record = Arc::new(record);
    let request = PeerRequest::Takeover(TakeoverCall {
        record: record.clone(),
    });
    let addresses = peers_of(context, &record);
    let answers = context
        .links
        .call_all(&addresses, LinkClass::Control, &request, CALL_TIMEOUT);
    let now = boot_clock::now();
    let mut coordinator = context.coordinator();
    let Some(state) = coordinator.as_mut() else {
        return;
    };
    for answer in answers.into_iter().flatten() {
        if let PeerReply::TakeoverSeen(Some(report)) = answer {
            state.on_heartbeat(&report, now);
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

/// The record of the cell that this router coordinates, while it does.
pub(crate) fn in_office(context: &RouterContext) -> Option<CellRecord> {
    let coordinator = context.coordinator();
    let state = coordinator
        .as_ref()
        .filter(|state| !state.is_superseded())?;
    Some(state.record().clone())
}

fn stand_down(context: &RouterContext) {
    let old = context.coordinator().take();
    let Some(state) = old else {
        return;
    };
    let service = &state.record().service;
    log_event!(Warn, events::CELL_SUPERSEDED, "service" = service);
    if let Ok((Some(record), _)) = read_cell(&context.store, service) {
        context.accept_cell(Arc::new(record));
    }
}

// --- the record ---------------------------------------------------------------------------------

/// The coordinator's dealings with the store.
#[derive(Debug, Default)]
struct StoreSide {
    index: Option<StoreIndex>,
    last_touch: BootTime,
    /// The index that a write of unknown outcome was made on.
    unresolved: Option<StoreIndex>,
    outage: bool,
}

impl StoreSide {
    /// Does what is due; false once the office is lost.
    fn step(&mut self, context: &RouterContext) -> bool {
        let touch_due = boot_clock::now() >= self.last_touch + TOUCH_EVERY;
        if (self.index.is_none() || touch_due) && !self.touch(context) {
            return false;
        }
        if let Some(index) = self.index {
            self.write_plan(context, index);
        }
        in_office(context).is_some()
    }

    /// Reads the record: proof of office, and the answer to a write whose reply was lost.
    fn touch(&mut self, context: &RouterContext) -> bool {
        let Some(record) = in_office(context) else {
            return false;
        };
        let sent_at = boot_clock::now();
        self.last_touch = sent_at;
        let read = read_cell(&context.store, &record.service);
        self.tell_outage(context, read.is_err());
        let Ok((stored, index)) = read else {
            return true;
        };
        // A store that lost the record altogether is like one put back to its very beginning.
        let stored = stored.unwrap_or_default();
        let standing = match context.coordinator().as_mut() {
            Some(state) => {
                let standing = state.on_store_seen(&stored, sent_at);
                if self
                    .unresolved
                    .take_if(|based_on| *based_on != index)
                    .is_some()
                {
                    state.on_refused();
                }
                standing
            }
            None => false,
        };
        self.index = Some(index);
        publish(context);
        standing
    }

    /// Writes what is planned; a write of unknown outcome is sent again as it was.
    fn write_plan(&mut self, context: &RouterContext, index: StoreIndex) {
        let Some((rules, revision)) = rules_in_force(context) else {
            return;
        };
        let now = boot_clock::now();
        let planned = context.coordinator().as_mut().and_then(|state| {
            state.set_weights(context.routes().config().document.weights);
            let pending = state.pending().cloned();
            pending.or_else(|| state.plan(&rules, revision, now))
        });
        let Some(next) = planned else {
            return;
        };
        let sent_at = boot_clock::now();
        let outcome = write_cell(&context.store, &next, index);
        self.index = None;
        match outcome {
            WriteOutcome::Written => {
                self.unresolved = None;
                commit(context, &next, sent_at);
            }
            WriteOutcome::Conflict => self.unresolved = Some(index),
            WriteOutcome::Unknown => {
                self.unresolved = Some(index);
                log_event!(Warn, events::CELL_WRITE_UNKNOWN, "version" = next.version);
            }
        }
    }

    fn tell_outage(&mut self, context: &RouterContext, outage: bool) {
        if outage && !self.outage {
            log_event!(Warn, events::OUTAGE_BEGAN, "node" = context.node());
        }
        if !outage && self.outage {
            log_event!(Info, events::OUTAGE_ENDED, "node" = context.node());
        }
        self.outage = outage;
    }
}

fn commit(context: &RouterContext, next: &CellRecord, sent_at: BootTime) {
    let mut coordinator = context.coordinator();
    let Some(state) = coordinator.as_mut() else {
        return;
    };
    let old = state.record().clone();
    let moving: Vec<ShardId> = state.moves().keys().copied().collect();
    state.on_committed(sent_at);
    drop(coordinator);
    let notes = placement_notes(&old, next, &moving, boot_clock::unix_ms());
    tell_placements(next, &notes);
    context.journal().keep(notes);
    publish(context);
    nudge_changed(context, &old, next);
}

/// Tells the members that gained or lost shards to ask for the new record now.
///
/// All others get it with their next heartbeat; a record in full for everybody would cost too much.
fn nudge_changed(context: &RouterContext, old: &CellRecord, new: &CellRecord) {
    let shards = old
        .shards
        .iter()
        .chain(std::iter::repeat(&None))
        .zip(&new.shards);
    let changed: BTreeSet<_> = shards
        .filter(|(before, after)| before != after)
        .flat_map(|(before, after)| [before, after])
        .flatten()
        .filter_map(|owner| new.member(&owner.node))
        .map(|member| member.peer_address)
        .collect();
    context.nudge();
    let others: Vec<_> = changed
        .into_iter()
        .filter(|peer| *peer != context.settings.peer_address())
        .collect();
    let _ = context.links.call_all(
        &others,
        LinkClass::Control,
        &PeerRequest::Nudge,
        NUDGE_TIMEOUT,
    );
}

fn rules_in_force(context: &RouterContext) -> Option<(ServiceRules, Revision)> {
    let record = in_office(context)?;
    let routes = context.routes();
    let rules = routes.rules(&record.service)?.clone();
    Some((rules, routes.config().revision))
}

/// Makes the committed record known to this router; members get it with their next heartbeat.
fn publish(context: &RouterContext) {
    if let Some(record) = in_office(context) {
        context.accept_cell(Arc::new(record));
    }
}

fn tell_placements(record: &CellRecord, notes: &[PlacementNote]) {
    for note in notes {
        log_event!(
            Info,
            events::PLACEMENT_DECIDED,
            "service" = record.service,
            "shard" = note.shard,
            "from" = note.from.as_deref().unwrap_or("-"),
            "to" = note.to,
            "token" = note.token,
            "reason" = note.reason.word()
        );
    }
    log_event!(
        Info,
        events::CELL_WRITTEN,
        "service" = record.service,
        "version" = record.version,
        "members" = record.members.len(),
        "unowned" = record.unowned()
    );
}

// --- promises -----------------------------------------------------------------------------------

/// Asks the standbys not to take over, again and again, so that an outage of the store finds the
/// promises in place.
fn keep_promises(context: &RouterContext) {
    while context.pause(PROMISE_EVERY) {
        let Some(record) = in_office(context) else {
            return;
        };
        let successors = match context.coordinator().as_ref() {
            Some(state) => state.successors(),
            None => return,
        };
        let request = PeerRequest::Promise(record.service.clone(), record.epoch);
        let known: Vec<_> = successors
            .into_iter()
            .filter_map(|node| Some((record.member(&node)?.peer_address, node)))
            .collect();
        let addresses: Vec<_> = known.iter().map(|(address, _)| *address).collect();
        let sent_at = boot_clock::now();
        let answers =
            context
                .links
                .call_all(&addresses, LinkClass::Control, &request, CALL_TIMEOUT);
        if let Some(state) = context.coordinator().as_mut() {
            for (answer, (_, node)) in answers.into_iter().zip(known) {
                if matches!(answer, Ok(PeerReply::Promised(true))) {
                    state.on_promise(&node, sent_at);
                }
            }
        }
    }
}
