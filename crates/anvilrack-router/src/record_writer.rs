//! The coordinator's dealings with the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{
    BootTime, CellRecord, NodeId, PlacementNote, Revision, ServiceRules, ShardId, events,
    placement_notes,
};
use anvilrack_peer::LinkClass;
use anvilrack_store::{StoreIndex, WriteOutcome};
use anvilrack_wire::PeerRequest;
use rand::Rng;

use crate::coordinator_term::CoordinatorTerm;
use crate::router_context::RouterContext;
use crate::store_records::{read_cell, write_cell};
use crate::{boot_clock, log_event};

/// Time between two reads of the cell's record, which prove that the office still stands.
const TOUCH_EVERY: Duration = Duration::from_millis(200);

/// Time before a failed call to the store is tried again, on average.
const STORE_RETRY: Duration = Duration::from_millis(250);

/// Time for a nudge; it is only a hint, so the write loop does not wait long for it.
const NUDGE_TIMEOUT: Duration = Duration::from_millis(50);

/// Reads and writes the cell's record during one term of office.
#[derive(Debug, Default)]
pub struct RecordWriter {
    index: Option<StoreIndex>,
    next_touch: BootTime,
    /// The index that a write of unknown outcome was made on.
    unresolved: Option<StoreIndex>,
    outage: bool,
    /// The planned moves that their owners were told of.
    told_moves: BTreeSet<(ShardId, NodeId)>,
}

impl RecordWriter {
    /// Does what is due; false once the office is lost.
    pub fn step(&mut self, term: &CoordinatorTerm) -> bool {
        let touch_due = boot_clock::now() >= self.next_touch;
        let index_lost = self.index.is_none() && !self.outage;
        if (index_lost || touch_due) && !self.touch(term) {
            return false;
        }
        if let Some(index) = self.index {
            self.write_plan(term, index);
            self.tell_moves(term);
        }
        term.record().is_some()
    }

    /// Reads the record: proof of office, and the answer to a write whose reply was lost.
    fn touch(&mut self, term: &CoordinatorTerm) -> bool {
        let Some(record) = term.record() else {
            return false;
        };
        let sent_at = boot_clock::now();
        self.next_touch = sent_at + TOUCH_EVERY;
        let read = read_cell(&term.context.store, &record.service);
        self.tell_outage(&term.context, read.is_err());
        let Ok((stored, index)) = read else {
            let retry = STORE_RETRY.mul_f64(rand::rng().random_range(0.5..1.5));
            self.next_touch = boot_clock::now() + retry;
            return true;
        };
        // A store that lost the record altogether is like one put back to its very beginning.
        let stored = stored.unwrap_or_default();
        let refused = self.unresolved.take_if(|based_on| *based_on != index);
        let standing = term.with_state(|state| {
            let standing = state.on_store_seen(&stored, sent_at);
            if refused.is_some() {
                state.on_refused();
            }
            standing
        });
        self.index = Some(index);
        publish(term);
        standing.unwrap_or(false)
    }

    /// Writes what is planned; a write of unknown outcome is sent again as it was.
    fn write_plan(&mut self, term: &CoordinatorTerm, index: StoreIndex) {
        let Some((rules, revision)) = rules_in_force(term) else {
            return;
        };
        let now = boot_clock::now();
        let weights = term.context.routes().config().document.weights;
        let planned = term.with_state(|state| {
            state.set_weights(weights);
            let pending = state.pending().cloned();
            pending.or_else(|| state.plan(&rules, revision, now))
        });
        let Some(next) = planned.flatten() else {
            return;
        };
        let sent_at = boot_clock::now();
        let outcome = write_cell(&term.context.store, &next, index);
        self.index = None;
        match outcome {
            WriteOutcome::Written => {
                self.unresolved = None;
                commit(term, &next, sent_at);
            }
            WriteOutcome::Conflict => self.unresolved = Some(index),
            WriteOutcome::Unknown => {
                self.unresolved = Some(index);
                log_event!(Warn, events::CELL_WRITE_UNKNOWN, "version" = next.version);
            }
        }
    }

    /// Has the owners of shards that are to move ask for their orders now.
    fn tell_moves(&mut self, term: &CoordinatorTerm) {
        let planned = term.with_state(|state| (state.record().clone(), state.moves().clone()));
        let Some((record, moves)) = planned else {
            return;
        };
        let moves: BTreeSet<_> = moves.into_iter().collect();
        let fresh: Vec<_> = moves.difference(&self.told_moves).cloned().collect();
        let owners: BTreeSet<_> = fresh
            .iter()
            .filter_map(|(shard, _)| Some(&record.owner(*shard)?.node))
            .collect();
        for (shard, successor) in &fresh {
            let owner = record.owner(*shard).map_or("-", |owner| &*owner.node);
            log_event!(
                Info,
                events::MOVE_PLANNED,
                "service" = record.service,
                "shard" = shard,
                "from" = owner,
                "to" = successor
            );
        }
        let addresses = owners
            .into_iter()
            .filter_map(|owner| Some(record.member(owner)?.peer_address));
        nudge(&term.context, addresses.collect());
        self.told_moves = moves;
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

fn commit(term: &CoordinatorTerm, next: &CellRecord, sent_at: BootTime) {
    let before = term.with_state(|state| {
        let moving: Vec<ShardId> = state.moves().keys().copied().collect();
        let old = state.record().clone();
        state.on_committed(sent_at);
        (old, moving)
    });
    let Some((old, moving)) = before else {
        return;
    };
    let notes = placement_notes(&old, next, &moving, boot_clock::unix_ms());
    tell_placements(next, &notes);
    term.context.journal().keep(notes);
    publish(term);
    nudge_changed(&term.context, &old, next);
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
    let changed = shards
        .filter(|(before, after)| before != after)
        .flat_map(|(before, after)| [before, after])
        .flatten()
        .filter_map(|owner| new.member(&owner.node))
        .map(|member| member.peer_address);
    nudge(context, changed.collect());
}

fn nudge(context: &RouterContext, addresses: BTreeSet<SocketAddr>) {
    let own = context.settings.announced_address();
    let (own, others): (Vec<_>, Vec<_>) = addresses.into_iter().partition(|peer| *peer == own);
    if !own.is_empty() {
        context.nudge();
    }
    if !others.is_empty() {
        let request = PeerRequest::Nudge;
        let links = &context.links;
        let _ = links.call_all(&others, LinkClass::Control, &request, NUDGE_TIMEOUT);
    }
}

fn rules_in_force(term: &CoordinatorTerm) -> Option<(ServiceRules, Revision)> {
    let record = term.record()?;
    let routes = term.context.routes();
    let rules = routes.rules(&record.service)?.clone();
    Some((rules, routes.config().revision))
}

/// Makes the committed record known to this router; members get it with their next heartbeat.
fn publish(term: &CoordinatorTerm) {
    if let Some(record) = term.record() {
        term.context.accept_cell(Arc::new(record));
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
