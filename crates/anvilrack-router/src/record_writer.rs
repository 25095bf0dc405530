//! The coordinator's reads and writes of the cell's record in the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{
    BootTime, CellRecord, NodeId, PlacementDecision, Revision, ServiceRules, ShardId, events,
    placement_decisions,
};
use anvilrack_peer::LinkClass;
use anvilrack_store::{StoreIndex, WriteOutcome};
use anvilrack_wire::PeerRequest;
use rand::Rng;

use crate::coordinator_handle::CoordinatorHandle;
use crate::router_context::RouterContext;
use crate::store_records::{read_cell, write_cell};
use crate::{boot_clock, log_event};

/// Interval between two reads of the cell's record, which confirm that this router is still the
/// coordinator.
const VERIFY_INTERVAL: Duration = Duration::from_millis(200);

/// Mean time before a failed call to the store is retried.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Timeout for a nudge, which asks a member to send its next heartbeat now.
///
/// A lost nudge only delays the update to the next regular heartbeat, so the write loop does not
/// wait long for it.
const NUDGE_TIMEOUT: Duration = Duration::from_millis(50);

/// Reads and writes the cell's record during one epoch.
#[derive(Debug, Default)]
pub struct RecordWriter {
    index: Option<StoreIndex>,
    next_verification: BootTime,
    /// The index on which the last write was based if its outcome is not yet known.
    unresolved_index: Option<StoreIndex>,
    outage: bool,
    /// The planned moves that were logged and announced to the owners of their shards.
    announced_moves: BTreeSet<(ShardId, NodeId)>,
}

impl RecordWriter {
    /// Reads and writes the record if that is due; returns false once another router coordinates
    /// the cell.
    pub fn step(&mut self, handle: &CoordinatorHandle) -> bool {
        let verification_due = boot_clock::now() >= self.next_verification;
        let index_unknown = self.index.is_none() && !self.outage;
        if (index_unknown || verification_due) && !self.verify_record(handle) {
            return false;
        }
        if let Some(index) = self.index {
            self.write_plan(handle, index);
            self.announce_moves(handle);
        }
        handle.record().is_some()
    }

    /// Reads the record to confirm the coordinator role and to resolve a write of unknown outcome;
    /// returns false once another router coordinates the cell.
    fn verify_record(&mut self, handle: &CoordinatorHandle) -> bool {
        let Some(record) = handle.record() else {
            return false;
        };
        let sent_at = boot_clock::now();
        self.next_verification = sent_at + VERIFY_INTERVAL;
        let read = read_cell(&handle.context.store, &record.service);
        self.log_outage_change(&handle.context, read.is_err());
        let Ok((stored, index)) = read else {
            let retry = STORE_RETRY_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5));
            self.next_verification = boot_clock::now() + retry;
            return true;
        };
        // A store without the record is treated like one restored from a copy older than the cell.
        let stored = stored.unwrap_or_default();
        let write_refused = self.unresolved_index.take_if(|based_on| *based_on != index);
        let is_coordinator = handle.with_state(|state| {
            let is_coordinator = state.on_store_read(&stored, sent_at);
            if write_refused.is_some() {
                state.on_refused();
            }
            is_coordinator
        });
        self.index = Some(index);
        publish(handle);
        is_coordinator.unwrap_or(false)
    }

    /// Writes the planned record; a write of unknown outcome is repeated unchanged.
    fn write_plan(&mut self, handle: &CoordinatorHandle, index: StoreIndex) {
        let Some((rules, revision)) = current_rules(handle) else {
            return;
        };
        let now = boot_clock::now();
        let weights = handle.context.routes().config().document.weights;
        let planned = handle.with_state(|state| {
            state.set_weights(weights);
            let pending = state.pending().cloned();
            pending.or_else(|| state.plan(&rules, revision, now))
        });
        let Some(next) = planned.flatten() else {
            return;
        };
        let sent_at = boot_clock::now();
        let outcome = write_cell(&handle.context.store, &next, index);
        self.index = None;
        match outcome {
            WriteOutcome::Written => {
                self.unresolved_index = None;
                commit(handle, &next, sent_at);
            }
            WriteOutcome::Conflict => self.unresolved_index = Some(index),
            WriteOutcome::Unknown => {
                self.unresolved_index = Some(index);
                log_event!(Warn, events::CELL_WRITE_UNKNOWN, "version" = next.version);
            }
        }
    }

    /// Logs new planned moves and nudges the owners of their shards to send a heartbeat, whose
    /// reply holds the order to release the shard.
    fn announce_moves(&mut self, handle: &CoordinatorHandle) {
        let planned = handle.with_state(|state| (state.record().clone(), state.moves().clone()));
        let Some((record, moves)) = planned else {
            return;
        };
        let moves: BTreeSet<_> = moves.into_iter().collect();
        let new_moves: Vec<_> = moves.difference(&self.announced_moves).cloned().collect();
        let owners: BTreeSet<_> = new_moves
            .iter()
            .filter_map(|(shard, _)| Some(&record.owner(*shard)?.node))
            .collect();
        for (shard, successor) in &new_moves {
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
        nudge(&handle.context, addresses.collect());
        self.announced_moves = moves;
    }

    fn log_outage_change(&mut self, context: &RouterContext, outage: bool) {
        if outage && !self.outage {
            log_event!(Warn, events::OUTAGE_BEGAN, "node" = context.node());
        }
        if !outage && self.outage {
            log_event!(Info, events::OUTAGE_ENDED, "node" = context.node());
        }
        self.outage = outage;
    }
}

fn commit(handle: &CoordinatorHandle, next: &CellRecord, sent_at: BootTime) {
    let before = handle.with_state(|state| {
        let moving: Vec<ShardId> = state.moves().keys().copied().collect();
        let old = state.record().clone();
        state.on_committed(sent_at);
        (old, moving)
    });
    let Some((old, moving)) = before else {
        return;
    };
    let decisions = placement_decisions(&old, next, &moving, boot_clock::unix_ms());
    log_placements(next, &decisions);
    handle.context.placement_history().keep(decisions);
    publish(handle);
    nudge_changed_owners(&handle.context, &old, next);
}

/// Nudges the members that gained or lost shards to fetch the new record now.
///
/// All others receive it in the reply to their next heartbeat; sending the full record to every
/// member would be too expensive.
fn nudge_changed_owners(context: &RouterContext, old: &CellRecord, new: &CellRecord) {
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
    let own = context.settings.advertised_peer_address();
    let (own, others): (Vec<_>, Vec<_>) = addresses.into_iter().partition(|peer| *peer == own);
    if !own.is_empty() {
        context.trigger_heartbeat();
    }
    if !others.is_empty() {
        let request = PeerRequest::Nudge;
        let links = &context.links;
        let _ = links.call_all(&others, LinkClass::Control, &request, NUDGE_TIMEOUT);
    }
}

fn current_rules(handle: &CoordinatorHandle) -> Option<(ServiceRules, Revision)> {
    let record = handle.record()?;
    let routes = handle.context.routes();
    let rules = routes.rules(&record.service)?.clone();
    Some((rules, routes.config().revision))
}

/// Applies the committed record to this router's tables; members receive it in the reply to their
/// next heartbeat.
fn publish(handle: &CoordinatorHandle) {
    if let Some(record) = handle.record() {
        handle.context.accept_cell(Arc::new(record));
    }
}

fn log_placements(record: &CellRecord, decisions: &[PlacementDecision]) {
    for decision in decisions {
        log_event!(
            Info,
            events::PLACEMENT_DECIDED,
            "service" = record.service,
            "shard" = decision.shard,
            "from" = decision.from.as_deref().unwrap_or("-"),
            "to" = decision.to,
            "token" = decision.token,
            "reason" = decision.reason.as_str()
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
