//! Taking office: creating a cell, or replacing a coordinator that stays silent.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, CellRecord, CoordinatorState, TakeoverStep, WriterStamp, events};
use anvilrack_router::boot_clock;
use tokio::time::sleep;

use crate::directory::{StoreFault, StoreRevision, WriteResult};
use crate::ownership::cell_store::{read_cell, write_cell};
use crate::ownership::{SHARD_COUNT, coordinator_role};
use crate::peers::PeerCall;
use crate::{NodeShared, PlatformDialect, tell};

/// Time between two tries to read back a write whose reply was lost.
const READ_BACK_EVERY: Duration = Duration::from_millis(200);

/// Time for a sign of life.
const PROBE_LIMIT: Duration = Duration::from_millis(500);

/// Creates the cell of this router's service where the store has none, or takes its record.
pub async fn find_or_create<D: PlatformDialect>(node: &Arc<NodeShared<D>>) {
    let service = &node.settings.service;
    match read_cell(&node.store, service).await {
        Ok((Some(record), _)) => node.take_cell(record),
        Ok((None, base)) => {
            let Some(member) = node.member() else { return };
            let record = CellRecord {
                service: service.clone(),
                epoch: 1,
                version: 1,
                writer: stamp(node),
                coordinator: node.settings.node.clone(),
                members: vec![member],
                shards: vec![None; SHARD_COUNT as usize],
                ..CellRecord::default()
            };
            if let Some(sent_at) = write_resolved(node, &record, base).await {
                tell!(Info, events::CELL_CREATED, service = &**service);
                take_office(node, record, sent_at, BootTime::ZERO);
            }
        }
        Err(fault) => log::debug!("cell of {service} cannot be read: {fault}"),
    }
}

/// Replaces a coordinator that stays silent, or this router's own former run.
pub async fn take_over<D: PlatformDialect>(
    node: &Arc<NodeShared<D>>,
    known: &CellRecord,
    step: TakeoverStep,
) {
    let Ok((stored, base)) = read_cell(&node.store, &known.service).await else {
        return;
    };
    // A store that lost the record is like one put back to its very beginning.
    let record = stored.filter(|stored| stored.version >= known.version);
    let record = record.unwrap_or_else(|| known.clone());
    let restarted = record.coordinator == node.settings.node && node.coordinator().is_none();
    let may_take = match step {
        TakeoverStep::Wait => restarted,
        TakeoverStep::AsStandby => node.standby().is_named(&record),
        TakeoverStep::AsOutsider => true,
    };
    if record.epoch > known.epoch || !may_take {
        node.take_cell(record);
        node.standby().on_answer(boot_clock::now());
        return;
    }
    let outsider = step == TakeoverStep::AsOutsider && !restarted;
    if outsider && !named_are_silent(node, &record).await {
        return;
    }
    let Some(member) = node.member() else {
        return;
    };
    let next = record.next_epoch(member, stamp(node));
    let silent_wait = if outsider {
        node.lease_terms.outage_limit + node.lease_terms.silent_wait()
    } else {
        node.lease_terms.silent_wait()
    };
    node.standby().open_takeover();
    let written = write_resolved(node, &next, base).await;
    node.standby().settle_takeover(boot_clock::now());
    if let Some(sent_at) = written {
        tell!(
            Warn,
            events::CELL_TAKEN_OVER,
            service = &*next.service,
            epoch = next.epoch,
            coordinator = &*next.coordinator,
            former = &*record.coordinator
        );
        take_office(node, next, sent_at, silent_wait);
    }
}

/// Asks the coordinator and the standbys for a sign of life.
///
/// An outsider must wait long for silent owners, since it knows of no promise that a standby made;
/// so a standby that lives has to take the cell over instead.
async fn named_are_silent<D: PlatformDialect>(node: &NodeShared<D>, record: &CellRecord) -> bool {
    let named = record.standbys.iter().chain([&record.coordinator]);
    let addresses = named
        .filter(|name| **name != node.settings.node)
        .filter_map(|name| Some(record.member(name)?.peer_address))
        .collect();
    let call = PeerCall::PullCell(record.service.clone());
    let answers = node.links.call_all(addresses, &call, PROBE_LIMIT).await;
    answers.iter().all(Result::is_err)
}

fn take_office<D: PlatformDialect>(
    node: &Arc<NodeShared<D>>,
    record: CellRecord,
    sent_at: BootTime,
    silent_wait: BootTime,
) {
    let now = boot_clock::now();
    let epoch = record.epoch;
    let state = CoordinatorState::new(record.clone(), node.lease_terms, sent_at, now, silent_wait);
    *node.coordinator() = Some(state);
    node.take_cell(record);
    tokio::spawn(coordinator_role::run(node.clone(), epoch));
}

/// Writes a record and finds out whether it took effect; if so, returns when the call went out
/// that showed it.
async fn write_resolved<D: PlatformDialect>(
    node: &NodeShared<D>,
    record: &CellRecord,
    base: StoreRevision,
) -> Option<BootTime> {
    let mut is_retry = false;
    loop {
        let sent_at = boot_clock::now();
        match write_cell(&node.store, record, base).await {
            Ok(WriteResult::Written(_)) => return Some(sent_at),
            Ok(WriteResult::Conflict | WriteResult::LeaseEnded) | Err(StoreFault::Refused(_))
                if !is_retry =>
            {
                return None;
            }
            Ok(_) | Err(_) => {}
        }
        // Its reply was lost, or an earlier try may have been the one that took effect.
        is_retry = true;
        tell!(Warn, events::CELL_WRITE_UNKNOWN, version = record.version);
        sleep(READ_BACK_EVERY).await;
        let sent_at = boot_clock::now();
        match read_cell(&node.store, &record.service).await {
            Ok((Some(stored), _)) if stored.is_same_write(record) => return Some(sent_at),
            Ok((_, found)) if found != base => return None,
            // It may still be on its way; writing it again settles that.
            Ok(_) | Err(_) => {}
        }
    }
}

fn stamp<D: PlatformDialect>(node: &NodeShared<D>) -> WriterStamp {
    WriterStamp {
        node: node.settings.node.clone(),
        incarnation: node.run,
        sequence: 0,
    }
}
